"""Starts daemons as processes on a platform simulated in this process."""

import asyncio
import contextlib
import dataclasses
import hashlib
import pathlib
import signal
import sys
from collections.abc import AsyncIterator

import aiohttp

from turmericcroft_lab import engine
from turmericcroft_lab import world
from turmericcroft_lab.hosted import loopback

HOST = "127.0.0.1"
OPERATOR_TOKEN = "operate"
MESH_SECRET = "lab-mesh"
_READY_TIMEOUT_S = 20.0
_SETTINGS = """\
[daemon]
name = "{name}"
region = "region-1"
availability_zone = "{zone}"
[callers]
host = "{host}"
port = {callers_port}
max_open_answers = 20000
[operators]
host = "{host}"
port = {operators_port}
operate_token_sha256 = ["{token_sha256}"]
[mesh]
host = "{host}"
port = {mesh_port}
secret = "{secret}"
[platform]
key_value_url = "http://{host}:{key_value_port}"
vm_list_url = "http://{host}:{cloud_port}"
vm_list_interval_s = 0.5
[stopping]
drain_s = {drain_s}
hand_over_s = 5.0
[log]
format = "text"
level = "{log_level}"
"""


@dataclasses.dataclass(frozen=True)
class ClusterPlan:
    """Size and settings of a cluster.

    Attributes:
        zones: Names of the availability zones.
        engines_per_zone: Number of model engines in each zone.
        services_per_zone: Number of plain services in each zone.
        daemons_per_zone: Number of daemons in each zone.
        models: Public names that every engine serves.
        service: Public name that every plain service serves.
        engine_parameters: Speeds and sizes of the engines.
        drain_s: How long a stopping daemon lets open answers finish before it
            hands them over.
        log_level: Log level of the daemons.
    """

    zones: tuple[str, ...] = ("zone-a", "zone-b")
    engines_per_zone: int = 3
    services_per_zone: int = 1
    daemons_per_zone: int = 2
    models: tuple[str, ...] = ("survey", "survey:mounts")
    service: str = "booking"
    engine_parameters: engine.EngineParameters = dataclasses.field(
        default_factory=engine.EngineParameters
    )
    drain_s: float = 0.5
    log_level: str = "ERROR"


@dataclasses.dataclass
class DaemonProcess:
    """A daemon that was started as a process.

    Attributes:
        name: Name of the daemon.
        zone: Availability zone of the daemon.
        callers_url: Base URL of the callers' port.
        operators_url: Base URL of the operators' port.
        settings: Path of its settings file.
        process: Its process.
    """

    name: str
    zone: str
    callers_url: str
    operators_url: str
    settings: pathlib.Path
    process: asyncio.subprocess.Process

    def terminate(self) -> None:
        """Sends SIGTERM, on which the daemon stops gracefully."""
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Sends SIGKILL."""
        self.process.kill()


class Cluster:
    """A simulated platform and the daemons that run on it.

    Attributes:
        plan: Size and settings of the cluster.
        folder: Folder for the daemons' settings files.
        platform: The simulated platform.
        daemons: The daemons, once started.
    """

    def __init__(self, plan: ClusterPlan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.folder = folder
        servers = _server_plans(plan)
        self.platform = world.SimulatedPlatform(
            world.PlatformPlan(
                HOST, loopback.free_port(), loopback.free_port(), servers
            )
        )
        self.daemons: list[DaemonProcess] = []

    async def start(self) -> None:
        """Starts the platform and the daemons and waits until they are healthy.

        It applies no configuration; without one, no daemon becomes ready.
        """
        await self.platform.start()
        for zone in self.plan.zones:
            for index in range(self.plan.daemons_per_zone):
                name = f"entry-{zone.removeprefix('zone-')}{index + 1}"
                self.daemons.append(await self._start_daemon(name, zone))
        await self.wait_for("/healthz")

    async def stop(self) -> None:
        """Kills the daemons and closes the platform."""
        for daemon in self.daemons:
            if daemon.process.returncode is None:
                daemon.kill()
            await daemon.process.wait()
        await self.platform.close()

    async def wait_for(self, path: str) -> None:
        """Waits until all running daemons respond with 200 on a path."""
        async with (
            asyncio.timeout(_READY_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            for daemon in self.daemons:
                if daemon.process.returncode is None:
                    await _wait_for_url(session, daemon.operators_url + path)

    async def _start_daemon(self, name: str, zone: str) -> DaemonProcess:
        callers_port, operators_port = (
            loopback.free_port(),
            loopback.free_port(),
        )
        path = self.folder / f"{name}.toml"
        text = _SETTINGS.format(
            name=name,
            zone=zone,
            host=HOST,
            callers_port=callers_port,
            operators_port=operators_port,
            mesh_port=loopback.free_port(),
            secret=MESH_SECRET,
            token_sha256=hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest(),
            key_value_port=self.platform.plan.key_value_port,
            cloud_port=self.platform.plan.cloud_port,
            drain_s=self.plan.drain_s,
            log_level=self.plan.log_level,
        )
        await asyncio.to_thread(path.write_text, text, "utf-8")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "turmericcroft.daemon",
            "--settings",
            str(path),
        )
        return DaemonProcess(
            name,
            zone,
            f"http://{HOST}:{callers_port}",
            f"http://{HOST}:{operators_port}",
            path,
            process,
        )


@contextlib.asynccontextmanager
async def running(
    plan: ClusterPlan, folder: pathlib.Path
) -> AsyncIterator[Cluster]:
    """Starts a cluster and stops it on leaving the context."""
    cluster = Cluster(plan, folder)
    try:
        await cluster.start()
        yield cluster
    finally:
        await cluster.stop()


async def _wait_for_url(session: aiohttp.ClientSession, url: str) -> None:
    while True:
        try:
            async with session.get(url) as response:
                if response.status == 200:
                    return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.05)


def _server_plans(plan: ClusterPlan) -> tuple[world.ServerPlan, ...]:
    plans = []
    for zone in plan.zones:
        letter = zone.removeprefix("zone-")
        for index in range(plan.engines_per_zone):
            plans.append(
                world.ServerPlan(
                    name=f"engine-{letter}{index + 1}",
                    availability_zone=zone,
                    port=loopback.free_port(),
                    public_names=plan.models,
                    is_model=True,
                    price_per_h=2.0,
                    engine_parameters=plan.engine_parameters,
                )
            )
        for index in range(plan.services_per_zone):
            plans.append(
                world.ServerPlan(
                    name=f"{plan.service}-{letter}{index + 1}",
                    availability_zone=zone,
                    port=loopback.free_port(),
                    public_names=(plan.service,),
                    is_model=False,
                    price_per_h=0.1,
                )
            )
    return tuple(plans)
