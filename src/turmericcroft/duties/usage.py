"""Counts requests for the usage reports, by time window and account.

A request is counted when a server starts to process it. Windows follow a time
of day that one daemon's wrong clock does not change.
"""

import math
import statistics
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

# Number of windows sent to other daemons. A report is due within 10 s of the
# end of its window, which is two windows later.
RETAINED_WINDOWS = 5
# Recorded windows that each daemon keeps, and tells the others. The store loses
# what was written within some seconds, which is less than two windows.
RECORDED_WINDOWS_KEPT = 8
_RECORDED_WINDOWS_TOLD = 2
# More than any clock is wrong. Windows beyond it are none: they would take the
# place of those that were recorded.
MAX_AHEAD_S = 86_400.0

WindowCounts = dict[int, dict[str, int]]


def merge_counts(first: WindowCounts, second: WindowCounts) -> WindowCounts:
    """Returns the newest counts of one start of a daemon, the highest ones.

    Example:
        >>> merge_counts({7: {"north": 9}}, {7: {"north": 3, "east": 1}})
        {7: {'north': 9, 'east': 1}}
    """
    merged = {window: dict(counts) for window, counts in first.items()}
    for window, counts in second.items():
        known = merged.setdefault(window, {})
        for account, count in counts.items():
            known[account] = max(count, known.get(account, 0))
    return merged


class UsageCounts:
    """Counts of this daemon and of its peers.

    Attributes:
        window_s: Length of a window.
        latest_window: Returns the latest window that a peer may count.
        own: This daemon's counts.
        peers: Peers' counts, by daemon incarnation.
    """

    def __init__(
        self,
        window_s: float,
        latest_window: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.window_s = window_s
        self.latest_window = latest_window
        self.own: WindowCounts = {}
        self.peers: dict[str, WindowCounts] = {}

    def window_at(self, time_s: float) -> int:
        """Returns the number of the window that contains a time.

        Example:
            >>> UsageCounts(5.0).window_at(12.0)
            2
        """
        return int(time_s // self.window_s)

    def record(self, account: str, time_s: float) -> None:
        """Counts a request that a server started to process."""
        number = self.window_at(time_s)
        counts = self.own.setdefault(number, {})
        counts[account] = counts.get(account, 0) + 1
        for old in [
            key for key in self.own if key <= number - RETAINED_WINDOWS
        ]:
            del self.own[old]

    def update_peer(self, daemon: str, counts: WindowCounts) -> None:
        """Merges a peer's counts, which never decrease; they may come late."""
        latest = self.latest_window()
        told = {n: found for n, found in counts.items() if n <= latest}
        known = merge_counts(self.peers.get(daemon, {}), told)
        self.peers[daemon] = known
        if known:
            newest = max(known)
            for old in [
                key for key in known if key <= newest - RETAINED_WINDOWS
            ]:
                del known[old]

    def total(self, window: int, accounts: Iterable[str]) -> dict[str, int]:
        """Returns a window's counts by account, summed over all daemons."""
        totals = dict.fromkeys(accounts, 0)
        for counts in (self.own, *self.peers.values()):
            for account, count in counts.get(window, {}).items():
                totals[account] = totals.get(account, 0) + count
        return totals


class RecordedWindows:
    """Counts that holders of the duties recorded, and may have reported.

    The store may lose a record, so all daemons keep the latest ones. A window
    is never reported with other counts than those recorded first.

    Attributes:
        latest_window: Returns the latest window that may be recorded.
        counts: Recorded counts by window.
    """

    def __init__(
        self, latest_window: Callable[[], float] = lambda: math.inf
    ) -> None:
        self.latest_window = latest_window
        self.counts: WindowCounts = {}

    def keep(self, window: int, counts: dict[str, int]) -> None:
        """Keeps the counts of a window, unless others are known for it."""
        if window > self.latest_window():
            return
        self.counts.setdefault(window, counts)
        while len(self.counts) > RECORDED_WINDOWS_KEPT:
            del self.counts[min(self.counts)]

    def newest(self) -> WindowCounts:
        """Returns the latest windows, for the other daemons.

        Example:
            >>> windows = RecordedWindows()
            >>> for number in (4, 6, 5):
            ...     windows.keep(number, {"north": number})
            >>> sorted(windows.newest())
            [5, 6]
        """
        numbers = sorted(self.counts)[-_RECORDED_WINDOWS_TOLD:]
        return {number: self.counts[number] for number in numbers}


class MedianClock:
    """Time of day by the median of all daemons' clocks.

    Attributes:
        offsets_s: Offset of each peer's clock from this one, by daemon.
    """

    def __init__(self) -> None:
        self.offsets_s: dict[str, float] = {}

    def update_peer(
        self, daemon: str, peer_time_s: float, own_s: float
    ) -> None:
        """Records a peer's time of day, unless it can be no clock's."""
        if abs(peer_time_s - own_s) <= MAX_AHEAD_S:
            self.offsets_s[daemon] = peer_time_s - own_s

    def retain(self, daemons: Mapping[str, object]) -> None:
        """Removes the offsets of all daemons but the given ones."""
        self.offsets_s = {
            name: offset
            for name, offset in self.offsets_s.items()
            if name in daemons
        }

    def correct(self, own_s: float) -> float:
        """Returns this daemon's time of day, corrected by the median offset.

        Example:
            >>> clock = MedianClock()
            >>> clock.update_peer("b", 8.0, 10.0)
            >>> clock.update_peer("c", 8.1, 10.0)
            >>> clock.correct(10.0)
            8.1
        """
        offsets = [0.0, *self.offsets_s.values()]
        return own_s + statistics.median_low(offsets)
