"""Retry budget of a service over a sliding window, split between daemons.

The budget prevents retry storms while a service fails. Each daemon has a
budget of its own: a ratio of the requests that it received itself, and an
equal part of the fixed allowance. The budgets add up to less than the limit
for all daemons, so they need no messages and also hold in a network
partition.
"""

import collections
import dataclasses

# Fraction of its exact budget that a daemon uses: a request can fall into
# different windows at this daemon and at others.
_SAFETY_FACTOR = 0.6


@dataclasses.dataclass(frozen=True)
class RetryLimits:
    """Limits of the budget.

    Attributes:
        ratio: Retries allowed per request.
        allowance: Additional retries per window, for all daemons together.
        window_s: Length of the window.
    """

    ratio: float
    allowance: float
    window_s: float


class RetryBudget:
    """Retries of this daemon to one service."""

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now_s: float) -> None:
        """Counts a client request, which earns retries."""
        self._requests.append(now_s)
        self._expire(now_s)

    def remaining(self, daemons: int, now_s: float) -> float:
        """Returns the number of retries available now.

        Args:
            daemons: Number of daemons that share the allowance.
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
        """Takes one retry if the budget allows it."""
        if self.remaining(daemons, now_s) < 1.0:
            return False
        self._retries.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        window_start_s = now_s - self.limits.window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= window_start_s:
                times.popleft()
