"""Local view of the store: the declaration in force and the servers' entries.

Updates come from the store itself, from other daemons, and in a large fleet
from relays, so an older one may arrive after a newer one; positions decide.

After a failure the store may continue from an older copy, in another era. Only
a complete listing moves the view to a later era, and nothing moves it back.
"""

import asyncio
import collections
import math
from collections.abc import Iterable
from collections.abc import Sequence

import logbook

from turmericcroft import errors
from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
from turmericcroft.fleet import positions
from turmericcroft.gateway import messages
from turmericcroft.gateway import ports
from turmericcroft.gateway import state as states
from turmericcroft.routing import declaration

_LOG = logbook.Logger("beliefs")
# Leases last about three heartbeats; none expires in a shorter outage.
_LEASE_EXPIRY_OUTAGE_S = 2.0
# The same with relays. Without any outage, updates by relays are up to 0.7 of
# the drain time old (2.1 s of 3 s) before a daemon queries the store itself,
# which takes up to 0.5 s.
_RELAYED_EXPIRY_OUTAGE_S = 3.0
# Removals that are sent one by one; a daemon that missed more gets a complete
# listing.
_MAX_REMOVALS = 200
# Servers whose latest position is kept, to drop an answer of the store that a
# peer's update has overtaken. Such answers are seconds old, so the servers that
# changed least recently can be evicted.
_MAX_POSITIONS = 10_000
# Faults of a declaration that a log line states, and characters of each.
_MAX_FAULTS = 10
_MAX_FAULT_LENGTH = 200
# Entries that can't be decoded and are logged; others are only counted.
_MAX_UNDECODED = 1_000


class StoreView:
    """Local view of the store, kept in the daemon's state.

    Attributes:
        state: The daemon's state.
        schema: Keys and encoding of the store's contents.
        entries: The servers' entries as the store holds them, by name.
        fleet_position: Position up to which the entries are complete.
        servers_position: Position of the latest change of an entry.
        declaration_changed: Set when a newer declaration comes into force.
        era_changed: Set when the view moves to a later era of the store.
    """

    def __init__(self, state: states.State, schema: ports.StoreSchema) -> None:
        self.state = state
        self.schema = schema
        self.entries: dict[str, messages.ServerEntry] = {}
        self.fleet_position = positions.START
        self.servers_position = positions.START
        self._listed_position = positions.START
        # Position of each server's latest change or removal since then.
        self._positions: dict[str, positions.StorePosition] = {}
        # Causes of the servers' entries that can't be decoded, by name.
        self._undecoded: dict[str, str] = {}
        self._removed: collections.deque[
            tuple[str, positions.StorePosition]
        ] = collections.deque(maxlen=_MAX_REMOVALS)
        self.declaration_changed = asyncio.Event()
        self.era_changed = asyncio.Event()

    @property
    def fleet_age_s(self) -> float:
        """Age of the local view of the servers, at most 1e6."""
        now_s = asyncio.get_running_loop().time()
        return min(1e6, now_s - self.state.fleet_confirmed_at_s)

    def apply_declaration(self, raw: bytes, revision: int, source: str) -> bool:
        """Puts a declaration in force if its version is newer.

        One that can't be decoded is logged once, and the one in force stays.

        Returns:
            Whether it came into force.
        """
        active = self.state.declaration
        if raw == active.rejected:
            return False
        try:
            found = self.schema.decode_declaration(raw)
        except errors.FaultyInputError as error:
            self._reject_declaration(raw, revision, source, error.faults)
            return False
        now_s = asyncio.get_running_loop().time()
        versions = self.state.software_versions
        if found.version <= active.version:
            if found.version < active.version:
                versions.routes.record_earlier(found.routes, now_s)
            return False
        before = active.version
        active.table = declaration.RouteTable(found)
        active.raw, active.revision = raw, revision
        versions.declaration_version = found.version
        versions.routes.declare(found.routes, now_s)
        engines = [service.engine for service in found.services.values()]
        self.state.cached_prefixes.kv_cache_tokens = min(
            (engine.kv_cache_tokens for engine in engines if engine), default=0
        )
        self.state.log.write(
            events.DeclarationInForce(
                version=found.version,
                before=before,
                revision=revision,
                source=source,
                routes=len(found.routes),
                accounts=len(found.accounts),
                requires_api_keys=found.requires_api_keys,
                faults=len(found.faults),
                first_faults=_describe_faults(found.faults),
            )
        )
        if found.faults:
            meter = self.state.metrics.undecoded
            meter.add({"kind": "declaration part"}, len(found.faults))
        self.declaration_changed.set()
        return True

    def _reject_declaration(
        self,
        raw: bytes,
        revision: int,
        source: str,
        faults: Sequence[errors.Fault],
    ) -> None:
        """Remembers a declaration that can't be used, and logs it."""
        active = self.state.declaration
        active.rejected = raw
        self.state.log.write(
            events.DeclarationRejected(
                in_force=active.version,
                revision=revision,
                source=source,
                faults=len(faults),
                first_faults=_describe_faults(faults),
            )
        )
        self.state.metrics.undecoded.inc({"kind": "declaration"})

    def apply_listing(
        self,
        items: Iterable[messages.ServerEntry],
        position: positions.StorePosition,
        age_s: float,
        source: str,
        asked_at: positions.StorePosition = positions.START,
    ) -> None:
        """Replaces all entries by a complete listing.

        A listing older than the local view is ignored: it would restore
        servers whose entries were removed since. If the store itself sent it,
        `asked_at` is the position of the view when the store was asked.
        """
        now_s = asyncio.get_running_loop().time()
        entries = {item.name: item for item in items}
        if asked_at.era == position.era > 0 and position < asked_at:
            self._forget_positions(position)
        elif position < self.fleet_position:
            for entry in entries.values():
                self._decode(entry)
            return
        listed = {
            name: directory.RegistryEntry(
                positions.StorePosition(position.era, entry.revision),
                self._decode(entry),
            )
            for name, entry in entries.items()
        }
        known = self.state.directory
        missing = len(known.records.keys() - listed.keys())
        grace_until_s = self._grace_until_s(missing, now_s)
        if self._is_restored(position):
            # Servers that registered after the copy was made do so again.
            grace_until_s = now_s + directory.LEASE_EXPIRED_GRACE_S
            self._log_restore(position, source, missing)
        changes = known.replace_all(listed, position, now_s, grace_until_s)
        self.entries = entries
        self._undecoded = {
            name: cause
            for name, cause in self._undecoded.items()
            if name in entries
        }
        # A listing doesn't name removed entries, so make_reply can't list the
        # removals before it.
        self._removed.clear()
        self._positions.clear()
        self.servers_position = self._listed_position = position
        self._advance(position, now_s - age_s)
        self.state.record_server_changes(changes, source, position)

    def _forget_positions(self, position: positions.StorePosition) -> None:
        """Forgets a position that the store has not reached."""
        _LOG.warning(
            "the store has not reached the position that it had stated",
            position=str(position),
            stated=str(self.fleet_position),
        )
        self.fleet_position = positions.START
        for record in self.state.directory.records.values():
            record.position = positions.StorePosition(position.era, 0)

    def _is_restored(self, position: positions.StorePosition) -> bool:
        """Returns whether a listing is the first one of a later era."""
        return (
            self.fleet_position != positions.START
            and position.era > self.fleet_position.era
        )

    def _log_restore(
        self, position: positions.StorePosition, source: str, missing: int
    ) -> None:
        self.state.log.write(
            events.StoreRestored(
                era=position.era,
                before=self.fleet_position.era,
                revision=position.revision,
                revision_before=self.fleet_position.revision,
                source=source,
                servers_missing=missing,
            )
        )
        self.era_changed.set()

    def confirm(self, age_s: float) -> None:
        """Records that the local view was current `age_s` ago."""
        now_s = asyncio.get_running_loop().time()
        self._advance(self.fleet_position, now_s - age_s)

    def make_reply(
        self, since: positions.StorePosition
    ) -> messages.ServersReply:
        """Returns all entries, or the changes after a position if known.

        Args:
            since: Position that the caller has reached; START for all entries.
        """
        now_s = asyncio.get_running_loop().time()
        rollouts = self.state.rollouts.make_notes(now_s)
        if (
            since == positions.START
            or since.era != self.fleet_position.era
            or since < self._listed_position
            or self._evicted_removals(since)
        ):
            return messages.ServersReply(
                entries=tuple(self.entries.values()),
                revision=self.fleet_position.revision,
                age_s=self.fleet_age_s,
                era=self.fleet_position.era,
                rollouts=rollouts,
            )
        return messages.ServersReply(
            entries=tuple(
                entry
                for entry in self.entries.values()
                if entry.revision > since.revision
            ),
            revision=self.servers_position.revision,
            age_s=self.fleet_age_s,
            is_whole=False,
            removed=tuple(
                (name, position.revision)
                for name, position in self._removed
                if position > since
            ),
            era=self.servers_position.era,
            rollouts=rollouts,
        )

    def apply_reply(self, reply: messages.ServersReply, source: str) -> None:
        """Applies the entries that another daemon sent."""
        position = positions.StorePosition(reply.era, reply.revision)
        now_s = asyncio.get_running_loop().time()
        self.state.rollouts.merge(reply.rollouts, now_s)
        if reply.is_whole:
            self.apply_listing(reply.entries, position, reply.age_s, source)
            return
        if reply.era != self.fleet_position.era:
            # The changes don't follow on this view's entries.
            return
        prefix = self.schema.server_prefix
        items = [
            ports.Item(
                prefix + entry.name,
                entry.raw,
                positions.StorePosition(reply.era, entry.revision),
            )
            for entry in reply.entries
        ]
        items += [
            ports.Item(
                prefix + name,
                None,
                positions.StorePosition(reply.era, revision),
            )
            for name, revision in reply.removed
        ]
        self.apply_changes(items, position, reply.age_s, source)
        # The sender has applied all changes up to this position.
        self.servers_position = max(self.servers_position, position)

    def _evicted_removals(self, since: positions.StorePosition) -> bool:
        """Whether a removal after a position may have been evicted."""
        return (
            len(self._removed) == _MAX_REMOVALS and self._removed[0][1] > since
        )

    def apply_changes(
        self,
        items: Iterable[ports.Item],
        position: positions.StorePosition,
        age_s: float = 0.0,
        source: str = "store",
    ) -> None:
        """Applies changes from the store or another daemon.

        Args:
            items: Changed and removed keys; the latest change of a key last.
            position: Position up to which no change is missing.
            age_s: How long ago the store was at that position.
            source: Sender, for the log.
        """
        now_s = asyncio.get_running_loop().time()
        prefix = self.schema.server_prefix
        newest: dict[str, ports.Item] = {}
        for item in items:
            if item.key == self.schema.declaration_key:
                if item.value is not None:
                    self.apply_declaration(
                        item.value, item.position.revision, "store"
                    )
            elif item.key.startswith(prefix):
                name = item.key.removeprefix(prefix)
                if name in newest:
                    self.record_earlier(newest[name])
                newest[name] = item
        removed = sum(item.value is None for item in newest.values())
        grace_until_s = self._grace_until_s(removed, now_s)
        changes = [
            self._apply_server(name, item, now_s, grace_until_s)
            for name, item in newest.items()
        ]
        self._advance(position, now_s - age_s)
        found = [change for change in changes if change is not None]
        self.state.record_server_changes(found, source, position)

    def expire(self) -> None:
        """Ends the servers' grace periods that are over."""
        now_s = asyncio.get_running_loop().time()
        changes = self.state.directory.expire(now_s)
        self.state.record_server_changes(changes, "time", self.fleet_position)

    def _apply_server(
        self,
        name: str,
        item: ports.Item,
        now_s: float,
        grace_until_s: float,
    ) -> directory.Change | None:
        latest = max(
            self._positions.get(name, positions.START), self._listed_position
        )
        if item.position <= latest:
            # A peer's newer update arrived before this answer of the store.
            self.record_earlier(item)
            return None
        # Inserted anew, so that the order is that of the changes.
        self._positions.pop(name, None)
        self._positions[name] = item.position
        if len(self._positions) > _MAX_POSITIONS:
            del self._positions[next(iter(self._positions))]
        self.servers_position = max(self.servers_position, item.position)
        if item.value is None:
            self._undecoded.pop(name, None)
            self.entries.pop(name, None)
            self._removed.append((name, item.position))
            return self.state.directory.remove(
                name, item.position, now_s, grace_until_s
            )
        entry = messages.ServerEntry(name, item.value, item.position.revision)
        self.entries[name] = entry
        listed = directory.RegistryEntry(item.position, self._decode(entry))
        return self.state.directory.put(name, listed, now_s)

    def record_earlier(self, item: ports.Item) -> None:
        """Records what a change stated that is not applied or was replaced.

        Streams may have begun meanwhile at its server or by its declaration,
        through other daemons.
        """
        name = item.key.removeprefix(self.schema.server_prefix)
        if item.value is None:
            return
        if item.key == self.schema.declaration_key:
            revision = item.position.revision
            self.apply_declaration(item.value, revision, "store")
        elif name != item.key:
            self._decode(
                messages.ServerEntry(name, item.value, item.position.revision)
            )

    def _decode(self, entry: messages.ServerEntry) -> directory.Server | None:
        """Decodes one entry; logs and returns None if it names no server.

        Any writer may have written it, so nothing in it may reach the others.
        The version of its server counts as seen, also if it is not applied.
        """
        try:
            server = self.schema.decode_server(entry.name, entry.raw)
            cause = "fields are missing or of another type"
            if server is not None and not server.is_within_bounds():
                server, cause = None, "values are out of bounds"
        except errors.DECODING_FAULTS as error:
            server, cause = None, f"{type(error).__name__}: {error}"
        if server is not None:
            self._undecoded.pop(entry.name, None)
            known = self.state.directory.records.get(entry.name)
            # A server that starts again may have had another version until now.
            seen = [server] if known is None else [server, known.server]
            self.state.software_versions.record(
                [(s.service, s.software_version) for s in seen],
                asyncio.get_running_loop().time(),
            )
            return server
        self.state.metrics.undecoded.inc({"kind": "server"})
        # Its writer may repeat it with each heartbeat.
        is_known = self._undecoded.get(entry.name) == cause
        if not is_known and len(self._undecoded) < _MAX_UNDECODED:
            self._undecoded[entry.name] = cause
            _LOG.warning(
                "cannot decode a server's entry; it names no server",
                key=self.schema.server_prefix + entry.name,
                bytes=len(entry.raw),
                error=cause,
            )
        return None

    def _grace_until_s(self, removed: int, now_s: float) -> float:
        """Until when servers stay in use whose entries were removed.

        Entries that are missing after an outage may have expired with their
        leases while the servers live on. Minus infinity: no grace period.
        """
        age_s = now_s - self.state.fleet_confirmed_at_s
        outage_s = _LEASE_EXPIRY_OUTAGE_S
        if self.state.uses_relays:
            outage_s = _RELAYED_EXPIRY_OUTAGE_S
        if (
            math.isinf(age_s)
            or age_s < outage_s
            or not self.state.directory.leases_may_have_expired(removed)
        ):
            return -math.inf
        return now_s + directory.LEASE_EXPIRED_GRACE_S

    def _advance(
        self, position: positions.StorePosition, current_at_s: float
    ) -> None:
        """Moves position and time of the local view forward, never back."""
        self.fleet_position = max(self.fleet_position, position)
        now_s = asyncio.get_running_loop().time()
        self.state.confirm_fleet(current_at_s, now_s)


def _describe_faults(faults: Sequence[errors.Fault]) -> tuple[str, ...]:
    return tuple(
        str(fault)[:_MAX_FAULT_LENGTH] for fault in faults[:_MAX_FAULTS]
    )
