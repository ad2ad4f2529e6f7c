"""Detects server crashes and the requests that may have caused them."""

import asyncio
import collections

from turmericcroft import errors
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import peers as peer_links
from turmericcroft.mesh import message as messages
from turmericcroft.routing import fleet
from turmericcroft.routing import suspects


class CrashWatch:
    """Records crashes of servers and broadcasts suspect requests.

    Each request of this daemon that is in flight at a server when it crashes
    may have caused the crash.
    """

    def __init__(self, board: boards.Board, peers: peer_links.Peers) -> None:
        self.board = board
        self.peers = peers
        self._in_flight: dict[str, collections.Counter[str]] = {}

    def record_start(self, server: str, fingerprint: str) -> None:
        """Records that a request was sent to a server."""
        self.board.load.start(server)
        in_flight = self._in_flight.setdefault(server, collections.Counter())
        in_flight[fingerprint] += 1

    def record_end(self, server: str, fingerprint: str) -> None:
        """Records that a request ended on a server, with any outcome."""
        self.board.load.finish(server)
        in_flight = self._in_flight[server]
        in_flight[fingerprint] -= 1
        if in_flight[fingerprint] <= 0:
            del in_flight[fingerprint]

    async def record_failure(
        self,
        fingerprint: str,
        server: fleet.Server,
        error: errors.BackendError,
        started_at_s: float,
    ) -> None:
        """Records a failed request and, if its server crashed, the crash.

        A connection that is lost without an announced reclaim is a crash. Any
        other failure ends the probation of the request on the server.

        Args:
            fingerprint: Hash of the request's account and body.
            server: The server to which the request was sent.
            error: How the request failed.
            started_at_s: Monotonic time at which it was sent to the server.
        """
        is_lost = isinstance(error, errors.BackendLostError)
        is_leaving = server.name in self.board.leaving
        if not is_lost or is_leaving:
            self.board.suspects.end_probation(server.name, fingerprint)
            return
        now_s = asyncio.get_running_loop().time()
        others = self._in_flight.get(server.name, collections.Counter())
        in_flight = frozenset(others) | {fingerprint}
        for record in self.board.suspects.record_crash(
            server.name, in_flight, started_at_s, now_s
        ):
            await self.broadcast(record)

    async def broadcast(self, record: suspects.SuspectRecord) -> None:
        """Sends a record to all daemons and waits for their replies."""
        await self.peers.broadcast(
            messages.Quarantine(
                record.fingerprint, record.crashes, record.quarantined
            )
        )
