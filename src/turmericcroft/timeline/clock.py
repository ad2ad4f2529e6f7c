"""Hybrid logical clock: wall time that never runs backwards."""

import dataclasses
from collections.abc import Callable

MAX_DRIFT_MS = 60_000


@dataclasses.dataclass(frozen=True, order=True)
class Stamp:
    """A point on the clock.

    Attributes:
        wall_ms: UNIX time in ms.
        counter: Orders events within a millisecond.
    """

    wall_ms: int
    counter: int


class HybridClock:
    """Clock of one daemon.

    Attributes:
        last: The last stamp given out or seen.
    """

    def __init__(self, wall_ms: Callable[[], int]) -> None:
        self._wall_ms = wall_ms
        self.last = Stamp(0, 0)

    def now(self) -> Stamp:
        """Gives out a stamp later than all before.

        Example:
            >>> clock = HybridClock(lambda: 5)
            >>> clock.now() < clock.now()
            True
        """
        wall_ms = self._wall_ms()
        if wall_ms > self.last.wall_ms:
            self.last = Stamp(wall_ms, 0)
        else:
            self.last = Stamp(self.last.wall_ms, self.last.counter + 1)
        return self.last

    def observe(self, stamp: Stamp) -> None:
        """Moves on to a peer's stamp, so that effects follow causes.

        A stamp far in the future is ignored, so that one VM with a broken
        clock does not carry all others away.
        """
        if stamp.wall_ms - self._wall_ms() > MAX_DRIFT_MS:
            return
        self.last = max(self.last, stamp)
