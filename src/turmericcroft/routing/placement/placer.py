"""One daemon's placement of requests on services whose VMs are shared.

Holds what the daemon learned, renews the estimates of the servers' work when
they are old, and passes them to the decisions, which keep no state.
"""

import copy
import dataclasses
import random
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from turmericcroft.fleet import directory as fleet_directory
from turmericcroft.routing import declaration
from turmericcroft.routing import engine_speed
from turmericcroft.routing import engines
from turmericcroft.routing import loadview
from turmericcroft.routing import zones
from turmericcroft.routing.placement import engines as engine_placement
from turmericcroft.routing.placement import plain
from turmericcroft.routing.placement import prediction
from turmericcroft.routing.placement import result
from turmericcroft.routing.work import duration
from turmericcroft.routing.work import expected
from turmericcroft.routing.work import remaining
from turmericcroft.routing.work import statements as load_statements
from turmericcroft.routing.work import table as tables

# Weight of a request in the mean time of requests to a plain service.
_MEAN_WEIGHT = 0.05
# Expected work below this is what rounding leaves of requests that ended.
_NO_WORK_S = 1e-6
# A response states its server's load with its headers, which precede the first
# event by no more than this.
_SPEED_SHOWN_S = 0.3


class Demand(typing.Protocol):
    """Work that a daemon sent to the servers of a service."""

    @property
    def actual_s(self) -> float:
        """Server time of all its requests so far."""


class Known(typing.Protocol):
    """What a daemon knows of the servers; it is updated elsewhere."""

    directory: fleet_directory.Directory
    loads: loadview.LoadView
    engine_loads: engines.EngineLoads
    cached_prefixes: engines.CachedPrefixes
    statements: load_statements.ServerStatements
    zones: zones.ZoneReachability
    daemons: int
    live_daemons: tuple[str, ...]
    uses_relays: bool

    @property
    def peer_demand(self) -> Mapping[str, Mapping[str, Demand]]:
        """Work that other daemons sent, by daemon and service."""

    def engine_speed(self, service: str) -> engine_speed.SpeedEstimate:
        """Returns the speed estimate of a service's engines."""


class Placer:
    """Places requests and learns from how they went.

    Attributes:
        known: What the daemon knows of the servers.
        plain_work_s: Expected work of this daemon's requests in flight, by
            plain server.
    """

    def __init__(
        self, known: Known, name: str, zone: str, rng: random.Random
    ) -> None:
        self.known = known
        self._name = name
        self._zone = zone
        self._rng = rng
        self._work: dict[str, remaining.ServiceWork] = {}
        self._outputs = expected.ExpectedOutput()
        self._plain_times = expected.PlainTimes()
        # Mean time of this daemon's requests to a plain service.
        self._mean_plain_s: dict[str, float] = {}
        self.plain_work_s: dict[str, float] = {}

    def copy(self, known: Known) -> "Placer":
        """Returns a copy that places alike and leaves this one unchanged.

        What is learned from requests that were sent is shared with it.
        """
        other = copy.copy(self)
        other.known = known
        other._rng = copy.deepcopy(self._rng)
        other._work = {name: copy.copy(w) for name, w in self._work.items()}
        other._mean_plain_s = dict(self._mean_plain_s)
        return other

    def work(self, service: str) -> remaining.ServiceWork:
        """Finds or creates the memory on a service."""
        return self._work.setdefault(service, remaining.ServiceWork())

    def place_prompt(
        self,
        prompt: engines.Prompt,
        route: declaration.Route,
        engine: declaration.Engine,
        max_output_tokens: int,
        candidates: Sequence[fleet_directory.Server],
        now_s: float,
    ) -> result.Placement:
        """Places a prompt on one of the engines of a service.

        Args:
            prompt: The prompt; its output is what the client declares.
            route: Route of the request.
            engine: Capabilities of the engines.
            max_output_tokens: Most tokens to generate.
            candidates: Engines that may be chosen, at least one.
            now_s: Monotonic time.
        """
        declared = expected.Declared(
            route.name,
            prompt.prefix_tokens + prompt.suffix_tokens,
            prompt.output_tokens,
            max_output_tokens,
        )
        request = prediction.Request(
            dataclasses.replace(
                prompt, output_tokens=self._outputs.expect(declared)
            ),
            route.target_latency_s,
            route.target_event_gap_s,
            engine.tokens_per_event,
            self._zone,
            engine.kv_cache_tokens,
            declared,
        )
        known = self.known
        table = self._table(candidates, now_s)
        prefix = request.prompt.prefix
        holders = []
        if prefix:
            leaving = [
                record.server
                for record in known.directory.leaving()
                if now_s < record.leaves_at_s
            ]
            holders = [
                holder
                for holder in engine_placement.find_holders(
                    table, leaving, known.cached_prefixes, prefix, now_s
                )
                if not known.loads.is_ejected(holder.name, now_s)
                and not known.zones.is_avoided(holder.availability_zone, now_s)
            ]
        placement = engine_placement.choose(
            request,
            candidates,
            table,
            known.engine_loads.own,
            holders,
            self.work(candidates[0].service).hot_s(prefix, len(holders), now_s),
            self._rng,
        )
        assert placement is not None
        return placement

    def expected_plain_s(self, route: str) -> float:
        """Returns the time that a request to a plain service takes."""
        return self._plain_times.expect(route)

    def place_plain(
        self,
        route: str,
        candidates: Sequence[fleet_directory.Server],
        now_s: float,
    ) -> result.Placement:
        """Places a request on one of the servers of a plain service."""
        work_s = self._plain_times.expect(route)
        service = candidates[0].service
        mean_s = self._mean_plain_s.get(service, work_s)
        mean_s += _MEAN_WEIGHT * (work_s - mean_s)
        self._mean_plain_s[service] = mean_s
        placement = plain.choose(
            plain.Request(work_s, mean_s, self._zone),
            candidates,
            self._table(candidates, now_s),
            self.plain_work_s,
            self._rng,
        )
        assert placement is not None
        return dataclasses.replace(placement, route=route, work_s=work_s)

    def start(
        self, placement: result.Placement, prefix: int, now_s: float
    ) -> None:
        """Counts a request that is sent, and learns what requests cost."""
        server, declared = placement.server, placement.declared
        if declared is None:
            known_s = self.plain_work_s.get(server.name, 0.0)
            self.plain_work_s[server.name] = known_s + placement.work_s
            return
        prefilled, tokens = placement.prefill_tokens, declared.prompt_tokens
        speed = self.known.engine_speed(server.service).speed
        self.work(server.service).record_request(
            duration.prefill_s(speed, prefilled, tokens - prefilled),
            tokens + placement.output_tokens,
            prefix,
            now_s,
        )

    def finish(self, placement: result.Placement) -> None:
        """Counts a request as ended."""
        name = placement.server.name
        left_s = self.plain_work_s.pop(name, 0.0) - placement.work_s
        if left_s > _NO_WORK_S:
            self.plain_work_s[name] = left_s

    def record_first_event(
        self, placement: result.Placement | None, seen_s: float
    ) -> None:
        """Learns from when a request's first event came after its sending."""
        if placement is not None:
            self.work(placement.server.service).record_first_event(
                placement.first_event_s, seen_s
            )

    def record_output(
        self, placement: result.Placement | None, output_tokens: int
    ) -> None:
        """Learns from a generation that ended."""
        if placement is not None and placement.declared is not None:
            self._outputs.record(placement.declared, output_tokens)

    def record_response(
        self, placement: result.Placement | None, took_s: float
    ) -> None:
        """Learns from a plain request that was answered."""
        if placement is not None and placement.declared is None:
            self._plain_times.record(placement.route, took_s)

    def shows_speed(
        self, placement: result.Placement | None, now_s: float
    ) -> bool:
        """Returns whether a first event that comes now shows an engine's speed.

        It does not if the server states that it is slowed or that others wait,
        which digests may not show.
        """
        if placement is None:
            return True
        name = placement.server.name
        stated = self.known.statements.latest(name, now_s)
        return stated is None or (
            stated.slowdown < load_statements.SLOWED_FROM
            and not stated.waiting
            and stated.age_s < _SPEED_SHOWN_S
        )

    def _table(
        self,
        candidates: Sequence[fleet_directory.Server],
        now_s: float,
    ) -> tables.WorkTable:
        """Returns the remaining work of a service's servers, renewed if old."""
        known, service = self.known, candidates[0].service
        work = self.work(service)
        servers = known.directory.usable(service)
        if len(candidates) == 1 and candidates[0] not in servers:
            # A migrated execution continues on a server that is decided.
            servers = (*servers, *candidates)
        table = work.current_table(servers, now_s)
        if table is not None:
            return table
        return work.renew(
            remaining.Inputs(
                servers,
                known.engine_loads,
                known.statements,
                known.cached_prefixes,
                known.engine_speed(service).speed,
                known.uses_relays,
                known.daemons,
                sorted({*known.live_daemons, self._name}).index(self._name),
                sum(
                    demand[service].actual_s
                    for demand in known.peer_demand.values()
                    if service in demand
                ),
            ),
            now_s,
        )
