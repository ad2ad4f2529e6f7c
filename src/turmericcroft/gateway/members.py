"""The other daemons, and the digests that daemons exchange."""

import asyncio
import dataclasses
import random
import typing
from collections.abc import AsyncIterator
from collections.abc import Coroutine

import logbook

from turmericcroft import errors
from turmericcroft.eventlog import events
from turmericcroft.gateway import beliefs as belief_keeping
from turmericcroft.gateway import digests
from turmericcroft.gateway import messages
from turmericcroft.gateway import state as states
from turmericcroft.mesh import codec
from turmericcroft.mesh import link
from turmericcroft.routing import quota

_LOG = logbook.Logger("members")
# Quotas and loads follow what others did within this time.
DIGEST_INTERVAL_S = 0.2
# Up to so many daemons tell each other directly. In a larger fleet each one
# exchanges all that it heard with one neighbour at a time, at distances of 1,
# 2, 4 and so on around the circle of names, so that news reaches all within
# the logarithm of their number while the cost a daemon stays bounded.
_DIRECT_MEMBERS = 16
_NEIGHBOUR_INTERVAL_S = 0.15
# In a large fleet a daemon renews its own digest after this time.
_LARGE_DIGEST_INTERVAL_S = 0.8
_CALL_TIMEOUT_S = 0.6
# Digests that repeat a head, so that one that is lost does no harm.
_HEAD_TURNS = 3
# A digest is renewed a little before it is due, since turns vary.
_RENEW_SHARE = 0.5
_SILENT_AFTER_S = 1.5
_LARGE_SILENT_AFTER_S = 4.0
_SILENT_DIGESTS = 3.0
# A member that is silent for so long is not asked at every turn any more.
_GONE_AFTER_S = 15.0
_GONE_RETRY_SHARE = 0.1
# Knowledge of the servers older than this is fetched from a peer.
_STALE_FLEET_S = 1.2
_FETCH_INTERVAL_S = 0.4


@dataclasses.dataclass
class Observed:
    """What is known of a daemon.

    Attributes:
        member: Its description.
        heard_at_s: When its last digest came, monotonic.
        digest: Its last digest.
        silent: Whether its silence was noted.
        relayed: The same digest, encoded.
        given: Numbers of digests that it knows, by daemon.
    """

    member: messages.Member
    heard_at_s: float
    digest: messages.Digest | None = None
    silent: bool = False
    relayed: messages.Relayed | None = None
    given: dict[str, int] = dataclasses.field(default_factory=dict)


class Members:
    """Exchanges digests with all other daemons.

    Attributes:
        own: This daemon's own description.
        others: The other daemons, by name.
    """

    def __init__(
        self, state: states.State, beliefs: belief_keeping.Beliefs
    ) -> None:
        config = state.settings
        self.state = state
        self.beliefs = beliefs
        self.own = messages.Member(
            name=config.daemon.name,
            incarnation=state.started_ms,
            availability_zone=config.daemon.availability_zone,
            host=config.ports.host,
            port=config.ports.mesh,
        )
        self.others: dict[str, Observed] = {}
        self._links: dict[tuple[str, int], link.Peer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()
        self._number = 0
        self._turn = 0
        self._own_relayed: messages.Relayed | None = None
        self._renewed_at_s = float("-inf")
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

    def learn(self, member: messages.Member) -> None:
        """Takes in a daemon that was listed or that sent a digest."""
        if member.name == self.own.name:
            return
        known = self.others.get(member.name)
        if known and known.member.incarnation >= member.incarnation:
            return
        if known:
            self._forget(known.member)
        now_s = asyncio.get_running_loop().time()
        self.others[member.name] = Observed(member, now_s)
        self.state.daemons = max(self.state.daemons, len(self.others) + 1)
        self._log(member, "learned", 0.0)

    def alive(self) -> list[Observed]:
        """Daemons that were heard of lately."""
        now_s = asyncio.get_running_loop().time()
        return [
            observed
            for observed in self.others.values()
            if observed.digest is not None
            and now_s - observed.heard_at_s < self._silent_after_s()
        ]

    def _is_large(self) -> bool:
        return len(self.others) >= _DIRECT_MEMBERS

    def _interval_s(self) -> float:
        """Time between digests of this daemon."""
        if self._is_large():
            return _LARGE_DIGEST_INTERVAL_S
        return DIGEST_INTERVAL_S

    def _silent_after_s(self) -> float:
        return _LARGE_SILENT_AFTER_S if self._is_large() else _SILENT_AFTER_S

    async def run(self) -> None:
        """Sends digests until cancelled."""
        self._spawn(self._find_seeds())
        while True:
            for observed in self._next_partners():
                if self._is_due(observed):
                    self._spawn(self._exchange(observed))
            self._judge()
            self.state.peer_silent_after_s = max(
                quota.SILENT_AFTER_S, _SILENT_DIGESTS * self._interval_s()
            )
            pause_s = DIGEST_INTERVAL_S
            if self._is_large():
                pause_s = _NEIGHBOUR_INTERVAL_S
            await self._pause(pause_s * self._random.uniform(0.9, 1.1))

    def _next_partners(self) -> list[Observed]:
        """Daemons to exchange digests with at this turn."""
        if not self._is_large():
            return list(self.others.values())
        names = sorted([*self.others, self.own.name])
        distances = max(1, (len(names) - 1).bit_length())
        self._turn += 1
        step = 1 << (self._turn % distances)
        place = names.index(self.own.name)
        name = names[(place + step) % len(names)]
        observed = self.others.get(name)
        return [] if observed is None else [observed]

    def _renew_own(self) -> messages.Relayed:
        """Makes the digest that goes out, anew if it is old."""
        now_s = asyncio.get_running_loop().time()
        due_s = self._renewed_at_s + self._interval_s() * _RENEW_SHARE
        if self._own_relayed is None or now_s >= due_s:
            self._renewed_at_s = now_s
            self._number += 1
            digest = digests.make(
                self.state,
                self.beliefs,
                self.own,
                self._number,
                self._interval_s() * _HEAD_TURNS,
            )
            data = messages.CODEC.encode(codec.Envelope(0, digest))
            self._own_relayed = messages.Relayed(
                self.own.key, digest.number, data
            )
        return self._own_relayed

    def _news_for(self, observed: Observed) -> tuple[messages.Relayed, ...]:
        """Digests that a daemon may not know."""
        others: list[messages.Relayed] = []
        if self._is_large():
            others = [
                other.relayed
                for other in self.others.values()
                if other.relayed is not None
                and other is not observed
                and observed.given.get(other.relayed.daemon, 0)
                < other.relayed.number
            ]
        for relayed in others:
            observed.given[relayed.daemon] = relayed.number
        # The sender's own digest leads, which tells who sends.
        return (self._renew_own(), *others)

    def _take_news(
        self, sender: Observed | None, news: tuple[messages.Relayed, ...]
    ) -> None:
        """Takes in digests, each once however often it comes."""
        for relayed in news:
            if sender is not None:
                sender.given[relayed.daemon] = relayed.number
            name = relayed.daemon.rpartition("/")[0]
            known = self.others.get(name)
            if relayed.daemon == self.own.key or (
                known is not None
                and known.relayed is not None
                and known.relayed.daemon == relayed.daemon
                and known.relayed.number >= relayed.number
            ):
                continue
            digest = messages.CODEC.decode(relayed.data).message
            self._hear(digest, relayed)

    async def handle(self, message: object) -> AsyncIterator[object]:
        """Answers a peer's message."""
        match message:
            case messages.Exchange():
                self._take_news(None, message.digests)
                sender = self._sender_of(message)
                if sender is not None and self._is_large():
                    for relayed in message.digests:
                        sender.given[relayed.daemon] = relayed.number
                    yield messages.Exchange(self._news_for(sender))
            case messages.FetchDeclaration():
                declared = self.state.declared
                yield messages.DeclarationReply(declared.raw, declared.revision)
            case messages.FetchServers():
                yield messages.ServersReply(
                    tuple(self.beliefs.entries.values()),
                    self.beliefs.fleet_revision,
                    self.beliefs.fleet_age_s,
                )
            case messages.FetchHeads():
                heads = self.state.cached.all_heads()
                yield messages.HeadsReply(
                    tuple(
                        messages.HeadNote(*server, head, tokens)
                        for server, head, tokens in heads
                    )
                )
            case messages.FetchMembers():
                known = [observed.member for observed in self.others.values()]
                yield messages.MembersReply((self.own, *known))

    async def ask(self, member: messages.Member, message: object) -> object:
        """Asks one member; raises errors.MeshError."""
        peer = self._link(member.host, member.port)
        return await peer.call(message, _CALL_TIMEOUT_S)

    async def close(self) -> None:
        """Tells the others, and closes all connections."""
        await self.server.close()
        for peer in self._links.values():
            peer.drop()

    async def _pause(self, pause_s: float) -> None:
        """Waits for the next turn; a new declaration is told at once."""
        try:
            async with asyncio.timeout(pause_s):
                await self.beliefs.changed.wait()
        except TimeoutError:
            return
        self.beliefs.changed.clear()

    def _is_due(self, observed: Observed) -> bool:
        if observed.member.name in self._busy:
            return False
        now_s = asyncio.get_running_loop().time()
        if now_s - observed.heard_at_s < _GONE_AFTER_S:
            return True
        return self._random.random() < _GONE_RETRY_SHARE

    def _sender_of(self, message: messages.Exchange) -> Observed | None:
        """The daemon whose own digest leads an exchange."""
        if not message.digests:
            return None
        name = message.digests[0].daemon.rpartition("/")[0]
        return self.others.get(name)

    async def _exchange(self, observed: Observed) -> None:
        name = observed.member.name
        self._busy.add(name)
        news = self._news_for(observed)
        try:
            peer = self._link(observed.member.host, observed.member.port)
            reply = await peer.call(messages.Exchange(news), _CALL_TIMEOUT_S)
        except errors.MeshError:
            # Its silence is judged by the digests that it sends itself.
            observed.given.clear()
            return
        finally:
            self._busy.discard(name)
        if isinstance(reply, messages.Exchange):
            self._take_news(observed, reply.digests)

    def _hear(self, digest: messages.Digest, relayed: messages.Relayed) -> None:
        """Takes in a new digest."""
        member = digest.member
        self.learn(member)
        observed = self.others.get(member.name)
        if (
            observed is None
            or observed.member.incarnation != member.incarnation
        ):
            return
        now_s = asyncio.get_running_loop().time()
        if observed.silent:
            observed.silent = False
            self._log(member, "heard again", now_s - observed.heard_at_s)
        observed.heard_at_s = now_s
        observed.digest = digest
        observed.relayed = relayed
        digests.take_in(self.state, digest, now_s)
        self._fetch_if_behind(observed, digest, now_s)

    def _fetch_if_behind(
        self, observed: Observed, digest: messages.Digest, now_s: float
    ) -> None:
        behind = digest.version > self.state.declared.version
        age_s = self.beliefs.fleet_age_s
        stale = age_s > _STALE_FLEET_S and digest.fleet_age_s < age_s - 0.5
        if self._fetching or not (behind or stale):
            return
        if not behind and now_s - self._fetched_at_s < _FETCH_INTERVAL_S:
            return
        self._fetching = True
        self._spawn(self._fetch(observed.member, behind, stale))

    async def _fetch(
        self, member: messages.Member, behind: bool, stale: bool
    ) -> None:
        peer = self._link(member.host, member.port)
        source = f"peer {member.name}"
        try:
            if behind:
                reply = await peer.call(
                    messages.FetchDeclaration(), _CALL_TIMEOUT_S
                )
                if isinstance(reply, messages.DeclarationReply) and reply.raw:
                    self.beliefs.declare(reply.raw, reply.revision, source)
            if stale:
                reply = await peer.call(
                    messages.FetchServers(), _CALL_TIMEOUT_S
                )
                if isinstance(reply, messages.ServersReply):
                    self.beliefs.list_servers(
                        reply.entries, reply.revision, reply.age_s, source
                    )
        except errors.MeshError as error:
            _LOG.warning("not fetched", member=member.name, error=str(error))
        finally:
            self._fetching = False
            self._fetched_at_s = asyncio.get_running_loop().time()

    async def _find_seeds(self) -> None:
        """Asks the seeds for members, in case the store is away."""
        for seed in self.state.settings.surroundings.seeds:
            host = seed.rpartition(":")[0]
            if host == self.own.host or not host:
                continue
            peer = self._link(host, self.own.port)
            try:
                reply = await peer.call(
                    messages.FetchMembers(), _CALL_TIMEOUT_S
                )
            except errors.MeshError as error:
                _LOG.info("seed not reached", seed=host, error=str(error))
                continue
            if isinstance(reply, messages.MembersReply):
                for member in reply.members:
                    self.learn(member)

    def _judge(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for observed in self.others.values():
            silence_s = now_s - observed.heard_at_s
            if silence_s > self._silent_after_s() and not observed.silent:
                observed.silent = True
                self.state.engine_loads.hear(observed.member.name, {})
                self._log(observed.member, "silent", silence_s)

    def _forget(self, member: messages.Member) -> None:
        self.state.engine_loads.hear(member.name, {})
        for bucket in self.state.quotas.values():
            bucket.forget(member.key)

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
        self.state.log.write(
            events.MemberChanged(
                member.name, member.availability_zone, change, silent_s
            )
        )
