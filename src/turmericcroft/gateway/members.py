"""Keeps track of the other daemons and exchanges state with them.

In a small fleet each daemon sends its digest to every other one. In a large
fleet, where that would cost too much, digests go through relays.
"""

import asyncio
import dataclasses
import math
import random
import typing
from collections.abc import AsyncIterator
from collections.abc import Coroutine

import logbook

from turmericcroft import errors
from turmericcroft.fleet import addresses
from turmericcroft.fleet import positions
from turmericcroft.gateway import digests
from turmericcroft.gateway import fetching
from turmericcroft.gateway import messages
from turmericcroft.gateway import relaying
from turmericcroft.gateway import state as states
from turmericcroft.gateway import store_view as store_views
from turmericcroft.mesh import link
from turmericcroft.responses import buffers
from turmericcroft.routing import quota
from turmericcroft.stream_lookup import telling

_LOG = logbook.Logger("members")
# Interval between digests in a small fleet. Quotas and loads include what other
# daemons did up to this time ago.
DIGEST_INTERVAL_S = 0.2
# Largest fleet without relays. Each of 16 daemons sends about 80 digests a
# second to the others.
_MAX_DIRECT_DAEMONS = 16
_CALL_TIMEOUT_S = 0.6
# A declaration may have thousands of routes, and the members of a zone fetch it
# from their relay at the same time.
_DECLARATION_TIMEOUT_S = 2.0
# The process may be killed 0.6 s after close() begins (daemon.py).
_HAND_OVER_TIMEOUT_S = 0.3
# Number of digests that list a prefix, in case some of them are lost.
_PREFIX_REPEATS = 3
_SILENT_AFTER_S = 1.5
# Daemons that are asked for what the store says, when it can't be reached.
_CONFIRMING_PEERS = 2
# Number of digest intervals without a digest after which another daemon's part
# of the quotas is reserved.
_SILENT_AFTER_DIGESTS = 3.0
# The same in rounds, for a large fleet: a summary passes through up to three
# daemons, and each may hold it for a round.
_SILENT_AFTER_SUMMARIES = 4.0
# Age of the view of the servers above which a daemon stops relying on its relay
# and polls the store, as a share of the time that a leaving server continues
# (drain_ms).
_MAX_RELAYED_AGE_SHARE = 0.7
# A daemon that was silent for this time is sent only the share below of the
# digests.
_UNREACHABLE_AFTER_S = 15.0
_UNREACHABLE_RETRY_SHARE = 0.1
# Age of the view of the servers above which it is fetched from another daemon.
_MAX_FLEET_AGE_S = 1.2
_FETCH_INTERVAL_S = 0.4


@dataclasses.dataclass
class KnownMember:
    """Another daemon, as known to this one.

    Attributes:
        member: Its description.
        last_seen_at_s: Monotonic time when its last digest was received, or
            when it was added.
        digest: Its last digest; None before the first one and in a large fleet.
        silent: Whether it was logged as silent.
    """

    member: messages.Member
    last_seen_at_s: float
    digest: messages.Digest | None = None
    silent: bool = False


class Members:
    """The other daemons of the fleet, and the exchange of state with them.

    Attributes:
        own: This daemon's own description.
        others: The other daemons, by name.
        fetcher: Fetches what this daemon missed from other daemons.
        relay_exchange: Exchange of state through relays, in a large fleet.
        confirm_view: Confirms the view by the store, for another daemon.
        server: Server of this daemon's mesh port.
    """

    def __init__(
        self, state: states.State, store_view: store_views.StoreView
    ) -> None:
        config = state.settings
        self.state = state
        self.store_view = store_view
        self.own = messages.Member(
            name=config.daemon.name,
            incarnation=state.started_ms,
            availability_zone=config.daemon.availability_zone,
            host=config.ports.host,
            port=config.ports.mesh,
            link_mbps=config.ports.link_mbps,
            tunnel_port=config.ports.tunnels,
        )
        self.others: dict[str, KnownMember] = {}
        self._links = link.Links(
            config.mesh_secret,
            messages.CODEC,
            buffers.Buffers(buffers.limit_bytes(config.ports.memory_mb)),
        )
        self._tasks: set[asyncio.Task[object]] = set()
        self._pending_sends: set[str] = set()
        self._digest_number = 0
        self.fetcher = fetching.Fetcher(store_view, self.add_member, self.call)
        self.relay_exchange = relaying.RelayExchange(
            state, store_view, self.own, self.known_members, self.fetcher
        )
        self._fetched_at_s = float("-inf")
        self._fetching = False
        self._random = random.Random(config.daemon.name)
        self.confirm_view = state.confirm_view
        self.server = link.MeshServer(
            config.ports.host,
            config.ports.mesh,
            config.mesh_secret,
            messages.CODEC,
            self.handle,
            self._links.sum_limit,
        )

    def add_member(self, member: messages.Member) -> None:
        """Adds a daemon, or replaces an earlier incarnation of it."""
        if member.name == self.own.name:
            return
        known = self.others.get(member.name)
        if known and known.member.incarnation >= member.incarnation:
            return
        now_ms = 1_000.0 * self.state.corrected_time_s()
        if not addresses.is_daemon(**vars(member), now_ms=now_ms):
            self.state.odd_values.record("member", member.name, repr(member))
            return
        if known:
            self._clear_peer(known.member)
        now_s = asyncio.get_running_loop().time()
        self.others[member.name] = KnownMember(member, now_s)
        self.state.daemons = max(self.state.daemons, len(self.others) + 1)
        self._log(member, "learned", 0.0)

    def known_members(self) -> dict[str, messages.Member]:
        """Returns the descriptions of the other daemons, by name."""
        return {name: known.member for name, known in self.others.items()}

    def alive(self) -> list[messages.Member]:
        """Returns the other daemons that are not silent or unreachable."""
        now_s = asyncio.get_running_loop().time()
        if self.is_large_fleet():
            is_backing_off = self.relay_exchange.reachability.is_backing_off
            return [
                peer.member
                for name, peer in self.others.items()
                if not is_backing_off(name, now_s)
            ]
        return [
            peer.member
            for peer in self.others.values()
            if peer.digest is not None
            and now_s - peer.last_seen_at_s < _SILENT_AFTER_S
        ]

    def is_large_fleet(self) -> bool:
        """Returns whether daemons exchange state through relays."""
        return len(self.others) >= _MAX_DIRECT_DAEMONS

    def is_relay(self) -> bool:
        """Returns whether this daemon is the relay of its zone."""
        now_s = asyncio.get_running_loop().time()
        return self.is_large_fleet() and self.relay_exchange.is_relay(now_s)

    def polls_store(self) -> bool:
        """Returns whether this daemon polls the store for changes.

        In a large fleet only relays do, and daemons whose view of the servers
        is too old because no relay updates it.
        """
        if not self.is_large_fleet():
            return True
        if self.is_relay():
            return True
        max_age_s = _MAX_RELAYED_AGE_SHARE * self.state.directory.drain_s
        return self.store_view.fleet_age_s > max_age_s

    def count_silent(self, within_s: float) -> int:
        """Counts daemons that fell silent within a time before now.

        In a large fleet these are the relays that fell silent.
        """
        if self.is_large_fleet():
            return self.relay_exchange.count_silent_relays(within_s)
        now_s = asyncio.get_running_loop().time()
        return sum(
            peer.silent and now_s - peer.last_seen_at_s < within_s
            for peer in self.others.values()
        )

    async def run(self) -> None:
        """Exchanges state with the other daemons until cancelled."""
        self._spawn(self._fetch_from_seeds())
        while True:
            alive = sorted(member.name for member in self.alive())
            self.state.live_daemons = (self.own.name, *alive)
            now_s = asyncio.get_running_loop().time()
            if len(alive) == len(self.others) and self._has_newest_view(now_s):
                heard_at_s = now_s - _SILENT_AFTER_S
                self.state.record_newest_view(heard_at_s, now_s)
            self.state.server_limits.daemons = self.state.live_daemons
            if self.is_large_fleet():
                self._drop_direct_digests()
                self.relay_exchange.run_round()
                pause_s = relaying.INTERVAL_S
                silent_after_s = _SILENT_AFTER_SUMMARIES * pause_s
            else:
                self._send_digests()
                self._mark_silent()
                pause_s = DIGEST_INTERVAL_S
                silent_after_s = _SILENT_AFTER_DIGESTS * pause_s
            self.state.peer_silent_after_s = max(
                quota.SILENT_AFTER_S, silent_after_s
            )
            await self._wait_for_round(pause_s * self._random.uniform(0.9, 1.1))

    def _has_newest_view(self, now_s: float) -> bool:
        """Whether no other daemon states a newer view of the servers.

        This daemon may hear one that it can't call.
        """
        if self.is_large_fleet():
            zone = self.own.availability_zone
            seen_at_s = [
                now_s - held.fleet_age_s(zone, now_s)
                for held in self.relay_exchange.summaries.values()
            ]
        else:
            seen_at_s = [
                peer.last_seen_at_s - peer.digest.fleet_age_s
                for peer in self.others.values()
                if peer.digest is not None
            ]
        newest_s = max(seen_at_s, default=-math.inf)
        return newest_s <= self.state.fleet_confirmed_at_s + _MAX_FLEET_AGE_S

    def _drop_direct_digests(self) -> None:
        """Drops the digests of other daemons; summaries replace them."""
        self.state.uses_relays = True
        for peer in self.others.values():
            if peer.digest is not None:
                peer.digest = None
                self._clear_peer(peer.member)

    def _send_digests(self) -> None:
        """Sends this daemon's digest to all others."""
        due = [other for other in self.others.values() if self._is_due(other)]
        if not due:
            return
        self._digest_number += 1
        digest = digests.make_digest(
            self.state,
            self.store_view,
            self.own,
            self._digest_number,
            DIGEST_INTERVAL_S * _PREFIX_REPEATS,
        )
        for peer in due:
            self._spawn(self._send_digest(peer, digest))

    async def handle(self, message: object) -> AsyncIterator[object]:
        """Handles a message of another daemon and yields the replies."""
        match message:
            case messages.Exchange(digest):
                self._apply_digest(digest)
            case messages.Gather():
                self.add_member(message.digest.member)
                yield self.relay_exchange.handle_gather(message)
            case messages.Share():
                yield self.relay_exchange.handle_share(message)
            case messages.KeepUsage(counts_by_daemon):
                current_window = self.state.usage.window_at(
                    self.state.corrected_time_s()
                )
                self.relay_exchange.collection.keep_usage(
                    counts_by_daemon, current_window
                )
            case messages.FetchUsage():
                counts = self.relay_exchange.collection.usage()
                yield messages.UsageReply(
                    counts | {self.own.key: self.state.usage.own}
                )
            case messages.FetchDeclaration():
                yield self._declaration_reply(message.accepts_deflate)
            case messages.FetchServers():
                yield self.store_view.make_reply(message.position)
            case messages.FetchHeads():
                yield await self._heads_reply(message)
            case messages.FetchMembers():
                known = self.known_members().values()
                yield messages.MembersReply((self.own, *known))

    async def _heads_reply(
        self, message: messages.FetchHeads
    ) -> messages.HeadsReply:
        confirmed = None
        if message.confirms:
            confirmed = await self.confirm_view()
        prefixes = self.state.cached_prefixes.all_prefixes()
        now_s = asyncio.get_running_loop().time()
        return messages.HeadsReply(
            tuple(
                messages.HeadNote(*server, prefix, tokens)
                for server, prefix, tokens in prefixes
                if not message.streams_only
            ),
            self.state.stream_origins.all_notes(now_s),
            telling.make_history(self.state, now_s),
            confirmed,
        )

    async def confirm_by_peers(self) -> positions.StorePosition | None:
        """Asks other daemons to confirm their views, and applies them.

        Returns:
            A position that the store had reached after this call began, and
            that this daemon's view includes; None if none is known.
        """
        alive = self.alive()
        asked = self._random.sample(alive, min(_CONFIRMING_PEERS, len(alive)))
        found = await asyncio.gather(
            *(self.fetcher.fetch_streams(member, True) for member in asked)
        )
        now_s = asyncio.get_running_loop().time()
        versions = self.state.software_versions
        return next(
            (
                reply.confirmed
                for reply in found
                if reply is not None
                and reply.confirmed is not None
                and versions.covers(reply.confirmed, now_s)
            ),
            None,
        )

    def _declaration_reply(
        self, accepts_deflate: bool
    ) -> messages.DeclarationReply:
        active = self.state.declaration
        if not accepts_deflate:
            return messages.DeclarationReply(active.raw, active.revision)
        return messages.DeclarationReply(b"", active.revision, active.deflated)

    async def call(self, member: messages.Member, message: object) -> object:
        """Calls a daemon and returns its reply; raises errors.MeshError."""
        peer_link = self._links.find(member.host, member.port)
        timeout_s = _CALL_TIMEOUT_S
        if isinstance(message, messages.FetchDeclaration):
            timeout_s = _DECLARATION_TIMEOUT_S
        return await peer_link.call(message, timeout_s)

    async def close(self) -> None:
        """Hands over usage counts in a large fleet, then closes connections."""
        if self.is_large_fleet():
            try:
                async with asyncio.timeout(_HAND_OVER_TIMEOUT_S):
                    await self.relay_exchange.hand_over_usage()
            except TimeoutError:
                _LOG.warning(
                    "handover of usage counts timed out",
                    after_s=_HAND_OVER_TIMEOUT_S,
                )
        await self.server.close()
        for peer_link in self._links.all():
            peer_link.abort()

    async def _wait_for_round(self, pause_s: float) -> None:
        """Waits for the next round, which a new declaration starts at once."""
        try:
            async with asyncio.timeout(pause_s):
                await self.store_view.declaration_changed.wait()
        except TimeoutError:
            return
        self.store_view.declaration_changed.clear()

    def _is_due(self, peer: KnownMember) -> bool:
        if peer.member.name in self._pending_sends:
            return False
        now_s = asyncio.get_running_loop().time()
        if now_s - peer.last_seen_at_s < _UNREACHABLE_AFTER_S:
            return True
        return self._random.random() < _UNREACHABLE_RETRY_SHARE

    async def _send_digest(
        self, peer: KnownMember, digest: messages.Digest
    ) -> None:
        name = peer.member.name
        self._pending_sends.add(name)
        try:
            await self.call(peer.member, messages.Exchange(digest))
        except errors.MeshError:
            # A daemon counts as silent only by the lack of its own digests.
            return
        finally:
            self._pending_sends.discard(name)

    def _apply_digest(self, digest: messages.Digest) -> None:
        """Applies another daemon's digest if it is newer than the last one."""
        member = digest.member
        self.add_member(member)
        peer = self.others.get(member.name)
        if (
            self.is_large_fleet()
            or peer is None
            or peer.member.incarnation != member.incarnation
            or (peer.digest and peer.digest.number >= digest.number)
        ):
            return
        now_s = asyncio.get_running_loop().time()
        if peer.silent:
            peer.silent = False
            self._log(member, "heard again", now_s - peer.last_seen_at_s)
        peer.last_seen_at_s = now_s
        if _misses_streams(peer.digest, digest):
            # What began meanwhile was told in digests that this daemon missed.
            self._spawn(self.fetcher.missed_streams.fetch(member))
        peer.digest = digest
        digests.apply_digest(self.state, digest, now_s)
        self._fetch_if_behind(peer, digest, now_s)

    def _fetch_if_behind(
        self, peer: KnownMember, digest: messages.Digest, now_s: float
    ) -> None:
        behind = self.state.declaration.lacks(digest.version, now_s)
        age_s = self.store_view.fleet_age_s
        stale = age_s > _MAX_FLEET_AGE_S and digest.fleet_age_s < age_s - 0.5
        if self._fetching or not (behind or stale):
            return
        if not behind and now_s - self._fetched_at_s < _FETCH_INTERVAL_S:
            return
        self._fetching = True
        version = digest.version if behind else 0
        self._spawn(self._fetch(peer.member, version, stale))

    async def _fetch(
        self, member: messages.Member, version: int, stale: bool
    ) -> None:
        """Fetches a version of the declaration, unless it is 0, and servers."""
        fetcher = self.fetcher
        try:
            if version and not await fetcher.fetch_declaration(member, version):
                return
            if stale:
                await self.fetcher.fetch_servers(member, positions.START)
        finally:
            self._fetching = False
            self._fetched_at_s = asyncio.get_running_loop().time()

    async def _fetch_from_seeds(self) -> None:
        """Fetches members from the seeds, in case the store is unavailable."""
        for seed in self.state.settings.surroundings.seeds:
            host = seed.rpartition(":")[0]
            if host == self.own.host or not host:
                continue
            seed_member = messages.Member(seed, 0, "", host, self.own.port)
            await self.fetcher.fetch_members(seed_member)

    def _mark_silent(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for peer in self.others.values():
            silent_s = now_s - peer.last_seen_at_s
            if silent_s > _SILENT_AFTER_S and not peer.silent:
                peer.silent = True
                self.state.engine_loads.update_peer(peer.member.name, {})
                self._log(peer.member, "silent", silent_s)

    def _clear_peer(self, member: messages.Member) -> None:
        self.state.engine_loads.update_peer(member.name, {})
        self.state.release_reserved_quotas(member.key)

    def _spawn(self, work: Coroutine[typing.Any, typing.Any, object]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _log(
        self, member: messages.Member, change: str, silent_s: float
    ) -> None:
        self.state.log_member_change(
            member.name, member.availability_zone, change, silent_s
        )


def _misses_streams(
    before: messages.Digest | None, digest: messages.Digest
) -> bool:
    """Whether streams may have been told only in digests between two others.

    The time is that of the sender, which makes no digest while none of the
    other daemons takes one.
    """
    if before is None:
        return digest.number > _PREFIX_REPEATS
    missed = digest.number - before.number - 1
    elapsed_s = digest.wall_s - before.wall_s
    return missed >= _PREFIX_REPEATS or (
        missed > 0 and abs(elapsed_s) > DIGEST_INTERVAL_S * _PREFIX_REPEATS
    )
