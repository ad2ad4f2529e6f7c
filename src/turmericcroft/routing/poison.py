"""Counts server crashes per request to refuse requests that cause them.

A request that crashes every server it is sent to would take down a whole
service through retries. Requests are identified by a fingerprint of path and
query, account and body. All daemons refuse one after it was on three servers
when they crashed.
"""

import dataclasses

CRASHES_TO_REFUSE = 3
_RETENTION_S = 120.0
_MAX_FINGERPRINTS = 2_000


@dataclasses.dataclass
class CrashCounts:
    """Crashes of servers that a request was on.

    Attributes:
        by_daemon: Number of crashes that each daemon observed.
        last_crash_at_s: Monotonic time at which a count last changed.
    """

    by_daemon: dict[str, int]
    last_crash_at_s: float


class CrashLedger:
    """Crash counts by request, of this daemon and its peers.

    Attributes:
        own: This daemon's counts by fingerprint, as sent to the peers.
    """

    def __init__(self) -> None:
        self.own: dict[str, int] = {}
        self._counts: dict[str, CrashCounts] = {}

    def record_crash(self, fingerprint: str, now_s: float) -> int:
        """Counts a crash; returns the count of all daemons.

        A request beyond the limit of fingerprints is not counted.
        """
        if (
            fingerprint not in self._counts
            and len(self._counts) >= _MAX_FINGERPRINTS
        ):
            return 0
        self.own[fingerprint] = self.own.get(fingerprint, 0) + 1
        self._set(fingerprint, "", self.own[fingerprint], now_s)
        return self.crash_count(fingerprint)

    def update_peer(
        self, daemon: str, counts: dict[str, int], now_s: float
    ) -> None:
        """Merges another daemon's counts."""
        for fingerprint, count in counts.items():
            known = self._counts.get(fingerprint)
            if known is None or known.by_daemon.get(daemon, 0) < count:
                self._set(fingerprint, daemon, count, now_s)

    def crash_count(self, fingerprint: str) -> int:
        """Returns the crashes that all daemons counted for a request."""
        found = self._counts.get(fingerprint)
        return sum(found.by_daemon.values()) if found else 0

    def is_refused(self, fingerprint: str) -> bool:
        """Returns whether a request is refused."""
        return self.crash_count(fingerprint) >= CRASHES_TO_REFUSE

    def expire(self, now_s: float) -> None:
        """Removes counts that have not changed within the retention time."""
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
