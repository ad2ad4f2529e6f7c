"""Connections between daemons: calls with replies over websockets."""

import asyncio
import hmac
import itertools
import typing
from collections.abc import AsyncIterator
from collections.abc import Callable

import logbook
import websockets
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server

from turmericcroft import errors
from turmericcroft.mesh import codec as codecs

_LOG = logbook.Logger("mesh")
_SECRET_HEADER = "X-Mesh-Secret"
_MAX_MESSAGE_BYTES = 33_554_432
_OPEN_TIMEOUT_S = 1.0

Handler = Callable[[typing.Any], AsyncIterator[typing.Any]]


class MeshServer:
    """Listens for peers and answers their calls."""

    def __init__(
        self,
        host: str,
        port: int,
        secret: str,
        codec: codecs.Codec,
        handler: Handler,
    ) -> None:
        self.host = host
        self.port = port
        self._secret = secret
        self._codec = codec
        self._handler = handler
        self._server: ws_server.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Opens the port."""
        self._server = await ws_server.serve(
            self._serve_peer,
            self.host,
            self.port,
            process_request=self._check_secret,
            max_size=_MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=None,
            close_timeout=_OPEN_TIMEOUT_S,
        )

    async def close(self) -> None:
        """Closes the port and all connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def _check_secret(
        self, connection: ws_server.ServerConnection, request: typing.Any
    ) -> typing.Any:
        given = request.headers.get(_SECRET_HEADER, "")
        if not hmac.compare_digest(given.encode(), self._secret.encode()):
            return connection.respond(403, "wrong mesh secret\n")
        return None

    async def _serve_peer(self, connection: ws_server.ServerConnection) -> None:
        try:
            async for data in connection:
                envelope = self._codec.decode(_binary(data))
                task = asyncio.create_task(self._answer(connection, envelope))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except (errors.MeshError, websockets.ConnectionClosed) as error:
            _LOG.info("peer disconnected", error=str(error))

    async def _answer(
        self,
        connection: ws_server.ServerConnection,
        envelope: codecs.Envelope,
    ) -> None:
        try:
            async for reply in self._handler(envelope.message):
                await connection.send(
                    self._codec.encode(codecs.Envelope(envelope.call, reply))
                )
            await connection.send(
                self._codec.encode(
                    codecs.Envelope(envelope.call, codecs.Done())
                )
            )
        except websockets.ConnectionClosed:
            return


class PeerConnection:
    """The connection to one peer, opened when it is first needed."""

    def __init__(
        self, host: str, port: int, secret: str, codec: codecs.Codec
    ) -> None:
        self.host = host
        self.port = port
        self.bytes_sent = 0
        self._secret = secret
        self._codec = codec
        self._numbers = itertools.count(1)
        self._connection: ws_client.ClientConnection | None = None
        self._reader: asyncio.Task[None] | None = None
        self._replies: dict[int, asyncio.Queue[typing.Any | None]] = {}
        self._opening = asyncio.Lock()

    async def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            await self._connection.close()
        if self._reader is not None:
            self._reader.cancel()

    def abort(self) -> None:
        """Abandons the connection; the next call opens another one."""
        if self._reader is not None:
            self._reader.cancel()
        if self._connection is not None:
            self._connection.transport.abort()
            self._connection = None

    async def call(self, message: typing.Any, timeout_s: float) -> typing.Any:
        """Sends a message and returns the first reply.

        Raises:
            errors.MeshError: No reply came in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                async for reply in self.stream(message):
                    return reply
                return codecs.Done()
        except TimeoutError as error:
            # The connection may have gone silent for good.
            self.abort()
            raise errors.MeshError(
                f"{self.host}:{self.port}: expected a reply within "
                f"{timeout_s} s, found none"
            ) from error

    async def stream(self, message: typing.Any) -> AsyncIterator[typing.Any]:
        """Sends a message and yields its replies until the peer is done.

        Raises:
            errors.MeshError: The connection failed.
        """
        connection = await self._open()
        number = next(self._numbers)
        replies: asyncio.Queue[typing.Any | None] = asyncio.Queue()
        self._replies[number] = replies
        data = self._codec.encode(codecs.Envelope(number, message))
        self.bytes_sent += len(data)
        try:
            await connection.send(data)
            while True:
                match await replies.get():
                    case None:
                        raise errors.MeshError(
                            f"{self.host}:{self.port}: expected a reply, "
                            "found a closed connection"
                        )
                    case codecs.Done():
                        return
                    case reply:
                        yield reply
        except websockets.ConnectionClosed as error:
            raise errors.MeshError(
                f"{self.host}:{self.port}: expected an open connection, "
                f"found {error!r}"
            ) from error
        finally:
            self._replies.pop(number, None)

    async def _open(self) -> ws_client.ClientConnection:
        async with self._opening:
            reader = self._reader
            if self._connection and reader and not reader.done():
                return self._connection
            try:
                self._connection = await ws_client.connect(
                    f"ws://{self.host}:{self.port}",
                    additional_headers={_SECRET_HEADER: self._secret},
                    open_timeout=_OPEN_TIMEOUT_S,
                    close_timeout=_OPEN_TIMEOUT_S,
                    max_size=_MAX_MESSAGE_BYTES,
                    compression=None,
                    ping_interval=None,
                )
            except (
                OSError,
                TimeoutError,
                websockets.WebSocketException,
            ) as error:
                raise errors.MeshError(
                    f"{self.host}:{self.port}: expected a connection, "
                    f"found {error!r}"
                ) from error
            self._reader = asyncio.create_task(self._read(self._connection))
            return self._connection

    async def _read(self, connection: ws_client.ClientConnection) -> None:
        try:
            async for data in connection:
                envelope = self._codec.decode(_binary(data))
                replies = self._replies.get(envelope.call)
                if replies is not None:
                    replies.put_nowait(envelope.message)
        except (errors.MeshError, websockets.ConnectionClosed):
            pass
        finally:
            for replies in self._replies.values():
                replies.put_nowait(None)


def _binary(data: str | bytes) -> bytes:
    if isinstance(data, str):
        raise errors.MeshError("expected a binary message, found text")
    return data
