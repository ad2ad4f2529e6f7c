"""Choice of an availability zone's relay, which aggregates its digests.

Each daemon chooses on its own, from the daemons that it could reach recently,
so the choice needs no agreement. While two daemons choose differently, the
only cost is a second summary of the zone.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

# A daemon that did not answer is retried after this time, which doubles with
# each further failure. A restart takes a few seconds.
_INITIAL_BACKOFF_S = 4.0
_MAX_BACKOFF_DOUBLINGS = 3


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A daemon that can be the relay of its zone.

    Attributes:
        name: Its name.
        link_mbps: Bandwidth of its VM's network link.
    """

    name: str
    link_mbps: float


@dataclasses.dataclass(frozen=True)
class Source:
    """A relay that has an update.

    Attributes:
        name: Its name.
        zone: Its availability zone.
    """

    name: str
    zone: str


@dataclasses.dataclass
class Backoff:
    """Backoff from a daemon that did not answer.

    Attributes:
        failures: Number of consecutive failed calls.
        retry_at_s: Monotonic time of the next attempt.
    """

    failures: int
    retry_at_s: float


class Reachability:
    """Which daemons this one could reach recently."""

    def __init__(self) -> None:
        self._backoffs: dict[str, Backoff] = {}

    def record_failure(self, name: str, now_s: float) -> None:
        """Records that a daemon did not answer, and extends its backoff."""
        backoff = self._backoffs.setdefault(name, Backoff(0, now_s))
        doublings = min(backoff.failures, _MAX_BACKOFF_DOUBLINGS)
        backoff.failures += 1
        backoff.retry_at_s = now_s + _INITIAL_BACKOFF_S * 2**doublings

    def record_answer(self, name: str) -> None:
        """Records that a daemon answered, which ends its backoff."""
        self._backoffs.pop(name, None)

    def is_backing_off(self, name: str, now_s: float) -> bool:
        """Returns whether a daemon is not to be called yet."""
        backoff = self._backoffs.get(name)
        return backoff is not None and now_s < backoff.retry_at_s

    def choose(
        self, candidates: Iterable[Candidate], now_s: float
    ) -> Candidate | None:
        """Chooses the reachable daemon with the fastest link.

        Daemons with equal links are chosen by name.

        Example:
            >>> reach = Reachability()
            >>> both = [Candidate("a", 10.0), Candidate("b", 100.0)]
            >>> reach.choose(both, now_s=0.0).name
            'b'
            >>> reach.record_failure("b", now_s=0.0)
            >>> reach.choose(both, now_s=1.0).name
            'a'
        """
        reachable = [
            candidate
            for candidate in candidates
            if not self.is_backing_off(candidate.name, now_s)
        ]
        if not reachable:
            return None
        return min(
            reachable,
            key=lambda candidate: (-candidate.link_mbps, candidate.name),
        )


def choose_source(
    relays: Iterable[Source], own_zone: str, own_name: str
) -> Source | None:
    """Chooses the relay to fetch an update from.

    Load pattern: an update reaches all daemons of a fleet within one round. If
    they all fetched it from the relay that announced it first, that relay's
    link would carry it once for each daemon. A daemon fetches it from the relay
    of its own zone, and while that doesn't have it, from one of the others,
    which a hash spreads over the daemons.

    Args:
        relays: Relays that have the update.
        own_zone: Availability zone of this daemon.
        own_name: Name of this daemon.

    Example:
        >>> sources = [Source("a", "zone-1"), Source("b", "zone-2")]
        >>> choose_source(sources, "zone-2", "edge-9").name
        'b'
    """
    return max(
        relays,
        key=lambda source: (
            source.zone == own_zone,
            xxhash.xxh3_64_intdigest(f"{own_name}\0{source.name}".encode()),
        ),
        default=None,
    )
