"""Migration of running streams from engines that leave.

An engine that is reclaimed or drained ends its executions. Their KV caches are
copied to another engine shortly before, which continues the streams without
generating their tokens again.
"""

import asyncio
import typing

import logbook

from turmericcroft import errors
from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
from turmericcroft.gateway import answer
from turmericcroft.gateway import calls
from turmericcroft.gateway import dispatch
from turmericcroft.gateway import server_selection
from turmericcroft.gateway import server_statements
from turmericcroft.gateway import state as states
from turmericcroft.responses import migration_result
from turmericcroft.server_checks import processes

if typing.TYPE_CHECKING:
    from turmericcroft.gateway import exchange as exchanges

_LOG = logbook.Logger("moving")
# Executions are migrated this long before their server leaves, not at its
# notice: most end within this time, and each that ends before needs no copy.
MIGRATION_LEAD_S = 0.7
SCAN_INTERVAL_S = 0.05
# An execution is not migrated after this many servers refused its KV cache: it
# stops at each order, and the others are probably full, too.
_MAX_REFUSED_TARGETS = 2
# Longest wait for a copy's result after the source server closed the stream.
_COPY_RESULT_TIMEOUT_S = 1.0


class Migration:
    """The migration of one execution to another server.

    Attributes:
        source: Server that the execution leaves.
        target: Server that is to continue it.
    """

    def __init__(
        self, source: directory.Server, target: directory.Server
    ) -> None:
        self.source = source
        self.target = target
        self._result: asyncio.Future[migration_result.Result] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def may_have_stopped(self) -> bool:
        """Whether the source may have ended the execution for it."""
        return not self._result.done() or not isinstance(
            self._result.result(), migration_result.NotStopped
        )

    def finish(self, result: migration_result.Result) -> None:
        """Sets the result, unless it is known already."""
        if not self._result.done():
            self._result.set_result(result)

    async def wait(self) -> migration_result.Result:
        """Waits for the result after the source closed the stream."""
        await asyncio.wait({self._result}, timeout=_COPY_RESULT_TIMEOUT_S)
        self.finish(migration_result.Unknown())
        return self._result.result()

    def find_continuations(
        self, kv_cache_source: str
    ) -> list[dispatch.Continuation]:
        """Returns ways to continue the execution, the preferred one first."""
        return [
            dispatch.Continuation(server, self.source, kv_cache_source)
            for server in (self.target, self.source)
        ]


async def migrate_forever(state: states.State) -> None:
    """Migrates executions from servers shortly before they leave."""
    tasks: set[asyncio.Task[None]] = set()
    queried: set[tuple[str, int]] = set()
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(SCAN_INTERVAL_S)
        now_s = loop.time()
        for server in _reclaimed_without_leave_time(state):
            if server.incarnation not in queried:
                queried.add(server.incarnation)
                task = asyncio.create_task(_fetch_time_left(state, server))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        leaving_soon = {
            record.server.incarnation
            for record in state.directory.leaving()
            if record.leaves_at_s - MIGRATION_LEAD_S
            <= now_s
            <= record.leaves_at_s + 1.0
        }
        if not leaving_soon:
            continue
        called: set[tuple[str, int]] = set()
        for exchange in list(state.open_requests):
            if _must_migrate(exchange, leaving_soon) and _may_call_now(
                state, exchange, called
            ):
                task = asyncio.create_task(_migrate(state, exchange))
                tasks.add(task)
                task.add_done_callback(tasks.discard)


def _reclaimed_without_leave_time(
    state: states.State,
) -> list[directory.Server]:
    """Reclaimed servers with open requests and no known time to leave."""
    in_use = {
        exchange.progress.server.incarnation
        for exchange in state.open_requests
        if exchange.progress.server is not None
    }
    return [
        record.server
        for record in state.directory.leaving()
        if record.server.reclaimable
        and record.server.draining
        and record.server.leaves_in_s is None
        and record.server.incarnation in in_use
    ]


async def _fetch_time_left(
    state: states.State, server: directory.Server
) -> None:
    """Asks a reclaimed server how much time it has left."""
    method, path = state.dialect.report_request()
    try:
        response = await calls.call_server(state, server, method, path, b"")
    except (errors.BackendError, TimeoutError) as error:
        _LOG.info(
            "server did not report its time left",
            server=server.name,
            error=repr(error),
        )
        return
    left_s = state.dialect.read_report(response.body).time_left_s
    now_s = asyncio.get_running_loop().time()
    _LOG.info(
        "server reported its time left", server=server.name, left_s=left_s
    )
    if left_s is not None:
        state.directory.record_time_left(server, left_s, now_s)


def _must_migrate(
    exchange: "exchanges.Exchange", leaving_soon: set[tuple[str, int]]
) -> bool:
    server = exchange.progress.server
    admitted = exchange.admitted
    return (
        server is not None
        and admitted is not None
        and server.incarnation in leaving_soon
        and admitted.service.engine is not None
        and admitted.service.engine.supports_migration
        and exchange.response.forwarder is not None
        and exchange.is_executing
        and exchange.migration is None
        and len(exchange.progress.refused_targets) < _MAX_REFUSED_TARGETS
    )


def _may_call_now(
    state: states.State,
    exchange: "exchanges.Exchange",
    called: set[tuple[str, int]],
) -> bool:
    """Whether the limit of an exchange's server allows another call now.

    Args:
        state: The daemon's state.
        exchange: The exchange.
        called: Limited servers that are already called in this scan; one call
            is added to it.
    """
    server = exchange.progress.server
    assert server is not None
    if server.incarnation not in state.server_limits.limited():
        return True
    now_s = asyncio.get_running_loop().time()
    if server.incarnation in called or server_statements.hold_off_s(
        state, server, now_s
    ):
        return False
    called.add(server.incarnation)
    return True


async def _migrate(state: states.State, exchange: "exchanges.Exchange") -> None:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    source = exchange.progress.server
    assert source is not None
    assert exchange.admitted is not None
    target = _choose_target(state, exchange, source)
    if target is None:
        return
    migration = Migration(source, target)
    exchange.migration = migration
    outcome = "failed"
    result: migration_result.Result = migration_result.Unknown()
    try:
        response = await _request_copy(
            state, source, exchange.facts.request_id, target
        )
        exchange.prove_process(source)
        outcome = str(response.status)
        result = _read_result(state, source, response)
        if (
            isinstance(result, migration_result.Copied)
            and response.status == 503
        ):
            # The target had no room for the copy. The execution was
            # stopped and can continue at the source until that leaves.
            migration.target = source
            exchange.progress.refused_targets.add(target.name)
    except errors.BackendNotReachedError as error:
        result = migration_result.NotStopped()
        outcome = repr(error)
    except (errors.BackendError, TimeoutError) as error:
        outcome = repr(error)
    migration.finish(result)
    state.log.write(
        events.RunMoved(
            request_id=exchange.facts.request_id,
            source=source.name,
            target=target.name,
            outcome=outcome,
            events=exchange.response.forwarded_events,
            took_s=loop.time() - started_s,
        )
    )


def _read_result(
    state: states.State,
    source: directory.Server,
    response: answer.CompleteResponse,
) -> migration_result.Result:
    """Returns what a server's answer says about the execution."""
    copy_result = state.dialect.read_migration_response(response.body)
    if copy_result.handle and response.status in (200, 503):
        return migration_result.Copied(
            state.dialect.kv_cache_source(
                f"{source.host}:{source.port}", copy_result.handle
            )
        )
    if response.status == 404 or response.facts.proves_not_run:
        return migration_result.NotStopped()
    return migration_result.Unknown()


def _choose_target(
    state: states.State,
    exchange: "exchanges.Exchange",
    source: directory.Server,
) -> directory.Server | None:
    assert exchange.admitted is not None
    progress = exchange.progress
    now_s = asyncio.get_running_loop().time()
    # Another software version can't read the KV cache.
    candidates = [
        server
        for server in server_selection.usable_servers(
            state, exchange.admitted.service.name, source.software_version
        )
        if server.name != source.name
        and server.name not in progress.excluded | progress.refused_targets
        and not server_statements.hold_off_s(state, server, now_s)
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda server: (
            state.engine_loads.total(server.name).running / server.slots,
            server.availability_zone != source.availability_zone,
        ),
    )


async def _request_copy(
    state: states.State,
    source: directory.Server,
    request_id: str,
    target: directory.Server,
) -> answer.CompleteResponse:
    method, path, body = state.dialect.migration_request(
        request_id, f"{target.host}:{target.port}", final=True
    )
    return await calls.call_server(
        state,
        source,
        method,
        path,
        body,
        is_order=True,
        check_process=processes.find_mismatch,
    )
