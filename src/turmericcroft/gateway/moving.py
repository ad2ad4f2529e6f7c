"""Moves of running streams away from engines that leave."""

import asyncio
import typing

import logbook

from turmericcroft import errors
from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
from turmericcroft.gateway import answer
from turmericcroft.gateway import facts
from turmericcroft.gateway import state as states
from turmericcroft.gateway import upstream

if typing.TYPE_CHECKING:
    from turmericcroft.gateway import exchange as exchanges

_LOG = logbook.Logger("moving")
# Most runs end within this time; moving later spares their copies.
LEAD_S = 0.7
SCAN_INTERVAL_S = 0.05
# A copy of a long prompt takes some ten ms; several may queue on one link.
_ORDER_TIMEOUT_S = 0.8
# A moved run is awaited for so long after its old server closed the stream.
_FINISH_TIMEOUT_S = 1.0
# A crashed server refuses connections at once.
_CRASH_PROBE_DELAY_S = 0.05


class Move:
    """A run that is to go on at another server.

    Attributes:
        source: The server that makes it now.
        target: The server that is to go on with it.
    """

    def __init__(
        self, source: directory.Server, target: directory.Server
    ) -> None:
        self.source = source
        self.target = target
        self._memory_source: asyncio.Future[str | None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def failed(self) -> bool:
        """Whether the run stays where it is."""
        done = self._memory_source
        return done.done() and done.result() is None

    def finish(self, memory_source: str | None) -> None:
        """Notes where the run's memory is; None if the copy failed."""
        if not self._memory_source.done():
            self._memory_source.set_result(memory_source)

    async def wait(self) -> str | None:
        """Waits, after the source closed the stream, for the copy's end."""
        await asyncio.wait({self._memory_source}, timeout=_FINISH_TIMEOUT_S)
        self.finish(None)
        return self._memory_source.result()


async def evacuate_forever(state: states.State) -> None:
    """Moves runs away from servers shortly before they leave."""
    tasks: set[asyncio.Task[None]] = set()
    asked: set[tuple[str, int]] = set()
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(SCAN_INTERVAL_S)
        now_s = loop.time()
        for server in _of_unknown_notice(state):
            if server.incarnation not in asked:
                asked.add(server.incarnation)
                task = asyncio.create_task(_ask_time_left(state, server))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        urgent = {
            record.server.incarnation
            for record in state.directory.leaving()
            if record.leaves_at_s - LEAD_S <= now_s <= record.leaves_at_s + 1.0
        }
        if not urgent:
            continue
        for exchange in list(state.open_requests):
            if _must_move(exchange, urgent):
                task = asyncio.create_task(_move(state, exchange))
                tasks.add(task)
                task.add_done_callback(tasks.discard)


def watch_for_crash(
    state: states.State, server: directory.Server, fingerprint: str
) -> None:
    """Finds out whether a server that lost an answer has crashed."""
    task = asyncio.create_task(_probe(state, server, fingerprint))
    state.background_tasks.add(task)
    task.add_done_callback(state.background_tasks.discard)


def _of_unknown_notice(state: states.State) -> list[directory.Server]:
    """Reclaimed servers with open runs that did not say when they end."""
    busy = {
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
        and record.server.incarnation in busy
    ]


async def _ask_time_left(state: states.State, server: directory.Server) -> None:
    """Asks a reclaimed server how long it stays."""
    method, path = state.dialect.ask_report()
    try:
        whole = await call(state, server, method, path, b"")
    except (errors.BackendError, TimeoutError) as error:
        _LOG.info("time left not told", server=server.name, error=repr(error))
        return
    left_s = state.dialect.read_time_left(whole.body)
    now_s = asyncio.get_running_loop().time()
    _LOG.info("time left", server=server.name, left_s=left_s)
    if left_s is not None:
        state.directory.note_time_left(server, left_s, now_s)


def _must_move(
    exchange: "exchanges.Exchange", urgent: set[tuple[str, int]]
) -> bool:
    server = exchange.progress.server
    admitted = exchange.admitted
    return (
        server is not None
        and admitted is not None
        and server.incarnation in urgent
        and admitted.service.engine is not None
        and admitted.service.engine.can_move_runs
        and exchange.reply.relay is not None
        and exchange.is_streaming
        and exchange.move is None
    )


async def _move(state: states.State, exchange: "exchanges.Exchange") -> None:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    source = exchange.progress.server
    assert source is not None
    assert exchange.admitted is not None
    target = _choose_target(state, exchange, source)
    if target is None:
        return
    move = Move(source, target)
    exchange.move = move
    outcome = "failed"
    memory_source: str | None = None
    try:
        whole = await _order_copy(
            state, source, exchange.facts.request_id, target
        )
        outcome = str(whole.status)
        found = state.dialect.read_move_answer(whole.body)
        if found.handle and whole.status in (200, 503):
            memory_source = state.dialect.memory_source(
                f"{source.host}:{source.port}", found.handle
            )
            if whole.status == 503:
                # The copy found no room, so the stopped run goes on at the
                # source, as long as that serves.
                move.target = source
    except (errors.BackendError, TimeoutError) as error:
        outcome = repr(error)
    move.finish(memory_source)
    state.log.write(
        events.RunMoved(
            request_id=exchange.facts.request_id,
            source=source.name,
            target=target.name,
            outcome=outcome,
            events=exchange.reply.events,
            took_s=loop.time() - started_s,
        )
    )


def _choose_target(
    state: states.State,
    exchange: "exchanges.Exchange",
    source: directory.Server,
) -> directory.Server | None:
    assert exchange.admitted is not None
    candidates = [
        server
        for server in state.directory.usable(exchange.admitted.service.name)
        if server.name != source.name
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda server: (
            state.engine_loads.total(server.name).runs / server.slots,
            server.availability_zone != source.availability_zone,
        ),
    )


async def _order_copy(
    state: states.State,
    source: directory.Server,
    request_id: str,
    target: directory.Server,
) -> answer.Whole:
    method, path, body = state.dialect.move_run(
        request_id, f"{target.host}:{target.port}", final=True
    )
    return await call(state, source, method, path, body)


async def call(
    state: states.State,
    server: directory.Server,
    method: bytes,
    path: bytes,
    body: bytes,
) -> answer.Whole:
    """Makes a call of the gateway's own to a server.

    Raises:
        errors.BackendError: There was no whole answer.
        TimeoutError: It did not come in time.
    """
    connection = await state.pool.take(server, upstream.MAX_IDLE_S)
    reader = CallReader(state.dialect)
    head = b"%b %b HTTP/1.1\r\nhost: %b\r\n" % (
        method,
        path,
        f"{server.host}:{server.port}".encode(),
    )
    framing = b"content-type: application/json\r\ncontent-length: %d\r\n\r\n"
    connection.send(head + framing % len(body) + body, reader)
    try:
        async with asyncio.timeout(_ORDER_TIMEOUT_S):
            whole = await reader.outcome
    except BaseException:
        connection.abort()
        raise
    state.pool.give_back(server, connection)
    return whole


class CallReader:
    """Takes in the answer to a call of the gateway's own."""

    def __init__(self, dialect: facts.Dialect) -> None:
        self.dialect = dialect
        self.outcome: asyncio.Future[answer.Whole] = (
            asyncio.get_running_loop().create_future()
        )
        self._status = 0
        self._headers: list[facts.Header] = []
        self._body: list[bytes] = []

    def on_head(self, status: int, headers: list[facts.Header]) -> bool:
        """Takes in status and headers."""
        self._status, self._headers = status, headers
        return True

    def on_body(self, data: bytes) -> None:
        """Takes in a piece of the body."""
        self._body.append(data)

    def on_end(self) -> None:
        """The answer is complete."""
        if not self.outcome.done():
            found = self.dialect.read_answer(self._status, self._headers)
            self.outcome.set_result(
                answer.Whole(
                    self._status,
                    tuple(self._headers),
                    found,
                    b"".join(self._body),
                )
            )

    def on_lost(self, cause: str) -> None:
        """The answer ended early."""
        if not self.outcome.done():
            self.outcome.set_exception(errors.BackendLostError(cause))


async def _probe(
    state: states.State, server: directory.Server, fingerprint: str
) -> None:
    await asyncio.sleep(_CRASH_PROBE_DELAY_S)
    try:
        connection = await state.pool.take(server, 0.0)
    except errors.BackendNotReachedError as error:
        now_s = asyncio.get_running_loop().time()
        state.record_failure(server, f"probe: {error}", now_s)
        if not isinstance(error.__cause__, ConnectionRefusedError):
            return
        crashes = state.crash_ledger.note_crash(fingerprint, now_s)
        if state.crash_ledger.is_refused(fingerprint):
            state.log.write(events.RequestQuarantined(fingerprint, crashes))
        return
    connection.idle_since_s = asyncio.get_running_loop().time()
    state.pool.give_back(server, connection)
