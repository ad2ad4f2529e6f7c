"""Backend servers in processes of their own, which can be killed.

The kernel ends the connections of a killed process as it does in production,
which a server within the caller's process can only imitate. The command line
holds the options as JSON. The process writes its start and each execution to
standard output, one JSON object a line, and ends with its standard input.
"""

import asyncio
import dataclasses
import itertools
import json
import os
import signal
import sys
import threading
import typing

from turmericcroft_lab.hosted import backend

_READY_TIMEOUT_S = 20.0
# A successor takes the port of a server that ended about this time later.
_BIND_INTERVAL_S = 0.0001


@dataclasses.dataclass(frozen=True)
class Options:
    """What a server process is.

    Attributes:
        name: Id of the server.
        service: The service that it belongs to.
        port: TCP port on the loopback address.
        started_at_ms: Start of its incarnation, in Unix milliseconds.
        behaviours: Values of the behaviours that its requests take in turn.
        event_count: Number of events in a complete stream.
        event_interval_s: Time between events.
        stop_s: Time that it still answers after SIGTERM, which ends its
            streams at once.
        copy_s: Time that the transfer of a KV cache takes.
        move_answer_s: Time from the end of the transfer to its answer.
        handle_ttl_s: Time for which KV caches of stopped runs and copies last.
    """

    name: str
    service: str
    port: int
    started_at_ms: int = 1_700_000_000_000
    behaviours: tuple[str, ...] = (backend.Behaviour.ANSWER.value,)
    event_count: int = 100
    event_interval_s: float = 0.005
    stop_s: float = 0.0
    copy_s: float = 0.0
    move_answer_s: float = 0.0
    handle_ttl_s: float = 5.0

    def make_server(self) -> backend.Backend:
        """Returns the emulated server, not started."""
        server = backend.Backend(self.name, self.service)
        server.port = self.port
        server.started_at_ms = self.started_at_ms
        server.event_count = self.event_count
        server.event_interval_s = self.event_interval_s
        server.copy_s = self.copy_s
        server.move_answer_s = self.move_answer_s
        server.handle_ttl_s = self.handle_ttl_s
        server.usual = itertools.cycle(
            backend.Behaviour(value) for value in self.behaviours
        )
        return server


class ServerProcess:
    """A server process, as its parent sees it.

    Attributes:
        options: What it is.
        process: The process.
        executed: Ids of the requests that it executed.
        continued: Ids of those of them that went on from a KV cache.
        ended: Ids of the requests whose streams have ended.
        reused: Ids of the requests whose KV cache was used before.
        migration_orders: Bodies of the orders to transfer a KV cache.
        copies: Locations of the KV caches that were copied to it.
        is_listening: Set once it has its port.
    """

    def __init__(
        self, options: Options, process: asyncio.subprocess.Process
    ) -> None:
        self.options = options
        self.process = process
        self.executed: list[str] = []
        self.continued: list[str] = []
        self.ended: list[str] = []
        self.reused: list[str] = []
        self.migration_orders: list[dict[str, object]] = []
        self.copies: list[str] = []
        self._records: dict[str, list[typing.Any]] = {
            "executed": self.executed,
            "continued": self.continued,
            "ended": self.ended,
            "reused": self.reused,
            "order": self.migration_orders,
            "copied": self.copies,
        }
        self.is_listening = asyncio.Event()
        self._is_loaded = asyncio.Event()
        self._reading = asyncio.create_task(self._read_output())

    @classmethod
    async def launch(cls, options: Options) -> "ServerProcess":
        """Starts a process that listens as soon as its port is free."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "turmericcroft_lab.hosted.server_process",
            json.dumps(dataclasses.asdict(options)),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        launched = cls(options, process)
        async with asyncio.timeout(_READY_TIMEOUT_S):
            await launched._is_loaded.wait()
        return launched

    @classmethod
    async def start(cls, options: Options) -> "ServerProcess":
        """Starts a process and waits until it listens."""
        started = await cls.launch(options)
        async with asyncio.timeout(_READY_TIMEOUT_S):
            await started.is_listening.wait()
        return started

    def registry_entry(self, **changes: object) -> dict[str, object]:
        """Builds the registry entry, as backend.Backend does."""
        return self.options.make_server().registry_entry(**changes)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()
        await self._reading

    async def _read_output(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            if not line.endswith(b"\n"):
                return
            for name, value in json.loads(line).items():
                match name:
                    case "loaded":
                        self._is_loaded.set()
                    case "listening":
                        self.is_listening.set()
                    case _:
                        self._records[name].append(value)


def _write_line(**fields: object) -> None:
    os.write(sys.stdout.fileno(), json.dumps(fields).encode() + b"\n")


def _end_with_parent() -> None:
    sys.stdin.buffer.read()
    os._exit(1)


async def _listen(server: backend.Backend) -> None:
    """Opens the port once no other process listens on it."""
    while True:
        try:
            await server.start(server.port)
        except OSError:
            await asyncio.sleep(_BIND_INTERVAL_S)
        else:
            return


async def _serve(options: Options) -> None:
    server = options.make_server()
    server.on_executed = lambda request_id: _write_line(executed=request_id)
    server.on_order = lambda order: _write_line(order=order)
    server.on_continued = lambda request_id: _write_line(continued=request_id)
    server.on_ended = lambda request_id: _write_line(ended=request_id)
    server.on_reused = lambda request_id: _write_line(reused=request_id)
    server.on_copied = lambda location: _write_line(copied=location)
    server.on_crash = lambda _: os.kill(os.getpid(), signal.SIGKILL)
    threading.Thread(target=_end_with_parent, daemon=True).start()
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    _write_line(loaded=os.getpid())
    await _listen(server)
    _write_line(listening=server.port)
    await stopped.wait()
    for execution in server.executions.values():
        execution.stopped.set()
    await asyncio.sleep(options.stop_s)
    os._exit(0)


def main() -> None:
    """Runs the server that the command line describes."""
    raw = json.loads(sys.argv[1])
    raw["behaviours"] = tuple(raw["behaviours"])
    asyncio.run(_serve(Options(**raw)))


if __name__ == "__main__":
    main()
