"""Takes in declarations and servers' entries, whoever brings them."""

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
# Leases run for about three heartbeats; an outage shorter than this ends none.
_LAPSING_OUTAGE_S = 2.0
# News by relays are up to 0.7 of the drain time old without any outage, 2.1 s
# at 3 s, before a daemon asks the store itself; that takes up to half a second.
_RELAYED_OUTAGE_S = 3.0
# Removed entries that are told to other daemons one by one; who missed more
# gets the whole listing.
_REMOVED_KEPT = 200
# Servers whose newest change is remembered; answers that are overtaken are
# seconds old, so the least recent ones matter to none.
_REVISIONS_KEPT = 10_000


class Beliefs:
    """Keeps the daemon's state in step with the store.

    Attributes:
        state: What it changes.
        records: Form of the store's contents.
        entries: The servers' entries as they were written, by name.
        fleet_revision: Store revision that the entries have reached.
        servers_revision: Store revision of the newest change of an entry.
        changed: Set whenever a newer declaration came into force.
    """

    def __init__(self, state: states.State, records: ports.Records) -> None:
        self.state = state
        self.records = records
        self.entries: dict[str, messages.ServerEntry] = {}
        self.fleet_revision = 0
        self.servers_revision = 0
        self._whole_since = 0
        # Revisions of the newest changes since then, removals among them.
        self._revisions: dict[str, int] = {}
        self._removed: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=_REMOVED_KEPT
        )
        self.changed = asyncio.Event()

    @property
    def fleet_age_s(self) -> float:
        """How old the knowledge of the servers is."""
        now_s = asyncio.get_running_loop().time()
        return min(1e6, now_s - self.state.fleet_current_at_s)

    def declare(self, raw: bytes, revision: int, source: str) -> bool:
        """Puts a declaration in force, if it is newer.

        A declaration that cannot be read leaves the one in force as it is.
        """
        declared = self.state.declared
        try:
            found = self.records.decode_declaration(raw)
        except errors.FaultyInputError as error:
            _LOG.error("declaration not read", source=source, error=str(error))
            return False
        if found.version <= declared.version:
            return False
        before = declared.version
        declared.table = declaration.RouteTable(found)
        declared.raw, declared.revision = raw, revision
        engines = [service.engine for service in found.services.values()]
        self.state.cached.kv_cache_tokens = min(
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
        self.changed.set()
        return True

    def list_servers(
        self,
        items: Iterable[messages.ServerEntry],
        revision: int,
        age_s: float,
        source: str,
    ) -> None:
        """Takes in a complete listing of the servers.

        A listing older than what is known is left out: it would bring back
        servers whose entries are gone.
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
            listed, revision, now_s, self._lapsed_until_s(missing, now_s)
        )
        self.entries = entries
        # What was removed before is not known one by one.
        self._removed.clear()
        self._revisions.clear()
        self.servers_revision = self._whole_since = revision
        self._reached(revision, now_s - age_s)
        self.state.note_changes(changes, source, revision)

    def confirm(self, age_s: float) -> None:
        """Takes in that the servers were still as known, some time ago."""
        now_s = asyncio.get_running_loop().time()
        self._reached(self.fleet_revision, now_s - age_s)

    def make_reply(self, since: int) -> messages.ServersReply:
        """Tells the entries, or those that changed since a revision."""
        if since == 0 or since < self._whole_since or self._has_dropped(since):
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

    def take_reply(self, reply: messages.ServersReply, source: str) -> None:
        """Takes in another daemon's entries."""
        if reply.is_whole:
            self.list_servers(
                reply.entries, reply.revision, reply.age_s, source
            )
            return
        prefix = self.records.server_prefix
        items = [
            ports.Item(prefix + entry.name, entry.raw, entry.revision)
            for entry in reply.entries
        ]
        items += [
            ports.Item(prefix + name, None, revision)
            for name, revision in reply.removed
        ]
        self.apply(items, reply.revision, reply.age_s, source)
        # The sender knows all changes up to there.
        self.servers_revision = max(self.servers_revision, reply.revision)

    def _has_dropped(self, since: int) -> bool:
        """Whether removals after a revision are not known any more."""
        return (
            len(self._removed) == _REMOVED_KEPT and self._removed[0][1] > since
        )

    def apply(
        self,
        items: Iterable[ports.Item],
        revision: int,
        age_s: float = 0.0,
        source: str = "store",
    ) -> None:
        """Takes in changes that the store or another daemon tells."""
        now_s = asyncio.get_running_loop().time()
        prefix = self.records.server_prefix
        newest: dict[str, ports.Item] = {}
        for item in items:
            if item.key == self.records.declaration_key:
                if item.value is not None:
                    self.declare(item.value, item.revision, "store")
            elif item.key.startswith(prefix):
                newest[item.key.removeprefix(prefix)] = item
        removed = sum(item.value is None for item in newest.values())
        lapsed_until_s = self._lapsed_until_s(removed, now_s)
        changes = [
            self._apply_server(name, item, now_s, lapsed_until_s)
            for name, item in newest.items()
        ]
        self._reached(revision, now_s - age_s)
        found = [change for change in changes if change is not None]
        self.state.note_changes(found, source, revision)

    def expire(self) -> None:
        """Ends grace periods of servers."""
        now_s = asyncio.get_running_loop().time()
        changes = self.state.directory.expire(now_s)
        self.state.note_changes(changes, "time", self.fleet_revision)

    def _apply_server(
        self,
        name: str,
        item: ports.Item,
        now_s: float,
        lapsed_until_s: float,
    ) -> directory.Change | None:
        known = max(self._revisions.get(name, 0), self._whole_since)
        if item.revision <= known:
            # An answer of the store that was overtaken by a peer's news.
            return None
        self._revisions.pop(name, None)
        self._revisions[name] = item.revision
        if len(self._revisions) > _REVISIONS_KEPT:
            del self._revisions[next(iter(self._revisions))]
        self.servers_revision = max(self.servers_revision, item.revision)
        if item.value is None:
            self.entries.pop(name, None)
            self._removed.append((name, item.revision))
            return self.state.directory.remove(
                name, item.revision, now_s, lapsed_until_s
            )
        entry = messages.ServerEntry(name, item.value, item.revision)
        self.entries[name] = entry
        listed = directory.RegistryEntry(item.revision, self._decode(entry))
        return self.state.directory.put(name, listed, now_s)

    def _decode(self, entry: messages.ServerEntry) -> directory.Server | None:
        return self.records.decode_server(entry.name, entry.raw)

    def _lapsed_until_s(self, removed: int, now_s: float) -> float:
        away_s = now_s - self.state.fleet_current_at_s
        outage_s = _LAPSING_OUTAGE_S
        if self.state.relayed:
            outage_s = _RELAYED_OUTAGE_S
        if (
            math.isinf(away_s)
            or away_s < outage_s
            or not self.state.directory.leases_may_have_expired(removed)
        ):
            return -math.inf
        return now_s + directory.LEASE_EXPIRED_GRACE_S

    def _reached(self, revision: int, current_at_s: float) -> None:
        self.fleet_revision = max(self.fleet_revision, revision)
        self.state.fleet_current_at_s = max(
            self.state.fleet_current_at_s, current_at_s
        )


def encode_member(member: messages.Member) -> bytes:
    """Writes a daemon's description for the store."""
    return json.dumps(dataclasses.asdict(member)).encode()


def decode_member(value: bytes) -> messages.Member | None:
    """Reads a daemon's description; None if it cannot be read."""
    try:
        return messages.Member(**json.loads(value))
    except (ValueError, TypeError) as error:
        _LOG.warning("member not read", error=repr(error))
        return None
