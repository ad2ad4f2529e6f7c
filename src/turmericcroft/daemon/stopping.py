"""Graceful stop: finishes open answers in time and hands over the rest."""

import asyncio
import collections
import typing

import logbook

from turmericcroft import errors
from turmericcroft.daemon import answer as answers
from turmericcroft.mesh import message as messages
from turmericcroft.timeline import event

if typing.TYPE_CHECKING:
    from turmericcroft.daemon import daemon as daemons

_LOG = logbook.Logger("stopping")
_POLL_INTERVAL_S = 0.05
# Time in which callers read that their answers ended without an end.
_LAST_WORDS_S = 0.5
_NO_HAND_OVER_STATES = frozenset({"cancelled", "moved", "refused", "lost"})


async def drain(daemon: "daemons.Daemon") -> None:
    """Stops taking work, and finishes or hands over every open answer.

    Until the drain deadline, open answers may finish here. The others are then
    handed over to peers. A peer acknowledges an answer before the caller's
    connection is closed, and the caller reconnects with ``Last-Event-ID``. An
    answer that ended is also handed over if its caller has not received the
    end.

    An answer that no peer takes goes on here until the time for handing over
    has passed. Then its caller is told that it is lost.
    """
    daemon.board.stopping = True
    daemon.timeline.record(event.DaemonChanged("stopping"))
    await daemon.member_task.announce_leaving()
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + daemon.settings.stopping.drain_s
    while _undelivered(daemon) and loop.time() < deadline_s:
        await asyncio.sleep(_POLL_INTERVAL_S)
    ends_at_s = deadline_s + daemon.settings.stopping.hand_over_s
    await _hand_over_all(daemon, ends_at_s)
    # Their callers are refused next; the end of the process would cut them.
    while daemon.registry.open_lookups and loop.time() < ends_at_s:
        await asyncio.sleep(_POLL_INTERVAL_S)
    await _finish_calls(daemon)
    await daemon.member_task.unregister()


async def _hand_over_all(daemon: "daemons.Daemon", ends_at_s: float) -> None:
    """Hands over the answers that are left; ends the others when time is up.

    Args:
        daemon: The daemon that stops.
        ends_at_s: When the time is up, monotonic.
    """
    loop = asyncio.get_running_loop()
    asked: dict[answers.Answer, set[str]] = collections.defaultdict(set)
    handed_over: set[answers.Answer] = set()

    async def try_hand_over(answer: answers.Answer) -> None:
        if await hand_over(daemon, answer, asked[answer], ends_at_s):
            handed_over.add(answer)

    while loop.time() < ends_at_s:
        left = [a for a in _undelivered(daemon) if a not in handed_over]
        if not left:
            return
        await asyncio.gather(*(try_hand_over(answer) for answer in left))
        await asyncio.sleep(_POLL_INTERVAL_S)
    left = [a for a in _undelivered(daemon) if a not in handed_over]
    for answer in left:
        await _end(daemon, answer)
    said_by_s = loop.time() + _LAST_WORDS_S
    while any(a.caller_count for a in left) and loop.time() < said_by_s:
        await asyncio.sleep(_POLL_INTERVAL_S)


async def _end(daemon: "daemons.Daemon", answer: answers.Answer) -> None:
    """Ends an answer that no peer took, and tells its caller so."""
    _LOG.error(
        "answer ends with this daemon", request=answer.request.request_id
    )
    await daemon.answering.freeze(answer)
    if answer.ended.is_set():
        return
    text = "expected a daemon to go on with this answer, found none in time"
    refusal: errors.Refusal = errors.AnswerLostRefusal(text)
    if not answer.may_have_run:
        refusal = errors.StoppingRefusal(text, retry_after_s=0.0)
    daemon.answering.end_incomplete(answer, refusal)


async def _finish_calls(daemon: "daemons.Daemon") -> None:
    """Waits for calls to plain services, which cannot be handed over.

    Each call has a time limit, so the wait ends.
    """
    while calls := daemon.service_calls.open_calls:
        await asyncio.wait(calls)
        await asyncio.sleep(_POLL_INTERVAL_S)
    await daemon.ledger.wait_for_ends(daemon.settings.stopping.hand_over_s)


async def hand_over(
    daemon: "daemons.Daemon",
    answer: answers.Answer,
    asked: set[str],
    ends_at_s: float,
) -> bool:
    """Hands one answer over to a peer that is not stopping.

    The answer is frozen first. If no peer accepts it, it continues here.

    Args:
        daemon: The daemon that stops.
        answer: The answer.
        asked: Names of the peers that were asked before and did not take it.
            Those that are asked now are added. Without others, the answer is
            left alone.
        ends_at_s: When the time for this is up, monotonic.

    Returns:
        Whether a peer acknowledged the answer.
    """
    ranked = daemon.registry.rank_backup_daemons(answer.request.request_id)
    members = [member for member in ranked if member.name not in asked]
    if not members:
        return False
    await daemon.answering.freeze(answer)
    message = messages.HandOver(
        answer.request, answer.buffer.data, answer.buffer.finished
    )
    timeout_s = daemon.settings.stopping.hand_over_s / 2
    loop = asyncio.get_running_loop()
    for member in members:
        asked.add(member.name)
        left_s = max(0.0, ends_at_s - loop.time())
        try:
            reply = await daemon.peers.call(
                member, message, min(timeout_s, left_s)
            )
        except errors.MeshError as error:
            _LOG.warning("handing over an answer failed", error=str(error))
            continue
        if not isinstance(reply, messages.Held):
            continue
        if not answer.ended.is_set():
            answer.advance("handed_over", member.name)
        return True
    _LOG.error(
        "no peer took an answer",
        request=answer.request.request_id,
        asked=sorted(asked),
    )
    if not answer.ended.is_set():
        daemon.answering.start(answer)
    return False


def _undelivered(daemon: "daemons.Daemon") -> list[answers.Answer]:
    return [
        answer
        for answer in daemon.registry.local_answers.values()
        if not answer.delivered
        and answer.lifecycle.state not in _NO_HAND_OVER_STATES
    ]
