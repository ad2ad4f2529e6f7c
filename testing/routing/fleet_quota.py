"""A fleet of quota replicas that learn of each other through zone relays."""

import collections
import dataclasses
import random

from turmericcroft.routing import declaration
from turmericcroft.routing import quota

DAEMONS = 64
ZONES = 4
ROUND_S = 0.4
STEP_S = 0.05
# As declared for the account of the deployment where the quota was exceeded.
RATE = 588_764.0
BURST = 588_764.0
TOLERANCE = 190_000.0
USUAL_RATE = 500_000.0
WINDOW_S = 8.0
_MIN_UNITS, _MAX_UNITS = 200.0, 25_000.0
MEAN_UNITS = (_MIN_UNITS + _MAX_UNITS) / 2
_STEPS_PER_ROUND = round(ROUND_S / STEP_S)


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request of the account.

    Attributes:
        at_s: When it was sent.
        units: Its quota units.
        is_admitted: Whether it was admitted.
        retry_after_s: When it may return; 0 if it was admitted.
    """

    at_s: float
    units: float
    is_admitted: bool
    retry_after_s: float


class Fleet:
    """Daemons with a replica each, and a relay in each zone.

    A daemon exchanges with its relay once a round, at a time of its own. A
    relay sums up its zone once a round and passes the sums on, so a replica
    knows of the others' units up to three rounds later.

    Attributes:
        buckets: Replicas, by daemon.
        sent: All requests so far.
        now_s: Simulated time.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.buckets = [
            quota.FleetBucket(
                make_quota(RATE), TOLERANCE, 1.0, 0.0, random.Random(number)
            )
            for number in range(DAEMONS)
        ]
        for bucket in self.buckets:
            bucket.silent_after_s = 4 * ROUND_S
            bucket.report_delay_s = ROUND_S
            bucket.daemons = DAEMONS
        self.sent: list[Sent] = []
        self.now_s = 0.0
        self._step = 0
        self._phases = [
            self.random.randrange(_STEPS_PER_ROUND)
            for _ in range(DAEMONS + ZONES)
        ]
        self._gathered = [(0.0, 0.0)] * DAEMONS
        # Of each zone: its sums, and the parts of its daemons in them.
        self._summaries: list[list[tuple[float, float]]] = [
            [] for _ in range(ZONES)
        ]

    def run(self, rate, seconds, is_connected=lambda a, b: True, partial=1.0):
        """Sends requests at a rate; those of cut off zones only to a part."""
        for _ in range(round(seconds / STEP_S)):
            self._step += 1
            self.now_s = self._step * STEP_S
            self._arrive(rate)
            for zone in range(ZONES):
                if self._is_due(DAEMONS + zone):
                    self._summaries[zone] = self._gathered[:]
            for number in range(DAEMONS):
                if self._is_due(number):
                    self._exchange(number, is_connected)

    def _arrive(self, rate):
        at_s = self.now_s - STEP_S
        while True:
            at_s += self.random.expovariate(rate / MEAN_UNITS)
            if at_s > self.now_s:
                return
            bucket = self.random.choice(self.buckets)
            units = self.random.uniform(_MIN_UNITS, _MAX_UNITS)
            is_admitted = bucket.try_acquire(units, at_s)
            wait_s = 0.0 if is_admitted else bucket.retry_after_s(units, at_s)
            self.sent.append(Sent(at_s, units, is_admitted, wait_s))

    def _is_due(self, number):
        return self._step % _STEPS_PER_ROUND == self._phases[number]

    def _exchange(self, number, is_connected):
        bucket = self.buckets[number]
        own_zone = number % ZONES
        self._gathered[number] = (bucket.admitted, bucket.offered)
        for zone, parts in enumerate(self._summaries):
            if parts and is_connected(own_zone, zone):
                others = [
                    part
                    for other, part in enumerate(parts)
                    if other % ZONES == zone and other != number
                ]
                bucket.update_peer(
                    f"relay-{zone}",
                    sum(admitted for admitted, _ in others),
                    self.now_s,
                    sum(offered for _, offered in others),
                )

    def refused_share(self, since_s=0.0):
        sent = [s for s in self.sent if s.at_s >= since_s]
        return sum(not s.is_admitted for s in sent) / len(sent)

    def most_in_a_window(self):
        """Returns the most units admitted within the window of the quota."""
        window = collections.deque()
        units = most = 0.0
        for sent in self.sent:
            if not sent.is_admitted:
                continue
            window.append(sent)
            units += sent.units
            while window[0].at_s <= sent.at_s - WINDOW_S:
                units -= window.popleft().units
            most = max(most, units)
        return most


def make_quota(rate, burst=BURST):
    return declaration.Quota(rate, burst, True, 0)


def allowed(rate=RATE, burst=BURST):
    return (rate * WINDOW_S + burst) * 1.1 + TOLERANCE
