"""Model of a fleet that rolls a version out; one seed is one rollout.

Knowledge of other daemons and decisions are up to 1.2 s old (0.4 s with 16
daemons or fewer), and one message in ten is lost.
"""

import dataclasses
import functools
import heapq
import itertools
import random

from turmericcroft.fleet import counters
from turmericcroft.fleet import directory
from turmericcroft.fleet import positions
from turmericcroft.rollouts import evidence
from turmericcroft.rollouts import gate as gates
from turmericcroft.rollouts import notes
from turmericcroft.rollouts import ramp

LIMITS = ramp.Limits()
ORDER = notes.Order("pool", "v2", 12.0, positions.StorePosition(1, 5))
PREDICTED_S = 0.3
LOST = 0.1
SLOTS = 8
ROUTES = {"chat": 0.5, "code": 0.3, "mail": 0.2}


@dataclasses.dataclass(frozen=True)
class Kind:
    """How a version answers; its faults are proportions of its answers."""

    failing: float = 0.0
    slow: float = 0.0  # Answers that take four times as long.
    route: str = ""  # The only route concerned; all if empty.
    after_s: float = 0.0  # Time from its first request to its first fault.
    above_load: float = 0.0  # Part of a server's slots from which faults show.
    base: float = 0.005  # Failures of all versions on the route "code".

    @property
    def is_bad(self):
        return self.failing + self.slow > 0.0


KINDS = {
    "good": Kind(),
    "good, base 0.14": Kind(base=0.14),
    "failing": Kind(failing=0.5),
    "slow": Kind(slow=0.7),
    "later": Kind(failing=0.5, after_s=2.0),
    "under load": Kind(failing=0.5, above_load=0.2),
    "one route": Kind(failing=0.5, route="code"),
    "one route, base 0.14": Kind(failing=0.5, route="code", base=0.14),
}


def _answer_s(source, is_slow):
    """Returns an answer's time; 0.15 of the servers are slowed 2.5 times."""
    factor = 2.5 if source.random() < 0.15 else 1.0
    factor *= 4.0 if is_slow else 1.0
    return PREDICTED_S * source.lognormvariate(0.0, 0.3) * factor


@functools.cache
def _slow_after_s():
    baseline, source = evidence.LatencyBaseline(), random.Random(0)
    for _ in range(400):
        seconds = _answer_s(source, is_slow=False)
        baseline.record("pool", "chat", "small", seconds, PREDICTED_S)
    return PREDICTED_S * baseline.limit("pool", "chat", "small")


class Rollout:
    """One rollout, from its order to its deadline."""

    def __init__(self, kind, seed, rate, daemons, duration_s, ready_s=3.0):
        self.kind, self.rate, self.daemons = kind, rate, daemons
        self.ready_s, self.is_large = ready_s, daemons > 16
        self.source = random.Random(f"{kind}/{seed}")
        self.order = dataclasses.replace(ORDER, duration_s=duration_s)
        self.state = ramp.begin(self.order, ["v1"], 0.0)
        self.servers = tuple(
            directory.Server(
                f"{v}-{n}", "pool", "", 1, "a", SLOTS, software_version=v
            )
            for v in ("v1", "v2")
            for n in range(max(2, round(rate / 12)))
        )
        self.running = dict.fromkeys(self.servers, 0)
        self.old_running = []  # At each decision, newest last.
        self.fleet = counters.FleetCounters()
        self.own = [counters.FleetCounters() for _ in range(daemons)]
        self.gates = [
            gates.VersionGate(random.Random(f"{seed}/{n}"))
            for n in range(daemons)
        ]
        note = ramp.make_note(self.state, 1, 0.0)
        self.known = [(0.0, note)] * daemons
        self.requests, self.sent, self.bad = 0, 0, 0
        self.first_s = self.last_s = self.many_bad_s = self.ended_s = None
        self.queue, self.numbers = [], itertools.count()

    def is_over(self, now_s):
        """Returns whether all daemons know the end; then only time passes."""
        return self.ended_s is not None and now_s > self.ended_s + 2.0

    def put(self, time_s, action, *details):
        event = time_s, next(self.numbers), action, details
        heapq.heappush(self.queue, event)

    def run(self):
        self.put(0.0, self.request)
        self.put(0.0, self.decide)
        for n in range(self.daemons):
            self.put(self.source.uniform(0.0, 0.4), self.tell, n)
        while self.queue:
            now_s, _, action, details = heapq.heappop(self.queue)
            if now_s > self.order.duration_s:
                break
            action(now_s, *details)
        return self

    def request(self, now_s):
        source = self.source
        self.put(now_s + source.expovariate(self.rate), self.request)
        self.requests += 1
        if self.is_over(now_s):
            return
        n = source.randrange(self.daemons)
        route = source.choices(list(ROUTES), list(ROUTES.values()))[0]
        told_s, note = self.known[n]
        is_ready = now_s >= self.ready_s
        present = self.servers[: len(self.servers) // (1 if is_ready else 2)]
        usable = self.gates[n].usable(
            present, route, None, note, now_s - told_s
        )
        sample = source.sample(usable, min(2, len(usable)))
        server = min(sample, key=self.running.get)
        self.running[server] += 1
        is_faulty, version = False, server.software_version
        if version == "v2":
            self.sent, self.last_s = self.sent + 1, now_s
            self.first_s = self.first_s or now_s
            is_faulty = (
                self.kind.route in ("", route)
                and now_s >= self.first_s + self.kind.after_s
                and self.running[server] >= self.kind.above_load * SLOTS
            )
        is_bad = source.random() < (
            self.kind.base if route == "code" else 0.005
        )
        is_bad |= is_faulty and source.random() < self.kind.failing
        seconds = _answer_s(
            source, is_faulty and source.random() < self.kind.slow
        )
        is_bad |= seconds > _slow_after_s()
        counted = self.order, version, route, "small"
        evidence.record(self.own[n], *counted, evidence.Outcome.SENT)
        judged_s = now_s + min(seconds, _slow_after_s())
        self.put(judged_s, self.judge, n, counted, is_bad)
        stream_s = 1.5 * source.random() if route == "chat" else 0.0
        self.put(now_s + seconds + stream_s, self.end, server)

    def judge(self, now_s, n, counted, is_bad):
        outcome = evidence.Outcome.BAD if is_bad else evidence.Outcome.GOOD
        evidence.record(self.own[n], *counted, outcome)
        self.bad += is_bad and counted[1] == "v2"
        if self.bad >= 50 and self.many_bad_s is None:
            self.many_bad_s = now_s

    def end(self, now_s, server):
        self.running[server] -= 1

    def tell(self, now_s, n):
        interval_s, delay_s = (0.4, 0.8) if self.is_large else (0.2, 0.2)
        self.put(now_s + interval_s, self.tell, n)
        if self.ended_s is None and self.source.random() >= LOST:
            delay_s *= self.source.uniform(0.5, 1.0)
            self.put(now_s + delay_s, self.hear, n, dict(self.own[n].own))

    def hear(self, now_s, n, totals):
        self.fleet.update_peer(str(n), totals)

    def decide(self, now_s):
        if self.is_over(now_s):
            return
        self.put(now_s + 0.2, self.decide)
        half = len(self.servers) // 2
        self.old_running.append(sum(map(self.running.get, self.servers[:half])))
        slots, late = SLOTS * half, 6 if self.is_large else 2
        totals = self.fleet.totals(evidence.prefix(self.order))
        observation = ramp.Observation(
            now_s,
            slots if now_s >= self.ready_s else 0,
            slots,
            self.old_running[max(0, len(self.old_running) - 1 - late)],
            evidence.read(totals, self.order, self.state.replaced),
            self.daemons,
            is_service_known=True,
        )
        self.state = ramp.decide(self.state, observation, LIMITS)
        if self.state.phase.is_final and self.ended_s is None:
            self.ended_s, self.left_running = now_s, self.old_running[-1]
        note = now_s, ramp.make_note(self.state, 1, now_s)
        for n in range(self.daemons):
            if self.source.random() >= LOST:
                delay_s = self.source.uniform(0.3, 1.0)
                delay_s *= 1.2 if self.is_large else 0.4
                self.put(now_s + delay_s, self.learn, n, note)

    def learn(self, now_s, n, note):
        self.known[n] = max(self.known[n], note, key=lambda known: known[0])
