"""Task that puts the newest accepted configuration in force.

The configuration comes from the key-value service or from a peer, so a daemon
also follows changes while it cannot reach the service.
"""

import asyncio
import random

import logbook

from turmericcroft import errors
from turmericcroft import settings
from turmericcroft.clients import keyvalue
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import membership
from turmericcroft.daemon import peers as peer_links
from turmericcroft.intent import part
from turmericcroft.membership import view
from turmericcroft.mesh import message as messages
from turmericcroft.timeline import event
from turmericcroft.timeline import recorder

_LOG = logbook.Logger("configuration")
HEAD_KEY = "/turmericcroft/head"
PART_PREFIX = "/turmericcroft/parts/"
WATCHERS_PER_ZONE = 2
_POLL_INTERVAL_S = 1.0
_PEER_TIMEOUT_S = 1.0
_RECHECK_INTERVAL_S = 30.0


class ConfigurationTask:
    """Fetches new heads from the key-value service and from peers.

    A head lists the parts of a numbered configuration. In each zone,
    ``WATCHERS_PER_ZONE`` daemons watch the head's key. The others read the key
    at long intervals; they receive the newest number in heartbeats and fetch
    head and parts from a peer that has it in force. The number in force never
    decreases, whatever the service returns.
    """

    def __init__(
        self,
        config: settings.Settings,
        board: boards.Board,
        member_task: membership.MembershipTask,
        peers: peer_links.Peers,
        key_value: keyvalue.KeyValue,
        timeline: recorder.Recorder,
    ) -> None:
        self.settings = config
        self.board = board
        self.member_task = member_task
        self.peers = peers
        self.key_value = key_value
        self.timeline = timeline
        self._applying = asyncio.Lock()
        self._head_revision = 0

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_forever())
            group.create_task(self._follow_peers_forever())

    def is_watcher(self) -> bool:
        """Returns whether this daemon watches the head's key for its zone."""
        own = self.member_task.members.own
        zone_members = [
            member
            for member in (*self.member_task.members.alive(), own)
            if member.availability_zone == own.availability_zone
        ]
        watchers = view.rank("configuration watch", zone_members)
        return own.name in {m.name for m in watchers[:WATCHERS_PER_ZONE]}

    async def _watch_forever(self) -> None:
        while True:
            try:
                await self._read_head()
                if self.is_watcher():
                    await self._watch()
                else:
                    await asyncio.sleep(
                        _RECHECK_INTERVAL_S * random.uniform(0.8, 1.2)
                    )
            except errors.TurmericcroftError as error:
                _LOG.warning(
                    "reading the configuration head failed", error=str(error)
                )
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _read_head(self) -> None:
        entry = await self.key_value.get(HEAD_KEY)
        if entry is not None:
            self._head_revision = entry.mod_revision
            await self._apply(entry.value, None)

    async def _watch(self) -> None:
        try:
            async with asyncio.timeout(_RECHECK_INTERVAL_S):
                start = self._head_revision + 1
                async for entry in self.key_value.watch(HEAD_KEY, start):
                    if entry.value:
                        await self._apply(entry.value, None)
        except TimeoutError:
            return

    async def _follow_peers_forever(self) -> None:
        while True:
            for member in self.member_task.members_ahead()[:2]:
                await self._fetch_from(member)
            if (
                self.member_task.first_round_done.is_set()
                and self.board.in_force
            ):
                self.board.may_serve |= not self.member_task.members_ahead()
            await asyncio.sleep(self.settings.mesh.heartbeat_interval_s / 4)

    async def _fetch_from(self, member: view.Member) -> None:
        try:
            reply = await self.peers.call(
                member, messages.FetchHead(), _PEER_TIMEOUT_S
            )
            if isinstance(reply, messages.HeadReply) and reply.data:
                await self._apply(reply.data, member)
        except errors.TurmericcroftError as error:
            _LOG.warning(
                "fetching the configuration head failed",
                member=member.name,
                error=str(error),
            )

    async def _apply(self, data: bytes, source: view.Member | None) -> None:
        async with self._applying:
            head = part.decode_head(data)
            if head.number <= self.board.config_number:
                return
            parts = await self._collect_parts(head, source)
            in_force = boards.decode_in_force(head, parts, self.board.in_force)
            self.board.in_force = in_force
        source_name = "key-value service" if source is None else source.name
        self.timeline.record(
            event.ConfigurationInForce(head.number, source_name)
        )

    async def _collect_parts(
        self, head: part.Head, source: view.Member | None
    ) -> dict[str, bytes]:
        known = self.board.in_force.parts if self.board.in_force else {}
        parts = {}
        for digest in head.parts:
            data = known.get(digest)
            if data is None:
                data = await self._fetch_part(digest, source)
            parts[digest] = data
        return parts

    async def _fetch_part(
        self, digest: str, source: view.Member | None
    ) -> bytes:
        if source is not None:
            reply = await self.peers.call(
                source, messages.FetchPart(digest), _PEER_TIMEOUT_S
            )
            if isinstance(reply, messages.PartReply) and reply.data:
                return reply.data
        entry = await self.key_value.get(PART_PREFIX + digest)
        if entry is None:
            fault = errors.Fault(f"part {digest}", "its content", "nothing")
            raise errors.FaultyInputError("configuration", [fault])
        return entry.value
