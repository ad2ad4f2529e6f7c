"""Connections of clients: requests in, answers out, one at a time."""

import asyncio
import collections
import dataclasses
import http
import json
import typing

import httptools

from turmericcroft.gateway import facts
from turmericcroft.routing import declaration

# Requests that a client may send ahead on one connection before reading from
# it stops.
_MAX_PIPELINED = 4
# An idle connection is kept a little longer than the declared limit, since
# clients use it again up to shortly before that.
_IDLE_GRACE_S = 1.0
_REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}
_JSON = (b"content-type", b"application/json")


@dataclasses.dataclass(frozen=True)
class Request:
    """A client's request, whole.

    Attributes:
        method: HTTP method.
        target: Path and query, as sent.
        path: The path alone.
        host: Host name in lower case, without the port.
        headers: Headers with names in lower case.
        body: The body.
        received_at_s: When its first byte came, monotonic.
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


@dataclasses.dataclass(frozen=True)
class Refusal:
    """An answer of the gateway's own.

    Attributes:
        status: HTTP status; 408, 421, 429 and 503 state that the request did
            not run.
        code: Stable reason.
        message: What the client can do.
        retry_after_s: When to come back; None if that does not help.
        route: Name of the route, for the log.
        account: Name of the client account, for the log.
        detail: What decided, for the log.
    """

    status: int
    code: str
    message: str
    retry_after_s: float | None = None
    route: str = ""
    account: str = ""
    detail: str = ""


class Handler(typing.Protocol):
    """What a connection needs from the gateway around it."""

    def limits(self) -> declaration.ClientLimits:
        """The limits in force."""

    def is_stopping(self) -> bool:
        """Whether connections should be closed after their answers."""

    def handle_request(
        self, request: Request, connection: "ClientConnection"
    ) -> None:
        """Takes in a whole request; the answer goes to the connection."""

    def client_disconnected(self, connection: "ClientConnection") -> None:
        """The client closed the connection while a request was open."""

    def connection_opened(self, connection: "ClientConnection") -> None:
        """A connection was opened."""

    def connection_closed(self, connection: "ClientConnection") -> None:
        """A connection was closed."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client.

    Attributes:
        busy: Whether a request is open.
        last_active_s: Time of the last byte in or answer out, monotonic.
        writable: Set while the client takes bytes.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.loop = asyncio.get_running_loop()
        self.busy = False
        self.last_active_s = self.loop.time()
        self.on_writable: typing.Callable[[bool], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pipelined: collections.deque[Request] = collections.deque()
        self._streaming = False
        self._keep_alive = False
        self._rejected = False
        self._reset_parsed_request()
        self._request_started_at_s: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = typing.cast("asyncio.Transport", transport)
        self.handler.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports a client that left."""
        del exc
        self._transport = None
        self._handle_disconnect()
        self.handler.connection_closed(self)

    def eof_received(self) -> bool:
        """A client that sends no more has left; its request is cancelled."""
        self._handle_disconnect()
        return False

    def pause_writing(self) -> None:
        """The client does not keep up."""
        if self.on_writable is not None:
            self.on_writable(False)

    def resume_writing(self) -> None:
        """The client keeps up again."""
        if self.on_writable is not None:
            self.on_writable(True)

    def data_received(self, data: bytes) -> None:
        """Parses a piece of a request."""
        if self._rejected:
            return
        self.last_active_s = self.loop.time()
        if self._request_started_at_s is None:
            self._request_started_at_s = self.last_active_s
        if not self._headers_complete:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject_request(400, "upgrade", "expected no upgrade")
        except httptools.HttpParserError as error:
            if not self._rejected:
                self._reject_request(400, "malformed", str(error))
        if (
            not self._headers_complete
            and self._header_bytes > self.handler.limits().max_header_bytes
        ):
            self._reject_request(
                431, "headers_too_large", "send fewer header bytes"
            )
        if (
            len(self._pipelined) > _MAX_PIPELINED
            and self._transport is not None
        ):
            self._transport.pause_reading()

    def on_message_begin(self) -> None:
        """Parser: a request begins."""
        self._reset_parsed_request()

    def on_url(self, url: bytes) -> None:
        """Parser: a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser: a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Parser: the headers are complete."""
        self._headers_complete = True
        limits = self.handler.limits()
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size + len(self._target) > limits.max_header_bytes:
            self._reject_request(
                431, "headers_too_large", "send fewer header bytes"
            )
            return
        headers = dict(self._headers)
        length = headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > limits.max_body_bytes:
            self._reject_request(413, "body_too_large", "send a smaller body")
        elif headers.get(b"expect", b"").lower() == b"100-continue":
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Parser: a piece of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self.handler.limits().max_body_bytes:
            self._reject_request(413, "body_too_large", "send a smaller body")

    def on_message_complete(self) -> None:
        """Parser: the request is complete."""
        if self._rejected:
            return
        request = self._make_request()
        self._request_started_at_s = None
        self._header_bytes = 0
        if self.busy:
            self._pipelined.append(request)
        else:
            self._start_request(request)

    def check_timeouts(self, now_s: float) -> None:
        """Ends a connection that is idle or slow for too long."""
        if self._transport is None or self.busy:
            return
        limits = self.handler.limits()
        if self._request_started_at_s is not None:
            silent_s = now_s - self.last_active_s
            if not self._headers_complete:
                silent_s = now_s - self._request_started_at_s
            if silent_s > limits.header_timeout_s:
                self._reject_request(408, "too_slow", "send the request faster")
        elif now_s - self.last_active_s > (
            limits.idle_timeout_s + _IDLE_GRACE_S
        ):
            self.close()

    def close_if_idle(self) -> None:
        """Closes the connection if no request is open or arriving."""
        if not self.busy and self._request_started_at_s is None:
            self.close()

    def send_response(
        self, status: int, headers: list[facts.Header], body: bytes
    ) -> None:
        """Sends a whole answer."""
        closing = self._will_close()
        lines = [*headers, (b"content-length", b"%d" % len(body))]
        self._write(_encode_head(status, lines, closing) + body)
        self._finish_response(closing)

    def refuse(
        self, refusal: Refusal, extra_headers: list[facts.Header]
    ) -> None:
        """Sends an answer of the gateway's own."""
        body = json.dumps(
            {"error": {"code": refusal.code, "message": refusal.message}}
        )
        headers = [_JSON, *extra_headers]
        if refusal.retry_after_s is not None:
            seconds = f"{max(0.01, refusal.retry_after_s):.2f}".encode()
            headers.append((b"retry-after", seconds))
        self.send_response(refusal.status, headers, body.encode())

    def begin_stream(self, status: int, headers: list[facts.Header]) -> None:
        """Sends the head of an answer of unknown length."""
        self._streaming = True
        self._stream_closes = self._will_close()
        lines = [*headers, (b"transfer-encoding", b"chunked")]
        self._write(_encode_head(status, lines, self._stream_closes))

    def write_chunk(self, data: bytes) -> None:
        """Sends a piece of a stream."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Ends a stream as complete."""
        self._streaming = False
        self._write(b"0\r\n\r\n")
        self._finish_response(self._stream_closes or self._will_close())

    def abort(self) -> None:
        """Ends an answer so that it does not look complete."""
        self.busy = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def _reset_parsed_request(self) -> None:
        self._target = b""
        self._headers: list[facts.Header] = []
        self._headers_complete = False
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0

    def _make_request(self) -> Request:
        headers = dict(self._headers)
        host = headers.get(b"host", b"").decode("latin-1").lower()
        path = self._target.partition(b"?")[0].decode("latin-1")
        started_at_s = self._request_started_at_s
        return Request(
            method=self._parser.get_method(),
            target=self._target,
            path=path,
            host=host.rpartition(":")[0] if ":" in host else host,
            headers=tuple(self._headers),
            body=b"".join(self._body),
            received_at_s=(
                self.last_active_s if started_at_s is None else started_at_s
            ),
            keep_alive=self._parser.should_keep_alive(),
        )

    def _start_request(self, request: Request) -> None:
        self.busy = True
        self._keep_alive = request.keep_alive
        self.handler.handle_request(request, self)

    def _will_close(self) -> bool:
        return not self._keep_alive or self.handler.is_stopping()

    def _finish_response(self, closing: bool) -> None:
        self.busy = False
        self.on_writable = None
        self.last_active_s = self.loop.time()
        if closing:
            self.close()
            return
        if self._pipelined:
            request = self._pipelined.popleft()
            if self._transport is not None and not self._pipelined:
                self._transport.resume_reading()
            self._start_request(request)

    def _handle_disconnect(self) -> None:
        self._pipelined.clear()
        if self.busy:
            self.busy = False
            self.handler.client_disconnected(self)

    def _reject_request(self, status: int, code: str, message: str) -> None:
        if self._rejected:
            return
        self._rejected = True
        self._request_started_at_s = None
        if self.busy:
            # The open request's answer still goes out; what follows it on
            # this connection cannot be read.
            self._keep_alive = False
            return
        self._keep_alive = False
        self.refuse(Refusal(status, code, message), [])

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
