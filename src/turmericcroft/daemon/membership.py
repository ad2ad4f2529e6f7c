"""Task that discovers the other daemons and exchanges heartbeats."""

import asyncio
import json
import random
from collections.abc import Iterable

import cattrs
import logbook

from turmericcroft import errors
from turmericcroft import settings
from turmericcroft.clients import keyvalue
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import peers as peer_links
from turmericcroft.membership import view
from turmericcroft.mesh import message as messages
from turmericcroft.timeline import event
from turmericcroft.timeline import recorder

_LOG = logbook.Logger("membership")
PREFIX = "/turmericcroft/members/"
LEASE_TTL_S = 60
LIST_INTERVAL_S = 5.0
LIST_S_PER_MEMBER = 0.15
_RENEW_INTERVAL_S = LEASE_TTL_S / 3.0
_FETCH_TIMEOUT_S = 1.0


def list_interval_s(members: int) -> float:
    """Returns the pause between listings of the members.

    It grows with the number of members, to bound the bytes read per second.

    Example:
        >>> list_interval_s(8), list_interval_s(400)
        (5.0, 60.0)
    """
    return max(LIST_INTERVAL_S, LIST_S_PER_MEMBER * members)


def _seed_addresses(seeds: Iterable[str]) -> list[tuple[str, int]]:
    split = [seed.rpartition(":") for seed in seeds]
    return [(host, int(port)) for host, _, port in split]


class MembershipTask:
    """Registers this daemon, lists the others and exchanges heartbeats.

    The listing in the key-value service is for discovery only. Heartbeats
    decide which members are alive, also during an outage of the service.

    Attributes:
        first_round_done: Set after the first round of heartbeats; before that
            this daemon may not know which configuration its peers have.
    """

    def __init__(
        self,
        config: settings.Settings,
        board: boards.Board,
        members: view.View,
        peers: peer_links.Peers,
        key_value: keyvalue.KeyValue,
        timeline: recorder.Recorder,
    ) -> None:
        self.settings = config
        self.board = board
        self.members = members
        self.peers = peers
        self.key_value = key_value
        self.timeline = timeline
        self.first_round_done = asyncio.Event()
        self._listed_once = asyncio.Event()
        self._newly_registered = asyncio.Event()
        self._lease = 0
        self._random = random.Random(config.daemon.name)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._register_forever())
            group.create_task(self._list_forever())
            group.create_task(self._send_heartbeats_forever())

    async def announce_leaving(self) -> None:
        """Informs all members that this daemon takes no more work."""
        self.members.leaving = True
        await self.peers.broadcast(self.heartbeat())

    async def unregister(self) -> None:
        """Removes this daemon from the listing."""
        if self._lease:
            try:
                await self.key_value.revoke_lease(self._lease)
            except errors.PlatformError as error:
                _LOG.warning(
                    "revoking the membership lease failed", error=str(error)
                )

    def heartbeat(self) -> messages.Heartbeat:
        """Returns this daemon's current heartbeat."""
        now_s = asyncio.get_running_loop().time()
        return messages.Heartbeat(
            member=self.members.own,
            leaving=self.members.leaving,
            config_number=self.board.config_number,
            stamp=self.timeline.clock.now(),
            rumours=self.members.recent_rumours(now_s),
        )

    def apply_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Applies a peer's heartbeat to the view and the clock."""
        now_s = asyncio.get_running_loop().time()
        self.timeline.clock.observe(heartbeat.stamp)
        self.members.record_heartbeat(
            heartbeat.member, heartbeat.leaving, heartbeat.config_number, now_s
        )
        self.members.merge_rumours(heartbeat.rumours, now_s)

    def members_ahead(self) -> tuple[view.Member, ...]:
        """Returns the members that have a newer configuration in force."""
        return tuple(
            observation.member
            for observation in self.members.observations.values()
            if observation.config_number > self.board.config_number
        )

    async def _register_forever(self) -> None:
        while True:
            try:
                await self._register()
            except errors.PlatformError as error:
                _LOG.warning("registering this daemon failed", error=str(error))
                await asyncio.sleep(LIST_INTERVAL_S)
                continue
            await asyncio.sleep(_RENEW_INTERVAL_S)

    async def _register(self) -> None:
        if self._lease and await self.key_value.keep_lease(self._lease):
            return
        self._lease = await self.key_value.grant_lease(LEASE_TTL_S)
        own = self.members.own
        value = json.dumps(cattrs.unstructure(own)).encode()
        await self.key_value.put(PREFIX + own.name, value, self._lease)
        self._newly_registered.set()

    async def _list_forever(self) -> None:
        while True:
            try:
                await self._list()
            except errors.PlatformError as error:
                _LOG.warning("listing the members failed", error=str(error))
                await self._fetch_members()
            self._listed_once.set()
            pause_s = list_interval_s(len(self.members.observations))
            await self._wait_for_listing(
                pause_s * self._random.uniform(0.8, 1.2)
            )

    async def _wait_for_listing(self, pause_s: float) -> None:
        """Waits for the next listing, which a registration starts at once.

        Of two daemons that start together, the one that registers later then
        finds the other one, and sends it a heartbeat.
        """
        try:
            async with asyncio.timeout(pause_s):
                await self._newly_registered.wait()
        except TimeoutError:
            return
        self._newly_registered.clear()

    async def _list(self) -> None:
        entries = await self.key_value.list_prefix(PREFIX)
        listed = [
            cattrs.structure(json.loads(entry.value), view.Member)
            for entry in entries
        ]
        now_s = asyncio.get_running_loop().time()
        for member in self.members.add_listed(listed, now_s):
            self.timeline.record(event.MemberChanged(member.name, "listed"))
        self.members.remove_gone(member.name for member in listed)

    async def _fetch_members(self) -> None:
        """Fetches members from peers while the key-value service fails."""
        known = [(m.host, m.port) for m in self.members.alive()[:2]]
        for host, port in known or _seed_addresses(self.settings.mesh.seeds):
            link = self.peers.link_to_address(host, port)
            try:
                reply = await link.call(
                    messages.FetchMembers(), _FETCH_TIMEOUT_S
                )
            except errors.MeshError as error:
                _LOG.warning(
                    "fetching the members from a peer failed", error=str(error)
                )
                continue
            if isinstance(reply, messages.MembersReply):
                now_s = asyncio.get_running_loop().time()
                self.members.add_listed(reply.members, now_s)

    async def _send_heartbeats_forever(self) -> None:
        await self._listed_once.wait()
        interval_s = self.settings.mesh.heartbeat_interval_s
        while True:
            now_s = asyncio.get_running_loop().time()
            targets = list(self.members.neighbours(now_s))
            dead = self.members.dead()
            if dead:
                # Dead members are no neighbours. Without this heartbeat, the
                # sides of a healed partition would not find each other again.
                targets.append(self._random.choice(dead))
            await asyncio.gather(*(self._send_heartbeat(m) for m in targets))
            self.first_round_done.set()
            now_s = asyncio.get_running_loop().time()
            for member, health in self.members.update_health(now_s):
                self.timeline.record(
                    event.MemberChanged(member.name, health.value)
                )
            await asyncio.sleep(interval_s * self._random.uniform(0.9, 1.1))

    async def _send_heartbeat(self, member: view.Member) -> None:
        timeout_s = self.settings.mesh.heartbeat_interval_s
        try:
            reply = await self.peers.call(member, self.heartbeat(), timeout_s)
        except errors.MeshError:
            return
        if isinstance(reply, messages.Heartbeat):
            self.apply_heartbeat(reply)
