"""Local view of the store: the declaration in force and the servers' entries.

Updates come from the store itself, from other daemons, and in a large fleet
from relays, so an older one may arrive after a newer one; revisions decide.
"""

import asyncio
import collections
import dataclasses
import json
import math
from collections.abc import Iterable

import logbook

from turmericcroft import errors
from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
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
# Servers whose latest revision is kept, to drop an answer of the store that a
# peer's update has overtaken. Such answers are seconds old, so the servers that
# changed least recently can be evicted.
_MAX_REVISIONS = 10_000


class StoreView:
    """Local view of the store, kept in the daemon's state.

    Attributes:
        state: The daemon's state.
        schema: Keys and encoding of the store's contents.
        entries: The servers' entries as the store holds them, by name.
        fleet_revision: Store revision up to which the entries are complete.
        servers_revision: Store revision of the latest change of an entry.
        declaration_changed: Set when a newer declaration comes into force.
    """

    def __init__(self, state: states.State, schema: ports.StoreSchema) -> None:
        self.state = state
        self.schema = schema
        self.entries: dict[str, messages.ServerEntry] = {}
        self.fleet_revision = 0
        self.servers_revision = 0
        self._listed_revision = 0
        # Revision of each server's latest change or removal since then.
        self._revisions: dict[str, int] = {}
        self._removed: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=_MAX_REMOVALS
        )
        self.declaration_changed = asyncio.Event()

    @property
    def fleet_age_s(self) -> float:
        """Age of the local view of the servers, at most 1e6."""
        now_s = asyncio.get_running_loop().time()
        return min(1e6, now_s - self.state.fleet_confirmed_at_s)

    def apply_declaration(self, raw: bytes, revision: int, source: str) -> bool:
        """Puts a declaration in force if its version is newer.

        A declaration that cannot be decoded is logged, and the one in force
        stays.

        Returns:
            Whether it came into force.
        """
        active = self.state.declaration
        try:
            found = self.schema.decode_declaration(raw)
        except errors.FaultyInputError as error:
            _LOG.error("declaration not read", source=source, error=str(error))
            return False
        if found.version <= active.version:
            return False
        before = active.version
        active.table = declaration.RouteTable(found)
        active.raw, active.revision = raw, revision
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
            )
        )
        self.declaration_changed.set()
        return True

    def apply_listing(
        self,
        items: Iterable[messages.ServerEntry],
        revision: int,
        age_s: float,
        source: str,
    ) -> None:
        """Replaces all entries by a complete listing.

        A listing older than the local view is ignored: it would restore
        servers whose entries were removed since.
        """
        if revision < self.fleet_revision:
            return
        now_s = asyncio.get_running_loop().time()
        entries = {item.name: item for item in items}
        listed = {
            name: directory.RegistryEntry(entry.revision, self._decode(entry))
            for name, entry in entries.items()
        }
        known = self.state.directory
        missing = len(known.records.keys() - listed.keys())
        changes = known.replace_all(
            listed, revision, now_s, self._grace_until_s(missing, now_s)
        )
        self.entries = entries
        # A listing doesn't name removed entries, so make_reply can't list the
        # removals before it.
        self._removed.clear()
        self._revisions.clear()
        self.servers_revision = self._listed_revision = revision
        self._advance(revision, now_s - age_s)
        self.state.record_server_changes(changes, source, revision)

    def confirm(self, age_s: float) -> None:
        """Records that the local view was current `age_s` ago."""
        now_s = asyncio.get_running_loop().time()
        self._advance(self.fleet_revision, now_s - age_s)

    def make_reply(self, since: int) -> messages.ServersReply:
        """Returns all entries, or the changes after a revision if known.

        Args:
            since: Store revision that the caller has reached; 0 for all
                entries.
        """
        if (
            since == 0
            or since < self._listed_revision
            or self._evicted_removals(since)
        ):
            entries = tuple(self.entries.values())
            return messages.ServersReply(
                entries, self.fleet_revision, self.fleet_age_s
            )
        return messages.ServersReply(
            entries=tuple(
                entry
                for entry in self.entries.values()
                if entry.revision > since
            ),
            revision=self.servers_revision,
            age_s=self.fleet_age_s,
            is_whole=False,
            removed=tuple(
                (name, revision)
                for name, revision in self._removed
                if revision > since
            ),
        )

    def apply_reply(self, reply: messages.ServersReply, source: str) -> None:
        """Applies the entries that another daemon sent."""
        if reply.is_whole:
            self.apply_listing(
                reply.entries, reply.revision, reply.age_s, source
            )
            return
        prefix = self.schema.server_prefix
        items = [
            ports.Item(prefix + entry.name, entry.raw, entry.revision)
            for entry in reply.entries
        ]
        items += [
            ports.Item(prefix + name, None, revision)
            for name, revision in reply.removed
        ]
        self.apply_changes(items, reply.revision, reply.age_s, source)
        # The sender has applied all changes up to this revision.
        self.servers_revision = max(self.servers_revision, reply.revision)

    def _evicted_removals(self, since: int) -> bool:
        """Whether a removal after a revision may have been evicted."""
        return (
            len(self._removed) == _MAX_REMOVALS and self._removed[0][1] > since
        )

    def apply_changes(
        self,
        items: Iterable[ports.Item],
        revision: int,
        age_s: float = 0.0,
        source: str = "store",
    ) -> None:
        """Applies changes from the store or another daemon.

        Args:
            items: Changed and removed keys; the latest change of a key last.
            revision: Store revision up to which no change is missing.
            age_s: How long ago the store was at that revision.
            source: Sender, for the log.
        """
        now_s = asyncio.get_running_loop().time()
        prefix = self.schema.server_prefix
        newest: dict[str, ports.Item] = {}
        for item in items:
            if item.key == self.schema.declaration_key:
                if item.value is not None:
                    self.apply_declaration(item.value, item.revision, "store")
            elif item.key.startswith(prefix):
                newest[item.key.removeprefix(prefix)] = item
        removed = sum(item.value is None for item in newest.values())
        grace_until_s = self._grace_until_s(removed, now_s)
        changes = [
            self._apply_server(name, item, now_s, grace_until_s)
            for name, item in newest.items()
        ]
        self._advance(revision, now_s - age_s)
        found = [change for change in changes if change is not None]
        self.state.record_server_changes(found, source, revision)

    def expire(self) -> None:
        """Ends the servers' grace periods that are over."""
        now_s = asyncio.get_running_loop().time()
        changes = self.state.directory.expire(now_s)
        self.state.record_server_changes(changes, "time", self.fleet_revision)

    def _apply_server(
        self,
        name: str,
        item: ports.Item,
        now_s: float,
        grace_until_s: float,
    ) -> directory.Change | None:
        latest = max(self._revisions.get(name, 0), self._listed_revision)
        if item.revision <= latest:
            # A peer's newer update arrived before this answer of the store.
            return None
        # Inserted anew, so that the order is that of the changes.
        self._revisions.pop(name, None)
        self._revisions[name] = item.revision
        if len(self._revisions) > _MAX_REVISIONS:
            del self._revisions[next(iter(self._revisions))]
        self.servers_revision = max(self.servers_revision, item.revision)
        if item.value is None:
            self.entries.pop(name, None)
            self._removed.append((name, item.revision))
            return self.state.directory.remove(
                name, item.revision, now_s, grace_until_s
            )
        entry = messages.ServerEntry(name, item.value, item.revision)
        self.entries[name] = entry
        listed = directory.RegistryEntry(item.revision, self._decode(entry))
        return self.state.directory.put(name, listed, now_s)

    def _decode(self, entry: messages.ServerEntry) -> directory.Server | None:
        return self.schema.decode_server(entry.name, entry.raw)

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

    def _advance(self, revision: int, current_at_s: float) -> None:
        """Moves revision and time of the local view forward, never back."""
        self.fleet_revision = max(self.fleet_revision, revision)
        self.state.fleet_confirmed_at_s = max(
            self.state.fleet_confirmed_at_s, current_at_s
        )


def encode_member(member: messages.Member) -> bytes:
    """Encodes a daemon's description for its entry in the store."""
    return json.dumps(dataclasses.asdict(member)).encode()


def decode_member(value: bytes) -> messages.Member | None:
    """Decodes a daemon's entry; logs and returns None if it is invalid."""
    try:
        return messages.Member(**json.loads(value))
    except (ValueError, TypeError) as error:
        _LOG.warning("cannot decode member entry", error=repr(error))
        return None
