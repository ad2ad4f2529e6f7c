"""Whether a response that ended with its connection is complete.

A response without a length or chunks ends when its server closes the
connection. The kernel closes the connections of a process that is killed in the
same way, after it has sent what the process had written. So the close is no
evidence of the end; that the same process still answers afterwards is, as
services send a plain response at once.

Streams are not concluded from here: a server that lives may have dropped the
execution, and nothing that it states tells that from its end.
"""

import dataclasses

# A process that ends executions because it stops has ended itself after this.
_STOP_S = 0.5
# Time before a request's deadline that is left for the call.
_CALL_S = 0.1
# A process that replaces a killed one does not listen sooner after its end.
_MIN_RESTART_S = 0.1
# Timers of servers and the time that the request took to get there.
_DEADLINE_MARGIN_S = 0.05


@dataclasses.dataclass(frozen=True)
class ClosedResponse:
    """A response, other than a stream, that ended with its connection.

    Attributes:
        request_id: Id of its request.
        server_name: Id of the server.
        started_at_ms: Start of the server's process by its entry in the store,
            in Unix milliseconds; 0 if it states none.
        sent_at_s: When the request was sent, monotonic.
        closed_at_s: When the close was read, monotonic.
        received_at_s: When the last bytes came, monotonic.
        leaves_at_s: When the server may end its executions, monotonic; infinite
            if it does not leave.
        deadline_at_s: When the request's deadline passes, monotonic.
    """

    request_id: str
    server_name: str
    started_at_ms: int
    sent_at_s: float
    closed_at_s: float
    received_at_s: float
    leaves_at_s: float
    deadline_at_s: float


@dataclasses.dataclass(frozen=True)
class Statement:
    """A server's answer to a call.

    Attributes:
        connected_at_s: When the call's connection was opened, monotonic.
        started_at_ms: Start of the process that answered, in Unix milliseconds;
            None if it states none.
        server_name: Id of the server that answered; empty if it states none.
    """

    connected_at_s: float
    started_at_ms: int | None
    server_name: str = ""


@dataclasses.dataclass(frozen=True)
class NoStatement:
    """The server did not answer.

    Attributes:
        cause: Why not.
        is_failure: Whether it failed to; it may not have been called.
    """

    cause: str
    is_failure: bool = True


@dataclasses.dataclass(frozen=True)
class Complete:
    """The server ended the response."""


@dataclasses.dataclass(frozen=True)
class Unproved:
    """The response may have broken off.

    Attributes:
        cause: Why its end is not proved.
        is_failure: Whether that is a failure of the server.
    """

    cause: str
    is_failure: bool = True


Conclusion = Complete | Unproved


def ask_at_s(closed: ClosedResponse) -> float:
    """Returns when to call the server, monotonic.

    A process that leaves may end its executions while it still answers.
    """
    if closed.closed_at_s < closed.leaves_at_s:
        return closed.closed_at_s
    latest_s = closed.deadline_at_s - _CALL_S
    return max(closed.closed_at_s, min(closed.closed_at_s + _STOP_S, latest_s))


def conclude(
    closed: ClosedResponse, found: Statement | NoStatement
) -> Conclusion:
    """Concludes from a server's statement whether a response is complete.

    Args:
        closed: The response.
        found: The statement, made at the time to call the server or later.
    """
    match found:
        case NoStatement(cause, is_failure):
            return Unproved(cause, is_failure)
        case Statement() if not _is_same_process(closed, found):
            return Unproved("the answer may be of another process")
    if closed.closed_at_s > closed.deadline_at_s - _DEADLINE_MARGIN_S:
        return Unproved("the server may have stopped at the deadline", False)
    return Complete()


def _is_same_process(closed: ClosedResponse, found: Statement) -> bool:
    """Whether the process that answered had sent the response.

    A port has one process at a time. One that accepted a connection before the
    request was sent and still answers had the port all the while. Plain
    services state no start; their bodies are short and seldom sent in parts.
    Theirs lived when the last bytes came; the close may be read much later.
    """
    if found.server_name not in ("", closed.server_name):
        return False
    if found.connected_at_s < closed.sent_at_s:
        return True
    if found.started_at_ms is not None:
        return 0 < found.started_at_ms == closed.started_at_ms
    return found.connected_at_s - closed.received_at_s < _MIN_RESTART_S
