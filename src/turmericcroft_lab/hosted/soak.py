"""Randomized soak test of real gateway processes under injected faults.

Faults follow one another at random intervals and overlap: daemons are stopped,
killed, paused and sent HUP, and restarted when they have ended; backend servers
crash, drain, vanish from the registry, refuse requests and send faulty
responses; the store is busy, silent or slow, resets connections, and loses
responses and history; connections to backend servers and to the store are
delayed, reset, blocked one way or silenced; declarations change. On request the
store also continues from older copies.

On request engines crash on one part of a prompt, which some clients send,
backend servers state limits of requests per second, engines change software
versions while clients take streams up at other daemons, daemons are partitioned
from all backend servers, services are rolled out to good and bad versions, and
servers fall silent for a second and answer twice on kept connections. Engines
may be processes that are killed and replaced at their ports. Services have
releases while daemons are paused or cut off from all others. Some streams last
seconds, so that they move when their engine leaves; on request, while the
engines or daemons that take part in the move are killed or paused. Client
accounts come and go, the last one too, and are declared oddly.

The gateway's guarantees are checked by what clients and backend servers
observe: a request that must not be retried is executed at most once, and not at
all if the response denies it; a successful response is complete and belongs to
its request; once all faults have ended, requests succeed again.

Recorded seeds are played again: the sequence of draws, and the order of the
choices in each tuple, must not change.
"""

import asyncio
import dataclasses
import os
import pathlib
import random
import shutil
import signal
import tempfile
import typing
from collections.abc import Coroutine

from turmericcroft_lab.hosted import backend
from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import loopback
from turmericcroft_lab.hosted import proxy
from turmericcroft_lab.hosted import soak_brittle
from turmericcroft_lab.hosted import soak_checks
from turmericcroft_lab.hosted import soak_crashes
from turmericcroft_lab.hosted import soak_keys
from turmericcroft_lab.hosted import soak_long
from turmericcroft_lab.hosted import soak_moves
from turmericcroft_lab.hosted import soak_partitions
from turmericcroft_lab.hosted import soak_processes
from turmericcroft_lab.hosted import soak_releases
from turmericcroft_lab.hosted import soak_rollouts
from turmericcroft_lab.hosted import soak_skewed
from turmericcroft_lab.hosted import soak_stutter
from turmericcroft_lab.hosted import store

_CLIENT_COUNT = 6
_ENGINE_PROCESSES = 4
_REQUEST_INTERVAL_S = 0.02
_FAULT_INTERVAL_S = (0.1, 0.8)
_RECOVERY_S = 6.0
# Streams move soon after it is announced.
_LEAVES_MS = 800
_RESPONSE_FAULTS = (
    backend.Behaviour.REFUSE,
    backend.Behaviour.FAIL,
    backend.Behaviour.UNAVAILABLE,
    backend.Behaviour.RESET,
    backend.Behaviour.TRUNCATE,
    backend.Behaviour.EXTRA,
    backend.Behaviour.FOREIGN,
    backend.Behaviour.UNFRAMED,
    backend.Behaviour.UNFRAMED_RESET,
    backend.Behaviour.UNSIGNED,
    backend.Behaviour.BREAK,
    backend.Behaviour.SKIP,
)
_FINAL_LIMIT_PER_S = 1.0
_LIMIT_CONTACT_S = 3.0
_LIMIT_WINDOW_S = 4.0
_PATHS = (
    ("GET", "/read/", True),
    ("POST", "/book/", False),
    ("POST", "/stream/fixed/", False),
    ("POST", "/stream/again/", True),
)


@dataclasses.dataclass(frozen=True)
class Report:
    """Result of one soak.

    Attributes:
        seed: Seed of the random draws.
        requests: Number of requests sent while faults were injected.
        succeeded: Number of these with a complete response of status 200.
        streams: Its streams, and how they went on.
        faults: Injected faults, in order.
        violations: Guarantees that were violated, each with its request.
    """

    seed: int
    requests: int
    succeeded: int
    streams: soak_checks.StreamCounts
    faults: tuple[str, ...]
    violations: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Options:
    """What a soak runs and which faults it adds.

    Attributes:
        daemons: Number of gateway daemons.
        restores: Whether the store also continues from older copies.
        crashing_part: Whether engines crash on a part of some prompts.
        limits: Whether backend servers state limits of requests per second.
        releases: Whether engines change software versions.
        partitions: Whether daemons are partitioned from all backend servers.
        brittle: Whether bursts meet brittle servers at the end.
        rollouts: Whether services are rolled out to good and bad versions.
        stutter: Whether servers fall silent and answer twice, to clients that
            keep their connections.
        kills: Whether engines are processes that are killed and replaced, and
            daemons get series of signals.
        moves: Whether engines leave while long streams run, and the moves of
            these are disturbed.
        skewed: Whether services have releases while daemons are paused, or cut
            off from the store and each other.
        keys: Whether client accounts come and go and are declared oddly.
        earlier_build: Source folder of an earlier build that every other daemon
            runs until it is restarted; empty for one build.
        logs: Folder in which the daemons' logs of a run with violations are
            kept; empty to keep none.
    """

    daemons: int = 3
    restores: bool = False
    crashing_part: bool = False
    limits: bool = False
    releases: bool = False
    partitions: bool = False
    brittle: bool = False
    rollouts: bool = False
    stutter: bool = False
    kills: bool = False
    moves: bool = False
    skewed: bool = False
    keys: bool = False
    earlier_build: str = ""
    logs: str = ""

    @property
    def has_long_streams(self) -> bool:
        """Whether some streams last seconds: with kills, or no other faults."""
        usual = Options(
            self.daemons, earlier_build=self.earlier_build, logs=self.logs
        )
        return dataclasses.replace(self, kills=False, moves=False) == usual


def run(seed: int, seconds: float, options: Options | None = None) -> Report:
    """Runs one soak.

    Args:
        seed: Seed of the random draws.
        seconds: How long faults are injected.
        options: What it runs and which faults it adds.
    """
    with tempfile.TemporaryDirectory() as folder, loopback.port_scope():
        path = pathlib.Path(folder)
        options = options or Options()
        report = asyncio.run(_soak(seed, seconds, options, path))
        if report.violations and options.logs:
            kept = pathlib.Path(options.logs, f"seed-{seed}-{os.getpid()}")
            shutil.copytree(path, kept)
        return report


async def _soak(
    seed: int, seconds: float, options: Options, folder: pathlib.Path
) -> Report:
    fleet = fleets.Fleet(
        folder,
        proxied=True,
        partitionable=options.partitions,
        earlier_build=(
            pathlib.Path(options.earlier_build)
            if options.earlier_build
            else None
        ),
        isolatable=options.skewed,
        skewed_services=soak_skewed.SERVICES if options.skewed else 0,
    )
    rng = random.Random(seed)
    results: list[soak_checks.RequestResult] = []
    streams: list[soak_releases.Stream] = []
    faults: list[str] = []
    rolling = soak_rollouts.Rolling(fleet, seed)
    processes = soak_processes.Processes(fleet, seed)
    moves = soak_moves.Moves(fleet, seed, processes)
    skew = soak_skewed.Skew(fleet, seed, streams, faults)
    try:
        versions = soak_releases.VERSIONS if options.releases else ("v1",)
        engines = _count_engines(options)
        await fleet.start(options.daemons, 3, engines, versions)
        await processes.start(_ENGINE_PROCESSES if options.kills else 0)
        await moves.start(options.moves)
        await skew.start(options.skewed)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        rolling.start(options.rollouts, faults, end_s)
        # The task group cancels the other tasks when one fails, before the
        # fleet is closed. Otherwise a task could start a daemon that nothing
        # stops.
        async with asyncio.TaskGroup() as group:
            group.create_task(_inject_faults(fleet, rng, faults, end_s))
            group.create_task(skew.run(end_s))
            if options.kills:
                group.create_task(processes.run(results, faults, end_s))
            if options.moves:
                group.create_task(moves.run(results, faults, end_s))
            for optional in _optional_faults(
                fleet, seed, options, results, streams, faults, end_s
            ):
                group.create_task(optional)
            for number in range(_CLIENT_COUNT):
                client_rng = random.Random(f"{seed}/{number}")
                group.create_task(
                    _run_client(fleet, client_rng, number, results, end_s)
                )
        await _clear_faults(fleet)
        await asyncio.sleep(_RECOVERY_S)
        final_results: list[soak_checks.RequestResult] = []
        await _run_client(fleet, rng, 99, final_results, loop.time() + 2.0)
        violations = await rolling.find_violations(results)
        if options.releases:
            violations += await soak_releases.find_lost(fleet, rng, streams)
        violations += await skew.find_violations()
        violations += soak_releases.find_violations(streams)
        if options.partitions:
            violations += await soak_partitions.find_violations(fleet, results)
        if options.brittle:
            violations += await soak_brittle.find_violations(fleet, results)
        violations += soak_checks.find_violations(
            fleet,
            [*results, *final_results],
            final_results,
            {name for stream in streams for name in stream.request_ids}
            | moves.own_ids,
            [*processes.all, *moves.all],
        )
        violations += await _find_optional_violations(fleet, options)
        if options.kills or options.moves:
            violations += await soak_long.find_violations(
                fleet, [*fleet.backends.values(), *processes.all, *moves.all]
            )
    finally:
        rolling.cancel()
        await processes.close()
        await moves.close()
        await fleet.close()
    succeeded = sum(
        result.status == 200 and result.complete for result in results
    )
    counts = soak_checks.count_streams(
        results, [*fleet.backends.values(), *processes.all, *moves.all]
    )
    taken_up = counts.taken_up + sum(s.is_taken_up for s in streams)
    counts = dataclasses.replace(counts, taken_up=taken_up)
    return Report(
        seed, len(results), succeeded, counts, tuple(faults), tuple(violations)
    )


def _count_engines(options: Options) -> int:
    """Returns the number of engines within this process."""
    if options.crashing_part or options.releases:
        return 6
    return 0 if options.kills else 3


def _optional_faults(
    fleet: fleets.Fleet,
    seed: int,
    options: Options,
    results: list[soak_checks.RequestResult],
    streams: list[soak_releases.Stream],
    faults: list[str],
    end_s: float,
) -> list[Coroutine[typing.Any, typing.Any, None]]:
    """Returns what injects the faults that the options add.

    Each has draws of its own, so that recorded seeds keep theirs.
    """
    found: list[Coroutine[typing.Any, typing.Any, None]] = []
    if options.crashing_part:
        rng = random.Random(f"{seed}/crashing part")
        found.append(soak_crashes.run(fleet, rng, results, end_s))
    if options.has_long_streams:
        found.append(soak_long.run(fleet, seed, results, end_s))
    if options.stutter:
        found.append(soak_stutter.run(fleet, seed, results, faults, end_s))
    if options.keys:
        found.append(soak_keys.run(fleet, seed, faults, end_s))
    if options.limits:
        rng = random.Random(f"{seed}/limits")
        found.append(_change_limits(fleet, rng, faults, end_s))
    if options.releases:
        found.append(soak_releases.run(fleet, seed, streams, faults, end_s))
    if options.partitions:
        found.append(soak_partitions.run(fleet, seed, faults, end_s))
    if options.restores:
        rng = random.Random(f"{seed}/restores")
        found.append(_restore_store(fleet, rng, faults, end_s))
    return found


async def _find_optional_violations(
    fleet: fleets.Fleet,
    options: Options,
) -> list[str]:
    """Makes the checks of limits and crashes, by the options."""
    violations: list[str] = []
    if options.keys:
        violations += await soak_keys.find_violations(fleet)
    if options.limits:
        violations += await _find_limit_violations(fleet)
    if options.crashing_part:
        violations += await soak_crashes.find_violations(fleet)
    return violations


async def _run_client(
    fleet: fleets.Fleet,
    rng: random.Random,
    client: int,
    results: list[soak_checks.RequestResult],
    end_s: float,
) -> None:
    number = 0
    while asyncio.get_running_loop().time() < end_s:
        number += 1
        method, path, retryable = rng.choice(_PATHS)
        request_id = f"c{client}-{number}"
        name = rng.choice(sorted(fleet.daemons))
        status, body, complete = await fleets.call(
            fleet.daemons[name].ports[0],
            method,
            f"{path}{number}",
            request_id,
            b"x" if method == "POST" else b"",
        )
        results.append(
            soak_checks.RequestResult(
                request_id, path, retryable, status, body, complete
            )
        )
        await asyncio.sleep(_REQUEST_INTERVAL_S)


async def _change_limits(
    fleet: fleets.Fleet, rng: random.Random, faults: list[str], end_s: float
) -> None:
    """Lets one backend server after the other state a limit and end it."""
    while asyncio.get_running_loop().time() < end_s:
        server = fleet.backends[rng.choice(sorted(fleet.backends))]
        limit = rng.choice(("0", "0.5", "2", "20"))
        faults.append(f"limit {server.name} {limit}")
        server.headers = {"Server-Limit": limit}
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        server.headers = {}


async def _find_limit_violations(fleet: fleets.Fleet) -> list[str]:
    """Lets one server state a limit, and counts what it gets thereafter."""
    loop = asyncio.get_running_loop()
    limited = next(s for s in fleet.backends.values() if s.service == "plain")
    limited.headers = {"Server-Limit": str(_FINAL_LIMIT_PER_S)}
    results: list[soak_checks.RequestResult] = []
    await _run_load(fleet, results, loop.time() + _LIMIT_CONTACT_S)
    before = len(limited.received)
    await _run_load(fleet, results, loop.time() + _LIMIT_WINDOW_S)
    limited.headers = {}
    received = len(limited.received) - before
    allowed = 1.5 * _FINAL_LIMIT_PER_S * _LIMIT_WINDOW_S + 5
    violations = []
    if received > allowed:
        violations.append(f"{received} requests at a limit of {allowed}")
    answered = sum(result.status == 200 for result in results)
    if answered < 0.9 * len(results):
        violations.append(f"{answered} of {len(results)} beside a limit")
    return violations


async def _run_load(
    fleet: fleets.Fleet, results: list[soak_checks.RequestResult], end_s: float
) -> None:
    async with asyncio.TaskGroup() as group:
        for number in range(_CLIENT_COUNT):
            rng = random.Random(number)
            group.create_task(
                _run_client(fleet, rng, 100 + number, results, end_s)
            )


async def _inject_faults(
    fleet: fleets.Fleet,
    rng: random.Random,
    faults: list[str],
    end_s: float,
) -> None:
    """Injects faults at random intervals; faults may overlap."""
    injectors = (
        _inject_daemon_fault,
        _inject_server_fault,
        _inject_link_fault,
        _inject_response_faults,
        _inject_store_fault,
        _change_declaration,
    )
    async with asyncio.TaskGroup() as group:
        while asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(rng.uniform(*_FAULT_INTERVAL_S))
            inject = rng.choice(injectors)
            group.create_task(inject(fleet, rng, faults))


async def _inject_daemon_fault(
    fleet: fleets.Fleet, rng: random.Random, faults: list[str]
) -> None:
    name = rng.choice(sorted(fleet.daemons))
    daemon = fleet.daemons[name]
    process = daemon.process
    if process.returncode is not None:
        return
    kind = rng.choice(("TERM", "KILL", "STOP", "HUP"))
    faults.append(f"{kind} {name}")
    process.send_signal(signal.Signals[f"SIG{kind}"])
    match kind:
        case "STOP":
            await asyncio.sleep(rng.uniform(0.2, 4.0))
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
        case "TERM" | "KILL":
            await process.wait()
            await asyncio.sleep(0.3)
            await fleet.restart(daemon, name)


async def _inject_server_fault(
    fleet: fleets.Fleet, rng: random.Random, faults: list[str]
) -> None:
    server = fleet.backends[rng.choice(sorted(fleet.backends))]
    kind = rng.choice(("crash", "drain", "vanish"))
    if server.name in fleet.crashed:
        return
    faults.append(f"{kind} {server.name}")
    match kind:
        case "crash":
            fleet.crashed.add(server.name)
            port = server.port
            await server.close()
            await asyncio.sleep(rng.uniform(0.1, 1.5))
            server.started_at_ms += 1
            await server.start(port)
            fleet.crashed.discard(server.name)
        case "drain":
            fleet.register(server, state="draining", leaves_ms=_LEAVES_MS)
            await asyncio.sleep(2.5)
            # Only another process returns after such an announcement.
            if server.name not in fleet.crashed:
                fleet.crashed.add(server.name)
                await server.restart(server.version)
                fleet.crashed.discard(server.name)
        case "vanish":
            fleet.store.remove(f"servers/{server.name}")
            await asyncio.sleep(2.5)
    fleet.register(server)


async def _inject_link_fault(
    fleet: fleets.Fleet, rng: random.Random, faults: list[str]
) -> None:
    name = rng.choice(sorted(fleet.links))
    fault = rng.choice(list(proxy.LinkFault)[1:])
    faults.append(f"link {name} {fault.value}")
    # A server that is replaced meanwhile keeps its link under another name.
    link = fleet.links[name]
    link.set_fault(fault)
    await asyncio.sleep(rng.uniform(0.2, 3.0))
    link.set_fault(proxy.LinkFault.NONE)


async def _inject_response_faults(
    fleet: fleets.Fleet, rng: random.Random, faults: list[str]
) -> None:
    server = fleet.backends[rng.choice(sorted(fleet.backends))]
    behaviour = rng.choice(_RESPONSE_FAULTS)
    faults.append(f"{behaviour.value} {server.name}")
    server.plan.extend([behaviour] * rng.randint(1, 6))


async def _inject_store_fault(
    fleet: fleets.Fleet, rng: random.Random, faults: list[str]
) -> None:
    kind = rng.choice(("busy", "reset", "silent", "losing", "slow", "forget"))
    faults.append(f"store {kind}")
    match kind:
        case "forget":
            fleet.store.compact_history()
            return
        case "slow":
            fleet.store.delay_s = 0.25
        case _:
            fleet.store.fault = store.Fault(kind)
    await asyncio.sleep(rng.uniform(0.2, 3.0))
    fleet.store.fault, fleet.store.delay_s = store.Fault.NONE, 0.0


async def _restore_store(
    fleet: fleets.Fleet, rng: random.Random, faults: list[str], end_s: float
) -> None:
    """Lets the store continue from copies that are up to some seconds old."""
    while asyncio.get_running_loop().time() < end_s:
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        copy = fleet.store.copy()
        await asyncio.sleep(rng.uniform(0.2, 3.0))
        faults.append("store restored")
        await fleet.restore_store(copy, rng.uniform(0.0, 1.0))


async def _change_declaration(
    fleet: fleets.Fleet, rng: random.Random, faults: list[str]
) -> None:
    for _ in range(rng.randint(1, 4)):
        faults.append(f"declare {fleet.publish_declaration()}")
        await asyncio.sleep(0.1)


async def _clear_faults(fleet: fleets.Fleet) -> None:
    fleet.store.fault, fleet.store.delay_s = store.Fault.NONE, 0.0
    for link in fleet.links.values():
        link.set_fault(proxy.LinkFault.NONE)
    for server in fleet.backends.values():
        server.plan.clear()
        fleet.register(server)
    for name, daemon in list(fleet.daemons.items()):
        if daemon.process.returncode is not None:
            await fleet.restart(daemon, name)
        await fleet.wait_until_ready(fleet.daemons[name])
