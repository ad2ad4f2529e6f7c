"""How many servers of each kind a service holds in each zone.

Load pattern: demand that rises and falls within tens of seconds, while the
cloud takes all reclaimable servers of a zone back at once. Reclaimable
servers cost a fraction, so they carry the load, with as many to spare as one
zone holds. Servers that cannot be reclaimed, called lasting here, stand in
for them in the cheapest zones while none are to be had.
"""

import collections
import dataclasses
import math
from collections.abc import Mapping

from turmericcroft.routing import declaration

# Part of a server's time that may be used: prompts come in clumps, and a long
# one delays the tokens of all others. Reclaimable servers are cheap enough to
# keep waits short; lasting ones are ordered only to keep up.
LATENCY_UTILISATION = 0.3
KEEP_UP_UTILISATION = 0.6
# Fewest servers before any demand was seen, at each utilisation. No server
# holds any prompt then, so the first requests of a day take several times the
# usual, which reclaimable servers make up for. The declared bound of a zone
# tells how large a service is meant to be: one zone can carry all of it.
INITIAL_FOR_LATENCY = 8
INITIAL_TO_KEEP_UP = 2
_INITIAL_TO_KEEP_UP_SHARE = 0.25
# After a reclaim, or an order that found none available, no reclaimable server
# is counted on in a zone for this time.
RECLAIM_SHORTAGE_S = 5.0
NONE_AVAILABLE_SHORTAGE_S = 3.0
# Orders are made again earlier than that: what is to be had for a second or two
# between shortages would be missed else.
_REORDER_AFTER_RECLAIM_S = 2.0
_REORDER_AFTER_NONE_AVAILABLE_S = 1.0
# Zones taken back lately, from which on no reclaimable server is counted on.
_WIDESPREAD_SHORTAGE_ZONES = 2
# Demand is measured over the shorter time, and its peak over the longer one
# counts for reclaimable servers. A lasting server comes too late for a burst,
# so the mean counts there.
DEMAND_WINDOW_S = 4.0
PEAK_WINDOW_S = 20.0
# The first demand counts over at least this time.
_MIN_DEMAND_WINDOW_S = 1.5
MEAN_WINDOW_S = 12.0
# Time beyond the boot time until a server that was ordered is given up.
_BOOT_OVERDUE_S = 3.0


@dataclasses.dataclass(frozen=True)
class ZoneServers:
    """Servers of a service in one zone that take new work.

    Attributes:
        on_demand: Servers that cannot be reclaimed.
        reclaimable: Servers that can.
    """

    on_demand: int = 0
    reclaimable: int = 0


@dataclasses.dataclass(frozen=True)
class DemandTotals:
    """Server time that requests increment for, in seconds.

    Attributes:
        usual_s: With the shared heads of all prompts at hand.
        actual_s: With those heads read that no server held.
    """

    usual_s: float = 0.0
    actual_s: float = 0.0

    def plus(self, usual_s: float, actual_s: float) -> "DemandTotals":
        """Adds the time of a request."""
        return DemandTotals(self.usual_s + usual_s, self.actual_s + actual_s)


class ServiceDemand:
    """Work that clients ask of one service, over all daemons."""

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
        """Takes in a daemon's running total."""
        previous = self._totals.get(daemon, DemandTotals())
        if total.actual_s <= previous.actual_s:
            return
        self._totals[daemon] = total
        if self._first_demand_s is None:
            self._first_demand_s = now_s
        increment = total.plus(-previous.usual_s, -previous.actual_s)
        self._increments.append((now_s, increment))

    def has_full_window(self, now_s: float) -> bool:
        """Whether demand has been seen for long enough."""
        first_s = self._first_demand_s
        return first_s is not None and now_s - first_s >= DEMAND_WINDOW_S

    def peak_servers(self, now_s: float) -> float:
        """Most servers that the recent demand usually keeps busy."""
        window_s = DEMAND_WINDOW_S
        if self._first_demand_s is not None:
            window_s = min(window_s, now_s - self._first_demand_s)
        window_s = max(window_s, _MIN_DEMAND_WINDOW_S)
        increments = self._recent(window_s, now_s)
        busy = sum(increment.usual_s for increment in increments) / window_s
        while self._peaks and self._peaks[0][0] < now_s - PEAK_WINDOW_S:
            self._peaks.popleft()
        while self._peaks and self._peaks[-1][1] <= busy:
            self._peaks.pop()
        self._peaks.append((now_s, busy))
        return self._peaks[0][1]

    def mean_servers(self, now_s: float) -> float:
        """Servers that the recent demand did keep busy on average."""
        assert self._first_demand_s is not None
        window_s = min(MEAN_WINDOW_S, now_s - self._first_demand_s)
        window_s = max(DEMAND_WINDOW_S, window_s)
        increments = self._recent(window_s, now_s)
        return sum(increment.actual_s for increment in increments) / window_s

    def _recent(self, window_s: float, now_s: float) -> list[DemandTotals]:
        while (
            self._increments and self._increments[0][0] < now_s - PEAK_WINDOW_S
        ):
            self._increments.popleft()
        return [
            increment
            for at, increment in self._increments
            if at >= now_s - window_s
        ]


class Planner:
    """Plans one service.

    Attributes:
        scaling: Bounds and prices.
        demand: Work that is increment for.
    """

    def __init__(self, scaling: declaration.Scaling) -> None:
        self.scaling = scaling
        self.demand = ServiceDemand()
        self._shortage_until_s: dict[str, float] = {}
        self._may_order_at_s: dict[str, float] = {}
        self._ordered: dict[str, tuple[int, float]] = {}
        self._zones_by_price = sorted(
            scaling.zone_prices, key=lambda zone: scaling.zone_prices[zone]
        )

    def record_reclaim(self, zone: str, now_s: float) -> None:
        """Takes in that reclaimable servers of a zone are taken back."""
        self._record_shortage(zone, now_s + RECLAIM_SHORTAGE_S)
        self._may_order_at_s[zone] = now_s + _REORDER_AFTER_RECLAIM_S

    def record_none_available(self, zone: str, now_s: float) -> None:
        """Takes in that an order of reclaimable servers found none."""
        self._record_shortage(zone, now_s + NONE_AVAILABLE_SHORTAGE_S)
        self._may_order_at_s[zone] = now_s + _REORDER_AFTER_NONE_AVAILABLE_S

    def record_order(self, zone: str, reclaimable: int, now_s: float) -> None:
        """Takes in that an order of reclaimable servers was taken."""
        until_s = now_s + self.scaling.boot_s + _BOOT_OVERDUE_S
        self._ordered[zone] = reclaimable, until_s

    def has_shortage(self, zone: str, now_s: float) -> bool:
        """Tells whether no reclaimable server is expected in a zone."""
        return now_s < self._shortage_until_s.get(zone, -math.inf)

    def may_order(self, zone: str, now_s: float) -> bool:
        """Tells whether reclaimable servers may be ordered in a zone now."""
        return now_s >= self._may_order_at_s.get(zone, -math.inf)

    def servers_for_latency(self, now_s: float) -> int:
        """Servers that keep waits short."""
        busy = self.demand.peak_servers(now_s)
        needed = max(1, math.ceil(busy / LATENCY_UTILISATION))
        if self.demand.has_full_window(now_s):
            return needed
        return max(INITIAL_FOR_LATENCY, self.scaling.maximum, needed)

    def servers_to_keep_up(self, now_s: float) -> int:
        """Servers that keep up with the demand."""
        if not self.demand.has_full_window(now_s):
            share = _INITIAL_TO_KEEP_UP_SHARE * self.scaling.maximum
            return max(INITIAL_TO_KEEP_UP, math.ceil(share))
        busy = self.demand.mean_servers(now_s)
        return max(1, math.ceil(busy / KEEP_UP_UTILISATION))

    def plan(
        self, present: Mapping[str, ZoneServers], now_s: float
    ) -> dict[str, ZoneServers]:
        """Decides what to order in each zone.

        Args:
            present: Servers that take new work, by zone.
            now_s: Monotonic time.
        """
        wanted = dict.fromkeys(self._zones_by_price, 0)
        if self.scaling.reclaimable_price:
            wanted = self._spread_reclaimable(self.servers_for_latency(now_s))
        running = {
            zone: _zone(present, zone).reclaimable
            for zone in self._zones_by_price
        }
        if not self.demand.has_full_window(now_s):
            # What is there after a restart of all daemons was planned by
            # demand, and takes a boot time to get back.
            wanted = {zone: max(wanted[zone], running[zone]) for zone in wanted}
        expected = {
            zone: max(running[zone], self._expected(zone, wanted[zone], now_s))
            for zone in self._zones_by_price
        }
        required = self.servers_to_keep_up(now_s)
        on_demand_running = sum(zone.on_demand for zone in present.values())
        # Lasting servers stay until those that replace them are there.
        on_demand = max(
            required - self._dependable(expected, now_s),
            min(required - self._dependable(running, now_s), on_demand_running),
        )
        return self._place_on_demand(max(0, on_demand), wanted)

    def _dependable(self, reclaimable: Mapping[str, int], now_s: float) -> int:
        """Reclaimable servers that are counted on.

        Zones are taken back one after the other within seconds, less than a
        server takes to boot, so none is counted on after two of them.
        """
        shortages = sum(
            self.has_shortage(zone, now_s) for zone in self._zones_by_price
        )
        if shortages >= _WIDESPREAD_SHORTAGE_ZONES:
            return 0
        return _without_largest_zone(reclaimable)

    def _expected(self, zone: str, wanted: int, now_s: float) -> int:
        if self.has_shortage(zone, now_s):
            return 0
        ordered, until_s = self._ordered.get(zone, (wanted, math.inf))
        return ordered if now_s < until_s else 0

    def _spread_reclaimable(self, needed: int) -> dict[str, int]:
        """Spreads servers so that enough are left without any one zone."""
        wanted = dict.fromkeys(
            self._zones_by_price, max(1, self.scaling.minimum)
        )
        while _without_largest_zone(wanted) < needed:
            room = [
                zone
                for zone in self._zones_by_price
                if wanted[zone] < self.scaling.maximum
            ]
            if not room:
                break
            wanted[min(room, key=lambda zone: wanted[zone])] += 1
        return wanted

    def _place_on_demand(
        self, on_demand: int, wanted: Mapping[str, int]
    ) -> dict[str, ZoneServers]:
        """Puts lasting servers where they are cheapest."""
        plan: dict[str, ZoneServers] = {}
        for zone in self._zones_by_price:
            count = min(on_demand, self.scaling.maximum)
            if not self.scaling.reclaimable_price:
                count = max(count, self.scaling.minimum)
            on_demand -= min(on_demand, count)
            room = self.scaling.maximum - count
            plan[zone] = ZoneServers(count, min(wanted[zone], room))
        return plan

    def _record_shortage(self, zone: str, until_s: float) -> None:
        previous_s = self._shortage_until_s.get(zone, -math.inf)
        self._shortage_until_s[zone] = max(previous_s, until_s)


def _without_largest_zone(reclaimable: Mapping[str, int]) -> int:
    """Servers that are left when the zone that holds most is taken back."""
    return sum(reclaimable.values()) - max(reclaimable.values(), default=0)


def _zone(present: Mapping[str, ZoneServers], zone: str) -> ZoneServers:
    return present.get(zone, ZoneServers())
