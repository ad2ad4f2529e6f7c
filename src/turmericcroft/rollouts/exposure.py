"""Keeps what a version under trial gets within the stated exposure.

Load pattern: a service with 20 to 200 requests/s, whose counts reach the
decider 0.4 s late in small fleets and 1.2 s late in large ones, while its
decisions reach the daemons as late. The requests on their way in between are
counted as sent.
"""

import dataclasses
from collections.abc import Mapping

# Fleets up to this size exchange digests directly, larger ones through relays.
_MAX_DIRECT_DAEMONS = 16
# Part of the tolerance that a trial may use at its start. The rest is for what
# the daemons' credits and changes of the rate add by chance.
_TRIAL_TOLERANCE_PART = 0.8
_RAMP_TOLERANCE_PART = 0.8
# Part of the forecast of further requests that the ramp relies on.
_FORECAST_PART = 0.8
# Time in which a trial may use up what is left of its budget. Evidence decides
# when all requests can move, so it is wanted early.
_TRIAL_SPREAD_S = 1.0
# Rate that is assumed at least: a service without traffic may get some.
_MIN_RATE_PER_S = 10.0


@dataclasses.dataclass(frozen=True)
class Delays:
    """How late counts and decisions are.

    Attributes:
        counts_s: Age of the fleet's counts at the decider.
        decision_s: Time until a decision is in use at every daemon.
    """

    counts_s: float
    decision_s: float

    @property
    def total_s(self) -> float:
        """Time from a decision until counts show all of its effect."""
        return self.counts_s + self.decision_s


_DIRECT_DELAYS = Delays(counts_s=0.4, decision_s=0.6)
_RELAYED_DELAYS = Delays(counts_s=1.2, decision_s=1.5)


def delays(daemons: int) -> Delays:
    """Returns the delays in a fleet of some size."""
    if daemons <= _MAX_DIRECT_DAEMONS:
        return _DIRECT_DELAYS
    return _RELAYED_DELAYS


@dataclasses.dataclass(frozen=True)
class Traffic:
    """What the service and the target version got, as far as is known.

    Attributes:
        requests: Requests that reached the service since the order.
        sent: Attempts at the target version that the counts show.
        unseen: Attempts that earlier decisions allow and that the counts may
            not show yet.
        rate_per_s: Requests per second that reach the service.
        remaining_s: Time until the deadline.
    """

    requests: float
    sent: float
    unseen: float
    rate_per_s: float
    remaining_s: float


def trial_share(traffic: Traffic, share: float, tolerance: float) -> float:
    """Returns the share that the requests seen so far allow.

    Args:
        traffic: The traffic.
        share: Part of the requests that a bad version may get.
        tolerance: Requests that it may get besides.

    Example:
        >>> traffic = Traffic(600.0, 20.0, 30.0, 200.0, 9.0)
        >>> trial_share(traffic, 0.1, 50.0)
        0.25
    """
    budget = share * traffic.requests + _TRIAL_TOLERANCE_PART * tolerance
    return _spread(budget, traffic, _TRIAL_SPREAD_S)


def divide_share(
    share: float,
    weights: Mapping[str, float],
    needs: Mapping[str, float],
    max_share: float,
) -> dict[str, float]:
    """Divides a share of all requests among routes by the evidence they need.

    With one share for all, a rare route would decide how long a trial takes.

    Args:
        share: Part of all requests that goes to the target version.
        weights: Part of all requests by route.
        needs: Answers that are still needed by route.
        max_share: Highest share of a route.

    Returns:
        Share of each route's requests.

    Example:
        >>> divide_share(0.2, {"a": 0.8, "b": 0.2}, {"a": 10, "b": 10}, 0.4)
        {'b': 0.4, 'a': 0.15}
    """
    shares: dict[str, float] = {}
    left = share
    needed = sum(needs[route] for route in weights)
    # Those that reach the highest share first leave the rest to the others.
    for route in sorted(
        weights, key=lambda route: weights[route] / needs[route]
    ):
        part = left * needs[route] / needed
        shares[route] = round(min(max_share, part / weights[route]), 4)
        left -= shares[route] * weights[route]
        needed -= needs[route]
    return shares


def ramp_share(
    traffic: Traffic, lag: Delays, share: float, tolerance: float
) -> float:
    """Returns the share that keeps the bound if the version is bad after all.

    The bound counts the requests until the deadline, so those that will likely
    come count too.

    Args:
        traffic: The traffic.
        lag: How late counts and decisions are: what is left of the budget must
            last until they show a fault.
        share: Part of the requests that a bad version may get.
        tolerance: Requests that it may get besides.
    """
    budget = forecast_budget(traffic, share, tolerance)
    return _spread(budget, traffic, lag.total_s)


def forecast_budget(traffic: Traffic, share: float, tolerance: float) -> float:
    """Returns the attempts that a bad version may get until the deadline."""
    expected = traffic.rate_per_s * max(0.0, traffic.remaining_s)
    requests = traffic.requests + _FORECAST_PART * expected
    return share * requests + _RAMP_TOLERANCE_PART * tolerance


def fits_whole(traffic: Traffic, share: float, tolerance: float) -> bool:
    """Returns whether the target version may get all requests from now on.

    Holds for services with a few requests per second.
    """
    coming = traffic.rate_per_s * max(0.0, traffic.remaining_s)
    whole = traffic.sent + traffic.unseen + coming
    return whole <= forecast_budget(traffic, share, tolerance)


def _spread(budget: float, traffic: Traffic, duration_s: float) -> float:
    room = budget - traffic.sent - traffic.unseen
    rate_per_s = max(_MIN_RATE_PER_S, traffic.rate_per_s)
    return min(1.0, max(0.0, room / (rate_per_s * duration_s)))
