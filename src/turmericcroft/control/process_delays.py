"""Measures for how long this process was kept from running.

A process that was paused, or that waited for a processor, finds its timers
expired when it runs again, and the answers that arrived meanwhile unread.
"""

import asyncio

_TICK_S = 0.02
# Time for which it measures after a request to do so.
_KEPT_S = 2.0


class ProcessDelays:
    """Adds up how late a regular timer fires.

    Attributes:
        longest_s: The longest single delay.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._total_s = 0.0
        self._due_s: float | None = None
        self._until_s = 0.0

    def keep_measuring(self, now_s: float, period_s: float = _KEPT_S) -> None:
        """Measures from now on, until this was not called for a while.

        Args:
            now_s: Monotonic time.
            period_s: How long it measures without another call.
        """
        self._until_s = now_s + period_s
        if self._due_s is None:
            self._schedule(now_s)

    def total_s(self, now_s: float) -> float:
        """Returns the sum of all delays, that of the present one included.

        Args:
            now_s: Monotonic time.
        """
        if self._due_s is None:
            return self._total_s
        return self._total_s + max(0.0, now_s - self._due_s)

    def _schedule(self, now_s: float) -> None:
        self._due_s = now_s + _TICK_S
        asyncio.get_running_loop().call_later(_TICK_S, self._tick)

    def _tick(self) -> None:
        now_s = asyncio.get_running_loop().time()
        total_s = self.total_s(now_s)
        self.longest_s = max(self.longest_s, total_s - self._total_s)
        self._total_s = total_s
        if now_s < self._until_s:
            self._schedule(now_s)
        else:
            self._due_s = None
