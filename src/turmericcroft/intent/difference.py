"""Differences between configuration documents, and three-way merges.

Operators may change the configuration at the same time. Changes are merged
field by field; a conflict is reported instead of one change undoing the other.
"""

import dataclasses
import typing
from collections.abc import Mapping

from turmericcroft import errors
from turmericcroft.intent import document

_Item = document.Deployment | document.Account


@dataclasses.dataclass(frozen=True)
class Difference:
    """A changed field, or an added or removed item.

    Attributes:
        item: Key of the row or account, or "policy".
        field: Name of the field; empty if the item was added or removed.
        before: Old value as text; empty if the item was added.
        after: New value as text; empty if the item was removed.
    """

    item: str
    field: str
    before: str
    after: str


def compare(
    before: document.Document, after: document.Document
) -> tuple[Difference, ...]:
    """Lists the differences of two documents, by item and field."""
    differences: list[Difference] = []
    for old, new in (
        (before.accounts, after.accounts),
        (before.deployments, after.deployments),
        ({"policy": before.policy}, {"policy": after.policy}),
    ):
        for key in sorted(set(old) | set(new)):
            differences.extend(_compare_item(key, old.get(key), new.get(key)))
    return tuple(differences)


def merge(
    base: document.Document,
    ours: document.Document,
    theirs: document.Document,
) -> document.Document:
    """Merges two sets of changes to the same base, field by field.

    Args:
        base: The document that both sets of changes started from.
        ours: The document to apply.
        theirs: The document in force.

    Returns:
        The document with both sets of changes.

    Raises:
        errors.MergeConflictError: Both sides changed a field to different
            values, or one side removed an item that the other changed.
    """
    conflicts: list[str] = []
    deployments = _merge_items(
        base.deployments, ours.deployments, theirs.deployments, conflicts
    )
    accounts = _merge_items(
        base.accounts, ours.accounts, theirs.accounts, conflicts
    )
    policy = _merge_fields(
        "policy", base.policy, ours.policy, theirs.policy, conflicts
    )
    if conflicts:
        raise errors.MergeConflictError(conflicts)
    return document.Document(deployments, accounts, policy)


def _compare_item(
    key: str, old: typing.Any, new: typing.Any
) -> typing.Iterator[Difference]:
    if old is None or new is None:
        if old is not new:
            before = "" if old is None else "present"
            after = "" if new is None else "present"
            yield Difference(key, "", before, after)
        return
    for field in dataclasses.fields(old):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before != after:
            yield Difference(
                key, field.name, _format_value(before), _format_value(after)
            )


def _format_value(value: typing.Any) -> str:
    match value:
        case tuple():
            return ";".join(str(item) for item in value)
        case document.Kind() | document.RoutingPolicy():
            return str(value.value)
        case _:
            return str(value)


_T = typing.TypeVar("_T", bound=_Item)
_F = typing.TypeVar(
    "_F", document.Deployment, document.Account, document.Policy
)


def _merge_items(
    base: Mapping[str, _T],
    ours: Mapping[str, _T],
    theirs: Mapping[str, _T],
    conflicts: list[str],
) -> Mapping[str, _T]:
    merged: dict[str, _T] = {}
    for key in sorted(set(ours) | set(theirs)):
        item = _merge_item(
            key, base.get(key), ours.get(key), theirs.get(key), conflicts
        )
        if item is not None:
            merged[key] = item
    return merged


def _merge_item(
    key: str,
    base: typing.Any,
    ours: typing.Any,
    theirs: typing.Any,
    conflicts: list[str],
) -> typing.Any:
    if ours == theirs or theirs == base:
        return ours
    if ours == base:
        return theirs
    if ours is None or theirs is None:
        side = "you removed it" if ours is None else "it was removed"
        conflicts.append(f"{key}: {side} while the other side changed it")
        return None
    if base is None:
        base = theirs
        for field in dataclasses.fields(ours):
            if getattr(ours, field.name) != getattr(theirs, field.name):
                conflicts.append(
                    _describe_conflict(key, field.name, ours, theirs)
                )
        return ours
    return _merge_fields(key, base, ours, theirs, conflicts)


def _merge_fields(
    key: str, base: _F, ours: _F, theirs: _F, conflicts: list[str]
) -> _F:
    values: dict[str, typing.Any] = {}
    for field in dataclasses.fields(base):
        old = getattr(base, field.name)
        mine = getattr(ours, field.name)
        other = getattr(theirs, field.name)
        if mine != other and old not in (mine, other):
            conflicts.append(_describe_conflict(key, field.name, ours, theirs))
        values[field.name] = other if mine == old else mine
    return dataclasses.replace(base, **values)


def _describe_conflict(
    key: str, field: str, ours: typing.Any, theirs: typing.Any
) -> str:
    mine = _format_value(getattr(ours, field))
    other = _format_value(getattr(theirs, field))
    return f"{key} {field}: yours is {mine}, in force is {other}"
