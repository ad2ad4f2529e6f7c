"""Estimate of the quota units that an account offers to the fleet.

Load: an account jumps to 7.5 times its usual rate, of requests of 200 to 25,000
units, over 64 daemons. Each daemon gets less than one request a second before,
and learns of the others' up to 1.2 s later. So its own sudden rise counts at
once, scaled to the fleet, and so does the latest report of each relay.
"""

import collections
import dataclasses
from collections.abc import Iterable

# Usual age of a zone's sums when they arrive: they waited about half a round of
# 0.4 s at each of two daemons.
RELAY_DELAY_S = 0.4
# Interval over which this daemon's own rise is measured.
OWN_WINDOW_S = 0.4
# Time that the reports of another daemon span at least. One interval between
# reports is enough: the estimate is of all that report.
_REPORTED_S = 0.2
# Weights of the assumption that the account offers its quota, in requests of
# mean size, against what this daemon saw itself and against what all saw. With
# 6 requests, chance refuses 3 in 1,000 requests at 0.9 of the quota; with 4
# requests of own ones, 17 in 1,000.
_OWN_PRIOR_REQUESTS = 6.0
_FLEET_PRIOR_REQUESTS = 6.0
# The former for an account that exceeded its quota within the last seconds: its
# next burst must not pass as chance, because the bucket has not refilled.
_ALERT_PRIOR_REQUESTS = 2.0
_ALERT_S = 10.0
_ALERT_RATIO = 2.0
_ALERT_LEVEL = 0.25
# A mean over about this many requests.
_MEAN_SIZE_REQUESTS = 20.0

# A daemon whose own units tell of a rise to this many times the quota admits
# less, and at the latter few, until the reports of others tell of it. Trials
# with 64 daemons: this refuses 4 in 1,000 requests at 0.9 of the quota.
_ADMITTED_RISE = 1.55
_REFUSED_RISE = 1.7
_MIN_OWN_PROBABILITY = 0.15
# Reports that arrive at once tell enough: among 8 daemons, own units refused 9
# in 1,000 requests by chance.
_DIRECT_WEIGHT = 0.75
# While reports are missing, as in a partition, fewer tell of a rise.
_STALE_WEIGHT = 1.1
# A rise beyond this ratio, which reports have not told of in full, is taken for
# this much larger: reports that span its begin tell of a part.
_RISE = 1.5
_RISE_FACTOR = 6.0

# A refused caller is asked to return within this time of the expected one at
# least, so that those refused together do not return together.
_MIN_SPREAD_S = 0.5
_MAX_SPREAD_S = 4.0


class OwnUnits:
    """Units offered to this daemon.

    Attributes:
        total: Units so far.
    """

    def __init__(self) -> None:
        self.total = 0.0
        self._requests = 0
        self._mean = 0.0
        self._largest = 0.0
        self._recent: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    @property
    def mean(self) -> float:
        """Mean units of a request.

        The first few may be small ones by chance, so it is at least half of
        the largest.
        """
        return max(self._mean, self._largest / 2.0)

    def add(self, units: float, now_s: float) -> None:
        """Counts a request that asks for units."""
        self.total += units
        self._recent.append((now_s, units))
        self._drop_old(now_s)
        self._requests += 1
        weight = 1.0 / min(self._requests, _MEAN_SIZE_REQUESTS)
        self._mean += weight * (units - self._mean)
        self._largest = max(units, self._largest)

    def recent(self, now_s: float) -> float:
        """Returns the units offered in the last OWN_WINDOW_S."""
        self._drop_old(now_s)
        return sum(units for _, units in self._recent)

    def _drop_old(self, now_s: float) -> None:
        while self._recent and now_s - self._recent[0][0] > OWN_WINDOW_S:
            self._recent.popleft()


class ReportedUnits:
    """Units offered to another daemon or to a zone, by its reports."""

    def __init__(self, offered: float, now_s: float) -> None:
        self._reported = offered
        self._reports = collections.deque([(now_s, 0.0)])

    def report(self, offered: float, admitted: float, now_s: float) -> None:
        """Applies a report.

        Args:
            offered: Running total that was reported; 0 by an older build.
            admitted: Units admitted since the report before. An older build
                counts as offering what it admits.
            now_s: Monotonic time.
        """
        grown = max(offered - self._reported, admitted, 0.0)
        self._reported = offered
        self._reports.append((now_s, self._reports[-1][1] + grown))
        while self._reports[-2][0] - self._reports[0][0] > _REPORTED_S:
            self._reports.popleft()

    def recent(self) -> tuple[float, float]:
        """Returns the units of the last reports and the time they span."""
        (since_s, before), (until_s, total) = (
            self._reports[0],
            self._reports[-1],
        )
        return total - before, until_s - since_s


@dataclasses.dataclass(frozen=True)
class Observation:
    """Units offered to one part of the fleet in recent time.

    Attributes:
        units: Units that were offered.
        span_s: In this time.
        share: Usual share of the part in the account's units.
    """

    units: float
    span_s: float
    share: float


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Units per second that an account offers to the fleet.

    Attributes:
        by_own: As this daemon's own units tell.
        by_all: As the units of all that report tell.
    """

    by_own: float
    by_all: float


def estimate_rate(
    rate_per_s: float,
    mean_units: float,
    own: Observation,
    reported: Iterable[Observation],
    is_alert: bool,
) -> Estimate:
    """Estimates the units per second that an account offers to the fleet.

    There are two estimates, both posterior means: of what this daemon saw
    itself, up to now, and of what it and all that report saw. Each begins with
    the assumption that the account offers its quota.

    Args:
        rate_per_s: Rate of the quota that daemons in touch share.
        mean_units: Mean units of a request.
        own: What this daemon saw.
        reported: What others reported.
        is_alert: Whether the account exceeded its quota a short time ago.

    Example:
        >>> usual = Observation(units=80.0, span_s=0.4, share=0.25)
        >>> round(estimate_rate(1_000.0, 20.0, usual, [], False).by_all)
        909
        >>> risen = Observation(units=600.0, span_s=0.4, share=0.25)
        >>> estimate = estimate_rate(1_000.0, 20.0, risen, [usual], False)
        >>> round(estimate.by_own), round(estimate.by_all)
        (3273, 2500)
    """
    units, expected = own.units, rate_per_s * own.share * own.span_s
    requests = _ALERT_PRIOR_REQUESTS if is_alert else _OWN_PRIOR_REQUESTS
    prior = max(requests * mean_units, 1e-9)
    by_own = (prior + units) / (prior + expected)
    for part in reported:
        units += part.units
        expected += rate_per_s * part.share * part.span_s
    prior = max(_FLEET_PRIOR_REQUESTS * mean_units, 1e-9)
    by_all = (prior + units) / (prior + expected)
    return Estimate(rate_per_s * by_own, rate_per_s * by_all)


def still_coming(offered: float, rate_per_s: float) -> float:
    """Returns by how much a rise exceeds what reports tell while it begins.

    Example:
        >>> still_coming(1_000.0, 1_000.0), still_coming(2_000.0, 1_000.0)
        (0.0, 3000.0)
    """
    return max(0.0, offered - _RISE * rate_per_s) * _RISE_FACTOR


def probability_by_own(
    ratio: float, *, has_stale_reports: bool, is_direct: bool
) -> float:
    """Returns the admission probability by this daemon's own units alone.

    Args:
        ratio: Units offered, relative to the rate of the quota, as this
            daemon's own units tell.
        has_stale_reports: Whether reports of others are missing.
        is_direct: Whether daemons report to each other without relays.

    Example:
        >>> [
        ...     round(
        ...         probability_by_own(
        ...             ratio, has_stale_reports=False, is_direct=False
        ...         ),
        ...         2,
        ...     )
        ...     for ratio in (1.5, 1.6, 2.0)
        ... ]
        [1.0, 0.67, 0.15]
    """
    if has_stale_reports:
        ratio *= _STALE_WEIGHT
    if is_direct:
        ratio *= _DIRECT_WEIGHT
    probability = (_REFUSED_RISE - ratio) / (_REFUSED_RISE - _ADMITTED_RISE)
    return min(1.0, max(_MIN_OWN_PROBABILITY, probability))


def spread_s(excess_s: float) -> float:
    """Returns the time over which refused callers are to return.

    Args:
        excess_s: Time that a second's units beyond the rate take to serve.
    """
    return min(_MAX_SPREAD_S, max(_MIN_SPREAD_S, excess_s))


class Alert:
    """Whether an account exceeded its quota a short time ago."""

    def __init__(self) -> None:
        self._until_s = float("-inf")

    def observe(self, ratio: float, fullness: float, now_s: float) -> None:
        """Applies an estimate.

        Args:
            ratio: Units offered, relative to the rate of the quota, by the
                estimate of all daemons; one daemon's own is too uncertain.
            fullness: Level of the bucket, as a fraction of its capacity.
            now_s: Monotonic time.
        """
        if ratio > _ALERT_RATIO and fullness < _ALERT_LEVEL:
            self._until_s = now_s + _ALERT_S

    def is_set(self, now_s: float) -> bool:
        """Returns whether the account is still to be watched."""
        return now_s < self._until_s
