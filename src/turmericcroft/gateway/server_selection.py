"""Choice of a backend server for each attempt, and load accounting.

Model engines are chosen by cached prompt prefixes and predicted time to the
first event, other servers by load. The load of each attempt is counted at its
server until the attempt ends.
"""

import dataclasses
from collections.abc import Collection

from turmericcroft.duties import scaling
from turmericcroft.fleet import directory
from turmericcroft.gateway import admission
from turmericcroft.gateway import answer
from turmericcroft.gateway import facts
from turmericcroft.gateway import messages
from turmericcroft.gateway import server_statements
from turmericcroft.gateway import state as states
from turmericcroft.routing import brittle
from turmericcroft.routing import engines
from turmericcroft.routing.placement import result

# A replacement for the last server of a service boots within seconds.
_NO_SERVER_RETRY_S = 1.0
_ALL_TRIED_RETRY_S = 0.3
_NO_PROMPT = engines.Prompt(0, 0, 0, 0)
# A daemon that sends nothing to a new version hears of decisions within 2 s.
_ROLLOUT_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True)
class Selection:
    """A server chosen for one attempt.

    Attributes:
        server: The server.
        first_event_s: Predicted time to the first event or the response.
        prefill_tokens: Prompt tokens that the server is expected to prefill.
        suffix_tokens: Prompt tokens after the shared prefix.
        output_tokens: Expected number of generated tokens.
        prefix: Hash of the prompt's shared prefix; 0 if there is none.
        prefix_tokens: Length of the prefix.
        candidates: Number of servers that could have been chosen.
        fetch_from: Server to copy the cached prefix from; None if it is not
            copied.
        load: Load of the engine before the attempt.
        placement: The decision, if the service's VMs are shared.
    """

    server: directory.Server
    first_event_s: float
    prefill_tokens: int
    suffix_tokens: int
    output_tokens: int
    prefix: int
    prefix_tokens: int
    candidates: int
    fetch_from: directory.Server | None = None
    load: engines.EngineLoad = engines.NO_LOAD
    placement: result.Placement | None = None


@dataclasses.dataclass(frozen=True)
class NoServer:
    """Why no server can be chosen, and when the client may retry."""

    reason: str
    retry_after_s: float


class AttemptLoad:
    """Load of one attempt, counted at its server until the attempt ends.

    For model engines it also adds to the demand of the service and records the
    prompt prefix as cached at the server.

    Attributes:
        selection: The server that the attempt is sent to.
    """

    def __init__(
        self,
        state: states.State,
        selection: Selection,
        is_engine: bool,
        now_s: float,
    ) -> None:
        self.state = state
        self.selection = selection
        self._is_engine = is_engine
        self._pending_prefill_tokens = selection.prefill_tokens
        self._ended = False
        server = selection.server
        state.loads.start(server.name)
        if selection.placement is not None:
            state.placer.start(selection.placement, selection.prefix, now_s)
        if is_engine:
            state.engine_loads.start(server.name, self._pending_prefill_tokens)
            demand = state.demand.get(server.service, scaling.DemandTotals())
            speed = state.engine_speed(server.service).speed
            state.demand[server.service] = demand.plus(
                speed.server_time_s(
                    selection.suffix_tokens, selection.output_tokens
                ),
                speed.server_time_s(
                    selection.prefill_tokens, selection.output_tokens
                ),
            )
            state.cached_prefixes.record(
                server.incarnation,
                selection.prefix,
                selection.prefix_tokens,
                now_s,
            )
            if selection.prefix:
                prefix_note = messages.HeadNote(
                    *server.incarnation,
                    selection.prefix,
                    selection.prefix_tokens,
                )
                state.sent_prefixes.append((now_s, prefix_note))

    def finish_prefill(self) -> None:
        """Removes the prompt from the load once the server has prefilled it."""
        if self._is_engine and self._pending_prefill_tokens:
            self.state.engine_loads.finish_prefill(
                self.selection.server.name, self._pending_prefill_tokens
            )
            self._pending_prefill_tokens = 0

    def end(self) -> None:
        """Removes the attempt from the load; later calls do nothing."""
        if self._ended:
            return
        self.finish_prefill()
        self._ended = True
        if not self.state.directory.has_successor(self.selection.server):
            # The load of the process in its place began at zero.
            self.state.loads.finish(self.selection.server.name)
        if self.selection.placement is not None:
            self.state.placer.finish(self.selection.placement)
        if self._is_engine:
            self.state.engine_loads.finish(self.selection.server.name)


def usable_servers(
    state: states.State,
    service: str,
    software_version: str | None,
    new_on_route: str | None = None,
) -> tuple[directory.Server, ...]:
    """Returns the servers that a request may be sent to.

    Args:
        state: The daemon's state.
        service: Name of the service.
        software_version: Version that began the request's stream; None if no
            server has begun it.
        new_on_route: Route of a request that was not sent yet; None otherwise.
    """
    usable = state.limit_versions(
        state.directory.usable(service), service, software_version, new_on_route
    )
    if software_version is None:
        return usable
    return tuple(
        server
        for server in usable
        if server.software_version == software_version
    )


def has_other_server(
    state: states.State,
    service: str,
    tried: Collection[str],
    software_version: str | None,
    now_s: float,
) -> bool:
    """Returns whether a server that was not tried takes requests now."""
    return any(
        server.name not in tried
        and not server_statements.hold_off_s(state, server, now_s)
        and server_statements.has_room(state, server, now_s)
        for server in usable_servers(state, service, software_version)
    )


def select_server(
    state: states.State,
    admitted: admission.Admitted,
    request_facts: facts.RequestFacts,
    excluded: Collection[str],
    software_version: str | None,
    now_s: float,
    target: directory.Server | None = None,
) -> Selection | NoServer:
    """Chooses a server for the next attempt of a request.

    Args:
        state: The daemon's state.
        admitted: How the request was admitted.
        request_facts: Information from its headers.
        excluded: Names of servers that were tried already.
        software_version: Version that began its stream; None before.
        now_s: Monotonic time.
        target: The server to use if it is already decided, as after a KV
            cache migration; None to choose one.
    """
    service, route = admitted.service.name, admitted.route.name
    usable = usable_servers(
        state, service, software_version, None if excluded else route
    )
    untried = [server for server in usable if server.name not in excluded]
    if target is not None:
        # Without this request the migrated execution would be lost, so it does
        # not wait for this daemon's share of a limit.
        untried = [target]
        pauses_s = [state.loads.paused_s(target.name, now_s)]
    else:
        pauses_s = [
            server_statements.hold_off_s(state, server, now_s)
            for server in untried
        ]
    if untried and all(pauses_s):
        return NoServer("all_servers_paused", min(pauses_s))
    untried = [
        server
        for server, pause_s in zip(untried, pauses_s, strict=True)
        if not pause_s
    ]
    if target is None and untried:
        untried = [
            s for s in untried if server_statements.has_room(state, s, now_s)
        ]
        if not untried:
            return NoServer("all_servers_full", brittle.FULL_RETRY_S)
    # Servers of zones that can't be reached, and ejected ones, are chosen only
    # if no other server is left.
    reached = [
        server
        for server in untried
        if not state.zones.is_avoided(server.availability_zone, now_s)
    ] or untried
    candidates = [
        server
        for server in reached
        if not state.loads.is_ejected(server.name, now_s)
    ] or reached
    if not candidates:
        if usable:
            return NoServer("all_servers_tried", _ALL_TRIED_RETRY_S)
        reason = "no_server" if software_version is None else "no_such_version"
        if software_version is None and state.directory.usable(service):
            return NoServer("rollout", _ROLLOUT_RETRY_S)
        return NoServer(reason, _NO_SERVER_RETRY_S)
    if (
        admitted.service.engine is not None
        and request_facts.generation is not None
    ):
        return _select_engine(
            state, admitted, request_facts.generation, candidates, now_s
        )
    if state.statements.is_shared(admitted.service.name):
        placed = state.placer.place_plain(
            admitted.route.name, candidates, now_s
        )
        return _make_selection(_NO_PROMPT, placed, len(candidates), placed)
    server = _select_least_loaded(state, candidates, now_s)
    wait_s = state.loads.predicted_wait_s(server.name, now_s)
    return Selection(server, wait_s, 0, 0, 0, 0, 0, len(candidates))


def record_response(
    state: states.State,
    server: directory.Server,
    outcome: answer.CompleteResponse,
    took_s: float,
    now_s: float,
) -> None:
    """Updates load and health of a server from a complete response."""
    load = outcome.facts.load
    if load is not None:
        state.loads.record_report(
            server.name, load.running + load.waiting, now_s
        )
    if outcome.facts.proves_not_run:
        return
    if outcome.status >= 500:
        state.record_failure(server, f"status {outcome.status}", now_s)
    else:
        state.loads.record_success(server.name, took_s)


def split_prompt(generation: facts.Generation) -> engines.Prompt:
    """Splits a prompt into the shared prefix and the remaining suffix."""
    shared = generation.parts[:-1]
    prefix_tokens = sum(part.tokens for part in shared)
    prefix = 0
    if shared:
        prefix = engines.prefix_hash(generation.model, shared[-1].content_id)
    return engines.Prompt(
        prefix=prefix,
        prefix_tokens=prefix_tokens,
        suffix_tokens=max(0, generation.prompt_tokens - prefix_tokens),
        output_tokens=min(
            generation.expected_output_tokens or generation.max_output_tokens,
            generation.max_output_tokens,
        ),
    )


def _select_engine(
    state: states.State,
    admitted: admission.Admitted,
    generation: facts.Generation,
    candidates: list[directory.Server],
    now_s: float,
) -> Selection:
    prompt = split_prompt(generation)
    if state.statements.is_shared(admitted.service.name):
        assert admitted.service.engine is not None
        placed = state.placer.place_prompt(
            prompt,
            admitted.route,
            admitted.service.engine,
            generation.max_output_tokens,
            candidates,
            now_s,
        )
        return _make_selection(prompt, placed, len(candidates), placed)
    chosen = engines.choose(
        prompt,
        candidates,
        state.engine_loads,
        state.cached_prefixes,
        now_s,
        # Servers that a cached prefix can be copied from, also leaving ones.
        [
            record.server
            for record in state.directory.records.values()
            if record.state is not directory.ServerState.REJECTED
            and not state.loads.is_ejected(record.server.name, now_s)
            and now_s < record.leaves_at_s
            and not state.zones.is_avoided(
                record.server.availability_zone, now_s
            )
        ],
        state.engine_speed(candidates[0].service).speed,
    )
    assert chosen is not None
    return _make_selection(prompt, chosen, len(candidates))


def _make_selection(
    prompt: engines.Prompt,
    chosen: engines.EngineChoice | result.Placement,
    candidates: int,
    placement: result.Placement | None = None,
) -> Selection:
    return Selection(
        server=chosen.server,
        first_event_s=chosen.first_event_s,
        prefill_tokens=chosen.prefill_tokens,
        suffix_tokens=prompt.suffix_tokens,
        output_tokens=(placement or prompt).output_tokens,
        prefix=prompt.prefix,
        prefix_tokens=prompt.prefix_tokens,
        candidates=candidates,
        fetch_from=chosen.fetch_from,
        load=chosen.load,
        placement=placement,
    )


def _select_least_loaded(
    state: states.State, candidates: list[directory.Server], now_s: float
) -> directory.Server:
    zone = state.settings.daemon.availability_zone

    def sort_key(server: directory.Server) -> tuple[float, bool]:
        load = state.loads.estimate(server.name, now_s) / server.slots
        return round(load, 1), server.availability_zone != zone

    return min(candidates, key=sort_key)
