"""What one gateway daemon knows, shared by its tasks on one event loop."""

import asyncio
import collections
import dataclasses
import time
import typing

from turmericcroft.duties import scaling
from turmericcroft.duties import usage
from turmericcroft.eventlog import events
from turmericcroft.eventlog import writer
from turmericcroft.fleet import directory
from turmericcroft.gateway import facts
from turmericcroft.gateway import messages
from turmericcroft.gateway import metrics
from turmericcroft.gateway import settings
from turmericcroft.gateway import upstream
from turmericcroft.routing import declaration
from turmericcroft.routing import engines
from turmericcroft.routing import loadview
from turmericcroft.routing import poison
from turmericcroft.routing import quota
from turmericcroft.routing import retries

if typing.TYPE_CHECKING:
    from turmericcroft.gateway import exchange

_INITIAL_QUOTA_SHARE = 0.5


@dataclasses.dataclass
class Versioned:
    """The declaration in force, and the text it came from.

    Attributes:
        table: Lookup of its routes; None before any is known.
        raw: Its text, for other daemons.
        revision: Store revision of the text.
    """

    table: declaration.RouteTable | None = None
    raw: bytes = b""
    revision: int = 0

    @property
    def version(self) -> int:
        """Version in force; 0 if none is known."""
        return 0 if self.table is None else self.table.declaration.version


class State:
    """Knowledge of one daemon."""

    def __init__(
        self,
        config: settings.Settings,
        dialect: facts.Dialect,
        log: writer.Writer,
        meter: metrics.Metrics,
    ) -> None:
        self.settings = config
        self.dialect = dialect
        self.log = log
        self.metrics = meter
        self.started_ms = time.time_ns() // 1_000_000
        self.stopping = False
        self.declared = Versioned()
        self.directory = directory.Directory(config.bounds.drain_ms / 1000)
        self.fleet_current_at_s = float("-inf")
        self.loads = loadview.LoadView()
        self.engine_loads = engines.EngineLoads()
        self.cached = engines.CachedPrefixes()
        # Heads sent to servers lately, with the time, for other daemons.
        self.sent_heads: collections.deque[tuple[float, messages.HeadNote]] = (
            collections.deque()
        )
        self.quotas: dict[str, quota.FleetBucket] = {}
        self.budgets: dict[str, retries.RetryBudget] = {}
        self.poison = poison.CrashLedger()
        self.usage = usage.UsageCounts(config.bounds.usage_window_s)
        self.median_clock = usage.MedianClock()
        self.pool = upstream.ConnectionPool()
        self.daemons = 1
        # Whether news of the store come by relays, in a large fleet.
        self.relayed = False
        # Silence of another daemon after which its quota is set aside.
        self.peer_silent_after_s = quota.SILENT_AFTER_S
        # Server time asked for so far, by service; and what others told.
        self.demand: dict[str, scaling.DemandTotals] = {}
        self.peer_demand: dict[str, dict[str, scaling.DemandTotals]] = {}
        self.open: set[exchange.Exchange] = set()
        self.background: set[asyncio.Task[None]] = set()

    def quota_of(
        self, account: declaration.Account, now_s: float
    ) -> quota.FleetBucket | None:
        """Finds the bucket of an account, with its limit in force."""
        if account.quota is None:
            return None
        bucket = self.quotas.get(account.name)
        if bucket is None:
            bucket = quota.FleetBucket(
                account.quota,
                self.settings.bounds.quota_tolerance,
                _INITIAL_QUOTA_SHARE,
                now_s,
            )
            self.quotas[account.name] = bucket
        elif bucket.quota != account.quota:
            bucket.set_quota(account.quota, now_s)
        bucket.silent_after_s = self.peer_silent_after_s
        return bucket

    def budget_of(self, service: str) -> retries.RetryBudget:
        """Finds the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = retries.RetryBudget(
                retries.RetryLimits(
                    bounds.retry_ratio,
                    bounds.retry_allowance,
                    bounds.retry_window_s,
                )
            )
            self.budgets[service] = budget
        return budget

    def repeats_left(self, service: str, now_s: float) -> float:
        """Repeats that this daemon may make now to a service."""
        return self.budget_of(service).remaining(self.daemons, now_s)

    def demand_totals(self) -> dict[str, dict[str, scaling.DemandTotals]]:
        """Server time asked for so far, by daemon and service."""
        return {"": self.demand, **self.peer_demand}

    def corrected_time_s(self) -> float:
        """Time of day, corrected by other daemons' clocks."""
        return self.median_clock.correct(time.time())

    def note_member(
        self, name: str, zone: str, change: str, silent_s: float
    ) -> None:
        """Logs a change of what is known of another daemon."""
        self.log.write(events.MemberChanged(name, zone, change, silent_s))

    def forget_quotas(self, daemon: str) -> None:
        """Sets no part of the quotas aside for a daemon any more."""
        for bucket in self.quotas.values():
            bucket.remove_peer(daemon)

    def note_run(self, account: str, ago_s: float) -> None:
        """Counts a request of an account that began to run some time ago."""
        if account:
            self.usage.record(account, self.corrected_time_s() - ago_s)

    def note_failure(
        self, server: directory.Server, cause: str, now_s: float
    ) -> None:
        """Counts a failure of a server, which may eject it."""
        pause_s = self.loads.record_failure(server.name, now_s)
        if pause_s:
            self.log.write(
                events.ServerEjected(
                    server=server.name,
                    service=server.service,
                    cause=cause,
                    failures=self.loads.servers[server.name].failures,
                    pause_s=pause_s,
                )
            )

    def let_back(self, now_s: float) -> None:
        """Logs the servers whose ejection ended."""
        for name in self.loads.readmit_expired(now_s):
            failures = self.loads.servers[name].failures
            self.log.write(events.ServerLetBack(name, failures))

    def _kind_left(self, server: directory.Server) -> int:
        return sum(
            other.availability_zone == server.availability_zone
            and other.reclaimable == server.reclaimable
            for other in self.directory.usable(server.service)
        )

    def note_changes(
        self, changes: list[directory.Change], source: str, revision: int
    ) -> None:
        """Logs changes of servers and follows them in the load view."""
        for change in changes:
            server = change.server
            if change.restarted or change.after is None:
                self.loads.remove(server.name)
                self.cached.remove_server(server.incarnation)
            if change.after is directory.ServerState.READY:
                self.loads.add(server.name, server.slots)
            self.log.write(
                events.ServerChanged(
                    server=server.name,
                    service=server.service,
                    zone=server.availability_zone,
                    before=change.before.value if change.before else "unknown",
                    after=change.after.value if change.after else "forgotten",
                    reborn=change.restarted,
                    source=source,
                    revision=revision,
                    leaves_in_s=server.leaves_in_s,
                    reclaimable=server.reclaimable,
                    kind_left=self._kind_left(server),
                )
            )
