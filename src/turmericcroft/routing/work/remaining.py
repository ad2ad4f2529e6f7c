"""What each engine of a service still has to do, as far as is known.

Load pattern: 64 daemons send 135 requests/s to 70 engines, each with a view of
the others that is up to 1.2 s old. The in-flight requests in digests lack what
was sent since and what was lost from view: servers stated 14 requests where the
daemons saw 3. Statements correct the digests, and the work that the fleet sends
meanwhile is added where all daemons, with the same view, send it.
"""

import dataclasses
import math
from collections.abc import Sequence

from turmericcroft.fleet import directory
from turmericcroft.routing import engine_speed
from turmericcroft.routing import engines
from turmericcroft.routing.work import duration
from turmericcroft.routing.work import hot
from turmericcroft.routing.work import statements as load_statements
from turmericcroft.routing.work import table as tables

# Information that is older counts as at least the mean of the service. Digests
# of a large fleet are up to this old while all is well.
MAX_AGE_S = 1.2
# Mean age of other daemons' loads on receipt of a digest: half the interval of
# direct digests, or with relays the way to the relay and that of the summary.
_DIRECT_AGE_S = 0.1
_RELAYED_AGE_S = 0.5
# Age of what was never told, and of what is older than this.
_UNKNOWN_AGE_S = 60.0
# A table is renewed after this time; for large services, after so much for each
# server that renewing takes less than a hundredth of the processor.
_RENEWAL_S = 0.1
_RENEWAL_S_PER_SERVER = 0.0005
# Requests run for about this time. So much later, a third of those that were
# told still run, and others have come in the place of the rest.
_RUN_S = 1.0
# The fleet's work is measured over at least this time: a few digests.
_RATE_WINDOW_S = 1.0
_RATE_WEIGHT = 0.5
# Utilisation before the first measurement.
_ASSUMED_UTILISATION = 0.3
# The queue at a higher utilisation depends on how long it lasts.
_MAX_UTILISATION = 0.95
_REQUEST_WEIGHT = 0.02
# Bounds of the learned correction and weight of an observation. A prediction
# that is off by more has another cause than the model.
_CORRECTION_BOUNDS = 0.5, 3.0
_CORRECTION_WEIGHT = 0.06
# Servers that large prompts are compared at.
_QUIET = 10


@dataclasses.dataclass(frozen=True)
class Inputs:
    """What the estimate of the remaining work is made from.

    Attributes:
        servers: Servers of the service, at least one.
        loads: tables.Requests in flight, this daemon's and those of digests.
        statements: Loads that servers stated.
        cached: Prefixes that servers cache.
        speed: Speed of the engines.
        uses_relays: Whether digests come by relays.
        daemons: Number of daemons.
        place: Place of this daemon among them, from 0.
        fleet_work_s: Server time of all requests that other daemons sent so
            far, which only grows.
    """

    servers: Sequence[directory.Server]
    loads: engines.EngineLoads
    statements: load_statements.ServerStatements
    cached: engines.CachedPrefixes
    speed: engine_speed.EngineSpeed
    uses_relays: bool
    daemons: int
    place: int
    fleet_work_s: float


class ServiceWork:
    """Memory of one daemon on the work of one service.

    Attributes:
        requests: Usual requests.
        prefixes: How many requests share a prefix.
        utilisation: Part of the servers' time that the other daemons' requests
            take.
        table: The latest table; None before the first.
    """

    def __init__(self) -> None:
        self.requests = tables.Requests()
        self.prefixes = hot.PrefixShares()
        self.utilisation = _ASSUMED_UTILISATION
        self.table: tables.WorkTable | None = None
        self._log_correction = 0.0
        # Time and total of the last measurement of the fleet's work.
        self._measured: tuple[float, float] | None = None
        # Usual load of a server while the information was fresh.
        self._mean_running = 0.0
        self._mean_backlog_s = 0.0

    @property
    def correction(self) -> float:
        """Factor between seen and predicted first events."""
        low, high = _CORRECTION_BOUNDS
        return min(high, max(low, math.exp(self._log_correction)))

    def record_request(
        self, prefill_s: float, tokens: int, prefix: int, now_s: float
    ) -> None:
        """Learns from a request that this daemon sent."""
        self.prefixes.record(prefix, now_s)
        known, weight = self.requests, _REQUEST_WEIGHT
        self.requests = tables.Requests(
            known.prefill_s + weight * (prefill_s - known.prefill_s),
            known.prefill_s2 + weight * (prefill_s**2 - known.prefill_s2),
            known.tokens + weight * (tokens - known.tokens),
        )

    def record_first_event(self, predicted_s: float, seen_s: float) -> None:
        """Corrects later predictions by how far one was off.

        Args:
            predicted_s: Predicted time, with the correction of that time.
            seen_s: Time that the first event took.
        """
        if predicted_s <= 0.0 or seen_s <= 0.0:
            return
        low, high = map(math.log, _CORRECTION_BOUNDS)
        error = min(high, max(low, math.log(seen_s / predicted_s)))
        self._log_correction = min(
            high, max(low, self._log_correction + _CORRECTION_WEIGHT * error)
        )

    def hot_s(self, prefix: int, holders: int, now_s: float) -> float:
        """Estimates the unseen backlog that a prefix brings to its holders.

        Args:
            prefix: Hash of the prefix.
            holders: Number of servers that cache it.
            now_s: Monotonic time.

        Returns:
            Backlog of a holder beyond the mean of all servers.
        """
        table = self.table
        if table is None or not holders:
            return 0.0
        share = self.prefixes.share(prefix, now_s)
        busy = share * self.utilisation * len(table.rows) / holders
        age_s = min(table.digest_age_s, MAX_AGE_S)
        return max(0.0, busy - self.utilisation) * age_s

    def current_table(
        self, servers: Sequence[directory.Server], now_s: float
    ) -> tables.WorkTable | None:
        """Returns the table; None if it is old.

        Args:
            servers: Servers of the service, the same object while none changes.
            now_s: Monotonic time.
        """
        table = self.table
        if table is None or table.servers is not servers:
            return None
        renewal_s = max(_RENEWAL_S, _RENEWAL_S_PER_SERVER * len(table.rows))
        return table if now_s - table.made_at_s < renewal_s else None

    def renew(self, inputs: Inputs, now_s: float) -> tables.WorkTable:
        """Estimates the remaining work of all servers."""
        self._measure_fleet(inputs, now_s)
        digest_age_s = _digest_age_s(inputs, now_s)
        usual = inputs.statements.usual_slowdown(inputs.servers[0].service)
        told, rows = [], []
        for server in inputs.servers:
            told_running, row = self._estimate(
                server, inputs, usual, digest_age_s, now_s
            )
            told.append(told_running)
            rows.append(row)
        rows = self._raise_unknown(rows, told)
        ended = sum(told) - sum(row.running for row in rows)
        unseen_s = self._unseen_s(min(digest_age_s, MAX_AGE_S), usual.mean)
        if inputs.daemons <= 1:
            unseen_s = 0.0
        level_s = _fill(
            sorted(row.backlog_s for row in rows), unseen_s * len(rows)
        )
        by_name = {row.server.name: row for row in rows}
        old = self.table
        ring = (
            old.ring
            if old is not None and old.rows.keys() == by_name.keys()
            else tables.make_ring(by_name)
        )
        by_running = sorted(rows, key=lambda row: row.running)
        self.table = tables.WorkTable(
            now_s,
            inputs.servers,
            inputs.speed,
            self.correction,
            self.requests,
            by_name,
            tuple(
                inputs.cached.held(server.incarnation)
                for server in inputs.servers
            ),
            tuple(row for row in rows if row.backlog_s <= level_s),
            tuple(by_running[:_QUIET]),
            _list_preferred(inputs),
            level_s,
            _fill([row.running for row in by_running], ended),
            ended / max(1, len(rows)),
            self.utilisation,
            digest_age_s,
            ring,
        )
        return self.table

    def _measure_fleet(self, inputs: Inputs, now_s: float) -> None:
        if self._measured is None:
            self._measured = now_s, inputs.fleet_work_s
            return
        measured_at_s, total_s = self._measured
        took_s = now_s - measured_at_s
        if took_s < _RATE_WINDOW_S:
            return
        self._measured = now_s, inputs.fleet_work_s
        grown_s = inputs.fleet_work_s - total_s
        # A total shrinks when a daemon leaves the fleet with its part. It does
        # not grow during an outage of the digests, in which the last known
        # utilisation is assumed to last.
        if grown_s <= 0.0 and _digest_age_s(inputs, now_s) > MAX_AGE_S:
            return
        if grown_s < 0.0 or not inputs.servers:
            return
        measured = grown_s / took_s / len(inputs.servers)
        self.utilisation += _RATE_WEIGHT * (measured - self.utilisation)

    def _unseen_s(self, age_s: float, slowdown: float) -> float:
        """Estimates the unseen backlog of a server, the mean over all.

        Of the work that was sent within an age, servers have done a part. What
        is left is not more than the mean wait at a server with one queue.
        """
        busy = min(_MAX_UTILISATION, self.utilisation * slowdown)
        queue_s = busy / (1.0 - busy) * self.requests.residual_s * slowdown
        return min(busy * age_s, queue_s)

    def _estimate(
        self,
        server: directory.Server,
        inputs: Inputs,
        usual: load_statements.Slowdown,
        digest_age_s: float,
        now_s: float,
    ) -> tuple[float, tables.ServerWork]:
        """Returns a server's requests of others as told, and its work."""
        name = server.name
        own = inputs.loads.own.get(name, engines.NO_LOAD)
        running, prefill_tokens = 0.0, 0
        for peer in inputs.loads.peers.values():
            load = peer.get(name)
            if load is not None:
                running += load.running
                prefill_tokens += load.prefill_tokens
        share, factor = inputs.statements.slowdown(name, usual, now_s)
        slowdown = 1.0 + share * (factor - 1.0)
        backlog_s = 0.0
        if prefill_tokens:
            backlog_s = duration.prefill_s(inputs.speed, prefill_tokens, 0)
            backlog_s -= min(digest_age_s, MAX_AGE_S) / slowdown
        left = running * _left(digest_age_s)
        age_s = digest_age_s
        stated = inputs.statements.latest_requests(name)
        if stated is not None:
            stated_age_s = now_s - stated[0]
            age_s = min(age_s, stated_age_s)
            if stated_age_s < MAX_AGE_S:
                requests = float(stated[1] + stated[2] - own.running)
                if requests > running:
                    running = requests
                    left = max(left, requests * _left(stated_age_s))
                if stated[2]:
                    waiting_s = stated[2] * self.requests.prefill_s
                    waiting_s -= stated_age_s / slowdown
                    waiting_s -= duration.prefill_s(
                        inputs.speed, own.prefill_tokens, 0
                    )
                    backlog_s = max(backlog_s, waiting_s)
        row = tables.ServerWork(
            server,
            left,
            max(0.0, backlog_s),
            share,
            factor,
            age_s,
        )
        return running, row

    def _raise_unknown(
        self, rows: list[tables.ServerWork], told: list[float]
    ) -> list[tables.ServerWork]:
        """Gives servers without recent information at least the mean load."""
        fresh = [row for row in rows if row.age_s <= MAX_AGE_S]
        if fresh:
            self._mean_running = sum(
                running
                for running, row in zip(told, rows, strict=True)
                if row.age_s <= MAX_AGE_S
            ) / len(fresh)
            self._mean_backlog_s = sum(r.backlog_s for r in fresh) / len(fresh)
        if len(fresh) == len(rows):
            return rows
        raised = []
        for place, row in enumerate(rows):
            if row.age_s > MAX_AGE_S:
                told[place] = max(told[place], self._mean_running)
                row = row._replace(
                    running=max(row.running, self._mean_running),
                    backlog_s=max(row.backlog_s, self._mean_backlog_s),
                )
            raised.append(row)
        return raised


def _left(age_s: float) -> float:
    """Returns the part of the requests that still run after a time."""
    return math.exp(-min(age_s, MAX_AGE_S) / _RUN_S)


def _digest_age_s(inputs: Inputs, now_s: float) -> float:
    if inputs.daemons <= 1:
        return 0.0
    usual_s = _RELAYED_AGE_S if inputs.uses_relays else _DIRECT_AGE_S
    age_s = usual_s + max(0.0, now_s - inputs.loads.reported_at_s)
    return min(_UNKNOWN_AGE_S, age_s)


def _list_preferred(inputs: Inputs) -> tuple[str, ...]:
    """Gives each daemon a few servers, and each server to as many daemons."""
    servers, daemons = inputs.servers, max(1, inputs.daemons)
    start = inputs.place * len(servers) // daemons
    count = min(len(servers), math.ceil(len(servers) / daemons) + 1)
    return tuple(
        servers[(start + number) % len(servers)].name for number in range(count)
    )


def _fill(backlogs_s: Sequence[float], added_s: float) -> float:
    """Returns the level that servers reach if work goes to the least loaded.

    Args:
        backlogs_s: Backlogs of the servers, in ascending order.
        added_s: Work that is added to all of them together.

    Example:
        >>> _fill([0.0, 0.1, 0.5], 0.3)
        0.2
    """
    filled_s = 0.0
    for count, backlog_s in enumerate(backlogs_s):
        if count and backlog_s * count - filled_s >= added_s:
            return (added_s + filled_s) / count
        filled_s += backlog_s
    if not backlogs_s:
        return 0.0
    return (added_s + filled_s) / len(backlogs_s)
