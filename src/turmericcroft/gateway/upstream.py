"""HTTP/1.1 connections to backend servers.

Each connection carries one request at a time; the pool keeps idle connections
for later requests. Responses to other requests are discarded, and a connection
on which one came, or bytes after a complete response, is not used again.
"""

import asyncio
import dataclasses
import itertools
import socket
import time
import typing
from collections.abc import Callable

import httptools

from turmericcroft import errors
from turmericcroft.clients import sockets
from turmericcroft.clients import time_limits
from turmericcroft.fleet import addresses
from turmericcroft.fleet import directory
from turmericcroft.gateway import client
from turmericcroft.gateway import facts
from turmericcroft.responses import buffers
from turmericcroft.responses import joined
from turmericcroft.responses import sent_ids

# A running server accepts a connection within a millisecond; a lost SYN packet
# is retransmitted only after seconds.
CONNECT_TIMEOUT_S = 0.5
_MIN_CONNECT_TIMEOUT_S = 0.1
# Part of a request's time left that a connection may take, so that another
# server can be tried and still respond.
_CONNECT_TIMEOUT_SHARE = 0.25
# Longest idle time of a connection that is used again; below the servers' usual
# limits, and lowered further by a limit that the server states.
MAX_IDLE_S = 4.0
# Connections through other daemons carry no new requests after this age. A
# daemon that stops opens no new ones, and the last requests have time to end.
_MAX_RELAYED_AGE_S = 2.0
_STATED_IDLE_MARGIN_S = 0.5
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
_MIN_FINAL_STATUS = 200
_STATUSES = range(100, 600)
# Bytes from a server that add nothing to a response: headers, informational
# responses, framing, trailers, and responses to other requests. More of them in
# a row are no response; a server may send them without end.
_MAX_UNPRODUCTIVE_BYTES = 131_072
# Each takes about 200 bytes beside its text; usual responses have some 20.
_MAX_HEADERS = 1_000
# A body of more pieces than this whose mean length is below the second figure
# would take all of the processor; events of streams are longer.
_MAX_SMALL_PIECES = 4_096
_MIN_PIECE_BYTES = 8


class ResponseSink(typing.Protocol):
    """Receives one response."""

    def on_head(self, status: int, headers: list[facts.Header]) -> bool:
        """Receives status and headers.

        Returns:
            False if the response belongs to another request.
        """

    def on_body(self, data: bytes) -> None:
        """Receives part of the body."""

    def on_end(self) -> None:
        """Called when the response is complete."""

    def on_lost(self, cause: str) -> None:
        """Called when the response ended before it was complete."""


@dataclasses.dataclass
class _ResponseHead:
    status: int = 0
    reason: bytes = b""
    headers: list[facts.Header] = dataclasses.field(default_factory=list)
    is_framed: bool = False

    def contains_status_line(self) -> bool:
        """Whether it was joined from the heads of two responses."""
        values = (value for _, value in self.headers)
        return joined.contains_status_line(b"\n".join((self.reason, *values)))


class Connection(asyncio.Protocol):
    """One connection to a backend server.

    Attributes:
        reusable: Whether another request may be sent on it.
        idle_since_s: When the last response ended, monotonic.
        idle_limit_s: Longest idle time before it is closed.
        opened_at_s: When it was opened, monotonic.
        ended_at_close: Whether the latest response ended when the server closed
            the connection.
        closed_at_s: When it was closed, monotonic; 0 before that.
        received_at_s: When the last bytes came before a clean close, monotonic;
            they may have been read later. Negative infinity if unknown.
        number: Number of the connection in this process, for the log.
        uses: Number of requests sent on it.
        is_process_checked: Whether the process behind it stated the start that
            the server's entry states.
        relayed_by: Name of the daemon that it leads through; empty if it is
            direct.
        is_reading_paused: Whether nothing is read, because a client is slow.
        resumed_at_s: When reading was last resumed, monotonic.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, pool: "ConnectionPool"
    ) -> None:
        self.loop = loop
        self.pool = pool
        self.reusable = True
        self.idle_since_s = 0.0
        self.idle_limit_s = MAX_IDLE_S
        self.opened_at_s = 0.0
        self.ended_at_close = False
        self.closed_at_s = 0.0
        self.received_at_s = float("-inf")
        self.number = pool.next_number()
        self.uses = 0
        self.is_process_checked = False
        self.relayed_by = ""
        self.is_reading_paused = False
        self.resumed_at_s = float("-inf")
        self._transport: asyncio.Transport | None = None
        self._sink: ResponseSink | None = None
        self._parser = httptools.HttpResponseParser(self)
        # The head that is parsed, and that of the open request's response.
        self._head = _ResponseHead()
        self._own_head: _ResponseHead | None = None
        self._skipping = False
        self._expects_body = True
        self._ended = False
        self._clean_end = False
        self._unproductive_bytes = 0
        self._pieces = self._body_bytes = 0
        self._sent_ids = sent_ids.SentIds()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and enables TCP keep-alive probes."""
        self._transport = typing.cast("asyncio.Transport", transport)
        self.opened_at_s = self.loop.time()
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_keepalive(sock)

    @property
    def is_framed(self) -> bool:
        """Whether the response states its length or comes in chunks.

        Any other one ends with the connection.
        """
        return self._own_head is not None and self._own_head.is_framed

    def send(
        self,
        request: bytes,
        sink: ResponseSink,
        request_id: str,
        expects_body: bool = True,
    ) -> None:
        """Sends a complete request; the response goes to the sink.

        Args:
            request: The encoded request.
            sink: Receives the response.
            request_id: Id that the response states; empty for a call, whose
                response states none.
            expects_body: Whether the response has a body, if its headers state
                one; that to HEAD has none.
        """
        assert self._transport is not None
        self.uses += 1
        self._sent_ids.add(request_id)
        self._sink = sink
        self._own_head = None
        self._expects_body = expects_body
        self._ended = False
        self._skipping = False
        self._unproductive_bytes = 0
        self._pieces = self._body_bytes = 0
        self._transport.write(request)

    def has_sent(self, request_id: str) -> bool:
        """Whether a late response could be taken for that to a request."""
        return request_id in self._sent_ids

    def apply_idle_limit(self, stated_s: float | None) -> None:
        """Lowers the idle limit to below the time that the server states."""
        if stated_s is not None:
            self.idle_limit_s = min(
                MAX_IDLE_S, max(0.0, stated_s - _STATED_IDLE_MARGIN_S)
            )

    def abort(self) -> None:
        """Closes the connection at once, without a call of the sink."""
        self.reusable = False
        self._sink = None
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Pauses reading, which applies back pressure to the server."""
        if self._transport is not None and not self._transport.is_closing():
            self.is_reading_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading."""
        if self._transport is not None and not self._transport.is_closing():
            self.is_reading_paused = False
            self.resumed_at_s = self.loop.time()
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._sink is None:
            # The server sent bytes without an open request.
            self.abort()
            return
        self._unproductive_bytes += len(data)
        self.pool.heard_at_s = self.loop.time()
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            # Also after a complete response: its last bytes may be those of
            # another one that filled up a truncated body.
            # The parser wraps errors of callbacks.
            cause = error.__context__ or error
            self._fail_response(f"malformed response: {cause}")
            return
        if self._ended:
            self._finish_response()
        elif self._unproductive_bytes > _MAX_UNPRODUCTIVE_BYTES:
            self._fail_response(
                f"{self._unproductive_bytes} bytes that are no response"
            )

    def eof_received(self) -> bool:
        """Records that the server closed the connection cleanly."""
        self._clean_end = True
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            self.received_at_s = time.monotonic() - sockets.receive_age_s(sock)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends a response that lasts until the close, or reports its loss."""
        self.reusable = False
        # The loop's time may be that before a pause.
        self.closed_at_s = time.monotonic()
        if self._sink is None:
            return
        # A close of the other daemon's connection may be its own end.
        clean = exc is None and self._clean_end and not self.relayed_by
        ends_at_close = self._own_head is not None and not self.is_framed
        if clean and ends_at_close:
            sink, self._sink = self._sink, None
            self.ended_at_close = True
            sink.on_end()
            return
        self._fail_response("closed" if clean else f"reset: {exc!r}")

    def on_message_begin(self) -> None:
        """Parser callback: a response begins."""
        self._head = _ResponseHead()
        if self._ended:
            self._discard("second response")

    def on_status(self, status: bytes) -> None:
        """Parser callback: part of the reason phrase."""
        self._head.reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header."""
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding"):
            self._head.is_framed = True
        self._head.headers.append((lower, value))
        if len(self._head.headers) > _MAX_HEADERS:
            raise errors.BackendLostError(f"more than {_MAX_HEADERS} headers")

    def on_headers_complete(self) -> None:
        """Parser callback: the headers are complete."""
        self._head.status = self._parser.get_status_code()
        if self._head.status not in _STATUSES:
            raise errors.BackendLostError(f"status {self._head.status:03}")
        if self._head.status < _MIN_FINAL_STATUS:
            return
        if self._ended or self._sink is None:
            # A second response to the same request.
            self._skipping = True
            return
        if self._head.contains_status_line():
            raise errors.BackendLostError("heads of two responses are joined")
        self._skipping = not self._sink.on_head(
            self._head.status, self._head.headers
        )
        if self._skipping:
            self._discard("other request")
        else:
            self._own_head = self._head
            if not self._expects_body:
                # The parser would wait for the body that the headers state.
                self._ended = True
                self.reusable = False

    def on_body(self, body: bytes) -> None:
        """Parser callback: part of the body."""
        if self._sink is None:
            # Ends the parsing of what else was received.
            raise errors.BackendLostError("the response was given up")
        if self._head.status < _MIN_FINAL_STATUS:
            raise errors.BackendLostError("interim response with a body")
        if not self._skipping and not self._ended:
            self._unproductive_bytes = 0
            self._pieces += 1
            self._body_bytes += len(body)
            if (
                self._pieces > _MAX_SMALL_PIECES
                and self._body_bytes < _MIN_PIECE_BYTES * self._pieces
            ):
                raise errors.BackendLostError("too many small chunks")
            self._sink.on_body(body)

    def on_message_complete(self) -> None:
        """Parser callback: the response is complete."""
        if self._head.status < _MIN_FINAL_STATUS:
            return
        if self._skipping:
            self._skipping = False
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._ended = True

    def _finish_response(self) -> None:
        sink, self._sink = self._sink, None
        transport = self._transport
        if transport is None or transport.get_write_buffer_size() > 0:
            # The server responded before the request was sent completely; the
            # unsent bytes would precede the next request.
            self.reusable = False
        self.idle_since_s = self.loop.time()
        if self.is_reading_paused:
            # The slow client has all of its response, so nothing else would
            # resume it.
            self.resume_reading()
        if sink is not None:
            sink.on_end()
        if not self.reusable and transport is not None:
            transport.close()

    def _discard(self, cause: str) -> None:
        """Counts bytes of no open request; the connection is used no more."""
        self.reusable = False
        self.pool.on_discarded(cause)

    def _fail_response(self, cause: str) -> None:
        sink = self._sink
        self.abort()
        if sink is not None:
            sink.on_lost(cause)


class Detour(typing.Protocol):
    """Opens connections through other daemons."""

    def is_needed(self, server: directory.Server) -> bool:
        """Whether a connection has to lead through another daemon."""

    async def open(
        self, server: directory.Server, timeout_s: float
    ) -> Connection:
        """Opens one; raises errors.BackendNotReachedError."""

    async def confirms_down(self, server: directory.Server) -> bool:
        """Whether no daemon reaches a server that this one doesn't reach."""


class ConnectionPool:
    """Idle connections to all servers.

    Attributes:
        opened: Number of connections opened so far.
        heard_at_s: When a server last sent bytes of a response, monotonic.
        detour: Opens connections that can't be direct; None without one.
        buffers: Bodies of the responses that are not streamed.
        on_discarded: Called with the cause when bytes of a server that belong
            to no open request were discarded.
    """

    def __init__(self, memory_mb: float = 0.0) -> None:
        self.opened = 0
        self.buffers = buffers.Buffers(buffers.limit_bytes(memory_mb))
        self.on_discarded: Callable[[str], None] = lambda _cause: None
        self._numbers = itertools.count(1)
        self.heard_at_s = float("-inf")
        self.detour: Detour | None = None
        self._idle: dict[tuple[str, int], list[Connection]] = {}

    def next_number(self) -> int:
        """Returns the number of a new connection."""
        return next(self._numbers)

    async def acquire(
        self,
        server: directory.Server,
        max_idle_s: float,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        request_id: str | None = None,
    ) -> Connection:
        """Returns an idle connection, or opens one.

        Args:
            server: The server.
            max_idle_s: Longest idle time of a connection to return.
            connect_timeout_s: Longest time to open one.
            request_id: Id of the request, empty for a call. A connection on
                which it was sent before is not returned: a late response to it
                could not be told from the next one. None if that is harmless.

        Raises:
            errors.BackendNotReachedError: No connection could be opened.
        """
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(server.incarnation, [])
        # The one that was used last is at the end.
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            idle_s = now_s - connection.idle_since_s
            if not connection.reusable:
                del idle[index]
            elif idle_s > connection.idle_limit_s:
                del idle[index]
                connection.abort()
            elif idle_s > max_idle_s:
                break
            elif request_id is None or not connection.has_sent(request_id):
                del idle[index]
                return connection
        if self.detour is not None and self.detour.is_needed(server):
            self.opened += 1
            return await self.detour.open(server, connect_timeout_s)
        return await self.open_direct(server, connect_timeout_s)

    async def open_direct(
        self, server: directory.Server, timeout_s: float
    ) -> Connection:
        """Opens a connection on this daemon's own path.

        Raises:
            errors.BackendNotReachedError: No connection could be opened.
        """
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            # A connection that was there in time is no failure of its server.
            async with time_limits.limit(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: Connection(loop, self), server.host, server.port
                )
        except addresses.CONNECT_FAULTS as error:
            raise errors.BackendNotReachedError(
                f"{server.name}: expected a connection, found {error!r}"
            ) from error
        return connection

    def keep_unused(
        self, server: directory.Server, connection: Connection
    ) -> None:
        """Keeps a connection that was opened but not used."""
        connection.idle_since_s = asyncio.get_running_loop().time()
        self.release(server, connection)

    def release(self, server: directory.Server, connection: Connection) -> None:
        """Keeps a connection whose response has ended, if it is reusable."""
        if connection.relayed_by:
            age_s = asyncio.get_running_loop().time() - connection.opened_at_s
            connection.idle_limit_s = min(
                connection.idle_limit_s, _MAX_RELAYED_AGE_S - age_s
            )
            if connection.idle_limit_s <= 0.0:
                connection.abort()
        if connection.reusable:
            self._idle.setdefault(server.incarnation, []).append(connection)

    def sweep(self, now_s: float) -> None:
        """Closes connections that were idle for longer than their limit."""
        for incarnation, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                idle_s = now_s - connection.idle_since_s
                if connection.reusable and idle_s <= connection.idle_limit_s:
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle[incarnation] = kept
            else:
                del self._idle[incarnation]

    def close_idle(self, incarnation: tuple[str, int]) -> None:
        """Closes the idle connections to one server."""
        for connection in self._idle.pop(incarnation, []):
            connection.abort()

    def close(self) -> None:
        """Closes all idle connections."""
        self.sweep(float("inf"))


def connect_timeout_s(remaining_s: float) -> float:
    """Returns how long to wait for a connection, by a request's time left.

    Example:
        >>> [connect_timeout_s(s) for s in (0.2, 0.6, 15.0)]
        [0.1, 0.15, 0.5]
    """
    share_s = _CONNECT_TIMEOUT_SHARE * remaining_s
    return min(CONNECT_TIMEOUT_S, max(_MIN_CONNECT_TIMEOUT_S, share_s))


def _set_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def encode_request(
    request: client.Request,
    context: facts.AttemptContext,
    dialect: facts.Dialect,
) -> bytes:
    """Encodes a client's request for one attempt at a server."""
    headers = dialect.request_headers(request.headers, context)
    lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
    lines += [b"%b: %b" % header for header in headers]
    if request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body
