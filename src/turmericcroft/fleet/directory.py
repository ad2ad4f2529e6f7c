"""The backend servers that a registry lists, and whether to use them.

A server that is listed takes new work until it says that it leaves or its
entry disappears. An entry that disappears around an outage of the registry
may have lapsed although its server lives; such a server is kept in use for a
moment, until it had the time to register again.
"""

import dataclasses
import enum
import math
from collections.abc import Mapping

# A live server registers again within about two seconds of the registry's
# return (users' letter); the rest covers the way to this daemon.
LEASE_EXPIRED_GRACE_S = 2.2
# Leases that end in an outage end for most servers at once. A smaller part
# that is missing afterwards has left.
LEASE_EXPIRED_MIN_SHARE = 0.4
# A reclaimed server ends about two seconds after its notice, which may have
# taken most of a second to arrive here.
RECLAIM_NOTICE_S = 1.4
# Leaving servers are remembered so that runs on them can be moved in time.
_UNUSED_RETENTION_S = 30.0


@dataclasses.dataclass(frozen=True)
class Server:
    """A backend server as its registry entry describes it.

    Attributes:
        name: Identity; another server at the same address has another one.
        service: The service that it belongs to.
        host: IP address.
        port: TCP port.
        availability_zone: Where it is.
        slots: Requests that it works on at once.
        reclaimable: Whether the cloud may take it back.
        draining: Whether it announced that it leaves.
        leaves_in_s: Time that it has left, if it said so.
        started_at_ms: Start of this incarnation, in Unix milliseconds; 0 if
            unknown.
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

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identity of one start of the server."""
        return self.name, self.started_at_ms


class ServerState(enum.Enum):
    """Whether a server is used.

    Attributes:
        READY: It takes new work.
        LEASE_EXPIRED: Its entry is missing after an outage; it takes new work
            until the grace period ends.
        LEAVING: It takes no new work; what runs there may finish.
        REJECTED: It answered that it is another server.
    """

    READY = "ready"
    LEASE_EXPIRED = "lapsed"
    LEAVING = "leaving"
    REJECTED = "rejected"


@dataclasses.dataclass
class Record:
    """What is known of one server.

    Attributes:
        server: Its last readable description.
        revision: Registry revision of the last change.
        state: Whether it is used.
        changed_at_s: When the standing last changed, monotonic.
        leaves_at_s: When it ends, monotonic; infinite if not leaving.
    """

    server: Server
    revision: int
    state: ServerState
    changed_at_s: float
    leaves_at_s: float = math.inf


@dataclasses.dataclass(frozen=True)
class RegistryEntry:
    """One registry entry.

    Attributes:
        revision: Revision of its last change.
        server: Its description; None if the entry cannot be read.
    """

    revision: int
    server: Server | None


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of a server's standing, for the log.

    Attributes:
        server: The server.
        before: ServerState before; None if it was unknown.
        after: ServerState now; None if it was forgotten.
        restarted: Whether it started anew under its old name.
    """

    server: Server
    before: ServerState | None
    after: ServerState | None
    restarted: bool = False


class Directory:
    """Knowledge of all servers.

    Attributes:
        records: What is known, by server name.
        drain_s: How long a server goes on after it announced its leaving.
    """

    def __init__(self, drain_s: float) -> None:
        self.drain_s = drain_s
        self.records: dict[str, Record] = {}
        self._usable: dict[str, tuple[Server, ...]] = {}

    def put(
        self, name: str, entry: RegistryEntry, now_s: float
    ) -> Change | None:
        """Takes in a written entry.

        An entry that cannot be read names no server to use.
        """
        record = self.records.get(name)
        if (
            record is not None
            and entry.revision <= record.revision
            and record.state is not ServerState.LEASE_EXPIRED
        ):
            return None
        if entry.server is None:
            if record is not None:
                record.revision = entry.revision
                return self._mark_leaving(record, now_s, self.drain_s)
            return None
        server = entry.server
        before = record.state if record is not None else None
        restarted = (
            record is not None
            and record.server.incarnation != server.incarnation
        )
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
            server, entry.revision, after, changed_at_s, leaves_at_s
        )
        if before is after and not restarted:
            return None
        return Change(server, before, after, restarted)

    def remove(
        self,
        name: str,
        revision: int,
        now_s: float,
        grace_until_s: float = -math.inf,
    ) -> Change | None:
        """Takes in the removal of an entry.

        Args:
            name: Name of the server.
            revision: Registry revision of the removal.
            now_s: Monotonic time.
            grace_until_s: Until when the server is used on, if its entry may
                have lapsed in an outage.
        """
        record = self.records.get(name)
        if record is None or revision <= record.revision:
            return None
        record.revision = revision
        if record.state is ServerState.LEAVING:
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
        revision: int,
        now_s: float,
        grace_until_s: float = -math.inf,
    ) -> list[Change]:
        """Takes in a complete listing."""
        changes = [
            self.put(name, entry, now_s) for name, entry in entries.items()
        ]
        changes += [
            self.remove(name, revision, now_s, grace_until_s)
            for name in list(self.records)
            if name not in entries
        ]
        return [change for change in changes if change is not None]

    def leases_may_have_expired(self, removed: int) -> bool:
        """Tells whether entries removed at once may be lapsed leases."""
        in_use = sum(
            record.state is ServerState.READY
            for record in self.records.values()
        )
        return removed >= LEASE_EXPIRED_MIN_SHARE * max(1, in_use)

    def reject(self, server: Server, now_s: float) -> Change | None:
        """Notes that another server answers at a server's address."""
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

    def expire(self, now_s: float) -> list[Change]:
        """Ends grace periods and forgets servers that left long ago."""
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
                record.state in (ServerState.LEAVING, ServerState.REJECTED)
                and now_s - record.changed_at_s > _UNUSED_RETENTION_S
            ):
                del self.records[name]
                changes.append(Change(record.server, record.state, None))
        return changes

    def usable(self, service: str) -> tuple[Server, ...]:
        """Servers of a service that take new work, by name."""
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
        """Takes in how long a leaving server said that it stays."""
        record = self.records.get(server.name)
        if (
            record is not None
            and record.server.incarnation == server.incarnation
            and record.state is ServerState.LEAVING
        ):
            record.leaves_at_s = now_s + remaining_s

    def leaving(self) -> list[Record]:
        """Servers whose running requests end soon."""
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
