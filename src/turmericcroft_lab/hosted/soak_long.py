"""Streams of seconds during a soak, which move between engines that leave."""

import asyncio
import random

from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import runs
from turmericcroft_lab.hosted import soak_checks

_CLIENT_COUNT = 4
_REQUEST_INTERVAL_S = 0.02
_LEAVING_COUNT = 8
_EVENTS_BEFORE_LEAVING = 3
# Servers may work on for half a second after a client has left (rule GONE).
_END_TIMEOUT_S = 0.5
_PATHS = (("/stream/fixed", False), ("/stream/again", True))


async def run(
    fleet: fleets.Fleet,
    seed: int,
    results: list[soak_checks.RequestResult],
    end_s: float,
) -> None:
    """Reads long streams, one after the other, until a time.

    Args:
        fleet: The fleet.
        seed: Seed of the draws, which are its own.
        results: Results of the requests are added to it.
        end_s: Monotonic time of the end.
    """
    async with asyncio.TaskGroup() as group:
        for client in range(_CLIENT_COUNT):
            rng = random.Random(f"{seed}/long/{client}")
            group.create_task(_run_client(fleet, rng, client, results, end_s))


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
        route, retryable = rng.choice(_PATHS)
        path = f"{route}{runs.LONG_PATH}"
        request_id = f"l{client}-{number}"
        daemon = fleet.daemons[rng.choice(sorted(fleet.daemons))]
        status, body, complete = await fleets.call(
            daemon.ports[0], "POST", f"{path}{number}", request_id, b"x"
        )
        results.append(
            soak_checks.RequestResult(
                request_id, path, retryable, status, body, complete
            )
        )
        await asyncio.sleep(_REQUEST_INTERVAL_S)


async def find_violations(
    fleet: fleets.Fleet, servers: soak_checks.Servers
) -> list[str]:
    """Finds runs that go on after their clients have left the streams.

    Another run may follow when the client takes the stream up.

    Args:
        fleet: The fleet, after all faults have ended.
        servers: All servers.
    """
    names = sorted(fleet.daemons)
    request_ids = [f"left-{number}" for number in range(_LEAVING_COUNT)]
    calls = [
        fleets.call(
            fleet.daemons[names[number % len(names)]].ports[0],
            "POST",
            f"{_PATHS[number % len(_PATHS)][0]}{runs.LONG_PATH}{number}",
            request_id,
            b"x",
            leave_after_events=_EVENTS_BEFORE_LEAVING,
        )
        for number, request_id in enumerate(request_ids)
    ]
    await asyncio.gather(*calls)
    await asyncio.sleep(_END_TIMEOUT_S)
    return [
        f"{request_id}: runs on though its client has left"
        for server in servers
        for request_id in request_ids
        if server.executed.count(request_id) > server.ended.count(request_id)
    ]
