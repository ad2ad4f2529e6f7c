"""Budget of repeats over a sliding window, shared by all daemons.

Each daemon keeps to its own part: a share of the requests that it took
itself, and an equal part of the fixed allowance. The parts add up to less
than the whole, so no daemon needs to hear of another one, also in a cut.
"""

import collections
import dataclasses

# Requests move between windows of this and other daemons, so a daemon keeps
# below its exact part.
_SAFETY_FACTOR = 0.6


@dataclasses.dataclass(frozen=True)
class RetryLimits:
    """What the budget allows.

    Attributes:
        ratio: Repeats allowed for each request.
        allowance: Repeats allowed besides, for all daemons together.
        window_s: Length of the window.
    """

    ratio: float
    allowance: float
    window_s: float


class RetryBudget:
    """Repeats of this daemon to one service."""

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now_s: float) -> None:
        """Counts a request of a client."""
        self._requests.append(now_s)
        self._expire(now_s)

    def remaining(self, daemons: int, now_s: float) -> float:
        """Tells how many repeats may be made now.

        Args:
            daemons: Daemons that share the allowance.
            now_s: Monotonic time.

        Example:
            >>> budget = RetryBudget(RetryLimits(0.2, 50.0, 10.0))
            >>> budget.remaining(daemons=10, now_s=0.0)
            3.0
        """
        self._expire(now_s)
        limits = self.limits
        earned = limits.ratio * len(self._requests)
        allowance = limits.allowance / max(1, daemons)
        return _SAFETY_FACTOR * (earned + allowance) - len(self._retries)

    def try_acquire(self, daemons: int, now_s: float) -> bool:
        """Takes one repeat if the budget allows it."""
        if self.remaining(daemons, now_s) < 1.0:
            return False
        self._retries.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        window_start_s = now_s - self.limits.window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= window_start_s:
                times.popleft()
