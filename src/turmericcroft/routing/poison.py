"""Requests that crash the servers that run them.

A request is known by its path, account and body. One that was on three
servers as they crashed is refused from then on, by all daemons.
"""

import dataclasses

CRASHES_TO_REFUSE = 3
_REMEMBERED_S = 120.0
_MAX_REMEMBERED = 2_000


@dataclasses.dataclass
class Suspicion:
    """Crashes that a request was part of.

    Attributes:
        crashes: By daemon, how many it saw.
        last_at_s: When the last one was seen, monotonic.
    """

    crashes: dict[str, int]
    last_at_s: float


class CrashLedger:
    """Suspicions of one daemon, with what others told.

    Attributes:
        own: This daemon's counts, told to the others.
    """

    def __init__(self) -> None:
        self.own: dict[str, int] = {}
        self._suspicions: dict[str, Suspicion] = {}

    def note_crash(self, fingerprint: str, now_s: float) -> int:
        """Counts a crash; returns all that are known for the request."""
        self.own[fingerprint] = self.own.get(fingerprint, 0) + 1
        self._set(fingerprint, "", self.own[fingerprint], now_s)
        return self.crashes(fingerprint)

    def hear(self, daemon: str, counts: dict[str, int], now_s: float) -> None:
        """Takes in another daemon's counts."""
        for fingerprint, count in counts.items():
            known = self._suspicions.get(fingerprint)
            if known is None or known.crashes.get(daemon, 0) < count:
                self._set(fingerprint, daemon, count, now_s)

    def crashes(self, fingerprint: str) -> int:
        """Crashes known for a request."""
        found = self._suspicions.get(fingerprint)
        return sum(found.crashes.values()) if found else 0

    def is_refused(self, fingerprint: str) -> bool:
        """Tells whether a request is refused."""
        return self.crashes(fingerprint) >= CRASHES_TO_REFUSE

    def expire(self, now_s: float) -> None:
        """Forgets old suspicions."""
        old = [
            fingerprint
            for fingerprint, found in self._suspicions.items()
            if now_s - found.last_at_s > _REMEMBERED_S
        ]
        for fingerprint in old:
            del self._suspicions[fingerprint]
            self.own.pop(fingerprint, None)

    def _set(
        self, fingerprint: str, daemon: str, count: int, now_s: float
    ) -> None:
        found = self._suspicions.get(fingerprint)
        if found is None:
            if len(self._suspicions) >= _MAX_REMEMBERED:
                return
            found = Suspicion({}, now_s)
            self._suspicions[fingerprint] = found
        found.crashes[daemon] = count
        found.last_at_s = now_s
