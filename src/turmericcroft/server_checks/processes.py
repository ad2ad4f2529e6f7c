"""Checks that a stream goes on at the process that the server's entry states.

A server may start again under its id with another software version, and its
entry tells that only when the new process has registered. The report on the
connection itself tells which process is behind it.
"""

import asyncio
import enum

from turmericcroft import errors
from turmericcroft.fleet import directory
from turmericcroft.gateway import answer
from turmericcroft.gateway import calls
from turmericcroft.gateway import state as states
from turmericcroft.gateway import upstream

# Clients leave a stream half a second after it counts as stalled.
_TIMEOUT_S = 0.2
# Cause for which the server may be checked on another connection.
CONNECTION_ENDED = "the connection ended after the report"


async def find_mismatch(
    state: states.State,
    server: directory.Server,
    connection: upstream.Connection,
    goes_on: bool = True,
) -> str:
    """Asks the process behind a connection for its start, once.

    Args:
        state: The daemon's state.
        server: The server by its entry.
        connection: The connection.
        goes_on: Whether a stream that began earlier goes on there, or moves
            from there. Any other request needs no check.

    Returns:
        Why no stream may go on there, and the connection is closed; empty if
        one may.
    """
    if not goes_on:
        return ""
    if not connection.is_process_checked:
        cause = await _check_process(state, server, connection)
        if cause:
            return cause
    if not connection.reusable:
        # What is sent on it now would be lost without an error.
        return CONNECTION_ENDED
    return ""


async def _check_process(
    state: states.State,
    server: directory.Server,
    connection: upstream.Connection,
) -> str:
    """Asks the process, and closes the connection if it must not be used."""
    loop = asyncio.get_running_loop()
    cause = ""
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            # A wait for the server's limit would exclude a sound server; the
            # next requests wait for it instead.
            state.server_limits.acquire(server.incarnation, loop.time())
            response = await calls.call_on(
                state,
                server,
                connection,
                *state.dialect.report_request(),
                b"",
            )
        cause = _find_other_start(state, server, response)
    except TimeoutError:
        cause = "the process behind the connection did not answer"
    except errors.BackendLostError as error:
        cause = f"the report was lost: {error}"
    if cause:
        connection.abort()
    connection.is_process_checked = not cause
    return cause


class Answer(enum.Enum):
    """What a server says of its process.

    Attributes:
        SAME: It is the process of the entry, which has served all the time
            since it wrote the entry: processes follow each other at an address.
        OTHER: Another process answers.
        NONE: No answer came; the server has not shown that it started again.
    """

    SAME = "same"
    OTHER = "other"
    NONE = "none"


async def ask(state: states.State, server: directory.Server) -> Answer:
    """Asks a server whether its process is that of the entry."""
    report = *state.dialect.report_request(), b""
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            try:
                response = await calls.call_server(state, server, *report)
            except errors.BackendLostError:
                # The connection may have led to the former process.
                state.pool.close_idle(server.incarnation)
                response = await calls.call_server(state, server, *report)
    except (errors.BackendError, TimeoutError):
        return Answer.NONE
    if _find_other_start(state, server, response):
        return Answer.OTHER
    return Answer.SAME


async def has_restarted(state: states.State, server: directory.Server) -> bool:
    """Whether another process answers in place of the one of an entry.

    Handles and requests of the former process mean nothing to it. A server
    that doesn't answer has not shown that it started again.
    """
    return await ask(state, server) is Answer.OTHER


def _find_other_start(
    state: states.State,
    server: directory.Server,
    response: answer.CompleteResponse,
) -> str:
    """Says how a report differs from the start of a server's entry."""
    found = state.dialect.read_report(response.body).started_at_ms
    expected = server.started_at_ms
    if found is None or not expected or found == expected:
        return ""
    return f"expected a process started at {expected}, found {found}"
