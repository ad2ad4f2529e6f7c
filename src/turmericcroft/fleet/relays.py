"""Choice of the daemon that gathers the digests of an availability zone.

Every daemon chooses by itself, from what it reachable lately, so no choice has
to be agreed on. Two daemons that choose differently for a while only cost a
second summary.
"""

import dataclasses
from collections.abc import Iterable

# A daemon that did not answer is tried again after this time, and after twice
# as long each further time; a restart takes a few seconds.
_INITIAL_BACKOFF_S = 4.0
_MAX_BACKOFF_DOUBLINGS = 3


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A daemon that can gather digests.

    Attributes:
        name: Its name.
        link_mbps: Bandwidth of its VM's link.
    """

    name: str
    link_mbps: float


@dataclasses.dataclass
class Backoff:
    """Calls to a daemon that failed in a row.

    Attributes:
        failures: How many.
        retry_at_s: When it is tried again, monotonic.
    """

    failures: int
    retry_at_s: float


class Reachability:
    """Which daemons answered this one lately."""

    def __init__(self) -> None:
        self._backoffs: dict[str, Backoff] = {}

    def record_failure(self, name: str, now_s: float) -> None:
        """Notes that a daemon did not answer."""
        backoff = self._backoffs.setdefault(name, Backoff(0, now_s))
        doublings = min(backoff.failures, _MAX_BACKOFF_DOUBLINGS)
        backoff.failures += 1
        backoff.retry_at_s = now_s + _INITIAL_BACKOFF_S * 2**doublings

    def record_answer(self, name: str) -> None:
        """Notes that a daemon answered."""
        self._backoffs.pop(name, None)

    def is_backing_off(self, name: str, now_s: float) -> bool:
        """Tells whether a daemon is left alone for now."""
        backoff = self._backoffs.get(name)
        return backoff is not None and now_s < backoff.retry_at_s

    def choose(
        self, candidates: Iterable[Candidate], now_s: float
    ) -> Candidate | None:
        """Chooses the best connected daemon that is not silent.

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
        return min(reachable, key=lambda one: (-one.link_mbps, one.name))
