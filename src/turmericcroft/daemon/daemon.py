"""Wires the tasks of the daemon, starts them and stops them gracefully."""

import asyncio
import time
import typing

import logbook

from turmericcroft import errors
from turmericcroft import settings
from turmericcroft.clients import keyvalue
from turmericcroft.daemon import acceptance
from turmericcroft.daemon import answering as answering_tasks
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import calls
from turmericcroft.daemon import configuration
from turmericcroft.daemon import dispatch
from turmericcroft.daemon import fleet as fleet_tasks
from turmericcroft.daemon import ledger
from turmericcroft.daemon import membership
from turmericcroft.daemon import metrics
from turmericcroft.daemon import peers as peer_links
from turmericcroft.daemon import registry as registries
from turmericcroft.daemon import stopping
from turmericcroft.daemon import timelines
from turmericcroft.edge import callers
from turmericcroft.edge import intents
from turmericcroft.edge import operators
from turmericcroft.membership import view
from turmericcroft.mesh import link
from turmericcroft.mesh import message as messages
from turmericcroft.timeline import clock
from turmericcroft.timeline import event
from turmericcroft.timeline import recorder

_LOG = logbook.Logger("daemon")


class Daemon:
    """A daemon with its tasks and ports."""

    def __init__(self, config: settings.Settings) -> None:
        self.settings = config
        own = view.Member(
            name=config.daemon.name,
            incarnation=time.time_ns() // 1_000_000,
            availability_zone=config.daemon.availability_zone,
            host=config.mesh.host,
            port=config.mesh.port,
        )
        hybrid_clock = clock.HybridClock(lambda: time.time_ns() // 1_000_000)
        self.timeline = recorder.Recorder(config.daemon.name, hybrid_clock)
        self.board = boards.Board()
        self.members = view.View(own)
        self.peers = peer_links.Peers(config, self.members)
        self.key_value = keyvalue.KeyValue(
            config.platform.key_value_url, config.platform.key_value_timeout_s
        )
        self.fleet_task = fleet_tasks.FleetTask(
            config, self.board, self.timeline
        )
        self.member_task = membership.MembershipTask(
            config,
            self.board,
            self.members,
            self.peers,
            self.key_value,
            self.timeline,
        )
        self.configuration_task = configuration.ConfigurationTask(
            config,
            self.board,
            self.member_task,
            self.peers,
            self.key_value,
            self.timeline,
        )
        self._servers: list[typing.Any] = []
        self._tasks: list[asyncio.Task[None]] = []

    def is_ready(self) -> bool:
        """Returns whether the balancer should send callers to this daemon."""
        return (
            self.board.may_serve
            and bool(self.board.fleet.servers)
            and not self.board.stopping
        )

    async def start(self) -> None:
        """Opens the ports and starts the tasks."""
        self.answering = answering_tasks.Answering(
            self.settings,
            self.board,
            self.fleet_task,
            self.peers,
            self.timeline,
        )
        self.registry = registries.Registry(
            self.settings,
            self.board,
            self.answering,
            self.members,
            self.peers,
            self.timeline,
        )
        self.ledger = ledger.Ledger(self.members, self.peers, self.key_value)
        self.service_calls = calls.ServiceCalls(
            self.settings,
            self.board,
            self.fleet_task,
            self.ledger,
            self.timeline,
        )
        all_timelines = timelines.Timelines(
            self.board, self.members, self.peers, self.timeline
        )
        handler = dispatch.Dispatch(
            self.settings,
            self.board,
            self.member_task,
            self.registry,
            all_timelines,
            self.ledger,
        )
        mesh = self.settings.mesh
        self.mesh_server = link.MeshServer(
            mesh.host,
            mesh.port,
            mesh.secret,
            messages.CODEC,
            handler.handle,
            self.peers.links.sum_limit,
        )
        await self.mesh_server.start()
        await self._open_ports(all_timelines)
        self.timeline.record(event.DaemonChanged("started"))
        self._tasks = [
            asyncio.create_task(task.run())
            for task in (
                self.member_task,
                self.configuration_task,
                self.fleet_task,
            )
        ]

    async def stop(self) -> None:
        """Stops gracefully: finishes or hands over every accepted request."""
        await stopping.drain(self)
        await self.abort()

    async def abort(self) -> None:
        """Stops at once and drops the open answers of this daemon."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.answering.close()
        for server in self._servers:
            server.close()
        await self.service_calls.close()
        await self.ledger.close()
        await self.mesh_server.close()
        await self.peers.close()
        await self.key_value.close()

    async def _open_ports(self, all_timelines: timelines.Timelines) -> None:
        callers_app = callers.CallersApp(
            self.settings,
            self.board,
            self.registry,
            self.service_calls,
            self.timeline,
        )
        operators_app = operators.OperatorsApp(
            self.settings,
            self.board,
            self.members,
            metrics.Metrics(
                self.board, self.answering, self.key_value, self.timeline
            ),
            all_timelines,
            intents.IntentsApi(
                acceptance.Acceptance(self.board, self.members, self.key_value)
            ),
            self.is_ready,
        )
        for app, host, port in (
            (
                callers_app.app,
                self.settings.callers.host,
                self.settings.callers.port,
            ),
            (
                operators_app.app,
                self.settings.operators.host,
                self.settings.operators.port,
            ),
        ):
            server = await app.create_server(
                host=host, port=port, return_asyncio_server=True
            )
            if server is None:
                raise errors.TurmericcroftError(
                    f"expected an HTTP server on {host}:{port}, found none"
                )
            await server.startup()
            self._servers.append(server)
