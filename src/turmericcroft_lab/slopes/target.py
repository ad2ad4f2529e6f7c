"""Computes what each role of a daemon costs at the size of the target.

The costs come from the measured series and are compared with their bounds.
"""

import dataclasses
from collections.abc import Iterator

from turmericcroft.answers import ledger
from turmericcroft.daemon import membership
from turmericcroft.daemon import shard
from turmericcroft_lab.slopes import relay
from turmericcroft_lab.slopes import series

DAEMONS = 410
SERVERS = 4_700
ZONES = 7
REQUESTS_PER_S = 47_000.0
TOKENS_PER_S = 11_000_000.0
CHANGES_PER_DAY = 6_600.0
ROWS = 10_000
NON_IDEMPOTENT_SHARE = 0.01
CALL_RETENTION_S = 3_600.0
PROMPT_CHARS = 4_000
CONTROL_CORES_BUDGET = 0.046
CONTROL_BYTES_PER_S_BUDGET = 10_000.0
MEMORY_BUDGET_MIB = 64.0
KEY_VALUE_WRITES_PER_S_BUDGET = 300.0
KEY_VALUE_READS_PER_S_BUDGET = 2_000.0
RELAY_CPU_US_PER_TOKEN_TARGET = 37.0
BETWEEN_TOKENS_MS = 50.0
FLOOR_RATIO_TARGET = 1.5
VM_LIST_INTERVAL_S = 1.0
_DAY_S = 86_400.0
_MIB = 1_048_576.0


@dataclasses.dataclass(frozen=True)
class Results:
    """All measured series and measurements of the relay."""

    series: tuple[series.Series, ...]
    measurements: tuple[relay.RelayMeasurement, ...]
    idle: relay.IdleMeasurement

    def fitted_value(self, name: str, size: float) -> float:
        """Returns the value of a series' fitted line at a size."""
        fit = next(s for s in self.series if s.name == name).fit()
        return fit.slope * size + fit.intercept

    def largest_size_value(self, name: str) -> float:
        """Returns the measured value of a series at its largest size."""
        return next(s for s in self.series if s.name == name).values[-1]


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of the table.

    Attributes:
        role: Role that has the cost.
        quantity: Name of the quantity.
        value: Value at the size of the target.
        unit: Unit of the value.
        bound: Largest permitted value, if there is a bound.
        source: Series or calculation that the value comes from.
    """

    role: str
    quantity: str
    value: float
    unit: str
    bound: float | None
    source: str

    @property
    def verdict(self) -> str:
        """Whether the value is within its bound; empty without a bound."""
        if self.bound is None:
            return ""
        return "ok" if self.value <= self.bound else "**RED**"


def compute_lines(results: Results) -> Iterator[Line]:
    """Computes all lines of the table."""
    yield from _relay_lines(results)
    yield from _request_lines(results)
    yield from _control_lines(results)
    yield from _key_value_lines(results)


def render(results: Results) -> str:
    """Renders the table as Markdown."""
    text = [
        "| role | quantity | at the target | unit | bound | | from |",
        "|---|---|---|---|---|---|---|",
    ]
    for line in compute_lines(results):
        bound = "" if line.bound is None else f"{line.bound:g}"
        text.append(
            f"| {line.role} | {line.quantity} | {line.value:.4g} | "
            f"{line.unit} | {bound} | {line.verdict} | {line.source} |"
        )
    return "\n".join(text) + "\n"


def _relay_lines(results: Results) -> Iterator[Line]:
    slow = [p for p in results.measurements if p.interval_ms >= 50]
    fast = [p for p in results.measurements if p.interval_ms < 50]
    floor = [p for p in slow if p.relay == "floor"][-1]
    daemon = [p for p in slow if p.relay == "daemon"][-1]
    fast_daemon = [p for p in fast if p.relay == "daemon"][-1]
    role = "token relay"
    tokens = TOKENS_PER_S / DAEMONS
    yield Line(role, "tokens a daemon", tokens, "/s", None, "11 M/s over 410")
    yield Line(
        role,
        f"CPU a token, {daemon.streams} streams",
        daemon.cpu_us_per_token,
        "us",
        RELAY_CPU_US_PER_TOKEN_TARGET,
        "relay",
    )
    yield Line(
        role,
        "CPU a token over raw forwarding",
        daemon.cpu_us_per_token / floor.cpu_us_per_token,
        "times",
        FLOOR_RATIO_TARGET,
        "relay, floor",
    )
    yield Line(
        role,
        "core for all tokens",
        tokens * daemon.cpu_us_per_token / 1e6,
        "cores",
        1.0,
        "relay",
    )
    yield Line(
        role,
        "writes a token at 25 ms a token",
        fast_daemon.reads / fast_daemon.tokens,
        "",
        0.6,
        "relay",
    )
    yield Line(
        role,
        "time between reads at the caller, p95, at 25 ms a token",
        fast_daemon.gap_p95_ms,
        "ms",
        BETWEEN_TOKENS_MS,
        "relay",
    )
    smallest = next(p for p in slow if p.relay == "daemon")
    mib_per_stream = (daemon.resident_mib - smallest.resident_mib) / (
        daemon.streams - smallest.streams
    )
    yield Line(
        role, "memory a stream", mib_per_stream * 1024, "KiB", None, "relay"
    )


def _request_lines(results: Results) -> Iterator[Line]:
    daemon_requests_per_s = REQUESTS_PER_S / DAEMONS
    yield Line(
        "routing",
        "CPU a request, 4,700 servers",
        results.fitted_value("route", SERVERS),
        "us",
        None,
        "route",
    )
    yield Line(
        "routing",
        "growth from 10 to 5,000 servers",
        _growth(results, "route"),
        "times",
        3.7,
        "route; bound is log(5000)/log(10)",
    )
    yield Line(
        "routing",
        "loop blocked when a server leaves",
        results.fitted_value("rebuild one ring", SERVERS) / 1e3,
        "ms",
        BETWEEN_TOKENS_MS,
        "rebuild one ring",
    )
    yield Line(
        "routing",
        "loop blocked at the start, by the first list",
        results.fitted_value("build rings", SERVERS) / 1e3,
        "ms",
        None,
        "build rings",
    )
    yield Line(
        "hand-over",
        "buddy: CPU a request told and taken",
        results.fitted_value("buddy", PROMPT_CHARS),
        "us",
        None,
        "buddy",
    )
    yield Line(
        "hand-over",
        "buddy: serving bytes sent",
        daemon_requests_per_s * (PROMPT_CHARS + 300),
        "B/s",
        None,
        "buddy",
    )
    yield Line(
        "hand-over",
        "CPU for 1,350 answers of 230 tokens",
        1_350 * results.fitted_value("hand-over", 230) / 1e6,
        "s",
        5.0,
        "hand-over; bound is the hand-over's time",
    )


def _control_lines(results: Results) -> Iterator[Line]:
    changes_per_s = CHANGES_PER_DAY / _DAY_S
    cpu_us_per_s = {
        "membership": results.largest_size_value("heartbeats"),
        "configuration": changes_per_s
        * results.fitted_value("put in force", ROWS),
        "load view": SERVERS
        / ZONES
        * results.largest_size_value("load report"),
        "VM list": results.fitted_value("rebuild one ring", SERVERS)
        * 490
        * 2
        / _DAY_S,
    }
    sent_bytes_per_s = {
        "membership": results.largest_size_value("heartbeats sent"),
        "configuration": changes_per_s * results.largest_size_value("change"),
        "VM list": results.fitted_value("VM list", SERVERS)
        / VM_LIST_INTERVAL_S,
        "member listing": results.fitted_value("member listing", DAEMONS)
        / membership.list_interval_s(DAEMONS),
    }
    memory_bytes = {
        "membership": results.fitted_value("member view", DAEMONS),
        "configuration": results.fitted_value("configuration", ROWS),
        "load view": results.fitted_value("load view", SERVERS),
        "ledger": _remembered_calls_per_daemon()
        * results.fitted_value("remembered calls", 1_000)
        / 1_000,
    }
    for role, us_per_s in cpu_us_per_s.items():
        yield Line(role, "CPU", us_per_s / 1e6, "cores", None, role)
    yield Line(
        "control",
        "CPU in all",
        sum(cpu_us_per_s.values()) / 1e6,
        "cores",
        CONTROL_CORES_BUDGET,
        "sum",
    )
    for role, rate in sent_bytes_per_s.items():
        yield Line(role, "bytes", rate, "B/s", None, role)
    yield Line(
        "control",
        "bytes in all",
        sum(sent_bytes_per_s.values()),
        "B/s",
        CONTROL_BYTES_PER_S_BUDGET,
        "sum",
    )
    for role, size in memory_bytes.items():
        yield Line(role, "state", size / _MIB, "MiB", None, role)
    yield Line(
        "control",
        "state in all, above interpreter and libraries",
        sum(memory_bytes.values()) / _MIB,
        "MiB",
        MEMORY_BUDGET_MIB,
        "sum",
    )
    idle = results.idle
    yield Line(
        "process",
        "resident at rest, all counted",
        idle.resident_mib,
        "MiB",
        MEMORY_BUDGET_MIB,
        "rest",
    )
    yield Line(
        "process",
        "of it interpreter and libraries",
        idle.libraries_mib,
        "MiB",
        None,
        "rest",
    )
    yield Line(
        "process",
        "CPU at rest",
        idle.core_share,
        "cores",
        CONTROL_CORES_BUDGET,
        "rest",
    )
    yield Line(
        "configuration",
        "loop blocked by a change",
        results.fitted_value("put in force", ROWS) / 1e3,
        "ms",
        BETWEEN_TOKENS_MS,
        "put in force",
    )
    yield Line("process", "start to ready", idle.start_s, "s", None, "rest")
    yield Line(
        "time line",
        "CPU an event",
        results.largest_size_value("time line"),
        "us",
        None,
        "time line",
    )


def _key_value_lines(results: Results) -> Iterator[Line]:
    claims_per_s = REQUESTS_PER_S * NON_IDEMPOTENT_SHARE
    max_appends_per_s = ledger.SHARDS / shard.APPEND_INTERVAL_S
    renewals_per_s = DAEMONS / (membership.LEASE_TTL_S / 3.0)
    changes_per_s = CHANGES_PER_DAY / _DAY_S
    role = "key-value service"
    yield Line(
        role,
        "ledger appends, most",
        max_appends_per_s,
        "/s",
        None,
        "one append a shard in each interval",
    )
    yield Line(
        role,
        "claims and ends an append, 1 % of calls ordered",
        2 * claims_per_s / max_appends_per_s,
        "",
        1_000,
        "470 claims/s",
    )
    yield Line(role, "lease renewals", renewals_per_s, "/s", None, "membership")
    yield Line(
        role,
        "writes in all",
        max_appends_per_s + renewals_per_s + 3 * changes_per_s,
        "/s",
        KEY_VALUE_WRITES_PER_S_BUDGET,
        "sum; several hundred",
    )
    lists_per_s = DAEMONS / membership.list_interval_s(DAEMONS)
    yield Line(role, "member lists", lists_per_s, "/s", None, "membership")
    yield Line(
        role,
        "reads in all",
        lists_per_s + DAEMONS / 30.0 + 2 * ZONES * changes_per_s,
        "/s",
        KEY_VALUE_READS_PER_S_BUDGET,
        "sum; about two thousand",
    )
    yield Line(role, "waiting watches", 2.0 * ZONES, "", None, "two a zone")
    yield Line(
        role,
        "bytes that the ledger holds, 1 h remembered",
        claims_per_s
        * CALL_RETENTION_S
        * results.fitted_value("claim batch", 1_000)
        / 1_000
        / _MIB,
        "MiB",
        None,
        "claim batch",
    )
    yield Line(
        role,
        "the same for 24 h remembered",
        claims_per_s
        * _DAY_S
        * results.fitted_value("claim batch", 1_000)
        / 1_000
        / _MIB,
        "MiB",
        2_048.0,
        "claim batch; bound is a small store's usual quota",
    )


def _remembered_calls_per_daemon() -> float:
    """Returns the number of calls that the owner of one shard remembers.

    Each is remembered for ``CALL_RETENTION_S``, an hour.
    """
    claims_per_s = REQUESTS_PER_S * NON_IDEMPOTENT_SHARE
    return claims_per_s * CALL_RETENTION_S / ledger.SHARDS


def _growth(results: Results, name: str) -> float:
    values = next(s for s in results.series if s.name == name).values
    return values[-1] / values[0]
