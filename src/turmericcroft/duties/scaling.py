"""Plans how many servers of each kind a service has in each zone.

Demand rises and falls within tens of seconds, and the cloud reclaims all
reclaimable servers of a zone at once. Reclaimable servers cost a fraction of
the price, so they carry the load, with enough spare ones to lose any one zone.
On-demand servers, which cannot be reclaimed, replace them in the cheapest
zones while no reclaimable servers are available.
"""

import collections
import dataclasses
import math
from collections.abc import Mapping

from turmericcroft.routing import declaration

# Planned utilisation of a server. Prompts arrive in bursts, and a long prompt
# delays the tokens of all other requests on its server. Reclaimable servers are
# cheap enough to meet the latency targets; on-demand servers are ordered only
# to keep up with the demand.
LATENCY_UTILISATION = 0.3
KEEP_UP_UTILISATION = 0.6
# Minimum number of servers for each of the two purposes until demand was seen
# for a whole demand window. No server has cached prefixes then, so the first
# requests of a day take several times the usual server time, which extra
# reclaimable servers make up for. A zone's declared maximum shows the intended
# size of the service: one zone at its maximum can carry all of the load.
INITIAL_FOR_LATENCY = 8
INITIAL_TO_KEEP_UP = 2
_INITIAL_TO_KEEP_UP_SHARE = 0.25
# After a reclaim, or an order that found no servers available, the plan expects
# no new reclaimable servers in the zone for this time.
RECLAIM_SHORTAGE_S = 5.0
NONE_AVAILABLE_SHORTAGE_S = 3.0
# Orders resume before a shortage ends. Servers may become available between
# shortages for only a second or two, and later orders would miss them.
_REORDER_AFTER_RECLAIM_S = 2.0
_REORDER_AFTER_NONE_AVAILABLE_S = 1.0
# With shortages in this many zones, the plan relies on no reclaimable server.
_WIDESPREAD_SHORTAGE_ZONES = 2
# Demand is averaged over DEMAND_WINDOW_S, and the peak of that average within
# DEMAND_HISTORY_S sizes the reclaimable servers. On-demand servers start too
# late for a burst, so the mean within MEAN_WINDOW_S sizes them.
DEMAND_WINDOW_S = 4.0
DEMAND_HISTORY_S = 20.0
# Shortest window over which the first demand is averaged.
_MIN_DEMAND_WINDOW_S = 1.5
MEAN_WINDOW_S = 12.0
# Time beyond the boot time after which ordered servers are no longer expected.
_BOOT_OVERDUE_S = 3.0


@dataclasses.dataclass(frozen=True)
class ZoneServers:
    """Servers of a service in one zone that accept new requests.

    Attributes:
        on_demand: Number of servers that cannot be reclaimed.
        reclaimable: Number of servers that can be reclaimed.
    """

    on_demand: int = 0
    reclaimable: int = 0


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

    def has_full_window(self, now_s: float) -> bool:
        """Returns whether demand was seen for a whole demand window."""
        first_s = self._first_demand_s
        return first_s is not None and now_s - first_s >= DEMAND_WINDOW_S

    def peak_servers(self, now_s: float) -> float:
        """Returns the peak number of busy servers, with cached prefixes."""
        window_s = DEMAND_WINDOW_S
        if self._first_demand_s is not None:
            window_s = min(window_s, now_s - self._first_demand_s)
        window_s = max(window_s, _MIN_DEMAND_WINDOW_S)
        increments = self._recent(window_s, now_s)
        busy = sum(increment.usual_s for increment in increments) / window_s
        while self._peaks and self._peaks[0][0] < now_s - DEMAND_HISTORY_S:
            self._peaks.popleft()
        while self._peaks and self._peaks[-1][1] <= busy:
            self._peaks.pop()
        self._peaks.append((now_s, busy))
        return self._peaks[0][1]

    def mean_servers(self, now_s: float) -> float:
        """Returns the mean number of busy servers, with actual prefills."""
        assert self._first_demand_s is not None
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


class Planner:
    """Plans the servers of one service.

    Attributes:
        scaling: Declared bounds, boot time and prices.
        demand: Demand for the service.
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
        """Records that the reclaimable servers of a zone are reclaimed."""
        self._record_shortage(zone, now_s + RECLAIM_SHORTAGE_S)
        self._may_order_at_s[zone] = now_s + _REORDER_AFTER_RECLAIM_S

    def record_none_available(self, zone: str, now_s: float) -> None:
        """Records that an order of servers found none available."""
        self._record_shortage(zone, now_s + NONE_AVAILABLE_SHORTAGE_S)
        self._may_order_at_s[zone] = now_s + _REORDER_AFTER_NONE_AVAILABLE_S

    def record_order(self, zone: str, reclaimable: int, now_s: float) -> None:
        """Records an accepted order of reclaimable servers."""
        until_s = now_s + self.scaling.boot_s + _BOOT_OVERDUE_S
        self._ordered[zone] = reclaimable, until_s

    def has_shortage(self, zone: str, now_s: float) -> bool:
        """Returns whether no new reclaimable servers are expected in a zone."""
        return now_s < self._shortage_until_s.get(zone, -math.inf)

    def may_order(self, zone: str, now_s: float) -> bool:
        """Returns whether reclaimable servers may be ordered in a zone now."""
        return now_s >= self._may_order_at_s.get(zone, -math.inf)

    def servers_for_latency(self, now_s: float) -> int:
        """Returns the number of servers that meets the latency targets."""
        busy = self.demand.peak_servers(now_s)
        needed = max(1, math.ceil(busy / LATENCY_UTILISATION))
        if self.demand.has_full_window(now_s):
            return needed
        return max(INITIAL_FOR_LATENCY, self.scaling.maximum, needed)

    def servers_to_keep_up(self, now_s: float) -> int:
        """Returns the number of servers that keeps up with the demand."""
        if not self.demand.has_full_window(now_s):
            share = _INITIAL_TO_KEEP_UP_SHARE * self.scaling.maximum
            return max(INITIAL_TO_KEEP_UP, math.ceil(share))
        busy = self.demand.mean_servers(now_s)
        return max(1, math.ceil(busy / KEEP_UP_UTILISATION))

    def plan(
        self, present: Mapping[str, ZoneServers], now_s: float
    ) -> dict[str, ZoneServers]:
        """Returns how many servers of each kind each zone should have.

        Args:
            present: Servers that accept new requests, by zone.
            now_s: Monotonic time.
        """
        wanted = dict.fromkeys(self._zones_by_price, 0)
        if self.scaling.reclaimable_price:
            wanted = self._spread_reclaimable(self.servers_for_latency(now_s))
        running = {
            zone: _servers_in(present, zone).reclaimable
            for zone in self._zones_by_price
        }
        if not self.demand.has_full_window(now_s):
            # After a restart of all daemons, the running servers match the
            # demand before it, which is unknown now. Servers that are released
            # would take a boot time to replace.
            wanted = {zone: max(wanted[zone], running[zone]) for zone in wanted}
        expected = {
            zone: max(running[zone], self._expected(zone, wanted[zone], now_s))
            for zone in self._zones_by_price
        }
        required = self.servers_to_keep_up(now_s)
        on_demand_running = sum(zone.on_demand for zone in present.values())
        # On-demand servers stay until the servers that replace them run.
        on_demand = max(
            required - self._dependable(expected, now_s),
            min(required - self._dependable(running, now_s), on_demand_running),
        )
        return self._place_on_demand(max(0, on_demand), wanted)

    def _dependable(self, reclaimable: Mapping[str, int], now_s: float) -> int:
        """Returns how many of the reclaimable servers the plan relies on.

        The cloud reclaims zones one after another within seconds, faster than
        a server boots, so after two of them the plan relies on none.
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
        """Spreads servers so that enough are left if any one zone is lost."""
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
        """Places on-demand servers in the cheapest zones."""
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
    """Returns the number of servers outside of the zone that has most."""
    return sum(reclaimable.values()) - max(reclaimable.values(), default=0)


def _servers_in(present: Mapping[str, ZoneServers], zone: str) -> ZoneServers:
    return present.get(zone, ZoneServers())
