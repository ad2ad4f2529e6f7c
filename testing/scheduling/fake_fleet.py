"""A service under load: daemons that decide, and servers with slots.

A server runs up to its slots at once, each at the same speed, and lets others
wait. Daemons learn of each other's counters and of the servers' statements
late, as through relays.
"""

import collections
import dataclasses
import random

from turmericcroft.fleet import counters
from turmericcroft.scheduling import admit
from turmericcroft.scheduling import occupancy
from turmericcroft.scheduling import offered
from turmericcroft.scheduling import scheduler

SERVICE = "pool"
SLOTS = 16
STEP_S = 0.05
REPORT_DELAY_S = 1.0
TARGET_S = 0.8
DEADLINE_S = 10.0
MEAN_WORK_S = 0.15


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests of one flow and kind.

    Attributes:
        flow: Urgency and account.
        rate: Server seconds per second that they need on average.
        kind: Name for the figures.
    """

    flow: offered.Flow
    rate: float
    kind: str = "usual"


@dataclasses.dataclass
class Request:
    """A request and what became of it."""

    load: Load
    work_s: float
    sent_at_s: float
    is_admitted: bool = False
    began_at_s: float | None = None
    had_room: bool = False


class Fleet:
    """Daemons and servers of one service.

    Attributes:
        daemons: Counters and scheduler of each daemon.
        requests: All requests so far.
        now_s: Simulated time.
        is_connected: Whether daemons learn of each other's counters.
        error: Factor by which daemons take work for more than it is.
    """

    def __init__(self, daemons=8, servers=20, seed=0, error=1.0):
        self.random = random.Random(seed)
        totals = [counters.FleetCounters() for _ in range(daemons)]
        self.daemons = [
            (total, scheduler.Scheduler(total, random.Random(number)))
            for number, total in enumerate(totals)
        ]
        self.requests = []
        self.now_s = 0.0
        self.is_connected = True
        self.error = error
        self._running = [{} for _ in range(servers)]
        self._waiting = [collections.deque() for _ in range(servers)]
        self._history = collections.deque()
        self._step = 0

    @property
    def capacity(self):
        """Server seconds per second."""
        return float(len(self._running))

    def run(self, loads, seconds):
        """Sends requests and lets the servers work."""
        since = len(self.requests)
        for _ in range(round(seconds / STEP_S)):
            self._step += 1
            self.now_s = self._step * STEP_S
            self._exchange()
            for load in loads:
                mean = load.rate * STEP_S / MEAN_WORK_S
                count = int(mean) + (self.random.random() < mean % 1)
                for _ in range(count):
                    self._arrive(load)
            self._work()
        return self.requests[since:]

    def rooms(self):
        """Returns what daemons know of the servers."""
        return [
            occupancy.ServerRoom(SLOTS, sum(load), *load, 1.0, 0.5)
            for load in self._history[0][1]
        ]

    def _servers(self):
        return zip(self._running, self._waiting, strict=True)

    def _exchange(self):
        loads = [
            (len(running), len(waiting)) for running, waiting in self._servers()
        ]
        told = [dict(total.own) for total, _ in self.daemons]
        self._history.append((self.now_s, loads, told))
        while self.now_s - self._history[0][0] > REPORT_DELAY_S:
            self._history.popleft()
        if self._step % 8 or not self.is_connected:
            return
        for number, (total, _) in enumerate(self.daemons):
            for other, seen in enumerate(self._history[0][2]):
                if other != number:
                    total.update_peer(f"d{other}", seen)

    def _arrive(self, load):
        # The largest tenth need five times as much as the others.
        is_large = self.random.random() < 0.1
        work_s = MEAN_WORK_S / 1.4 * (5.0 if is_large else 1.0)
        request = Request(load, work_s, self.now_s)
        self.requests.append(request)
        _, control = self.random.choice(self.daemons)
        slots = len(self._running) * SLOTS
        taken = sum(map(len, self._running)) + sum(map(len, self._waiting))
        request.had_room = taken < slots / 2 and not any(self._waiting)
        server = min(
            range(len(self._running)),
            key=lambda s: len(self._running[s]) + len(self._waiting[s]),
        )
        queued_s = len(self._waiting[server]) * MEAN_WORK_S
        question = admit.Question(
            load.flow, work_s * self.error, 0.1 + queued_s, TARGET_S, DEADLINE_S
        )
        decision = control.decide(
            SERVICE,
            question,
            (str(len(self.requests)),),
            self.rooms,
            self.now_s,
        )
        if isinstance(decision, admit.Admit):
            request.is_admitted = True
            self._waiting[server].append(request)

    def _work(self):
        for running, waiting in self._servers():
            for key, (request, left_s) in list(running.items()):
                left_s -= STEP_S / SLOTS
                running[key] = request, left_s
                if left_s <= 0.0:
                    del running[key]
            while waiting and len(running) < SLOTS:
                request = waiting.popleft()
                request.began_at_s = self.now_s
                running[id(request)] = request, request.work_s


def served_share(requests, is_counted=lambda request: True):
    """Returns the share of some requests that were admitted."""
    counted = [request for request in requests if is_counted(request)]
    return sum(request.is_admitted for request in counted) / len(counted)


def late_share(requests):
    """Returns the share of admitted requests that began after the target."""
    admitted = [r for r in requests if r.is_admitted]
    late = [
        r
        for r in admitted
        if r.began_at_s is None or r.began_at_s - r.sent_at_s > TARGET_S
    ]
    return len(late) / len(admitted)
