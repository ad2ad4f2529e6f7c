"""Figures and rules for planning servers on VMs that others share.

The capacity of such servers is uncertain: some are slowed by other tenants of
their VMs. Load pattern: the first requests of a day find no cached prefix, two
zones are reclaimed within seconds of each other, and none of the reclaimable
servers is available for fifteen seconds.
"""

import dataclasses
from collections.abc import Mapping

from turmericcroft.routing.work import statements

# Weight of the assumed mean slowdown, in statements of servers. With 15 of 100
# servers slowed 2.5 times, the mean of 200 statements is within 0.04 of the
# true mean of 1.2.
_ASSUMED_SLOWDOWN_WEIGHT = 200
# Statements that the mean is taken over; older ones count less and less.
_SLOWDOWN_WEIGHT_LIMIT = 2_000
# Plans are made each 0.5 s while a daemon holds the duties. After a pause of
# this length another daemon may have ordered, so no count is held.
_HELD_FOR_S = 10.0
# Statements are read this often; an older one was counted before.
_NEW_STATEMENT_AGE_S = 0.25
# A mean outside of these bounds is taken for a fault of the servers' reports.
_MIN_SLOWDOWN = 1.0
_MAX_SLOWDOWN = 2.5


@dataclasses.dataclass(frozen=True)
class PlanningSettings:
    """Figures for planning the servers of a service.

    The defaults are for servers with VMs of their own.

    Attributes:
        shared: Whether servers are planned for shared VMs: zones are filled by
            the room that they have, and decreases are delayed.
        demand_history_s: Time for which a peak of the demand sizes the
            reclaimable servers.
        keep_up_utilisation: Planned utilisation of the servers that are left
            if zones are lost, which on-demand servers make up to.
        assumed_slowdown: Mean factor by which work takes longer on the VMs,
            until it is learned.
        initial_share: Share of the sum of the zones' maxima that is left if one
            zone is lost, until demand was seen for a whole window.
        initial_held_share: Share of that sum below which running on-demand
            servers are not released until then.
        decrease_share: Smallest decrease of a count that is ordered, as a share
            of the count.
        reclaimable_decrease_delay_s: Time for which fewer reclaimable servers
            must have been enough before some are released.
        on_demand_decrease_delay_s: The same for on-demand servers.
    """

    shared: bool = False
    demand_history_s: float = 20.0
    keep_up_utilisation: float = 0.6
    assumed_slowdown: float = 1.0
    initial_share: float = 0.0
    initial_held_share: float = 0.0
    decrease_share: float = 0.0
    reclaimable_decrease_delay_s: float = 0.0
    on_demand_decrease_delay_s: float = 0.0


DEDICATED_VMS = PlanningSettings()
# At a utilisation of 0.6 a third of the answers were late. A peak is kept for a
# minute because a reclaimable server costs 0.15 of the price, and releasing it
# after 20 s left too few for the next peak. On-demand servers stay for 1 s, the
# time between failed orders, because each costs seven times as much.
SHARED_VMS = PlanningSettings(
    shared=True,
    demand_history_s=60.0,
    keep_up_utilisation=0.45,
    assumed_slowdown=1.2,
    initial_share=0.75,
    initial_held_share=0.5,
    decrease_share=0.1,
    reclaimable_decrease_delay_s=15.0,
    on_demand_decrease_delay_s=1.0,
)


class MeanSlowdown:
    """Mean factor by which work takes longer, over servers and time.

    Example:
        >>> slowdown = MeanSlowdown(1.2)
        >>> slowdown.record(2.5)
        >>> round(slowdown.mean, 3)
        1.206
    """

    def __init__(self, assumed: float) -> None:
        self.mean = assumed
        self._weight = _ASSUMED_SLOWDOWN_WEIGHT

    def record(self, stated: float) -> None:
        """Records the slowdown that a server stated; 0 if it stated none."""
        if stated <= 0.0:
            return
        self._weight = min(self._weight + 1, _SLOWDOWN_WEIGHT_LIMIT)
        bounded = min(max(stated, _MIN_SLOWDOWN), _MAX_SLOWDOWN)
        self.mean += (bounded - self.mean) / self._weight

    def record_statement(
        self, stated: statements.ServerStatement | None
    ) -> None:
        """Records a server's latest statement if it is new."""
        if stated is not None and stated.age_s < _NEW_STATEMENT_AGE_S:
            self.record(stated.slowdown)


class DecreaseFilter:
    """Delays decreases of planned counts, so that orders don't flap.

    An increase applies at once. A decrease by less than a share of the count
    waits, and any other applies after it was planned for some time.

    Example:
        >>> counts = DecreaseFilter(0.1)
        >>> counts.apply("a", 20, 3.0, now_s=0.0)
        20
        >>> [counts.apply("a", 17, 3.0, now_s=s) for s in (1.0, 2.0, 4.0)]
        [20, 20, 17]
        >>> [counts.apply("a", 16, 3.0, now_s=s) for s in (5.0, 9.0)]
        [17, 17]
        >>> counts.apply("a", 3, 3.0, now_s=30.0)
        3
    """

    def __init__(self, share: float) -> None:
        self.share = share
        # Count in force by name, since when a lower one is planned, and when
        # the last one was planned.
        self._held: dict[str, tuple[int, float, float]] = {}

    def apply(self, name: str, count: int, delay_s: float, now_s: float) -> int:
        """Returns the count to order for a planned count."""
        held, since_s, planned_at_s = self._held.get(name, (0, now_s, now_s))
        if count >= held or now_s - planned_at_s > _HELD_FOR_S:
            held, since_s = count, now_s
        elif held - count < self.share * held:
            since_s = now_s
        elif now_s - since_s >= delay_s:
            held, since_s = count, now_s
        self._held[name] = held, since_s, now_s
        return held


@dataclasses.dataclass(frozen=True)
class ZoneRoom:
    """What a zone holds and may hold.

    Attributes:
        on_demand: On-demand servers that run or boot.
        reclaimable: Reclaimable servers that run or boot.
        leaving: Servers of both kinds that leave but still count towards the
            maximum.
        wanted: Reclaimable servers that the zone is to have.
        can_get_reclaimable: Whether reclaimable servers are expected to be
            available.
    """

    on_demand: int
    reclaimable: int
    leaving: int
    wanted: int
    can_get_reclaimable: bool


def place_on_demand(
    count: int, zones: Mapping[str, ZoneRoom], maximum: int
) -> dict[str, int]:
    """Places on-demand servers in the zones that have room.

    Servers that run or boot stay where they are. Others go to the cheapest
    zones, first to room that no reclaimable server is expected to take.
    Servers that are not needed are released in the dearest zones.

    Args:
        count: Number of on-demand servers that are needed.
        zones: The zones, the cheapest first.
        maximum: Maximum number of servers in a zone, of both kinds together.

    Returns:
        On-demand servers by zone; fewer than needed if there is no room.
    """
    placed = {
        name: min(zone.on_demand, maximum) for name, zone in zones.items()
    }
    surplus = sum(placed.values()) - count
    for name in reversed(list(zones)):
        released = min(max(0, surplus), placed[name])
        placed[name] -= released
        surplus -= released
    for reserves_room in (True, False):
        for name, zone in zones.items():
            taken = zone.reclaimable
            if reserves_room and zone.can_get_reclaimable:
                taken = max(taken, zone.wanted)
            # Servers that are released stand until they have ended.
            taken += max(placed[name], zone.on_demand) + zone.leaving
            added = min(max(0, -surplus), max(0, maximum - taken))
            placed[name] += added
            surplus += added
    return placed


def reclaimable_target(zone: ZoneRoom, on_demand: int, maximum: int) -> int:
    """Returns how many reclaimable servers to order beside on-demand ones.

    Reclaimable servers that run are not released to make room.
    """
    standing = max(on_demand, zone.on_demand) + zone.leaving
    room = max(0, maximum - standing)
    return min(zone.wanted, max(room, zone.reclaimable))
