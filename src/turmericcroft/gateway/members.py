"""The other daemons, and the digests that daemons exchange."""

import asyncio
import dataclasses
import random
import typing
from collections.abc import AsyncIterator
from collections.abc import Coroutine

import logbook

from turmericcroft import errors
from turmericcroft.gateway import digests
from turmericcroft.gateway import fetching
from turmericcroft.gateway import messages
from turmericcroft.gateway import relaying
from turmericcroft.gateway import state as states
from turmericcroft.gateway import store_view as store_views
from turmericcroft.mesh import link
from turmericcroft.routing import quota

_LOG = logbook.Logger("members")
# Quotas and loads follow what others did within this time.
DIGEST_INTERVAL_S = 0.2
# Up to so many daemons tell each other directly; a larger fleet goes by
# relays. Daemons of 16 send 80 digests a second to each other.
_DIRECT_MEMBERS = 16
_CALL_TIMEOUT_S = 0.6
# The process is killed 0.6 s after it begins to close (daemon.py).
_HAND_OVER_TIMEOUT_S = 0.3
# Digests that repeat a head, so that one that is lost does no harm.
_HEAD_TURNS = 3
_SILENT_AFTER_S = 1.5
_SILENT_DIGESTS = 3.0
# Summaries pass through up to three daemons, each at its turn.
_SILENT_SUMMARIES = 4.0
# Knowledge of the servers is taken from the relay up to this age, as a part of
# the time that a leaving server goes on; past it a daemon asks the store.
_RELAYED_AGE_SHARE = 0.7
# A member that is silent for so long is not asked at every turn any more.
_GONE_AFTER_S = 15.0
_GONE_RETRY_SHARE = 0.1
# Knowledge of the servers older than this is fetched from a peer.
_STALE_FLEET_S = 1.2
_FETCH_INTERVAL_S = 0.4


@dataclasses.dataclass
class KnownMember:
    """What is known of a daemon.

    Attributes:
        member: Its description.
        heard_at_s: When its last digest came, monotonic.
        digest: Its last digest, if it tells this daemon directly.
        silent: Whether its silence was noted.
    """

    member: messages.Member
    last_seen_at_s: float
    digest: messages.Digest | None = None
    silent: bool = False


class Members:
    """Knows the other daemons, and exchanges news with them.

    Attributes:
        own: This daemon's own description.
        others: The other daemons, by name.
        relaying: Exchange of news in a large fleet.
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
        )
        self.others: dict[str, KnownMember] = {}
        self._links: dict[tuple[str, int], link.Peer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()
        self._number = 0
        self.fetcher = fetching.Fetcher(store_view, self.add_member, self.call)
        self.relay_exchange = relaying.RelayExchange(
            state, store_view, self.own, self.known_members, self.fetcher
        )
        self._fetched_at_s = float("-inf")
        self._fetching = False
        self._random = random.Random(config.daemon.name)
        self.server = link.MeshServer(
            config.ports.host,
            config.ports.mesh,
            config.mesh_secret,
            messages.CODEC,
            self.handle,
        )

    def add_member(self, member: messages.Member) -> None:
        """Takes in a daemon that was listed or that sent a digest."""
        if member.name == self.own.name:
            return
        known = self.others.get(member.name)
        if known and known.member.incarnation >= member.incarnation:
            return
        if known:
            self._forget(known.member)
        now_s = asyncio.get_running_loop().time()
        self.others[member.name] = KnownMember(member, now_s)
        self.state.daemons = max(self.state.daemons, len(self.others) + 1)
        self._log(member, "learned", 0.0)

    def known_members(self) -> dict[str, messages.Member]:
        """The other daemons as they describe themselves, by name."""
        return {name: known.member for name, known in self.others.items()}

    def alive(self) -> list[messages.Member]:
        """Daemons that are believed to run."""
        now_s = asyncio.get_running_loop().time()
        if self.is_large_fleet():
            silent = self.relay_exchange.reachability.is_backing_off
            return [
                peer.member
                for name, peer in self.others.items()
                if not silent(name, now_s)
            ]
        return [
            peer.member
            for peer in self.others.values()
            if peer.digest is not None
            and now_s - peer.last_seen_at_s < _SILENT_AFTER_S
        ]

    def is_large_fleet(self) -> bool:
        """Whether news goes by relays."""
        return len(self.others) >= _DIRECT_MEMBERS

    def is_relay(self) -> bool:
        """Whether this daemon sums the digests of its zone."""
        now_s = asyncio.get_running_loop().time()
        return self.is_large_fleet() and self.relay_exchange.is_relay(now_s)

    def polls_store(self) -> bool:
        """Whether this daemon asks the store itself for what changed."""
        if not self.is_large_fleet():
            return True
        if self.is_relay():
            return True
        oldest_s = _RELAYED_AGE_SHARE * self.state.directory.drain_s
        return self.store_view.fleet_age_s > oldest_s

    def count_silent(self, within_s: float) -> int:
        """Daemons, or relays in a large fleet, that fell silent lately."""
        if self.is_large_fleet():
            return self.relay_exchange.count_silent_relays(within_s)
        now_s = asyncio.get_running_loop().time()
        return sum(
            peer.silent and now_s - peer.last_seen_at_s < within_s
            for peer in self.others.values()
        )

    async def run(self) -> None:
        """Exchanges news until cancelled."""
        self._spawn(self._find_seeds())
        while True:
            if self.is_large_fleet():
                self._leave_direct()
                self.relay_exchange.run_round()
                pause_s = relaying.INTERVAL_S
                silent_after_s = _SILENT_SUMMARIES * pause_s
            else:
                self._tell_all()
                self._judge()
                pause_s = DIGEST_INTERVAL_S
                silent_after_s = _SILENT_DIGESTS * pause_s
            self.state.peer_silent_after_s = max(
                quota.SILENT_AFTER_S, silent_after_s
            )
            await self._pause(pause_s * self._random.uniform(0.9, 1.1))

    def _leave_direct(self) -> None:
        """Drops what daemons told directly; the sums include it from now."""
        self.state.uses_relays = True
        for peer in self.others.values():
            if peer.digest is not None:
                peer.digest = None
                self._forget(peer.member)

    def _tell_all(self) -> None:
        """Sends this daemon's digest to each other one."""
        due = [o for o in self.others.values() if self._is_due(o)]
        if not due:
            return
        self._number += 1
        digest = digests.make_digest(
            self.state,
            self.store_view,
            self.own,
            self._number,
            DIGEST_INTERVAL_S * _HEAD_TURNS,
        )
        for peer in due:
            self._spawn(self._tell(peer, digest))

    async def handle(self, message: object) -> AsyncIterator[object]:
        """Answers a peer's message."""
        match message:
            case messages.Exchange(digest):
                self._apply_digest(digest)
            case messages.Gather():
                self.add_member(message.digest.member)
                yield self.relay_exchange.handle_gather(message)
            case messages.Share():
                yield self.relay_exchange.handle_share(message)
            case messages.KeepUsage(kept):
                running = self.state.usage.window_at(
                    self.state.corrected_time_s()
                )
                self.relay_exchange.collection.keep_usage(kept, running)
            case messages.FetchUsage():
                counts = self.relay_exchange.collection.usage()
                yield messages.UsageReply(
                    counts | {self.own.key: self.state.usage.own}
                )
            case messages.FetchDeclaration():
                declared = self.state.declaration
                yield messages.DeclarationReply(declared.raw, declared.revision)
            case messages.FetchServers(since):
                yield self.store_view.make_reply(since)
            case messages.FetchHeads():
                heads = self.state.cached_prefixes.all_prefixes()
                yield messages.HeadsReply(
                    tuple(
                        messages.HeadNote(*server, head, tokens)
                        for server, head, tokens in heads
                    )
                )
            case messages.FetchMembers():
                known = self.known_members().values()
                yield messages.MembersReply((self.own, *known))

    async def call(self, member: messages.Member, message: object) -> object:
        """Asks one member; raises errors.MeshError."""
        peer = self._link(member.host, member.port)
        return await peer.call(message, _CALL_TIMEOUT_S)

    async def close(self) -> None:
        """Hands over what only this daemon knows, and closes."""
        if self.is_large_fleet():
            try:
                async with asyncio.timeout(_HAND_OVER_TIMEOUT_S):
                    await self.relay_exchange.hand_over_usage()
            except TimeoutError:
                _LOG.warning(
                    "usage not handed over", after_s=_HAND_OVER_TIMEOUT_S
                )
        await self.server.close()
        for peer in self._links.values():
            peer.drop()

    async def _pause(self, pause_s: float) -> None:
        """Waits for the next turn; a new declaration is told at once."""
        try:
            async with asyncio.timeout(pause_s):
                await self.store_view.declaration_changed.wait()
        except TimeoutError:
            return
        self.store_view.declaration_changed.clear()

    def _is_due(self, peer: KnownMember) -> bool:
        if peer.member.name in self._busy:
            return False
        now_s = asyncio.get_running_loop().time()
        if now_s - peer.last_seen_at_s < _GONE_AFTER_S:
            return True
        return self._random.random() < _GONE_RETRY_SHARE

    async def _tell(self, peer: KnownMember, digest: messages.Digest) -> None:
        name = peer.member.name
        self._busy.add(name)
        try:
            await self.call(peer.member, messages.Exchange(digest))
        except errors.MeshError:
            # Its silence is judged by the digests that it sends itself.
            return
        finally:
            self._busy.discard(name)

    def _apply_digest(self, digest: messages.Digest) -> None:
        """Takes in a digest, once."""
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
        peer.digest = digest
        digests.apply_digest(self.state, digest, now_s)
        self._fetch_if_behind(peer, digest, now_s)

    def _fetch_if_behind(
        self, peer: KnownMember, digest: messages.Digest, now_s: float
    ) -> None:
        behind = digest.version > self.state.declaration.version
        age_s = self.store_view.fleet_age_s
        stale = age_s > _STALE_FLEET_S and digest.fleet_age_s < age_s - 0.5
        if self._fetching or not (behind or stale):
            return
        if not behind and now_s - self._fetched_at_s < _FETCH_INTERVAL_S:
            return
        self._fetching = True
        self._spawn(self._fetch(peer.member, behind, stale))

    async def _fetch(
        self, member: messages.Member, behind: bool, stale: bool
    ) -> None:
        try:
            if behind and not await self.fetcher.fetch_declaration(member):
                return
            if stale:
                await self.fetcher.fetch_servers(member, 0)
        finally:
            self._fetching = False
            self._fetched_at_s = asyncio.get_running_loop().time()

    async def _find_seeds(self) -> None:
        """Asks the seeds for members, in case the store is away."""
        for seed in self.state.settings.surroundings.seeds:
            host = seed.rpartition(":")[0]
            if host == self.own.host or not host:
                continue
            described = messages.Member(seed, 0, "", host, self.own.port)
            await self.fetcher.fetch_members(described)

    def _judge(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for peer in self.others.values():
            silence_s = now_s - peer.last_seen_at_s
            if silence_s > _SILENT_AFTER_S and not peer.silent:
                peer.silent = True
                self.state.engine_loads.update_peer(peer.member.name, {})
                self._log(peer.member, "silent", silence_s)

    def _forget(self, member: messages.Member) -> None:
        self.state.engine_loads.update_peer(member.name, {})
        self.state.release_reserved_quotas(member.key)

    def _link(self, host: str, port: int) -> link.Peer:
        peer = self._links.get((host, port))
        if peer is None:
            secret = self.state.settings.mesh_secret
            peer = link.Peer(host, port, secret, messages.CODEC)
            self._links[host, port] = peer
        return peer

    def _spawn(self, work: Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _log(
        self, member: messages.Member, change: str, silent_s: float
    ) -> None:
        self.state.log_member_change(
            member.name, member.availability_zone, change, silent_s
        )
