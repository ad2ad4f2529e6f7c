"""Watches the store for changes of declaration, servers, daemons and duties.

The store is read by long polls, which are retried while it is unavailable. If
it has dropped the history of its changes, or continues from an older copy, all
keys are listed again, and this daemon's own entry is written again.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

import logbook

from turmericcroft import errors
from turmericcroft.eventlog import events
from turmericcroft.fleet import key_room
from turmericcroft.fleet import positions
from turmericcroft.fleet import stored_records
from turmericcroft.gateway import member_entries
from turmericcroft.gateway import members
from turmericcroft.gateway import messages
from turmericcroft.gateway import ports
from turmericcroft.gateway import state as states
from turmericcroft.gateway import store_view as store_views
from turmericcroft.routing import poison

_LOG = logbook.Logger("following")
GATEWAY_PREFIX = "turmericcroft/"
MEMBER_PREFIX = GATEWAY_PREFIX + "members/"
DUTY_KEY = GATEWAY_PREFIX + "duties"
USAGE_PREFIX = GATEWAY_PREFIX + "usage/"
QUARANTINE_PREFIX = GATEWAY_PREFIX + "quarantine/"
# Software versions that were seen, and in which part of the store's history.
COVERAGE_KEY = GATEWAY_PREFIX + "coverage"
# The versions alone, as earlier builds keep them.
VERSIONS_KEY = GATEWAY_PREFIX + "versions"
_MAX_WINDOW_DIGITS = 15
# Interval between polls, as a share of the time that a leaving server continues
# (drain_ms). Calls are paid for, so several changes are fetched by one call; a
# leaving server must still be noticed well before it ends, also if the store
# drops its history and returns no changes for another second.
_POLL_INTERVAL_SHARE = 0.4
# Longest wait of the store for changes, within one call. A connection that no
# longer delivers is noticed when the answer is overdue.
_LONG_POLL_S = 2.0
_RETRY_INTERVAL_S = 0.25
# Pause before all keys are listed again.
_RELIST_PAUSE_S = 0.01
# Interval between polls in a large fleet. There few daemons poll the store, one
# for each zone unless relays fail; the others get its changes a few rounds
# later.
_RELAY_POLL_INTERVAL_S = 0.4
# Longest wait of these daemons within one call, as a share of the drain time.
# It is shorter, because their view of the store must be current for all others.
_RELAY_LONG_POLL_SHARE = 0.2
# How often the other daemons check that relays keep them current.
_RELAYED_CHECK_INTERVAL_S = 0.2
# Long enough for a daemon's entry to outlive short outages of the store;
# digests show which daemons are alive.
_MEMBER_TTL_S = 60.0
_RENEW_INTERVAL_S = 20.0
# Daemons that don't poll the store register again within this time after it
# continued from an older copy, so that they don't all call it at once.
_REREGISTER_SPREAD_S = 3.0


@dataclasses.dataclass(frozen=True)
class DutyHolder:
    """The duties' key in the store.

    Attributes:
        position: Position of its last change.
        member: Key of the daemon that holds the lease.
    """

    position: positions.StorePosition
    member: str


class Follower:
    """Applies the store's changes to the daemon's local view.

    Attributes:
        duty_holder: The duties' key as last read; None if it does not exist.
        quarantines: Evidence of the causes of crashes that the store holds, by
            the key of the cause.
        coverage_record: Software versions that the duties' holder has seen, as
            the store holds them; None if it holds none.
        has_versions_key: Whether the store holds the key of earlier builds.
        listed: Set once the store was listed completely.
        on_rollout_keys: Called with the keys that may be of rollouts, and with
            whether these are all or those that changed.
        unavailable_since_s: When the store became unavailable, monotonic; None
            while it is available.
    """

    def __init__(
        self,
        state: states.State,
        store: ports.Store,
        store_view: store_views.StoreView,
        fleet_members: members.Members,
    ) -> None:
        self.state = state
        self.store = store
        self.store_view = store_view
        self.members = fleet_members
        self.duty_holder: DutyHolder | None = None
        self.quarantines: dict[str, tuple[poison.CrashNote, ...]] = {}
        self.coverage_record: ports.Item | None = None
        self.has_versions_key = False
        self.listed = asyncio.Event()
        self.on_rollout_keys: Callable[[ports.Listing, bool], None] = (
            lambda _keys, _is_whole: None
        )
        self.unavailable_since_s: float | None = None
        self._poll_interval_s = _POLL_INTERVAL_SHARE * state.directory.drain_s
        self._position = positions.START
        self._single_keys = (
            store_view.schema.declaration_key,
            DUTY_KEY,
            VERSIONS_KEY,
            COVERAGE_KEY,
        )
        # Keys of the first listing.
        self._first_keys: frozenset[str] = frozenset()
        self._room = key_room.KeyRoom(store_view.schema.server_prefix)
        # Lease of this daemon's own entry; None while it is not registered.
        self._member_lease: ports.Lease | None = None
        # Lease of a write of the entry whose outcome is unknown.
        self._unconfirmed_lease: ports.Lease | None = None
        self._random = random.Random()

    async def run(self) -> None:
        """Polls the store until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            is_listed = self._position != positions.START
            if is_listed and not self.members.polls_store():
                await asyncio.sleep(_RELAYED_CHECK_INTERVAL_S)
                continue
            try:
                if is_listed and not self._room.should_list(began_s):
                    await self._fetch_changes()
                else:
                    await self._list_all()
                self._record_available()
                pause_s = self._interval_s() - (loop.time() - began_s)
            except errors.HistoryDiscardedError as error:
                _LOG.info(
                    "changes can't be followed further; listing all keys",
                    error=str(error),
                )
                self._position = positions.START
                pause_s = _RELIST_PAUSE_S
            except errors.PlatformError as error:
                self._record_unavailable(str(error))
                pause_s = _RETRY_INTERVAL_S * self._random.uniform(0.7, 1.3)
            await asyncio.sleep(max(0.0, pause_s))

    def _interval_s(self) -> float:
        if self.members.is_large_fleet():
            return _RELAY_POLL_INTERVAL_S
        return self._poll_interval_s

    async def register_forever(self) -> None:
        """Keeps this daemon's entry in the store until cancelled."""
        era_changed = self.store_view.era_changed
        while True:
            try:
                await self._register()
                pause_s = _RENEW_INTERVAL_S if self._member_lease else 1.0
            except errors.PlatformError as error:
                _LOG.warning(
                    "cannot renew this daemon's entry in the store; retrying",
                    error=str(error),
                )
                pause_s = 1.0
            pause_s *= self._random.uniform(0.9, 1.1)
            try:
                async with asyncio.timeout(pause_s):
                    await era_changed.wait()
            except TimeoutError:
                continue
            era_changed.clear()
            if not self.members.polls_store():
                spread_s = self._random.uniform(0.0, _REREGISTER_SPREAD_S)
                await asyncio.sleep(spread_s)

    async def _register(self) -> None:
        """Writes this daemon's entry, or renews its lease.

        A write whose answer was lost may take effect after a later one, so that
        one has the same lease: the entry stays the same whichever comes last.
        """
        lease = self._member_lease
        if lease is not None and await self.store.keep_lease(lease):
            return
        self._member_lease = None
        lease = self._unconfirmed_lease
        if lease is None or not await self.store.keep_lease(lease):
            lease = await self.store.grant_lease(_MEMBER_TTL_S)
        self._unconfirmed_lease = lease
        member = self.members.own
        key = MEMBER_PREFIX + member.name
        value = member_entries.encode_member(member)
        write = ports.Write(key, value, lease.lease_id)
        position = await self.store.commit((), (write,))
        self._unconfirmed_lease = None
        if position is not None and lease.era == self.store.era:
            self._member_lease = lease

    async def _list_all(self) -> None:
        """Lists all keys; changes are polled from the oldest listing on."""
        asked_at = self.store_view.fleet_position
        asked_at_s = asyncio.get_running_loop().time()
        prefix = self.store_view.schema.declaration_prefix
        declared = await self.store.list_prefix(prefix)
        servers = await self.store.list_prefix(
            self.store_view.schema.server_prefix
        )
        own = await self.store.list_prefix(GATEWAY_PREFIX)
        listings = [declared, servers, own]
        schema = self.store_view.schema
        if any(i.key.startswith(schema.rollout_prefix) for i in declared.items):
            listings.append(
                await self.store.list_prefix(schema.rollout_status_prefix)
            )
        if len({found.position.era for found in listings}) > 1:
            raise errors.HistoryDiscardedError(
                "expected listings of one era of the store, found several"
            )
        server_prefix = self.store_view.schema.server_prefix
        self._room.reset(
            (
                (item.key, len(item.value or b""))
                for part in listings
                for item in part.items
                if item.key not in self._single_keys
            ),
            asyncio.get_running_loop().time(),
        )
        for item in declared.items:
            if item.key == self.store_view.schema.declaration_key:
                self.store_view.apply_declaration(
                    item.value or b"", item.position.revision, "store"
                )
        self.state.declaration.recency.confirm(asked_at_s)
        self.store_view.apply_listing(
            (
                messages.ServerEntry(
                    item.key.removeprefix(server_prefix),
                    item.value or b"",
                    item.position.revision,
                )
                for item in servers.items
            ),
            servers.position,
            0.0,
            "store",
            asked_at,
        )
        self._record_listed(listings, servers)
        self.duty_holder = None
        self.coverage_record, self.has_versions_key = None, False
        self.quarantines = {}
        for item in own.items:
            self.apply_own_key(item)
        self._position = min(found.position for found in listings)
        lease = self._member_lease
        if lease is not None and lease.era < self._position.era:
            # Also if this is the first listing, so that no restore was noticed.
            self.store_view.era_changed.set()
        self.listed.set()
        # After the servers, whose versions an order replaces; no request is
        # served in between.
        found = (
            x for part in (declared, own, *listings[3:]) for x in part.items
        )
        self.on_rollout_keys(ports.Listing(tuple(found), self._position), True)

    def _record_listed(
        self, listings: Iterable[ports.Listing], servers: ports.Listing
    ) -> None:
        """Begins the part of the store's history that this daemon follows."""
        versions = self.state.software_versions
        position = min(found.position for found in listings)
        if not self.listed.is_set():
            versions.begin_with_the_store(position.era)
            self._first_keys = frozenset(
                item.key for found in listings for item in found.items
            )
        now_s = asyncio.get_running_loop().time()
        versions.begin(servers.end or servers.position, position, now_s)

    def _wait_s(self) -> float:
        """Longest wait of the store for changes, within one call."""
        if self.members.is_large_fleet():
            return _RELAY_LONG_POLL_SHARE * self.state.directory.drain_s
        return _LONG_POLL_S

    async def catch_up(self) -> None:
        """Applies the changes until now, beside a call that waits for some.

        Raises:
            errors.PlatformError: The store can't be reached, or has discarded
                the changes.
        """
        if self.members.polls_store() and self._position != positions.START:
            await self._fetch_changes(0.0)
            return
        # Relays keep this daemon current; what only those need who follow the
        # store itself is left to them.
        versions = self.state.software_versions
        after = versions.follow_from(self.store_view.fleet_position)
        try:
            listing = await self.store.changes("", after, 0.0)
        except errors.HistoryDiscardedError:
            # No poll of this daemon finds that out.
            versions.drop(after)
            if versions.follow_from(self.store_view.fleet_position) == after:
                raise
            # A later part of the history may still be followed.
            return
        self.store_view.apply_changes(listing.items, listing.position)
        versions.extend(after, listing.position)

    async def _fetch_changes(self, wait_s: float | None = None) -> None:
        """Applies the changes after the position that was reached.

        Changes from before that position are fetched first if they close the
        gap after an earlier part of the history.

        Args:
            wait_s: Longest wait of the store for a change; None for that of
                polls.
        """
        if wait_s is None:
            wait_s = self._wait_s()
        versions = self.state.software_versions
        asked_at = self.store_view.fleet_position
        asked_at_s = asyncio.get_running_loop().time()
        after = versions.follow_from(self._position)
        listing = await self._fetch_earlier(after)
        if listing is None:
            after = self._position
            listing = await self.store.changes("", after, wait_s)
        if asked_at.era == listing.position.era > 0 and (
            listing.position < asked_at
        ):
            raise errors.HistoryDiscardedError(
                f"expected the store at {asked_at} or later, found it at "
                f"{listing.position}"
            )
        for item in listing.items:
            if item.position <= self._position:
                self.store_view.record_earlier(item)
        # Another call may have returned some of them meanwhile.
        later = [x for x in listing.items if x.position > self._position]
        items = tuple(self._keep_with_room(later))
        self._position = max(self._position, listing.position)
        self.store_view.apply_changes(items, self._position)
        self.state.declaration.recency.confirm(asked_at_s)
        versions.extend(after, listing.position)
        for item in items:
            if item.key.startswith(GATEWAY_PREFIX):
                self.apply_own_key(item)
        self.on_rollout_keys(ports.Listing(items, listing.position), False)

    async def _fetch_earlier(
        self, after: positions.StorePosition
    ) -> ports.Listing | None:
        """Fetches the changes that close the gap after an earlier position.

        Returns:
            None if there is no gap, or if the store has discarded them.
        """
        if after >= self._position:
            return None
        try:
            listing = await self.store.changes("", after, 0.0)
        except errors.HistoryDiscardedError:
            listing = None
        if listing is None or not (after.revision or self._is_whole(listing)):
            self.state.software_versions.drop(after)
            return None
        return listing

    def _is_whole(self, listing: ports.Listing) -> bool:
        """Whether changes can be all that the store ever made.

        Each key that was listed or removed must have been written in them.
        """
        written: set[str] = set()
        for item in listing.items:
            if item.value is None and item.key not in written:
                return False
            written.add(item.key)
        return self._first_keys <= written

    def _keep_with_room(
        self, items: Iterable[ports.Item]
    ) -> Iterator[ports.Item]:
        """Yields the changes that can be kept.

        A known key whose value has no room can't be read; a new one is left
        out until there is room.
        """
        now_s = asyncio.get_running_loop().time()
        for item in items:
            length = None if item.value is None else len(item.value)
            if item.key in self._single_keys or self._room.admit(
                item.key, length, now_s
            ):
                yield item
                continue
            self.state.odd_values.record("key", item.key, "no room for it")
            self.store_view.record_earlier(item)
            if item.key in self._room:
                yield dataclasses.replace(item, value=b"")

    def is_duty_key_missing(self, position: positions.StorePosition) -> bool:
        """Whether the duties' key was removed after a position in this era."""
        return (
            self.duty_holder is None
            and self._position.era == position.era
            and self._position >= position
        )

    def apply_own_key(self, item: ports.Item) -> None:
        """Applies a key that daemons write."""
        if item.key == DUTY_KEY:
            self.duty_holder = None
            if item.value is not None:
                holder = item.value.decode("utf-8", "replace")
                self.duty_holder = DutyHolder(item.position, holder)
        elif item.key.startswith(MEMBER_PREFIX) and item.value is not None:
            member = member_entries.decode_member(item.value)
            if member is not None:
                self.members.add_member(member)
        elif item.key.startswith(USAGE_PREFIX) and item.value is not None:
            window = item.key.removeprefix(USAGE_PREFIX)
            if window.isdecimal() and len(window) <= _MAX_WINDOW_DIGITS:
                counts = stored_records.decode_counts(item.value)
                if counts is not None:
                    self.state.recorded_windows.keep(int(window), counts)
        elif item.key in (COVERAGE_KEY, VERSIONS_KEY):
            self._apply_versions(item)
        elif item.key.startswith(QUARANTINE_PREFIX):
            key = item.key.removeprefix(QUARANTINE_PREFIX)
            self._apply_quarantine(key, item.value)

    def _apply_versions(self, item: ports.Item) -> None:
        """Applies the versions that the holder of the duties has seen.

        Earlier builds don't state up to when they have seen all.
        """
        if item.key == VERSIONS_KEY:
            self.has_versions_key = item.value is not None
            return
        self.coverage_record = item if item.value is not None else None
        history = (
            stored_records.decode_history(item.value) if item.value else None
        )
        if history is not None:
            now_s = asyncio.get_running_loop().time()
            self.state.software_versions.merge(history, now_s)

    def _apply_quarantine(self, key: str, value: bytes | None) -> None:
        """Applies a cause of crashes that a daemon stored or that was removed.

        An operator removes one to release the requests; a daemon, after a
        server has answered them.
        """
        now_s = asyncio.get_running_loop().time()
        if value is None:
            notes = self.quarantines.pop(key, ())
            if not any(map(self.state.crash_ledger.is_suspected, notes)):
                # It had ended; later crashes are not meant.
                return
            traits = {trait for note in notes for trait in note.suspects}
            self.state.crashes.release(traits, now_s)
            return
        found = stored_records.decode_quarantine(
            value, self.state.corrected_time_s()
        )
        if found is not None:
            self.quarantines[key] = found
            self.state.crashes.merge(found, now_s)

    def _record_available(self) -> None:
        if self.unavailable_since_s is None:
            return
        outage_s = asyncio.get_running_loop().time() - self.unavailable_since_s
        self.unavailable_since_s = None
        self.state.log.write(events.DependencyRegained("store", outage_s))

    def _record_unavailable(self, cause: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self.state.declaration.recency.record_unanswered(now_s)
        if self.unavailable_since_s is not None:
            return
        self.unavailable_since_s = now_s
        self.state.log.write(
            events.DependencyLost("store", cause, self.store_view.fleet_age_s)
        )
