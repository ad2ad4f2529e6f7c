"""Sums that a relay makes of its zone's digests."""

import dataclasses

from turmericcroft.duties import scaling
from turmericcroft.duties import usage
from turmericcroft.gateway import messages

# A daemon whose digests stop has no work counted from here on; five are due.
SILENT_AFTER_S = 2.0
# Totals of a silent daemon go on where they were if it returns by then.
_FORGOTTEN_AFTER_S = 60.0


@dataclasses.dataclass
class ReceivedDigest:
    """The last digest of a daemon.

    Attributes:
        digest: The digest.
        heard_at_s: When it came, monotonic.
    """

    digest: messages.Digest
    received_at_s: float


class DigestCollection:
    """Digests that this daemon gathered, its own among them.

    Attributes:
        daemons: Last digests by daemon name.
        quota_totals: Units admitted since this daemon gathers, by account.
        demand: Server time asked for since then, by service.
        kept: Usage that a relay handed over as it stopped, by daemon.
        included: Numbers of the digests in the last summary, by daemon name.
    """

    def __init__(self) -> None:
        self.last_digests: dict[str, ReceivedDigest] = {}
        self.quota_totals: dict[str, float] = {}
        self.demand: dict[str, scaling.DemandTotals] = {}
        self.kept_usage: dict[str, usage.WindowCounts] = {}
        self.included_numbers: dict[str, int] = {}

    def add(self, digest: messages.Digest, now_s: float) -> None:
        """Takes in a digest; what it counted before the first is left out."""
        name = digest.member.name
        known = self.last_digests.get(name)
        self.last_digests[name] = ReceivedDigest(digest, now_s)
        if known is None or known.digest.member.key != digest.member.key:
            return
        before = known.digest
        if digest.number <= before.number:
            self.last_digests[name] = ReceivedDigest(before, now_s)
            return
        for account, total in digest.quota_totals.items():
            more = total - before.quota_totals.get(account, 0.0)
            total_before = self.quota_totals.get(account, 0.0)
            self.quota_totals[account] = total_before + more
        for service, asked in digest.demand.items():
            old = before.demand.get(service, scaling.DemandTotals())
            sum_before = self.demand.get(service, scaling.DemandTotals())
            self.demand[service] = sum_before.plus(
                asked.usual_s - old.usual_s, asked.actual_s - old.actual_s
            )

    def live_digests(self, now_s: float) -> list[messages.Digest]:
        """Digests of the daemons that are heard."""
        for name, received in list(self.last_digests.items()):
            if now_s - received.received_at_s > _FORGOTTEN_AFTER_S:
                del self.last_digests[name]
        return [
            received.digest
            for received in self.last_digests.values()
            if now_s - received.received_at_s < SILENT_AFTER_S
        ]

    def record_included(self, digests: list[messages.Digest]) -> None:
        """Notes the digests that a summary is made of."""
        self.included_numbers = {
            digest.member.name: digest.number for digest in digests
        }

    def crashes(
        self, digests: list[messages.Digest]
    ) -> dict[str, dict[str, int]]:
        """Crashes seen, by daemon and fingerprint."""
        return {
            digest.member.key: digest.crashes
            for digest in digests
            if digest.crashes
        }

    def work(
        self, digests: list[messages.Digest]
    ) -> dict[str, tuple[int, int]]:
        """Sums requests and unread tokens by server."""
        total: dict[str, tuple[int, int]] = {}
        for digest in digests:
            for server, (runs, unread) in digest.work.items():
                known_runs, known_unread = total.get(server, (0, 0))
                total[server] = known_runs + runs, known_unread + unread
        return total

    def prefixes(
        self, digests: list[messages.Digest]
    ) -> tuple[tuple[str, int, int, int], ...]:
        """Heads that the daemons tell, each once."""
        return tuple(
            {
                dataclasses.astuple(note): None
                for digest in digests
                for note in digest.heads
            }
        )

    def keep_usage(
        self, counts: dict[str, usage.WindowCounts], newest: int
    ) -> None:
        """Takes over the usage that another relay gathered.

        Args:
            counts: Usage by daemon.
            newest: The window that is running now; old ones are dropped.
        """
        self.kept_usage |= counts
        for daemon, windows in list(self.kept_usage.items()):
            if max(windows, default=0) <= newest - usage.RETAINED_WINDOWS:
                del self.kept_usage[daemon]

    def usage(self) -> dict[str, usage.WindowCounts]:
        """Usage by daemon, silent and ended ones included."""
        return self.kept_usage | {
            received.digest.member.key: received.digest.usage
            for received in self.last_digests.values()
        }
