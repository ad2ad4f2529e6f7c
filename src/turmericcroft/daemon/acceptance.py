"""Planning and applying configurations.

A configuration's head contains its number and the content hashes of its parts.
The configuration is accepted by a compare-and-swap of the head key in the
key-value service.
"""

import dataclasses
import time
import uuid

from turmericcroft import errors
from turmericcroft.clients import keyvalue
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import configuration
from turmericcroft.intent import difference
from turmericcroft.intent import document
from turmericcroft.intent import part
from turmericcroft.membership import view

HISTORY_PREFIX = "/turmericcroft/history/"
_MAX_TRIES = 8


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A document that an operator wants to apply.

    Attributes:
        content: The document.
        base: Number of the configuration that the operator started from.
        author: Name of the operator.
        message: Reason for the change.
        rollback_of: Number whose content is restored, or 0.
    """

    content: document.Document
    base: int
    author: str
    message: str
    rollback_of: int = 0


@dataclasses.dataclass(frozen=True)
class Plan:
    """Changes that a document would make.

    Attributes:
        number: Number of the configuration that it was compared with.
        differences: The changes.
    """

    number: int
    differences: tuple[difference.Difference, ...]


@dataclasses.dataclass(frozen=True)
class _Current:
    head: part.Head | None
    mod_revision: int
    content: document.Document

    @property
    def number(self) -> int:
        return 0 if self.head is None else self.head.number


class Acceptance:
    """Plans and applies configurations for operators."""

    def __init__(
        self,
        board: boards.Board,
        members: view.View,
        key_value: keyvalue.KeyValue,
    ) -> None:
        self.board = board
        self.members = members
        self.key_value = key_value

    async def plan(self, content: document.Document) -> Plan:
        """Compares a document with the current configuration."""
        current = await self._read_current()
        found = difference.compare(current.content, content)
        return Plan(current.number, found)

    async def apply(self, proposal: Proposal) -> part.Head:
        """Applies a proposal as the new configuration.

        If other configurations were accepted since the proposal's base, it
        is merged with them field by field.

        Returns:
            The accepted head; the current one if nothing would change.

        Raises:
            errors.MergeConflictError: Another operator changed the same
                fields; nothing was accepted.
            errors.KeyValueUnavailableError: Nothing was accepted.
            errors.KeyValueOutcomeUnknownError: It may have been accepted.
        """
        apply_id = uuid.uuid4().hex
        for _ in range(_MAX_TRIES):
            current = await self._read_current()
            merged = await self._merge(proposal, current)
            if merged == current.content and current.head is not None:
                return current.head
            head = await self._write_parts(proposal, merged, current, apply_id)
            if await self._swap_head(head, current.mod_revision):
                return head
        raise errors.KeyValueUnavailableError(
            f"head: expected to win one of {_MAX_TRIES} writes, found that "
            "other operators were faster; nothing was accepted"
        )

    async def rollback(
        self, number: int, author: str, message: str
    ) -> part.Head:
        """Restores the content of an older number under a new number."""
        old = await self.read_number(number)
        current = await self._read_current()
        return await self.apply(
            Proposal(old, current.number, author, message, number)
        )

    async def history(self) -> tuple[part.Head, ...]:
        """Returns the heads of all accepted configurations, oldest first."""
        entries = await self.key_value.list_prefix(HISTORY_PREFIX)
        return tuple(part.decode_head(entry.value) for entry in entries)

    async def read_number(self, number: int) -> document.Document:
        """Reads the document of an accepted configuration.

        Args:
            number: Its number; 0 stands for the empty document.

        Raises:
            errors.FaultyInputError: No configuration has this number.
        """
        if number == 0:
            return document.EMPTY
        entry = await self.key_value.get(_history_key(number))
        if entry is None:
            fault = errors.Fault("number", "an accepted number", str(number))
            raise errors.FaultyInputError("configuration", [fault])
        return await self._read_document(part.decode_head(entry.value))

    async def _read_current(self) -> _Current:
        entry = await self.key_value.get(configuration.HEAD_KEY)
        in_force = self.board.in_force
        if entry is None:
            head, mod_revision = None, 0
        else:
            head, mod_revision = (
                part.decode_head(entry.value),
                (entry.mod_revision),
            )
        if in_force is not None and (
            head is None or head.number < in_force.head.number
        ):
            return _Current(in_force.head, mod_revision, in_force.content)
        if head is None:
            return _Current(None, 0, document.EMPTY)
        return _Current(head, mod_revision, await self._read_document(head))

    async def _read_document(self, head: part.Head) -> document.Document:
        in_force = self.board.in_force
        parts = dict(in_force.parts) if in_force else {}
        for digest in head.parts:
            if digest in parts:
                continue
            key = configuration.PART_PREFIX + digest
            entry = await self.key_value.get(key)
            if entry is not None:
                parts[digest] = entry.value
        return part.decode_document(head, parts)

    async def _merge(
        self, proposal: Proposal, current: _Current
    ) -> document.Document:
        if proposal.base == current.number:
            return proposal.content
        base = await self.read_number(proposal.base)
        return difference.merge(base, proposal.content, current.content)

    async def _write_parts(
        self,
        proposal: Proposal,
        merged: document.Document,
        current: _Current,
        apply_id: str,
    ) -> part.Head:
        """Writes the parts that are new and returns a head that lists all.

        Its number is also above those that other members reported: the
        key-value service may have been restored to an older head.
        """
        parts = part.split(merged)
        known = set(current.head.parts) if current.head else set()
        for digest, data in parts.items():
            if digest not in known:
                await self.key_value.put(
                    configuration.PART_PREFIX + digest, data
                )
        highest = max(
            (
                current.number,
                *(
                    observation.config_number
                    for observation in self.members.observations.values()
                ),
            )
        )
        return part.Head(
            number=highest + 1,
            parts=tuple(parts),
            author=proposal.author,
            message=proposal.message,
            applied_at=time.time(),
            rollback_of=proposal.rollback_of,
            apply_id=apply_id,
        )

    async def _swap_head(self, head: part.Head, mod_revision: int) -> bool:
        data = part.encode_head(head)
        try:
            return await self.key_value.commit(
                [keyvalue.Condition(configuration.HEAD_KEY, mod_revision)],
                [
                    keyvalue.Put(configuration.HEAD_KEY, data),
                    keyvalue.Put(_history_key(head.number), data),
                ],
            )
        except errors.KeyValueOutcomeUnknownError:
            return await self._was_accepted(head)

    async def _was_accepted(self, head: part.Head) -> bool:
        entry = await self.key_value.get(_history_key(head.number))
        if entry is None:
            return False
        return part.decode_head(entry.value).apply_id == head.apply_id


def _history_key(number: int) -> str:
    return f"{HISTORY_PREFIX}{number:012d}"
