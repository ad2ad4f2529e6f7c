"""Reading of one response from a backend server.

The events of a stream are forwarded to the client as they arrive. Any other
response is buffered until it is complete, so that the request can still be
retried at another server when it is lost.
"""

import asyncio
import dataclasses
import weakref
from collections.abc import Callable
from collections.abc import Sequence

from turmericcroft import errors
from turmericcroft.clients import header_values
from turmericcroft.gateway import client
from turmericcroft.gateway import facts
from turmericcroft.gateway import upstream
from turmericcroft.responses import events
from turmericcroft.responses import joined

# Limit of a buffered response body; a longer one counts as lost.
_MAX_BODY_BYTES = 16_777_216
_CLOSED_STREAM = "a stream without length or chunks was closed"
# Gaps between events that are kept of a stream; enough for their median.
_MAX_GAPS = 32


@dataclasses.dataclass(frozen=True)
class CompleteResponse:
    """A complete response that was not streamed.

    Attributes:
        ended_at_close: Whether it ended when the server closed the connection,
            so that nothing marks its end.
    """

    status: int
    headers: tuple[facts.Header, ...]
    facts: facts.ResponseFacts
    body: bytes
    ended_at_close: bool = False


@dataclasses.dataclass(frozen=True)
class StreamCompleted:
    """A stream that was forwarded to its end, which the server marked."""


@dataclasses.dataclass(frozen=True)
class ResponseLost:
    """The response ended early or was invalid.

    Attributes:
        cause: Why the response was lost.
        response_started: Whether its headers had been received.
        is_excused: Whether that is no failure of the server.
    """

    cause: str
    response_started: bool
    is_excused: bool = False


Outcome = CompleteResponse | StreamCompleted | ResponseLost


def proves_not_run(outcome: Outcome | None) -> bool:
    """Whether the server stated that it did not execute the request."""
    return (
        isinstance(outcome, CompleteResponse) and outcome.facts.proves_not_run
    )


def ended_at_close(outcome: Outcome | None) -> bool:
    """Whether a response ended when its server closed the connection."""
    match outcome:
        case CompleteResponse() if not outcome.facts.proves_not_run:
            return outcome.ended_at_close
    return False


def is_success(outcome: Outcome | None) -> bool:
    """Whether the server answered the request and did not fail."""
    match outcome:
        case StreamCompleted():
            return True
        case CompleteResponse(status):
            return 200 <= status < 300
    return False


class StreamForwarder:
    """Forwards the events of a stream to the client.

    One forwarder serves all attempts of a request. Reading from the server
    pauses while the client's send buffer is full.

    Attributes:
        connection: Connection to the client.
        sequence: Parses the events and counts their positions.
        head_sent: Whether status and headers were sent to the client.
        source: Connection to the server whose events are forwarded; None while
            none is.
    """

    def __init__(
        self,
        connection: client.ClientConnection,
        position: int,
        weights_version_field: bytes | None = None,
    ) -> None:
        self.connection = connection
        self.sequence = events.EventSequence(position, weights_version_field)
        self.head_sent = False
        self.source: upstream.Connection | None = None
        connection.on_writable = self._throttle

    def send_head(self, status: int, headers: list[facts.Header]) -> None:
        """Sends status and headers, unless an earlier attempt sent them."""
        if not self.head_sent:
            self.head_sent = True
            self.connection.begin_stream(status, headers)

    def forward(self, data: bytes) -> int:
        """Forwards complete events; returns how many had a position.

        Args:
            data: Bytes from the server.

        Raises:
            errors.StreamCorruptedError: The events before the fault were
                forwarded.
        """
        count = self.sequence.event_count
        complete = self.sequence.feed(data)
        if complete:
            self.connection.write_chunk(complete)
            if self.connection.is_send_buffer_full:
                # Maybe since before this stream, and so not reported to it.
                self._throttle(False)
        if self.sequence.fault:
            raise errors.StreamCorruptedError(self.sequence.fault)
        return self.sequence.event_count - count

    def finish(self) -> None:
        """Forwards what follows the last event of a stream."""
        rest = self.sequence.take_line_ends()
        if rest:
            self.connection.write_chunk(rest)

    @property
    def weights_version(self) -> int | None:
        """Version of the weights that a server which goes on needs to have."""
        return self.sequence.weights_version if self.head_sent else None

    def _throttle(self, writable: bool) -> None:
        if self.source is None:
            return
        if writable:
            self.source.resume_reading()
        else:
            self.source.pause_reading()


class ResponseReader:
    """Reads one response; implements upstream.ResponseSink.

    Attributes:
        outcome: How the response ended.
        event_gaps_s: Times between the first events of a stream.
        first_event: Completed by the first event of a stream, or by the
            headers of a response that is not streamed.
        first_event_at_s: When the first event of a stream came, monotonic; None
            until then.
        progress_at_s: When the last event of a stream or the headers of another
            response came, monotonic. Other bytes of a stalled response, such
            as comments, are no progress.
        on_accepted: Called when the headers of a response that is not streamed
            show that the server accepted the request.
    """

    def __init__(
        self,
        request_id: str,
        dialect: facts.Dialect,
        forwarder: StreamForwarder | None,
        source: upstream.Connection,
        on_first_event: Callable[[bool], None],
        on_response_head: Callable[[int, facts.ResponseFacts], None],
        on_discarded: Callable[[int, facts.ResponseFacts], None],
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
        self.first_event_at_s: float | None = None
        self.progress_at_s = 0.0
        self.event_gaps_s: list[float] = []
        self.on_accepted: Callable[[], None] = lambda: None
        self._on_first_event = on_first_event
        self._on_response_head = on_response_head
        self._on_discarded = on_discarded
        self._status = 0
        self._headers: tuple[facts.Header, ...] = ()
        self._facts: facts.ResponseFacts | None = None
        self._body = source.pool.buffers.open(
            _MAX_BODY_BYTES, self._fail_response
        )
        self.outcome.add_done_callback(lambda _: self._body.close())
        self._streaming = False

    def stalled_since_s(self, now_s: float) -> float:
        """Since when the server could have sent more but did not, monotonic."""
        if self.source.is_reading_paused:
            return now_s
        return max(self.progress_at_s, self.source.resumed_at_s)

    def on_head(self, status: int, headers: list[facts.Header]) -> bool:
        """Receives the headers; False if they belong to another request."""
        response_facts = self.dialect.read_response(status, headers)
        self._on_response_head(status, response_facts)
        if response_facts.leaving:
            self.source.reusable = False
        if response_facts.request_id:
            is_own = response_facts.request_id == self.request_id
        else:
            # It may be a late response to an earlier request.
            is_own = self.source.uses == 1
        if not is_own:
            self._on_discarded(status, response_facts)
            return False
        self._status = status
        self._headers = tuple(headers)
        self._facts = response_facts
        self.source.apply_idle_limit(response_facts.idle_timeout_s)
        if status < 300 and not response_facts.signed:
            self._fail_response(
                "successful response without a server signature"
            )
            return True
        if (
            self.forwarder is not None
            and response_facts.is_event_stream
            and status == 200
        ):
            version = header_values.parse_int(
                dict(headers).get(self.dialect.weights_version_field)
            )
            expected = self.forwarder.weights_version
            if not self.forwarder.head_sent:
                self.forwarder.sequence.weights_version = version
            elif None not in (version, expected) and version != expected:
                self.source.abort()
                cause = "other version of the weights"
                self.outcome.set_result(ResponseLost(cause, True, True))
                return True
            self._streaming = True
            self.forwarder.source = self.source
        else:
            if status < 500 and not response_facts.proves_not_run:
                self.on_accepted()
            self._record_first_event(response_facts)
        return True

    def on_body(self, data: bytes) -> None:
        """Forwards or buffers part of the body."""
        if self.outcome.done():
            return
        if self._streaming:
            self._forward(data)
            return
        self._body.append(data)

    def on_end(self) -> None:
        """Sets the outcome of a response that has ended."""
        if self.outcome.done():
            return
        if self._streaming:
            self._end_stream()
            return
        assert self._facts is not None
        # Whatever its media type, a route for streams has no other success.
        is_stream = self._facts.is_event_stream or self.forwarder is not None
        if is_stream and self._status < 300 and self.source.ended_at_close:
            self.on_lost(_CLOSED_STREAM, is_excused=True)
            return
        body = self._body.data
        if not self.source.is_framed and joined.contains_response(
            body, self.source.uses > 1, self._may_answer
        ):
            self._fail_response("another response within the body")
            return
        data, release = self._body.take()
        response = CompleteResponse(
            self._status,
            self._headers,
            self._facts,
            data,
            self.source.ended_at_close,
        )
        weakref.finalize(response, release)
        self.outcome.set_result(response)

    def on_lost(self, cause: str, is_excused: bool = False) -> None:
        """Sets the outcome of a response that was lost."""
        if not self.outcome.done():
            self.outcome.set_result(
                ResponseLost(cause, self._facts is not None, is_excused)
            )

    @property
    def is_closed_stream(self) -> bool:
        """Whether it is a stream that ended with its connection."""
        return self._streaming and self.source.ended_at_close

    def _may_answer(self, status: int, headers: Sequence[facts.Header]) -> bool:
        found = self.dialect.read_response(status, headers)
        if found.request_id:
            return found.request_id == self.request_id
        return found.signed or found.proves_not_run

    def _forward(self, data: bytes) -> None:
        assert self.forwarder is not None
        try:
            self._send_head()
            count = self.forwarder.forward(data)
            if count and self._facts is not None:
                self._record_events(count, self._facts)
        except errors.StreamCorruptedError as error:
            self._fail_response(str(error))

    def _send_head(self) -> None:
        assert self.forwarder is not None
        if not self.forwarder.head_sent:
            headers = self.dialect.response_headers(self._headers)
            self.forwarder.send_head(self._status, headers)

    def _end_stream(self) -> None:
        assert self.forwarder is not None
        sequence = self.forwarder.sequence
        if not sequence.is_between_events or sequence.lacks_opening:
            self._fail_response("stream ended within an event or its opening")
            return
        if not self.source.is_framed:
            # A server closes the connection in the same way when it crashes,
            # stops or drops the execution, whether or not it answers later.
            self.on_lost(
                _CLOSED_STREAM,
                is_excused=self.first_event_at_s is not None,
            )
            return
        # The connection may carry another request from now on, so that the last
        # writes to a slow client must not pause reading from it.
        self.forwarder.source = None
        self._send_head()
        self.forwarder.finish()
        self.outcome.set_result(StreamCompleted())

    def _record_events(
        self, count: int, response_facts: facts.ResponseFacts
    ) -> None:
        before_s = self.progress_at_s
        self._record_first_event(response_facts)
        if before_s and len(self.event_gaps_s) < _MAX_GAPS:
            gap_s = (self.progress_at_s - before_s) / count
            self.event_gaps_s.append(gap_s)

    def _record_first_event(self, response_facts: facts.ResponseFacts) -> None:
        self.progress_at_s = asyncio.get_running_loop().time()
        if self._streaming and self.first_event_at_s is None:
            self.first_event_at_s = self.progress_at_s
        if not self.first_event.done():
            self.first_event.set_result(None)
            if not response_facts.proves_not_run:
                self._on_first_event(self._streaming)

    def _fail_response(self, cause: str) -> None:
        self.source.abort()
        self.on_lost(cause)
