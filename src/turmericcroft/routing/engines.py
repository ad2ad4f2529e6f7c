"""Choice of a model engine: cached prompts against predicted waiting.

Load pattern: long prompts share long prefixes. A server that has read a prefix
before skips it, so requests with the same prefix belong together, unless that
server has so much to read that another one would answer sooner.
"""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Sequence

import xxhash

from turmericcroft.fleet import directory

# Measured on the users' engines, to be replaced by what this daemon observes.
PREFILL_TOKENS_PER_S = 55_000.0
# A step of 16 requests takes about 9 ms.
_SERVER_S_PER_OUTPUT_TOKEN = 0.0006
# Added to the time of a prompt by each request that runs beside it.
_DELAY_PER_RUNNING_REQUEST_S = 0.004
# Preference for the server that other daemons choose first for a prefix that
# none has read; small against the time to read one.
_RANK_DELAY_S = 0.015
# Time to fetch a prefix from another server's memory: setting up, and its bytes
# on the link (35 kB a token at 740 Gbit/s).
_FETCH_S = 0.005
_FETCH_S_PER_TOKEN = 4e-7
# Moving memory is paid for, so a server that holds the prefix is preferred even
# if it answers a little later.
_FETCH_PENALTY_S_PER_TOKEN = 9e-6
# A prefix counts as cached for so long after its last use.
_PREFIX_TTL_S = 60.0
# Part of an engine's memory that cached prefixes are assumed to keep.
_PREFIX_CACHE_SHARE = 0.6


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What a choice depends on.

    Attributes:
        prefix: Hash of the model and of the parts shared with others; 0 if
            nothing is shared.
        prefix_tokens: Tokens of the shared parts.
        suffix_tokens: Tokens that no server has read.
        output_tokens: Expected length of the answer.
    """

    prefix: int
    prefix_tokens: int
    suffix_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True)
class EngineLoad:
    """Work that a daemon has at a server.

    Attributes:
        running: Requests sent and not ended.
        prefill_tokens: Prompt tokens sent whose first event has not come.
    """

    running: int
    prefill_tokens: int


@dataclasses.dataclass(frozen=True)
class EngineChoice:
    """A chosen server.

    Attributes:
        server: The server.
        first_event_s: Predicted time to the first event.
        prefill_tokens: Tokens that it is expected to read.
        fetch_from: Server to fetch the prefix from, if it does not hold it.
    """

    server: directory.Server
    first_event_s: float
    prefill_tokens: int
    fetch_from: directory.Server | None = None


NO_LOAD = EngineLoad(0, 0)
Incarnation = tuple[str, int]


def prefix_hash(model: str, last_part_id: str) -> int:
    """Names the shared prefix of a prompt; all daemons find the same.

    Args:
        model: Name of the model.
        last_part_id: Id of the last shared part; it stands for all before it.
    """
    return xxhash.xxh3_64_intdigest(f"{model}\0{last_part_id}".encode())


class CachedPrefixes:
    """Heads that each server is believed to hold.

    Attributes:
        kv_cache_tokens: Tokens that a server's memory holds.
    """

    def __init__(self) -> None:
        self.kv_cache_tokens = 0
        self._prefixes: dict[
            Incarnation, collections.OrderedDict[int, tuple[int, float]]
        ] = {}

    def record(
        self, server: Incarnation, prefix: int, tokens: int, now_s: float
    ) -> None:
        """Notes that a server reads or uses a prefix."""
        if not prefix:
            return
        held = self._prefixes.setdefault(server, collections.OrderedDict())
        held[prefix] = (tokens, now_s)
        held.move_to_end(prefix)
        budget = self.kv_cache_tokens * _PREFIX_CACHE_SHARE
        total = sum(size for size, _ in held.values())
        while budget and total > budget and len(held) > 1:
            _, (size, _) = held.popitem(last=False)
            total -= size

    def merge(
        self,
        server: Incarnation,
        prefixes: Iterable[tuple[int, int]],
        now_s: float,
    ) -> None:
        """Takes in a server's own list of what it holds.

        The list also names parts that are no prefixes. Those are not used
        again, and being the shorter ones they are dropped first.
        """
        held = self._prefixes.setdefault(server, collections.OrderedDict())
        for prefix, tokens in sorted(prefixes, key=lambda item: item[1]):
            held.setdefault(prefix, (tokens, now_s))

    def all_prefixes(self) -> list[tuple[Incarnation, int, int]]:
        """Lists servers, prefixes and their tokens, for other daemons."""
        return [
            (server, prefix, tokens)
            for server, held in self._prefixes.items()
            for prefix, (tokens, _) in held.items()
        ]

    def holds(self, server: Incarnation, prefix: int, now_s: float) -> bool:
        """Tells whether a server is believed to hold a prefix."""
        held = self._prefixes.get(server)
        found = held.get(prefix) if held is not None else None
        return found is not None and now_s - found[1] < _PREFIX_TTL_S

    def remove_server(self, server: Incarnation) -> None:
        """Drops what a server that ended held."""
        self._prefixes.pop(server, None)


class EngineLoads:
    """Work at all engines, by this daemon and by the others.

    Attributes:
        own: This daemon's work, by server name.
        peers: Other daemons' work, by daemon and server name.
    """

    def __init__(self) -> None:
        self.own: dict[str, EngineLoad] = {}
        self.peers: dict[str, dict[str, EngineLoad]] = {}

    def start(self, server: str, prefill_tokens: int) -> None:
        """Counts a request sent to a server."""
        load = self.own.get(server, NO_LOAD)
        self.own[server] = EngineLoad(
            load.running + 1, load.prefill_tokens + prefill_tokens
        )

    def finish_prefill(self, server: str, prefill_tokens: int) -> None:
        """Notes that a request's prompt has been read."""
        load = self.own.get(server, NO_LOAD)
        self.own[server] = EngineLoad(
            load.running, max(0, load.prefill_tokens - prefill_tokens)
        )

    def finish(self, server: str) -> None:
        """Notes that a request has ended at a server."""
        load = self.own.get(server, NO_LOAD)
        if load.running <= 1:
            self.own.pop(server, None)
        else:
            self.own[server] = EngineLoad(load.running - 1, load.prefill_tokens)

    def update_peer(self, daemon: str, loads: dict[str, EngineLoad]) -> None:
        """Takes in another daemon's work; empty if it ended."""
        if loads:
            self.peers[daemon] = loads
        else:
            self.peers.pop(daemon, None)

    def total(self, server: str) -> EngineLoad:
        """Work of all daemons at a server."""
        total = self.own.get(server, NO_LOAD)
        running, prefill_tokens = total.running, total.prefill_tokens
        for loads in self.peers.values():
            part = loads.get(server)
            if part is not None:
                running += part.running
                prefill_tokens += part.prefill_tokens
        return EngineLoad(running, prefill_tokens)


def server_time_s(prefill_tokens: int, output_tokens: int) -> float:
    """Estimates the time that a request takes of a server."""
    return (
        prefill_tokens / PREFILL_TOKENS_PER_S
        + output_tokens * _SERVER_S_PER_OUTPUT_TOKEN
    )


def choose(
    prompt: Prompt,
    candidates: Sequence[directory.Server],
    loads: EngineLoads,
    cached: CachedPrefixes,
    now_s: float,
    sources: Sequence[directory.Server] = (),
) -> EngineChoice | None:
    """Chooses the engine with the earliest predicted first event.

    Args:
        prompt: What is to be read.
        candidates: Engines that may be used.
        loads: Work at them.
        cached: What they hold.
        now_s: Monotonic time.
        sources: Servers that a prefix can be fetched from, candidates or not.
    """
    holders = [
        server
        for server in sources
        if prompt.prefix
        and cached.holds(server.incarnation, prompt.prefix, now_s)
    ]
    best: EngineChoice | None = None
    best_cost_s = 0.0
    for rank, server in enumerate(_ranked(prompt.prefix, candidates)):
        load = loads.total(server.name)
        is_cached = prompt.prefix != 0 and cached.holds(
            server.incarnation, prompt.prefix, now_s
        )
        source = holders[0] if holders and not is_cached else None
        prefill_tokens = prompt.suffix_tokens
        extra_s = penalty_s = 0.0
        if source is not None:
            extra_s = _FETCH_S + _FETCH_S_PER_TOKEN * prompt.prefix_tokens
            penalty_s = _FETCH_PENALTY_S_PER_TOKEN * prompt.prefix_tokens
        elif not is_cached:
            prefill_tokens += prompt.prefix_tokens
            penalty_s = rank * _RANK_DELAY_S
        first_event_s = (
            (load.prefill_tokens + prefill_tokens) / PREFILL_TOKENS_PER_S
            + load.running * _DELAY_PER_RUNNING_REQUEST_S
            + _slot_wait_s(load, server)
            + extra_s
        )
        cost_s = first_event_s + penalty_s
        if best is None or cost_s < best_cost_s:
            best = EngineChoice(server, first_event_s, prefill_tokens, source)
            best_cost_s = cost_s
    return best


def _ranked(
    prefix: int, candidates: Sequence[directory.Server]
) -> list[directory.Server]:
    return sorted(
        candidates,
        key=lambda server: xxhash.xxh3_64_intdigest(
            f"{prefix}\0{server.name}".encode()
        ),
    )


def _slot_wait_s(load: EngineLoad, server: directory.Server) -> float:
    # A run holds its place for about a second (measured); beyond the places,
    # a request waits for the first one that becomes free.
    excess = load.running + 1 - server.slots
    return max(0.0, excess / server.slots)
