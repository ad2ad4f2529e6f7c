"""Requests that crash the servers that run them.

A request is known by its path, account and body. One that was on three
servers as they crashed is refused from then on, by all daemons.
"""

import dataclasses

CRASHES_TO_REFUSE = 3
_RETENTION_S = 120.0
_MAX_FINGERPRINTS = 2_000


@dataclasses.dataclass
class CrashCounts:
    """Crashes that a request was part of.

    Attributes:
        by_daemon: By daemon, how many it saw.
        last_crash_at_s: When the last one was seen, monotonic.
    """

    by_daemon: dict[str, int]
    last_crash_at_s: float


class CrashLedger:
    """Suspicions of one daemon, with what others told.

    Attributes:
        own: This daemon's counts, told to the others.
    """

    def __init__(self) -> None:
        self.own: dict[str, int] = {}
        self._counts: dict[str, CrashCounts] = {}

    def record_crash(self, fingerprint: str, now_s: float) -> int:
        """Counts a crash; returns all that are known for the request."""
        self.own[fingerprint] = self.own.get(fingerprint, 0) + 1
        self._set(fingerprint, "", self.own[fingerprint], now_s)
        return self.crash_count(fingerprint)

    def update_peer(
        self, daemon: str, counts: dict[str, int], now_s: float
    ) -> None:
        """Takes in another daemon's counts."""
        for fingerprint, count in counts.items():
            known = self._counts.get(fingerprint)
            if known is None or known.by_daemon.get(daemon, 0) < count:
                self._set(fingerprint, daemon, count, now_s)

    def crash_count(self, fingerprint: str) -> int:
        """Crashes known for a request."""
        found = self._counts.get(fingerprint)
        return sum(found.by_daemon.values()) if found else 0

    def is_refused(self, fingerprint: str) -> bool:
        """Tells whether a request is refused."""
        return self.crash_count(fingerprint) >= CRASHES_TO_REFUSE

    def expire(self, now_s: float) -> None:
        """Forgets old suspicions."""
        old = [
            fingerprint
            for fingerprint, found in self._counts.items()
            if now_s - found.last_crash_at_s > _RETENTION_S
        ]
        for fingerprint in old:
            del self._counts[fingerprint]
            self.own.pop(fingerprint, None)

    def _set(
        self, fingerprint: str, daemon: str, count: int, now_s: float
    ) -> None:
        found = self._counts.get(fingerprint)
        if found is None:
            if len(self._counts) >= _MAX_FINGERPRINTS:
                return
            found = CrashCounts({}, now_s)
            self._counts[fingerprint] = found
        found.by_daemon[daemon] = count
        found.last_crash_at_s = now_s
