"""Graceful stop: finishes open answers in time and hands over the rest."""

import asyncio
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
_NO_HAND_OVER_STATES = frozenset({"cancelled", "moved", "refused", "lost"})


async def drain(daemon: "daemons.Daemon") -> None:
    """Stops taking work, and finishes or hands over every open answer.

    Until the drain deadline, open answers may finish here. The others are then
    handed over to peers. A peer acknowledges an answer before the caller's
    connection is closed, and the caller reconnects with ``Last-Event-ID``. An
    answer that ended is also handed over if its caller has not received the
    end.
    """
    daemon.board.stopping = True
    daemon.timeline.record(event.DaemonChanged("stopping"))
    await daemon.member_task.announce_leaving()
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + daemon.settings.stopping.drain_s
    while _undelivered(daemon) and loop.time() < deadline_s:
        await asyncio.sleep(_POLL_INTERVAL_S)
    try:
        async with asyncio.timeout(daemon.settings.stopping.hand_over_s):
            await asyncio.gather(
                *(hand_over(daemon, answer) for answer in _undelivered(daemon))
            )
    except TimeoutError:
        _LOG.error("answers were not handed over in time")
    await _finish_calls(daemon)
    await daemon.member_task.unregister()


async def _finish_calls(daemon: "daemons.Daemon") -> None:
    """Waits for calls to plain services, which cannot be handed over.

    Each call has a time limit, so the wait ends.
    """
    while calls := daemon.service_calls.open_calls:
        await asyncio.wait(calls)
        await asyncio.sleep(_POLL_INTERVAL_S)
    await daemon.ledger.wait_for_ends(daemon.settings.stopping.hand_over_s)


async def hand_over(daemon: "daemons.Daemon", answer: answers.Answer) -> bool:
    """Hands one answer over to a peer that is not stopping.

    The answer is frozen first. If no peer accepts it, it continues here.

    Returns:
        Whether a peer acknowledged the answer.
    """
    await daemon.answering.freeze(answer)
    message = messages.HandOver(
        answer.request, answer.buffer.data, answer.buffer.finished
    )
    timeout_s = daemon.settings.stopping.hand_over_s / 2
    for member in daemon.registry.rank_backup_daemons(
        answer.request.request_id
    ):
        try:
            reply = await daemon.peers.call(member, message, timeout_s)
        except errors.MeshError as error:
            _LOG.warning("handing over an answer failed", error=str(error))
            continue
        if not isinstance(reply, messages.Held):
            continue
        if not answer.ended.is_set():
            answer.advance("handed_over", member.name)
        return True
    _LOG.error("no peer took an answer", request=answer.request.request_id)
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
