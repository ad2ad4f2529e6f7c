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
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from turmericcroft.duties import demand
from turmericcroft.duties import order_history
from turmericcroft.duties import shared_vms
from turmericcroft.fleet import directory
from turmericcroft.routing import declaration

# Planned utilisation of a server. Prompts arrive in bursts, and a long prompt
# delays the tokens of all other requests on its server. Reclaimable servers are
# cheap enough to meet the latency targets; on-demand servers are ordered only
# to keep up with the demand.
LATENCY_UTILISATION = 0.3
KEEP_UP_UTILISATION = shared_vms.DEDICATED_VMS.keep_up_utilisation
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
# Time beyond the boot time after which ordered servers are no longer expected.
_BOOT_OVERDUE_S = 3.0

# Other modules name the demand by this one.
DemandTotals = demand.DemandTotals


@dataclasses.dataclass(frozen=True)
class ZoneServers:
    """Servers of a service in one zone that accept new requests.

    Attributes:
        on_demand: Number of servers that cannot be reclaimed.
        reclaimable: Number of servers that can be reclaimed.
        leaving: Number of other servers, of both kinds, that leave but still
            count towards the zone's maximum.
    """

    on_demand: int = 0
    reclaimable: int = 0
    leaving: int = 0

    @property
    def total(self) -> int:
        """Number of servers that count towards the zone's maximum."""
        return self.on_demand + self.reclaimable + self.leaving

    def standing(
        self, reclaimable: bool, maximum: int
    ) -> order_history.Standing:
        """Returns what matters to an order of one kind of servers."""
        present = self.reclaimable if reclaimable else self.on_demand
        return order_history.Standing(present, self.total - present, maximum)


def count_servers(
    usable: Iterable[directory.Server], leaving: Iterable[directory.Server]
) -> dict[str, ZoneServers]:
    """Counts a service's servers by zone."""
    usable, leaving = list(usable), list(leaving)
    on_demand = collections.Counter(
        server.availability_zone for server in usable if not server.reclaimable
    )
    reclaimable = collections.Counter(
        server.availability_zone for server in usable if server.reclaimable
    )
    ending = collections.Counter(server.availability_zone for server in leaving)
    return {
        zone: ZoneServers(on_demand[zone], reclaimable[zone], ending[zone])
        for zone in on_demand | reclaimable | ending
    }


class Planner:
    """Plans the servers of one service.

    Attributes:
        scaling: Declared bounds, boot time and prices.
        demand: Demand for the service.
        settings: Figures for planning; see `use_settings`.
        slowdown: Mean factor by which work takes longer on the servers.
    """

    def __init__(
        self,
        scaling: declaration.Scaling,
        settings: shared_vms.PlanningSettings = shared_vms.DEDICATED_VMS,
    ) -> None:
        self.scaling = scaling
        self.demand = demand.ServiceDemand()
        self.use_settings(settings)
        self._refused: tuple[float, float] | None = None
        self._on_demand_ordered: dict[str, tuple[int, float]] = {}
        self._shortage_until_s: dict[str, float] = {}
        self._may_order_at_s: dict[str, float] = {}
        self._ordered: dict[str, tuple[int, float]] = {}
        self._zones_by_price = sorted(
            scaling.zone_prices, key=lambda zone: scaling.zone_prices[zone]
        )

    def use_settings(self, settings: shared_vms.PlanningSettings) -> None:
        """Plans with other figures from now on."""
        self.settings = settings
        self.slowdown = shared_vms.MeanSlowdown(settings.assumed_slowdown)
        self._decreases = shared_vms.DecreaseFilter(settings.decrease_share)

    def record_refused(self, total_s: float, now_s: float) -> None:
        """Adds refused work to the demand.

        A peer's total may arrive at once, so what counts is bounded by the work
        that the declared maximum of servers could do since the last call.

        Args:
            total_s: Refused work so far over the fleet, in server seconds.
            now_s: Monotonic time.
        """
        known_s, known_at_s = self._refused or (total_s, now_s)
        self._refused = total_s, now_s
        most_s = (now_s - known_at_s) * self._maximum_in_all_zones()
        grown_s = min(total_s - known_s, most_s)
        if grown_s > 0.0:
            self.demand.add_refused(grown_s, now_s)

    def record_reclaim(self, zone: str, now_s: float) -> None:
        """Records that the reclaimable servers of a zone are reclaimed."""
        self._record_shortage(zone, now_s + RECLAIM_SHORTAGE_S)
        self._may_order_at_s[zone] = now_s + _REORDER_AFTER_RECLAIM_S

    def record_none_available(self, zone: str, now_s: float) -> None:
        """Records that an order of servers found none available."""
        self._record_shortage(zone, now_s + NONE_AVAILABLE_SHORTAGE_S)
        self._may_order_at_s[zone] = now_s + _REORDER_AFTER_NONE_AVAILABLE_S

    def record_order(
        self, zone: str, count: int, now_s: float, reclaimable: bool = True
    ) -> None:
        """Records an accepted order of servers of one kind."""
        until_s = now_s + self.scaling.boot_s + _BOOT_OVERDUE_S
        orders = self._ordered if reclaimable else self._on_demand_ordered
        orders[zone] = count, until_s

    def has_shortage(self, zone: str, now_s: float) -> bool:
        """Returns whether no new reclaimable servers are expected in a zone."""
        return now_s < self._shortage_until_s.get(zone, -math.inf)

    def may_order(self, zone: str, now_s: float) -> bool:
        """Returns whether reclaimable servers may be ordered in a zone now."""
        return now_s >= self._may_order_at_s.get(zone, -math.inf)

    def servers_for_latency(self, now_s: float) -> int:
        """Returns the number of servers that meets the latency targets."""
        busy = self.demand.peak_servers(now_s, self.settings.demand_history_s)
        busy *= self.slowdown.mean
        needed = max(1, math.ceil(busy / LATENCY_UTILISATION))
        if self.demand.has_full_window(now_s):
            return needed
        return max(
            INITIAL_FOR_LATENCY,
            self.scaling.maximum,
            needed,
            self._initial_servers(),
        )

    def servers_to_keep_up(self, now_s: float) -> int:
        """Returns the number of servers that keeps up with the demand."""
        busy = self.demand.mean_servers(now_s) * self.slowdown.mean
        needed = max(1, math.ceil(busy / self.settings.keep_up_utilisation))
        if self.demand.has_full_window(now_s):
            return needed
        if self.settings.shared:
            # One zone's maximum, as for the first order on other VMs. Demand
            # that was already seen counts at once.
            return max(INITIAL_TO_KEEP_UP, self.scaling.maximum, needed)
        share = _INITIAL_TO_KEEP_UP_SHARE * self.scaling.maximum
        return max(INITIAL_TO_KEEP_UP, math.ceil(share))

    def _initial_servers(self) -> int:
        share = self.settings.initial_share
        return math.ceil(share * self._maximum_in_all_zones())

    def _maximum_in_all_zones(self) -> int:
        return self.scaling.maximum * len(self._zones_by_price)

    def explain(self, standing: order_history.Standing, now_s: float) -> str:
        """Returns the reason of an order, for the log."""
        needed = (
            f"need {self.servers_to_keep_up(now_s)} "
            f"to {self.servers_for_latency(now_s)}"
        )
        if not self.settings.shared:
            return f"have {standing.present}, {needed}"
        zones = [z for z in self._zones_by_price if self.has_shortage(z, now_s)]
        return (
            f"have {standing.present} and {standing.others} others, {needed}, "
            f"slowdown {self.slowdown.mean:.2f}, short of {zones}"
        )

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
            left = [self.servers_for_latency(now_s)]
            if self.settings.shared:
                left.append(self.servers_to_keep_up(now_s))
            wanted = self._spread_reclaimable(left)
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
        if self.settings.shared and self._shortages(now_s):
            # Orders that were accepted shortly before a shortage often bring no
            # server.
            expected = running
        required = self.servers_to_keep_up(now_s)
        on_demand_running = sum(zone.on_demand for zone in present.values())
        replaced = required
        if not self.demand.has_full_window(now_s):
            share = self.settings.initial_held_share
            held = math.ceil(share * self._maximum_in_all_zones())
            replaced = max(required, held)
            if self.settings.shared and self.demand.has_begun():
                # All daemons may have restarted; what runs fits the demand.
                replaced = self._maximum_in_all_zones() + on_demand_running
        # On-demand servers stay until the servers that replace them run.
        on_demand = max(
            required - self._dependable(expected, now_s),
            min(replaced - self._dependable(running, now_s), on_demand_running),
        )
        if self.settings.shared:
            return self._place_by_room(
                max(0, on_demand), wanted, present, now_s
            )
        return self._place_on_demand(max(0, on_demand), wanted)

    def _dependable(self, reclaimable: Mapping[str, int], now_s: float) -> int:
        """Returns how many of the reclaimable servers the plan relies on.

        The cloud reclaims zones one after another within seconds, faster than
        a server boots, so after two of them the plan relies on none. On shared
        VMs there are enough reclaimable servers to lose two zones: while a
        zone is short the plan relies on all that run, and on-demand servers
        make up for a further zone only when it is lost.
        """
        shortages = self._shortages(now_s)
        if self.settings.shared and shortages:
            return sum(reclaimable.values())
        if shortages >= _WIDESPREAD_SHORTAGE_ZONES:
            return 0
        return _without_largest_zones(reclaimable, 1)

    def _shortages(self, now_s: float) -> int:
        return sum(
            self.has_shortage(zone, now_s) for zone in self._zones_by_price
        )

    def _expected(self, zone: str, wanted: int, now_s: float) -> int:
        if self.has_shortage(zone, now_s):
            return 0
        ordered, until_s = self._ordered.get(zone, (wanted, math.inf))
        return ordered if now_s < until_s else 0

    def _spread_reclaimable(self, left: Sequence[int]) -> dict[str, int]:
        """Spreads servers so that enough are left if zones are lost.

        Args:
            left: Servers left if any one zone is lost, any two, and so on.
        """
        wanted = dict.fromkeys(
            self._zones_by_price, max(1, self.scaling.minimum)
        )
        while any(
            _without_largest_zones(wanted, lost) < needed
            for lost, needed in enumerate(left, start=1)
        ):
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

    def _place_by_room(
        self,
        on_demand: int,
        wanted: Mapping[str, int],
        present: Mapping[str, ZoneServers],
        now_s: float,
    ) -> dict[str, ZoneServers]:
        """Places servers of both kinds by the room that the zones have."""
        on_demand = self._decreases.apply(
            "", on_demand, self.settings.on_demand_decrease_delay_s, now_s
        )
        zones: dict[str, shared_vms.ZoneRoom] = {}
        for name in self._zones_by_price:
            servers = _servers_in(present, name)
            ordered, until_s = self._on_demand_ordered.get(name, (0, -math.inf))
            zones[name] = shared_vms.ZoneRoom(
                max(servers.on_demand, ordered if now_s < until_s else 0),
                max(servers.reclaimable, self._expected(name, 0, now_s)),
                servers.leaving,
                self._decreases.apply(
                    name,
                    wanted[name],
                    self.settings.reclaimable_decrease_delay_s,
                    now_s,
                ),
                not self.has_shortage(name, now_s),
            )
        maximum = self.scaling.maximum
        placed = shared_vms.place_on_demand(on_demand, zones, maximum)
        if not self.scaling.reclaimable_price:
            minimum = self.scaling.minimum
            placed = {name: max(n, minimum) for name, n in placed.items()}
        return {
            name: ZoneServers(
                placed[name],
                shared_vms.reclaimable_target(zone, placed[name], maximum),
            )
            for name, zone in zones.items()
        }

    def _record_shortage(self, zone: str, until_s: float) -> None:
        previous_s = self._shortage_until_s.get(zone, -math.inf)
        self._shortage_until_s[zone] = max(previous_s, until_s)


def _without_largest_zones(reclaimable: Mapping[str, int], lost: int) -> int:
    """Returns the number of servers outside of the zones that have most."""
    return sum(sorted(reclaimable.values(), reverse=True)[lost:])


def _servers_in(present: Mapping[str, ZoneServers], zone: str) -> ZoneServers:
    return present.get(zone, ZoneServers())
