"""Hybrid logical clock: orders events of daemons whose wall clocks differ.

Timestamps follow the wall clock, but never decrease, and are later than every
timestamp observed from a peer, so that effects are ordered after their causes.
"""

import dataclasses
from collections.abc import Callable

MAX_DRIFT_MS = 60_000


@dataclasses.dataclass(frozen=True, order=True)
class Stamp:
    """Timestamp of a hybrid logical clock.

    Attributes:
        wall_ms: Unix time in ms.
        counter: Orders timestamps with the same ``wall_ms``.
    """

    wall_ms: int
    counter: int


class HybridClock:
    """Hybrid logical clock of one daemon.

    Attributes:
        last: The latest timestamp issued or observed.
    """

    def __init__(self, wall_ms: Callable[[], int]) -> None:
        self._wall_ms = wall_ms
        self.last = Stamp(0, 0)

    def now(self) -> Stamp:
        """Issues a timestamp later than all issued or observed before.

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
        """Advances the clock to a peer's timestamp if that is later.

        A timestamp more than ``MAX_DRIFT_MS`` in the future is ignored, so
        that one VM with a wrong clock doesn't advance the clocks of all
        daemons.
        """
        if stamp.wall_ms - self._wall_ms() > MAX_DRIFT_MS:
            return
        self.last = max(self.last, stamp)
