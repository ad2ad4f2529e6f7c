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
COMFORTABLE_UTILISATION = 0.3
TIGHT_UTILISATION = 0.6
# Fewest servers before any demand was seen, at each utilisation. No server
# holds any prompt then, so the first requests of a day take several times the
# usual, which reclaimable servers make up for. The declared bound of a zone
# tells how large a service is meant to be: one zone can carry all of it.
INITIAL_COMFORTABLE = 8
INITIAL_TIGHT = 2
_INITIAL_TIGHT_SHARE = 0.25
# After a reclaim, or an order that found none available, no reclaimable server
# is counted on in a zone for this time.
RECLAIM_PAUSE_S = 5.0
NONE_AVAILABLE_PAUSE_S = 3.0
# Orders are made again earlier than that: what is to be had for a second or two
# between shortages would be missed else.
_ASK_AFTER_RECLAIM_S = 2.0
_ASK_AGAIN_S = 1.0
# Zones taken back lately, from which on no reclaimable server is counted on.
_SCARCE_ZONES = 2
# Demand is measured over the shorter time, and its peak over the longer one
# counts for reclaimable servers. A lasting server comes too late for a burst,
# so the mean counts there.
DEMAND_WINDOW_S = 4.0
MEMORY_S = 20.0
# The first demand counts over at least this time.
_FIRST_WINDOW_S = 1.5
MEAN_WINDOW_S = 12.0
# Time beyond the boot time until a server that was ordered is given up.
_LATE_BOOT_S = 3.0


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
class Asked:
    """Server time that requests asked for, in seconds.

    Attributes:
        usual_s: With the shared heads of all prompts at hand.
        actual_s: With those heads read that no server held.
    """

    usual_s: float = 0.0
    actual_s: float = 0.0

    def plus(self, usual_s: float, actual_s: float) -> "Asked":
        """Adds the time of a request."""
        return Asked(self.usual_s + usual_s, self.actual_s + actual_s)


class Demand:
    """Work that clients ask of one service, over all daemons."""

    def __init__(self) -> None:
        self._totals: dict[str, Asked] = {}
        self._work: collections.deque[tuple[float, Asked]] = collections.deque()
        self._peaks: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._since_s: float | None = None

    def hear(self, daemon: str, total: Asked, now_s: float) -> None:
        """Takes in a daemon's running total."""
        known = self._totals.get(daemon, Asked())
        if total.actual_s <= known.actual_s:
            return
        self._totals[daemon] = total
        if self._since_s is None:
            self._since_s = now_s
        more = total.plus(-known.usual_s, -known.actual_s)
        self._work.append((now_s, more))

    def is_known(self, now_s: float) -> bool:
        """Whether demand has been seen for long enough."""
        since_s = self._since_s
        return since_s is not None and now_s - since_s >= DEMAND_WINDOW_S

    def peak(self, now_s: float) -> float:
        """Most servers that the recent demand usually keeps busy."""
        window_s = DEMAND_WINDOW_S
        if self._since_s is not None:
            window_s = min(window_s, now_s - self._since_s)
        window_s = max(window_s, _FIRST_WINDOW_S)
        work = self._recent(window_s, now_s)
        busy = sum(asked.usual_s for asked in work) / window_s
        while self._peaks and self._peaks[0][0] < now_s - MEMORY_S:
            self._peaks.popleft()
        while self._peaks and self._peaks[-1][1] <= busy:
            self._peaks.pop()
        self._peaks.append((now_s, busy))
        return self._peaks[0][1]

    def mean(self, now_s: float) -> float:
        """Servers that the recent demand did keep busy on average."""
        assert self._since_s is not None
        window_s = min(MEAN_WINDOW_S, now_s - self._since_s)
        window_s = max(DEMAND_WINDOW_S, window_s)
        work = self._recent(window_s, now_s)
        return sum(asked.actual_s for asked in work) / window_s

    def _recent(self, window_s: float, now_s: float) -> list[Asked]:
        while self._work and self._work[0][0] < now_s - MEMORY_S:
            self._work.popleft()
        return [asked for at, asked in self._work if at >= now_s - window_s]


class Planner:
    """Plans one service.

    Attributes:
        scaling: Bounds and prices.
        demand: Work that is asked for.
    """

    def __init__(self, scaling: declaration.Scaling) -> None:
        self.scaling = scaling
        self.demand = Demand()
        self._scarce_until_s: dict[str, float] = {}
        self._ask_at_s: dict[str, float] = {}
        self._ordered: dict[str, tuple[int, float]] = {}
        self._cheapest = sorted(
            scaling.zone_prices, key=lambda zone: scaling.zone_prices[zone]
        )

    def note_reclaim(self, zone: str, now_s: float) -> None:
        """Takes in that reclaimable servers of a zone are taken back."""
        self._scarce(zone, now_s + RECLAIM_PAUSE_S)
        self._ask_at_s[zone] = now_s + _ASK_AFTER_RECLAIM_S

    def note_none_available(self, zone: str, now_s: float) -> None:
        """Takes in that an order of reclaimable servers found none."""
        self._scarce(zone, now_s + NONE_AVAILABLE_PAUSE_S)
        self._ask_at_s[zone] = now_s + _ASK_AGAIN_S

    def note_ordered(self, zone: str, reclaimable: int, now_s: float) -> None:
        """Takes in that an order of reclaimable servers was taken."""
        until_s = now_s + self.scaling.boot_s + _LATE_BOOT_S
        self._ordered[zone] = reclaimable, until_s

    def is_scarce(self, zone: str, now_s: float) -> bool:
        """Tells whether no reclaimable server is expected in a zone."""
        return now_s < self._scarce_until_s.get(zone, -math.inf)

    def may_ask(self, zone: str, now_s: float) -> bool:
        """Tells whether reclaimable servers may be ordered in a zone now."""
        return now_s >= self._ask_at_s.get(zone, -math.inf)

    def comfortable(self, now_s: float) -> int:
        """Servers that keep waits short."""
        busy = self.demand.peak(now_s)
        needed = max(1, math.ceil(busy / COMFORTABLE_UTILISATION))
        if self.demand.is_known(now_s):
            return needed
        return max(INITIAL_COMFORTABLE, self.scaling.maximum, needed)

    def least(self, now_s: float) -> int:
        """Servers that keep up with the demand."""
        if not self.demand.is_known(now_s):
            share = _INITIAL_TIGHT_SHARE * self.scaling.maximum
            return max(INITIAL_TIGHT, math.ceil(share))
        busy = self.demand.mean(now_s)
        return max(1, math.ceil(busy / TIGHT_UTILISATION))

    def plan(
        self, present: Mapping[str, ZoneServers], now_s: float
    ) -> dict[str, ZoneServers]:
        """Decides what to order in each zone.

        Args:
            present: Servers that take new work, by zone.
            now_s: Monotonic time.
        """
        wanted = dict.fromkeys(self._cheapest, 0)
        if self.scaling.reclaimable_price:
            wanted = self._spread_reclaimable(self.comfortable(now_s))
        there = {
            zone: _zone(present, zone).reclaimable for zone in self._cheapest
        }
        if not self.demand.is_known(now_s):
            # What is there after a restart of all daemons was planned by
            # demand, and takes a boot time to get back.
            wanted = {zone: max(wanted[zone], there[zone]) for zone in wanted}
        coming = {
            zone: max(there[zone], self._coming(zone, wanted[zone], now_s))
            for zone in self._cheapest
        }
        least = self.least(now_s)
        lasting_there = sum(zone.lasting for zone in present.values())
        # Lasting servers stay until those that replace them are there.
        lasting = max(
            least - self._sure(coming, now_s),
            min(least - self._sure(there, now_s), lasting_there),
        )
        return self._place_lasting(max(0, lasting), wanted)

    def _sure(self, reclaimable: Mapping[str, int], now_s: float) -> int:
        """Reclaimable servers that are counted on.

        Zones are taken back one after the other within seconds, less than a
        server takes to boot, so none is counted on after two of them.
        """
        scarce = sum(self.is_scarce(zone, now_s) for zone in self._cheapest)
        if scarce >= _SCARCE_ZONES:
            return 0
        return _safe(reclaimable)

    def _coming(self, zone: str, wanted: int, now_s: float) -> int:
        if self.is_scarce(zone, now_s):
            return 0
        ordered, until_s = self._ordered.get(zone, (wanted, math.inf))
        return ordered if now_s < until_s else 0

    def _spread_reclaimable(self, needed: int) -> dict[str, int]:
        """Spreads servers so that enough are left without any one zone."""
        wanted = dict.fromkeys(self._cheapest, max(1, self.scaling.minimum))
        while _safe(wanted) < needed:
            room = [
                zone
                for zone in self._cheapest
                if wanted[zone] < self.scaling.maximum
            ]
            if not room:
                break
            wanted[min(room, key=lambda zone: wanted[zone])] += 1
        return wanted

    def _place_lasting(
        self, lasting: int, wanted: Mapping[str, int]
    ) -> dict[str, ZoneServers]:
        """Puts lasting servers where they are cheapest."""
        plan: dict[str, ZoneServers] = {}
        for zone in self._cheapest:
            count = min(lasting, self.scaling.maximum)
            if not self.scaling.reclaimable_price:
                count = max(count, self.scaling.minimum)
            lasting -= min(lasting, count)
            room = self.scaling.maximum - count
            plan[zone] = ZoneServers(count, min(wanted[zone], room))
        return plan

    def _scarce(self, zone: str, until_s: float) -> None:
        known_s = self._scarce_until_s.get(zone, -math.inf)
        self._scarce_until_s[zone] = max(known_s, until_s)


def _safe(reclaimable: Mapping[str, int]) -> int:
    """Servers that are left when the zone that holds most is taken back."""
    return sum(reclaimable.values()) - max(reclaimable.values(), default=0)


def _zone(present: Mapping[str, ZoneServers], zone: str) -> ZoneServers:
    return present.get(zone, ZoneServers())
