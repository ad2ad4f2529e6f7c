"""How many servers of each kind a service holds in each zone.

Load pattern: demand that rises and falls within tens of seconds, while the
cloud takes all reclaimable servers of a zone back at once. Reclaimable
servers cost a fraction, so they carry the load; servers that cannot be
reclaimed stand in for them while none are to be had.
"""

import dataclasses
import math
from collections.abc import Mapping

from turmericcroft.routing import declaration

# Runs that one engine carries within the latency objectives (measured on the
# sites' engines: prompts of 17,000 tokens in 580,000 tokens of memory).
RUNS_PER_SERVER = 14.0
# After a reclaim none are to be had for a while; asking earlier is in vain.
RECLAIM_PAUSE_S = 6.0
# An order that found none available is repeated after this time.
NONE_AVAILABLE_PAUSE_S = 3.0
# Demand of the recent past that still counts.
PEAK_WINDOW_S = 12.0


@dataclasses.dataclass(frozen=True)
class ZoneServers:
    """Servers of a service in one zone that take new work.

    Attributes:
        lasting: Servers that cannot be reclaimed.
        reclaimable: Servers that can.
    """

    lasting: int = 0
    reclaimable: int = 0


@dataclasses.dataclass(frozen=True)
class Target:
    """Servers to order in one zone."""

    lasting: int
    reclaimable: int


@dataclasses.dataclass
class ZoneHistory:
    """What the holder of the duty has seen in one zone.

    Attributes:
        scarce_until_s: No reclaimable server is expected before this time.
    """

    scarce_until_s: float = -math.inf


class Planner:
    """Plans one service.

    Attributes:
        scaling: Bounds and prices.
        history: What was seen, by zone.
    """

    def __init__(self, scaling: declaration.Scaling) -> None:
        self.scaling = scaling
        self.history = {zone: ZoneHistory() for zone in scaling.zone_prices}
        self._peaks: list[tuple[float, int]] = []

    def note_runs(self, runs: int, now_s: float) -> None:
        """Takes in how many requests run at the service's servers."""
        self._peaks.append((now_s, runs))
        horizon_s = now_s - PEAK_WINDOW_S
        self._peaks = [peak for peak in self._peaks if peak[0] >= horizon_s]

    def note_reclaim(self, zone: str, now_s: float) -> None:
        """Takes in that reclaimable servers of a zone are taken back."""
        self._scarce(zone, now_s + RECLAIM_PAUSE_S)

    def note_none_available(self, zone: str, now_s: float) -> None:
        """Takes in that an order of reclaimable servers found none."""
        self._scarce(zone, now_s + NONE_AVAILABLE_PAUSE_S)

    def needed(self) -> int:
        """Servers that the recent demand needs."""
        runs = max((runs for _, runs in self._peaks), default=0)
        return math.ceil(runs / RUNS_PER_SERVER)

    def plan(
        self, present: Mapping[str, ZoneServers], now_s: float
    ) -> dict[str, Target]:
        """Decides what to order in each zone.

        Args:
            present: Servers that take new work, by zone.
            now_s: Monotonic time.
        """
        wanted = self._spread()
        return {
            zone: self._plan_zone(
                zone, count, present.get(zone, ZoneServers()), now_s
            )
            for zone, count in wanted.items()
        }

    def _spread(self) -> dict[str, int]:
        """Spreads the needed servers, the cheapest zones first."""
        scaling = self.scaling
        cheapest = sorted(
            scaling.zone_prices, key=lambda zone: scaling.zone_prices[zone]
        )
        wanted = dict.fromkeys(cheapest, max(1, scaling.minimum))
        missing = self.needed() - sum(wanted.values())
        while missing > 0:
            room = [z for z in cheapest if wanted[z] < scaling.maximum]
            if not room:
                break
            fewest = min(room, key=lambda zone: wanted[zone])
            wanted[fewest] += 1
            missing -= 1
        return wanted

    def _plan_zone(
        self, zone: str, wanted: int, present: ZoneServers, now_s: float
    ) -> Target:
        maximum = self.scaling.maximum
        if not self.scaling.reclaimable_price:
            return Target(wanted, 0)
        scarce = now_s < self.history[zone].scarce_until_s
        reclaimable = 0 if scarce else wanted
        # What is missing is made up by lasting servers, which stay until the
        # reclaimable ones are there.
        lasting = max(0, wanted - present.reclaimable)
        if scarce:
            lasting = wanted
        lasting = min(lasting, maximum)
        reclaimable = min(reclaimable, maximum - min(lasting, maximum))
        if not reclaimable and not scarce and lasting > 1:
            lasting -= 1
            reclaimable = 1
        return Target(lasting, reclaimable)

    def _scarce(self, zone: str, until_s: float) -> None:
        history = self.history.setdefault(zone, ZoneHistory())
        history.scarce_until_s = max(history.scarce_until_s, until_s)
