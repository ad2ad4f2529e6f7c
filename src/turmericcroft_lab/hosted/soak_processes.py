"""Engines in processes of their own, which are killed during a soak.

Engines are killed, replaced at their ports, paused and stopped while daemons
get series of signals. Every second stream has no length, so its end is that of
the engine's connection. Clients keep their connections.
"""

import asyncio
import dataclasses
import random
import signal

from turmericcroft_lab.hosted import backend
from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import loopback
from turmericcroft_lab.hosted import server_process
from turmericcroft_lab.hosted import soak_checks

_CLIENT_COUNT = 8
_EVENT_INTERVAL_S = 0.08
_REQUEST_INTERVAL_S = 0.02
_ANSWER_TIMEOUT_S = 8.0
_FAULT_INTERVAL_S = (0.1, 0.5)
_DOWN_S = (0.0, 1.0)
_PAUSE_S = (0.1, 1.5)
_STOP_S = 0.2
_SERIES_INTERVAL_S = (0.3, 1.5)
_SIGNAL_INTERVAL_S = (0.0, 0.3)
_PATHS = (("/stream/fixed/", False), ("/stream/again/", True))


class Processes:
    """The engines of one soak.

    Attributes:
        all: All processes that were started.
        current: The process at each port.
        faulty: Ports whose process has a fault or leaves.
    """

    def __init__(self, fleet: fleets.Fleet, seed: int) -> None:
        self.fleet = fleet
        self.seed = seed
        self.all: list[server_process.ServerProcess] = []
        self.current: dict[int, server_process.ServerProcess] = {}
        self.faulty: set[int] = set()

    async def start(
        self, count: int, prefix: str = "p", move_answer_s: float = 0.0
    ) -> None:
        """Starts engines, whose names begin with a prefix.

        Args:
            count: Number of engines.
            prefix: Start of their names.
            move_answer_s: Time from the end of a transfer to its answer.
        """
        for number in range(count):
            options = server_process.Options(
                f"{prefix}-{number}",
                "engines",
                loopback.free_port(),
                behaviours=(
                    backend.Behaviour.UNFRAMED.value,
                    backend.Behaviour.ANSWER.value,
                ),
                event_count=5,
                event_interval_s=_EVENT_INTERVAL_S,
                stop_s=_STOP_S,
                move_answer_s=move_answer_s,
            )
            process = await server_process.ServerProcess.start(options)
            self.all.append(process)
            self.register(process)

    async def close(self) -> None:
        """Kills the engines."""
        for process in self.all:
            await process.kill()

    async def run(
        self,
        results: list[soak_checks.RequestResult],
        faults: list[str],
        end_s: float,
    ) -> None:
        """Injects faults and sends requests until a time.

        Args:
            results: Results of the requests are added to it.
            faults: What is done is added to it.
            end_s: Monotonic time of the end.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._inject(faults, end_s))
            group.create_task(self._signal_daemons(faults, end_s))
            for number in range(_CLIENT_COUNT):
                group.create_task(self._run_client(number, results, end_s))

    def register(
        self, process: server_process.ServerProcess, **changes: object
    ) -> None:
        """Writes the registry entry of the process at a port."""
        options = process.options
        self.current[options.port] = process
        self.fleet.store.write(
            f"servers/{options.name}", process.registry_entry(**changes)
        )

    async def _inject(self, faults: list[str], end_s: float) -> None:
        """Injects faults of engines; those of several engines may overlap."""
        rng = random.Random(f"{self.seed}/processes")
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end_s:
                await asyncio.sleep(rng.uniform(*_FAULT_INTERVAL_S))
                port = rng.choice(sorted(self.current))
                kind = rng.choice(("kill", "replace", "pause", "stop", "drain"))
                if port not in self.faulty:
                    self.faulty.add(port)
                    faults.append(f"{kind} {self.current[port].options.name}")
                    own_rng = random.Random(rng.random())
                    group.create_task(self.fail(port, kind, own_rng))

    async def fail(self, port: int, kind: str, rng: random.Random) -> None:
        """Injects a fault of the engine at a port, which is then replaced."""
        process = self.current[port]
        start_at_once = kind == "replace" or rng.random() < 0.3
        successor = None
        if start_at_once:
            successor = await self.launch_successor(process)
        match kind:
            case "pause":
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(rng.uniform(*_PAUSE_S))
                if successor is None:
                    process.send_signal(signal.SIGCONT)
                    self.faulty.discard(port)
                    return
                process.send_signal(signal.SIGKILL)
            case "stop":
                process.send_signal(signal.SIGTERM)
            case "drain":
                left_s = rng.uniform(0.0, 2.5)
                self.register(
                    process, state="draining", leaves_ms=int(left_s * 1_000)
                )
                await asyncio.sleep(left_s)
                process.send_signal(signal.SIGTERM)
            case _:
                process.send_signal(signal.SIGKILL)
        await asyncio.sleep(rng.uniform(*_DOWN_S))
        if successor is None:
            successor = await self.launch_successor(process)
        await successor.is_listening.wait()
        # The store may hold the entry of the killed process meanwhile.
        await asyncio.sleep(rng.choice((0.0, 0.5)))
        self.register(successor)
        self.faulty.discard(port)

    def find_last(self, port: int) -> server_process.ServerProcess:
        """Returns the process at a port that was started last."""
        return next(
            process
            for process in reversed(self.all)
            if process.options.port == port
        )

    async def launch_successor(
        self, process: server_process.ServerProcess, **changes: object
    ) -> server_process.ServerProcess:
        """Starts a process that takes the port once it is free.

        Args:
            process: The process at the port.
            **changes: Options that differ.
        """
        options = dataclasses.replace(
            process.options,
            started_at_ms=process.options.started_at_ms + 1,
            **changes,  # type: ignore[arg-type]
        )
        successor = await server_process.ServerProcess.launch(options)
        self.all.append(successor)
        return successor

    async def _signal_daemons(self, faults: list[str], end_s: float) -> None:
        """Sends series of signals to daemons; the series overlap."""
        rng = random.Random(f"{self.seed}/signals")
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end_s:
                await asyncio.sleep(rng.uniform(*_SERIES_INTERVAL_S))
                name = rng.choice(sorted(self.fleet.daemons))
                series = rng.choices(
                    ("HUP", "STOP", "CONT", "TERM", "KILL"),
                    (6, 4, 4, 1, 1),
                    k=rng.randint(2, 6),
                )
                faults.append(f"series {name} {' '.join(series)}")
                own_rng = random.Random(rng.random())
                group.create_task(self._send_series(name, series, own_rng))

    async def _send_series(
        self, name: str, series: list[str], rng: random.Random
    ) -> None:
        daemon = self.fleet.daemons[name]
        process = daemon.process
        for kind in (*series, "CONT"):
            if process.returncode is None:
                process.send_signal(signal.Signals[f"SIG{kind}"])
            await asyncio.sleep(rng.uniform(*_SIGNAL_INTERVAL_S))
        if {"TERM", "KILL"} & set(series):
            await process.wait()
            await self.fleet.restart(daemon, name)

    async def _run_client(
        self,
        client: int,
        results: list[soak_checks.RequestResult],
        end_s: float,
    ) -> None:
        """Sends requests on one connection until it ends, then on another."""
        rng = random.Random(f"{self.seed}/processes/{client}")
        number = 0
        while asyncio.get_running_loop().time() < end_s:
            daemon = self.fleet.daemons[rng.choice(sorted(self.fleet.daemons))]
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
                path, retryable = rng.choice(_PATHS)
                request_id = f"q{client}-{number}"
                status, body, complete = await _call(
                    *connection, f"{path}{number}", request_id
                )
                is_open = complete
                results.append(
                    soak_checks.RequestResult(
                        request_id, path, retryable, status, body, complete
                    )
                )
                await asyncio.sleep(_REQUEST_INTERVAL_S)
            connection[1].close()


async def _call(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    path: str,
    request_id: str,
) -> tuple[int, bytes, bool]:
    """Sends a request on an open connection.

    Returns:
        Status, body, and whether the response is complete.
    """
    writer.write(
        f"POST {path} HTTP/1.1\r\nHost: app.example\r\n"
        f"X-Request-Id: {request_id}\r\nX-Credential: {fleets.API_KEY}\r\n"
        "X-Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nx".encode()
    )
    status, body = 0, b""
    try:
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            status = int(head.split()[1])
            if f"x-request-id: {request_id}".encode() not in head:
                body = b"response to another request"
            _, _, length = head.partition(b"content-length:")
            if length:
                body += await reader.readexactly(int(length.split()[0]))
                return status, body, True
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return status, body, False
    return status, body, True
