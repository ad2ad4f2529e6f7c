"""Partitions of single daemons from all backend servers, during a soak.

Clients, the store and the other daemons still reach a partitioned daemon, so it
must serve nearly as well as the others.
"""

import asyncio
import random

from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import proxy
from turmericcroft_lab.hosted import soak_checks

_PAUSE_S = (0.2, 1.5)
_DURATION_S = (0.5, 4.0)
_CONTACT_S = 3.0
_FINAL_REQUESTS = 20
_MIN_SHARE = 2 / 3


async def run(
    fleet: fleets.Fleet, seed: int, faults: list[str], end_s: float
) -> None:
    """Partitions one daemon after the other, until a time.

    Args:
        fleet: The fleet.
        seed: Seed of the draws, which are its own.
        faults: What is done is added to it.
        end_s: Monotonic time of the end.
    """
    rng = random.Random(f"{seed}/partitions")
    while asyncio.get_running_loop().time() < end_s:
        await asyncio.sleep(rng.uniform(*_PAUSE_S))
        names = rng.sample(
            sorted(fleet.daemons), rng.randint(1, len(fleet.daemons) - 1)
        )
        partition = rng.choice(list(proxy.Partition))
        faults.append(f"partition {partition.value} {' '.join(names)}")
        for name in names:
            await fleet.partition(name, partition)
        await asyncio.sleep(rng.uniform(*_DURATION_S))
        for name in names:
            await fleet.partition(name, None)


async def find_violations(
    fleet: fleets.Fleet,
    results: list[soak_checks.RequestResult],
) -> list[str]:
    """Partitions a daemon in each way while all else is well.

    Args:
        fleet: The fleet.
        results: Results of the requests are added to it.

    Returns:
        Ways in which it served far less than another daemon.
    """
    violations = []
    cut, sound = sorted(fleet.daemons)[:2]
    for partition in proxy.Partition:
        await fleet.partition(cut, partition)
        await _count_served(fleet, cut, f"x{partition.value}", results)
        await asyncio.sleep(_CONTACT_S)
        served = await _count_served(fleet, cut, partition.value, results)
        others = await _count_served(
            fleet, sound, f"o{partition.value}", results
        )
        if served < _MIN_SHARE * others:
            violations.append(
                f"{partition.value}: {served} served, {others} elsewhere"
            )
        await fleet.partition(cut, None)
        await asyncio.sleep(1.0)
    return violations


async def _count_served(
    fleet: fleets.Fleet,
    daemon: str,
    name: str,
    results: list[soak_checks.RequestResult],
) -> int:
    served = 0
    for number in range(_FINAL_REQUESTS):
        method, path = (("GET", "/read/"), ("POST", "/book/"))[number % 2]
        request_id = f"{name}-{number}"
        status, body, complete = await fleets.call(
            fleet.daemons[daemon].ports[0],
            method,
            f"{path}{number}",
            request_id,
            b"x" if method == "POST" else b"",
        )
        results.append(
            soak_checks.RequestResult(
                request_id, path, method == "GET", status, body, complete
            )
        )
        served += status == 200
    return served
