"""Simulated platform: VM list, key-value service and backend servers.

Methods and HTTP calls under ``/lab`` reclaim and crash its servers.
"""

import asyncio
import collections
import dataclasses
import time
import typing

from aiohttp import web

from turmericcroft_lab import engine
from turmericcroft_lab import keyvalue
from turmericcroft_lab import service


@dataclasses.dataclass(frozen=True)
class ServerPlan:
    """A backend server to start.

    Attributes:
        name: Name of the server.
        availability_zone: Its availability zone.
        port: Its port on the loopback interface.
        public_names: Public names that it serves.
        is_model: Whether it is a model engine; else it is a plain service.
        price_per_h: Price of its VM.
        engine_parameters: Speeds and sizes, for a model engine.
    """

    name: str
    availability_zone: str
    port: int
    public_names: tuple[str, ...]
    is_model: bool
    price_per_h: float
    engine_parameters: engine.EngineParameters = dataclasses.field(
        default_factory=engine.EngineParameters
    )


@dataclasses.dataclass(frozen=True)
class PlatformPlan:
    """Ports, servers and times of a simulated platform.

    Attributes:
        host: Loopback address of all ports.
        key_value_port: Port of the key-value service.
        cloud_port: Port of the VM list, the weight store and the ``/lab``
            calls.
        servers: Backend servers to start.
        list_lag_s: Delay until the VM list shows a change.
        notice_s: Default time between a reclaim notice and the reclaim.
        replace_s: Time until a reclaimed or crashed VM is replaced.
    """

    host: str
    key_value_port: int
    cloud_port: int
    servers: tuple[ServerPlan, ...]
    list_lag_s: float = 0.3
    notice_s: float = 1.0
    replace_s: float = 3.0


@dataclasses.dataclass
class _RunningServer:
    plan: ServerPlan
    backend: engine.SimulatedEngine | service.SimulatedService
    state: str = "live"
    boots: int = 1
    started_at_s: float = dataclasses.field(default_factory=time.monotonic)
    uptime_s: float = 0.0


class SimulatedPlatform:
    """Runs the parts of a simulated platform in one event loop.

    Attributes:
        plan: Ports, servers and times.
        key_value: The key-value service.
        executions: Number of executions of plain-service calls by reference.
        servers: Backend servers by name.
        refuse_starts: Whether no VM is replaced for now.
    """

    def __init__(self, plan: PlatformPlan) -> None:
        self.plan = plan
        self.key_value = keyvalue.SimulatedKeyValueService()
        self.executions: collections.Counter[str] = collections.Counter()
        self.servers: dict[str, _RunningServer] = {}
        self.refuse_starts = False
        self._listed_vms: list[dict[str, typing.Any]] = []
        self._external_vms: list[dict[str, typing.Any]] = []
        self._runners: list[web.AppRunner] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts all parts."""
        await self._serve(self.key_value.app, self.plan.key_value_port)
        for plan in self.plan.servers:
            await self._start_server(plan)
        app = web.Application()
        app.router.add_get("/vms", self._list_vms)
        app.router.add_post("/lab/reclaim", self._reclaim)
        app.router.add_post("/lab/crash", self._crash)
        app.router.add_get("/lab/counts", self._counts)
        app.router.add_get("/weights/{name}", self._weights)
        await self._serve(app, self.plan.cloud_port)
        self._spawn(self._update_vm_list())

    def list_external_server(self, plan: ServerPlan, slots: int) -> None:
        """Adds a server that runs in another process to the VM list."""
        entry = self._vm_entry(
            _RunningServer(
                plan, engine.SimulatedEngine("", plan.engine_parameters)
            )
        )
        self._external_vms.append(entry | {"slots": slots})

    async def close(self) -> None:
        """Stops all parts."""
        for task in list(self._tasks):
            task.cancel()
        for server in self.servers.values():
            if isinstance(server.backend, engine.SimulatedEngine):
                await server.backend.crash()
            else:
                await server.backend.stop()
        for runner in self._runners:
            await runner.cleanup()

    async def reclaim_zone(
        self, zone: str, notice_s: float, replace: bool
    ) -> None:
        """Reclaims all servers of a zone; see ``reclaim_servers``."""
        names = [
            name
            for name, server in self.servers.items()
            if server.plan.availability_zone == zone
        ]
        await self.reclaim_servers(names, notice_s, replace)

    async def reclaim_servers(
        self, names: list[str], notice_s: float, replace: bool
    ) -> None:
        """Marks servers as leaving and stops them at the end of the notice.

        Args:
            names: Names of the servers; those that are not live are skipped.
            notice_s: Time from the notice until they are stopped.
            replace: Whether they are replaced later.
        """
        servers = [
            self.servers[name]
            for name in names
            if self.servers[name].state == "live"
        ]
        for server in servers:
            server.state = "leaving"
        await asyncio.sleep(notice_s)
        for server in servers:
            await self._stop_server(server)
        if replace:
            self._spawn(self._replace(servers))

    async def crash_server(self, name: str) -> None:
        """Stops a server without notice; it is replaced later."""
        server = self.servers[name]
        await self._stop_server(server)
        self._spawn(self._replace([server]))

    async def _stop_server(self, server: _RunningServer) -> None:
        server.state = "gone"
        server.uptime_s += time.monotonic() - server.started_at_s
        match server.backend:
            case engine.SimulatedEngine() as backend:
                await backend.crash()
            case service.SimulatedService() as backend:
                await backend.stop()

    async def _start_server(self, plan: ServerPlan) -> None:
        backend: engine.SimulatedEngine | service.SimulatedService
        if plan.is_model:
            backend = engine.SimulatedEngine(plan.name, plan.engine_parameters)
        else:
            backend = service.SimulatedService(plan.name, self.executions)
        await backend.start(self.plan.host, plan.port)
        self.servers[plan.name] = _RunningServer(plan, backend)

    async def _replace(self, servers: list[_RunningServer]) -> None:
        await asyncio.sleep(self.plan.replace_s)
        while self.refuse_starts:
            await asyncio.sleep(0.2)
        for server in servers:
            await server.backend.start(self.plan.host, server.plan.port)
            server.state = "live"
            server.boots += 1
            server.started_at_s = time.monotonic()

    async def _update_vm_list(self) -> None:
        while True:
            self._detect_crashes()
            current = [
                self._vm_entry(server) for server in self.servers.values()
            ]
            await asyncio.sleep(self.plan.list_lag_s)
            live = [vm for vm in current if vm["state"] != "gone"]
            self._listed_vms = live + self._external_vms

    def _detect_crashes(self) -> None:
        for server in self.servers.values():
            backend = server.backend
            if not isinstance(backend, engine.SimulatedEngine):
                continue
            if backend.is_down and server.state != "gone":
                server.state = "gone"
                self._spawn(self._replace([server]))

    def _vm_entry(self, server: _RunningServer) -> dict[str, typing.Any]:
        plan = server.plan
        return {
            "name": plan.name,
            "role": "model" if plan.is_model else "service",
            "availability_zone": plan.availability_zone,
            "url": f"http://{self.plan.host}:{plan.port}",
            "runs": list(plan.public_names),
            "state": server.state,
            "price_per_h": plan.price_per_h,
            "slots": plan.engine_parameters.slots if plan.is_model else 64,
            "boot_id": f"{plan.name}-{server.boots}",
        }

    async def _list_vms(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"vms": self._listed_vms})

    async def _reclaim(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._spawn(
            self.reclaim_zone(
                body["zone"],
                float(body.get("notice_s", self.plan.notice_s)),
                bool(body.get("replace", True)),
            )
        )
        return web.json_response({})

    async def _crash(self, request: web.Request) -> web.Response:
        await self.crash_server((await request.json())["server"])
        return web.json_response({})

    async def _counts(self, request: web.Request) -> web.Response:
        del request
        engines = {
            name: dataclasses.asdict(server.backend.counts)
            | {"crashes": server.backend.crashes}
            for name, server in self.servers.items()
            if isinstance(server.backend, engine.SimulatedEngine)
        }
        return web.json_response(
            {
                "engines": engines,
                "runs": dict(self.executions),
                "spent": sum(map(self._cost, self.servers.values())),
            }
        )

    async def _weights(self, request: web.Request) -> web.Response:
        await asyncio.sleep(0.2)
        return web.Response(body=request.match_info["name"].encode())

    def _cost(self, server: _RunningServer) -> float:
        uptime_s = server.uptime_s
        if server.state != "gone":
            uptime_s += time.monotonic() - server.started_at_s
        return uptime_s / 3600.0 * server.plan.price_per_h

    async def _serve(self, app: web.Application, port: int) -> None:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.01)
        await runner.setup()
        await web.TCPSite(
            runner, self.plan.host, port, reuse_address=True
        ).start()
        self._runners.append(runner)

    def _spawn(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
