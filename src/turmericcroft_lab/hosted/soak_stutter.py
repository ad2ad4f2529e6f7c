"""Servers that fall silent and answer twice, during a soak.

Several of them fall silent at once for about a second while declarations
change, and send late or broken extra responses on connections that are kept.
The clients keep their connections too.
"""

import asyncio
import random

from turmericcroft_lab.hosted import backend
from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import soak_checks

_CLIENT_COUNT = 4
_REQUEST_INTERVAL_S = 0.01
_ANSWER_TIMEOUT_S = 8.0
_PAUSE_S = (0.1, 1.0)
_SILENCE_S = (0.3, 1.3)
_SILENT_SHARE = 0.6
_BEHAVIOURS = (
    backend.Behaviour.ANSWER,
    backend.Behaviour.FAIL,
    backend.Behaviour.REFUSE,
    backend.Behaviour.EXTRA_LATE,
    backend.Behaviour.EXTRA_CUT,
    backend.Behaviour.UNFRAMED,
)
_PATHS = (("GET", "/read/", True), ("POST", "/book/", False))


async def run(
    fleet: fleets.Fleet,
    seed: int,
    results: list[soak_checks.RequestResult],
    faults: list[str],
    end_s: float,
) -> None:
    """Injects the faults and sends requests until a time.

    Args:
        fleet: The fleet.
        seed: Seed of the draws, which are its own.
        results: Results of the requests are added to it.
        faults: What is done is added to it.
        end_s: Monotonic time of the end.
    """
    async with asyncio.TaskGroup() as group:
        group.create_task(_inject(fleet, seed, faults, end_s))
        for number in range(_CLIENT_COUNT):
            group.create_task(_run_client(fleet, seed, number, results, end_s))


async def _inject(
    fleet: fleets.Fleet, seed: int, faults: list[str], end_s: float
) -> None:
    rng = random.Random(f"{seed}/stutter")
    for server in fleet.backends.values():
        server.repeats_refusals = True
    while asyncio.get_running_loop().time() < end_s:
        for server in fleet.backends.values():
            if server.service == "plain":
                server.plan.extend(rng.choices(_BEHAVIOURS, k=20))
        await asyncio.sleep(rng.uniform(*_PAUSE_S))
        names = [n for n in fleet.backends if rng.random() < _SILENT_SHARE]
        silent = [fleet.backends[name] for name in names]
        faults.append(f"silent {' '.join(names)}")
        for server in silent:
            server.awake.clear()
        fleet.publish_declaration()
        await asyncio.sleep(rng.uniform(*_SILENCE_S))
        for server in silent:
            server.awake.set()


async def _run_client(
    fleet: fleets.Fleet,
    seed: int,
    client: int,
    results: list[soak_checks.RequestResult],
    end_s: float,
) -> None:
    """Sends requests on one connection until it ends, then on another one."""
    rng = random.Random(f"{seed}/stutter/{client}")
    number = 0
    while asyncio.get_running_loop().time() < end_s:
        daemon = fleet.daemons[rng.choice(sorted(fleet.daemons))]
        try:
            connection = await asyncio.open_connection(
                "127.0.0.1", daemon.ports[0]
            )
        except OSError:
            await asyncio.sleep(_REQUEST_INTERVAL_S)
            continue
        is_open = True
        while is_open and asyncio.get_running_loop().time() < end_s:
            number += 1
            method, path, retryable = rng.choice(_PATHS)
            request_id = f"k{client}-{number}"
            status, body, complete, is_open = await call(
                *connection, method, f"{path}{number}", request_id
            )
            results.append(
                soak_checks.RequestResult(
                    request_id, path, retryable, status, body, complete
                )
            )
            await asyncio.sleep(_REQUEST_INTERVAL_S)
        connection[1].close()


async def call(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    request_id: str,
    api_key: str | None = fleets.API_KEY,
) -> tuple[int, bytes, bool, bool]:
    """Sends a request on an open connection; an API key of None is not sent.

    Returns:
        Status, body, whether the response is complete, and whether the
        connection stays open.
    """
    key_line = "" if api_key is None else f"X-Credential: {api_key}\r\n"
    writer.write(
        f"{method} {path} HTTP/1.1\r\nHost: app.example\r\n"
        f"X-Request-Id: {request_id}\r\n{key_line}"
        "X-Deadline-Ms: 1100\r\nContent-Length: 0\r\n\r\n".encode()
    )
    try:
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            headers = {}
            for line in head.decode().lower().split("\r\n")[1:-2]:
                name, _, value = line.partition(":")
                headers[name] = value.strip()
            body = await reader.readexactly(int(headers["content-length"]))
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0, b"", False, False
    is_open = headers.get("connection") != "close"
    if headers.get("x-request-id") != request_id:
        body = b"response to another request"
    return int(head.split()[1]), body, True, is_open
