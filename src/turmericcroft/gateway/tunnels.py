"""The tunnel port: forwards bytes between another daemon and a server.

A daemon that reaches no server of a service asks for a connection to one by
HTTP CONNECT; see detour.py.

The end of the server's connection must arrive as it was: a reset must not look
like a close, which ends a response without a length.
"""

import asyncio
import hmac
import http
import socket
import struct
import typing

import httptools
import logbook

from turmericcroft.fleet import directory
from turmericcroft.gateway import detour
from turmericcroft.gateway import state as states

_LOG = logbook.Logger("tunnels")
# Less than the other daemon waits.
_EXIT_TIMEOUT_S = 0.35
# Longest request for a tunnel; it is read before its credentials are known.
_MAX_REQUEST_BYTES = 8_192
_USABLE_STATES = (
    directory.ServerState.READY,
    directory.ServerState.LEASE_EXPIRED,
)
# A linger time of zero: closing the socket resets the connection, also when
# the process is killed.
_RESETTING_LINGER = struct.pack("ii", 1, 0)
_CLOSING_LINGER = struct.pack("ii", 0, 0)


class TunnelServer:
    """Serves the tunnel port: connections of daemons that reach no server.

    Attributes:
        entries: Open connections of other daemons.
    """

    def __init__(self, state: states.State) -> None:
        self.state = state
        self.entries: set[_Entry] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens the port, if the settings name one."""
        ports = self.state.settings.ports
        if ports.tunnels:
            self._server = await asyncio.get_running_loop().create_server(
                lambda: _Entry(self), ports.host, ports.tunnels
            )

    def close(self) -> None:
        """Closes the port and resets the tunnels."""
        if self._server is not None:
            self._server.close()
        for entry in list(self.entries):
            entry.reset()


class _End(asyncio.Protocol):
    """One of the two connections of a tunnel.

    Attributes:
        other: The other connection; None until it is open.
    """

    def __init__(self) -> None:
        self.other: _End | None = None
        self.transport: asyncio.Transport | None = None
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Lets the kernel reset the connection unless it is closed here."""
        self.transport = typing.cast("asyncio.Transport", transport)
        _set_linger(self.transport, _RESETTING_LINGER)

    def data_received(self, data: bytes) -> None:
        """Forwards bytes."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def pause_writing(self) -> None:
        """Stops reading from the other connection."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Reads from the other connection again."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def eof_received(self) -> bool:
        """Records that the peer closed the connection cleanly."""
        self._has_ended = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the other connection in the same way."""
        self.transport = None
        other, self.other = self.other, None
        if other is None:
            return
        other.other = None
        if self._has_ended and exc is None:
            other.finish()
        else:
            other.reset()

    def finish(self) -> None:
        """Closes the connection after sending what is buffered."""
        if self.transport is not None:
            _set_linger(self.transport, _CLOSING_LINGER)
            self.transport.close()

    def reset(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            self.transport.abort()


class _Exit(_End):
    """The connection to the server."""


class _Entry(_End):
    """The connection of a daemon that reaches no server."""

    def __init__(self, server: TunnelServer) -> None:
        super().__init__()
        self.server = server
        self._parser = httptools.HttpRequestParser(self)
        self._authority = b""
        self._request_bytes = 0
        self._headers: dict[bytes, bytes] = {}
        self._opening: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        super().connection_made(transport)
        self.server.entries.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Resets the server's connection: the request is given up."""
        self.server.entries.discard(self)
        if self._opening is not None:
            self._opening.cancel()
        self._has_ended = False
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses the request for a tunnel; forwards what comes after it."""
        if self.other is not None:
            super().data_received(data)
            return
        if self._opening is not None:
            # Bytes before the answer to CONNECT belong to no tunnel yet.
            self.reset()
            return
        self._request_bytes += len(data)
        if self._request_bytes > _MAX_REQUEST_BYTES:
            _LOG.warning("request for a tunnel is too long")
            self.reset()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._opening = asyncio.create_task(self._open())
        except httptools.HttpParserError as error:
            _LOG.warning("malformed request for a tunnel", error=repr(error))
            self.reset()

    def on_url(self, url: bytes) -> None:
        """Parser callback: part of the server's name and port."""
        self._authority += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header."""
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete."""
        if self._parser.get_method() != b"CONNECT":
            self._answer(http.HTTPStatus.METHOD_NOT_ALLOWED)

    async def _open(self) -> None:
        state = self.server.state
        secret = detour.credentials(state.settings.mesh_secret)
        given = self._headers.get(detour.CREDENTIALS_HEADER, b"")
        if not hmac.compare_digest(given, secret):
            self._answer(http.HTTPStatus.PROXY_AUTHENTICATION_REQUIRED)
            return
        if state.stopping:
            self._answer(http.HTTPStatus.SERVICE_UNAVAILABLE)
            return
        name = self._authority.rpartition(b":")[0].decode("latin-1")
        record = state.directory.records.get(name)
        if record is None or record.state not in _USABLE_STATES:
            self._answer(http.HTTPStatus.NOT_FOUND)
            return
        if state.paths.is_isolated(record.server.service):
            self._answer(http.HTTPStatus.SERVICE_UNAVAILABLE)
            return
        try:
            async with asyncio.timeout(_EXIT_TIMEOUT_S):
                (
                    _,
                    tunnel_exit,
                ) = await asyncio.get_running_loop().create_connection(
                    _Exit, record.server.host, record.server.port
                )
        except ConnectionRefusedError:
            self._answer(http.HTTPStatus.BAD_GATEWAY)
            return
        except (OSError, TimeoutError):
            self._answer(http.HTTPStatus.GATEWAY_TIMEOUT)
            return
        if self.transport is None:
            tunnel_exit.reset()
            return
        self.other, tunnel_exit.other = tunnel_exit, self
        state.metrics.tunnels.inc({})
        self.transport.write(b"HTTP/1.1 200 Connected\r\n\r\n")

    def _answer(self, status: http.HTTPStatus) -> None:
        """Refuses the tunnel."""
        if self.transport is not None:
            head = b"HTTP/1.1 %d %b\r\ncontent-length: 0\r\n\r\n" % (
                status.value,
                status.phrase.encode(),
            )
            self.transport.write(head)
            self.finish()


def _set_linger(transport: asyncio.Transport, linger: bytes) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
