"""Selects a model engine by cached prompt prefixes and predicted latency.

Load pattern: long prompts share long prefixes. A server that has a prefix in
its cache does not prefill it again, so requests with the same prefix go to the
same server, unless so much prefill is queued there that another server would
send the first event sooner.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import xxhash

from turmericcroft.fleet import directory
from turmericcroft.routing import engine_speed

# Added per rank, so that all daemons prefer the same server for a prefix that
# no server has cached; small compared with the time to prefill one.
_RANK_DELAY_S = 0.015
# Time to fetch a prefix from another server's KV cache: the setup, and the
# transfer of its bytes (35 kB per token at 740 Gbit/s).
FETCH_S = 0.005
FETCH_S_PER_TOKEN = 4e-7
# Transfers of KV cache are charged for, so a server that has the prefix cached
# is preferred even if its first event comes slightly later.
FETCH_PENALTY_S_PER_TOKEN = 9e-6
# Time after its last use for which a prefix is assumed to be cached.
PREFIX_TTL_S = 60.0
# Fraction of an engine's KV cache that cached prefixes are assumed to occupy.
_PREFIX_CACHE_SHARE = 0.6


@dataclasses.dataclass(frozen=True)
class Prompt:
    """Properties of a prompt that the selection depends on.

    Attributes:
        prefix: Hash of the model and of the prompt parts that are shared with
            other prompts; 0 if none are.
        prefix_tokens: Tokens of the shared parts.
        suffix_tokens: Tokens after the prefix, which no server has cached.
        output_tokens: Expected number of generated tokens.
    """

    prefix: int
    prefix_tokens: int
    suffix_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True)
class EngineLoad:
    """Load of one engine.

    Attributes:
        running: Requests that were sent and have not ended.
        prefill_tokens: Prompt tokens of requests whose first event has not
            arrived.
    """

    running: int
    prefill_tokens: int


@dataclasses.dataclass(frozen=True)
class EngineChoice:
    """The engine selected for a prompt.

    Attributes:
        server: The selected server.
        first_event_s: Predicted time to the first event.
        prefill_tokens: Tokens that the server is expected to prefill.
        fetch_from: Server to fetch the prefix from, if any.
        load: Load of the server before the request.
    """

    server: directory.Server
    first_event_s: float
    prefill_tokens: int
    fetch_from: directory.Server | None
    load: EngineLoad


NO_LOAD = EngineLoad(0, 0)
Incarnation = tuple[str, int]


def prefix_hash(model: str, last_part_id: str) -> int:
    """Hashes the shared prefix of a prompt, identically in all daemons.

    Args:
        model: Name of the model.
        last_part_id: Id of the last shared part, which also identifies the
            parts before it.
    """
    return xxhash.xxh3_64_intdigest(f"{model}\0{last_part_id}".encode())


class CachedPrefixes:
    """Prefixes that are assumed to be cached by each server.

    Attributes:
        kv_cache_tokens: Tokens that a server's KV cache holds; 0 for no limit.
    """

    def __init__(self) -> None:
        self.kv_cache_tokens = 0
        self._prefixes: dict[
            Incarnation, collections.OrderedDict[int, tuple[int, float]]
        ] = {}

    def record(
        self, server: Incarnation, prefix: int, tokens: int, now_s: float
    ) -> None:
        """Records that a server prefills or reuses a prefix.

        The least recently used prefixes beyond the server's capacity are
        evicted.
        """
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
        """Merges a list of the prefixes that a server has cached.

        An engine's own list also contains parts that are no shared prefixes.
        They are never used and, being shorter, are evicted first.
        """
        held = self._prefixes.setdefault(server, collections.OrderedDict())
        for prefix, tokens in sorted(prefixes, key=lambda item: item[1]):
            held.setdefault(prefix, (tokens, now_s))

    def all_prefixes(self) -> list[tuple[Incarnation, int, int]]:
        """Returns server, hash and tokens of each prefix."""
        return [
            (server, prefix, tokens)
            for server, held in self._prefixes.items()
            for prefix, (tokens, _) in held.items()
        ]

    def held(self, server: Incarnation) -> Mapping[int, tuple[int, float]]:
        """Returns a server's prefixes: tokens and time of last use by hash.

        Later changes show in the result.
        """
        return self._prefixes.setdefault(server, collections.OrderedDict())

    def holds(self, server: Incarnation, prefix: int, now_s: float) -> bool:
        """Returns whether a server is assumed to have a prefix cached."""
        held = self._prefixes.get(server)
        found = held.get(prefix) if held is not None else None
        return found is not None and now_s - found[1] < PREFIX_TTL_S

    def remove_server(self, server: Incarnation) -> None:
        """Removes the prefixes of a server that ended."""
        self._prefixes.pop(server, None)


class EngineLoads:
    """Load that this daemon and the others put on the engines.

    Attributes:
        own: Load from this daemon, by server name.
        peers: Load from other daemons, by daemon and server name.
        reported_at_s: Monotonic time of the last digest or summary.
    """

    def __init__(self) -> None:
        self.own: dict[str, EngineLoad] = {}
        self.peers: dict[str, dict[str, EngineLoad]] = {}
        self.reported_at_s = -math.inf

    def start(self, server: str, prefill_tokens: int) -> None:
        """Counts a request that is sent to a server."""
        load = self.own.get(server, NO_LOAD)
        self.own[server] = EngineLoad(
            load.running + 1, load.prefill_tokens + prefill_tokens
        )

    def finish_prefill(self, server: str, prefill_tokens: int) -> None:
        """Counts the prompt tokens of a request as prefilled."""
        load = self.own.get(server, NO_LOAD)
        self.own[server] = EngineLoad(
            load.running, max(0, load.prefill_tokens - prefill_tokens)
        )

    def finish(self, server: str) -> None:
        """Counts a request that ended on a server."""
        load = self.own.get(server, NO_LOAD)
        if load.running <= 1:
            self.own.pop(server, None)
        else:
            self.own[server] = EngineLoad(load.running - 1, load.prefill_tokens)

    def update_peer(self, daemon: str, loads: dict[str, EngineLoad]) -> None:
        """Replaces another daemon's loads; removes them if none are given."""
        if loads:
            self.peers[daemon] = loads
        else:
            self.peers.pop(daemon, None)

    def total(self, server: str) -> EngineLoad:
        """Returns the load from all daemons on a server."""
        total = self.own.get(server, NO_LOAD)
        running, prefill_tokens = total.running, total.prefill_tokens
        for loads in self.peers.values():
            part = loads.get(server)
            if part is not None:
                running += part.running
                prefill_tokens += part.prefill_tokens
        return EngineLoad(running, prefill_tokens)


def choose(
    prompt: Prompt,
    candidates: Sequence[directory.Server],
    loads: EngineLoads,
    cached: CachedPrefixes,
    now_s: float,
    sources: Sequence[directory.Server] = (),
    speed: engine_speed.EngineSpeed = engine_speed.ASSUMED_SPEED,
) -> EngineChoice | None:
    """Selects the engine with the earliest predicted first event.

    Args:
        prompt: The prompt.
        candidates: Engines that may be selected.
        loads: Load of the engines.
        cached: Prefixes that are cached by the engines.
        now_s: Monotonic time.
        sources: Servers that a prefix can be fetched from; they need not be
            candidates. A server fetches only from its own software version.
        speed: Speed of the engines.

    Returns:
        The selected engine; None if there are no candidates.
    """
    holders: dict[str, directory.Server] = {}
    for holder in sources:
        if prompt.prefix and cached.holds(
            holder.incarnation, prompt.prefix, now_s
        ):
            holders.setdefault(holder.software_version, holder)
    best: EngineChoice | None = None
    best_cost_s = 0.0
    for rank, server in enumerate(_ranked(prompt.prefix, candidates)):
        load = loads.total(server.name)
        is_cached = prompt.prefix != 0 and cached.holds(
            server.incarnation, prompt.prefix, now_s
        )
        source = None
        if not is_cached:
            source = holders.get(server.software_version)
        prefill_tokens = prompt.suffix_tokens
        extra_s = penalty_s = 0.0
        if source is not None:
            extra_s = FETCH_S + FETCH_S_PER_TOKEN * prompt.prefix_tokens
            penalty_s = FETCH_PENALTY_S_PER_TOKEN * prompt.prefix_tokens
        elif not is_cached:
            prefill_tokens += prompt.prefix_tokens
            penalty_s = rank * _RANK_DELAY_S
        first_event_s = (
            (load.prefill_tokens + prefill_tokens) / speed.prefill_tokens_per_s
            + speed.delay_s(load.running)
            + _slot_wait_s(load, server)
            + extra_s
        )
        cost_s = first_event_s + penalty_s
        if best is None or cost_s < best_cost_s:
            best = EngineChoice(
                server, first_event_s, prefill_tokens, source, load
            )
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
    # A request occupies its slot for about a second. A request beyond the
    # slots waits for the first one that becomes free.
    excess = load.running + 1 - server.slots
    return max(0.0, excess / server.slots)
