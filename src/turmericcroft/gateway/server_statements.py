"""What backend servers state of themselves in their answers.

A server may state that it leaves, that it wants a pause, how many requests a
second it takes, and that it is brittle. Other daemons tell what they heard.
"""

import asyncio
import random
from collections.abc import Iterable

from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
from turmericcroft.fleet import positions
from turmericcroft.gateway import facts
from turmericcroft.gateway import state as states
from turmericcroft.routing import brittle
from turmericcroft.routing import server_limits
from turmericcroft.routing.work import statements as load_statements

_STATUS_MISDIRECTED = 421
_STATUS_UNAVAILABLE = 503
# A server that states a longer time is broken; it is tried again after this.
_MAX_PAUSE_S = 120.0
_PAUSE_SPREAD_S = 0.25


def observe_response(
    state: states.State,
    server: directory.Server,
    status: int,
    response: facts.ResponseFacts,
) -> None:
    """Applies what the headers of a response state about its server."""
    if status == _STATUS_MISDIRECTED:
        # Another server answered.
        return
    state.zones.record_response(server.availability_zone)
    now_s = asyncio.get_running_loop().time()
    if response.load is not None:
        _record_load(state, server, response.load, now_s)
    if response.leaving:
        record_leaving(state, server.incarnation, "answer", now_s)
    if state.server_limits.observe(
        server.incarnation, response.limit_per_s, now_s
    ):
        _log_limit(state, server.name, response.limit_per_s, "answer")
    if response.max_refusals_per_s is not None and state.brittle.observe(
        server.service, response.max_refusals_per_s, now_s
    ):
        _log_brittle(state, server.service, "answer")
    if status == _STATUS_UNAVAILABLE and response.retry_after_s:
        _pause_server(state, server, response.retry_after_s, now_s)
    elif (
        status == _STATUS_UNAVAILABLE
        and response.proves_not_run
        and state.brittle.is_brittle(server.service, now_s)
    ):
        _pause_server(state, server, brittle.FULL_PAUSE_S, now_s)


def _record_load(
    state: states.State,
    server: directory.Server,
    load: facts.ServerLoad,
    now_s: float,
) -> None:
    state.statements.record(
        load_statements.ServerStatement(
            *server.incarnation,
            server.service,
            load.running,
            load.waiting,
            load.slowdown,
            0.0,
        ),
        now_s,
    )


def merge_brittle(
    state: states.State,
    notes: Iterable[brittle.BrittleNote],
    source: str,
    now_s: float,
) -> None:
    """Applies which services another daemon knows to be brittle."""
    for service in state.brittle.merge(notes, now_s):
        _log_brittle(state, service, source)


def _log_brittle(state: states.State, service: str, source: str) -> None:
    state.log.write(events.ServiceBrittle(service, source))


def has_room(
    state: states.State, server: directory.Server, now_s: float
) -> bool:
    """Whether a server may be sent a request, if it is brittle."""
    if not state.brittle.is_brittle(server.service, now_s):
        return True
    load = state.loads.servers.get(server.name)
    own = state.reserved[server.name]
    own += load.in_flight if load is not None else 0
    others = sum(
        work[server.name].running
        for work in state.engine_loads.peers.values()
        if server.name in work
    )
    return brittle.has_room(
        brittle.ServerUse(
            server.name,
            server.slots,
            own,
            state.told_in_flight.get(server.name, 0),
            others,
        ),
        state.settings.daemon.name,
        state.live_daemons,
    )


def merge_limits(
    state: states.State,
    notes: Iterable[server_limits.LimitNote],
    source: str,
    now_s: float,
) -> None:
    """Applies limits of servers that another daemon told."""
    for note in notes:
        if state.server_limits.merge(note, now_s):
            _log_limit(state, note.server, note.limit_per_s, source)


def _log_limit(
    state: states.State, server: str, limit_per_s: float | None, source: str
) -> None:
    record = state.directory.records.get(server)
    service = record.server.service if record is not None else ""
    state.log.write(events.ServerLimited(server, service, limit_per_s, source))


def hold_off_s(
    state: states.State, server: directory.Server, now_s: float
) -> float:
    """Time for which to send nothing to a server, by what it stated."""
    return max(
        state.loads.paused_s(server.name, now_s),
        state.server_limits.wait_s(server.incarnation, now_s),
    )


async def wait_for_permit(
    state: states.State, server: directory.Server
) -> None:
    """Waits until the server may be sent a call, by what it stated."""
    loop = asyncio.get_running_loop()
    while True:
        wait_s = hold_off_s(state, server, loop.time())
        if not wait_s and state.server_limits.try_acquire(
            server.incarnation, loop.time()
        ):
            return
        await asyncio.sleep(max(0.01, wait_s))


def record_leaving(
    state: states.State, incarnation: tuple[str, int], source: str, now_s: float
) -> None:
    """Applies that a server stated in an answer that it leaves."""
    state.pool.close_idle(incarnation)
    change = state.directory.record_leaving(incarnation, now_s)
    if change is not None:
        state.record_server_changes([change], source, positions.START)


def _pause_server(
    state: states.State, server: directory.Server, stated_s: float, now_s: float
) -> None:
    """Sends nothing to a full server for the time that it stated."""
    # Lengthened at random, so that the daemons don't return all at once.
    pause_s = min(stated_s, _MAX_PAUSE_S) + random.uniform(0.0, _PAUSE_SPREAD_S)
    if not state.loads.paused_s(server.name, now_s):
        state.log.write(
            events.ServerPaused(
                server=server.name,
                service=server.service,
                stated_s=stated_s,
                pause_s=pause_s,
            )
        )
    state.loads.pause(server.name, now_s + pause_s)
