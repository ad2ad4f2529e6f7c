"""Choice of a model engine: cached prompts against predicted waiting.

Load pattern: long prompts share long heads. A server that has read a head
before skips it, so requests with the same head belong together, unless that
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
_DELAY_PER_RUN_S = 0.004
# Preference for the server that other daemons choose first for a head that
# none has read; small against the time to read one.
_RANK_DELAY_S = 0.015
# Time to fetch a head from another server's memory: setting up, and its bytes
# on the link (35 kB a token at 740 Gbit/s).
_FETCH_S = 0.005
_FETCH_S_PER_TOKEN = 4e-7
# Moving memory is paid for, so a server that holds the head is preferred even
# if it answers a little later.
_FETCH_RELUCTANCE_S_PER_TOKEN = 9e-6
# A head counts as cached for so long after its last use.
_CACHED_FOR_S = 60.0
# Part of an engine's memory that cached heads are assumed to keep.
_CACHE_SHARE = 0.6


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What a choice depends on.

    Attributes:
        head: Hash of the model and of the parts shared with others; 0 if
            nothing is shared.
        head_tokens: Tokens of the shared parts.
        own_tokens: Tokens that no server has read.
        output_tokens: Expected length of the answer.
    """

    head: int
    head_tokens: int
    own_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True)
class Work:
    """Work that a daemon has at a server.

    Attributes:
        runs: Requests sent and not ended.
        unread_tokens: Prompt tokens sent whose first event has not come.
    """

    runs: int
    unread_tokens: int


@dataclasses.dataclass(frozen=True)
class Pick:
    """A chosen server.

    Attributes:
        server: The server.
        first_event_s: Predicted time to the first event.
        unread_tokens: Tokens that it is expected to read.
        fetch_from: Server to fetch the head from, if it does not hold it.
    """

    server: directory.Server
    first_event_s: float
    unread_tokens: int
    fetch_from: directory.Server | None = None


NO_WORK = Work(0, 0)
Incarnation = tuple[str, int]


def head_key(model: str, last_part_id: str) -> int:
    """Names the shared head of a prompt; all daemons find the same.

    Args:
        model: Name of the model.
        last_part_id: Id of the last shared part; it stands for all before it.
    """
    return xxhash.xxh3_64_intdigest(f"{model}\0{last_part_id}".encode())


class CachedHeads:
    """Heads that each server is believed to hold.

    Attributes:
        memory_tokens: Tokens that a server's memory holds.
    """

    def __init__(self) -> None:
        self.memory_tokens = 0
        self._heads: dict[
            Incarnation, collections.OrderedDict[int, tuple[int, float]]
        ] = {}

    def note(
        self, server: Incarnation, head: int, tokens: int, now_s: float
    ) -> None:
        """Notes that a server reads or uses a head."""
        if not head:
            return
        held = self._heads.setdefault(server, collections.OrderedDict())
        held[head] = (tokens, now_s)
        held.move_to_end(head)
        room = self.memory_tokens * _CACHE_SHARE
        total = sum(size for size, _ in held.values())
        while room and total > room and len(held) > 1:
            _, (size, _) = held.popitem(last=False)
            total -= size

    def load(
        self,
        server: Incarnation,
        heads: Iterable[tuple[int, int]],
        now_s: float,
    ) -> None:
        """Takes in a server's own list of what it holds.

        The list also names parts that are no heads. Those are not used again,
        and being the shorter ones they are dropped first.
        """
        held = self._heads.setdefault(server, collections.OrderedDict())
        for head, tokens in sorted(heads, key=lambda item: item[1]):
            held.setdefault(head, (tokens, now_s))

    def all_heads(self) -> list[tuple[Incarnation, int, int]]:
        """Lists servers, heads and their tokens, for other daemons."""
        return [
            (server, head, tokens)
            for server, held in self._heads.items()
            for head, (tokens, _) in held.items()
        ]

    def holds(self, server: Incarnation, head: int, now_s: float) -> bool:
        """Tells whether a server is believed to hold a head."""
        held = self._heads.get(server)
        found = held.get(head) if held is not None else None
        return found is not None and now_s - found[1] < _CACHED_FOR_S

    def forget(self, server: Incarnation) -> None:
        """Drops what a server that ended held."""
        self._heads.pop(server, None)


class EngineLoads:
    """Work at all engines, by this daemon and by the others.

    Attributes:
        own: This daemon's work, by server name.
        peers: Other daemons' work, by daemon and server name.
    """

    def __init__(self) -> None:
        self.own: dict[str, Work] = {}
        self.peers: dict[str, dict[str, Work]] = {}

    def start(self, server: str, unread_tokens: int) -> None:
        """Counts a request sent to a server."""
        work = self.own.get(server, NO_WORK)
        self.own[server] = Work(
            work.runs + 1, work.unread_tokens + unread_tokens
        )

    def read(self, server: str, unread_tokens: int) -> None:
        """Notes that a request's prompt has been read."""
        work = self.own.get(server, NO_WORK)
        self.own[server] = Work(
            work.runs, max(0, work.unread_tokens - unread_tokens)
        )

    def finish(self, server: str) -> None:
        """Notes that a request has ended at a server."""
        work = self.own.get(server, NO_WORK)
        if work.runs <= 1:
            self.own.pop(server, None)
        else:
            self.own[server] = Work(work.runs - 1, work.unread_tokens)

    def hear(self, daemon: str, work: dict[str, Work]) -> None:
        """Takes in another daemon's work; empty if it ended."""
        if work:
            self.peers[daemon] = work
        else:
            self.peers.pop(daemon, None)

    def total(self, server: str) -> Work:
        """Work of all daemons at a server."""
        total = self.own.get(server, NO_WORK)
        runs, unread = total.runs, total.unread_tokens
        for work in self.peers.values():
            part = work.get(server)
            if part is not None:
                runs += part.runs
                unread += part.unread_tokens
        return Work(runs, unread)


def server_time_s(unread_tokens: int, output_tokens: int) -> float:
    """Estimates the time that a request takes of a server."""
    return (
        unread_tokens / PREFILL_TOKENS_PER_S
        + output_tokens * _SERVER_S_PER_OUTPUT_TOKEN
    )


def choose(
    prompt: Prompt,
    candidates: Sequence[directory.Server],
    loads: EngineLoads,
    cached: CachedHeads,
    now_s: float,
    sources: Sequence[directory.Server] = (),
) -> Pick | None:
    """Chooses the engine with the earliest predicted first event.

    Args:
        prompt: What is to be read.
        candidates: Engines that may be used.
        loads: Work at them.
        cached: What they hold.
        now_s: Monotonic time.
        sources: Servers that a head can be fetched from, candidates or not.
    """
    holders = [
        server
        for server in sources
        if prompt.head and cached.holds(server.incarnation, prompt.head, now_s)
    ]
    best: Pick | None = None
    best_cost_s = 0.0
    for rank, server in enumerate(_ranked(prompt.head, candidates)):
        work = loads.total(server.name)
        is_cached = prompt.head != 0 and cached.holds(
            server.incarnation, prompt.head, now_s
        )
        source = holders[0] if holders and not is_cached else None
        unread = prompt.own_tokens
        extra_s = reluctance_s = 0.0
        if source is not None:
            extra_s = _FETCH_S + _FETCH_S_PER_TOKEN * prompt.head_tokens
            reluctance_s = _FETCH_RELUCTANCE_S_PER_TOKEN * prompt.head_tokens
        elif not is_cached:
            unread += prompt.head_tokens
            reluctance_s = rank * _RANK_DELAY_S
        first_event_s = (
            (work.unread_tokens + unread) / PREFILL_TOKENS_PER_S
            + work.runs * _DELAY_PER_RUN_S
            + _slot_wait_s(work, server)
            + extra_s
        )
        cost_s = first_event_s + reluctance_s
        if best is None or cost_s < best_cost_s:
            best = Pick(server, first_event_s, unread, source)
            best_cost_s = cost_s
    return best


def _ranked(
    head: int, candidates: Sequence[directory.Server]
) -> list[directory.Server]:
    return sorted(
        candidates,
        key=lambda server: xxhash.xxh3_64_intdigest(
            f"{head}\0{server.name}".encode()
        ),
    )


def _slot_wait_s(work: Work, server: directory.Server) -> float:
    # A run holds its place for about a second (measured); beyond the places,
    # a request waits for the first one that becomes free.
    beyond = work.runs + 1 - server.slots
    return max(0.0, beyond / server.slots)
