"""Simulates how many daemons place prompts on engines with an old view.

The engines prefill, decode and slow down with the figures of
docs/design/hard-load.md. Time is simulated; nothing is sent. The mix of prompts
is made up, so figures compare policies and don't predict a day.
"""

import dataclasses
import enum
import heapq
import itertools
import random
import statistics
from collections.abc import Sequence

from turmericcroft.fleet import directory
from turmericcroft.routing import engines
from turmericcroft.routing.placement import engines as placement
from turmericcroft.routing.placement import prediction
from turmericcroft.routing.work import duration
from turmericcroft.routing.work import remaining
from turmericcroft.routing.work import statements
from turmericcroft_lab.slopes import crowd_engines
from turmericcroft_lab.slopes import crowd_prompts

_TARGET_S, _TARGET_GAP_S = 0.8, 0.5
_KV_CACHE_TOKENS = 400_000
# Requests of the first seconds find empty servers and don't count.
_WARM_UP_S = 3.0


class Policy(enum.Enum):
    """How daemons choose an engine.

    Attributes:
        DIGESTS: By the earliest first event that digests predict.
        RANDOM: At random.
        WORK: By the remaining work.
    """

    DIGESTS = "digests"
    RANDOM = "random"
    WORK = "work"


@dataclasses.dataclass(frozen=True)
class Load:
    """Size of the fleet and its load.

    Attributes:
        engines: Number of engines.
        daemons: Number of daemons.
        requests_per_s: Requests to all daemons per second.
        uses_relays: Whether digests come by relays, every 0.4 s and one round
            old; otherwise they come directly, every 0.2 s.
        duration_s: Time in which requests arrive.
    """

    engines: int = 70
    daemons: int = 64
    requests_per_s: float = 135.0
    uses_relays: bool = True
    duration_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What became of the requests.

    Attributes:
        late: Part of the answers whose first event was late or that paused.
        late_first_events: Part of the answers whose first event was late.
        paused: Part of the answers that paused too long.
        predicted_s: Mean predicted first event.
        seen_s: Mean first event.
        prefilled_tokens: Mean tokens that an engine prefilled for a request.
        copied_tokens: Mean tokens of prefixes that were copied for a request.
    """

    late: float
    late_first_events: float
    paused: float
    predicted_s: float
    seen_s: float
    prefilled_tokens: float
    copied_tokens: float


class _Kind(enum.Enum):
    ARRIVAL = enum.auto()
    STEP = enum.auto()
    FIRST_EVENT = enum.auto()
    DIGESTS = enum.auto()


# Time, order, kind, place of the engine, and requests.
_Event = tuple[float, int, _Kind, int, Sequence[crowd_engines.Request]]


class _Daemon:
    """One daemon's view."""

    def __init__(self, place: int, seed: int) -> None:
        self.place = place
        self.rng = random.Random(seed)
        self.loads = engines.EngineLoads()
        self.statements = statements.ServerStatements()
        self.cached = engines.CachedPrefixes()
        self.cached.kv_cache_tokens = _KV_CACHE_TOKENS
        self.work = remaining.ServiceWork()
        self.sent_work_s = 0.0
        self.fleet_work_s = 0.0


class Crowd:
    """One run of the simulation.

    Attributes:
        policy: How daemons choose.
        load: Size and load of the fleet.
    """

    def __init__(self, policy: Policy, load: Load, seed: int) -> None:
        self.policy = policy
        self.load = load
        self._rng = random.Random(seed)
        self._servers = tuple(
            directory.Server(
                f"engine-{n:03}", "pool", "127.0.0.1", n, f"z{n % 4}", 64
            )
            for n in range(load.engines)
        )
        self._places = {s.name: n for n, s in enumerate(self._servers)}
        self._engines = [crowd_engines.Engine(self._rng) for _ in self._servers]
        self._daemons = [
            _Daemon(place, seed * 1_000 + place)
            for place in range(load.daemons)
        ]
        self._prompts = crowd_prompts.Prompts(self._rng)
        self._sent = self._copied_tokens = 0
        self._events: list[_Event] = []
        self._order = itertools.count()
        self._ended: list[crowd_engines.Request] = []
        self._told: list[dict[str, tuple[int, int]]] = []
        self._told_work_s: list[float] = []
        self._told_statements: list[statements.ServerStatement] = []
        self._told_at_s = 0.0

    def run(self) -> Outcome:
        """Simulates all requests."""
        load, at_s = self.load, 0.0
        while at_s < load.duration_s:
            at_s += self._rng.expovariate(load.requests_per_s)
            self._plan(at_s, _Kind.ARRIVAL)
        interval_s = 0.4 if load.uses_relays else 0.2
        for number in range(1, int(load.duration_s / interval_s)):
            self._plan(number * interval_s, _Kind.DIGESTS)
        while self._events:
            now_s, _, kind, place, requests = heapq.heappop(self._events)
            match kind:
                case _Kind.ARRIVAL:
                    place = self._send(now_s)
                    if not self._engines[place].is_busy:
                        self._start_step(place, now_s)
                case _Kind.STEP:
                    self._end_step(place, requests, now_s)
                    self._start_step(place, now_s)
                case _Kind.FIRST_EVENT:
                    self._record_first_event(requests[0], now_s)
                case _Kind.DIGESTS:
                    self._exchange(now_s)
        return self._make_outcome()

    def _plan(
        self,
        at_s: float,
        kind: _Kind,
        place: int = 0,
        requests: Sequence[crowd_engines.Request] = (),
    ) -> None:
        entry = at_s, next(self._order), kind, place, requests
        heapq.heappush(self._events, entry)

    def _start_step(self, place: int, now_s: float) -> None:
        engine = self._engines[place]
        took_s, prefilled = engine.step(now_s)
        engine.is_busy = took_s > 0.0
        if engine.is_busy:
            self._plan(now_s + took_s, _Kind.STEP, place, prefilled)

    def _end_step(
        self,
        place: int,
        prefilled: Sequence[crowd_engines.Request],
        now_s: float,
    ) -> None:
        for ended in self._engines[place].end_step(prefilled, now_s):
            loads = self._daemons[ended.daemon].loads
            loads.finish(self._servers[place].name)
            if now_s > _WARM_UP_S:
                self._ended.append(ended)
        for request in prefilled:
            at_s = now_s + duration.FIRST_EVENT_EXTRA_S
            self._plan(at_s, _Kind.FIRST_EVENT, place, [request])

    def _send(self, now_s: float) -> int:
        """Places a new request; returns the engine's place."""
        rng = self._rng
        daemon = rng.choice(self._daemons)
        prompt = self._prompts.draw(rng)
        prefix, prefix_tokens = prompt.prefix, prompt.prefix_tokens
        suffix, output = prompt.suffix_tokens, prompt.output_tokens
        server, expected, predicted_s, copies = self._choose(
            daemon, prompt, now_s
        )
        place = self._places[server.name]
        engine = self._engines[place]
        unread = suffix
        self._sent += 1
        if copies:
            self._copied_tokens += prefix_tokens
        if prefix:
            unread += engine.read_prefix(prefix, prefix_tokens, copies)
        daemon.loads.start(server.name, expected)
        daemon.cached.record(server.incarnation, prefix, prefix_tokens, now_s)
        daemon.sent_work_s += crowd_engines.SPEED.server_time_s(
            expected, output
        )
        prompt_tokens = prefix_tokens + suffix
        daemon.work.record_request(
            duration.prefill_s(
                crowd_engines.SPEED, expected, prompt_tokens - expected
            ),
            prompt_tokens + output,
            prefix,
            now_s,
        )
        engine.queue.append(
            crowd_engines.Request(
                daemon.place,
                place,
                now_s,
                expected,
                predicted_s,
                output,
                unread,
                prompt_tokens - unread,
                unread,
            )
        )
        return place

    def _choose(
        self, daemon: _Daemon, prompt: engines.Prompt, now_s: float
    ) -> tuple[directory.Server, int, float, bool]:
        """Returns server, tokens to prefill, prediction, whether it copies."""
        servers = self._servers
        match self.policy:
            case Policy.RANDOM:
                server = daemon.rng.choice(servers)
                return server, prompt.suffix_tokens, 0.0, True
            case Policy.DIGESTS:
                chosen = engines.choose(
                    prompt,
                    servers,
                    daemon.loads,
                    daemon.cached,
                    now_s,
                    servers,
                    crowd_engines.SPEED,
                )
                assert chosen is not None
                return (
                    chosen.server,
                    chosen.prefill_tokens,
                    chosen.first_event_s,
                    chosen.fetch_from is not None,
                )
            case Policy.WORK:
                placed = self._place(daemon, prompt, now_s)
                return (
                    placed.server,
                    placed.prefill_tokens,
                    placed.first_event_s,
                    placed.fetch_from is not None,
                )

    def _place(
        self, daemon: _Daemon, prompt: engines.Prompt, now_s: float
    ) -> placement.result.Placement:
        work, load = daemon.work, self.load
        table = work.current_table(self._servers, now_s)
        if table is None:
            inputs = remaining.Inputs(
                self._servers,
                daemon.loads,
                daemon.statements,
                daemon.cached,
                crowd_engines.SPEED,
                load.uses_relays,
                load.daemons,
                daemon.place,
                daemon.fleet_work_s,
            )
            table = work.renew(inputs, now_s)
        holders = placement.find_holders(
            table, (), daemon.cached, prompt.prefix, now_s
        )
        placed = placement.choose(
            prediction.Request(
                prompt,
                _TARGET_S,
                _TARGET_GAP_S,
                crowd_engines.TOKENS_PER_EVENT,
                f"z{daemon.place % 4}",
                _KV_CACHE_TOKENS,
            ),
            self._servers,
            table,
            daemon.loads.own,
            holders,
            work.hot_s(prompt.prefix, len(holders), now_s),
            daemon.rng,
        )
        assert placed is not None
        return placed

    def _record_first_event(
        self, request: crowd_engines.Request, now_s: float
    ) -> None:
        engine = self._engines[request.engine]
        daemon = self._daemons[request.daemon]
        server = self._servers[request.engine]
        daemon.loads.finish_prefill(server.name, request.expected_tokens)
        daemon.work.record_first_event(
            request.predicted_s, request.first_event_s
        )
        daemon.statements.record(
            statements.ServerStatement(
                server.name,
                0,
                server.service,
                len(engine.streams),
                len(engine.queue),
                crowd_engines.SLOWDOWN if engine.is_slowed else 1.0,
                0.0,
            ),
            now_s,
        )

    def _exchange(self, now_s: float) -> None:
        """Delivers digests and collects the next ones."""
        if not self.load.uses_relays:
            self._collect(now_s)
        if self._told:
            self._deliver(now_s)
        if self.load.uses_relays:
            self._collect(now_s)

    def _collect(self, now_s: float) -> None:
        self._told_at_s = now_s
        self._told = [
            {n: (w.running, w.prefill_tokens) for n, w in d.loads.own.items()}
            for d in self._daemons
        ]
        self._told_work_s = [d.sent_work_s for d in self._daemons]
        newest: dict[str, statements.ServerStatement] = {}
        for daemon in self._daemons:
            for note in daemon.statements.make_notes(now_s):
                known = newest.get(note.server)
                if known is None or note.age_s < known.age_s:
                    newest[note.server] = note
        self._told_statements = list(newest.values())

    def _deliver(self, now_s: float) -> None:
        totals: dict[str, tuple[int, int]] = {}
        for told in self._told:
            for name, (running, tokens) in told.items():
                known = totals.get(name, (0, 0))
                totals[name] = known[0] + running, known[1] + tokens
        prefixes: dict[engines.Incarnation, dict[int, int]] = {}
        for daemon in self._daemons:
            for server, prefix, tokens in daemon.cached.all_prefixes():
                prefixes.setdefault(server, {})[prefix] = tokens
        late_s = now_s - self._told_at_s
        for place, daemon in enumerate(self._daemons):
            own = self._told[place]
            others = {}
            for name, (running, tokens) in totals.items():
                own_running, own_tokens = own.get(name, (0, 0))
                if running > own_running:
                    others[name] = engines.EngineLoad(
                        running - own_running, tokens - own_tokens
                    )
            daemon.loads.update_peer("relay", others)
            daemon.loads.reported_at_s = now_s
            daemon.fleet_work_s = (
                sum(self._told_work_s) - self._told_work_s[place]
            )
            for note in self._told_statements:
                aged = dataclasses.replace(note, age_s=note.age_s + late_s)
                daemon.statements.record(aged, now_s)
            for server, held in prefixes.items():
                daemon.cached.merge(server, held.items(), now_s)

    def _make_outcome(self) -> Outcome:
        ended = self._ended
        late = [r.first_event_s > _TARGET_S for r in ended]
        return Outcome(
            statistics.mean(
                is_late or request.paused
                for is_late, request in zip(late, ended, strict=True)
            ),
            statistics.mean(late),
            statistics.mean(r.paused for r in ended),
            statistics.mean(r.predicted_s for r in ended),
            statistics.mean(r.first_event_s for r in ended),
            statistics.mean(r.read_tokens for r in ended),
            self._copied_tokens / self._sent,
        )


def compare(load: Load, seeds: int) -> dict[str, Outcome]:
    """Returns the mean outcome of each policy over some seeds."""
    outcomes = {}
    for policy in Policy:
        runs = [
            dataclasses.astuple(Crowd(policy, load, seed).run())
            for seed in range(1, seeds + 1)
        ]
        outcomes[policy.value] = Outcome(
            *(statistics.mean(column) for column in zip(*runs, strict=True))
        )
    return outcomes
