"""Collects the time line of all daemons."""

import asyncio
import json
import typing

from turmericcroft import errors
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import peers as peer_links
from turmericcroft.membership import view
from turmericcroft.mesh import message as messages
from turmericcroft.timeline import recorder

_FETCH_TIMEOUT_S = 2.0
_MAX_EVENTS = 5_000


class Timelines:
    """Fetches events from all daemons and merges them in causal order."""

    def __init__(
        self,
        board: boards.Board,
        members: view.View,
        peers: peer_links.Peers,
        own: recorder.Recorder,
    ) -> None:
        self.board = board
        self.members = members
        self.peers = peers
        self.own = own

    def local(self, wanted: recorder.Filter) -> list[dict[str, typing.Any]]:
        """Returns this daemon's newest matching events, as JSON objects."""
        found = self.own.select(wanted)[-_MAX_EVENTS:]
        return [recorder.to_dict(stamped) for stamped in found]

    async def collect(
        self, wanted: recorder.Filter
    ) -> list[dict[str, typing.Any]]:
        """Returns the newest matching events of daemons that reply in time."""
        fetched = await asyncio.gather(
            *(self._fetch(member, wanted) for member in self.members.alive())
        )
        merged = [*self.local(wanted)]
        for events in fetched:
            merged.extend(events)
        merged.sort(key=lambda e: (e["wall_ms"], e["counter"], e["daemon"]))
        return merged[-_MAX_EVENTS:]

    async def release(self, fingerprint: str) -> int:
        """Ends the quarantine of a request at all daemons.

        Returns:
            The number of other daemons that replied in time.
        """
        self.board.suspects.merge(fingerprint, 0, False, 0.0)
        return await self.peers.broadcast(
            messages.Quarantine(fingerprint, 0, False)
        )

    async def _fetch(
        self, member: view.Member, wanted: recorder.Filter
    ) -> list[dict[str, typing.Any]]:
        message = messages.FetchTimeline(
            wanted.request_id, wanted.server, wanted.account, wanted.since_ms
        )
        try:
            reply = await self.peers.call(member, message, _FETCH_TIMEOUT_S)
        except errors.MeshError:
            return []
        if not isinstance(reply, messages.TimelineReply):
            return []
        return [json.loads(line) for line in reply.data.splitlines()]
