"""Confirms that the local view includes all that the store held at a moment.

Load pattern: hundreds of clients take streams up at the same moment. A call to
the store serves all that came before it began. Those that come while one is
under way share the next: the store may have answered that one before they came,
and a process that stands still reads the answer long after.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import logbook

from turmericcroft import errors
from turmericcroft.fleet import positions
from turmericcroft.gateway import following
from turmericcroft.gateway import members
from turmericcroft.gateway import ports
from turmericcroft.gateway import state as states
from turmericcroft.resumption import coverage

_LOG = logbook.Logger("view")
# Time for the store's answers, after which clients are refused.
_TIMEOUT_S = 0.3
# The same for other daemons, which ask the store in turn.
_PEERS_TIMEOUT_S = 0.4
# The store is not asked again within this time after it did not answer.
_RETRY_INTERVAL_S = 0.5
# Pause before changes are asked for again that the store has not returned.
_POLL_S = 0.02

Confirm = Callable[[], Awaitable[positions.StorePosition | None]]


class SharedCall:
    """A call whose result serves all who asked for it before it began.

    Example:
        >>> begun = []
        >>> async def call():
        ...     begun.append(len(begun))
        ...     await asyncio.sleep(0)
        >>> async def ask_six_times():
        ...     shared = SharedCall(call)
        ...     first = asyncio.create_task(shared.run())
        ...     while not begun:
        ...         await asyncio.sleep(0)
        ...     await asyncio.gather(first, *(shared.run() for _ in range(5)))
        >>> asyncio.run(ask_six_times())
        >>> begun
        [0, 1]
    """

    def __init__(self, call: Confirm) -> None:
        self._call = call
        self._running: asyncio.Task[positions.StorePosition | None] | None = (
            None
        )
        self._next: asyncio.Task[positions.StorePosition | None] | None = None

    async def run(self) -> positions.StorePosition | None:
        """Returns the result of a call that begins after this one."""
        if self._next is None:
            self._next = asyncio.create_task(self._run_after(self._running))
        return await asyncio.shield(self._next)

    async def _run_after(
        self, running: asyncio.Task[positions.StorePosition | None] | None
    ) -> positions.StorePosition | None:
        if running is not None:
            await asyncio.wait([running])
        self._running, self._next = self._next, None
        return await self._call()


class ViewConfirmation:
    """Confirms the view, by the store or by daemons that reach it."""

    def __init__(
        self,
        state: states.State,
        store: ports.Store,
        follower: following.Follower,
        fleet_members: members.Members,
    ) -> None:
        self.state = state
        self.store = store
        self.follower = follower
        self._by_store = SharedCall(self._ask_store)
        self._by_peers = SharedCall(self._ask_peers)
        self._fleet_members = fleet_members
        self._failed_at_s = float("-inf")

    async def confirm_by_store(self) -> positions.StorePosition | None:
        """Brings the view up to date with the store.

        Returns:
            A position that the store had reached after this call began, and
            that the view includes; None if that could not be found out soon.
        """
        return await self._by_store.run()

    async def confirm(self) -> positions.StorePosition | None:
        """Does the same, with the help of other daemons if they are needed."""
        found = await self._by_store.run() or await self._by_peers.run()
        if found is None:
            now_s = asyncio.get_running_loop().time()
            self.state.software_versions.record_unconfirmed(now_s)
        return found

    async def _ask_store(self) -> positions.StorePosition | None:
        loop = asyncio.get_running_loop()
        if loop.time() - self._failed_at_s < _RETRY_INTERVAL_S:
            return None
        cause = "the store did not answer in time"
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                return await self._reach_store()
        except TimeoutError:
            pass
        except errors.PlatformError as error:
            cause = str(error)
        self._failed_at_s = loop.time()
        _LOG.warning("the store did not confirm the view", error=cause)
        return None

    async def _ask_peers(self) -> positions.StorePosition | None:
        try:
            async with asyncio.timeout(_PEERS_TIMEOUT_S):
                return await self._fleet_members.confirm_by_peers()
        except TimeoutError:
            return None

    async def _reach_store(self) -> positions.StorePosition | None:
        if not self._covers(coverage.ANY_POSITION):
            return None
        # Reads of keys are linearizable; changes may be returned late.
        listing = await self.store.list_prefix(following.COVERAGE_KEY)
        while not self._covers(listing.position):
            await self.follower.catch_up()
            if self._covers(listing.position):
                break
            if not self._covers(coverage.ANY_POSITION):
                return None
            await asyncio.sleep(_POLL_S)
        return listing.position

    def _covers(self, position: positions.StorePosition) -> bool:
        now_s = asyncio.get_running_loop().time()
        return self.state.software_versions.covers(position, now_s)
