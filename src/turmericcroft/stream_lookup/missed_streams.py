"""Fetches the streams that were told in messages which this daemon missed.

Load pattern: after a cut the first calls to another daemon may be lost like the
messages before them, as their connections break. Clients that take streams up
are refused until the streams are known.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from turmericcroft.gateway import messages
from turmericcroft.resumption import origins

_RETRY_INTERVAL_S = 0.5
# Streams that go on are told again after this time.
_RETRY_FOR_S = 0.5 * origins.RETENTION_S

Fetch = Callable[[messages.Member, bool], Awaitable[messages.HeadsReply | None]]


class MissedStreams:
    """Fetches from each daemon, one call at a time, until it replies."""

    def __init__(self, fetch: Fetch) -> None:
        self._fetch = fetch
        # Daemons that must be called once the present call has ended.
        self._lacking: set[str] = set()
        self._running: set[str] = set()

    async def fetch(self, member: messages.Member) -> None:
        """Fetches what a daemon told until now.

        A call that is under way may have been answered before, so that another
        one follows it.
        """
        self._lacking.add(member.name)
        if member.name in self._running:
            return
        self._running.add(member.name)
        try:
            async with asyncio.timeout(_RETRY_FOR_S):
                while member.name in self._lacking:
                    self._lacking.discard(member.name)
                    if await self._fetch(member, False) is None:
                        self._lacking.add(member.name)
                        await asyncio.sleep(_RETRY_INTERVAL_S)
        except TimeoutError:
            return
        finally:
            self._running.discard(member.name)
            self._lacking.discard(member.name)
