"""News in a large fleet: one daemon a zone gathers and passes on sums.

Load pattern: with N daemons that each tell all others, what a daemon sends and
reads grows with N. Here a daemon exchanges with one other, and the relays of
the zones with each other, so the cost of all but the relays is fixed.
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
from turmericcroft.fleet import relays
from turmericcroft.gateway import digests
from turmericcroft.gateway import fetching
from turmericcroft.gateway import gathering
from turmericcroft.gateway import messages
from turmericcroft.gateway import state as states
from turmericcroft.gateway import store_view as store_views
from turmericcroft.gateway import usage_collection
from turmericcroft.mesh import codec

# Quotas follow what others did within about three of these.
INTERVAL_S = 0.4
# A summary that is not renewed for so long is dropped.
SILENT_AFTER_S = 2.0
# A silent relay may return with the same sums up to this time.
_FORGOTTEN_AFTER_S = 20.0
# Digests that repeat a head, so that one that is lost does no harm.
_HEAD_TURNS = 2
_DIGESTS_KEPT = 16
_TURNS_BETWEEN_ZONES = 3

MembersByName = Callable[[], Mapping[str, messages.Member]]


@dataclasses.dataclass
class HeldSummary:
    """A summary that is held.

    Attributes:
        summary: The summary.
        encoded: The same, as it travels.
        heard_at_s: When it came, monotonic.
    """

    summary: messages.Summary
    encoded: messages.Encoded
    received_at_s: float

    def is_silent(self, now_s: float) -> bool:
        """Whether the relay made no newer one for too long."""
        return now_s - self.received_at_s >= SILENT_AFTER_S

    def fleet_age_s(self, own_zone: str, now_s: float) -> float:
        """Oldest that the relay's knowledge of the servers can be by now.

        A summary waits a turn where it is made, and one of another zone also
        a turn at each of the two relays that it passes.
        """
        is_own = self.summary.relay.availability_zone == own_zone
        turns = 1 if is_own else _TURNS_BETWEEN_ZONES
        waited_s = turns * INTERVAL_S + now_s - self.received_at_s
        return self.summary.fleet_age_s + waited_s


class RelayExchange:
    """Exchanges digests and summaries.

    Attributes:
        own: This daemon's description.
        reach: Which daemons answered.
        gathering: Digests gathered here.
        summaries: Summaries held, by the relay's identity.
    """

    def __init__(
        self,
        state: states.State,
        store_view: store_views.StoreView,
        own: messages.Member,
        known_members: MembersByName,
        fetcher: fetching.Fetcher,
    ) -> None:
        self.state = state
        self.store_view = store_view
        self.own = own
        self.known_members = known_members
        self.fetcher = fetcher
        self.reachability = relays.Reachability()
        self.collection = gathering.DigestCollection()
        self.summaries: dict[str, HeldSummary] = {}
        self._number = 0
        self._summaries_made = 0
        self._sent: collections.OrderedDict[int, messages.Digest] = (
            collections.OrderedDict()
        )
        # This daemon's first digest in the sums of each relay.
        self._first_included: dict[str, messages.Digest] = {}
        self._relay = ""
        self._calls: dict[str, asyncio.Task[object]] = {}

    def relay_of(self, zone: str, now_s: float) -> messages.Member | None:
        """The daemon that gathers a zone's digests, as seen from here."""
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
        """Whether this daemon gathers its zone's digests."""
        return self.relay_of(self.own.availability_zone, now_s) is self.own

    def count_silent_relays(self, within_s: float) -> int:
        """Relays that fell silent lately."""
        now_s = asyncio.get_running_loop().time()
        return sum(
            held.is_silent(now_s) and now_s - held.received_at_s < within_s
            for held in self.summaries.values()
        )

    def run_round(self) -> None:
        """Tells this daemon's digest, and what it gathered."""
        now_s = asyncio.get_running_loop().time()
        digest = self._make_digest()
        relay = self.relay_of(self.own.availability_zone, now_s)
        name = relay.name if relay is not None else "none"
        if name != self._relay:
            self._relay = name
            zone = self.own.availability_zone
            self.state.log_member_change(name, zone, "chosen as relay", 0.0)
        if relay is self.own:
            self.collection.add(digest, now_s)
        elif relay is not None:
            self._start(relay.name, self._send_digest(relay, digest))
        if self.collection.live_digests(now_s):
            own = self._summarize(now_s)
            for zone in {
                m.availability_zone for m in self.known_members().values()
            }:
                other = self.relay_of(zone, now_s)
                if other is not None and other is not self.own:
                    self._start(f"share {other.name}", self._share(other, own))
        self._drop_silent()
        self._catch_up()

    def _start(
        self, name: str, work: Coroutine[typing.Any, typing.Any, object]
    ) -> None:
        """Starts a call, unless the one before it is still under way.

        A daemon that does not answer holds up no turn that way.
        """
        if name in self._calls:
            work.close()
            return
        task = asyncio.create_task(work)
        self._calls[name] = task
        task.add_done_callback(lambda _: self._calls.pop(name))

    def handle_gather(
        self, message: messages.Gather
    ) -> messages.Gathered | messages.Declined:
        """Takes in the digest of a daemon of this zone."""
        if self.state.stopping:
            return messages.Declined()
        now_s = asyncio.get_running_loop().time()
        self.collection.add(message.digest, now_s)
        known = self.summaries.get(self.own.key)
        if known is None or not self._is_current(known.summary):
            self._summarize(now_s)
        included = self.collection.included_numbers.get(
            message.digest.member.name, 0
        )
        return messages.Gathered(included, self._news(message.known))

    def handle_share(self, message: messages.Share) -> messages.Share:
        """Takes in what another relay tells, and answers with the rest."""
        self.reachability.record_answer(message.sender)
        for encoded in message.summaries:
            self._hear(encoded, None)
        return messages.Share(self.own.name, self._news(message.known), {})

    async def collect_usage(self) -> bool:
        """Asks all relays for what their daemons counted.

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
        """Gives what was counted to another relay, before this one ends."""
        now_s = asyncio.get_running_loop().time()
        other = self.relay_of(self.own.availability_zone, now_s)
        if other is None or other is self.own:
            return
        counts = self.collection.usage() | {self.own.key: self.state.usage.own}
        await self.fetcher.call(other, messages.KeepUsage(counts))

    def _make_digest(self) -> messages.Digest:
        self._number += 1
        digest = digests.make_digest(
            self.state,
            self.store_view,
            self.own,
            self._number,
            INTERVAL_S * _HEAD_TURNS,
        )
        self._sent[digest.number] = digest
        while len(self._sent) > _DIGESTS_KEPT:
            self._sent.popitem(last=False)
        return digest

    def _summarize(self, now_s: float) -> messages.Encoded:
        live = self.collection.live_digests(now_s)
        self._summaries_made += 1
        self.collection.record_included(live)
        summary = messages.Summary(
            relay=self.own,
            number=self._summaries_made,
            wall_s=time.time(),
            members=len(self.known_members()) + 1,
            version=self.state.declaration.version,
            servers_revision=self.store_view.servers_revision,
            fleet_age_s=self.store_view.fleet_age_s,
            work=self.collection.work(live),
            quota_totals=dict(self.collection.quota_totals),
            crashes=self.collection.crashes(live),
            demand=dict(self.collection.demand),
            heads=self.collection.prefixes(live),
        )
        data = messages.CODEC.encode(codec.Envelope(0, summary))
        encoded = messages.Encoded(self.own.key, summary.number, data)
        self.summaries[self.own.key] = HeldSummary(summary, encoded, now_s)
        included = self.collection.included_numbers.get(self.own.name, 0)
        self._take_in(summary, self._sent.get(included), now_s)
        return encoded

    def _is_current(self, summary: messages.Summary) -> bool:
        """Whether a summary tells the newest of what must not wait."""
        return (
            summary.servers_revision == self.store_view.servers_revision
            and summary.version == self.state.declaration.version
        )

    def _known_numbers(self) -> dict[str, int]:
        return {key: h.summary.number for key, h in self.summaries.items()}

    def _news(self, known: Mapping[str, int]) -> tuple[messages.Encoded, ...]:
        return tuple(
            held.encoded
            for key, held in self.summaries.items()
            if known.get(key, 0) < held.summary.number
        )

    async def _send_digest(
        self, relay: messages.Member, digest: messages.Digest
    ) -> None:
        message = messages.Gather(digest, self._known_numbers())
        match await self._call(relay, message):
            case messages.Gathered(included, summaries):
                own = self._sent.get(included)
                for encoded in summaries:
                    is_theirs = encoded.relay.startswith(f"{relay.name}/")
                    self._hear(encoded, own if is_theirs else None)
            case messages.Declined():
                now_s = asyncio.get_running_loop().time()
                self.reachability.record_failure(relay.name, now_s)

    async def _share(
        self, other: messages.Member, own: messages.Encoded
    ) -> None:
        message = messages.Share(self.own.name, (own,), self._known_numbers())
        match await self._call(other, message):
            case messages.Share(_, summaries, _):
                for encoded in summaries:
                    self._hear(encoded, None)

    async def _call(self, other: messages.Member, message: object) -> object:
        try:
            reply = await self.fetcher.request(other, message)
        except errors.MeshError:
            # The relay that is chosen instead is logged.
            now_s = asyncio.get_running_loop().time()
            self.reachability.record_failure(other.name, now_s)
            return None
        self.reachability.record_answer(other.name)
        return reply

    def _hear(
        self, encoded: messages.Encoded, own: messages.Digest | None
    ) -> None:
        """Takes in a summary, once."""
        known = self.summaries.get(encoded.relay)
        if encoded.relay == self.own.key or (
            known is not None and known.summary.number >= encoded.number
        ):
            return
        summary = messages.CODEC.decode(encoded.data).message
        now_s = asyncio.get_running_loop().time()
        self.summaries[encoded.relay] = HeldSummary(summary, encoded, now_s)
        self._take_in(summary, own, now_s)

    def _take_in(
        self,
        summary: messages.Summary,
        own: messages.Digest | None,
        now_s: float,
    ) -> None:
        """Learns from a summary, less this daemon's own part in it."""
        first = own
        if own is not None:
            first = self._first_included.setdefault(summary.relay.key, own)
        digests.apply_summary(
            self.state, summary, self.own.key, own, first, now_s
        )

    def _catch_up(self) -> None:
        """Fetches newer declarations, servers and daemons from relays."""
        now_s = asyncio.get_running_loop().time()
        current = [
            held
            for key, held in self.summaries.items()
            if key != self.own.key and not held.is_silent(now_s)
        ]
        if not current:
            return
        newest = max(current, key=lambda held: held.summary.version)
        if newest.summary.version > self.state.declaration.version:
            fetch = self.fetcher.fetch_declaration(newest.summary.relay)
            self._start("declaration", fetch)
        latest = max(current, key=lambda held: held.summary.servers_revision)
        if latest.summary.servers_revision > self.store_view.servers_revision:
            # Whatever ages are claimed: the clock of a VM stands still while
            # it is suspended.
            since = self.store_view.servers_revision
            fetch_servers = self.fetcher.fetch_servers(
                latest.summary.relay, since
            )
            self._start("servers", fetch_servers)
        else:
            zone = self.own.availability_zone
            self.store_view.confirm(
                min(held.fleet_age_s(zone, now_s) for held in current)
            )
        widest = max(current, key=lambda held: held.summary.members)
        if widest.summary.members > len(self.known_members()) + 1:
            self._start(
                "members", self.fetcher.fetch_members(widest.summary.relay)
            )

    def _drop_silent(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for key, held in list(self.summaries.items()):
            if not held.is_silent(now_s):
                continue
            silence_s = now_s - held.received_at_s
            if self.state.engine_loads.peers.get(key):
                self.state.engine_loads.update_peer(key, {})
                relay = held.summary.relay
                zone = relay.availability_zone
                self.state.log_member_change(
                    relay.name, zone, "relay silent", silence_s
                )
            if self._is_replaced(held, now_s):
                # Its part of the quotas is the other relay's now.
                self.state.release_reserved_quotas(key)
            if silence_s > _FORGOTTEN_AFTER_S:
                del self.summaries[key]

    def _is_replaced(self, silent: HeldSummary, now_s: float) -> bool:
        """Whether another relay is heard of the same zone."""
        zone = silent.summary.relay.availability_zone
        return any(
            held.summary.relay.availability_zone == zone
            and not held.is_silent(now_s)
            for held in self.summaries.values()
        )
