"""Admission probabilities by fair shares of a service's capacity.

Load: one account at 7 times its usual rate, or all accounts together at 1.24 to
3 times the capacity. Each daemon computes the probabilities from the same sums,
so the fleet admits what fits without any coordination.

Capacity is divided by weighted max-min fairness among accounts: none gets more
than it offers, and what it leaves is shared by the others by weight. The weight
of an account is its usual load, of which less urgent requests count less, so an
account that sends many times as much loses what it sends beyond its share.
Within an account, urgent requests come first. No flow falls below a part of the
mean, so that none starves.
"""

import dataclasses
from collections.abc import Mapping

from turmericcroft.scheduling import offered

# Least probability of an account, and of an urgency within an account, relative
# to that of all requests or of the account. The bound is a quarter.
_MIN_RELATIVE = 0.35
_MIN_WEIGHT = 1e-6
# Weight of a unit of usual load, relative to that of the next more urgent
# requests, so that urgent accounts come first if each has one urgency.
_URGENCY_WEIGHT = 0.4
_MAX_PRIORITY = 3
# An account whose load, relative to its usual one, is more than this many times
# that of the others caused the shortage, so its weight counts less.
_FLOOD_RATIO = 2.0
_FLOOD_WEIGHT = 0.25


@dataclasses.dataclass(frozen=True)
class Shares:
    """Probabilities with which requests are admitted.

    Attributes:
        capacity: Server seconds per second that may be admitted.
        demand: Server seconds per second that are offered.
        probabilities: Admission probability by flow.
    """

    capacity: float
    demand: float
    probabilities: Mapping[offered.Flow, float]

    @property
    def mean(self) -> float:
        """Admission probability over all flows; 1 without overload."""
        if self.demand <= self.capacity:
            return 1.0
        return self.capacity / self.demand

    def probability(self, flow: offered.Flow) -> float:
        """Admission probability of a flow; an unknown one gets the mean."""
        return self.probabilities.get(flow, self.mean)


def divide(
    capacity: float,
    rates: Mapping[offered.Flow, float],
    usual: Mapping[offered.Flow, float],
) -> Shares:
    """Divides the capacity among accounts and urgencies.

    Args:
        capacity: Server seconds per second that may be admitted.
        rates: Server seconds per second that are offered, by flow.
        usual: Usual server seconds per second, by flow.

    Example:
        >>> rates = {
        ...     offered.Flow(0, "north"): 7.0,
        ...     offered.Flow(0, "east"): 1.0,
        ...     offered.Flow(1, "east"): 1.0,
        ... }
        >>> usual = dict.fromkeys(rates, 1.0)
        >>> found = divide(4.0, rates, usual).probabilities
        >>> [round(found[flow], 2) for flow in rates]
        [0.29, 1.0, 1.0]
    """
    total = sum(rates.values())
    capacity = max(0.0, capacity)
    if total <= capacity:
        return Shares(capacity, total, dict.fromkeys(rates, 1.0))
    by_account: dict[str, dict[offered.Flow, float]] = {}
    for flow, rate in rates.items():
        by_account.setdefault(flow.account, {})[flow] = rate
    wanted = {name: sum(flows.values()) for name, flows in by_account.items()}
    least = _MIN_RELATIVE * capacity / total
    floors = {name: least * rate for name, rate in wanted.items()}
    weights = _account_weights(by_account, usual)
    granted = _max_min(capacity, wanted, floors, weights)
    probabilities: dict[offered.Flow, float] = {}
    for name, flows in by_account.items():
        probabilities |= _urgent_first(flows, granted[name])
    return Shares(capacity, total, probabilities)


def _account_weights(
    by_account: Mapping[str, Mapping[offered.Flow, float]],
    usual: Mapping[offered.Flow, float],
) -> dict[str, float]:
    """Returns the weight of each account that offers work.

    An account that was not there before counts as one of mean size, with its
    own urgency.
    """
    loads: dict[str, float] = {}
    weights: dict[str, float] = {}
    for flow, rate in usual.items():
        name = flow.account
        loads[name] = loads.get(name, 0.0) + rate
        weights[name] = weights.get(name, 0.0) + rate * _urgency(flow)
    usual_total = sum(loads.values())
    mean = usual_total / len(loads) if loads else 1.0
    wanted = {name: sum(flows.values()) for name, flows in by_account.items()}
    total = sum(wanted.values())
    found = {}
    for name, rate in wanted.items():
        urgent = sum(r * _urgency(f) for f, r in by_account[name].items())
        weight = weights.get(name, mean * urgent / rate)
        if name in loads:
            others = total - rate
            usual_others = usual_total - loads[name]
            growth = max(1.0, others / max(usual_others, _MIN_WEIGHT))
            if rate > _FLOOD_RATIO * growth * loads[name]:
                weight *= _FLOOD_WEIGHT
        found[name] = max(weight, _MIN_WEIGHT)
    return found


def _urgency(flow: offered.Flow) -> float:
    return _URGENCY_WEIGHT ** min(flow.priority, _MAX_PRIORITY)


def _max_min(
    capacity: float,
    wanted: Mapping[str, float],
    floors: Mapping[str, float],
    weights: Mapping[str, float],
) -> dict[str, float]:
    """Grants min(wanted, level x weight), at least the floor, to each.

    The level is found by bisection, because the floors bend the sum.
    """

    def grant(level: float) -> dict[str, float]:
        return {
            name: min(rate, max(floors[name], level * weights[name]))
            for name, rate in wanted.items()
        }

    low, high = 0.0, 1.0
    while sum(grant(high).values()) < capacity * (1 - 1e-9) and high < 1e12:
        high *= 2.0
    for _ in range(50):
        level = (low + high) / 2.0
        if sum(grant(level).values()) > capacity:
            high = level
        else:
            low = level
    return grant(low)


def _urgent_first(
    flows: Mapping[offered.Flow, float], granted: float
) -> dict[offered.Flow, float]:
    """Grants urgent flows of an account first, but a part to all."""
    total = sum(flows.values())
    least = _MIN_RELATIVE * min(1.0, granted / total)
    left = granted - least * total
    probabilities = {}
    for flow in sorted(flows):
        more = min(left, (1.0 - least) * flows[flow])
        left -= more
        probabilities[flow] = min(1.0, least + more / flows[flow])
    return probabilities
