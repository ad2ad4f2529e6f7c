"""Measures the cost of relaying tokens in a daemon, next to raw forwarding.

Source, relay and sink are processes of their own, so that the CPU time of the
relay can be read on its own.
"""

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
from turmericcroft_lab.hosted import loopback

_WARM_UP_S_PER_STREAM = 0.004
_MIN_WARM_UP_S = 0.5
_MIB = 1_048_576


@dataclasses.dataclass(frozen=True)
class RelayMeasurement:
    """Measurement of one relay with many open streams.

    Attributes:
        relay: The relay: ``floor`` (raw forwarding) or ``daemon``.
        streams: Number of open streams.
        interval_ms: Time between tokens of a stream at the source.
        tokens: Tokens that the sink received during the measurement.
        reads: Reads in which the sink received them.
        cpu_us_per_token: CPU time of the relay per token.
        core_share: Fraction of a core that the relay used.
        resident_mib: Resident memory of the relay while streaming.
        gap_p50_ms: Median time between reads of a stream at the sink.
        gap_p95_ms: 95th percentile of the time between reads at the sink.
        lost: Connections that the sink lost.
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
class IdleMeasurement:
    """Measurement of a daemon that serves no requests.

    Attributes:
        start_s: Time from the start of the process to readiness.
        resident_mib: Resident memory of the daemon.
        libraries_mib: Resident memory of an interpreter that only imported
            the libraries.
        interpreter_mib: Resident memory of an interpreter without them.
        core_share: Fraction of a core that the idle daemon uses.
    """

    start_s: float
    resident_mib: float
    libraries_mib: float
    interpreter_mib: float
    core_share: float


async def measure_floor(
    streams: int, interval_ms: float, duration_s: float
) -> RelayMeasurement:
    """Measures raw forwarding between source and sink."""
    source_port, port = loopback.free_port(), loopback.free_port()
    async with (
        _lab_process("source", port=source_port, interval_ms=interval_ms),
        _lab_process("floor", port=port, source_port=source_port) as relay,
    ):
        return await _measure(
            "floor", relay.pid, port, streams, interval_ms, duration_s
        )


async def measure_daemon(
    streams: int, interval_ms: float, duration_s: float, folder: pathlib.Path
) -> RelayMeasurement:
    """Measures a daemon that relays from source to sink."""
    source_port = loopback.free_port()
    async with (
        _lab_process("source", port=source_port, interval_ms=interval_ms),
        _single_daemon(source_port, folder) as daemon,
    ):
        port = int(daemon.callers_url.rpartition(":")[2])
        return await _measure(
            "daemon", daemon.process.pid, port, streams, interval_ms, duration_s
        )


async def measure_idle_daemon(
    folder: pathlib.Path, duration_s: float
) -> IdleMeasurement:
    """Measures the start and the idle load of a daemon."""
    started_s = time.perf_counter()
    async with _single_daemon(loopback.free_port(), folder) as daemon:
        start_s = time.perf_counter() - started_s
        process = psutil.Process(daemon.process.pid)
        cpu_before_s = _cpu_s(process)
        await asyncio.sleep(duration_s)
        cpu_s = _cpu_s(process) - cpu_before_s
        resident_mib = process.memory_info().rss / _MIB
    return IdleMeasurement(
        start_s,
        resident_mib,
        await _interpreter_resident_mib(
            "import aiohttp, aioprometheus, cattrs, cbor2, fire, logbook, "
            "sanic, sismic.io, uvloop, websockets.asyncio.server, xxhash"
        ),
        await _interpreter_resident_mib("import sys"),
        cpu_s / duration_s,
    )


async def _measure(
    name: str,
    pid: int,
    port: int,
    streams: int,
    interval_ms: float,
    duration_s: float,
) -> RelayMeasurement:
    relay = psutil.Process(pid)
    warm_s = max(_MIN_WARM_UP_S, streams * _WARM_UP_S_PER_STREAM)
    async with _lab_process(
        "sink",
        ports=port,
        streams=streams,
        warm_s=warm_s,
        count_s=duration_s,
    ) as sink:
        assert sink.stdout is not None
        await sink.stdout.readline()
        cpu_before_s, started_s = _cpu_s(relay), time.perf_counter()
        line = await sink.stdout.readline()
        elapsed_s = time.perf_counter() - started_s
        cpu_s = _cpu_s(relay) - cpu_before_s
        resident_mib = relay.memory_info().rss / _MIB
    counts = json.loads(line)
    return RelayMeasurement(
        relay=name,
        streams=streams,
        interval_ms=interval_ms,
        tokens=counts["events"],
        reads=counts["reads"],
        cpu_us_per_token=cpu_s * 1e6 / max(1, counts["events"]),
        core_share=cpu_s / elapsed_s,
        resident_mib=resident_mib,
        gap_p50_ms=counts["gap_p50_ms"],
        gap_p95_ms=counts["gap_p95_ms"],
        lost=counts["lost"],
    )


@contextlib.asynccontextmanager
async def _single_daemon(
    source_port: int, folder: pathlib.Path
) -> AsyncIterator[cluster.DaemonProcess]:
    plan = cluster.ClusterPlan(
        zones=("zone-a",),
        engines_per_zone=0,
        services_per_zone=0,
        daemons_per_zone=1,
    )
    lab = cluster.Cluster(plan, folder)
    source = world.ServerPlan(
        "source", "zone-a", source_port, ("survey",), True, 1.0
    )
    lab.platform.list_external_server(source, slots=100_000)
    try:
        await lab.start()
        await demo.apply_examples(lab)
        await lab.wait_for("/readyz")
        yield lab.daemons[0]
    finally:
        await lab.stop()


@contextlib.asynccontextmanager
async def _lab_process(
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


async def _interpreter_resident_mib(statement: str) -> float:
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
