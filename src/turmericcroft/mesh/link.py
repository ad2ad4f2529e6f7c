"""Connections between daemons over websockets.

A call has any number of replies. Many calls share a connection; their call ids
tell the replies apart. No further call of a peer is read while a reply to it
can't be sent.
"""

import asyncio
import contextlib
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
from turmericcroft.mesh import reading
from turmericcroft.responses import buffers

_LOG = logbook.Logger("mesh")
_SECRET_HEADER = "X-Mesh-Secret"
_HANDSHAKE_TIMEOUT_S = 1.0
# Longer than any call waits for a reply.
_SEND_TIMEOUT_S = 5.0
# Steps of the event loop after which an aborted connection has released what
# it was sending: the loss of the connection, and the end of the sending task.
_STEPS_OF_ABORT = 3

Handler = Callable[[typing.Any], AsyncIterator[typing.Any]]


class MeshServer:
    """Listens for connections of peers and replies to their calls."""

    def __init__(
        self,
        host: str,
        port: int,
        secret: str,
        codec: codecs.Codec,
        handler: Handler,
        sum_limit: buffers.Buffers | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self._secret = secret
        self._codec = codec
        self._handler = handler
        self._sum_limit = sum_limit or buffers.Buffers(buffers.limit_bytes(0.0))
        self._server: ws_server.Server | None = None
        # Replies are encoded one at a time. Others may be aborted to make room
        # for one, and hold their memory until later steps of the event loop.
        self._encoding = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Opens the port."""
        self._server = await ws_server.serve(
            self._serve_peer,
            self.host,
            self.port,
            process_request=self._check_secret,
            create_connection=reading.server_factory(self._sum_limit),
            max_size=self._codec.max_bytes,
            compression=None,
            ping_interval=None,
            close_timeout=_HANDSHAKE_TIMEOUT_S,
        )

    async def close(self) -> None:
        """Closes the port and all connections to it."""
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
        assert isinstance(connection, reading.ServerConnection)
        sending = asyncio.Lock()
        try:
            async for data in connection:
                connection.reading.take(data)
                envelope = self._codec.decode(_require_binary(data))
                task = asyncio.create_task(
                    self._reply(connection, envelope, sending)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                del data, envelope
                # Waits for the replies that are sent now.
                async with sending:
                    continue
        except (errors.MeshError, websockets.ConnectionClosed) as error:
            _LOG.info("connection of a peer ended", error=str(error))

    async def _reply(
        self,
        connection: reading.ServerConnection,
        envelope: codecs.Envelope,
        sending: asyncio.Lock,
    ) -> None:
        call_id = envelope.call_id
        replies = self._handler(envelope.message)
        del envelope
        try:
            async for reply in replies:
                await self._send(connection, call_id, reply, sending)
            await self._send(connection, call_id, codecs.Done(), sending)
        except websockets.ConnectionClosed:
            return
        except TimeoutError:
            _LOG.warning(
                "a peer does not read its replies; its connection is aborted",
                after_s=_SEND_TIMEOUT_S,
            )
            connection.transport.abort()

    async def _send(
        self,
        connection: reading.ServerConnection,
        call_id: int,
        reply: typing.Any,
        sending: asyncio.Lock,
    ) -> None:
        """Sends a reply, once those before it are on their way."""
        async with sending:
            with contextlib.ExitStack() as counted:
                async with self._encoding:
                    if connection.transport.is_closing():
                        return
                    given_up = self._sum_limit.given_up
                    data = self._codec.encode(codecs.Envelope(call_id, reply))
                    counted.enter_context(connection.count_sending(data))
                    if self._sum_limit.given_up > given_up:
                        for _ in range(_STEPS_OF_ABORT):
                            await asyncio.sleep(0)
                async with asyncio.timeout(_SEND_TIMEOUT_S):
                    await connection.send(data)


class PeerConnection:
    """The connection to one peer, opened by the first call.

    Attributes:
        host: Host of the peer.
        port: Port of the peer.
        bytes_sent: Size of all encoded calls that were sent.
    """

    def __init__(
        self,
        host: str,
        port: int,
        secret: str,
        codec: codecs.Codec,
        sum_limit: buffers.Buffers | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.bytes_sent = 0
        self._secret = secret
        self._codec = codec
        self._sum_limit = sum_limit or buffers.Buffers(buffers.limit_bytes(0.0))
        self._call_ids = itertools.count(1)
        self._connection: reading.ClientConnection | None = None
        self._receiver: asyncio.Task[None] | None = None
        self._replies: dict[int, reading.Replies] = {}
        self._open_lock = asyncio.Lock()

    async def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            await self._connection.close()
        if self._receiver is not None:
            self._receiver.cancel()

    def abort(self) -> None:
        """Aborts a connection whose peer did not reply to a call in time.

        Other calls on it learn that the peer may still run. The next call opens
        a new connection.
        """
        for replies in self._replies.values():
            replies.end("no reply to another call in time", is_timeout=True)
        if self._receiver is not None:
            self._receiver.cancel()
        if self._connection is not None:
            self._connection.transport.abort()
            self._connection = None

    async def call(self, message: typing.Any, timeout_s: float) -> typing.Any:
        """Sends a message and returns the first reply.

        Returns:
            The reply; ``codec.Done`` if the peer sent none.

        Raises:
            errors.MeshTimeoutError: No reply arrived in time.
            errors.MeshError: The connection failed.
        """
        try:
            async with asyncio.timeout(timeout_s):
                async for reply in self.stream(message):
                    return reply
                return codecs.Done()
        except TimeoutError as error:
            # The connection may be broken without being closed, so that no
            # reply would ever arrive on it.
            self.abort()
            raise errors.MeshTimeoutError(
                f"{self.host}:{self.port}: no reply within {timeout_s} s"
            ) from error

    async def stream(self, message: typing.Any) -> AsyncIterator[typing.Any]:
        """Sends a message and yields all replies.

        Raises:
            errors.MeshTimeoutError: The peer did not reply to another call on
                the connection in time.
            errors.MeshError: The connection failed.
        """
        connection = await self._open()
        call_id = next(self._call_ids)
        replies = reading.Replies(self._sum_limit)
        self._replies[call_id] = replies
        data = self._codec.encode(codecs.Envelope(call_id, message))
        self.bytes_sent += len(data)
        try:
            await connection.send(data)
            while True:
                match await replies.get():
                    case reading.End(cause, is_timeout):
                        text = f"{self.host}:{self.port}: {cause}"
                        if is_timeout:
                            raise errors.MeshTimeoutError(text)
                        raise errors.MeshError(text)
                    case codecs.Done():
                        return
                    case reply:
                        yield reply
        except websockets.ConnectionClosed as error:
            raise errors.MeshError(
                f"{self.host}:{self.port}: connection lost: {error!r}"
            ) from error
        finally:
            self._replies.pop(call_id, None)
            replies.close()

    async def _open(self) -> reading.ClientConnection:
        async with self._open_lock:
            receiver = self._receiver
            if self._connection and receiver and not receiver.done():
                return self._connection
            try:
                connection = await ws_client.connect(
                    f"ws://{self.host}:{self.port}",
                    additional_headers={_SECRET_HEADER: self._secret},
                    create_connection=reading.client_factory(self._sum_limit),
                    open_timeout=_HANDSHAKE_TIMEOUT_S,
                    close_timeout=_HANDSHAKE_TIMEOUT_S,
                    max_size=self._codec.max_bytes,
                    compression=None,
                    ping_interval=None,
                )
            except TimeoutError as error:
                raise errors.MeshTimeoutError(
                    f"{self.host}:{self.port}: no connection within "
                    f"{_HANDSHAKE_TIMEOUT_S} s"
                ) from error
            except (
                OSError,
                # The address is out of range or can't be encoded.
                ValueError,
                OverflowError,
                websockets.WebSocketException,
            ) as error:
                raise errors.MeshError(
                    f"{self.host}:{self.port}: could not connect: {error!r}"
                ) from error
            assert isinstance(connection, reading.ClientConnection)
            self._connection = connection
            self._receiver = asyncio.create_task(self._receive(connection))
            return connection

    async def _receive(self, connection: reading.ClientConnection) -> None:
        try:
            async for data in connection:
                connection.reading.take(data)
                envelope = self._codec.decode(_require_binary(data))
                replies = self._replies.get(envelope.call_id)
                if replies is not None:
                    replies.put(envelope.message, len(data))
        except (errors.MeshError, websockets.ConnectionClosed):
            pass
        finally:
            for replies in self._replies.values():
                replies.end("connection closed before the last reply")


class Links:
    """Connections to all peers, each opened when it is first used.

    Attributes:
        sum_limit: Limit of the messages that are read at once.
    """

    def __init__(
        self, secret: str, codec: codecs.Codec, sum_limit: buffers.Buffers
    ) -> None:
        self.sum_limit = sum_limit
        self._secret = secret
        self._codec = codec
        self._links: dict[tuple[str, int], PeerConnection] = {}

    def find(self, host: str, port: int) -> PeerConnection:
        """Returns the connection to an address."""
        found = self._links.get((host, port))
        if found is None:
            found = PeerConnection(
                host, port, self._secret, self._codec, self.sum_limit
            )
            self._links[host, port] = found
        return found

    def all(self) -> tuple[PeerConnection, ...]:
        """Returns all connections."""
        return tuple(self._links.values())


def _require_binary(data: str | bytes) -> bytes:
    if isinstance(data, str):
        raise errors.MeshError(
            "peer sent a text message instead of a binary one"
        )
    return data
