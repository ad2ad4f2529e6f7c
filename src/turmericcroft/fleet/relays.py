"""Choice of the daemon that gathers the digests of an availability zone.

Every daemon chooses by itself, from what it reached lately, so no choice has
to be agreed on. Two daemons that choose differently for a while only cost a
second summary.
"""

import dataclasses
from collections.abc import Iterable

# A daemon that did not answer is tried again after this time, and after twice
# as long each further time; a restart takes a few seconds.
_RETRY_AFTER_S = 4.0
_RETRY_DOUBLINGS = 3


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
class Silence:
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
        self._silent: dict[str, Silence] = {}

    def failed(self, name: str, now_s: float) -> None:
        """Notes that a daemon did not answer."""
        silence = self._silent.setdefault(name, Silence(0, now_s))
        doublings = min(silence.failures, _RETRY_DOUBLINGS)
        silence.failures += 1
        silence.retry_at_s = now_s + _RETRY_AFTER_S * 2**doublings

    def answered(self, name: str) -> None:
        """Notes that a daemon answered."""
        self._silent.pop(name, None)

    def is_silent(self, name: str, now_s: float) -> bool:
        """Tells whether a daemon is left alone for now."""
        silence = self._silent.get(name)
        return silence is not None and now_s < silence.retry_at_s

    def choose(
        self, candidates: Iterable[Candidate], now_s: float
    ) -> Candidate | None:
        """Chooses the best connected daemon that is not silent.

        Example:
            >>> reach = Reachability()
            >>> both = [Candidate("a", 10.0), Candidate("b", 100.0)]
            >>> reach.choose(both, now_s=0.0).name
            'b'
            >>> reach.failed("b", now_s=0.0)
            >>> reach.choose(both, now_s=1.0).name
            'a'
        """
        reached = [
            candidate
            for candidate in candidates
            if not self.is_silent(candidate.name, now_s)
        ]
        if not reached:
            return None
        return min(reached, key=lambda one: (-one.link_mbps, one.name))
