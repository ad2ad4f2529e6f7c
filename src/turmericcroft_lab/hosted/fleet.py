"""Real gateway processes before stand-ins, on the loopback address."""

import asyncio
import dataclasses
import json
import os
import pathlib
import signal
import sys
import typing

from turmericcroft_lab.hosted import backend
from turmericcroft_lab.hosted import cloud
from turmericcroft_lab.hosted import declaring
from turmericcroft_lab.hosted import loopback
from turmericcroft_lab.hosted import proxy
from turmericcroft_lab.hosted import store

API_KEY = "demo-key"
_READY_TIMEOUT_S = 20.0
_POLL_S = 0.05

_SETTINGS = """\
first_start = {first_start}
[daemon]
name = "{name}"
region = "region"
availability_zone = "zone-{zone}"
[ports]
host = "127.0.0.1"
clients = "127.0.0.1:{ports[0]}"
readiness = "127.0.0.1:{ports[1]}"
readiness_path = "/ready"
mesh = {ports[2]}
metrics = {ports[3]}
[surroundings]
store = "{store}"
cloud = "{cloud}"
duties = ["usage", "scaling"]
[bounds]
grace_s = 6
"""


def declaration(version: int) -> dict[str, typing.Any]:
    """Declares the routes that the demo and the soak use."""
    route = declaring.route
    return {
        "version": version,
        "routes": [
            route("read", "plain", "idempotent"),
            route("book", "plain", "non_idempotent"),
            route("stream/fixed", "engines", "streaming"),
            route(
                "stream/again", "engines", "streaming", streamResumption=True
            ),
        ],
        "services": declaring.services(),
        "limits": {},
        "tenants": [{"name": "north", "apiKeys": [API_KEY]}],
    }


@dataclasses.dataclass
class DaemonProcess:
    """One gateway process.

    Attributes:
        name: Name of its VM.
        ports: Ports for clients, readiness, mesh and metrics.
        settings: Its settings file.
        log: File that takes its output.
        process: The process.
    """

    name: str
    ports: list[int]
    settings: pathlib.Path
    log: pathlib.Path
    process: asyncio.subprocess.Process


class Fleet:
    """Stand-ins in this process, daemons in processes of their own.

    Attributes:
        folder: Where settings and logs go.
        backends: Backend servers by name.
        daemons: Gateway processes by name.
        crashed: Backend servers that are down now.
        links: Ways to the backend servers, and of each daemon to the store,
            if they go through proxies.
    """

    def __init__(self, folder: pathlib.Path, proxied: bool = False) -> None:
        self.folder = folder
        self.links: dict[str, proxy.Link] = {}
        self._proxied = proxied
        self.store = store.HostedStore()
        self.cloud = cloud.HostedCloud()
        self.backends: dict[str, backend.Backend] = {}
        self.daemons: dict[str, DaemonProcess] = {}
        self.version = 1
        self.crashed: set[str] = set()
        self._beats: asyncio.Task[None] | None = None
        self._sequence = 1
        self._restarting = asyncio.Lock()

    async def start(self, daemons: int, plain: int, engines: int) -> None:
        """Starts everything and waits until all daemons are ready."""
        await self.store.start()
        await self.cloud.start()
        self.store.write("op/config", declaration(self.version))
        for number in range(plain + engines):
            service = "plain" if number < plain else "engines"
            server = backend.Backend(f"i-{number}", service)
            await server.start()
            self.backends[server.name] = server
            await self._way_to(server.name, server.address)
            self.register(server)
        self._beats = asyncio.create_task(self._beat())
        for number in range(daemons):
            await self.start_daemon(f"edge-{number}")
        for process in self.daemons.values():
            await self.wait_until_ready(process)

    def register(self, server: backend.Backend, **changes: object) -> None:
        """Writes a server's registry entry."""
        self._sequence += 1
        link = self.links.get(server.name)
        if link is not None:
            changes = {"address": link.address} | changes
        entry = server.registry_entry(sequence=self._sequence, **changes)
        self.store.write(f"servers/{server.name}", entry)

    def publish_declaration(self) -> int:
        """Puts the next version in the store."""
        self.version += 1
        self.store.write("op/config", declaration(self.version))
        return self.version

    async def start_daemon(self, name: str) -> None:
        """Starts a daemon, or starts it again with the same ports."""
        known = self.daemons.get(name)
        ports = (
            known.ports if known else [loopback.free_port() for _ in range(4)]
        )
        store_address = await self._way_to(f"{name} store", self.store.address)
        path = self.folder / f"{name}.toml"
        path.write_text(
            _SETTINGS.format(
                first_start=json.dumps(known is None),
                name=name,
                zone=len(name) % 2,
                ports=ports,
                store=store_address,
                cloud=self.cloud.address,
            )
        )
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "turmericcroft.platform",
                env=os.environ | {"TURMERICCROFT_SETTINGS": str(path)},
                stdout=output,
                stderr=output,
            )
        self.daemons[name] = DaemonProcess(name, ports, path, log, process)

    async def restart(self, ended: DaemonProcess, name: str) -> None:
        """Starts a daemon again, unless another call did so before."""
        async with self._restarting:
            if self.daemons[name] is ended:
                await self.start_daemon(name)

    async def wait_until_ready(self, daemon: DaemonProcess) -> None:
        """Waits until a daemon says that it is ready."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not await _is_ready(daemon.ports[1]):
                await asyncio.sleep(_POLL_S)

    async def close(self) -> None:
        """Ends the daemons that were started here, and the stand-ins."""
        if self._beats is not None:
            self._beats.cancel()
        for daemon in self.daemons.values():
            if daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                await daemon.process.wait()
        for link in self.links.values():
            await link.close()
        for server in self.backends.values():
            await server.close()
        await self.store.close()
        await self.cloud.close()

    async def _way_to(self, name: str, target: str) -> str:
        """Puts a proxy before an address, if that is wanted."""
        if not self._proxied:
            return target
        if name not in self.links:
            self.links[name] = proxy.Link(target)
            await self.links[name].start()
        return self.links[name].address

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for server in self.backends.values():
                if f"servers/{server.name}" in self.store.items:
                    self.register(server)


async def call(
    port: int, method: str, path: str, request_id: str, body: bytes = b""
) -> tuple[int, bytes, bool]:
    """Makes a client's request on a connection of its own.

    Returns:
        Status (0 if there was no answer), body, and whether it was complete.
    """
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0, b"", False
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: app.example\r\n"
        f"X-Request-Id: {request_id}\r\nX-Credential: {API_KEY}\r\n"
        f"X-Deadline-Ms: 3000\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    try:
        writer.write(head.encode() + body)
        answer = await reader.read(-1)
    except OSError:
        return 0, b"", False
    finally:
        writer.close()
    return parse_answer(answer)


def parse_answer(answer: bytes) -> tuple[int, bytes, bool]:
    """Reads status, body and completeness of a whole answer's bytes."""
    head, separator, rest = answer.partition(b"\r\n\r\n")
    if not separator:
        return 0, b"", False
    status = int(head.split()[1])
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return status, rest, len(rest) == int(line.split(b":")[1])
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        length = int(size or b"0", 16)
        if length == 0:
            return status, body, size != b""
        body, rest = body + rest[:length], rest[length + 2 :]
    return status, body, False


async def _is_ready(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    answer = await reader.read(-1)
    writer.close()
    return b" 200 " in answer[:20]
