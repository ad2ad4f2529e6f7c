"""Connections to servers that lead through another daemon.

A daemon that reaches no server of a service opens a connection to another
daemon, which opens one to the server and forwards the bytes (HTTP CONNECT).
Everything else, as the choice of the server, retries and limits, stays with the
first daemon.
"""

import asyncio
import http
import random
from collections.abc import Callable
from collections.abc import Sequence

import httptools
import logbook

from turmericcroft import errors
from turmericcroft.clients import time_limits
from turmericcroft.fleet import directory
from turmericcroft.gateway import messages
from turmericcroft.gateway import state as states
from turmericcroft.gateway import upstream

_LOG = logbook.Logger("detour")
CREDENTIALS_HEADER = b"proxy-authorization"
_MIN_TIMEOUT_S = 0.15
_CONFIRMATION_TIMEOUT_S = 0.6
# A daemon that could not help is not asked again for this time.
_AVOIDANCE_S = 1.0
_MAX_DAEMONS_TRIED = 3


def credentials(mesh_secret: str) -> bytes:
    """Returns the credentials with which a daemon asks for a tunnel.

    Example:
        >>> credentials("secret")
        b'Bearer secret'
    """
    return b"Bearer " + mesh_secret.encode()


class Detour:
    """Opens connections through other daemons; implements upstream.Detour.

    Attributes:
        list_daemons: Returns the other daemons that answer.
    """

    def __init__(
        self,
        state: states.State,
        list_daemons: Callable[[], Sequence[messages.Member]],
    ) -> None:
        self.state = state
        self.list_daemons = list_daemons
        self._avoided_until_s: dict[str, float] = {}

    def is_needed(self, server: directory.Server) -> bool:
        """Whether a connection has to lead through another daemon."""
        return self.state.paths.is_isolated(server.service)

    def is_possible(self) -> bool:
        """Whether another daemon answers; it may still reach no server."""
        return bool(self.list_daemons())

    async def open(
        self, server: directory.Server, timeout_s: float
    ) -> upstream.Connection:
        """Opens a connection to a server through another daemon.

        Raises:
            errors.BackendNotReachedError: No daemon helped, or the server
                refused the connection; then a ConnectionRefusedError is the
                cause.
        """
        cause = "no other daemon can help"
        for daemon in self._candidates(server.availability_zone):
            try:
                async with time_limits.limit(max(_MIN_TIMEOUT_S, timeout_s)):
                    status, connection = await self._connect(daemon, server)
            except (OSError, TimeoutError) as error:
                self._avoid(daemon)
                cause = f"{daemon.name}: {error!r}"
                continue
            match status:
                case http.HTTPStatus.OK:
                    return connection
                case http.HTTPStatus.BAD_GATEWAY:
                    raise errors.BackendNotReachedError(
                        f"{server.name}: refused {daemon.name}"
                    ) from ConnectionRefusedError()
                case http.HTTPStatus.SERVICE_UNAVAILABLE:
                    self._avoid(daemon)
                    cause = f"{daemon.name} can't help"
                case _:
                    cause = f"{daemon.name}: status {status}"
                    break
        raise errors.BackendNotReachedError(
            f"{server.name}: expected a connection through another daemon, "
            f"found none: {cause}"
        )

    async def confirms_down(self, server: directory.Server) -> bool:
        """Whether no daemon reaches a server that this one doesn't reach.

        Returns:
            False if that is not certain, because another daemon reaches the
            server or doesn't answer.
        """
        daemons = [d for d in self.list_daemons() if d.tunnel_port]
        if not daemons:
            return self.state.daemons == 1
        random.shuffle(daemons)
        for daemon in daemons[:_MAX_DAEMONS_TRIED]:
            try:
                async with time_limits.limit(_CONFIRMATION_TIMEOUT_S):
                    status, connection = await self._connect(daemon, server)
            except (OSError, TimeoutError) as error:
                _LOG.info(
                    "a daemon did not tell whether a server is down",
                    daemon=daemon.name,
                    server=server.name,
                    error=repr(error),
                )
                return False
            match status:
                case http.HTTPStatus.BAD_GATEWAY:
                    return True
                case http.HTTPStatus.SERVICE_UNAVAILABLE:
                    # It reaches no server of the service either.
                    continue
                case _:
                    connection.abort()
                    return False
        return True

    def _candidates(self, zone: str) -> list[messages.Member]:
        """Returns the daemons to ask, those in the server's zone first."""
        now_s = asyncio.get_running_loop().time()
        daemons = [
            daemon
            for daemon in self.list_daemons()
            if daemon.tunnel_port
            and now_s >= self._avoided_until_s.get(daemon.name, 0.0)
        ]
        random.shuffle(daemons)
        daemons.sort(key=lambda daemon: daemon.availability_zone != zone)
        return daemons[:_MAX_DAEMONS_TRIED]

    def _avoid(self, daemon: messages.Member) -> None:
        now_s = asyncio.get_running_loop().time()
        self._avoided_until_s[daemon.name] = now_s + _AVOIDANCE_S

    async def _connect(
        self, daemon: messages.Member, server: directory.Server
    ) -> tuple[int, upstream.Connection]:
        loop = asyncio.get_running_loop()
        transport, handshake = await loop.create_connection(
            _Handshake, daemon.host, daemon.tunnel_port
        )
        try:
            authority = f"{server.name}:{server.port}".encode()
            transport.write(
                b"CONNECT %b HTTP/1.1\r\nhost: %b\r\n%b: %b\r\n\r\n"
                % (
                    authority,
                    authority,
                    CREDENTIALS_HEADER,
                    credentials(self.state.settings.mesh_secret),
                )
            )
            status = await handshake.status
        except BaseException:
            transport.abort()
            raise
        connection = upstream.Connection(loop, self.state.pool)
        connection.relayed_by = daemon.name
        if status != http.HTTPStatus.OK:
            transport.abort()
            return status, connection
        transport.set_protocol(connection)
        connection.connection_made(transport)
        return status, connection


class _Handshake(asyncio.Protocol):
    """Reads the other daemon's answer to CONNECT.

    Attributes:
        status: Status of the answer.
    """

    def __init__(self) -> None:
        self.status: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )
        self._parser = httptools.HttpResponseParser(self)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(f"malformed answer to CONNECT: {error!r}")

    def on_headers_complete(self) -> None:
        """Parser callback: the headers are complete."""
        if not self.status.done():
            self.status.set_result(self._parser.get_status_code())

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails if no answer came."""
        self._fail(f"closed without an answer: {exc!r}")

    def _fail(self, cause: str) -> None:
        if not self.status.done():
            self.status.set_exception(ConnectionError(cause))
