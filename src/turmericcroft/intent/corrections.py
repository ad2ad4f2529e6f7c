"""Parser of the corrections: accounts, policy and changes to sheet rows."""

import dataclasses
import tomllib
import typing
from collections.abc import Mapping

from cattrs import errors as cattrs_errors

from turmericcroft import errors
from turmericcroft import settings
from turmericcroft.intent import document


@dataclasses.dataclass(frozen=True)
class Change:
    """New values for one row; a field that is None leaves the row unchanged.

    Attributes:
        row: Key of the row that is changed.
    """

    row: str
    accounts: tuple[str, ...] | None = None
    availability_zones: tuple[str, ...] | None = None
    priority: int | None = None
    replicas: int | None = None
    first_token_ms: int | None = None
    between_tokens_ms: int | None = None
    max_context_tokens: int | None = None


@dataclasses.dataclass(frozen=True)
class Corrections:
    """The parsed file of corrections.

    Attributes:
        accounts: Client accounts.
        policy: Rules for the whole system.
        changes: Changes to rows of the sheet, applied in this order.
    """

    accounts: tuple[document.Account, ...] = ()
    policy: document.Policy = dataclasses.field(default_factory=document.Policy)
    changes: tuple[Change, ...] = ()


def parse(text: str) -> Corrections:
    r"""Parses a file of corrections.

    Raises:
        errors.SheetError: The file is faulty; the error lists every fault found
            with its path in the file.

    Example:
        >>> parse('[policy]\nrouting = "round_robin"').policy.routing
        <RoutingPolicy.ROUND_ROBIN: 'round_robin'>
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        fault = errors.Fault("file", "valid TOML", str(error))
        raise errors.SheetError("corrections", [fault]) from error
    try:
        parsed = settings.strict_converter().structure(raw, Corrections)
    except cattrs_errors.ClassValidationError as error:
        faults = list(settings.list_faults(error))
        raise errors.SheetError("corrections", faults) from error
    faults = list(_find_faults(parsed))
    if faults:
        raise errors.SheetError("corrections", faults)
    return parsed


def build_document(
    deployments: Mapping[str, document.Deployment], corrections: Corrections
) -> document.Document:
    """Applies corrections to the rows of a sheet.

    Raises:
        errors.SheetError: A change names a row that is not in the sheet, or a
            row names an account that is not declared.
    """
    faults: list[errors.Fault] = []
    rows = dict(deployments)
    for index, change in enumerate(corrections.changes):
        row = rows.get(change.row)
        if row is None:
            location = f"changes[{index}].row"
            faults.append(errors.Fault(location, "a row's key", change.row))
            continue
        rows[change.row] = _apply_change(row, change)
    accounts = {account.name: account for account in corrections.accounts}
    for row in rows.values():
        faults.extend(
            errors.Fault(row.key, "a declared account", repr(name))
            for name in row.accounts
            if name not in accounts
        )
    if faults:
        raise errors.SheetError("corrections", faults)
    return document.Document(rows, accounts, corrections.policy)


def _apply_change(
    row: document.Deployment, change: Change
) -> document.Deployment:
    values: dict[str, typing.Any] = {
        field.name: getattr(change, field.name)
        for field in dataclasses.fields(change)
        if field.name != "row" and getattr(change, field.name) is not None
    }
    return dataclasses.replace(row, **values)


def _find_faults(parsed: Corrections) -> typing.Iterator[errors.Fault]:
    seen_names: set[str] = set()
    seen_hashes: set[str] = set()
    for index, account in enumerate(parsed.accounts):
        location = f"accounts[{index}]"
        if account.name in seen_names:
            yield errors.Fault(location, "each account once", account.name)
        seen_names.add(account.name)
        if account.requests_per_s <= 0 or account.burst < 1:
            yield errors.Fault(location, "limits above zero", account.name)
        if account.weight < 1:
            yield errors.Fault(f"{location}.weight", "1 or more", account.name)
        for key_hash in account.key_sha256:
            if not settings.is_secret_hash(key_hash):
                yield errors.Fault(
                    f"{location}.key_sha256",
                    settings.SECRET_HASH,
                    "another text",
                )
            if key_hash in seen_hashes:
                yield errors.Fault(
                    f"{location}.key_sha256", "a key of one account", "a repeat"
                )
            seen_hashes.add(key_hash)
    if parsed.policy.idempotency_retention_s <= 0:
        yield errors.Fault(
            "policy.idempotency_retention_s", "more than 0", "less"
        )
    if parsed.policy.bounded_load_factor <= 1:
        yield errors.Fault("policy.bounded_load_factor", "more than 1", "less")
