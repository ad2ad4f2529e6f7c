"""Reading of one answer from a backend server."""

import asyncio
import dataclasses
from collections.abc import Callable

from turmericcroft import errors
from turmericcroft.gateway import client
from turmericcroft.gateway import events
from turmericcroft.gateway import facts
from turmericcroft.gateway import upstream

# Whole answers are held until they are complete; a longer one is not read.
_MAX_BODY_BYTES = 16_777_216


@dataclasses.dataclass(frozen=True)
class CompleteResponse:
    """A complete answer that is no stream."""

    status: int
    headers: tuple[facts.Header, ...]
    facts: facts.ResponseFacts
    body: bytes


@dataclasses.dataclass(frozen=True)
class StreamCompleted:
    """A stream that was passed on to its end."""


@dataclasses.dataclass(frozen=True)
class ResponseLost:
    """The answer ended early, or was not this request's.

    Attributes:
        cause: What was seen.
        response_started: Whether the server had begun to answer.
    """

    cause: str
    response_started: bool


Outcome = CompleteResponse | StreamCompleted | ResponseLost


class StreamForwarder:
    """Passes a stream's events on to the client.

    Attributes:
        sequence: Positions passed on.
        head_sent: Whether the client has got the head.
        held: Whether the client does not keep up.
    """

    def __init__(
        self, connection: client.ClientConnection, position: int
    ) -> None:
        self.connection = connection
        self.sequence = events.EventSequence(position)
        self.head_sent = False
        self.source: upstream.Connection | None = None
        connection.on_writable = self._throttle

    def send_head(self, status: int, headers: list[facts.Header]) -> None:
        """Sends the head, unless another server's head was sent before."""
        if not self.head_sent:
            self.head_sent = True
            self.connection.begin_stream(status, headers)

    def forward(self, data: bytes) -> bool:
        """Passes on what is complete; tells whether an event was."""
        complete = self.sequence.feed(data)
        if complete:
            self.connection.write_chunk(complete)
        return bool(complete)

    def _throttle(self, writable: bool) -> None:
        if self.source is None:
            return
        if writable:
            self.source.resume_reading()
        else:
            self.source.pause_reading()


class ResponseReader:
    """Takes in one answer; implements upstream.ResponseSink.

    Attributes:
        outcome: How the answer ended.
        first_event: Set at the first event of a stream, or at the head of
            another answer.
    """

    def __init__(
        self,
        request_id: str,
        dialect: facts.Dialect,
        forwarder: StreamForwarder | None,
        source: upstream.Connection,
        on_first_event: Callable[[bool], None],
    ) -> None:
        self.request_id = request_id
        self.dialect = dialect
        self.forwarder = forwarder
        self.source = source
        self.outcome: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.first_event: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._on_first_event = on_first_event
        self._status = 0
        self._headers: tuple[facts.Header, ...] = ()
        self._facts: facts.ResponseFacts | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._streaming = False

    def on_head(self, status: int, headers: list[facts.Header]) -> bool:
        """Takes in status and headers; False for another request's."""
        response_facts = self.dialect.read_response(status, headers)
        if (
            response_facts.request_id
            and response_facts.request_id != self.request_id
        ):
            return False
        self._status = status
        self._headers = tuple(headers)
        self._facts = response_facts
        self.source.apply_idle_limit(response_facts.idle_timeout_s)
        if status < 300 and not response_facts.signed:
            self._fail_response("a success without a server's signature")
            return True
        if (
            self.forwarder is not None
            and response_facts.is_event_stream
            and status == 200
        ):
            self._streaming = True
            self.forwarder.source = self.source
        else:
            self._record_first_event()
        return True

    def on_body(self, data: bytes) -> None:
        """Takes in a piece of the body."""
        if self.outcome.done():
            return
        if self._streaming:
            self._forward(data)
            return
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > _MAX_BODY_BYTES:
            self._fail_response(f"a body over {_MAX_BODY_BYTES} bytes")

    def on_end(self) -> None:
        """The answer is complete."""
        if self.outcome.done():
            return
        if self._streaming:
            self._end_stream()
            return
        assert self._facts is not None
        self.outcome.set_result(
            CompleteResponse(
                self._status, self._headers, self._facts, b"".join(self._body)
            )
        )

    def on_lost(self, cause: str) -> None:
        """The answer ended before it was complete."""
        if not self.outcome.done():
            self.outcome.set_result(
                ResponseLost(cause, self._facts is not None)
            )

    def _forward(self, data: bytes) -> None:
        assert self.forwarder is not None
        try:
            self._send_head()
            if self.forwarder.forward(data):
                self._record_first_event()
        except errors.StreamGarbledError as error:
            self._fail_response(str(error))

    def _send_head(self) -> None:
        assert self.forwarder is not None
        if not self.forwarder.head_sent:
            headers = self.dialect.response_headers(self._headers)
            self.forwarder.send_head(self._status, headers)

    def _end_stream(self) -> None:
        assert self.forwarder is not None
        if not self.forwarder.sequence.is_between_events:
            self._fail_response("a stream that ends within an event")
            return
        self._send_head()
        self.outcome.set_result(StreamCompleted())

    def _record_first_event(self) -> None:
        if not self.first_event.done():
            self.first_event.set_result(None)
            self._on_first_event(self._streaming)

    def _fail_response(self, cause: str) -> None:
        self.source.abort()
        self.on_lost(cause)
