"""The other daemons, and the digests that daemons exchange."""

import asyncio
import dataclasses
import random
import time
import typing
from collections.abc import AsyncIterator
from collections.abc import Coroutine

import logbook

from turmericcroft import errors
from turmericcroft.eventlog import events
from turmericcroft.gateway import beliefs as belief_keeping
from turmericcroft.gateway import messages
from turmericcroft.gateway import state as states
from turmericcroft.mesh import link
from turmericcroft.routing import engines

_LOG = logbook.Logger("members")
# Quotas and loads follow what others did within this time.
DIGEST_INTERVAL_S = 0.2
# In a large fleet digests become rarer, so that their cost a daemon stays
# bounded: at most about this many a second are sent.
_DIGESTS_PER_S = 100
_CALL_TIMEOUT_S = 0.6
# Digests that repeat a head, so that one that is lost does no harm.
_HEAD_TURNS = 3
_SILENT_AFTER_S = 1.5
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
    """

    member: messages.Member
    heard_at_s: float
    digest: messages.Digest | None = None
    silent: bool = False


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
            and now_s - observed.heard_at_s < _SILENT_AFTER_S
        ]

    def digest(self) -> messages.Digest:
        """Makes this daemon's digest."""
        state = self.state
        work = {
            name: (
                load.in_flight,
                state.engine_loads.own.get(name, engines.NO_WORK).unread_tokens,
            )
            for name, load in state.loads.servers.items()
            if load.in_flight
        }
        return messages.Digest(
            member=self.own,
            stopping=state.stopping,
            wall_s=time.time(),
            version=state.declared.version,
            fleet_revision=self.beliefs.fleet_revision,
            fleet_age_s=self.beliefs.fleet_age_s,
            work=work,
            quota_totals={
                name: bucket.admitted for name, bucket in state.quotas.items()
            },
            usage=state.usage.own,
            crashes=state.poison.own,
            demand=state.demand,
            heads=self._recent_heads(),
        )

    def _recent_heads(self) -> tuple[messages.HeadNote, ...]:
        """Heads noted lately; each is told in several digests."""
        now_s = asyncio.get_running_loop().time()
        notes = self.state.sent_heads
        while notes and now_s - notes[0][0] > self._interval_s() * _HEAD_TURNS:
            notes.popleft()
        return tuple({note: None for _, note in notes})

    def _interval_s(self) -> float:
        return max(DIGEST_INTERVAL_S, len(self.others) / _DIGESTS_PER_S)

    async def run(self) -> None:
        """Sends digests until cancelled."""
        self._spawn(self._find_seeds())
        while True:
            data = self.digest()
            for observed in list(self.others.values()):
                if self._is_due(observed):
                    self._spawn(self._tell(observed, data))
            self._judge()
            pause_s = max(DIGEST_INTERVAL_S, len(self.others) / _DIGESTS_PER_S)
            await self._pause(pause_s * self._random.uniform(0.9, 1.1))

    async def handle(
        self, message: messages.Digest | object
    ) -> AsyncIterator[object]:
        """Answers a peer's message."""
        match message:
            case messages.Digest():
                self._hear(message)
            case messages.FetchDeclaration():
                declared = self.state.declared
                yield messages.DeclarationReply(declared.raw, declared.revision)
            case messages.FetchServers():
                yield messages.ServersReply(
                    tuple(self.beliefs.entries.values()),
                    self.beliefs.fleet_revision,
                    self.beliefs.fleet_age_s,
                )
            case messages.FetchMembers():
                known = [observed.member for observed in self.others.values()]
                yield messages.MembersReply((self.own, *known))

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

    async def _tell(self, observed: Observed, data: messages.Digest) -> None:
        name = observed.member.name
        self._busy.add(name)
        try:
            peer = self._link(observed.member.host, observed.member.port)
            await peer.call(data, _CALL_TIMEOUT_S)
        except errors.MeshError:
            # Its silence is judged by the digests that it sends itself.
            return
        finally:
            self._busy.discard(name)

    def _hear(self, digest: messages.Digest) -> None:
        """Takes in a digest."""
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
        state = self.state
        state.true_time.hear(member.name, digest.wall_s, time.time())
        state.engine_loads.hear(
            member.name,
            {name: engines.Work(*work) for name, work in digest.work.items()},
        )
        self._sum_loads(now_s)
        for account, total in digest.quota_totals.items():
            bucket = state.quotas.get(account)
            if bucket is not None:
                bucket.hear(member.key, total, now_s)
        state.usage.hear(member.key, digest.usage)
        state.peer_demand[member.key] = digest.demand
        for note in digest.heads:
            incarnation = note.server, note.started_at_ms
            state.cached.note(incarnation, note.head, note.tokens, now_s)
        state.poison.hear(member.key, digest.crashes, now_s)
        self._fetch_if_behind(observed, digest, now_s)

    def _sum_loads(self, now_s: float) -> None:
        loads = self.state.loads
        for name, load in loads.servers.items():
            others = sum(
                work[name].runs
                for work in self.state.engine_loads.peers.values()
                if name in work
            )
            loads.report(name, load.in_flight + others, now_s)

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
            if silence_s > _SILENT_AFTER_S and not observed.silent:
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
