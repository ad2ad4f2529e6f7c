"""Budget of repeats over a sliding window, shared by all daemons.

Each daemon keeps to its own part: a share of the requests that it took
itself, and an equal part of the fixed allowance. The parts add up to less
than the whole, so no daemon needs to hear of another one, also in a cut.
"""

import collections
import dataclasses

# Requests move between windows of this and other daemons, so a daemon keeps
# below its exact part.
_SAFETY = 0.6


@dataclasses.dataclass(frozen=True)
class Terms:
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

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now_s: float) -> None:
        """Counts a request of a client."""
        self._requests.append(now_s)
        self._forget(now_s)

    def left(self, daemons: int, now_s: float) -> float:
        """Tells how many repeats may be made now.

        Args:
            daemons: Daemons that share the allowance.
            now_s: Monotonic time.

        Example:
            >>> budget = RetryBudget(Terms(0.2, 50.0, 10.0))
            >>> budget.left(daemons=10, now_s=0.0)
            3.0
        """
        self._forget(now_s)
        terms = self.terms
        earned = terms.ratio * len(self._requests)
        part = terms.allowance / max(1, daemons)
        return _SAFETY * (earned + part) - len(self._repeats)

    def take(self, daemons: int, now_s: float) -> bool:
        """Takes one repeat if the budget allows it."""
        if self.left(daemons, now_s) < 1.0:
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        horizon_s = now_s - self.terms.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] <= horizon_s:
                times.popleft()
