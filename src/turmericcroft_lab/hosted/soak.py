"""Randomized soak: real processes, faults from outside, promises checked.

Faults come in series and overlap: daemons are stopped, paused, killed and
started again; backend servers crash, drain, refuse, and spoil answers; the
store is busy, silent, slow, loses answers and history; connections to servers
and to the store are delayed, reset, cut one way and silenced; declarations
change.
What is checked is what clients and backend servers see.
"""

import asyncio
import dataclasses
import pathlib
import random
import signal
import tempfile

from turmericcroft_lab.hosted import backend
from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import proxy
from turmericcroft_lab.hosted import store

_CLIENTS = 6
_PAUSE_S = 0.02
_FAULT_GAP_S = (0.1, 0.8)
_SETTLE_S = 6.0
_PROMISES = (408, 421, 429, 503)
_SPOILS = (
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
_PATHS = (
    ("GET", "/read/", True),
    ("POST", "/book/", False),
    ("POST", "/stream/fixed/", False),
    ("POST", "/stream/again/", True),
)


@dataclasses.dataclass(frozen=True)
class RequestResult:
    """A client's request and what came of it."""

    request_id: str
    path: str
    retryable: bool
    status: int
    body: bytes
    complete: bool


@dataclasses.dataclass(frozen=True)
class Report:
    """Result of one soak.

    Attributes:
        seed: What it was drawn from.
        requests: Requests made.
        succeeded: Requests answered with success.
        faults: Faults in order.
        violations: Promises that were broken, each with its request.
    """

    seed: int
    requests: int
    succeeded: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]


def run(seed: int, seconds: float, daemons: int = 3) -> Report:
    """Runs one soak to its end."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_soak(seed, seconds, daemons, pathlib.Path(folder)))


async def _soak(
    seed: int, seconds: float, daemons: int, folder: pathlib.Path
) -> Report:
    fleet = fleets.Fleet(folder, proxied=True)
    source = random.Random(seed)
    asked: list[RequestResult] = []
    faults: list[str] = []
    try:
        await fleet.start(daemons, plain=3, engines=3)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        # A task that fails ends the others before the fleet is closed, so
        # that none of them starts a daemon that nobody ends.
        async with asyncio.TaskGroup() as group:
            group.create_task(_inject(fleet, source, faults, end_s))
            for number in range(_CLIENTS):
                own = random.Random(f"{seed}/{number}")
                group.create_task(_ask(fleet, own, number, asked, end_s))
        await _heal(fleet)
        await asyncio.sleep(_SETTLE_S)
        after: list[RequestResult] = []
        await _ask(fleet, source, 99, after, loop.time() + 2.0)
        broken = _check(fleet, [*asked, *after], after)
    finally:
        await fleet.close()
    answered = sum(a.status == 200 and a.complete for a in asked)
    return Report(seed, len(asked), answered, tuple(faults), tuple(broken))


async def _ask(
    fleet: fleets.Fleet,
    source: random.Random,
    client: int,
    asked: list[RequestResult],
    end_s: float,
) -> None:
    number = 0
    while asyncio.get_running_loop().time() < end_s:
        number += 1
        method, path, retryable = source.choice(_PATHS)
        request_id = f"c{client}-{number}"
        daemon = source.choice(sorted(fleet.daemons))
        status, body, complete = await fleets.call(
            fleet.daemons[daemon].ports[0],
            method,
            f"{path}{number}",
            request_id,
            b"x" if method == "POST" else b"",
        )
        asked.append(
            RequestResult(request_id, path, retryable, status, body, complete)
        )
        await asyncio.sleep(_PAUSE_S)


async def _inject(
    fleet: fleets.Fleet,
    source: random.Random,
    faults: list[str],
    end_s: float,
) -> None:
    """Injects faults one after another, without waiting for their ends."""
    kinds = (_hit_daemon, _hit_server, _hit_link, _spoil, _hit_store, _declare)
    async with asyncio.TaskGroup() as group:
        while asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(source.uniform(*_FAULT_GAP_S))
            kind = source.choice(kinds)
            group.create_task(kind(fleet, source, faults))


async def _hit_daemon(
    fleet: fleets.Fleet, source: random.Random, faults: list[str]
) -> None:
    name = source.choice(sorted(fleet.daemons))
    daemon = fleet.daemons[name]
    process = daemon.process
    if process.returncode is not None:
        return
    kind = source.choice(("TERM", "KILL", "STOP", "HUP"))
    faults.append(f"{kind} {name}")
    process.send_signal(signal.Signals[f"SIG{kind}"])
    match kind:
        case "STOP":
            await asyncio.sleep(source.uniform(0.2, 4.0))
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
        case "TERM" | "KILL":
            await process.wait()
            await asyncio.sleep(0.3)
            await fleet.restart(daemon, name)


async def _hit_server(
    fleet: fleets.Fleet, source: random.Random, faults: list[str]
) -> None:
    server = fleet.backends[source.choice(sorted(fleet.backends))]
    kind = source.choice(("crash", "drain", "vanish"))
    if server.name in fleet.crashed:
        return
    faults.append(f"{kind} {server.name}")
    match kind:
        case "crash":
            fleet.crashed.add(server.name)
            port = server.port
            await server.close()
            await asyncio.sleep(source.uniform(0.1, 1.5))
            await server.start(port)
            fleet.crashed.discard(server.name)
        case "drain":
            fleet.register(server, state="draining")
            await asyncio.sleep(2.5)
        case "vanish":
            fleet.store.remove(f"servers/{server.name}")
            await asyncio.sleep(2.5)
    fleet.register(server)


async def _hit_link(
    fleet: fleets.Fleet, source: random.Random, faults: list[str]
) -> None:
    name = source.choice(sorted(fleet.links))
    fault = source.choice(list(proxy.LinkFault)[1:])
    faults.append(f"link {name} {fault.value}")
    fleet.links[name].set_fault(fault)
    await asyncio.sleep(source.uniform(0.2, 3.0))
    fleet.links[name].set_fault(proxy.LinkFault.NONE)


async def _spoil(
    fleet: fleets.Fleet, source: random.Random, faults: list[str]
) -> None:
    server = fleet.backends[source.choice(sorted(fleet.backends))]
    behaviour = source.choice(_SPOILS)
    faults.append(f"{behaviour.value} {server.name}")
    server.plan.extend([behaviour] * source.randint(1, 6))


async def _hit_store(
    fleet: fleets.Fleet, source: random.Random, faults: list[str]
) -> None:
    kind = source.choice(
        ("busy", "reset", "silent", "losing", "slow", "forget")
    )
    faults.append(f"store {kind}")
    match kind:
        case "forget":
            fleet.store.compact_history()
            return
        case "slow":
            fleet.store.delay_s = 0.25
        case _:
            fleet.store.fault = store.Fault(kind)
    await asyncio.sleep(source.uniform(0.2, 3.0))
    fleet.store.fault, fleet.store.delay_s = store.Fault.NONE, 0.0


async def _declare(
    fleet: fleets.Fleet, source: random.Random, faults: list[str]
) -> None:
    for _ in range(source.randint(1, 4)):
        faults.append(f"declare {fleet.publish_declaration()}")
        await asyncio.sleep(0.1)


async def _heal(fleet: fleets.Fleet) -> None:
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


def _check(
    fleet: fleets.Fleet, asked: list[RequestResult], after: list[RequestResult]
) -> list[str]:
    """Finds broken promises from what clients and servers saw."""
    broken: list[str] = []
    known = {one.request_id for one in asked}
    runs: dict[str, int] = {}
    for server in fleet.backends.values():
        for request_id in server.executed:
            runs[request_id] = runs.get(request_id, 0) + 1
    moved = {
        str(order["id"])
        for server in fleet.backends.values()
        for order in server.migration_orders
    }
    broken += [f"{r}: run unasked" for r in runs if r not in known]
    for one in asked:
        count = runs.get(one.request_id, 0)
        if not one.retryable and one.request_id not in moved and count > 1:
            broken.append(f"{one.request_id}: ran {count} times")
        if not one.retryable and one.status in _PROMISES and count:
            broken.append(f"{one.request_id}: {one.status} but ran")
        if one.status == 200 and one.complete and not _is_own(one):
            broken.append(f"{one.request_id}: not its own whole answer")
    if after and sum(one.status == 200 for one in after) < 0.9 * len(after):
        broken.append("after all faults ended: less than 0.9 are answered")
    return broken


def _is_own(one: RequestResult) -> bool:
    if "/stream/" not in one.path:
        return one.body.startswith(f"answer to {one.request_id} by ".encode())
    found = [
        int(line[4:])
        for line in one.body.split(b"\n")
        if line.startswith(b"id: ")
    ]
    return found == [1, 2, 3, 4, 5]
