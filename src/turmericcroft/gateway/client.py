"""HTTP/1.1 connections of clients.

A connection passes requests to the handler one at a time; pipelined requests
wait until the response before them has been sent. Header and body sizes, slow
requests and idle connections are bounded by the declaration's limits.
"""

import asyncio
import collections
import dataclasses
import http
import json
import typing

from turmericcroft.gateway import facts
from turmericcroft.requests import arriving
from turmericcroft.requests import parsing
from turmericcroft.routing import declaration

# Pipelined requests that may wait on one connection; with more, reading from it
# pauses until none is waiting.
_MAX_PIPELINED = 4
# Added to the declared idle limit: clients may reuse a connection until just
# before the limit, and their request must not meet a closed connection.
_IDLE_GRACE_S = 1.0
_REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}
_JSON = (b"content-type", b"application/json")


@dataclasses.dataclass(frozen=True)
class Request:
    """A complete request of a client.

    Attributes:
        method: HTTP method.
        target: Path and query, as received.
        path: The path without the query.
        host: Host name in lower case, without the port.
        headers: Headers with names in lower case.
        body: The body.
        received_at_s: Time of the first byte, monotonic.
        keep_alive: Whether the client wants to keep the connection.
    """

    method: bytes
    target: bytes
    path: str
    host: str
    headers: tuple[facts.Header, ...]
    body: bytes
    received_at_s: float
    keep_alive: bool

    @property
    def is_head(self) -> bool:
        """Whether the response has no body, whatever its headers state."""
        return self.method == b"HEAD"


@dataclasses.dataclass(frozen=True)
class Refusal:
    """An error response that the gateway itself sends.

    Attributes:
        status: HTTP status; 408, 421, 429 and 503 state that no server executed
            the request.
        code: Stable error code.
        message: Text for the client.
        retry_after_s: Delay before a retry; None if a retry does not help.
        route: Name of the route, for the log.
        account: Name of the client account, for the log.
        detail: Why the request was refused, for the log.
    """

    status: int
    code: str
    message: str
    retry_after_s: float | None = None
    route: str = ""
    account: str = ""
    detail: str = ""


class Handler(typing.Protocol):
    """Serves the requests of client connections."""

    def limits(self) -> declaration.ClientLimits:
        """Returns the limits in force."""

    def is_stopping(self) -> bool:
        """Returns whether to close connections after their responses."""

    def handle_request(
        self, request: Request, connection: "ClientConnection"
    ) -> None:
        """Serves a complete request; its response goes to the connection."""

    def client_disconnected(self, connection: "ClientConnection") -> None:
        """Cancels the open request of a client that disconnected."""

    def connection_opened(self, connection: "ClientConnection") -> None:
        """Called when a connection was opened."""

    def connection_closed(self, connection: "ClientConnection") -> None:
        """Called when a connection was closed."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client.

    Attributes:
        busy: Whether a request is being served.
        last_active_s: Time of the last byte received or response completed,
            monotonic.
        on_writable: Called with False when the send buffer is full and with
            True when there is room again; set while a stream is forwarded.
        is_send_buffer_full: Whether the send buffer is full.
    """

    def __init__(self, handler: Handler, arrivals: arriving.Arrivals) -> None:
        self.handler = handler
        self.loop = asyncio.get_running_loop()
        self.busy = False
        self.last_active_s = self.loop.time()
        self.on_writable: typing.Callable[[bool], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = parsing.RequestParser(self, arrivals)
        self._pipelined: collections.deque[Request] = collections.deque()
        self._streaming = False
        self.is_send_buffer_full = False
        self._on_sent: list[typing.Callable[[], None]] = []
        self._keep_alive = False
        self._is_head = False
        # Called in turn when the requests that are complete have ended.
        self._releases: collections.deque[typing.Callable[[], None]] = (
            collections.deque()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and reports the connection to the handler."""
        self._transport = typing.cast("asyncio.Transport", transport)
        self.handler.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels an open request and reports the closed connection."""
        del exc
        self._transport = None
        self._report_sent()
        self._handle_disconnect()
        self.handler.connection_closed(self)

    def eof_received(self) -> bool:
        """Treats a half-closed connection as closed: cancels its request."""
        self._handle_disconnect()
        return False

    def pause_writing(self) -> None:
        """Reports that the send buffer is full."""
        self.is_send_buffer_full = True
        if self.on_writable is not None:
            self.on_writable(False)

    def resume_writing(self) -> None:
        """Reports that the send buffer has room again."""
        self._report_sent()
        if self.on_writable is not None:
            self.on_writable(True)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        self.last_active_s = self.loop.time()
        self._parser.feed(data, self.last_active_s)
        if not self.wants_requests() and self._transport is not None:
            self._transport.pause_reading()

    def limits(self) -> declaration.ClientLimits:
        """Returns the limits in force."""
        return self.handler.limits()

    def wants_requests(self) -> bool:
        """Returns whether fewer requests wait than may."""
        return len(self._pipelined) <= _MAX_PIPELINED

    def send_continue(self) -> None:
        """Tells the client to send the body, unless a response is open."""
        # Within the response to another request it would break that one.
        if not self.busy:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def take_request(self, request: parsing.Parsed) -> None:
        """Starts a complete request, or lets it wait for those before it."""
        self._releases.append(request.release)
        host = dict(request.headers).get(b"host", b"").decode("latin-1").lower()
        complete = Request(
            method=request.method,
            target=request.target,
            path=request.target.partition(b"?")[0].decode("latin-1"),
            host=host.rpartition(":")[0] if ":" in host else host,
            headers=request.headers,
            body=request.body,
            received_at_s=request.started_at_s,
            keep_alive=request.keep_alive,
        )
        if self.busy:
            self._pipelined.append(complete)
        else:
            self._start_request(complete)

    def check_timeouts(self, now_s: float) -> None:
        """Refuses a request that is too slow; closes an idle connection."""
        if self._transport is None or self.busy:
            return
        limits = self.handler.limits()
        started_at_s = self._parser.started_at_s
        if started_at_s is not None:
            silent_s = now_s - self.last_active_s
            if self._parser.is_reading_head():
                silent_s = now_s - started_at_s
            if silent_s > limits.header_timeout_s:
                self._parser.reject(408, "too_slow", "send the request faster")
        elif now_s - self.last_active_s > (
            limits.idle_timeout_s + _IDLE_GRACE_S
        ):
            self.close()

    def end_input(self) -> None:
        """Refuses a request that has not arrived; closes an idle connection."""
        if not self.busy and self._parser.started_at_s is not None:
            self._parser.reject(503, "stopping", "another daemon takes it")
        self.close_if_idle()

    def close_if_idle(self) -> None:
        """Closes the connection if no request is open or arriving."""
        if not self.busy and self._parser.started_at_s is None:
            self.close()

    def send_response(
        self, status: int, headers: list[facts.Header], body: bytes
    ) -> None:
        """Sends a complete response, without its body if it is one to HEAD."""
        closing = self._will_close()
        if self._is_head:
            self._write(_encode_head(status, headers, closing))
        else:
            lines = [*headers, (b"content-length", b"%d" % len(body))]
            self._write(_encode_head(status, lines, closing) + body)
        self._finish_response(closing)

    def call_when_sent(self, on_sent: typing.Callable[[], None]) -> None:
        """Calls a function once what was written no longer takes memory."""
        self._on_sent.append(on_sent)
        if self._transport is None or not self.is_send_buffer_full:
            self._report_sent()

    def refuse(
        self, refusal: Refusal, extra_headers: list[facts.Header]
    ) -> None:
        """Sends a refusal as a JSON error response."""
        body = json.dumps(
            {"error": {"code": refusal.code, "message": refusal.message}}
        )
        headers = [_JSON, *extra_headers]
        if refusal.retry_after_s is not None:
            seconds = f"{max(0.01, refusal.retry_after_s):.2f}".encode()
            headers.append((b"retry-after", seconds))
        self.send_response(refusal.status, headers, body.encode())

    def begin_stream(self, status: int, headers: list[facts.Header]) -> None:
        """Sends status and headers of a chunked response."""
        self._streaming = True
        self._stream_closes = self._will_close()
        lines = [*headers, (b"transfer-encoding", b"chunked")]
        self._write(_encode_head(status, lines, self._stream_closes))

    def write_chunk(self, data: bytes) -> None:
        """Sends one chunk of a stream."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Sends the last chunk, which marks the stream as complete."""
        self._streaming = False
        self._write(b"0\r\n\r\n")
        # The headers did not announce a stop that began after them. The next
        # request may be under way; its response announces the close.
        self._finish_response(self._stream_closes or self._is_input_over())

    def abort(self) -> None:
        """Aborts the connection, so that the response is seen as incomplete."""
        self.busy = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes the connection after sending what is buffered."""
        if self._transport is not None:
            self._transport.close()

    def _report_sent(self) -> None:
        self.is_send_buffer_full = False
        while self._on_sent:
            self._on_sent.pop()()

    def _start_request(self, request: Request) -> None:
        self.busy = True
        self._keep_alive = request.keep_alive
        self._is_head = request.is_head
        self.handler.handle_request(request, self)

    def _will_close(self) -> bool:
        # Pipelined requests were read and so are answered, also at the end.
        is_last = self.handler.is_stopping() and not self._pipelined
        return not self._keep_alive or is_last or self._is_input_over()

    def _is_input_over(self) -> bool:
        return self._parser.is_rejected and not self._pipelined

    def _finish_response(self, closing: bool) -> None:
        self.busy = False
        self.on_writable = None
        self.last_active_s = self.loop.time()
        if self._releases:
            self._releases.popleft()()
        if closing:
            self.close()
            return
        if self._pipelined:
            self._start_request(self._pipelined.popleft())
            if not self._pipelined:
                self._parser.resume()
                if self.wants_requests() and self._transport is not None:
                    self._transport.resume_reading()

    def _handle_disconnect(self) -> None:
        self._pipelined.clear()
        self._parser.drop()
        while self._releases:
            self._releases.popleft()()
        if self.busy:
            self.busy = False
            self.handler.client_disconnected(self)

    def reject(self, rejected: parsing.Rejected) -> None:
        """Refuses the request that is read, and closes the connection."""
        # Complete requests are still answered; the bytes after them are not
        # read, so the connection closes then.
        if not self.busy:
            self._keep_alive = False
            self.refuse(Refusal(**vars(rejected)), [])

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)


def _encode_head(
    status: int, headers: list[facts.Header], closing: bool
) -> bytes:
    phrase = _REASON_PHRASES.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {phrase}".encode()]
    lines += [b"%b: %b" % header for header in headers]
    if closing:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
