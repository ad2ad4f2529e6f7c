"""What each role costs at the target's size, worked out from the slopes."""

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
ORDERED_SHARE = 0.01
RETENTION_S = 3_600.0
PROMPT_CHARS = 4_000
CORE_BUDGET = 0.046
BYTES_BUDGET = 10_000.0
MEMORY_BUDGET_MIB = 64.0
KEY_VALUE_WRITES = 300.0
KEY_VALUE_READS = 2_000.0
RELAY_US_TARGET = 37.0
BETWEEN_TOKENS_MS = 50.0
FLOOR_RATIO_TARGET = 1.5
VM_LIST_INTERVAL_S = 1.0
_DAY_S = 86_400.0
_MIB = 1_048_576.0


@dataclasses.dataclass(frozen=True)
class Results:
    """All that was measured."""

    series: tuple[series.Series, ...]
    points: tuple[relay.RelayPoint, ...]
    rest: relay.RestPoint

    def at(self, name: str, size: float) -> float:
        """Reads a series' line at a size."""
        fit = next(s for s in self.series if s.name == name).fit()
        return fit.slope * size + fit.intercept

    def last(self, name: str) -> float:
        """Reads a series at its largest size."""
        return next(s for s in self.series if s.name == name).values[-1]


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of the table.

    Attributes:
        role: The role.
        quantity: What is stated.
        value: Its value at the target.
        unit: Its unit.
        bound: The target's bound, if there is one.
        source: The series that it comes from.
    """

    role: str
    quantity: str
    value: float
    unit: str
    bound: float | None
    source: str

    @property
    def verdict(self) -> str:
        """Whether the bound holds."""
        if self.bound is None:
            return ""
        return "ok" if self.value <= self.bound else "**RED**"


def lines(results: Results) -> Iterator[Line]:
    """Works out every line."""
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
    for line in lines(results):
        bound = "" if line.bound is None else f"{line.bound:g}"
        text.append(
            f"| {line.role} | {line.quantity} | {line.value:.4g} | "
            f"{line.unit} | {bound} | {line.verdict} | {line.source} |"
        )
    return "\n".join(text) + "\n"


def _relay_lines(results: Results) -> Iterator[Line]:
    slow = [p for p in results.points if p.interval_ms >= 50]
    fast = [p for p in results.points if p.interval_ms < 50]
    floor = [p for p in slow if p.relay == "floor"][-1]
    daemon = [p for p in slow if p.relay == "daemon"][-1]
    paced = [p for p in fast if p.relay == "daemon"][-1]
    role = "token relay"
    tokens = TOKENS_PER_S / DAEMONS
    yield Line(role, "tokens a daemon", tokens, "/s", None, "11 M/s over 410")
    yield Line(
        role,
        f"CPU a token, {daemon.streams} streams",
        daemon.cpu_us_per_token,
        "us",
        RELAY_US_TARGET,
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
        paced.reads / paced.tokens,
        "",
        0.6,
        "relay",
    )
    yield Line(
        role,
        "time between reads at the caller, p95, at 25 ms a token",
        paced.gap_p95_ms,
        "ms",
        BETWEEN_TOKENS_MS,
        "relay",
    )
    smallest = next(p for p in slow if p.relay == "daemon")
    per_stream = (daemon.resident_mib - smallest.resident_mib) / (
        daemon.streams - smallest.streams
    )
    yield Line(role, "memory a stream", per_stream * 1024, "KiB", None, "relay")


def _request_lines(results: Results) -> Iterator[Line]:
    each = REQUESTS_PER_S / DAEMONS
    yield Line(
        "routing",
        "CPU a request, 4,700 servers",
        results.at("route", SERVERS),
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
        results.at("rebuild one ring", SERVERS) / 1e3,
        "ms",
        BETWEEN_TOKENS_MS,
        "rebuild one ring",
    )
    yield Line(
        "routing",
        "loop blocked at the start, by the first list",
        results.at("build rings", SERVERS) / 1e3,
        "ms",
        None,
        "build rings",
    )
    yield Line(
        "hand-over",
        "buddy: CPU a request told and taken",
        results.at("buddy", PROMPT_CHARS),
        "us",
        None,
        "buddy",
    )
    yield Line(
        "hand-over",
        "buddy: serving bytes sent",
        each * (PROMPT_CHARS + 300),
        "B/s",
        None,
        "buddy",
    )
    yield Line(
        "hand-over",
        "CPU for 1,350 answers of 230 tokens",
        1_350 * results.at("hand-over", 230) / 1e6,
        "s",
        5.0,
        "hand-over; bound is the hand-over's time",
    )


def _control_lines(results: Results) -> Iterator[Line]:
    changes = CHANGES_PER_DAY / _DAY_S
    cpu = {
        "membership": results.last("heartbeats"),
        "configuration": changes * results.at("put in force", ROWS),
        "load view": SERVERS / ZONES * results.last("load report"),
        "VM list": results.at("rebuild one ring", SERVERS) * 490 * 2 / _DAY_S,
    }
    sent = {
        "membership": results.last("heartbeats sent"),
        "configuration": changes * results.last("change"),
        "VM list": results.at("VM list", SERVERS) / VM_LIST_INTERVAL_S,
        "member listing": results.at("member listing", DAEMONS)
        / membership.list_interval_s(DAEMONS),
    }
    memory = {
        "membership": results.at("member view", DAEMONS),
        "configuration": results.at("configuration", ROWS),
        "load view": results.at("load view", SERVERS),
        "ledger": _remembered_a_daemon()
        * results.at("remembered calls", 1_000)
        / 1_000,
    }
    for role, us_per_s in cpu.items():
        yield Line(role, "CPU", us_per_s / 1e6, "cores", None, role)
    yield Line(
        "control",
        "CPU in all",
        sum(cpu.values()) / 1e6,
        "cores",
        CORE_BUDGET,
        "sum",
    )
    for role, rate in sent.items():
        yield Line(role, "bytes", rate, "B/s", None, role)
    yield Line(
        "control",
        "bytes in all",
        sum(sent.values()),
        "B/s",
        BYTES_BUDGET,
        "sum",
    )
    for role, size in memory.items():
        yield Line(role, "state", size / _MIB, "MiB", None, role)
    yield Line(
        "control",
        "state in all, above interpreter and libraries",
        sum(memory.values()) / _MIB,
        "MiB",
        MEMORY_BUDGET_MIB,
        "sum",
    )
    rest = results.rest
    yield Line(
        "process",
        "resident at rest, all counted",
        rest.resident_mib,
        "MiB",
        MEMORY_BUDGET_MIB,
        "rest",
    )
    yield Line(
        "process",
        "of it interpreter and libraries",
        rest.libraries_mib,
        "MiB",
        None,
        "rest",
    )
    yield Line(
        "process", "CPU at rest", rest.core_share, "cores", CORE_BUDGET, "rest"
    )
    yield Line(
        "configuration",
        "loop blocked by a change",
        results.at("put in force", ROWS) / 1e3,
        "ms",
        BETWEEN_TOKENS_MS,
        "put in force",
    )
    yield Line("process", "start to ready", rest.start_s, "s", None, "rest")
    yield Line(
        "time line",
        "CPU an event",
        results.last("time line"),
        "us",
        None,
        "time line",
    )


def _key_value_lines(results: Results) -> Iterator[Line]:
    claims = REQUESTS_PER_S * ORDERED_SHARE
    most_appends = ledger.SHARDS / shard.APPEND_INTERVAL_S
    renewals = DAEMONS / (membership.LEASE_TTL_S / 3.0)
    changes = CHANGES_PER_DAY / _DAY_S
    role = "key-value service"
    yield Line(
        role,
        "ledger appends, most",
        most_appends,
        "/s",
        None,
        "one append a shard in each interval",
    )
    yield Line(
        role,
        "claims and ends an append, 1 % of calls ordered",
        2 * claims / most_appends,
        "",
        1_000,
        "470 claims/s",
    )
    yield Line(role, "lease renewals", renewals, "/s", None, "membership")
    yield Line(
        role,
        "writes in all",
        most_appends + renewals + 3 * changes,
        "/s",
        KEY_VALUE_WRITES,
        "sum; several hundred",
    )
    lists = DAEMONS / membership.list_interval_s(DAEMONS)
    yield Line(role, "member lists", lists, "/s", None, "membership")
    yield Line(
        role,
        "reads in all",
        lists + DAEMONS / 30.0 + 2 * ZONES * changes,
        "/s",
        KEY_VALUE_READS,
        "sum; about two thousand",
    )
    yield Line(role, "waiting watches", 2.0 * ZONES, "", None, "two a zone")
    yield Line(
        role,
        "bytes that the ledger holds, 1 h remembered",
        claims * RETENTION_S * results.at("claim batch", 1_000) / 1_000 / _MIB,
        "MiB",
        None,
        "claim batch",
    )
    yield Line(
        role,
        "the same for 24 h remembered",
        claims * _DAY_S * results.at("claim batch", 1_000) / 1_000 / _MIB,
        "MiB",
        2_048.0,
        "claim batch; bound is a small store's usual quota",
    )


def _remembered_a_daemon() -> float:
    """Calls that the owner of one shard remembers for an hour."""
    claims = REQUESTS_PER_S * ORDERED_SHARE
    return claims * RETENTION_S / ledger.SHARDS


def _growth(results: Results, name: str) -> float:
    values = next(s for s in results.series if s.name == name).values
    return values[-1] / values[0]
