"""Runs of an emulated engine, as their events name them, and their KV caches.

Each event names its run, so that a client can tell the events of two runs
apart. A run keeps its name when its KV cache moves to another server.
"""

import asyncio
import dataclasses
import itertools
import os

# Part of the paths of streams that last seconds, whatever the engine.
LONG_PATH = "/long-"
_LONG_EVENT_COUNT = 25
_LONG_EVENT_INTERVAL_S = 0.08

_run_numbers = itertools.count(1)


@dataclasses.dataclass
class Execution:
    """A stream that an engine is generating.

    Attributes:
        run: Name of the run.
        events: Position of the last event that was sent.
        stopped: Set when the execution is migrated and ends here.
        handle: Handle of its KV cache; empty before the first move.
        copied_events: Events that its latest copy holds.
    """

    run: str
    events: int
    stopped: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    handle: str = ""
    copied_events: int = 0


@dataclasses.dataclass(frozen=True)
class Memory:
    """KV cache of a run that stopped here, or that was copied from elsewhere.

    Attributes:
        run: Name of the run.
        is_copy: Whether it was copied from another server.
        other_end: Address of the server that it was copied to or from.
        expires_at_s: Monotonic time of its end.
        last_event: Position of the last event that the run made; None while it
            makes more.
        is_whole: Whether a request can go on from it: the transfer has ended,
            and the run has stopped if it is the run's own server.
    """

    run: str
    is_copy: bool
    other_end: str
    expires_at_s: float
    last_event: int | None = None
    is_whole: bool = True

    def can_follow(self, position: int) -> bool:
        """Whether a request may go on after an event."""
        return self.is_whole and (
            self.last_event is None or position <= self.last_event
        )


class Memories:
    """KV caches that a server keeps for requests that go on from them.

    They are found by the source's address and a handle that the source chose.
    A handle says nothing about the request, and is chosen again after a crash.

    Attributes:
        used: Locations of those that were used or freed since the start.
        taken: Locations of those that a request went on from, here or at the
            other end.
        incarnation: Number of times that everything was dropped.
    """

    def __init__(self) -> None:
        self.used: set[str] = set()
        self.taken: set[str] = set()
        self.incarnation = 0
        self._memories: dict[str, Memory] = {}
        self._handles = itertools.count(1)

    def make_handle(self) -> str:
        """Returns a handle that was not used since the start."""
        return f"h-{next(self._handles)}"

    def keep(self, location: str, memory: Memory) -> None:
        """Keeps a KV cache until it is taken or dropped, or expires."""
        self._memories[location] = memory
        self.taken.discard(location)

    def find(self, location: str, now_s: float) -> Memory | None:
        """Returns a KV cache, unless it has expired."""
        memory = self._memories.get(location)
        if memory is None or memory.expires_at_s < now_s:
            return None
        return memory

    def drop(self, location: str, is_taken: bool) -> None:
        """Drops a KV cache that is freed, or that a request goes on from."""
        del self._memories[location]
        self.used.add(location)
        if is_taken:
            self.taken.add(location)

    def count_copies(self, now_s: float) -> int:
        """Counts the copies that have not expired."""
        return sum(
            memory.is_copy and memory.expires_at_s >= now_s
            for memory in self._memories.values()
        )

    def clear(self) -> None:
        """Drops everything, as the end of the process does."""
        self.incarnation += 1
        self.used.clear()
        self.taken.clear()
        self._memories.clear()
        self._handles = itertools.count(1)


def find_count(target: str, usual: int) -> int:
    """Returns how many events the stream of a path has."""
    return _LONG_EVENT_COUNT if LONG_PATH in target else usual


def find_interval_s(target: str, usual_s: float) -> float:
    """Returns the time between the events of the stream of a path."""
    return _LONG_EVENT_INTERVAL_S if LONG_PATH in target else usual_s


def name_run(request_id: str) -> str:
    """Returns the name of a new run, which no other process uses."""
    return f"{request_id}#{os.getpid()}-{next(_run_numbers)}"


def encode_event(sender: str, run: str, place: str, version: str) -> bytes:
    """Encodes an event of a stream.

    Args:
        sender: Id of the server that sends it, and its process.
        run: Name of the run.
        place: Positions of the event and of the run's last one.
        version: Version of the server's software.
    """
    position = place.partition("/")[0]
    data = f"{sender} {run} {place} {version}"
    return f"id: {position}\ndata: {data}\n\n".encode()
