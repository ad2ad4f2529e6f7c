"""Offered and admitted work by service, urgency and account, over the fleet.

Load: requests of one service differ a hundred times in the work they need, so
requests are counted in server seconds. Each daemon adds to running totals,
which daemons tell each other; rates are derived from how the sums grow.
"""

import collections
import copy
import dataclasses
import math
from collections.abc import Mapping

from turmericcroft.fleet import counters

# Rates are means over this time; it covers the 1.2 s that reports take.
RATE_WINDOW_S = 1.5
# Counters of others that have not grown for this time while this daemon is
# offered work are stale.
STALE_AFTER_S = 2.0
# Least time between two samples of the totals.
_SAMPLE_INTERVAL_S = 0.1
# What was counted for this daemon's share of the fleet's work decays so fast.
_SHARE_DECAY_PER_S = 0.1
# The share is not counted this long after others' counters first grew, because
# what they counted before came late.
_SHARE_DELAY_S = 2.0
_MIN_SHARE = 1e-3
# Work of others that are in touch and idle.
_NO_WORK_S = 1e-9


@dataclasses.dataclass(frozen=True, order=True)
class Flow:
    """Requests of one urgency and account to a service.

    Attributes:
        priority: Urgency; 0 is the most urgent.
        account: Name of the client account; empty without accounts.
    """

    priority: int
    account: str


@dataclasses.dataclass(frozen=True)
class Rates:
    """Work offered to a service over the fleet.

    Attributes:
        offered: Server seconds per second, by flow.
        observed_s: Time over which they were observed.
        report_age_s: Time since others' counters grew.
        is_scaled: Whether these are this daemon's own, scaled by its share.
    """

    offered: Mapping[Flow, float]
    observed_s: float
    report_age_s: float
    is_scaled: bool = False

    @property
    def total(self) -> float:
        """Server seconds per second of all flows."""
        return sum(self.offered.values())


def key(kind: str, service: str, flow: Flow) -> str:
    """Returns the key of a flow's counter.

    Example:
        >>> key("offered", "pool", Flow(1, "north"))
        'offered/pool/1/north'
    """
    return f"{kind}/{service}/{flow.priority}/{flow.account}"


class _Share:
    """This daemon's share of the work that the fleet is offered.

    Own work is counted when that of others is, so that the share doesn't grow
    while nothing is heard of them.

    Attributes:
        value: The share; 1 until something is known.
    """

    def __init__(self) -> None:
        self.value = 1.0
        self._own_total = 0.0
        self._own = 0.0
        self._others = 0.0
        self._counted_at_s = 0.0

    def add(self, own_total: float, others: float, now_s: float) -> None:
        """Counts work of others, and own work since the last time.

        Args:
            own_total: This daemon's running total.
            others: Work of others, in server seconds; 0 to leave both out.
            now_s: Monotonic time.
        """
        decay = math.exp(-_SHARE_DECAY_PER_S * (now_s - self._counted_at_s))
        own = own_total - self._own_total
        self._own_total, self._counted_at_s = own_total, now_s
        if others <= 0.0:
            return
        self._own = self._own * decay + own
        self._others = self._others * decay + others
        self.value = max(_MIN_SHARE, self._own / (self._own + self._others))


class OfferedWork:
    """Rates of the work that is offered to one service.

    Attributes:
        service: Name of the service.
    """

    def __init__(self, service: str, now_s: float) -> None:
        self.service = service
        self._samples: collections.deque[
            tuple[float, dict[Flow, float], dict[Flow, float]]
        ] = collections.deque()
        self._others_grew_at_s = now_s
        self._others = 0.0
        self._others_known_at_s = float("inf")
        self._share = _Share()
        self._reported_at_s = -math.inf

    def copy(self) -> "OfferedWork":
        """Returns a copy that takes samples of its own."""
        other = copy.copy(self)
        other._samples = self._samples.copy()
        other._share = copy.copy(self._share)
        return other

    def sample(
        self,
        totals: counters.FleetCounters,
        now_s: float,
        reported_at_s: float = -math.inf,
    ) -> None:
        """Takes the totals of this time, unless it did so just before.

        Args:
            totals: The totals.
            now_s: Monotonic time.
            reported_at_s: When another daemon last reported, with or without
                work for this service.
        """
        self._reported_at_s = max(self._reported_at_s, reported_at_s)
        if self._samples and now_s - self._samples[-1][0] < _SAMPLE_INTERVAL_S:
            return
        prefix = f"offered/{self.service}/"
        fleet = _flows(totals.totals(prefix), prefix)
        own = _flows(
            {
                name: total
                for name, total in totals.own.items()
                if name.startswith(prefix)
            },
            prefix,
        )
        own_total = sum(own.values())
        others = sum(fleet.values()) - own_total
        grown = others - self._others
        is_in_touch = now_s - self._reported_at_s < STALE_AFTER_S
        if grown > 1e-9:
            if now_s - self._others_grew_at_s > RATE_WINDOW_S:
                # What others counted over a longer time arrives at once.
                self._samples.clear()
            self._others_grew_at_s = now_s
            self._others_known_at_s = min(self._others_known_at_s, now_s)
            is_late = now_s - self._others_known_at_s < _SHARE_DELAY_S
            self._share.add(own_total, 0.0 if is_late else grown, now_s)
        elif is_in_touch and self._others > 0.0:
            # The others are idle, so the share of this daemon grows.
            self._share.add(own_total, _NO_WORK_S, now_s)
        self._others = others
        self._samples.append((now_s, fleet, own))
        while (
            now_s - self._samples[1 if len(self._samples) > 1 else 0][0]
            > RATE_WINDOW_S
            and len(self._samples) > 2
        ):
            self._samples.popleft()

    def rates(self, now_s: float) -> Rates:
        """Returns the rates over the last seconds."""
        heard_at_s = max(self._others_grew_at_s, self._reported_at_s)
        report_age_s = now_s - heard_at_s
        if len(self._samples) < 2:
            return Rates({}, 0.0, report_age_s)
        (since_s, before, own_before) = self._samples[0]
        (until_s, after, own_after) = self._samples[-1]
        elapsed_s = max(until_s - since_s, _SAMPLE_INTERVAL_S)
        if self._others > 0.0 and report_age_s > STALE_AFTER_S:
            own = _growth(own_before, own_after)
            scale = 1.0 / (self._share.value * elapsed_s)
            offered = {flow: work * scale for flow, work in own.items()}
            return Rates(offered, elapsed_s, report_age_s, is_scaled=True)
        grown = _growth(before, after)
        return Rates(
            {flow: work / elapsed_s for flow, work in grown.items()},
            elapsed_s,
            report_age_s,
        )


def _flows(totals: Mapping[str, float], prefix: str) -> dict[Flow, float]:
    flows = {}
    for name, total in totals.items():
        priority, _, account = name.removeprefix(prefix).partition("/")
        if priority.isdecimal():
            flows[Flow(int(priority), account)] = total
    return flows


def _growth(
    before: Mapping[Flow, float], after: Mapping[Flow, float]
) -> dict[Flow, float]:
    growth = {
        flow: total - before.get(flow, 0.0) for flow, total in after.items()
    }
    return {flow: work for flow, work in growth.items() if work > 0.0}
