"""All stand-ins of one small world, with commands to make them fail."""

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
        name: Its name.
        availability_zone: Where it is.
        port: Its port on the loopback interface.
        runs: Public names of what it runs.
        is_model: Model engine or plain service.
        price_per_h: Its price.
        engine_parameters: Speeds, for an engine.
    """

    name: str
    availability_zone: str
    port: int
    runs: tuple[str, ...]
    is_model: bool
    price_per_h: float
    engine_parameters: engine.EngineParameters = dataclasses.field(
        default_factory=engine.EngineParameters
    )


@dataclasses.dataclass(frozen=True)
class WorldPlan:
    """The world to start.

    Attributes:
        host: Loopback address of everything.
        key_value_port: Port of the key-value stand-in.
        cloud_port: Port of VM list, cloud API, weight store and commands.
        servers: Backend servers.
        list_lag_s: How late the VM list shows a change.
        notice_s: Time between a reclaim notice and the reclaim.
        replace_s: Time until a reclaimed VM is replaced.
    """

    host: str
    key_value_port: int
    cloud_port: int
    servers: tuple[ServerPlan, ...]
    list_lag_s: float = 0.3
    notice_s: float = 1.0
    replace_s: float = 3.0


@dataclasses.dataclass
class _Running:
    plan: ServerPlan
    backend: engine.SimulatedEngine | service.SimulatedService
    state: str = "live"
    boots: int = 1
    started_at_s: float = dataclasses.field(default_factory=time.monotonic)
    up_s: float = 0.0


class World:
    """Runs the stand-ins in one event loop.

    Attributes:
        key_value: The key-value stand-in.
        runs: Runs of plain-service calls, by reference.
    """

    def __init__(self, plan: WorldPlan) -> None:
        self.plan = plan
        self.key_value = keyvalue.SimulatedKeyValueService()
        self.runs: collections.Counter[str] = collections.Counter()
        self.servers: dict[str, _Running] = {}
        self.refuse_starts = False
        self._listed: list[dict[str, typing.Any]] = []
        self._others: list[dict[str, typing.Any]] = []
        self._runners: list[web.AppRunner] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts everything."""
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
        self._spawn(self._publish_list())

    def list_only(self, plan: ServerPlan, slots: int) -> None:
        """Lists a server that runs in a process of its own."""
        described = self._describe(
            _Running(plan, engine.SimulatedEngine("", plan.engine_parameters))
        )
        self._others.append(described | {"slots": slots})

    async def close(self) -> None:
        """Stops everything."""
        for task in list(self._tasks):
            task.cancel()
        for running in self.servers.values():
            if isinstance(running.backend, engine.SimulatedEngine):
                await running.backend.crash()
            else:
                await running.backend.stop()
        for runner in self._runners:
            await runner.cleanup()

    async def reclaim_zone(
        self, zone: str, notice_s: float, replace: bool
    ) -> None:
        """Gives notice to a zone's servers, then takes them."""
        names = [
            name
            for name, running in self.servers.items()
            if running.plan.availability_zone == zone
        ]
        await self.reclaim_servers(names, notice_s, replace)

    async def reclaim_servers(
        self, names: list[str], notice_s: float, replace: bool
    ) -> None:
        """Gives notice to some servers, then takes them."""
        taken = [
            self.servers[name]
            for name in names
            if self.servers[name].state == "live"
        ]
        for running in taken:
            running.state = "leaving"
        await asyncio.sleep(notice_s)
        for running in taken:
            await self._stop_server(running)
        if replace:
            self._spawn(self._replace(taken))

    async def crash_server(self, name: str) -> None:
        """Kills one server without notice; it is replaced later."""
        running = self.servers[name]
        await self._stop_server(running)
        self._spawn(self._replace([running]))

    async def _stop_server(self, running: _Running) -> None:
        running.state = "gone"
        running.up_s += time.monotonic() - running.started_at_s
        match running.backend:
            case engine.SimulatedEngine() as backend:
                await backend.crash()
            case service.SimulatedService() as backend:
                await backend.stop()

    async def _start_server(self, plan: ServerPlan) -> None:
        backend: engine.SimulatedEngine | service.SimulatedService
        if plan.is_model:
            backend = engine.SimulatedEngine(plan.name, plan.engine_parameters)
        else:
            backend = service.SimulatedService(plan.name, self.runs)
        await backend.start(self.plan.host, plan.port)
        self.servers[plan.name] = _Running(plan, backend)

    async def _replace(self, taken: list[_Running]) -> None:
        await asyncio.sleep(self.plan.replace_s)
        while self.refuse_starts:
            await asyncio.sleep(0.2)
        for running in taken:
            await running.backend.start(self.plan.host, running.plan.port)
            running.state = "live"
            running.boots += 1
            running.started_at_s = time.monotonic()

    async def _publish_list(self) -> None:
        while True:
            self._watch_crashes()
            current = [self._describe(r) for r in self.servers.values()]
            await asyncio.sleep(self.plan.list_lag_s)
            live = [vm for vm in current if vm["state"] != "gone"]
            self._listed = live + self._others

    def _watch_crashes(self) -> None:
        for running in self.servers.values():
            backend = running.backend
            if not isinstance(backend, engine.SimulatedEngine):
                continue
            if backend.is_down and running.state != "gone":
                running.state = "gone"
                self._spawn(self._replace([running]))

    def _describe(self, running: _Running) -> dict[str, typing.Any]:
        plan = running.plan
        return {
            "name": plan.name,
            "role": "model" if plan.is_model else "service",
            "availability_zone": plan.availability_zone,
            "url": f"http://{self.plan.host}:{plan.port}",
            "runs": list(plan.runs),
            "state": running.state,
            "price_per_h": plan.price_per_h,
            "slots": plan.engine_parameters.slots if plan.is_model else 64,
            "boot_id": f"{plan.name}-{running.boots}",
        }

    async def _list_vms(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"vms": self._listed})

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
            name: dataclasses.asdict(running.backend.counts)
            | {"crashes": running.backend.crashes}
            for name, running in self.servers.items()
            if isinstance(running.backend, engine.SimulatedEngine)
        }
        return web.json_response(
            {
                "engines": engines,
                "runs": dict(self.runs),
                "spent": sum(map(self._spent, self.servers.values())),
            }
        )

    async def _weights(self, request: web.Request) -> web.Response:
        await asyncio.sleep(0.2)
        return web.Response(body=request.match_info["name"].encode())

    def _spent(self, running: _Running) -> float:
        up_s = running.up_s
        if running.state != "gone":
            up_s += time.monotonic() - running.started_at_s
        return up_s / 3600.0 * running.plan.price_per_h

    async def _serve(self, app: web.Application, port: int) -> None:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.01)
        await runner.setup()
        await web.TCPSite(
            runner, self.plan.host, port, reuse_address=True
        ).start()
        self._runners.append(runner)

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
