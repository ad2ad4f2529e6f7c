"""Digests that a relay collects from the daemons of its zone, and their sums.

The relay makes its zone's summary of them, so that not every daemon of a large
fleet sends its digest to every other one.
"""

import dataclasses

from turmericcroft.duties import scaling
from turmericcroft.duties import usage
from turmericcroft.fleet import counters
from turmericcroft.gateway import messages

# The work of a daemon is left out of the sums after this time without a digest,
# in which it should have sent five.
SILENT_AFTER_S = 2.0
# The last digest of a silent daemon is kept for this time. If the daemon sends
# digests again by then, what it counted meanwhile is added to the sums.
_EVICT_AFTER_S = 60.0


@dataclasses.dataclass
class ReceivedDigest:
    """The last digest of a daemon.

    Attributes:
        digest: The digest.
        received_at_s: Monotonic time when it was received.
    """

    digest: messages.Digest
    received_at_s: float


class DigestCollection:
    """Last digests of a zone's daemons, this one included, and their sums.

    Attributes:
        last_digests: Last digests, by daemon name.
        quota_totals: Quota units admitted since the first digest of each
            daemon, by account.
        demand: Server time needed by requests since then, by service.
        counters: Totals counted since then, by key.
        handed_over_usage: Usage counts that stopping daemons handed over, by
            daemon.
        included_numbers: Numbers of the digests in the last summary, by daemon
            name.
    """

    def __init__(self) -> None:
        self.last_digests: dict[str, ReceivedDigest] = {}
        self.quota_totals: dict[str, float] = {}
        self.demand: dict[str, scaling.DemandTotals] = {}
        self.counters: counters.Totals = {}
        self.handed_over_usage: dict[str, usage.WindowCounts] = {}
        self.included_numbers: dict[str, int] = {}

    def add(self, digest: messages.Digest, now_s: float) -> None:
        """Adds a digest; a repeated or late one only renews the time.

        The first digest of a daemon's incarnation is a baseline: what it
        counted before that is left out of the sums.
        """
        name = digest.member.name
        previous = self.last_digests.get(name)
        self.last_digests[name] = ReceivedDigest(digest, now_s)
        if previous is None or previous.digest.member.key != digest.member.key:
            return
        previous_digest = previous.digest
        if digest.number <= previous_digest.number:
            self.last_digests[name] = ReceivedDigest(previous_digest, now_s)
            return
        for account, total in digest.quota_totals.items():
            added = total - previous_digest.quota_totals.get(account, 0.0)
            units_before = self.quota_totals.get(account, 0.0)
            self.quota_totals[account] = units_before + added
        counters.add_increments(
            self.counters, previous_digest.counters, digest.counters
        )
        for service, demand in digest.demand.items():
            previous_demand = previous_digest.demand.get(
                service, scaling.DemandTotals()
            )
            demand_before = self.demand.get(service, scaling.DemandTotals())
            self.demand[service] = demand_before.plus(
                demand.usual_s - previous_demand.usual_s,
                demand.actual_s - previous_demand.actual_s,
            )

    def live_digests(self, now_s: float) -> list[messages.Digest]:
        """Returns the digests of the daemons that are not silent."""
        for name, received in list(self.last_digests.items()):
            if now_s - received.received_at_s > _EVICT_AFTER_S:
                del self.last_digests[name]
        return [
            received.digest
            for received in self.last_digests.values()
            if now_s - received.received_at_s < SILENT_AFTER_S
        ]

    def record_included(self, digests: list[messages.Digest]) -> None:
        """Records which digests a summary includes."""
        self.included_numbers = {
            digest.member.name: digest.number for digest in digests
        }

    def work(
        self, digests: list[messages.Digest]
    ) -> dict[str, tuple[int, int]]:
        """Sums in-flight requests and prefill tokens by server."""
        total: dict[str, tuple[int, int]] = {}
        for digest in digests:
            for server, (running, prefill_tokens) in digest.work.items():
                total_running, total_prefill_tokens = total.get(server, (0, 0))
                total[server] = (
                    total_running + running,
                    total_prefill_tokens + prefill_tokens,
                )
        return total

    def prefixes(
        self, digests: list[messages.Digest]
    ) -> tuple[tuple[str, int, int, int], ...]:
        """Lists the prompt prefixes of the digests, each once."""
        return tuple(
            {
                dataclasses.astuple(note): None
                for digest in digests
                for note in digest.heads
            }
        )

    def leaving(
        self, digests: list[messages.Digest]
    ) -> tuple[tuple[str, int], ...]:
        """Lists the servers that stated to one of the daemons that they leave.

        Each server is listed once.
        """
        return tuple(
            {server: None for digest in digests for server in digest.leaving}
        )

    def keep_usage(
        self, counts: dict[str, usage.WindowCounts], newest: int
    ) -> None:
        """Stores the usage counts that a stopping daemon hands over.

        Args:
            counts: Usage counts by daemon.
            newest: The current window; daemons whose counts are all too old to
                be reported are dropped.
        """
        for daemon, windows in counts.items():
            self.handed_over_usage[daemon] = usage.merge_counts(
                self.handed_over_usage.get(daemon, {}), windows
            )
        for daemon, windows in list(self.handed_over_usage.items()):
            if max(windows, default=0) <= newest - usage.RETAINED_WINDOWS:
                del self.handed_over_usage[daemon]

    def usage(self) -> dict[str, usage.WindowCounts]:
        """Returns the usage counts by daemon, including stopped daemons."""
        counts = dict(self.handed_over_usage)
        for received in self.last_digests.values():
            daemon = received.digest.member.key
            # A daemon that stops counts on after its last digest.
            counts[daemon] = usage.merge_counts(
                counts.get(daemon, {}), received.digest.usage
            )
        return counts
