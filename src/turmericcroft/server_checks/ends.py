"""Checks whether responses that ended with their connections are complete.

The server is called after the close, as only an answer of the same process is
evidence of the end. Answers to calls state no id, so that a late copy of one
could be taken for the next: each call has a connection on which none was made
before. Engines state the start of their process, and are called on a new
connection. One that is older than the request identifies any other process.
"""

import asyncio

from turmericcroft import errors
from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
from turmericcroft.gateway import calls
from turmericcroft.gateway import server_statements
from turmericcroft.gateway import state as states
from turmericcroft.gateway import upstream
from turmericcroft.responses import ending

# Clients leave after two seconds or more without a response. Half of that is
# left for another server.
CHECK_TIMEOUT_S = 1.0
_MIN_WAIT_S = 0.001
# An idle connection may have been closed by the server; a second call is made
# on another one.
_MAX_CALLS = 2
_STATUS_OK = 200
# No connection of the pool was idle for less.
_NO_IDLE_S = -1.0


async def check(
    state: states.State,
    server: directory.Server,
    closed: ending.ClosedResponse,
) -> ending.Conclusion:
    """Checks whether a response is complete, within CHECK_TIMEOUT_S.

    Args:
        state: The daemon's state.
        server: The server that closed the connection.
        closed: The response.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    conclusion: ending.Conclusion
    try:
        async with asyncio.timeout_at(
            min(began_s + CHECK_TIMEOUT_S, closed.deadline_at_s)
        ):
            # Timers of uvloop may fire up to a millisecond early.
            while (wait_s := ending.ask_at_s(closed) - loop.time()) > 0:
                await asyncio.sleep(max(wait_s, _MIN_WAIT_S))
            await server_statements.wait_for_permit(state, server)
            conclusion = ending.conclude(closed, await _ask(state, server))
    except TimeoutError:
        # The deadline or the server's limit left too little time.
        conclusion = ending.Unproved("no time for the check", False)
    _record(state, server, closed, conclusion, loop.time() - began_s)
    return conclusion


async def _ask(
    state: states.State, server: directory.Server
) -> ending.Statement | ending.NoStatement:
    is_new = not _health_path(state, server)
    for _ in range(_MAX_CALLS):
        try:
            found = await _call(state, server, is_new)
            if is_new and found.started_at_ms is None:
                # An older connection identifies it, if there is one.
                found = await _call(state, server, False)
        except errors.BackendLostError as error:
            cause = f"the server's answer was lost: {error}"
        except errors.BackendNotReachedError as error:
            return ending.NoStatement(f"not reached: {error}")
        except TimeoutError:
            # A call to a plain server may wait for a slot.
            return ending.NoStatement("the call took too long", is_new)
        else:
            return found
    return ending.NoStatement(cause)


async def _call(
    state: states.State, server: directory.Server, is_new: bool
) -> ending.Statement:
    """Calls a server on a connection without an earlier call.

    Args:
        state: The daemon's state.
        server: The server.
        is_new: Whether to open a connection for it, which a process that stops
            mostly refuses.

    Raises:
        errors.BackendError: There was no complete response, or one that may be
            a late copy of one to a client.
    """
    max_idle_s = _NO_IDLE_S if is_new else upstream.MAX_IDLE_S
    connection = await state.pool.acquire(server, max_idle_s, request_id="")
    response = await calls.call_on(
        state, server, connection, *_request(state, server), b""
    )
    if response.facts.leaving:
        connection.abort()
    state.pool.release(server, connection)
    report = state.dialect.read_report(response.body)
    if (
        connection.uses > 1
        and report.started_at_ms is None
        and (response.status != _STATUS_OK or response.facts.signed)
    ):
        raise errors.BackendLostError("it may answer another request")
    return ending.Statement(
        connection.opened_at_s,
        report.started_at_ms,
        response.facts.server_name,
    )


def _request(
    state: states.State, server: directory.Server
) -> tuple[bytes, bytes]:
    """Returns method and path of a call that needs no slot, if one is."""
    health_path = _health_path(state, server)
    if not health_path:
        return state.dialect.report_request()
    return b"GET", health_path.encode()


def _health_path(state: states.State, server: directory.Server) -> str:
    """Path of a call to a plain server; empty for an engine."""
    table = state.declaration.table
    services = table.declaration.services if table is not None else {}
    service = services.get(server.service)
    if service is None or service.engine is not None:
        return ""
    return service.health_path or "/"


def _record(
    state: states.State,
    server: directory.Server,
    closed: ending.ClosedResponse,
    conclusion: ending.Conclusion,
    took_s: float,
) -> None:
    cause = ""
    match conclusion:
        case ending.Unproved(cause):
            pass
    state.metrics.ends_checked.inc(
        {"conclusion": "unproved" if cause else "complete"}
    )
    state.log.write(
        events.EndChecked(
            request_id=closed.request_id,
            server=server.name,
            complete=not cause,
            cause=cause,
            leaving=closed.leaves_at_s < float("inf"),
            took_s=took_s,
        )
    )
