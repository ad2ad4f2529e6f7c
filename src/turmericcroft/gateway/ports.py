"""Interfaces of the gateway to the store and the cloud API.

Adapters of a platform implement the protocols.
"""

import collections
import dataclasses
import enum
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from turmericcroft.fleet import directory
from turmericcroft.fleet import positions
from turmericcroft.rollouts import notes
from turmericcroft.routing import declaration


@dataclasses.dataclass(frozen=True)
class Item:
    """A key of the store with its value.

    Attributes:
        key: The key.
        value: The value; None if the key was removed.
        position: Position of the last change.
        lease: Id of the lease with which the key is removed; 0 for none.
    """

    key: str
    value: bytes | None
    position: positions.StorePosition
    lease: int = 0


@dataclasses.dataclass(frozen=True)
class Listing:
    """Items or changes of items, and the position up to which they are known.

    Attributes:
        items: Items in the order of keys, or changes in the order of revisions.
        position: Position up to which no change is missing.
        end: Position of the last page of a listing, whose items are those of
            that position but for changes after `position`; None if it is the
            same.
    """

    items: tuple[Item, ...]
    position: positions.StorePosition
    end: positions.StorePosition | None = None


@dataclasses.dataclass(frozen=True)
class Lease:
    """A lease of the store.

    Attributes:
        lease_id: Its id, which the store may give out again in another era.
        era: Era in which it was granted and in which alone it is valid.
    """

    lease_id: int
    era: int


@dataclasses.dataclass(frozen=True)
class Write:
    """A write within a transaction.

    Attributes:
        key: The key.
        value: Its new value.
        lease: Lease with which the key is removed; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True)
class Condition:
    """A condition of a transaction.

    Attributes:
        key: The key.
        revision: Store revision that its last change must have; 0 if the key
            must not exist.
    """

    key: str
    revision: int


class Store(typing.Protocol):
    """A linearizable key-value store with leases and watches.

    Calls raise errors.KeyValueUnavailableError if they had no effect, and
    errors.KeyValueOutcomeUnknownError if they may have had one.

    Attributes:
        calls: Number of calls made so far.
        era: Latest era that an answer stated; answers of earlier eras are
            dropped.
        skipped: Number of items that could not be read, by cause.
    """

    calls: int
    era: int
    skipped: collections.Counter[str]

    async def get(self, key: str) -> Item | None:
        """Reads one key."""

    async def list_prefix(self, prefix: str) -> Listing:
        """Reads all keys that start with a prefix."""

    async def changes(
        self, prefix: str, after: positions.StorePosition, wait_s: float
    ) -> Listing:
        """Waits for changes of keys with a prefix.

        Args:
            prefix: Start of the keys.
            after: Position after which changes are returned.
            wait_s: Longest wait for a change.

        Returns:
            The changes; none if the wait ended without one.

        Raises:
            errors.HistoryDiscardedError: The store has dropped these changes,
                or continues from an older copy that lacks them.
        """

    async def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        removals: Sequence[str] = (),
    ) -> positions.StorePosition | None:
        """Applies all writes and removals if all conditions hold.

        Returns:
            The position of the writes; None if a condition does not hold.
        """

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Creates a lease."""

    async def keep_lease(self, lease: Lease) -> bool:
        """Renews a lease; returns False if it or its era has ended."""

    async def end_lease(self, lease: Lease) -> None:
        """Ends a lease and removes its keys, unless its era has ended."""

    async def close(self) -> None:
        """Closes the connections."""


@dataclasses.dataclass(frozen=True)
class FencingToken:
    """Identifies the holder of the duties in a call to the cloud API.

    Attributes:
        holder: Name of the daemon.
        number: Increases with each change of the holder, so that a late call of
            an earlier holder can be rejected.
    """

    holder: str
    number: int


class CallOutcome(enum.Enum):
    """Outcome of a call to the cloud API.

    Attributes:
        DONE: The call was accepted.
        NONE_AVAILABLE: No servers of this kind are available in the zone now.
        REFUSED: The call was refused; the same call would be refused again.
        FAILED: The call may or may not have had an effect; it can be retried.
    """

    DONE = "done"
    NONE_AVAILABLE = "none_available"
    REFUSED = "refused"
    FAILED = "failed"


class Cloud(typing.Protocol):
    """The cloud API."""

    async def report_usage(
        self,
        window: int,
        counts: Mapping[str, int],
        fencing_token: FencingToken,
    ) -> CallOutcome:
        """Reports how many requests of each account began in a window."""

    async def order_servers(
        self,
        service: str,
        zone: str,
        count: int,
        reclaimable: bool,
        fencing_token: FencingToken,
    ) -> CallOutcome:
        """Sets how many servers of a kind a service has in a zone.

        Args:
            service: Name of the service.
            zone: Availability zone.
            count: Number of servers wanted.
            reclaimable: Whether reclaimable or on-demand servers are meant.
            fencing_token: Identity of the lease holder.
        """

    async def close(self) -> None:
        """Closes the connections."""


# Target of a rollout, and its final phase; None while it is in progress.
RolloutStatus = tuple[str, notes.Phase | None]


class StoreSchema(typing.Protocol):
    """Keys and encoding of what the store holds for operators and servers.

    Attributes:
        declaration_key: Key of the declaration in force.
        declaration_prefix: Prefix of the keys that the operator writes.
        server_prefix: Prefix of the servers' keys.
        rollout_prefix: Prefix of the keys of orders; the service follows.
        rollout_status_prefix: The same for the status of a service's rollout.
    """

    declaration_key: str
    declaration_prefix: str
    server_prefix: str
    rollout_prefix: str
    rollout_status_prefix: str

    def decode_declaration(self, value: bytes) -> declaration.Declaration:
        """Decodes a declaration; raises errors.FaultyInputError if invalid."""

    def decode_server(self, name: str, value: bytes) -> directory.Server | None:
        """Decodes a server's entry; returns None if it is invalid.

        May also raise one of errors.DECODING_FAULTS then.
        """

    def decode_rollout(
        self, service: str, value: bytes, position: positions.StorePosition
    ) -> notes.Order:
        """Decodes an order of a rollout; its duration is 0 if malformed."""

    def encode_rollout_status(self, status: RolloutStatus) -> bytes:
        """Encodes a rollout's status."""

    def decode_rollout_status(self, value: bytes) -> RolloutStatus | None:
        """Decodes a rollout's status; None if it is malformed."""
