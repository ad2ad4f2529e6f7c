"""Graceful stop: finish what can be finished, hand over the rest."""

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
_POLL_S = 0.05
_NOT_TO_MOVE = frozenset({"cancelled", "moved", "refused", "lost"})


async def drain(daemon: "daemons.Daemon") -> None:
    """Stops taking work and sees that every open answer goes on.

    Open answers first finish in place. What is still open at the drain
    deadline is handed to a peer, which acknowledges it before the caller's
    connection is closed; the caller comes back with ``Last-Event-ID``. An
    answer that ended, but whose caller has not been sent its end, moves too.
    """
    daemon.board.stopping = True
    daemon.timeline.record(event.DaemonChanged("stopping"))
    await daemon.member_task.announce_leaving()
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + daemon.settings.stopping.drain_s
    while _undelivered(daemon) and loop.time() < deadline_s:
        await asyncio.sleep(_POLL_S)
    try:
        async with asyncio.timeout(daemon.settings.stopping.hand_over_s):
            await asyncio.gather(
                *(hand_over(daemon, answer) for answer in _undelivered(daemon))
            )
    except TimeoutError:
        _LOG.error("hand-over not finished in time")
    await _finish_calls(daemon)
    await daemon.member_task.unregister()


async def _finish_calls(daemon: "daemons.Daemon") -> None:
    """Lets calls to plain services end; they cannot be handed over.

    Each has its own time limit, so this ends.
    """
    while calls := daemon.service_calls.open_calls:
        await asyncio.wait(calls)
        await asyncio.sleep(_POLL_S)
    await daemon.ledger.wait_for_ends(daemon.settings.stopping.hand_over_s)


async def hand_over(daemon: "daemons.Daemon", answer: answers.Answer) -> bool:
    """Moves one answer to a peer that does not stop itself.

    The answer is frozen first; if no peer takes it, it goes on here.

    Returns:
        Whether a peer acknowledged it.
    """
    await daemon.answering.freeze(answer)
    message = messages.HandOver(
        answer.request, answer.buffer.data, answer.buffer.finished
    )
    timeout_s = daemon.settings.stopping.hand_over_s / 2
    for member in daemon.registry.ranked_elsewhere(answer.request.request_id):
        try:
            reply = await daemon.peers.call(member, message, timeout_s)
        except errors.MeshError as error:
            _LOG.warning("not handed over", error=str(error))
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
        for answer in daemon.registry.held.values()
        if not answer.delivered and answer.lifecycle.state not in _NOT_TO_MOVE
    ]
