"""Quarantine of requests that crash the servers that run them.

A request that was on a server when the server crashed is a suspect. A server
runs at most one suspect at a time, on probation, so a second crash identifies
the request that caused it. When several servers crash within a short time,
only a request that was on more than one of them stays a suspect, because a
request cannot crash a server that it was not on.
"""

import dataclasses
import enum

COINCIDENT_CRASH_WINDOW_S = 2.0
SUSPICION_LIFETIME_S = 600.0
QUARANTINE_LIFETIME_S = 3_600.0


class Verdict(enum.Enum):
    """Whether a request may be sent to a server.

    Attributes:
        CLEAR: To any server.
        SUSPECT: Only to a server that runs no other suspect.
        QUARANTINED: To none.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True)
class SuspectRecord:
    """Crashes of servers that a request was on.

    Attributes:
        fingerprint: Hash of account and body.
        crashes: Number of crashes.
        quarantined: Whether the request is refused.
        expires_at_s: Monotonic time at which the record expires.
    """

    fingerprint: str
    crashes: int
    quarantined: bool
    expires_at_s: float


@dataclasses.dataclass(frozen=True)
class _Crash:
    server: str
    at_s: float
    fingerprints: frozenset[str]


class Suspects:
    """Suspects that one daemon found or received from its peers.

    Attributes:
        records: Records by fingerprint.
        probation: Fingerprint of the suspect that runs on each server, by
            server name.
    """

    def __init__(self) -> None:
        self.records: dict[str, SuspectRecord] = {}
        self.probation: dict[str, str] = {}
        self._crashes: list[_Crash] = []

    def verdict(self, fingerprint: str, now_s: float) -> Verdict:
        """Returns the verdict on a request and removes an obsolete record."""
        record = self.records.get(fingerprint)
        if record is None:
            return Verdict.CLEAR
        if record.expires_at_s <= now_s:
            del self.records[fingerprint]
            return Verdict.CLEAR
        if record.quarantined:
            return Verdict.QUARANTINED
        if self._is_coincident(fingerprint, now_s):
            del self.records[fingerprint]
            return Verdict.CLEAR
        return Verdict.SUSPECT

    def record_crash(
        self,
        server: str,
        fingerprints: frozenset[str],
        started_at_s: float,
        now_s: float,
    ) -> tuple[SuspectRecord, ...]:
        """Records the crash of a server.

        Each request on the server reports the crash. The first report covers
        all requests that had been sent before it; their reports are ignored.

        Args:
            server: The server.
            fingerprints: Requests that were on the server.
            started_at_s: Monotonic time at which the reporting request was
                sent to the server.
            now_s: Monotonic time.

        Returns:
            The records that changed, to be sent to all daemons.
        """
        self._crashes = [
            crash
            for crash in self._crashes
            if now_s - crash.at_s < SUSPICION_LIFETIME_S
        ]
        if any(
            crash.server == server and crash.at_s >= started_at_s
            for crash in self._crashes
        ):
            return ()
        self._crashes.append(_Crash(server, now_s, fingerprints))
        for fingerprint, record in list(self.records.items()):
            if record.expires_at_s <= now_s:
                del self.records[fingerprint]
        culprit = self.probation.pop(server, None)
        changed = []
        for fingerprint in sorted(fingerprints):
            known = self.records.get(fingerprint)
            crashes = known.crashes + 1 if known else 1
            quarantined = fingerprint == culprit
            # A suspect on probation explains the crash, so no other request
            # becomes a suspect by it.
            if not quarantined and culprit is not None and known is None:
                continue
            lifetime_s = (
                QUARANTINE_LIFETIME_S if quarantined else SUSPICION_LIFETIME_S
            )
            record = SuspectRecord(
                fingerprint, crashes, quarantined, now_s + lifetime_s
            )
            self.records[fingerprint] = record
            changed.append(record)
        return tuple(changed)

    def merge(
        self, fingerprint: str, crashes: int, quarantined: bool, now_s: float
    ) -> None:
        """Merges a peer's record; a count of 0 releases the request."""
        if crashes == 0:
            self.records.pop(fingerprint, None)
            return
        known = self.records.get(fingerprint)
        if known is not None:
            crashes = max(crashes, known.crashes)
            quarantined = quarantined or known.quarantined
        lifetime_s = (
            QUARANTINE_LIFETIME_S if quarantined else SUSPICION_LIFETIME_S
        )
        self.records[fingerprint] = SuspectRecord(
            fingerprint, crashes, quarantined, now_s + lifetime_s
        )

    def start_probation(self, server: str, fingerprint: str) -> None:
        """Assigns a suspect to a server that runs no other suspect."""
        self.probation[server] = fingerprint

    def end_probation(self, server: str, fingerprint: str) -> None:
        """Ends the probation of a suspect on a server."""
        if self.probation.get(server) == fingerprint:
            del self.probation[server]

    def clear(self, fingerprint: str) -> None:
        """Removes the record of a suspect that completed."""
        record = self.records.get(fingerprint)
        if record is not None and not record.quarantined:
            del self.records[fingerprint]

    def _is_coincident(self, fingerprint: str, now_s: float) -> bool:
        record = self.records[fingerprint]
        if record.crashes > 1:
            return False
        recent = [
            c
            for c in self._crashes
            if now_s - c.at_s < COINCIDENT_CRASH_WINDOW_S
        ]
        crash_count = sum(fingerprint in crash.fingerprints for crash in recent)
        servers = {crash.server for crash in recent}
        return len(servers) > 1 and crash_count <= 1
