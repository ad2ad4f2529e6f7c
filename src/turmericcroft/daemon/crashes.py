"""Watches which requests are on which server, and notices crashes."""

import asyncio
import collections

from turmericcroft import errors
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import peers as peer_links
from turmericcroft.mesh import message as messages
from turmericcroft.routing import fleet
from turmericcroft.routing import suspects


class CrashWatch:
    """Turns lost connections into suspicions and tells the other daemons."""

    def __init__(self, board: boards.Board, peers: peer_links.Peers) -> None:
        self.board = board
        self.peers = peers
        self._present: dict[str, collections.Counter[str]] = {}

    def record_start(self, server: str, fingerprint: str) -> None:
        """Counts a request that is sent to a server."""
        self.board.load.start(server)
        present = self._present.setdefault(server, collections.Counter())
        present[fingerprint] += 1

    def record_end(self, server: str, fingerprint: str) -> None:
        """Counts a request that ended on a server, in whatever way."""
        self.board.load.finish(server)
        present = self._present[server]
        present[fingerprint] -= 1
        if present[fingerprint] <= 0:
            del present[fingerprint]

    async def record_failure(
        self,
        fingerprint: str,
        server: fleet.Server,
        error: errors.BackendError,
        started_at_s: float,
    ) -> None:
        """Concludes what a failed request says of its server.

        A connection that is lost without an announced reclaim is a crash.

        Args:
            fingerprint: The request.
            server: Where it was.
            error: How it failed.
            started_at_s: When it was sent there.
        """
        crashed = isinstance(error, errors.BackendLostError)
        announced = server.name in self.board.leaving
        if not crashed or announced:
            self.board.suspects.end_probation(server.name, fingerprint)
            return
        now_s = asyncio.get_running_loop().time()
        others = self._present.get(server.name, collections.Counter())
        present = frozenset(others) | {fingerprint}
        for record in self.board.suspects.record_crash(
            server.name, present, started_at_s, now_s
        ):
            await self.broadcast(record)

    async def broadcast(self, record: suspects.SuspectRecord) -> None:
        """Tells all daemons of a record and waits for their word."""
        await self.peers.broadcast(
            messages.Quarantine(
                record.fingerprint, record.crashes, record.quarantined
            )
        )
