"""Finds what began a stream that a client takes up, maybe at another daemon.

Asks for what `resumption.decision` wants to know: the view is confirmed by the
store, and records are awaited that other daemons are about to tell.
"""

import asyncio

from turmericcroft.eventlog import events
from turmericcroft.fleet import positions
from turmericcroft.gateway import state as states
from turmericcroft.resumption import decision
from turmericcroft.server_checks import beginnings
from turmericcroft.stream_lookup import telling

# A record is told with the next digest. A client that is refused instead comes
# back after the same time on a new connection.
_RECORD_WAIT_S = 0.3
# Time for the confirmation of the view, in which the store and other daemons
# are asked.
_CONFIRMATION_WAIT_S = 0.5


async def find_origin(
    state: states.State, request_id: str, question: decision.Question
) -> decision.Known | decision.Unknown:
    """Finds what began a stream that a client takes up.

    Args:
        state: The daemon's state.
        request_id: Id of the client's request.
        question: The stream.
    """
    loop = asyncio.get_running_loop()
    asked_s = loop.time()
    until_s = asked_s + _RECORD_WAIT_S
    confirmed, may_confirm = None, True
    while True:
        now_s = loop.time()
        telling.record_versions(state, now_s)
        means = decision.Means(
            confirmed, may_confirm, now_s < until_s and state.daemons > 1
        )
        found = decision.decide(
            question,
            state.stream_origins,
            state.software_versions,
            means,
            now_s,
        )
        match found:
            case decision.Confirm():
                confirmed, may_confirm = await _confirm_view(state), False
            case decision.AwaitRecord():
                await _wait_for_notes(state, until_s)
            case decision.Known(_, "record") if await _has_other_beginning(
                state, question.stream
            ):
                found = decision.Unknown("server restarted")
                _log(state, request_id, question, found, now_s - asked_s)
                return found
            case _:
                _log(state, request_id, question, found, now_s - asked_s)
                return found


def decide_now(
    state: states.State, question: decision.Question, now_s: float
) -> decision.Decision:
    """Decides by what is known, without a log line."""
    telling.record_versions(state, now_s)
    means = decision.Means(None, True, False)
    return decision.decide(
        question, state.stream_origins, state.software_versions, means, now_s
    )


async def _has_other_beginning(state: states.State, stream: str) -> bool:
    """Whether another version than the recorded one may have begun a stream."""
    known = state.stream_origins
    found = await beginnings.check(state, known.find_process(stream))
    if found is beginnings.Beginning.PROVED:
        known.prove(stream)
    return found is beginnings.Beginning.OTHER


async def _confirm_view(
    state: states.State,
) -> positions.StorePosition | None:
    try:
        async with asyncio.timeout(_CONFIRMATION_WAIT_S):
            return await state.confirm_view()
    except TimeoutError:
        return None


async def _wait_for_notes(state: states.State, until_s: float) -> None:
    try:
        async with asyncio.timeout_at(until_s):
            await state.stream_notes_merged.wait()
    except TimeoutError:
        return


def _log(
    state: states.State,
    request_id: str,
    question: decision.Question,
    found: decision.Known | decision.Unknown,
    took_s: float,
) -> None:
    now_s = asyncio.get_running_loop().time()
    service, version, reason = question.chosen_service, "", ""
    match found:
        case decision.Known(origin, source):
            service, version = origin.service, origin.version
        case decision.Unknown(reason):
            source = "route changed" if reason == "route changed" else "unknown"
    versions = state.software_versions
    history = versions.history(now_s)
    state.metrics.streams_taken_up.inc({"source": source})
    state.log.write(
        events.StreamTakenUp(
            request_id=request_id,
            resumes=question.stream,
            service=service,
            version=version,
            source=source,
            versions_seen=tuple(versions.recent(service, now_s)),
            fleet_age_s=now_s - state.fleet_confirmed_at_s,
            reason=reason,
            complete_for_s=history.complete_for_s,
            view_position=str(history.last),
            took_s=took_s,
        )
    )
