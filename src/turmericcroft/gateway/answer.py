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
class Whole:
    """A complete answer that is no stream."""

    status: int
    headers: tuple[facts.Header, ...]
    facts: facts.AnswerFacts
    body: bytes


@dataclasses.dataclass(frozen=True)
class StreamEnded:
    """A stream that was passed on to its end."""


@dataclasses.dataclass(frozen=True)
class Lost:
    """The answer ended early, or was not this request's.

    Attributes:
        cause: What was seen.
        began: Whether the server had begun to answer.
    """

    cause: str
    began: bool


Outcome = Whole | StreamEnded | Lost


class Relay:
    """Passes a stream's events on to the client.

    Attributes:
        sequence: Positions passed on.
        began: Whether the client has got the head.
        held: Whether the client does not keep up.
    """

    def __init__(
        self, connection: client.ClientConnection, position: int
    ) -> None:
        self.connection = connection
        self.sequence = events.EventSequence(position)
        self.began = False
        self.source: upstream.Connection | None = None
        connection.on_writable = self._throttle

    def begin(self, status: int, headers: list[facts.Header]) -> None:
        """Sends the head, unless another server's head was sent before."""
        if not self.began:
            self.began = True
            self.connection.begin_stream(status, headers)

    def feed(self, data: bytes) -> bool:
        """Passes on what is complete; tells whether an event was."""
        whole = self.sequence.feed(data)
        if whole:
            self.connection.write_chunk(whole)
        return bool(whole)

    def _throttle(self, writable: bool) -> None:
        if self.source is None:
            return
        if writable:
            self.source.resume_reading()
        else:
            self.source.pause_reading()


class AnswerReader:
    """Takes in one answer; implements upstream.Sink.

    Attributes:
        outcome: How the answer ended.
        first_event: Set at the first event of a stream, or at the head of
            another answer.
    """

    def __init__(
        self,
        request_id: str,
        dialect: facts.Dialect,
        relay: Relay | None,
        source: upstream.Connection,
        on_first_event: Callable[[bool], None],
    ) -> None:
        self.request_id = request_id
        self.dialect = dialect
        self.relay = relay
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
        self._facts: facts.AnswerFacts | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._streaming = False

    def on_head(self, status: int, headers: list[facts.Header]) -> bool:
        """Takes in status and headers; False for another request's."""
        found = self.dialect.read_answer(status, headers)
        if found.request_id and found.request_id != self.request_id:
            return False
        self._status = status
        self._headers = tuple(headers)
        self._facts = found
        self.source.limit_idle(found.idle_timeout_s)
        if status < 300 and not found.signed:
            self._lose("a success without a server's signature")
            return True
        if self.relay is not None and found.is_event_stream and status == 200:
            self._streaming = True
            self.relay.source = self.source
        else:
            self._note_first_event()
        return True

    def on_body(self, data: bytes) -> None:
        """Takes in a piece of the body."""
        if self.outcome.done():
            return
        if self._streaming:
            self._pass_on(data)
            return
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > _MAX_BODY_BYTES:
            self._lose(f"a body over {_MAX_BODY_BYTES} bytes")

    def on_end(self) -> None:
        """The answer is complete."""
        if self.outcome.done():
            return
        if self._streaming:
            self._end_stream()
            return
        assert self._facts is not None
        self.outcome.set_result(
            Whole(
                self._status, self._headers, self._facts, b"".join(self._body)
            )
        )

    def on_lost(self, cause: str) -> None:
        """The answer ended before it was complete."""
        if not self.outcome.done():
            self.outcome.set_result(Lost(cause, self._facts is not None))

    def _pass_on(self, data: bytes) -> None:
        assert self.relay is not None
        try:
            self._start_relay()
            if self.relay.feed(data):
                self._note_first_event()
        except errors.StreamCorruptedError as error:
            self._lose(str(error))

    def _start_relay(self) -> None:
        assert self.relay is not None
        if not self.relay.began:
            headers = self.dialect.answer_headers(self._headers)
            self.relay.begin(self._status, headers)

    def _end_stream(self) -> None:
        assert self.relay is not None
        if not self.relay.sequence.is_between_events:
            self._lose("a stream that ends within an event")
            return
        self._start_relay()
        self.outcome.set_result(StreamEnded())

    def _note_first_event(self) -> None:
        if not self.first_event.done():
            self.first_event.set_result(None)
            self._on_first_event(self._streaming)

    def _lose(self, cause: str) -> None:
        self.source.abort()
        self.on_lost(cause)
