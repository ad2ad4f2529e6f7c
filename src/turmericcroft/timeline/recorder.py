"""In-memory record of a daemon's events, limited to the newest ones."""

import collections
import dataclasses
import heapq
import typing
from collections.abc import Iterable

from turmericcroft.timeline import clock
from turmericcroft.timeline import event as events

CAPACITY_EVENTS = 20_000


@dataclasses.dataclass(frozen=True)
class Filter:
    """Criteria of a query; an empty string matches every event."""

    request_id: str = ""
    server: str = ""
    account: str = ""
    since_ms: int = 0

    def matches(self, stamped: events.Stamped) -> bool:
        """Returns whether an event meets all criteria."""
        if stamped.stamp.wall_ms < self.since_ms:
            return False
        criteria = {
            "request_id": self.request_id,
            "server": self.server,
            "account": self.account,
        }
        return all(
            getattr(stamped.event, name, None) == value
            for name, value in criteria.items()
            if value
        )


class Recorder:
    """Keeps the newest events in memory.

    Attributes:
        daemon: Name of this daemon.
        clock: Clock that stamps the events.
        dropped: Number of events evicted by newer ones.
    """

    def __init__(
        self,
        daemon: str,
        hybrid_clock: clock.HybridClock,
        capacity: int = CAPACITY_EVENTS,
    ) -> None:
        self.daemon = daemon
        self.clock = hybrid_clock
        self.dropped = 0
        self._events: collections.deque[events.Stamped] = collections.deque(
            maxlen=capacity
        )

    def record(self, event: events.Event) -> events.Stamped:
        """Stamps an event with the current time and adds it."""
        if len(self._events) == self._events.maxlen:
            self.dropped += 1
        stamped = events.Stamped(self.clock.now(), self.daemon, event)
        self._events.append(stamped)
        return stamped

    def select(self, event_filter: Filter) -> tuple[events.Stamped, ...]:
        """Returns the matching events, oldest first."""
        return tuple(e for e in self._events if event_filter.matches(e))


def merge(
    records: Iterable[Iterable[events.Stamped]],
) -> tuple[events.Stamped, ...]:
    """Merges the sorted records of several daemons in causal order."""
    return tuple(
        heapq.merge(*records, key=lambda item: (item.stamp, item.daemon))
    )


def to_dict(stamped: events.Stamped) -> dict[str, typing.Any]:
    """Converts an event to a dictionary for JSON."""
    return {
        "wall_ms": stamped.stamp.wall_ms,
        "counter": stamped.stamp.counter,
        "daemon": stamped.daemon,
        "event": type(stamped.event).__name__,
        **dataclasses.asdict(stamped.event),
    }
