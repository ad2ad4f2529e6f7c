"""Counts the answers of each software version, and says which are bad.

Load pattern: 20 to 200 requests/s of a service over 8 to 85 daemons, of which
a tenth goes to the version under trial. A daemon sees a few of its answers, so
each daemon judges its own answers, and only counts travel, in the fleet's
counters under "rollout/ERA.REVISION/VERSION/ROUTE/CLASS/".
"""

import collections
import dataclasses
import enum
import functools
import math
from collections.abc import Collection
from collections.abc import Mapping
from urllib import parse

import ddsketch

from turmericcroft.fleet import counters
from turmericcroft.rollouts import notes

_ROOT = "rollout"
_SENT = "sent"
_AGAIN = "again"
_ANSWERED = "answered"
_BAD = "bad"
# Samples from which a sketch's upper quantile is used. Below it, the 0.95
# quantile is the largest sample.
_MIN_SAMPLES = 20
# Samples after which a sketch is replaced, so that the load of an hour ago
# doesn't decide what is slow now.
_GENERATION_SAMPLES = 500
_RELATIVE_ACCURACY = 0.02
# "Several times slower": above both this multiple of the median and the
# quantile below. A quantile alone would count one in twenty answers of the
# replaced versions at a multiple of 1.1; the multiple alone would count those
# of servers that share their VM and are slowed 2.5 times at any moment.
_SLOW_MULTIPLE = 2.0
_SLOW_QUANTILE = 0.98
# Multiple of the predicted time that counts as slow before there are enough
# samples. Predictions of a daemon that has just started are off by up to
# twice, and servers are slowed 2.5 times.
_UNKNOWN_LIMIT = 6.0


class Outcome(enum.Enum):
    """What a daemon counts for one attempt at a server.

    Attributes:
        SENT: The first attempt of a request was sent.
        SENT_AGAIN: A later attempt of the same request was sent.
        GOOD: It was answered well; for a stream, its first event arrived.
        BAD: The server failed it, or it became several times slower than the
            replaced versions, whether or not it was answered in the end.
        TURNED_BAD: A stream that was counted as GOOD at its first event was
            broken off by the server, or its pauses are several times longer.
    """

    SENT = "sent"
    SENT_AGAIN = "sent_again"
    GOOD = "good"
    BAD = "bad"
    TURNED_BAD = "turned_bad"


@dataclasses.dataclass(frozen=True)
class Counts:
    """Counts of one version, or of several together.

    Attributes:
        sent: Attempts sent.
        answered: Attempts that were judged.
        bad: Attempts judged as bad.
    """

    sent: float = 0.0
    answered: float = 0.0
    bad: float = 0.0

    def plus(self, other: "Counts") -> "Counts":
        """Returns the sums."""
        return Counts(
            self.sent + other.sent,
            self.answered + other.answered,
            self.bad + other.bad,
        )

    def minus(self, earlier: "Counts") -> "Counts":
        """Returns what was counted since; never below 0."""
        return Counts(
            max(0.0, self.sent - earlier.sent),
            max(0.0, self.answered - earlier.answered),
            max(0.0, self.bad - earlier.bad),
        )


NO_COUNTS = Counts()


@dataclasses.dataclass(frozen=True)
class Evidence:
    """What the fleet counted since an order.

    Attributes:
        target: Counts of the target version, by route and size class.
        replaced: Those of the replaced versions together.
        requests: Requests that reached the service, at any version.
    """

    target: Mapping[tuple[str, str], Counts] = dataclasses.field(
        default_factory=dict
    )
    replaced: Mapping[tuple[str, str], Counts] = dataclasses.field(
        default_factory=dict
    )
    requests: float = 0.0

    @property
    def target_total(self) -> Counts:
        """Counts of the target version over all routes."""
        return sum_counts(self.target.values())

    def target_since(self, earlier: "Evidence") -> "Evidence":
        """Returns evidence with what the target version got since another.

        The counts of the replaced versions stay whole: they get fewer requests
        with each step, and their proportion is needed precisely.
        """
        return dataclasses.replace(
            self,
            target={
                key: counts.minus(earlier.target.get(key, NO_COUNTS))
                for key, counts in self.target.items()
            },
        )


NO_EVIDENCE = Evidence()


def sum_counts(counts: Collection[Counts]) -> Counts:
    """Returns the sums of several counts."""
    total = NO_COUNTS
    for part in counts:
        total = total.plus(part)
    return total


def prefix(order: notes.Order) -> str:
    """Returns the prefix of the fleet counters' keys of an order.

    Example:
        >>> from turmericcroft.fleet import positions
        >>> where = positions.StorePosition(4, 812)
        >>> prefix(notes.Order("pool", "v2", 60.0, where))
        'rollout/4.812/'
    """
    position = order.position
    return f"{_ROOT}/{position.era}.{position.revision}/"


def record(
    fleet_counters: counters.FleetCounters,
    order: notes.Order,
    version: str,
    route: str,
    size_class: str,
    outcome: Outcome,
) -> None:
    """Counts one outcome at a server of some version.

    Each attempt counts once as SENT or SENT_AGAIN, and at most once as GOOD or
    BAD. An attempt that nobody can judge (4xx, cancelled by the client, refused
    by the server before it ran) counts as neither.

    Args:
        fleet_counters: The daemon's counters.
        order: The order of the service's rollout.
        version: Software version of the server.
        route: Name of the route.
        size_class: Class of the request's size.
        outcome: What happened.
    """
    path = _path(order, version, route, size_class)
    match outcome:
        case Outcome.SENT:
            names: tuple[str, ...] = (_SENT,)
        case Outcome.SENT_AGAIN:
            names = (_SENT, _AGAIN)
        case Outcome.GOOD:
            names = (_ANSWERED,)
        case Outcome.BAD:
            names = (_ANSWERED, _BAD)
        case Outcome.TURNED_BAD:
            names = (_BAD,)
    for name in names:
        fleet_counters.add(f"{path}/{name}")


# Quoting takes longer than counting, and few paths are in use.
@functools.lru_cache(maxsize=4_096)
def _path(order: notes.Order, version: str, route: str, size_class: str) -> str:
    return prefix(order) + "/".join(
        parse.quote(part, safe="") for part in (version, route, size_class)
    )


def read(
    totals: Mapping[str, float],
    order: notes.Order,
    replaced: Collection[str],
) -> Evidence:
    """Reads the evidence of an order from the fleet's totals.

    Args:
        totals: `counters.totals(prefix(order))`; other keys are ignored.
        order: The order.
        replaced: Software versions that the target replaces.
    """
    target: dict[tuple[str, str], Counts] = {}
    others: dict[tuple[str, str], Counts] = {}
    requests = 0.0
    start = prefix(order)
    for key, total in totals.items():
        parts = key.removeprefix(start).split("/")
        if not key.startswith(start) or len(parts) != 4:
            continue
        version, route, size_class = map(parse.unquote, parts[:3])
        name = parts[3]
        if name == _SENT:
            requests += total
        elif name == _AGAIN:
            requests -= total
        if version == order.target:
            group = target
        elif version in replaced:
            group = others
        else:
            continue
        if name in (_SENT, _ANSWERED, _BAD):
            counts = group.get((route, size_class), NO_COUNTS)
            group[route, size_class] = counts.plus(Counts(**{name: total}))
    return Evidence(target, others, max(0.0, requests))


class LatencyBaseline:
    """Which answers of this daemon are several times slower than usual.

    The measure is the observed time over the predicted time: of the first
    event, or of the mean gap of a stream. A daemon learns its distribution on
    all versions that are not under trial, whether or not there is an order.
    Answers of all versions are judged by the same limit.

    Before a route's size class has 20 samples, the samples of its service
    decide; before these are 20, an answer is slow from 6 times the predicted
    time on.

    Example:
        >>> baseline = LatencyBaseline()
        >>> baseline.is_slow("pool", "chat", "small", 5.0, 1.0)
        False
        >>> for _ in range(20):
        ...     baseline.record("pool", "chat", "small", 1.1, 1.0)
        >>> round(baseline.limit("pool", "chat", "small"), 1)
        2.2
        >>> baseline.is_slow("pool", "chat", "small", 2.5, 1.0)
        True
    """

    def __init__(self) -> None:
        self._sketches: dict[tuple[str, ...], _Distribution] = (
            collections.defaultdict(_Distribution)
        )

    def record(
        self,
        service: str,
        route: str,
        size_class: str,
        observed_s: float,
        predicted_s: float,
    ) -> None:
        """Adds an answer of a version that is not under trial.

        Args:
            service: Name of the service.
            route: Name of the route.
            size_class: Class of the request's size.
            observed_s: Time to the first event, or mean gap.
            predicted_s: The prediction of it; 0 or less if there is none.
        """
        if predicted_s <= 0.0 or not math.isfinite(observed_s):
            return
        ratio = observed_s / predicted_s
        self._sketches[service, route, size_class].add(ratio)
        self._sketches[(service,)].add(ratio)

    def limit(self, service: str, route: str, size_class: str) -> float:
        """Returns the multiple of the predicted time above which it is slow.

        A daemon that waits for an answer of any version can count it as bad as
        soon as this multiple has passed. Otherwise answers that hang would
        show only at their time-out, after the good ones decided the verdict.
        """
        for key in ((service, route, size_class), (service,)):
            found = self._sketches.get(key)
            if found is not None and found.limit is not None:
                return found.limit
        return _UNKNOWN_LIMIT

    def is_slow(
        self,
        service: str,
        route: str,
        size_class: str,
        observed_s: float,
        predicted_s: float,
    ) -> bool:
        """Returns whether an answer took several times what is usual."""
        if predicted_s <= 0.0:
            return False
        limit = self.limit(service, route, size_class)
        return observed_s > limit * predicted_s


class _Distribution:
    """Distribution of recent ratios, and the limit that follows from it.

    Attributes:
        limit: Ratio above which an answer is slow; None before there are
            enough samples.
    """

    def __init__(self) -> None:
        self.limit: float | None = None
        self._sketch = ddsketch.DDSketch(_RELATIVE_ACCURACY)
        self._count = 0

    def add(self, ratio: float) -> None:
        """Adds a sample."""
        self._sketch.add(ratio)
        self._count += 1
        if self._count % _MIN_SAMPLES:
            return
        median = self._sketch.get_quantile_value(0.5)
        upper = self._sketch.get_quantile_value(_SLOW_QUANTILE)
        if median is not None and upper is not None:
            self.limit = max(_SLOW_MULTIPLE * median, upper)
        if self._count >= _GENERATION_SAMPLES:
            self._sketch = ddsketch.DDSketch(_RELATIVE_ACCURACY)
            self._count = 0
