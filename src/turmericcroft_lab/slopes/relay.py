"""Cost of a relayed token in one daemon, against raw forwarding."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import sys
import time
from collections.abc import AsyncIterator

import psutil

from turmericcroft_lab import cluster
from turmericcroft_lab import demo
from turmericcroft_lab import world

_WARM_S_PER_STREAM = 0.004
_MIN_WARM_S = 0.5
_MIB = 1_048_576


@dataclasses.dataclass(frozen=True)
class RelayPoint:
    """One measurement.

    Attributes:
        relay: What was measured: ``floor`` or ``daemon``.
        streams: Open streams.
        interval_ms: Time between tokens at the source.
        tokens: Tokens relayed while counting.
        reads: Reads that the caller needed.
        cpu_us_per_token: Processor time of the relay a token.
        core_share: Share of a core that it used.
        resident_mib: Resident memory while streaming.
        gap_p50_ms: Median time between reads at the caller.
        gap_p95_ms: Its 95th percentile.
        lost: Connections lost.
    """

    relay: str
    streams: int
    interval_ms: float
    tokens: int
    reads: int
    cpu_us_per_token: float
    core_share: float
    resident_mib: float
    gap_p50_ms: float
    gap_p95_ms: float
    lost: int


@dataclasses.dataclass(frozen=True)
class RestPoint:
    """A daemon at rest.

    Attributes:
        start_s: Time from the start of the process to readiness.
        resident_mib: Resident memory.
        libraries_mib: Resident memory of an interpreter that only imported
            the libraries.
        interpreter_mib: Resident memory of a bare interpreter.
        core_share: Share of a core that control uses at rest.
    """

    start_s: float
    resident_mib: float
    libraries_mib: float
    interpreter_mib: float
    core_share: float


async def measure_floor(
    streams: int, interval_ms: float, count_s: float
) -> RelayPoint:
    """Measures raw forwarding."""
    source_port, port = cluster.free_port(), cluster.free_port()
    async with (
        _process("source", port=source_port, interval_ms=interval_ms),
        _process("floor", port=port, source_port=source_port) as relay,
    ):
        return await _measure(
            "floor", relay.pid, port, streams, interval_ms, count_s
        )


async def measure_daemon(
    streams: int, interval_ms: float, count_s: float, folder: pathlib.Path
) -> RelayPoint:
    """Measures a daemon."""
    source_port = cluster.free_port()
    async with (
        _process("source", port=source_port, interval_ms=interval_ms),
        _one_daemon(source_port, folder) as daemon,
    ):
        port = int(daemon.callers_url.rpartition(":")[2])
        return await _measure(
            "daemon", daemon.process.pid, port, streams, interval_ms, count_s
        )


async def measure_rest(folder: pathlib.Path, count_s: float) -> RestPoint:
    """Measures a daemon that serves nobody."""
    began_s = time.perf_counter()
    async with _one_daemon(cluster.free_port(), folder) as daemon:
        start_s = time.perf_counter() - began_s
        process = psutil.Process(daemon.process.pid)
        before_s = _cpu_s(process)
        await asyncio.sleep(count_s)
        used_s = _cpu_s(process) - before_s
        resident = process.memory_info().rss / _MIB
    return RestPoint(
        start_s,
        resident,
        await _resident_after(
            "import aiohttp, aioprometheus, cattrs, cbor2, fire, logbook, "
            "sanic, sismic.io, uvloop, websockets.asyncio.server, xxhash"
        ),
        await _resident_after("import sys"),
        used_s / count_s,
    )


async def _measure(
    name: str,
    pid: int,
    port: int,
    streams: int,
    interval_ms: float,
    count_s: float,
) -> RelayPoint:
    relay = psutil.Process(pid)
    warm_s = max(_MIN_WARM_S, streams * _WARM_S_PER_STREAM)
    async with _process(
        "sink",
        ports=port,
        streams=streams,
        warm_s=warm_s,
        count_s=count_s,
    ) as sink:
        assert sink.stdout is not None
        await sink.stdout.readline()
        before_s, began_s = _cpu_s(relay), time.perf_counter()
        line = await sink.stdout.readline()
        took_s = time.perf_counter() - began_s
        used_s = _cpu_s(relay) - before_s
        resident = relay.memory_info().rss / _MIB
    tally = json.loads(line)
    return RelayPoint(
        relay=name,
        streams=streams,
        interval_ms=interval_ms,
        tokens=tally["events"],
        reads=tally["reads"],
        cpu_us_per_token=used_s * 1e6 / max(1, tally["events"]),
        core_share=used_s / took_s,
        resident_mib=resident,
        gap_p50_ms=tally["gap_p50_ms"],
        gap_p95_ms=tally["gap_p95_ms"],
        lost=tally["lost"],
    )


@contextlib.asynccontextmanager
async def _one_daemon(
    source_port: int, folder: pathlib.Path
) -> AsyncIterator[cluster.DaemonProcess]:
    plan = cluster.ClusterPlan(
        zones=("zone-a",),
        engines_per_zone=0,
        services_per_zone=0,
        daemons_per_zone=1,
    )
    running = cluster.Cluster(plan, folder)
    source = world.ServerPlan(
        "source", "zone-a", source_port, ("survey",), True, 1.0
    )
    running.platform.list_external_server(source, slots=100_000)
    try:
        await running.start()
        await demo.apply_examples(running)
        await running.wait_for("/readyz")
        yield running.daemons[0]
    finally:
        await running.stop()


@contextlib.asynccontextmanager
async def _process(
    module: str, **arguments: object
) -> AsyncIterator[asyncio.subprocess.Process]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"turmericcroft_lab.slopes.{module}",
        *(f"--{name}={value}" for name, value in arguments.items()),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        await asyncio.sleep(0.5)
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def _resident_after(statement: str) -> float:
    code = f"{statement}; input()"
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, stdin=asyncio.subprocess.PIPE
    )
    try:
        await asyncio.sleep(2.0)
        return float(psutil.Process(process.pid).memory_info().rss) / _MIB
    finally:
        process.kill()
        await process.wait()


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
