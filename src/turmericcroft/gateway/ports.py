"""Interfaces through which the gateway reaches its surroundings."""

import dataclasses
import enum
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from turmericcroft.fleet import directory
from turmericcroft.routing import declaration


@dataclasses.dataclass(frozen=True)
class Item:
    """A key of the store with its value.

    Attributes:
        key: The key.
        value: The value; None if the key was removed.
        revision: Store revision of the last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True)
class Listing:
    """Items, or changes of items, and how far they reach.

    Attributes:
        items: The items, in the order of keys or of changes.
        revision: Store revision up to which nothing is missing.
    """

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True)
class Write:
    """A write within a transaction; lease 0 binds the key to none."""

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True)
class Condition:
    """The key's last change has this revision; 0 if it must not exist."""

    key: str
    revision: int


class Store(typing.Protocol):
    """A linearizable key-value store with leases and watches.

    Calls raise errors.KeyValueUnavailableError if nothing was done, and
    errors.KeyValueOutcomeUnknownError if that is not known.
    """

    calls: int

    async def get(self, key: str) -> Item | None:
        """Reads one key."""

    async def list_prefix(self, prefix: str) -> Listing:
        """Reads all keys that start with a prefix."""

    async def changes(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Waits for changes that follow a revision.

        Raises:
            errors.HistoryDiscardedError: They are no longer known.
        """

    async def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        removals: Sequence[str] = (),
    ) -> int | None:
        """Applies all writes if all conditions hold.

        Returns:
            The revision of the writes; None if a condition does not hold.
        """

    async def grant_lease(self, ttl_s: float) -> int:
        """Creates a lease."""

    async def keep_lease(self, lease: int) -> bool:
        """Renews a lease; False means that it has ended."""

    async def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""

    async def close(self) -> None:
        """Closes the connections."""


@dataclasses.dataclass(frozen=True)
class Seal:
    """Marks a call as made by the holder of a duty.

    Attributes:
        holder: Name of the daemon.
        token: Grows with each change of the holder.
    """

    holder: str
    token: int


class CallOutcome(enum.Enum):
    """How a call to the cloud API ended.

    Attributes:
        DONE: It was taken.
        NONE_AVAILABLE: No such servers can be had there now.
        REFUSED: It will not be taken as it is.
        FAILED: It may or may not have been taken; it can be made again.
    """

    DONE = "done"
    NONE_AVAILABLE = "none_available"
    REFUSED = "refused"
    FAILED = "failed"


class Cloud(typing.Protocol):
    """The cloud API."""

    async def report_usage(
        self, window: int, counts: Mapping[str, int], seal: Seal
    ) -> CallOutcome:
        """Reports the requests of each account that began in a window."""

    async def order_servers(
        self,
        service: str,
        zone: str,
        count: int,
        reclaimable: bool,
        seal: Seal,
    ) -> CallOutcome:
        """Orders how many servers of a kind a service has in a zone."""

    async def close(self) -> None:
        """Closes the connections."""


class Records(typing.Protocol):
    """Form in which the store holds the declaration and the servers.

    Attributes:
        declaration_key: Key of the declaration in force.
        declaration_prefix: Start of the keys that the operator writes.
        server_prefix: Start of the servers' keys.
    """

    declaration_key: str
    declaration_prefix: str
    server_prefix: str

    def decode_declaration(self, value: bytes) -> declaration.Declaration:
        """Reads a declaration; raises errors.FaultyInputError."""

    def decode_server(self, name: str, value: bytes) -> directory.Server | None:
        """Reads a server's entry; None if it cannot be read."""
