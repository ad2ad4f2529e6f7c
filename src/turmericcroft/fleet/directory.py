"""Directory of the backend servers in the registry and their states.

A registered server gets new requests until it announces that it leaves or its
entry is removed. During an outage of the registry, leases expire and their
entries are removed although the servers still run. These servers stay in use
for a grace period that gives them time to register again.

The registry may continue from a copy some seconds old. An entry in the copy is
older than what is known of its server, so it doesn't return a server to use
that has left since; only an entry that the server wrote later does.
"""

import dataclasses
import enum
import math
from collections.abc import Mapping

from turmericcroft.fleet import addresses
from turmericcroft.fleet import positions

# The users' servers register again within about 2 s after an outage of the
# registry ends; the remaining 0.2 s covers the delivery to this daemon.
LEASE_EXPIRED_GRACE_S = 2.2
# An outage expires the leases of most servers at once. If a smaller share of
# the servers is missing after an outage, they have left.
LEASE_EXPIRED_MIN_SHARE = 0.4
# The cloud ends a reclaimed server about 2 s after the notice, which may take
# most of a second to reach this daemon.
RECLAIM_NOTICE_S = 1.4
# Leaving servers stay in the directory so that requests running on them can
# be migrated before they end.
_UNUSED_RETENTION_S = 30.0
# The same for a server that stated in an answer that it leaves: its entry may
# say otherwise for as long as the server runs.
_SAID_LEAVING_RETENTION_S = 600.0
# Bounds of what the entry of a server may state.
_MAX_SLOTS = 1_000_000
_MAX_COUNT = 2**63
_MAX_LEAVE_TIME_S = 1e9
_MAX_TEXT_CHARACTERS = 1_024


@dataclasses.dataclass(frozen=True)
class Server:
    """A backend server as its registry entry describes it.

    Attributes:
        name: Unique name; another server at the same address has another name.
        service: Name of its service.
        host: IP address.
        port: TCP port.
        availability_zone: Name of its zone.
        slots: Number of requests that it processes concurrently.
        reclaimable: Whether the cloud may reclaim it.
        draining: Whether it announced that it leaves.
        leaves_in_s: Time until it ends, if it announced one.
        started_at_ms: Start of this incarnation, in Unix milliseconds; 0 if
            unknown.
        software_version: Version of its software, not of its weights.
        sequence: Increases with each entry that this incarnation writes; not
            part of the comparison, because it changes with nothing else.
    """

    name: str
    service: str
    host: str
    port: int
    availability_zone: str
    slots: int
    reclaimable: bool = False
    draining: bool = False
    leaves_in_s: float | None = None
    started_at_ms: int = 0
    software_version: str = ""
    sequence: int = dataclasses.field(default=0, compare=False)

    @property
    def incarnation(self) -> tuple[str, int]:
        """Name and start time, which together identify one incarnation."""
        return self.name, self.started_at_ms

    def is_within_bounds(self) -> bool:
        """Whether all values can be calculated with, sent on and logged."""
        text = (
            f"{self.name}{self.service}{self.host}"
            f"{self.availability_zone}{self.software_version}"
        )
        # A leave time that is not a number is within no bounds.
        return (
            1 <= self.slots <= _MAX_SLOTS
            and 0 <= self.started_at_ms <= _MAX_COUNT
            and abs(self.sequence) <= _MAX_COUNT
            and (
                self.leaves_in_s is None
                or abs(self.leaves_in_s) <= _MAX_LEAVE_TIME_S
            )
            and len(text) <= _MAX_TEXT_CHARACTERS
            and text.isprintable()
            and addresses.is_host(self.host)
            and addresses.is_port(self.port)
        )


class ServerState(enum.Enum):
    """State of a server, which decides whether it gets new requests.

    Attributes:
        READY: It gets new requests.
        LEASE_EXPIRED: Its lease expired during an outage; it gets new requests
            until the grace period ends.
        LEAVING: It gets no new requests; running requests may finish.
        REJECTED: Another server answered at its address; it gets no new
            requests.
    """

    READY = "ready"
    LEASE_EXPIRED = "lapsed"
    LEAVING = "leaving"
    REJECTED = "rejected"


_UNUSED_STATES = (ServerState.LEAVING, ServerState.REJECTED)


@dataclasses.dataclass
class Record:
    """The directory's record of one server.

    Attributes:
        server: Its last description that could be decoded.
        position: Position in the store of its last change.
        state: Its state.
        changed_at_s: Monotonic time of the last change of state.
        leaves_at_s: Monotonic time at which a leaving server ends, or at which
            the grace period of a server whose lease expired ends; infinite
            for a server that is ready.
        has_said_leaving: Whether an answer of the server stated that it leaves,
            which its entry can't take back.
        left_at_sequence: Sequence of the last entry before the registry
            continued from an older copy, if the server had left by then. A
            later entry returns it to use; None if any entry does.
    """

    server: Server
    position: positions.StorePosition
    state: ServerState
    changed_at_s: float
    leaves_at_s: float = math.inf
    has_said_leaving: bool = False
    left_at_sequence: int | None = None


@dataclasses.dataclass(frozen=True)
class RegistryEntry:
    """A server's entry in the registry.

    Attributes:
        position: Position in the store of its last change.
        server: The server described; None if the entry cannot be decoded.
    """

    position: positions.StorePosition
    server: Server | None


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of a server's state, for the log.

    Attributes:
        server: The server.
        before: Previous state; None if the server was unknown.
        after: New state; None if the server was removed from the directory.
        former: The entry of the incarnation before, if a new one registered
            under the same name.
    """

    server: Server
    before: ServerState | None
    after: ServerState | None
    former: Server | None = None

    @property
    def restarted(self) -> bool:
        """Whether a new incarnation registered under the same name."""
        return self.former is not None


class Directory:
    """All known servers and their states.

    Attributes:
        records: Records by server name.
        drain_s: How long a server runs after it announced that it leaves.
    """

    def __init__(self, drain_s: float) -> None:
        self.drain_s = drain_s
        self.records: dict[str, Record] = {}
        self._usable: dict[str, tuple[Server, ...]] = {}

    def put(
        self, name: str, entry: RegistryEntry, now_s: float
    ) -> Change | None:
        """Applies an entry that was written.

        An entry that cannot be decoded marks a known server as leaving and
        is otherwise ignored.
        """
        record = self.records.get(name)
        if (
            record is not None
            and entry.position <= record.position
            and record.state is not ServerState.LEASE_EXPIRED
        ):
            return None
        if entry.server is None:
            if record is not None:
                record.position = entry.position
                return self._mark_leaving(record, now_s, self.drain_s)
            return None
        server = entry.server
        if record is not None and _is_superseded(
            record, entry.position, server
        ):
            record.position = entry.position
            return None
        before = record.state if record is not None else None
        former = None
        if (
            record is not None
            and record.server.incarnation != server.incarnation
        ):
            former = record.server
        restarted = former is not None
        after = ServerState.LEAVING if server.draining else ServerState.READY
        if (
            record is None
            or restarted
            or record.state is not after
            or record.server != server
        ):
            self._usable = {}
        leaves_at_s = math.inf
        if server.draining:
            leaves_at_s = self._end_time_s(record, server, now_s)
        changed_at_s = now_s
        if record is not None and before is after and not restarted:
            changed_at_s = record.changed_at_s
        self.records[name] = Record(
            server,
            entry.position,
            after,
            changed_at_s,
            leaves_at_s,
            has_said_leaving=(
                record is not None and not restarted and record.has_said_leaving
            ),
        )
        if before is after and not restarted:
            return None
        return Change(server, before, after, former)

    def remove(
        self,
        name: str,
        position: positions.StorePosition,
        now_s: float,
        grace_until_s: float = -math.inf,
    ) -> Change | None:
        """Applies the removal of an entry.

        Args:
            name: Name of the server.
            position: Position in the store of the removal.
            now_s: Monotonic time.
            grace_until_s: Monotonic time until which the server stays in use,
                if its lease may have expired during an outage.
        """
        record = self.records.get(name)
        if record is None or position <= record.position:
            return None
        if position.era > record.position.era:
            _keep_out(record, record.server.sequence)
        record.position = position
        if record.state in _UNUSED_STATES:
            return None
        if now_s < grace_until_s:
            if record.state is ServerState.LEASE_EXPIRED:
                return None
            before = record.state
            record.state = ServerState.LEASE_EXPIRED
            record.changed_at_s = now_s
            record.leaves_at_s = grace_until_s
            return Change(record.server, before, ServerState.LEASE_EXPIRED)
        return self._mark_leaving(record, now_s, self.drain_s)

    def replace_all(
        self,
        entries: Mapping[str, RegistryEntry],
        position: positions.StorePosition,
        now_s: float,
        grace_until_s: float = -math.inf,
    ) -> list[Change]:
        """Applies a complete listing of the registry."""
        changes = [
            self.put(name, entry, now_s) for name, entry in entries.items()
        ]
        changes += [
            self.remove(name, position, now_s, grace_until_s)
            for name in list(self.records)
            if name not in entries
        ]
        return [change for change in changes if change is not None]

    def leases_may_have_expired(self, removed: int) -> bool:
        """Returns whether this many removals at once may be expired leases."""
        in_use = sum(
            record.state is ServerState.READY
            for record in self.records.values()
        )
        return removed >= LEASE_EXPIRED_MIN_SHARE * max(1, in_use)

    def reject(self, server: Server, now_s: float) -> Change | None:
        """Marks a server as rejected: another one answers at its address."""
        record = self.records.get(server.name)
        if record is None or record.server.incarnation != server.incarnation:
            return None
        if record.state is ServerState.REJECTED:
            return None
        before = record.state
        record.state = ServerState.REJECTED
        record.changed_at_s = now_s
        self._usable = {}
        return Change(server, before, ServerState.REJECTED)

    def has_successor(self, server: Server) -> bool:
        """Whether another incarnation has registered under a server's name."""
        record = self.records.get(server.name)
        return (
            record is not None
            and record.server.incarnation != server.incarnation
        )

    def record_leaving(
        self, incarnation: tuple[str, int], now_s: float
    ) -> Change | None:
        """Records that a server stated in an answer that it leaves.

        Only a new incarnation under the same name is used again.
        """
        record = self.records.get(incarnation[0])
        if record is None or record.server.incarnation != incarnation:
            return None
        record.has_said_leaving = True
        return self._mark_leaving(record, now_s, self.drain_s)

    def said_leaving(self, now_s: float) -> list[Server]:
        """Returns the servers that recently stated that they leave."""
        return [
            record.server
            for record in self.records.values()
            if record.has_said_leaving
            and now_s - record.changed_at_s < _UNUSED_RETENTION_S
        ]

    @property
    def unused_retention_s(self) -> float:
        """Time for which a server is kept after the store has removed it."""
        return _UNUSED_RETENTION_S

    def expire(self, now_s: float) -> list[Change]:
        """Ends grace periods and removes servers after their retention time."""
        changes: list[Change] = []
        for name, record in list(self.records.items()):
            if (
                record.state is ServerState.LEASE_EXPIRED
                and now_s >= record.leaves_at_s
            ):
                change = self._mark_leaving(record, now_s, 0.0)
                if change is not None:
                    changes.append(change)
            elif (
                record.state in _UNUSED_STATES
                and now_s - record.changed_at_s > _retention_s(record)
            ):
                del self.records[name]
                changes.append(Change(record.server, record.state, None))
        return changes

    def usable(self, service: str) -> tuple[Server, ...]:
        """Returns the servers of a service that get new requests, by name."""
        found = self._usable.get(service)
        if found is None:
            found = tuple(
                sorted(
                    (
                        record.server
                        for record in self.records.values()
                        if record.server.service == service
                        and record.state
                        in (ServerState.READY, ServerState.LEASE_EXPIRED)
                    ),
                    key=lambda server: server.name,
                )
            )
            self._usable[service] = found
        return found

    def record_time_left(
        self, server: Server, remaining_s: float, now_s: float
    ) -> None:
        """Records the time that a leaving server said it has left."""
        record = self.records.get(server.name)
        if (
            record is not None
            and record.server.incarnation == server.incarnation
            and record.state is ServerState.LEAVING
        ):
            record.leaves_at_s = now_s + remaining_s

    def leaving(self) -> list[Record]:
        """Returns the records of the servers that are leaving."""
        return [
            record
            for record in self.records.values()
            if record.state is ServerState.LEAVING
        ]

    def _end_time_s(
        self, record: Record | None, server: Server, now_s: float
    ) -> float:
        if server.leaves_in_s is not None:
            return now_s + server.leaves_in_s
        if record is not None and record.state is ServerState.LEAVING:
            return record.leaves_at_s
        if server.reclaimable:
            return now_s + min(RECLAIM_NOTICE_S, self.drain_s)
        return now_s + self.drain_s

    def _mark_leaving(
        self, record: Record, now_s: float, remaining_s: float
    ) -> Change | None:
        if record.state is ServerState.LEAVING:
            return None
        before = record.state
        record.state = ServerState.LEAVING
        record.changed_at_s = now_s
        record.leaves_at_s = now_s + remaining_s
        self._usable = {}
        return Change(record.server, before, ServerState.LEAVING)


def _is_superseded(
    record: Record, position: positions.StorePosition, server: Server
) -> bool:
    """Returns whether more recent information than an entry is known."""
    known = record.server
    if position.era > record.position.era:
        if server.started_at_ms < known.started_at_ms:
            return True
        if server.incarnation == known.incarnation:
            # An entry of the copy, or one written since with a revision that
            # the store gave out before. Only the server's next entry tells.
            has_left = record.state in _UNUSED_STATES
            is_from_before = position.revision <= record.position.revision
            if has_left and is_from_before:
                known = server
            if server.sequence <= known.sequence:
                _keep_out(record, known.sequence)
                return True
    if server.incarnation != known.incarnation:
        return False
    if record.has_said_leaving and not server.draining:
        return True
    if (
        known.draining
        and not server.draining
        and server.started_at_ms
        and server.sequence < known.sequence
    ):
        # A write whose answer the server lost took effect late.
        return True
    return (
        record.left_at_sequence is not None
        and server.sequence <= record.left_at_sequence
    )


def _keep_out(record: Record, sequence: int) -> None:
    """Lets only an entry after this one return a server that has left."""
    if record.state in _UNUSED_STATES:
        record.left_at_sequence = sequence


def _retention_s(record: Record) -> float:
    if record.has_said_leaving:
        return _SAID_LEAVING_RETENTION_S
    return _UNUSED_RETENTION_S
