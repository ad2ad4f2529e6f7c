"""Graceful stop: finish what can be finished, hand over the rest."""

import asyncio
import typing

import logbook

from turmericcroft import errors
from turmericcroft.daemon import answer as answers
from turmericcroft.membership import view
from turmericcroft.mesh import message as messages
from turmericcroft.timeline import event

if typing.TYPE_CHECKING:
    from turmericcroft.daemon import daemon as daemons

_LOG = logbook.Logger("stopping")
_POLL_S = 0.05
_ANNOUNCE_S = 0.2


async def drain(daemon: "daemons.Daemon") -> None:
    """Stops taking work and sees that every open answer goes on.

    Open answers first finish in place. What is still open at the drain
    deadline is handed to a peer, which acknowledges it before the caller's
    connection is closed; the caller comes back with ``Last-Event-ID``.
    """
    daemon.board.stopping = True
    daemon.timeline.record(event.DaemonChanged("stopping"))
    await asyncio.sleep(_ANNOUNCE_S)
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + daemon.settings.stopping.drain_s
    while daemon.answering.open_answers and loop.time() < deadline_s:
        await asyncio.sleep(_POLL_S)
    try:
        async with asyncio.timeout(daemon.settings.stopping.hand_over_s):
            await asyncio.gather(
                *(
                    hand_over(daemon, answer)
                    for answer in daemon.answering.open_answers
                )
            )
    except TimeoutError:
        _LOG.error("hand-over not finished in time")
    await daemon.member_task.leave()


async def hand_over(daemon: "daemons.Daemon", answer: answers.Answer) -> bool:
    """Moves one open answer to a peer.

    Returns:
        Whether a peer acknowledged it.
    """
    message = messages.HandOver(
        answer.request, bytes(answer.buffer.data), answer.buffer.finished
    )
    alive = daemon.members.alive()
    for member in view.rank(answer.request.request_id, alive):
        try:
            await daemon.peers.call(
                member, message, daemon.settings.stopping.hand_over_s / 2
            )
        except errors.MeshError as error:
            _LOG.warning("not handed over", error=str(error))
            continue
        await daemon.answering.stop(answer, "handed_over")
        return True
    return False
