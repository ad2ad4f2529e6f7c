"""Measures how many servers the requests to a service keep busy.

Demand rises and falls within tens of seconds. Daemons tell each other totals of
the server time that requests needed, which arrive up to a second late.
"""

import collections
import dataclasses

# Demand is averaged over DEMAND_WINDOW_S, and the peak of that average within
# DEMAND_HISTORY_S sizes the reclaimable servers. On-demand servers start too
# late for a burst, so the mean within MEAN_WINDOW_S sizes them.
DEMAND_WINDOW_S = 4.0
DEMAND_HISTORY_S = 20.0
# Shortest window over which the first demand is averaged.
_MIN_DEMAND_WINDOW_S = 1.5
MEAN_WINDOW_S = 12.0
# Entry of refused work among the totals of the daemons.
_REFUSED_WORK = ":refused"


@dataclasses.dataclass(frozen=True)
class DemandTotals:
    """Total server time that requests need, in seconds.

    Attributes:
        usual_s: Time if the shared prefixes of all prompts are cached.
        actual_s: Time including the prefill of prefixes that no server had
            cached.
    """

    usual_s: float = 0.0
    actual_s: float = 0.0

    def plus(self, usual_s: float, actual_s: float) -> "DemandTotals":
        """Returns the totals with a request's times added."""
        return DemandTotals(self.usual_s + usual_s, self.actual_s + actual_s)


class ServiceDemand:
    """Recent demand for one service, summed over all daemons."""

    def __init__(self) -> None:
        self._totals: dict[str, DemandTotals] = {}
        self._increments: collections.deque[tuple[float, DemandTotals]] = (
            collections.deque()
        )
        self._peaks: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._first_demand_s: float | None = None

    def record_total(
        self, daemon: str, total: DemandTotals, now_s: float
    ) -> None:
        """Records a daemon's totals, which only grow."""
        previous = self._totals.get(daemon, DemandTotals())
        if total.actual_s <= previous.actual_s:
            return
        self._totals[daemon] = total
        if self._first_demand_s is None:
            self._first_demand_s = now_s
        increment = total.plus(-previous.usual_s, -previous.actual_s)
        self._increments.append((now_s, increment))

    def add_refused(self, work_s: float, now_s: float) -> None:
        """Adds work that was refused, in server seconds."""
        total = self._totals.get(_REFUSED_WORK, DemandTotals())
        self.record_total(_REFUSED_WORK, total.plus(work_s, work_s), now_s)

    def has_begun(self) -> bool:
        """Returns whether any demand was seen."""
        return self._first_demand_s is not None

    def has_full_window(self, now_s: float) -> bool:
        """Returns whether demand was seen for a whole demand window."""
        first_s = self._first_demand_s
        return first_s is not None and now_s - first_s >= DEMAND_WINDOW_S

    def peak_servers(
        self, now_s: float, history_s: float = DEMAND_HISTORY_S
    ) -> float:
        """Returns the peak number of busy servers, with cached prefixes."""
        window_s = DEMAND_WINDOW_S
        if self._first_demand_s is not None:
            window_s = min(window_s, now_s - self._first_demand_s)
        window_s = max(window_s, _MIN_DEMAND_WINDOW_S)
        increments = self._recent(window_s, now_s)
        busy = sum(increment.usual_s for increment in increments) / window_s
        while self._peaks and self._peaks[0][0] < now_s - history_s:
            self._peaks.popleft()
        while self._peaks and self._peaks[-1][1] <= busy:
            self._peaks.pop()
        self._peaks.append((now_s, busy))
        return self._peaks[0][1]

    def mean_servers(self, now_s: float) -> float:
        """Returns the mean number of busy servers, with actual prefills."""
        if self._first_demand_s is None:
            return 0.0
        window_s = min(MEAN_WINDOW_S, now_s - self._first_demand_s)
        window_s = max(DEMAND_WINDOW_S, window_s)
        increments = self._recent(window_s, now_s)
        return sum(increment.actual_s for increment in increments) / window_s

    def _recent(self, window_s: float, now_s: float) -> list[DemandTotals]:
        while (
            self._increments
            and self._increments[0][0] < now_s - DEMAND_HISTORY_S
        ):
            self._increments.popleft()
        return [
            increment
            for at, increment in self._increments
            if at >= now_s - window_s
        ]
