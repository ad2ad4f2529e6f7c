"""Exchange of state in a large fleet: a relay per zone sums up its digests.

Load pattern: if each of N daemons sent its digest to all others, the traffic
and work of every daemon would grow with N. Here a daemon exchanges messages
with the relay of its zone only, and the relays with each other, so the cost is
fixed for all daemons but the relays.
"""

import asyncio
import collections
import dataclasses
import time
import typing
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping

from turmericcroft import errors
from turmericcroft.fleet import positions
from turmericcroft.fleet import relays
from turmericcroft.gateway import digest_collection
from turmericcroft.gateway import digests
from turmericcroft.gateway import fetching
from turmericcroft.gateway import messages
from turmericcroft.gateway import server_statements
from turmericcroft.gateway import state as states
from turmericcroft.gateway import store_view as store_views
from turmericcroft.gateway import usage_collection
from turmericcroft.mesh import codec
from turmericcroft.resumption import origins
from turmericcroft.stream_lookup import telling

# Interval between rounds. What a daemon admits reaches the quotas of all others
# within about three rounds.
INTERVAL_S = 0.4
# A relay is silent after this time without a newer summary; its summary's work
# is no longer counted then.
SILENT_AFTER_S = 2.0
# The summary of a silent relay is kept for this time, because the relay may
# return and continue the same sums.
_EVICT_AFTER_S = 20.0
# Number of digests that list a prefix, in case one of them is lost.
_PREFIX_REPEATS = 2
_MAX_SENT_DIGESTS = 16
# Stated for an age that is unknown, as no infinite one can be.
_MAX_AGE_S = 1e6
_ROUNDS_BETWEEN_ZONES = 3

MembersGetter = Callable[[], Mapping[str, messages.Member]]


@dataclasses.dataclass
class HeldSummary:
    """The latest summary of a relay.

    Attributes:
        summary: The summary.
        encoded: The summary in encoded form, to pass on.
        received_at_s: Monotonic time when it was received or made.
    """

    summary: messages.Summary
    encoded: messages.Encoded
    received_at_s: float

    def is_silent(self, now_s: float) -> bool:
        """Returns whether the relay's next summary is overdue."""
        return now_s - self.received_at_s >= SILENT_AFTER_S

    def fleet_age_s(self, own_zone: str, now_s: float) -> float:
        """Returns the maximum age of the relay's view of the servers by now.

        A summary waits up to one round at the relay that makes it. One of
        another zone also waits up to one round at each of the two relays that
        pass it on.
        """
        is_own = self.summary.relay.availability_zone == own_zone
        rounds = 1 if is_own else _ROUNDS_BETWEEN_ZONES
        delay_s = rounds * INTERVAL_S + now_s - self.received_at_s
        return self.summary.fleet_age_s + delay_s


class RelayExchange:
    """Exchanges digests and summaries, as a relay or with the zone's relay.

    Attributes:
        own: This daemon's description.
        known_members: Returns the other daemons, by name.
        reachability: Which daemons answered recently.
        collection: Digests that this daemon collected as a relay.
        summaries: Latest summary of each relay, by the relay's key.
    """

    def __init__(
        self,
        state: states.State,
        store_view: store_views.StoreView,
        own: messages.Member,
        known_members: MembersGetter,
        fetcher: fetching.Fetcher,
    ) -> None:
        self.state = state
        self.store_view = store_view
        self.own = own
        self.known_members = known_members
        self.fetcher = fetcher
        self.reachability = relays.Reachability()
        self.collection = digest_collection.DigestCollection()
        self.summaries: dict[str, HeldSummary] = {}
        self._digest_number = 0
        self._summary_number = 0
        # Latest digests of this daemon, by number: the one that a summary
        # includes is subtracted from it.
        self._sent_digests: collections.OrderedDict[int, messages.Digest] = (
            collections.OrderedDict()
        )
        # First digest of this daemon that each relay's sums include, by the
        # relay's key.
        self._first_included: dict[str, messages.Digest] = {}
        self._relay_name = ""
        self._pending_calls: dict[str, asyncio.Task[object]] = {}

    def relay_of(self, zone: str, now_s: float) -> messages.Member | None:
        """Returns the zone's relay, as this daemon chooses it."""
        members = {
            name: member
            for name, member in self.known_members().items()
            if member.availability_zone == zone
        }
        if zone == self.own.availability_zone and not self.state.stopping:
            members[self.own.name] = self.own
        chosen = self.reachability.choose(
            (relays.Candidate(m.name, m.link_mbps) for m in members.values()),
            now_s,
        )
        return members[chosen.name] if chosen is not None else None

    def is_relay(self, now_s: float) -> bool:
        """Returns whether this daemon is the relay of its zone."""
        return self.relay_of(self.own.availability_zone, now_s) is self.own

    def count_silent_relays(self, within_s: float) -> int:
        """Counts the relays that fell silent within a time before now."""
        now_s = asyncio.get_running_loop().time()
        return sum(
            held.is_silent(now_s) and now_s - held.received_at_s < within_s
            for held in self.summaries.values()
        )

    def run_round(self) -> None:
        """Sends this daemon's digest, and as a relay its summary.

        A daemon that received digests recently sends a summary of them, also
        if it would choose another daemon as the relay.
        """
        now_s = asyncio.get_running_loop().time()
        digest = self._make_digest()
        relay = self.relay_of(self.own.availability_zone, now_s)
        name = relay.name if relay is not None else "none"
        if name != self._relay_name:
            self._relay_name = name
            zone = self.own.availability_zone
            self.state.log_member_change(name, zone, "chosen as relay", 0.0)
        if relay is self.own:
            self.collection.add(digest, now_s)
        elif relay is not None:
            self._start_call(relay.name, self._send_digest(relay, digest))
        if self.collection.live_digests(now_s):
            own_summary = self._summarize(now_s)
            for zone in {
                m.availability_zone for m in self.known_members().values()
            }:
                other = self.relay_of(zone, now_s)
                if other is not None and other is not self.own:
                    self._start_call(
                        f"share {other.name}",
                        self._share_summaries(other, own_summary),
                    )
        self._drop_silent()
        self._fetch_missing()

    def _start_call(
        self, name: str, work: Coroutine[typing.Any, typing.Any, object]
    ) -> None:
        """Starts a call, unless the previous call of this name is pending.

        Rounds don't wait for calls, so a daemon that does not answer delays no
        exchange with the others.
        """
        if name in self._pending_calls:
            work.close()
            return
        task = asyncio.create_task(work)
        self._pending_calls[name] = task
        task.add_done_callback(lambda _: self._pending_calls.pop(name))

    def handle_gather(
        self, message: messages.Gather
    ) -> messages.Gathered | messages.Declined:
        """Collects the digest of a daemon of this zone.

        Replies with the summaries that the daemon does not have yet.
        """
        if self.state.stopping:
            return messages.Declined()
        now_s = asyncio.get_running_loop().time()
        self.collection.add(message.digest, now_s)
        for window, counts in message.digest.recorded.items():
            self.state.recorded_windows.keep(window, counts)
        notes = message.digest.crash_notes
        self.state.crashes.merge(notes, now_s)
        source = f"peer {message.digest.member.name}"
        server_statements.merge_limits(
            self.state, message.digest.limit_notes, source, now_s
        )
        server_statements.merge_brittle(
            self.state, message.digest.brittle, source, now_s
        )
        self.state.rollouts.merge(message.digest.rollouts, now_s)
        self.state.statements.merge(message.digest.statements, now_s, True)
        telling.merge_notes(
            self.state,
            message.digest.stream_notes,
            message.digest.versions,
            now_s,
            is_member=True,
        )
        held = self.summaries.get(self.own.key)
        if held is None or not self._is_current(held.summary):
            self._summarize(now_s)
        included = self.collection.included_numbers.get(
            message.digest.member.name, 0
        )
        declared = self.state.declaration
        return messages.Gathered(
            included,
            self._newer_summaries(message.known),
            declared.version,
            min(_MAX_AGE_S, now_s - declared.recency.confirmed_at_s),
        )

    def handle_share(self, message: messages.Share) -> messages.Share:
        """Applies another relay's summaries; replies with those it lacks."""
        self.reachability.record_answer(message.sender)
        for encoded in message.summaries:
            self._apply_encoded(encoded, None)
        return messages.Share(
            self.own.name, self._newer_summaries(message.known), {}
        )

    async def collect_usage(self) -> bool:
        """Collects the usage counts of all daemons from the relays.

        Returns:
            Whether a relay of each zone answered.
        """
        others = [
            held.summary.relay
            for held in self.summaries.values()
            if held.summary.relay.name != self.own.name
        ]
        answered = await usage_collection.collect(
            self.state.usage,
            self.own.key,
            self.collection.usage(),
            others,
            self.fetcher,
        )
        zones = {m.availability_zone for m in self.known_members().values()}
        return zones <= answered | {self.own.availability_zone}

    async def hand_over_usage(self) -> None:
        """Sends usage counts to the zone's next relay before this daemon stops.

        A daemon that did not answer this one lately may still be the relay that
        all others choose, so that it gets the counts, too. They replace those
        of the same daemons, wherever they are kept.
        """
        zone = {
            name: member
            for name, member in self.known_members().items()
            if member.availability_zone == self.own.availability_zone
            and name != self.own.name
        }
        candidates = [
            relays.Candidate(m.name, m.link_mbps) for m in zone.values()
        ]
        now_s = asyncio.get_running_loop().time()
        chosen = {
            reach.choose(candidates, now_s)
            for reach in (self.reachability, relays.Reachability())
        }
        counts = self.collection.usage() | {self.own.key: self.state.usage.own}
        message = messages.KeepUsage(counts)
        await asyncio.gather(
            *(
                self.fetcher.call(zone[found.name], message)
                for found in chosen
                if found is not None
            )
        )

    def _make_digest(self) -> messages.Digest:
        self._digest_number += 1
        digest = digests.make_digest(
            self.state,
            self.store_view,
            self.own,
            self._digest_number,
            INTERVAL_S * _PREFIX_REPEATS,
        )
        self._sent_digests[digest.number] = digest
        while len(self._sent_digests) > _MAX_SENT_DIGESTS:
            self._sent_digests.popitem(last=False)
        return digest

    def _summarize(self, now_s: float) -> messages.Encoded:
        live_digests = self.collection.live_digests(now_s)
        self._summary_number += 1
        self.collection.record_included(live_digests)
        summary = messages.Summary(
            relay=self.own,
            number=self._summary_number,
            wall_s=time.time(),
            members=len(self.known_members()) + 1,
            version=self.state.declaration.version,
            servers_revision=self.store_view.servers_position.revision,
            store_era=self.store_view.servers_position.era,
            fleet_age_s=self.store_view.fleet_age_s,
            work=self.collection.work(live_digests),
            quota_totals=dict(self.collection.quota_totals),
            crashes={},
            demand=dict(self.collection.demand),
            heads=self.collection.prefixes(live_digests),
            leaving=self.collection.leaving(live_digests),
            recorded=self.state.recorded_windows.newest(),
            crash_notes=self.state.crash_ledger.notes(now_s),
            limit_notes=self.state.server_limits.notes(now_s),
            stream_notes=origins.join_notes(
                note for digest in live_digests for note in digest.stream_notes
            ),
            versions=telling.make_history(self.state, now_s),
            brittle=self.state.brittle.notes(now_s),
            counters=dict(self.collection.counters),
            rollouts=self.state.rollouts.make_notes(now_s),
            statements=self.state.statements.make_notes(now_s),
        )
        data = messages.CODEC.encode(codec.Envelope(0, summary))
        encoded = messages.Encoded(self.own.key, summary.number, data)
        self.summaries[self.own.key] = HeldSummary(summary, encoded, now_s)
        included = self.collection.included_numbers.get(self.own.name, 0)
        self._apply_summary(summary, self._sent_digests.get(included), now_s)
        return encoded

    def _is_current(self, summary: messages.Summary) -> bool:
        """Returns whether a summary has the newest servers and declaration.

        Their changes must not wait for the relay's next round.
        """
        return (
            summary.servers_position == self.store_view.servers_position
            and summary.version == self.state.declaration.version
        )

    def _known_numbers(self) -> dict[str, int]:
        return {key: h.summary.number for key, h in self.summaries.items()}

    def _newer_summaries(
        self, known: Mapping[str, int]
    ) -> tuple[messages.Encoded, ...]:
        return tuple(
            held.encoded
            for key, held in self.summaries.items()
            if known.get(key, 0) < held.summary.number
        )

    async def _send_digest(
        self, relay: messages.Member, digest: messages.Digest
    ) -> None:
        message = messages.Gather(digest, self._known_numbers())
        asked_at_s = asyncio.get_running_loop().time()
        match await self._call(relay, message):
            case messages.Gathered(included, summaries, version, age_s):
                if 0 < version <= self.state.declaration.version:
                    # The relay read the age after this call began.
                    recency = self.state.declaration.recency
                    recency.confirm(asked_at_s - age_s)
                own_digest = self._sent_digests.get(included)
                for encoded in summaries:
                    is_from_relay = encoded.relay.startswith(f"{relay.name}/")
                    self._apply_encoded(
                        encoded, own_digest if is_from_relay else None
                    )
            case messages.Declined():
                now_s = asyncio.get_running_loop().time()
                self.reachability.record_failure(relay.name, now_s)

    async def _share_summaries(
        self, other: messages.Member, own_summary: messages.Encoded
    ) -> None:
        message = messages.Share(
            self.own.name, (own_summary,), self._known_numbers()
        )
        match await self._call(other, message):
            case messages.Share(_, summaries, _):
                for encoded in summaries:
                    self._apply_encoded(encoded, None)

    async def _call(self, other: messages.Member, message: object) -> object:
        try:
            reply = await self.fetcher.request(other, message)
        except errors.MeshError:
            # Not logged here: the choice of another relay is logged.
            now_s = asyncio.get_running_loop().time()
            self.reachability.record_failure(other.name, now_s)
            return None
        self.reachability.record_answer(other.name)
        return reply

    def _apply_encoded(
        self, encoded: messages.Encoded, included: messages.Digest | None
    ) -> None:
        """Decodes and applies a summary that is newer than the held one."""
        held = self.summaries.get(encoded.relay)
        if encoded.relay == self.own.key or (
            held is not None and held.summary.number >= encoded.number
        ):
            return
        summary = self._decode(encoded)
        if summary is None:
            return
        now_s = asyncio.get_running_loop().time()
        if held is not None and held.is_silent(now_s):
            # What began meanwhile was told in summaries that were missed.
            source = self.relay_of(self.own.availability_zone, now_s)
            if source in (summary.relay, self.own):
                self._start_call(
                    f"streams {summary.relay.name} {summary.number}",
                    self.fetcher.missed_streams.fetch(summary.relay),
                )
        self.summaries[encoded.relay] = HeldSummary(summary, encoded, now_s)
        self._apply_summary(summary, included, now_s)

    def _decode(self, encoded: messages.Encoded) -> messages.Summary | None:
        """Decodes a summary; logs and returns None if it is none."""
        cause = "another message"
        try:
            found = messages.CODEC.decode(encoded.data).message
            if isinstance(found, messages.Summary):
                cause = "its position or its number can't be reached"
                at = found.servers_position
                if at.is_reachable() and found.number <= positions.MAX_REVISION:
                    return found
        except errors.MeshError as error:
            cause = str(error)
        self.state.odd_values.record("summary", encoded.relay, cause)
        return None

    def _apply_summary(
        self,
        summary: messages.Summary,
        included: messages.Digest | None,
        now_s: float,
    ) -> None:
        """Applies a summary, less this daemon's own part in it.

        Args:
            summary: The summary.
            included: This daemon's digest that the summary includes, if any.
            now_s: Monotonic time.
        """
        first_included = included
        if included is not None:
            first_included = self._first_included.setdefault(
                summary.relay.key, included
            )
        digests.apply_summary(
            self.state,
            summary,
            included,
            first_included,
            now_s,
        )

    def _fetch_missing(self) -> None:
        """Fetches newer declarations, servers and daemons from relays."""
        now_s = asyncio.get_running_loop().time()
        current = [
            held
            for key, held in self.summaries.items()
            if key != self.own.key and not held.is_silent(now_s)
        ]
        if not current:
            return
        lacks = self.state.declaration.lacks
        versions = {held.summary.version for held in current}
        version = max((v for v in versions if lacks(v, now_s)), default=0)
        if version:
            source = self._choose_source(
                [held for held in current if held.summary.version == version],
                now_s,
            )
            fetch = self.fetcher.fetch_declaration(source, version)
            self._start_call("declaration", fetch)
        latest = max(held.summary.servers_position for held in current)
        if latest > self.store_view.servers_position:
            # Whatever age the relays state: the clock of a VM stops while it is
            # suspended, so a relay that was resumed states too low an age.
            since = self.store_view.servers_position
            source = self._choose_source(
                [
                    held
                    for held in current
                    if held.summary.servers_position == latest
                ],
                now_s,
            )
            fetch_servers = self.fetcher.fetch_servers(source, since)
            self._start_call("servers", fetch_servers)
        else:
            zone = self.own.availability_zone
            self.store_view.confirm(
                min(
                    held.fleet_age_s(zone, now_s)
                    for held in current
                    if held.summary.store_era == latest.era
                )
            )
        widest = max(current, key=lambda held: held.summary.members)
        if widest.summary.members > len(self.known_members()) + 1:
            self._start_call(
                "members", self.fetcher.fetch_members(widest.summary.relay)
            )

    def _choose_source(
        self, holders: list[HeldSummary], now_s: float
    ) -> messages.Member:
        """Chooses a relay that has an update, preferring reachable ones."""
        relay_members = [held.summary.relay for held in holders]
        reachable = [
            relay
            for relay in relay_members
            if not self.reachability.is_backing_off(relay.name, now_s)
        ] or relay_members
        chosen = relays.choose_source(
            (
                relays.Source(relay.name, relay.availability_zone)
                for relay in reachable
            ),
            self.own.availability_zone,
            self.own.name,
        )
        assert chosen is not None
        return next(relay for relay in reachable if relay.name == chosen.name)

    def _drop_silent(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for key, held in list(self.summaries.items()):
            if not held.is_silent(now_s):
                continue
            silent_s = now_s - held.received_at_s
            if self.state.engine_loads.peers.get(key):
                self.state.engine_loads.update_peer(key, {})
                relay = held.summary.relay
                zone = relay.availability_zone
                self.state.log_member_change(
                    relay.name, zone, "relay silent", silent_s
                )
            if self._has_other_relay(held, now_s):
                # The other relay's sums now include its zone's quota units.
                self.state.release_reserved_quotas(key)
            if silent_s > _EVICT_AFTER_S:
                del self.summaries[key]

    def _has_other_relay(self, silent: HeldSummary, now_s: float) -> bool:
        """Returns whether the silent relay's zone has another relay."""
        zone = silent.summary.relay.availability_zone
        return any(
            held.summary.relay.availability_zone == zone
            and not held.is_silent(now_s)
            for held in self.summaries.values()
        )
