"""Resolves contradictions between the parts of a declaration.

Parts that claim the same thing are all refused: none of them may get what
another one claims, such as the requests of a client whose API key two accounts
hold.
"""

import collections
import dataclasses
import typing
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable

from turmericcroft import errors
from turmericcroft.fleet import part_reader
from turmericcroft.routing import declaration

_Item = typing.TypeVar("_Item")


@dataclasses.dataclass(frozen=True)
class Draft:
    """A declaration as it was read, whose parts may contradict each other.

    Attributes:
        accounts: None if no accounts are declared, which differs from none
            being in the list.
    """

    version: int
    routes: tuple[declaration.Route | declaration.UnusableRoute, ...]
    services: tuple[declaration.Service, ...]
    accounts: (
        tuple[declaration.Account | declaration.UnusableAccount, ...] | None
    )
    limits: declaration.ClientLimits


def resolve(
    draft: Draft, reader: part_reader.PartReader
) -> declaration.Declaration:
    """Returns a declaration in which nothing is claimed twice.

    Args:
        draft: The declaration as it was read.
        reader: Gets a fault for each contradiction.

    Raises:
        errors.FaultyInputError: The declaration has too many faults.
    """
    services = _resolve_services(draft.services, reader)
    routes = _resolve_routes(draft.routes, reader)
    accounts = _resolve_accounts(draft.accounts or (), reader)
    return declaration.Declaration(
        version=draft.version,
        routes=tuple(x for x in routes if isinstance(x, declaration.Route)),
        services=services,
        accounts=tuple(
            x for x in accounts if isinstance(x, declaration.Account)
        ),
        limits=draft.limits,
        requires_api_keys=draft.accounts is not None,
        unusable_routes=tuple(
            x for x in routes if isinstance(x, declaration.UnusableRoute)
        ),
        unusable_accounts=tuple(
            x for x in accounts if isinstance(x, declaration.UnusableAccount)
        ),
        faults=tuple(reader.faults),
    )


def _resolve_routes(
    routes: Iterable[declaration.Route | declaration.UnusableRoute],
    reader: part_reader.PartReader,
) -> list[declaration.Route | declaration.UnusableRoute]:
    """Replaces routes that claim the same requests."""
    found: list[declaration.Route | declaration.UnusableRoute] = []
    for (host, path_prefix), claims in _group(
        routes, lambda route: (route.host, route.path_prefix)
    ).items():
        if len(claims) == 1:
            found.append(claims[0])
            continue
        fault = _record_repeat(reader, f"route {host}{path_prefix}")
        found.append(declaration.UnusableRoute(host, path_prefix, fault))
    return found


def _resolve_accounts(
    accounts: Iterable[declaration.Account | declaration.UnusableAccount],
    reader: part_reader.PartReader,
) -> list[declaration.Account | declaration.UnusableAccount]:
    """Replaces accounts of one name, and takes shared keys from accounts."""
    found: list[declaration.Account | declaration.UnusableAccount] = []
    for name, claims in _group(accounts, lambda account: account.name).items():
        if len(claims) == 1 or not name:
            found += claims
            continue
        fault = _record_repeat(reader, f"account {name}")
        found += [
            declaration.UnusableAccount(name, claim.api_keys, fault)
            for claim in claims
        ]
    holders = collections.Counter(key for x in found for key in x.api_keys)
    shared = frozenset(key for key, count in holders.items() if count > 1)
    if not shared:
        return found
    names = sorted({x.name for x in found if x.api_keys & shared})
    place = f"API keys of the accounts {', '.join(names)}"
    fault = _record_repeat(reader, place)
    return [
        *(dataclasses.replace(x, api_keys=x.api_keys - shared) for x in found),
        declaration.UnusableAccount("", shared, fault),
    ]


def _resolve_services(
    services: Iterable[declaration.Service], reader: part_reader.PartReader
) -> dict[str, declaration.Service]:
    """Leaves out services of the same name."""
    found = {}
    for name, claims in _group(services, lambda item: item.name).items():
        if len(claims) == 1:
            found[name] = claims[0]
        else:
            _record_repeat(reader, f"service {name}")
    return found


def _group(
    items: Iterable[_Item], key_of: Callable[[_Item], Hashable]
) -> dict[typing.Any, list[_Item]]:
    groups: dict[typing.Any, list[_Item]] = {}
    for item in items:
        groups.setdefault(key_of(item), []).append(item)
    return groups


def _record_repeat(reader: part_reader.PartReader, place: str) -> str:
    fault = errors.Fault(place, "one entry", "several")
    reader.record(fault)
    return str(fault)
