"""Services whose servers fall over if they must turn many requests away.

Load pattern: a burst meets servers that let few requests wait. Each daemon sees
free slots there and sends; together they send far more than there is room for,
and a server that has to turn away more than a few in a second ends. So each
daemon takes only its share of the slots that are free by what all daemons told.
"""

import dataclasses
from collections.abc import Iterable
from collections.abc import Sequence

from turmericcroft.fleet import ages
from turmericcroft.fleet import rendezvous

# All answers state it, so without a statement for this time it has ended.
_LIFETIME_S = 3.0
# A full server is sent nothing for this time. Others learn nothing of its
# refusal, so each daemon may cause one in this time.
FULL_PAUSE_S = 1.0
# When a request for which no server has room may come back.
FULL_RETRY_S = 0.4


@dataclasses.dataclass(frozen=True)
class BrittleNote:
    """What servers of a service state, as sent to other daemons.

    Attributes:
        service: Name of the service.
        max_refusals_per_s: Requests that a server may turn away in a second.
        age_s: Time since the latest answer that stated it.
    """

    service: str
    max_refusals_per_s: float
    age_s: ages.Age


class BrittleServices:
    """Services whose servers state that they are brittle.

    Example:
        >>> services = BrittleServices()
        >>> services.observe("pool", 3.0, now_s=1.0)
        True
        >>> services.is_brittle("pool", now_s=2.0)
        True
        >>> services.is_brittle("pool", now_s=5.0)
        False
    """

    def __init__(self) -> None:
        self._stated: dict[str, tuple[float, float]] = {}

    def observe(
        self, service: str, max_refusals_per_s: float, now_s: float
    ) -> bool:
        """Applies an answer of a server.

        Returns:
            Whether the service was not known to be brittle.
        """
        was_brittle = self.is_brittle(service, now_s)
        self._stated[service] = max_refusals_per_s, now_s
        return not was_brittle

    def merge(self, notes: Iterable[BrittleNote], now_s: float) -> list[str]:
        """Applies what another daemon heard.

        Returns:
            Services that were not known to be brittle.
        """
        found = []
        for note in notes:
            stated_at_s = now_s - note.age_s
            known = self._stated.get(note.service)
            if known is not None and known[1] >= stated_at_s:
                continue
            was_brittle = self.is_brittle(note.service, now_s)
            self._stated[note.service] = note.max_refusals_per_s, stated_at_s
            if not was_brittle and self.is_brittle(note.service, now_s):
                found.append(note.service)
        return found

    def is_brittle(self, service: str, now_s: float) -> bool:
        """Returns whether a service's servers are brittle."""
        stated = self._stated.get(service)
        return stated is not None and now_s - stated[1] < _LIFETIME_S

    def notes(self, now_s: float) -> tuple[BrittleNote, ...]:
        """Returns what to tell other daemons."""
        return tuple(
            BrittleNote(service, number, now_s - stated_at_s)
            for service, (number, stated_at_s) in self._stated.items()
            if now_s - stated_at_s < _LIFETIME_S
        )


@dataclasses.dataclass(frozen=True)
class ServerUse:
    """Requests on a brittle server, as far as this daemon knows.

    Attributes:
        server: Name of the server.
        slots: Requests that it processes at once.
        own: This daemon's requests on it.
        told: The same when this daemon last told others.
        others: Other daemons' requests, as they last told.
    """

    server: str
    slots: int
    own: int
    told: int
    others: int


def has_room(use: ServerUse, daemon: str, daemons: Sequence[str]) -> bool:
    """Returns whether a daemon may send a request to a brittle server.

    Each daemon may add an equal share of the free slots before others hear of
    it, so that together they don't send more than there is room for.

    Args:
        use: Requests on the server.
        daemon: Name of this daemon.
        daemons: Names of all daemons, this one included.

    Example:
        >>> names = [f"edge-{number}" for number in range(8)]
        >>> uses = [ServerUse("i-1", 12, own, 0, 0) for own in (0, 1, 2)]
        >>> [sum(has_room(use, name, names) for name in names) for use in uses]
        [8, 4, 0]
    """
    free = max(0, use.slots - use.told - use.others)
    share, rest = divmod(free, max(1, len(daemons)))
    if rest and daemon in rendezvous.rank(use.server, daemons)[:rest]:
        share += 1
    return use.own < use.told + share
