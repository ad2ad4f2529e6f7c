"""Client of a model engine: OpenAI completions that can be resumed.

A stream is read by callbacks, because a task switch for each token would cost
more than all other work of forwarding it. The bytes are parsed by httptools,
the parser that sanic also uses. Each request has a connection of its own:
opening it costs little compared with the hundreds of tokens of an answer, and
the failure of a connection affects only one request.
"""

import asyncio
import dataclasses
import json
import typing
from collections.abc import Callable
from urllib import parse as urls

import httptools

from turmericcroft import errors
from turmericcroft.answers import request as requests

_LOAD_HEADER = b"x-engine-open-requests"
_CONNECT_TIMEOUT_S = 1.0
STALL_TIMEOUT_S = 5.0
_STALL_CHECK_INTERVAL_S = 1.0
_HTTP_OK = 200
_MIN_FINAL_STATUS = 200
_STATUSES = range(100, 600)
# Headers, framing and trailers without a part of the body between them; an
# engine may send them without end.
_MAX_UNPRODUCTIVE_BYTES = 131_072
_DEFAULT_PORT = 80

OnData = Callable[[bytes], None]


@dataclasses.dataclass(frozen=True)
class Resume:
    """The position at which an engine resumes an answer.

    Attributes:
        position: Position of the last event that the caller may have received.
        text: Text of the answer emitted so far.
    """

    position: int
    text: str


class EngineStream(asyncio.Protocol):
    """The connection of one request, with its stream of events.

    Attributes:
        open_requests: Number of open requests that the engine reported; None
            if it reported none.
        status: Future of the HTTP status, resolved when the response headers
            are complete.
        ended: Future resolved when the body is complete; fails with
            ``errors.BackendLostError`` if the connection is lost before that.
    """

    def __init__(self, request: bytes) -> None:
        loop = asyncio.get_running_loop()
        self.open_requests: int | None = None
        self.status: asyncio.Future[int] = loop.create_future()
        self.ended: asyncio.Future[None] = loop.create_future()
        self._request = request
        self._loop = loop
        self._parser: typing.Any = httptools.HttpResponseParser(self)
        self._transport: typing.Any = None
        self._on_data: OnData | None = None
        self._parts: list[bytes] = []
        self._unproductive_bytes = 0
        self._last_received_at_s = loop.time()
        self._paused = False
        self._stall_timer = loop.call_later(
            _STALL_CHECK_INTERVAL_S, self._check_stall
        )
        # If the stream is closed early, nobody awaits the futures, and asyncio
        # would log their exceptions as never retrieved.
        self.status.add_done_callback(_mark_exception_retrieved)
        self.ended.add_done_callback(_mark_exception_retrieved)

    def set_body_callback(self, on_data: OnData) -> None:
        """Sets the callback that gets the body as it arrives.

        If a part has already arrived, the callback is called with it at once.
        """
        self._on_data = on_data
        self._flush()

    def pause(self) -> None:
        """Stops reading; further bytes wait in the kernel's receive buffer."""
        if not self._paused and not self._transport.is_closing():
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Continues reading."""
        if self._paused and not self._transport.is_closing():
            self._paused = False
            self._last_received_at_s = self._loop.time()
            self._transport.resume_reading()

    def close(self) -> None:
        """Aborts the connection, which cancels the request at the engine."""
        self._stall_timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request."""
        self._transport = transport
        self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        self._last_received_at_s = self._loop.time()
        self._unproductive_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # The parser wraps errors of callbacks.
            cause = error.__context__ or error
            self._fail(f"an HTTP answer, found {cause!r}")
            return
        self._flush()
        if self._unproductive_bytes > _MAX_UNPRODUCTIVE_BYTES:
            self._fail(f"an answer, found {self._unproductive_bytes} bytes")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the futures that are not resolved."""
        self._stall_timer.cancel()
        self._fail(f"the rest of the answer, found a lost connection ({exc})")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records the number of open requests that the engine reports."""
        if name.lower() == _LOAD_HEADER and value.isdigit():
            self.open_requests = int(value)

    def on_headers_complete(self) -> None:
        """Resolves the status, unless the answer is an interim one."""
        status = self._parser.get_status_code()
        if status not in _STATUSES:
            raise errors.BackendLostError(f"status {status:03}")
        if status >= _MIN_FINAL_STATUS and not self.status.done():
            self.status.set_result(status)

    def on_body(self, data: bytes) -> None:
        """Collects a part of the body; one read may contain several."""
        if not self.status.done():
            raise errors.BackendLostError("an interim answer with a body")
        self._unproductive_bytes = 0
        self._parts.append(data)

    def on_message_complete(self) -> None:
        """Resolves the end of the body."""
        if self.status.done() and not self.ended.done():
            self.ended.set_result(None)

    def _flush(self) -> None:
        parts = self._parts
        if self._on_data is None or not parts:
            return
        data = parts[0] if len(parts) == 1 else b"".join(parts)
        parts.clear()
        self._on_data(data)

    def _check_stall(self) -> None:
        idle_s = self._loop.time() - self._last_received_at_s
        if idle_s > STALL_TIMEOUT_S and not self._paused:
            self._fail(f"bytes within {STALL_TIMEOUT_S} s, found none")
            return
        self._stall_timer = self._loop.call_later(
            _STALL_CHECK_INTERVAL_S, self._check_stall
        )

    def _fail(self, expected: str) -> None:
        for future in (self.status, self.ended):
            if not future.done():
                error = errors.BackendLostError(f"expected {expected}")
                future.set_exception(error)
        if self._transport is not None:
            self._transport.abort()


async def open_stream(
    url: str, request: requests.ModelRequest, resume: Resume | None
) -> EngineStream:
    """Sends a request and waits for the response headers.

    Args:
        url: Base URL of the engine.
        request: The request.
        resume: Where to resume the answer; None to start from the beginning.

    Raises:
        errors.BackendNotReachedError: Nothing was sent.
        errors.BackendRefusedError: The engine refused the request without
            running it.
        errors.BackendLostError: The connection failed after sending.
    """
    address = urls.urlsplit(url)
    encoded = _encode_request(address.netloc, request, resume)
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            loop = asyncio.get_running_loop()
            _, stream = await loop.create_connection(
                lambda: EngineStream(encoded),
                address.hostname or "",
                address.port or _DEFAULT_PORT,
            )
    except (OSError, TimeoutError) as error:
        raise errors.BackendNotReachedError(
            f"{url}: expected a connection, found {error!r}"
        ) from error
    try:
        status = await stream.status
    except BaseException:
        stream.close()
        raise
    if status != _HTTP_OK:
        stream.close()
        raise errors.BackendRefusedError(
            f"{url}: expected status 200, found {status}", status
        )
    return stream


def _encode_request(
    host: str, request: requests.ModelRequest, resume: Resume | None
) -> bytes:
    body = request.body
    if resume is not None and resume.position:
        fields = json.loads(body)
        fields["resume"] = dataclasses.asdict(resume)
        body = json.dumps(fields).encode()
    path = "/v1/chat/completions" if request.chat else "/v1/completions"
    head = (
        f"POST {path} HTTP/1.1\r\n"
        f"Host: {host}\r\n"
        "Connection: close\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"X-Request-Id: {request.request_id}\r\n"
        f"X-Priority: {request.priority}\r\n\r\n"
    )
    return head.encode("ascii") + body


def _mark_exception_retrieved(future: "asyncio.Future[typing.Any]") -> None:
    if not future.cancelled():
        future.exception()
