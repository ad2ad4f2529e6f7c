"""Bursts at brittle servers, at the end of a soak.

Servers state that they fall over if they have to turn many requests away, and
then bursts ask for far more than they have room for.
"""

import asyncio

from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import soak_checks

_SERVICE = "plain"
_PROCESSING_S = 0.15
_ROOM = 6
_MAX_REFUSALS_PER_S = 3
_CONTACT_S = 3.0
_BURSTS = 6
_REQUESTS_PER_DAEMON = 20
_PAUSE_S = 0.3
_MIN_USED_SHARE = 0.5


async def find_violations(
    fleet: fleets.Fleet, results: list[soak_checks.RequestResult]
) -> list[str]:
    """Lets the servers of a service be brittle, and sends bursts.

    Args:
        fleet: The fleet.
        results: Results of the requests are added to it.

    Returns:
        A violation if too many servers fell over, or too few places were used.
    """
    servers = [s for s in fleet.backends.values() if s.service == _SERVICE]
    for server in servers:
        server.processing_s = _PROCESSING_S
        server.make_brittle(_ROOM, _MAX_REFUSALS_PER_S)
        fleet.register(server)
    await _send_burst(fleet, "contact", 1, results)
    await asyncio.sleep(0.5 * _CONTACT_S)
    await _send_burst(fleet, "contact again", 1, results)
    await asyncio.sleep(0.5 * _CONTACT_S)
    served = 0
    for number in range(_BURSTS):
        served += await _send_burst(
            fleet, f"burst {number}", _REQUESTS_PER_DAEMON, results
        )
        await asyncio.sleep(_PAUSE_S)
    violations = []
    falls = sum(server.falls for server in servers)
    if falls > 2 + 0.1 * len(servers):
        violations.append(f"{falls} falls of {len(servers)} brittle servers")
    places = _BURSTS * _ROOM * len(servers)
    if served < _MIN_USED_SHARE * places:
        violations.append(f"{served} of {places} places of brittle servers")
    return violations


async def _send_burst(
    fleet: fleets.Fleet,
    name: str,
    per_daemon: int,
    results: list[soak_checks.RequestResult],
) -> int:
    """Sends requests to all daemons at once; returns how many are served."""

    async def send(daemon: str, number: int) -> bool:
        request_id = f"{name}-{daemon}-{number}".replace(" ", "-")
        status, body, complete = await fleets.call(
            fleet.daemons[daemon].ports[0], "GET", "/read/1", request_id
        )
        results.append(
            soak_checks.RequestResult(
                request_id, "/read/", True, status, body, complete
            )
        )
        return status == 200

    served = await asyncio.gather(
        *(
            send(daemon, number)
            for daemon in fleet.daemons
            for number in range(per_daemon)
        )
    )
    return sum(served)
