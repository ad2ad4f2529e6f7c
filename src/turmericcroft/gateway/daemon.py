"""The gateway daemon: connects its parts; handles start, reload and stop.

When the daemon stops, the balancer still sends clients here for a while, so the
clients' port stays open for that time, and open requests complete.
"""

import asyncio
import functools
import signal

import logbook

from turmericcroft.control import declaration_confirmation
from turmericcroft.control import explaining
from turmericcroft.control import no_cloud
from turmericcroft.control import rollout_controller
from turmericcroft.eventlog import events
from turmericcroft.eventlog import writer
from turmericcroft.gateway import client
from turmericcroft.gateway import detour
from turmericcroft.gateway import duty
from turmericcroft.gateway import exchange
from turmericcroft.gateway import facts
from turmericcroft.gateway import following
from turmericcroft.gateway import jobs
from turmericcroft.gateway import members
from turmericcroft.gateway import metrics
from turmericcroft.gateway import migration
from turmericcroft.gateway import ports
from turmericcroft.gateway import prefix_recovery
from turmericcroft.gateway import quarantine
from turmericcroft.gateway import settings
from turmericcroft.gateway import state as states
from turmericcroft.gateway import store_view
from turmericcroft.gateway import tunnels
from turmericcroft.requests import arriving
from turmericcroft.routing import declaration
from turmericcroft.stream_lookup import version_recorder
from turmericcroft.stream_lookup import view_confirmation

_LOG = logbook.Logger("gateway")
_SWEEP_INTERVAL_S = 0.5
_FLUSH_INTERVAL_S = 0.1
_BACKLOG = 1_024
# Time after which the balancer no longer sends clients to a daemon that is not
# ready. It checks once a second and acts on two failed checks; clients that it
# sent here just before still connect.
BALANCER_DELAY_S = 3.0
# Time between the latest end of open responses and the kill of the process.
_GRACE_MARGIN_S = 0.6
# Parts of this margin: for the final answers to be sent, and for the process to
# end when everything is closed, which takes some 10 ms, but several times as
# long on a busy machine.
_FLUSH_TIMEOUT_S = 0.2
_EXIT_MARGIN_S = 0.2
_STOP_POLL_S = 0.05
_FLUSH_POLL_S = 0.01


class ClientHandler:
    """Handles the requests and connections of the clients' port.

    Attributes:
        connections: Open connections.
    """

    def __init__(self, state: states.State) -> None:
        self.state = state
        self.connections: set[client.ClientConnection] = set()
        self._exchanges: dict[client.ClientConnection, exchange.Exchange] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def limits(self) -> declaration.ClientLimits:
        """Returns the declared limits, or the defaults before a declaration."""
        table = self.state.declaration.table
        if table is None:
            return declaration.ClientLimits()
        return table.declaration.limits

    def is_stopping(self) -> bool:
        """Returns whether to close connections after their responses."""
        return self.state.stopping

    def handle_request(
        self, request: client.Request, connection: client.ClientConnection
    ) -> None:
        """Serves a request in a task of its own."""
        open_exchange = exchange.Exchange(request, connection, self.state)
        self._exchanges[connection] = open_exchange
        task = asyncio.create_task(self._run(open_exchange, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def client_disconnected(self, connection: client.ClientConnection) -> None:
        """Cancels the open request of a client that disconnected."""
        open_exchange = self._exchanges.pop(connection, None)
        if open_exchange is not None:
            open_exchange.cancel()

    def connection_opened(self, connection: client.ClientConnection) -> None:
        """Adds an opened connection."""
        self.connections.add(connection)

    def connection_closed(self, connection: client.ClientConnection) -> None:
        """Removes a closed connection."""
        self.connections.discard(connection)

    async def _run(
        self,
        open_exchange: exchange.Exchange,
        connection: client.ClientConnection,
    ) -> None:
        try:
            await open_exchange.run()
        except Exception as error:
            _LOG.exception(
                "request failed",
                request_id=open_exchange.facts.request_id,
                state=open_exchange.lifecycle.state,
                error=repr(error),
            )
            connection.abort()
        finally:
            if self._exchanges.get(connection) is open_exchange:
                del self._exchanges[connection]


class StatusHandler:
    """Serves readiness and metrics; responds without waiting."""

    def __init__(self, daemon: "Daemon") -> None:
        self.daemon = daemon

    def limits(self) -> declaration.ClientLimits:
        """Returns the limits of the internal ports."""
        return declaration.ClientLimits()

    def is_stopping(self) -> bool:
        """Returns False: connections stay open until the process ends."""
        return False

    def handle_request(
        self, request: client.Request, connection: client.ClientConnection
    ) -> None:
        """Responds to a request."""
        if request.path == self.daemon.settings.ports.readiness_path:
            status = 200 if self.daemon.is_ready() else 503
            connection.send_response(status, [], b"")
        elif request.path == "/metrics":
            content, headers = self.daemon.render_metrics()
            encoded = [
                (name.lower().encode(), value.encode())
                for name, value in headers.items()
            ]
            connection.send_response(200, encoded, content)
        elif request.path == "/explain":
            choice = self.daemon.rollouts.choice
            body = explaining.respond(self.daemon.state, choice, request)
            connection.send_response(200, explaining.HEADERS, body)
        else:
            connection.send_response(404, [], b"")

    def client_disconnected(self, connection: client.ClientConnection) -> None:
        """Does nothing: no request is open, because responses are immediate."""

    def connection_opened(self, connection: client.ClientConnection) -> None:
        """Does nothing: connections are not tracked."""

    def connection_closed(self, connection: client.ClientConnection) -> None:
        """Does nothing: connections are not tracked."""


class Daemon:
    """One gateway daemon and all its tasks."""

    def __init__(
        self,
        config: settings.Settings,
        store: ports.Store,
        cloud: ports.Cloud | None,
        dialect: facts.Dialect,
        schema: ports.StoreSchema,
        log: writer.Writer,
    ) -> None:
        self.settings = config
        self.store = store
        self.cloud = cloud
        self.log = log
        self.meter = metrics.Metrics()
        self.state = states.State(config, dialect, log, self.meter)
        self.store_view = store_view.StoreView(self.state, schema)
        self.members = members.Members(self.state, self.store_view)
        self.follower = following.Follower(
            self.state, store, self.store_view, self.members
        )
        confirmation = view_confirmation.ViewConfirmation(
            self.state, store, self.follower, self.members
        )
        self.state.confirm_view = confirmation.confirm
        self.members.confirm_view = confirmation.confirm_by_store
        self.state.confirm_declaration = (
            declaration_confirmation.DeclarationConfirmation(
                self.state, store, self.store_view
            ).confirm
        )
        self.client_handler = ClientHandler(self.state)
        self.arrivals = arriving.Arrivals(config.ports.memory_mb)
        self.detour = detour.Detour(self.state, self.members.alive)
        self.state.pool.detour = self.detour
        self.tunnel_server = tunnels.TunnelServer(self.state)
        self.duty: duty.DutyTask | None = None
        self.rollouts = rollout_controller.RolloutController(
            self.state, store, self.follower, lambda: self.duty
        )
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    def is_ready(self) -> bool:
        """Returns whether the balancer should send clients here."""
        # While no daemon reaches a server, all stay ready: none is better.
        is_alone = self.state.daemons > 1 and not self.detour.is_possible()
        return (
            not self.state.stopping
            and self.state.declaration.version > 0
            and not (is_alone and self._reaches_no_server())
        )

    def _reaches_no_server(self) -> bool:
        table = self.state.declaration.table
        services = table.declaration.services if table is not None else ()
        return bool(self.state.paths.isolated) and all(
            self.state.paths.is_isolated(service)
            for service in services
            if self.state.directory.usable(service)
        )

    def render_metrics(self) -> tuple[bytes, dict[str, str]]:
        """Renders all metrics; returns the body and headers of the response."""
        meter, state = self.meter, self.state
        meter.store_calls.set({}, self.store.calls)
        meter.undecoded.set({"kind": "item"}, self.store.skipped.total())
        meter.connections_opened.set({}, state.pool.opened)
        for kind, count in self.log.dropped.items():
            meter.log_lines_dropped.set({"kind": kind}, count)
        meter.open_requests.set({}, len(state.open_requests))
        meter.declaration.set({}, state.declaration.version)
        meter.fleet_age.set({}, self.store_view.fleet_age_s)
        now_s = asyncio.get_running_loop().time()
        ejected = sum(
            state.loads.is_ejected(name, now_s) for name in state.loads.servers
        )
        meter.ejected.set({}, ejected)
        meter.limited.set({}, len(state.server_limits.limited()))
        meter.isolated.set({}, len(state.paths.isolated))
        meter.relaying.set({}, int(self.members.is_relay()))
        table = state.declaration.table
        for name in table.declaration.services if table else ():
            usable = len(state.directory.usable(name))
            meter.servers.set({"service": name}, usable)
        return meter.render(["text/plain"])

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        await stop.wait()
        await self.stop()

    async def start(self) -> None:
        """Opens the ports and starts the tasks."""
        addresses = self.settings.ports
        self._log_change("start", addresses.clients)
        await self.members.server.start()
        await self.tunnel_server.start()
        status = StatusHandler(self)
        self._client_server = await self._listen(
            addresses.clients, self.client_handler
        )
        for address, handler in (
            (addresses.readiness, status),
            (f"{addresses.host}:{addresses.metrics}", status),
        ):
            await self._listen(address, handler)
        running: list[jobs.Job] = [
            self.follower.run,
            self.follower.register_forever,
            self.members.run,
            self.state.path_monitor.run,
            functools.partial(migration.migrate_forever, self.state),
            functools.partial(
                prefix_recovery.recover_prefixes, self.state, self.members
            ),
            quarantine.QuarantineKeeper(
                self.state, self.store, self.follower, self.members
            ).run,
            self.rollouts.run,
            self._sweep_forever,
            self._flush_forever,
        ]
        cloud = self.cloud or no_cloud.NoCloud()
        self.duty = duty.DutyTask(
            self.state, self.store, cloud, self.follower, self.members
        )
        if self.cloud is not None and self.settings.surroundings.duties:
            running.append(self.duty.run)
            running.append(
                version_recorder.VersionRecorder(
                    self.state, self.store, self.duty, self.follower
                ).run
            )
        else:
            running.append(self.rollouts.after_order(self.duty.run))
        self._tasks = [
            asyncio.create_task(jobs.keep_running(job, self.meter))
            for job in running
        ]

    async def stop(self) -> None:
        """Stops once the balancer sends no clients and open responses ended."""
        self._log_change(
            "stop", f"{len(self.state.open_requests)} requests open"
        )
        self.state.stopping = True
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        deadline_s = started_s + self.settings.bounds.grace_s - _GRACE_MARGIN_S
        self.state.ends_at_s = deadline_s
        while loop.time() < deadline_s:
            await asyncio.sleep(_STOP_POLL_S)
            if loop.time() - started_s < BALANCER_DELAY_S:
                continue
            # A client that connects from now on might not get a complete
            # response. If it is refused, it connects to another daemon at once.
            self._client_server.close()
            for connection in list(self.client_handler.connections):
                connection.close_if_idle()
            if (
                not self.client_handler.connections
                and not self.tunnel_server.entries
            ):
                break
        await self._end_open_requests()
        try:
            async with asyncio.timeout_at(
                deadline_s + _GRACE_MARGIN_S - _EXIT_MARGIN_S
            ):
                await self.close()
        except TimeoutError:
            _LOG.warning("closing timed out", after_s=loop.time() - started_s)
            self.log.flush()

    async def _end_open_requests(self) -> None:
        """Sends final answers to open requests and waits until they are out."""
        loop = asyncio.get_running_loop()
        self._client_server.close()
        self.state.ends_at_s = loop.time()
        flushed_by_s = loop.time() + _FLUSH_TIMEOUT_S
        while self.client_handler.connections and loop.time() < flushed_by_s:
            for open_exchange in list(self.state.open_requests):
                open_exchange.end_at_stop()
            for connection in list(self.client_handler.connections):
                connection.end_input()
            await asyncio.sleep(_FLUSH_POLL_S)

    async def close(self) -> None:
        """Closes the ports, ends the lease and the tasks, and disconnects."""
        self._log_change(
            "stopped", f"{len(self.state.open_requests)} requests open"
        )
        # What is open at the end is known also if the process is killed below.
        self.log.flush()
        for server in self._servers:
            server.close()
        released = asyncio.gather(
            *([self.duty.release_lease()] if self.duty is not None else [])
        )
        # Begins to end the lease; a slow store delays nothing else.
        await asyncio.sleep(0)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.state.pool.close()
        self.tunnel_server.close()
        await self.members.close()
        await released
        await self.store.close()
        if self.cloud is not None:
            await self.cloud.close()
        self.log.flush()

    def _reload(self) -> None:
        # Addresses and bounds apply until the process ends; what may change
        # while it runs is declared in the store.
        self._log_change("reload", "settings are read at the next start")

    async def _listen(
        self, address: str, handler: client.Handler
    ) -> asyncio.Server:
        host, _, port = address.rpartition(":")
        server = await asyncio.get_running_loop().create_server(
            lambda: client.ClientConnection(handler, self.arrivals),
            host,
            int(port),
            backlog=_BACKLOG,
        )
        self._servers.append(server)
        return server

    async def _sweep_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now_s = loop.time()
            self.state.pool.sweep(now_s)
            self.state.crashes.sweep(now_s)
            self.state.server_limits.expire(now_s)
            self.state.stream_origins.expire(now_s)
            self.state.incarnations.expire(now_s)
            self.store_view.expire()
            self.state.readmit_servers(now_s)
            for connection in list(self.client_handler.connections):
                connection.check_timeouts(now_s)

    async def _flush_forever(self) -> None:
        while True:
            self.log.flush()
            await asyncio.sleep(_FLUSH_INTERVAL_S)

    def _log_change(self, change: str, detail: str) -> None:
        self.log.write(events.ProcessChanged(change, detail))
