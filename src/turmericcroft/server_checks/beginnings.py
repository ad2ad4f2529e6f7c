"""Checks which process began a stream, before the stream goes on elsewhere.

A stream is recorded with the version of its server's entry. If the server had
started again and not registered yet, another version began the stream. So its
process is asked for when the stream is to go on: a new stream costs no call.
"""

import enum

from turmericcroft.gateway import state as states
from turmericcroft.resumption import incarnations
from turmericcroft.server_checks import processes


class Beginning(enum.Enum):
    """What is known of the process that began a stream.

    Attributes:
        PROVED: A process of the recorded version began it.
        OTHER: A process of another version may have begun it.
        UNCONTRADICTED: Nothing contradicts the record, and nothing proves it.
            The stream goes on: that is the usual case after a crash.
    """

    PROVED = "proved"
    OTHER = "other"
    UNCONTRADICTED = "uncontradicted"


async def check(
    state: states.State, process: bytes, has_ended: bool = False
) -> Beginning:
    """Checks that no process of another version began a stream.

    The entry's process was there before the stream began. If it is the one that
    answers now, no other one was there in between.

    Args:
        state: The daemon's state.
        process: Key of the incarnation that the server's entry stated when the
            stream began, see `incarnations.key`.
        has_ended: Whether the server ended the stream's connection. A process
            that ended answers nothing, and what another one answers is no
            evidence, so that the server isn't asked.
    """
    if process == incarnations.NO_KEY:
        return Beginning.PROVED
    entries = state.incarnations.since(process)
    if len({server.software_version for server in entries}) > 1:
        return Beginning.OTHER
    if has_ended or not entries:
        return Beginning.UNCONTRADICTED
    match await processes.ask(state, entries[-1]):
        case processes.Answer.SAME:
            return Beginning.PROVED
        case processes.Answer.OTHER:
            return Beginning.OTHER
    return Beginning.UNCONTRADICTED
