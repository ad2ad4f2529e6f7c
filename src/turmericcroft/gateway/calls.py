"""Calls to backend servers on the gateway's own behalf, not for a client."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from turmericcroft import errors
from turmericcroft.fleet import directory
from turmericcroft.gateway import answer
from turmericcroft.gateway import facts
from turmericcroft.gateway import server_statements
from turmericcroft.gateway import state as states
from turmericcroft.gateway import upstream
from turmericcroft.responses import buffers

# Copying the KV cache of a long prompt takes some ten ms; several copies may
# queue on one link.
_CALL_TIMEOUT_S = 0.8
# Lists of cached parts are the longest; a part takes about 60 bytes.
_MAX_CALL_BODY_BYTES = 4_194_304

ProcessCheck = Callable[
    [states.State, directory.Server, upstream.Connection], Awaitable[str]
]


async def call_server(
    state: states.State,
    server: directory.Server,
    method: bytes,
    path: bytes,
    body: bytes,
    is_order: bool = False,
    check_process: ProcessCheck | None = None,
) -> answer.CompleteResponse:
    """Calls a server on the gateway's own behalf, not for a client.

    Args:
        state: The daemon's state.
        server: The server.
        method: HTTP method.
        path: Path of the call.
        body: Body of the call.
        is_order: Whether the call has an effect, so that a late response to an
            earlier call must not be taken for its own.
        check_process: Returns why the call may not be sent on a connection,
            which it has closed then; empty if it may.

    Raises:
        errors.BackendError: There was no complete response, or the server asked
            to be sent nothing now or is at its limit.
        TimeoutError: The response did not come in time.
    """
    now_s = asyncio.get_running_loop().time()
    if state.loads.paused_s(
        server.name, now_s
    ) or not state.server_limits.try_acquire(server.incarnation, now_s):
        raise errors.BackendNotReachedError(
            f"{server.name}: expected it to take calls, found that it paused"
        )
    connection = await state.pool.acquire(
        server, upstream.MAX_IDLE_S, request_id="" if is_order else None
    )
    if check_process is not None:
        cause = await check_process(state, server, connection)
        if cause:
            raise errors.BackendNotReachedError(f"{server.name}: {cause}")
    response = await call_on(state, server, connection, method, path, body)
    if response.facts.leaving:
        connection.abort()
    state.pool.release(server, connection)
    return response


async def call_on(
    state: states.State,
    server: directory.Server,
    connection: upstream.Connection,
    method: bytes,
    path: bytes,
    body: bytes,
) -> answer.CompleteResponse:
    """Calls a server on a connection, which is closed if the call fails.

    Raises:
        errors.BackendLostError: There was no complete response.
        TimeoutError: The response did not come in time.
    """
    reader = CallReader(state.dialect, state.pool.buffers)
    head = b"%b %b HTTP/1.1\r\nhost: %b\r\n" % (
        method,
        path,
        f"{server.host}:{server.port}".encode(),
    )
    framing = b"content-type: application/json\r\ncontent-length: %d\r\n\r\n"
    connection.send(head + framing % len(body) + body, reader, "")
    try:
        async with asyncio.timeout(_CALL_TIMEOUT_S):
            response = await reader.outcome
    except BaseException:
        connection.abort()
        raise
    server_statements.observe_response(
        state, server, response.status, response.facts
    )
    return response


class CallReader:
    """Reads the response to call_server; implements ResponseSink."""

    def __init__(self, dialect: facts.Dialect, bodies: buffers.Buffers) -> None:
        self.dialect = dialect
        self.outcome: asyncio.Future[answer.CompleteResponse] = (
            asyncio.get_running_loop().create_future()
        )
        self._status = 0
        self._headers: list[facts.Header] = []
        self._body = bodies.open(_MAX_CALL_BODY_BYTES, self.on_lost)
        self.outcome.add_done_callback(lambda _: self._body.close())

    def on_head(self, status: int, headers: list[facts.Header]) -> bool:
        """Stores status and headers; False if they answer a client."""
        response_facts = self.dialect.read_response(status, headers)
        if response_facts.request_id:
            return False
        self._status, self._headers = status, headers
        return True

    def on_body(self, data: bytes) -> None:
        """Stores a piece of the body."""
        self._body.append(data)

    def on_end(self) -> None:
        """Sets the complete response."""
        if not self.outcome.done():
            response_facts = self.dialect.read_response(
                self._status, self._headers
            )
            self.outcome.set_result(
                answer.CompleteResponse(
                    self._status,
                    tuple(self._headers),
                    response_facts,
                    bytes(self._body.data),
                )
            )

    def on_lost(self, cause: str) -> None:
        """Sets an error: the response ended early."""
        if not self.outcome.done():
            self.outcome.set_exception(errors.BackendLostError(cause))
