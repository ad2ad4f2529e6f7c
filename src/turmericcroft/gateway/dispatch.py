"""Reservation of a server and a connection for one attempt of a request.

A request that can't be sent now is either rejected, or another server is tried
because no connection could be opened to the chosen one.
"""

import asyncio
import dataclasses

from turmericcroft import errors
from turmericcroft.fleet import directory
from turmericcroft.gateway import admission
from turmericcroft.gateway import facts
from turmericcroft.gateway import progress as progresses
from turmericcroft.gateway import server_selection
from turmericcroft.gateway import state as states
from turmericcroft.gateway import upstream
from turmericcroft.scheduling import admit
from turmericcroft.scheduling import grace
from turmericcroft.scheduling import occupancy
from turmericcroft.scheduling import offered
from turmericcroft.server_checks import beginnings
from turmericcroft.server_checks import processes

# A request that must not run twice is sent on a new connection or on one that
# was idle for at most this time. A server may close an older one meanwhile, and
# a reset after bytes were sent doesn't show whether the request ran.
_NON_RETRYABLE_MAX_IDLE_S = 1.0
# Limit of attempts per request, including those that a server proved not to
# have run; the route's max_attempts limits executions. It does not end an
# execution that was stopped to be migrated.
_MAX_ATTEMPTS = 4
# A request is aborted after more failures to connect than this.
_MAX_CONNECT_FAILURES = 4
# A request is not sent with less time than this left until its deadline: no
# server could respond in time.
_MIN_REMAINING_S = 0.01
# Retry-After when the attempts or the retry budget are used up: a full server
# finishes requests within about this time.
_BUSY_RETRY_AFTER_S = 0.5
# Retry-After of a daemon that stops: other daemons take the request at once.
STOPPING_RETRY_AFTER_S = 0.05


@dataclasses.dataclass(frozen=True)
class Reservation:
    """A server and a connection to it, for one attempt.

    Attributes:
        selection: The server.
        connection: The connection.
        decision: Why capacity allows it; None if it was not asked.
    """

    selection: server_selection.Selection
    connection: upstream.Connection
    decision: admit.Decision | None = None


@dataclasses.dataclass(frozen=True)
class Rejected:
    """No attempt may be made now.

    Attributes:
        reason: Why.
        retry_after_s: When the client may retry; None if it can't.
    """

    reason: str
    retry_after_s: float | None


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """No connection could be opened, so nothing was sent.

    Attributes:
        server: The server that was chosen.
        cause: Why there is no connection.
        is_own_fault: Whether this daemon reaches no server of the service, so
            that nothing is held against this one.
    """

    server: directory.Server
    cause: str
    is_own_fault: bool = False


@dataclasses.dataclass(frozen=True)
class Continuation:
    """A migrated execution that a certain server is to continue.

    Attributes:
        server: The server.
        source: The server that stopped the execution.
        kv_cache_source: Where the KV cache can be fetched.
    """

    server: directory.Server
    source: directory.Server
    kv_cache_source: str


async def reserve(
    state: states.State,
    admitted: admission.Admitted,
    request_facts: facts.RequestFacts,
    progress: progresses.Progress,
    continuation: Continuation | None,
) -> Reservation | Rejected | Unreachable:
    """Chooses a server for the next attempt and acquires a connection.

    Args:
        state: The daemon's state.
        admitted: Result of the request's admission.
        request_facts: Information from its headers.
        progress: Its attempts so far.
        continuation: The migrated execution to continue; None to choose a
            server for a new one.
    """
    now_s = asyncio.get_running_loop().time()
    remaining_s = admitted.deadline_at_s - now_s
    rejected = _reject(state, admitted, progress, continuation, now_s)
    if rejected is not None:
        return rejected
    # A new process of the source may give the handle to another execution.
    goes_on_at_source = (
        continuation is not None
        and continuation.server.incarnation == continuation.source.incarnation
    )
    if (
        continuation is not None
        and not goes_on_at_source
        and await processes.has_restarted(state, continuation.source)
    ):
        return Rejected("source_restarted", None)
    if (
        continuation is None
        and await beginnings.check(
            state, progress.process, progress.has_connection_ended
        )
        is beginnings.Beginning.OTHER
    ):
        return Rejected("origin_restarted", None)
    selection = server_selection.select_server(
        state,
        admitted,
        request_facts,
        progress.excluded,
        progress.software_version,
        now_s,
        continuation.server if continuation is not None else None,
    )
    if isinstance(selection, server_selection.NoServer):
        return Rejected(selection.reason, selection.retry_after_s)
    service = admitted.service.name
    decision = None
    if (
        state.statements.is_shared(service)
        and continuation is None
        and admitted.origin is None
        and progress.attempts + progress.connect_failures == 0
    ):
        decision = _decide(state, admitted, selection, now_s)
        if isinstance(decision, admit.Refuse):
            progress.refusal_detail = decision.detail
            return Rejected(decision.reason, decision.retry_after_s)
    is_repeat = progress.attempts > 0 and continuation is None
    if is_repeat and state.retries_left(service, now_s) < 1.0:
        return Rejected("retry_budget", _BUSY_RETRY_AFTER_S)
    # Taken now, so that no other request takes the same share while this one
    # waits for its connection.
    state.server_limits.acquire(selection.server.incarnation, now_s)
    state.reserved[selection.server.name] += 1
    is_safe_to_retry = admitted.route.is_safe_to_retry
    was_isolated = state.paths.is_isolated(service)
    goes_on = continuation is not None or (
        progress.software_version is not None
        and admitted.service.engine is not None
    )
    try:
        connection, cause = await _connect(
            state,
            selection.server,
            float("inf") if is_safe_to_retry else _NON_RETRYABLE_MAX_IDLE_S,
            upstream.connect_timeout_s(remaining_s),
            request_facts.request_id,
            goes_on,
        )
    except errors.BackendNotReachedError as error:
        state.reserved[selection.server.name] -= 1
        state.server_limits.refund(selection.server.incarnation)
        is_own_fault = await _is_own_fault(
            state, service, was_isolated, progress, error
        )
        return Unreachable(selection.server, str(error), is_own_fault)
    reservation = Reservation(selection, connection, decision)
    if cause:
        cancel(state, reservation)
        return Unreachable(selection.server, cause)
    return reservation


async def _connect(
    state: states.State,
    server: directory.Server,
    max_idle_s: float,
    timeout_s: float,
    request_id: str,
    goes_on: bool,
) -> tuple[upstream.Connection, str]:
    """Acquires a connection and checks the process behind it.

    Args:
        state: The daemon's state.
        server: The server.
        max_idle_s: Longest idle time of a connection that is used again.
        timeout_s: Longest time to open one.
        request_id: Id of the request.
        goes_on: Whether a stream that began earlier goes on there.

    Returns:
        The connection, and why it may not be used; empty if it may.

    Raises:
        errors.BackendNotReachedError: No connection could be opened.
    """
    for idle_s in (max_idle_s, 0.0):
        connection = await state.pool.acquire(
            server, idle_s, timeout_s, request_id
        )
        cause = await processes.find_mismatch(
            state, server, connection, goes_on
        )
        if cause != processes.CONNECTION_ENDED:
            break
    return connection, cause


def _reject(
    state: states.State,
    admitted: admission.Admitted,
    progress: progresses.Progress,
    continuation: Continuation | None,
    now_s: float,
) -> Rejected | None:
    """Rejects an attempt that no choice of a server would allow."""
    if admitted.deadline_at_s - now_s < _MIN_REMAINING_S:
        return Rejected("deadline", None)
    may_have_run = progress.executions > 0 or continuation is not None
    if not may_have_run and not grace.can_end(
        state.durations.expect_s(admitted.route.name),
        admitted.deadline_at_s,
        now_s,
        state.ends_at_s,
    ):
        return Rejected("stopping", STOPPING_RETRY_AFTER_S)
    if (
        progress.attempts >= _MAX_ATTEMPTS and continuation is None
    ) or progress.connect_failures > _MAX_CONNECT_FAILURES:
        return Rejected("too_many_sends", _BUSY_RETRY_AFTER_S)
    is_repeat = progress.attempts > 0 and continuation is None
    if is_repeat and state.crash_ledger.find_cause(admitted.traits):
        return Rejected("quarantined", admission.QUARANTINE_RETRY_S)
    return None


def _decide(
    state: states.State,
    admitted: admission.Admitted,
    selection: server_selection.Selection,
    now_s: float,
) -> admit.Decision:
    """Decides whether a request is served while capacity is short."""
    service = admitted.service
    if service.engine is not None:
        work_s = state.engine_speed(service.name).speed.server_time_s(
            selection.prefill_tokens, selection.output_tokens
        )
    else:
        # The server's own moving average begins at 2 s, which is far too long.
        took_s = state.placer.expected_plain_s(admitted.route.name)
        work_s = took_s / selection.server.slots
    question = admit.Question(
        flow=offered.Flow(admitted.priority, admitted.account),
        work_s=work_s,
        first_event_s=selection.first_event_s,
        target_s=admitted.route.target_latency_s,
        remaining_s=admitted.deadline_at_s - now_s,
    )
    decision = state.scheduler.decide(
        service.name,
        question,
        admitted.traits,
        lambda: (
            occupancy.make_room(
                server.slots,
                state.loads.estimate(server.name, now_s),
                state.statements.latest(server.name, now_s),
            )
            for server in state.directory.usable(service.name)
        ),
        now_s,
        state.engine_loads.reported_at_s,
    )
    labels = {"service": service.name}
    found = state.scheduler.situations()[service.name].shares
    state.metrics.admission_probability.set(labels, decision.probability)
    state.metrics.offered_work.set(labels, found.demand)
    state.metrics.capacity.set(labels, found.capacity)
    return decision


async def _is_own_fault(
    state: states.State,
    service: str,
    was_isolated: bool,
    progress: progresses.Progress,
    error: errors.BackendNotReachedError,
) -> bool:
    """Returns whether a failed connection is this daemon's fault.

    Tries its own paths, so that the next attempt takes one that works.

    Args:
        state: The daemon's state.
        service: Name of the server's service.
        was_isolated: Whether the connection had to lead through another daemon.
        progress: The request's attempts so far.
        error: Why there is no connection.
    """
    if not was_isolated:
        return await state.path_monitor.check(service, "connection failed")
    if progress.connect_failures or isinstance(
        error.__cause__, ConnectionRefusedError
    ):
        return False
    await state.path_monitor.check(service, "no other daemon helped")
    return True


def cancel(state: states.State, reservation: Reservation) -> None:
    """Returns a reservation whose request was not sent."""
    server = reservation.selection.server
    state.reserved[server.name] -= 1
    state.server_limits.refund(server.incarnation)
    state.pool.release(server, reservation.connection)
