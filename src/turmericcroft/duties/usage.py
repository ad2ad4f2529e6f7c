"""Counts of the requests that began to run, by window and account."""

import statistics
from collections.abc import Iterable
from collections.abc import Mapping

# Windows that are told to other daemons; a report is due within ten seconds
# of a window's end, which is two more windows.
RETAINED_WINDOWS = 5

WindowCounts = dict[int, dict[str, int]]


class UsageCounts:
    """Counts of this daemon and of the others.

    Attributes:
        window_s: Length of a window.
        own: This daemon's counts.
        peers: Others' counts, by daemon incarnation.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.own: WindowCounts = {}
        self.peers: dict[str, WindowCounts] = {}

    def window_at(self, time_s: float) -> int:
        """Number of the window that a time lies in.

        Example:
            >>> UsageCounts(5.0).window_at(12.0)
            2
        """
        return int(time_s // self.window_s)

    def record(self, account: str, time_s: float) -> None:
        """Counts a request that began to run."""
        number = self.window_at(time_s)
        counts = self.own.setdefault(number, {})
        counts[account] = counts.get(account, 0) + 1
        for old in [
            key for key in self.own if key <= number - RETAINED_WINDOWS
        ]:
            del self.own[old]

    def update_peer(self, daemon: str, counts: WindowCounts) -> None:
        """Takes in another daemon's counts; they never go down."""
        known = self.peers.setdefault(daemon, {})
        known.update(counts)
        if known:
            newest = max(known)
            for old in [
                key for key in known if key <= newest - RETAINED_WINDOWS
            ]:
                del known[old]

    def total(self, window: int, accounts: Iterable[str]) -> dict[str, int]:
        """Sums a window over all daemons, for all accounts."""
        totals = dict.fromkeys(accounts, 0)
        for counts in (self.own, *self.peers.values()):
            for account, count in counts.get(window, {}).items():
                totals[account] = totals.get(account, 0) + count
        return totals


class MedianClock:
    """Time of day that one broken clock does not move.

    Attributes:
        offsets_s: Others' clocks relative to this one, by daemon.
    """

    def __init__(self) -> None:
        self.offsets_s: dict[str, float] = {}

    def update_peer(
        self, daemon: str, peer_time_s: float, own_s: float
    ) -> None:
        """Takes in another daemon's time of day."""
        self.offsets_s[daemon] = peer_time_s - own_s

    def retain(self, daemons: Mapping[str, object]) -> None:
        """Forgets all other daemons."""
        self.offsets_s = {
            name: offset
            for name, offset in self.offsets_s.items()
            if name in daemons
        }

    def correct(self, own_s: float) -> float:
        """Corrects this daemon's time of day by the median of all.

        Example:
            >>> clock = MedianClock()
            >>> clock.update_peer("b", 8.0, 10.0)
            >>> clock.update_peer("c", 8.1, 10.0)
            >>> clock.correct(10.0)
            8.1
        """
        offsets = [0.0, *self.offsets_s.values()]
        return own_s + statistics.median_low(offsets)
