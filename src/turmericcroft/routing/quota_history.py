"""Recent values of a quota replica, and what follows from them.

Load: reports of other daemons are up to 1.2 s old, and a network partition is
noticed only after three reports are missing. Both are made up for afterwards,
from what was recorded.
"""

import collections

from turmericcroft.routing import declaration

# Time for which values are kept.
_RETENTION_S = 5.0


class History:
    """Values by the monotonic time from which they hold.

    Attributes:
        entries: Times and values, the oldest first.

    Example:
        >>> history = History()
        >>> history.append(1.0, 1.0)
        >>> history.append(2.0, 0.5)
        >>> history.integrate(since_s=1.5, until_s=3.0, before=1.0)
        1.0
        >>> history.last(default=0.0)
        0.5
    """

    def __init__(self) -> None:
        self.entries: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def append(self, now_s: float, value: float) -> None:
        """Adds a value and drops those that are too old."""
        self.entries.append((now_s, value))
        while now_s - self.entries[0][0] > _RETENTION_S:
            self.entries.popleft()

    def last_at_s(self) -> float:
        """Returns the time of the latest value; minus infinity if none."""
        return self.entries[-1][0] if self.entries else float("-inf")

    def last(self, default: float) -> float:
        """Returns the latest value."""
        return self.entries[-1][1] if self.entries else default

    def integrate(self, since_s: float, until_s: float, before: float) -> float:
        """Returns the integral of the value over a time.

        Args:
            since_s: Begin of the time.
            until_s: End of it.
            before: Value before the first that is kept.
        """
        integral = 0.0
        for at_s, value in reversed(self.entries):
            if until_s <= since_s:
                break
            begin_s = max(at_s, since_s)
            integral += value * max(0.0, until_s - begin_s)
            until_s = min(until_s, begin_s)
        return integral + before * max(0.0, until_s - since_s)


def replay_level(
    levels: History,
    spent: History,
    quota: declaration.Quota,
    capacity: float,
    span_s: tuple[float, float],
    shares: tuple[float, float],
) -> float:
    """Computes the level as if a share had been reserved earlier.

    Each side of a partition counted the whole rate as its own since the other
    side's last report.

    Args:
        levels: Levels of the bucket.
        spent: Units taken from it.
        quota: The quota.
        capacity: Units that the bucket holds.
        span_s: Time of the last report, and now.
        shares: Shares of the rate before and from now on.

    Returns:
        The level; infinite if nothing was recorded before.
    """
    since_s, until_s = span_s
    earlier = [entry for entry in levels.entries if entry[0] <= since_s]
    if not earlier:
        return float("inf")
    at_s, level = earlier[-1]
    level *= shares[1] / shares[0]
    rate, limit = quota.rate_per_s * shares[1], capacity * shares[1]
    taken = [entry for entry in spent.entries if entry[0] >= at_s]
    for spent_at_s, units in [*taken, (until_s, 0.0)]:
        level = min(limit, level + (spent_at_s - at_s) * rate) - units
        at_s = spent_at_s
    return level
