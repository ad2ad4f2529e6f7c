"""Choice of a server for one send, and what the send teaches."""

import dataclasses
from collections.abc import Collection

from turmericcroft.duties import scaling
from turmericcroft.fleet import directory
from turmericcroft.gateway import admission
from turmericcroft.gateway import answer
from turmericcroft.gateway import facts
from turmericcroft.gateway import messages
from turmericcroft.gateway import state as states
from turmericcroft.routing import engines

# A replacement for the last server of a service boots within seconds.
_NO_SERVER_RETRY_S = 1.0
_ALL_TRIED_RETRY_S = 0.3


@dataclasses.dataclass(frozen=True)
class Pick:
    """A server chosen for one send.

    Attributes:
        server: The server.
        first_event_s: Predicted time to the first event or the answer.
        unread_tokens: Prompt tokens that the server is expected to read.
        own_tokens: Prompt tokens besides the head.
        output_tokens: Expected length of the answer.
        head: Hash of the shared head of the prompt; 0 if there is none.
        head_tokens: Its length.
        candidates: Servers that could have been chosen.
        fetch_from: Server to fetch the head from, if any.
    """

    server: directory.Server
    first_event_s: float
    unread_tokens: int
    own_tokens: int
    output_tokens: int
    head: int
    head_tokens: int
    candidates: int
    fetch_from: directory.Server | None = None


@dataclasses.dataclass(frozen=True)
class NoServer:
    """No server can take the request."""

    reason: str
    retry_after_s: float


class Slip:
    """One send, counted at its server until it ends.

    Attributes:
        pick: What was chosen.
    """

    def __init__(
        self, state: states.State, pick: Pick, is_engine: bool, now_s: float
    ) -> None:
        self.state = state
        self.pick = pick
        self._is_engine = is_engine
        self._unread = pick.unread_tokens
        self._ended = False
        server = pick.server
        state.loads.start(server.name)
        if is_engine:
            state.engine_loads.start(server.name, self._unread)
            asked = state.demand.get(server.service, scaling.Asked())
            state.demand[server.service] = asked.plus(
                engines.server_time_s(pick.own_tokens, pick.output_tokens),
                engines.server_time_s(pick.unread_tokens, pick.output_tokens),
            )
            state.cached_prefixes.note(
                server.incarnation, pick.head, pick.head_tokens, now_s
            )
            if pick.head:
                note = messages.HeadNote(
                    *server.incarnation, pick.head, pick.head_tokens
                )
                state.sent_prefixes.append((now_s, note))

    def read(self) -> None:
        """The prompt has been read."""
        if self._is_engine and self._unread:
            self.state.engine_loads.read(self.pick.server.name, self._unread)
            self._unread = 0

    def end(self) -> None:
        """The send ended, in whatever way."""
        if self._ended:
            return
        self.read()
        self._ended = True
        self.state.loads.finish(self.pick.server.name)
        if self._is_engine:
            self.state.engine_loads.finish(self.pick.server.name)


def pick(
    state: states.State,
    admitted: admission.Admitted,
    found: facts.RequestFacts,
    excluded: Collection[str],
    now_s: float,
    target: directory.Server | None = None,
) -> Pick | NoServer:
    """Chooses a server for a request.

    Args:
        state: What this daemon knows.
        admitted: How the request was admitted.
        found: What its headers say.
        excluded: Servers that were tried already.
        now_s: Monotonic time.
        target: The server to use, if that is decided.
    """
    known = state.directory.usable(admitted.service.name)
    untried = [server for server in known if server.name not in excluded]
    candidates = [
        server
        for server in untried
        if not state.loads.is_ejected(server.name, now_s)
    ] or untried
    if target is not None:
        candidates = [target]
    if not candidates:
        if known:
            return NoServer("all_servers_tried", _ALL_TRIED_RETRY_S)
        return NoServer("no_server", _NO_SERVER_RETRY_S)
    if admitted.service.engine is not None and found.generation is not None:
        return _pick_engine(state, found.generation, candidates, now_s)
    server = _pick_plain(state, candidates, now_s)
    wait_s = state.loads.predicted_wait_s(server.name, now_s)
    return Pick(server, wait_s, 0, 0, 0, 0, 0, len(candidates))


def learn(
    state: states.State,
    server: directory.Server,
    outcome: answer.Whole,
    took_s: float,
    now_s: float,
) -> None:
    """Takes in a complete answer."""
    load = outcome.facts.load
    if load is not None:
        state.loads.report(server.name, load.running + load.waiting, now_s)
    if outcome.facts.proves_not_run:
        return
    if outcome.status >= 500:
        state.record_failure(server, f"status {outcome.status}", now_s)
    else:
        state.loads.succeed(server.name, took_s)


def prompt_of(generation: facts.Generation) -> engines.Prompt:
    """Splits a prompt into its shared head and its own rest."""
    shared = generation.parts[:-1]
    head_tokens = sum(part.tokens for part in shared)
    head = 0
    if shared:
        head = engines.head_key(generation.model, shared[-1].content_id)
    return engines.Prompt(
        head=head,
        head_tokens=head_tokens,
        own_tokens=max(0, generation.prompt_tokens - head_tokens),
        output_tokens=min(
            generation.expected_output_tokens or generation.max_output_tokens,
            generation.max_output_tokens,
        ),
    )


def _pick_engine(
    state: states.State,
    generation: facts.Generation,
    candidates: list[directory.Server],
    now_s: float,
) -> Pick:
    prompt = prompt_of(generation)
    chosen = engines.choose(
        prompt,
        candidates,
        state.engine_loads,
        state.cached_prefixes,
        now_s,
        [
            record.server
            for record in state.directory.records.values()
            if record.standing is not directory.Standing.REJECTED
            and not state.loads.is_ejected(record.server.name, now_s)
            and now_s < record.leaves_at_s
        ],
    )
    assert chosen is not None
    return Pick(
        server=chosen.server,
        first_event_s=chosen.first_event_s,
        unread_tokens=chosen.unread_tokens,
        own_tokens=prompt.own_tokens,
        output_tokens=prompt.output_tokens,
        head=prompt.head,
        head_tokens=prompt.head_tokens,
        candidates=len(candidates),
        fetch_from=chosen.fetch_from,
    )


def _pick_plain(
    state: states.State, candidates: list[directory.Server], now_s: float
) -> directory.Server:
    zone = state.settings.daemon.availability_zone

    def cost(server: directory.Server) -> tuple[float, bool]:
        load = state.loads.estimate(server.name, now_s) / server.slots
        return round(load, 1), server.availability_zone != zone

    return min(candidates, key=cost)
