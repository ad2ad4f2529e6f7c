"""Stand-ins and helpers of the review's scripts.

The daemons are real processes, started as deploy/system.toml says and with
settings rendered from its template. Store and cloud API are the project's
emulations; servers and clients are written here after the users' pages.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

from turmericcroft_lab.hosted import cloud
from turmericcroft_lab.hosted import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
API_KEY = "key-of-the-tenant"
TENANT = "tenant-1"
HOST = "app.example"

# Bounds of the site hanbit-shared, as DEPLOY.md shows them.
BOUNDS = {
    "seedLagS": 3,
    "addressReuseS": 2,
    "contactMs": 3000,
    "acknowledgeMs": 4000,
    "catchUpS": 4,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 8,
    "lossSlackMs": 200,
    "configPropagationMs": 2000,
    "rollbackSlackMs": 250,
    "partitionBoundMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryAllowance": 56,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaTolerance": 190000,
    "fencingEnforced": False,
    "leaseDurationMs": 3000,
    "thawSlackMs": 300,
    "usageWindowS": 5,
    "usageTolerance": 0.05,
    "usageDelayS": 10,
    "recoveryS": 12,
}


class CaseCouldNotRunError(Exception):
    """The stand-ins or the daemons did not come up."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, case: pathlib.Path) -> None:
        self._file = (case / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()
        self.note(f"trouble: {'yes' if TROUBLE else 'no'}")

    def note(self, text: str) -> None:
        """Writes one line with the time since the start."""
        now_s = time.monotonic() - self._began_s
        self._file.write(f"{now_s:8.3f} {text}\n")
        self._file.flush()

    def now_s(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._began_s

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def _look_up(fields, name):
    found = fields
    for part in name.split("."):
        if isinstance(found, list) and part.isdecimal():
            index = int(part)
            found = found[index] if index < len(found) else None
        elif isinstance(found, dict):
            found = found.get(part)
        else:
            return None
    return found


def render(template: str, fields: dict) -> str:
    """Fills in a settings template as DEPLOY.md describes it."""

    def section(match):
        value = _look_up(fields, match[1])
        return match[2] if value not in (None, False) else ""

    def placeholder(match):
        value = _look_up(fields, match[1])
        if match[2]:
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    template = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S
    )
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, template)


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def free_port(host: str) -> int:
    """Returns a port that is free at a loopback address.

    It lies below the range of which the kernel takes ports of connections.
    """
    for _ in range(1000):
        port = random.randrange(12_000, 30_000)
        if _is_free(host, port):
            return port
    raise CaseCouldNotRunError("no free port")


@dataclasses.dataclass
class Machine:
    """One entry VM, with a loopback address of its own."""

    name: str
    host: str
    zone: str
    settings: pathlib.Path
    fields: dict
    process: asyncio.subprocess.Process | None = None

    @property
    def frontend(self) -> tuple[str, int]:
        """Address for clients."""
        host, _, port = self.fields["listenAddresses"]["frontend"].rpartition(
            ":"
        )
        return host, int(port)

    @property
    def ready(self) -> tuple[str, int]:
        """Address of the readiness check."""
        host, _, port = self.fields["listenAddresses"]["ready"].rpartition(":")
        return host, int(port)


class Platform:
    """Store, cloud API and entry VMs of a small deployment."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = store.HostedStore()
        self.cloud = cloud.HostedCloud()
        self.machines: list[Machine] = []
        self._folder = tempfile.TemporaryDirectory()
        self._deploy = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        )
        self._role = self._deploy["roles"]["gateway"]
        # A block of loopback addresses at which the needed ports are free.
        self._network = f"127.{random.randrange(20, 250)}"
        self._network += f".{random.randrange(0, 250)}"

    async def start(
        self,
        machines: int,
        zones=("zone-a", "zone-b"),
        bounds=None,
        store_address=None,
        cloud_address=None,
    ) -> None:
        """Starts the store, the cloud API and the machines."""
        await self.store.start()
        await self.cloud.start()
        hosts = [f"{self._network}.{n + 1}" for n in range(machines)]
        ports = [free_port(hosts[0]) for _ in range(3)]
        first_internal = free_port(hosts[0])
        template = (ROOT / self._role["template"]).read_text(encoding="utf-8")
        for number, host in enumerate(hosts):
            name = f"edge-{number + 1}"
            fields = {
                "nodeName": name,
                "role": "gateway",
                "ipAddress": host,
                "zone": zones[number % len(zones)],
                "region": "region-1",
                "internalPortRange": [first_internal, first_internal + 15],
                "seedNodes": [f"{h}:{ports[2]}" for h in hosts[:3]],
                "bootstrap": True,
                "heartbeatIntervalMs": 1200,
                "listenAddresses": {
                    "frontend": f"{host}:{ports[0]}",
                    "ready": f"{host}:{ports[1]}",
                    "controlPlane": f"{host}:{ports[2]}",
                },
                "limits": {"linkMbps": 1000.0, "memoryMb": 300},
                "bounds": BOUNDS | (bounds or {}),
                "platform": {
                    "address": (store_address or {}).get(
                        name, self.store.address
                    )
                },
                "cloudApi": {
                    "address": (cloud_address or {}).get(
                        name, self.cloud.address
                    ),
                    "duties": ["usage", "scaling"],
                },
            }
            path = pathlib.Path(self._folder.name) / f"{name}.toml"
            machine = Machine(name, host, fields["zone"], path, fields)
            path.write_text(render(template, fields), encoding="utf-8")
            self.machines.append(machine)
        for machine in self.machines:
            await self.start_process(machine)
        await self.wait_until_ready()
        for machine in self.machines:
            machine.fields["bootstrap"] = False
            machine.settings.write_text(
                render(template, machine.fields), encoding="utf-8"
            )

    async def start_process(self, machine: Machine) -> None:
        """Starts a machine's process by the deploy file's command."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= self._role.get("env", {})
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["TURMERICCROFT_SETTINGS"] = str(machine.settings)
        log = pathlib.Path(self._folder.name) / f"{machine.name}.log"
        with log.open("ab") as output:
            machine.process = await asyncio.create_subprocess_exec(
                *shlex.split(self._role["run"]),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.record.note(f"{machine.name}: process started")

    async def is_ready(self, machine: Machine) -> bool:
        """Asks the readiness check once, as the platform does."""
        status, *_ = await call(
            machine.ready, "GET", "/turmericcroft/readiness", {}, timeout_s=1.0
        )
        return status == 200

    async def wait_until_ready(self, timeout_s: float = 25.0) -> None:
        """Waits until all machines are ready."""
        deadline_s = time.monotonic() + timeout_s
        for machine in self.machines:
            while not await self.is_ready(machine):
                if time.monotonic() > deadline_s:
                    raise CaseCouldNotRunError(f"{machine.name} isn't ready")
                await asyncio.sleep(0.1)
        self.record.note("all machines are ready")

    async def kill(self, machine: Machine) -> None:
        """Kills a machine's process."""
        process = machine.process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()
        self.record.note(f"{machine.name}: process killed")

    def read_log(self, machine: Machine) -> list[str]:
        """Returns a machine's log lines so far."""
        log = pathlib.Path(self._folder.name) / f"{machine.name}.log"
        return log.read_text(encoding="utf-8", errors="replace").splitlines()

    async def close(self) -> None:
        """Ends all processes and stand-ins."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        await self.store.close()
        await self.cloud.close()
        keep = os.environ.get("REVIEW_KEEP_LOGS")
        if keep:
            for machine in self.machines:
                text = "\n".join(self.read_log(machine))
                (pathlib.Path(keep) / f"{machine.name}.log").write_text(text)
        self._folder.cleanup()


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


async def read_message(reader: asyncio.StreamReader):
    """Reads one request: method, target, headers and body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, headers, body


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 20.0,
):
    """Sends a request on a new connection.

    Returns:
        Status (0 without an answer), headers, body, and whether the answer is
        complete.
    """
    writer = None
    status, found, received = 0, {}, b""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            fields = {"Host": HOST, "Content-Length": str(len(body))} | headers
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await reader.readuntil(b"\r\n\r\n")
            first, *rest = head.decode("latin-1").split("\r\n")[:-2]
            status = int(first.split()[1])
            for line in rest:
                name, _, value = line.partition(":")
                found[name.strip().lower()] = value.strip()
            if found.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int(await reader.readuntil(b"\r\n"), 16)
                    chunk = await reader.readexactly(size + 2)
                    if size == 0:
                        return status, found, received, True
                    received += chunk[:-2]
            size = int(found.get("content-length", "0"))
            received = await reader.readexactly(size)
            return status, found, received, True
    except (
        OSError,
        TimeoutError,
        asyncio.IncompleteReadError,
        asyncio.LimitOverrunError,
        ValueError,
    ):
        return status, found, received, False
    finally:
        if writer is not None:
            writer.close()


def client_headers(request_id: str, deadline_ms: int, **more: str):
    """Headers of a client's request."""
    fields = {
        "X-Request-Id": request_id,
        "X-Credential": API_KEY,
        "X-Deadline-Ms": str(deadline_ms),
    }
    return fields | {k.replace("_", "-"): v for k, v in more.items()}


class Server:
    """A backend server: one request at a time on a connection."""

    def __init__(self, name: str, service: str, record: Record) -> None:
        self.name = name
        self.service = service
        self.record = record
        self.zone = "zone-a"
        self.slots = 64
        self.sequence = 0
        self.born_ms = time.time_ns() // 1_000_000
        self.received: list[str] = []
        self.ran: list[str] = []
        self.work_s = 0.03
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Host and port."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Opens the port."""
        port = self.port or free_port("127.0.0.1")
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        self.port = port

    async def close(self) -> None:
        """Closes the port and ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def entry(self, **changes: object) -> dict[str, object]:
        """The server's entry in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        } | changes

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.answer(*message, reader, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    def write_answer(
        self, writer, status: int, request_id: str, body: bytes, **more: str
    ) -> None:
        """Writes a complete answer with a length."""
        fields = {"Content-Length": str(len(body))}
        if request_id:
            fields["X-Request-Id"] = request_id
        fields |= {k.replace("_", "-"): v for k, v in more.items()}
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def rejects(self, headers, writer) -> bool:
        """Answers 421 to a request that is meant for another server."""
        expected = headers.get("x-expect-instance", self.name)
        if expected == self.name:
            return False
        request_id = headers.get("x-request-id", "")
        self.write_answer(
            writer, 421, request_id, b"", X_Instance_Id=self.name
        )
        return True

    async def answer(
        self, method, target, headers, body, reader, writer
    ) -> bool:
        """Answers one request; returns whether the connection stays open."""
        if target == "/healthz":
            self.write_answer(writer, 200, "", b"", X_Instance_Id=self.name)
            return True
        request_id = headers.get("x-request-id", "")
        self.received.append(request_id)
        if self.rejects(headers, writer):
            return True
        self.ran.append(request_id)
        self.record.note(f"{self.name}: runs {request_id}")
        await asyncio.sleep(self.work_s)
        self.write_answer(
            writer,
            200,
            request_id,
            f"{request_id} by {self.name}".encode(),
            X_Server_Signature=f"sig-{self.name}-{request_id}",
        )
        return True


def run_case(folder: str, case) -> None:
    """Runs a case, bounded in time, and exits with its result."""
    record = Record(pathlib.Path(folder).resolve())

    async def bounded() -> int:
        async with asyncio.timeout(110.0):
            return await case(record)

    try:
        result = asyncio.run(bounded())
    except (CaseCouldNotRunError, TimeoutError, OSError) as error:
        record.note(f"the case could not run: {error!r}")
        result = NOT_RUN
    words = {HELD: "rule held", BROKEN: "rule broken", NOT_RUN: "not run"}
    record.note(f"result: {words[result]}")
    record.close()
    print(words[result])
    sys.exit(result)
