"""Accounts that are taken away and declared oddly, during a soak.

Versions follow one another in which client accounts come and go, the last one
too, and in which their list, their keys or routes are of another type. Clients
keep their connections and state keys that no version ever holds: no server may
execute such a request, whatever else fails. Once all faults have ended, no
server executes a request with a key that the last version has taken away.
"""

import asyncio
import itertools
import random
import typing

from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import soak_stutter

_CLIENT_COUNT = 4
_REQUEST_INTERVAL_S = 0.01
_VERSION_INTERVAL_S = (0.1, 0.6)
# A version is in force after 2 s where nothing fails.
_PROPAGATION_S = 2.0
_HELD = fleets.ACCOUNT
# Accounts of a version; only the keys of `_HELD` are ever held.
_ACCOUNTS: tuple[typing.Any, ...] = (
    [_HELD],
    [],
    None,
    {},
    "",
    False,
    [None],
    [{"name": "north", "apiKeys": "secret"}],
    [_HELD, {"name": "south", "apiKeys": ["", None, 5]}],
    [_HELD, {"name": "south", "apiKeys": ["south-key"], "ratePerS": -1}],
    [{"name": "a", "apiKeys": ["both"]}, {"name": "b", "apiKeys": ["both"]}],
)
# Keys that no account of a valid declaration holds; the empty one is sent as an
# empty header, and None without a header.
_NEVER_HELD = ("unknown", "s", "", None, "south-key", "both", "5")
_STRANGER = "stranger"


async def run(
    fleet: fleets.Fleet, seed: int, faults: list[str], end_s: float
) -> None:
    """Declares accounts and sends requests until a monotonic time.

    Args:
        fleet: The fleet.
        seed: Seed of the draws, which are its own.
        faults: What is declared is added to it.
        end_s: Monotonic time of the end.
    """
    async with asyncio.TaskGroup() as group:
        group.create_task(_declare(fleet, seed, faults, end_s))
        for number in range(_CLIENT_COUNT):
            group.create_task(_run_client(fleet, seed, number, end_s))
    fleet.accounts = [_HELD]
    fleet.publish_declaration()


async def find_violations(fleet: fleets.Fleet) -> list[str]:
    """Takes the last account away, and counts what is executed after it.

    Returns:
        One violation for each request that was executed without a key that a
        version in force holds.
    """
    fleet.accounts = []
    version = fleet.publish_declaration()
    await asyncio.sleep(_PROPAGATION_S)
    for name, daemon in fleet.daemons.items():
        for number in range(5):
            request_id = f"{_STRANGER}-{name}-{number}"
            await fleets.call(
                daemon.ports[0], "GET", f"/read/{number}", request_id
            )
    fleet.accounts = [_HELD]
    fleet.publish_declaration()
    return [
        f"{server.name} executed {request_id} without a key that a version "
        f"holds; {version} took the last one away"
        for server in fleet.backends.values()
        for request_id in server.executed
        if request_id.startswith(_STRANGER)
    ]


async def _declare(
    fleet: fleets.Fleet, seed: int, faults: list[str], end_s: float
) -> None:
    rng = random.Random(f"{seed}/keys")
    series = rng.sample(_ACCOUNTS, len(_ACCOUNTS))
    for accounts in itertools.cycle(series):
        if asyncio.get_running_loop().time() >= end_s:
            break
        fleet.accounts = accounts
        version = fleet.publish_declaration()
        faults.append(f"accounts {fleet.accounts} in {version}")
        await asyncio.sleep(rng.uniform(*_VERSION_INTERVAL_S))


async def _run_client(
    fleet: fleets.Fleet, seed: int, client: int, end_s: float
) -> None:
    """Sends requests without a valid key, on a connection until it ends."""
    rng = random.Random(f"{seed}/keys/{client}")
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < end_s:
        daemon = fleet.daemons[rng.choice(sorted(fleet.daemons))]
        try:
            connection = await asyncio.open_connection(
                "127.0.0.1", daemon.ports[0]
            )
        except OSError:
            await asyncio.sleep(_REQUEST_INTERVAL_S)
            continue
        is_open = True
        while is_open and loop.time() < end_s:
            number += 1
            *_, is_open = await soak_stutter.call(
                *connection,
                "GET",
                f"/read/{number}",
                f"{_STRANGER}-{client}-{number}",
                rng.choice(_NEVER_HELD),
            )
            await asyncio.sleep(_REQUEST_INTERVAL_S)
        connection[1].close()
