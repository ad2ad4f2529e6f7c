"""Connections that count the messages that they read.

Load pattern: several peers send long messages at once, each within its limit,
or do not read the replies to their calls. All connections of a daemon share a
limit, and the one that holds most is aborted when it is reached.
"""

import asyncio
import contextlib
import dataclasses
import functools
import typing
from collections.abc import Callable
from collections.abc import Iterator

import logbook
from websockets.asyncio import client as ws_client
from websockets.asyncio import connection as ws_connection
from websockets.asyncio import server as ws_server

from turmericcroft.responses import buffers

_LOG = logbook.Logger("mesh")
_FRAME_HEAD_BYTES = 14
_SENDING_COPIES = 2


class Reading:
    """Memory of what one connection received and did not decode."""

    def __init__(
        self, sum_limit: buffers.Buffers, abort: Callable[[], None]
    ) -> None:
        self._abort = abort
        self._body = sum_limit.open(sum_limit.limit_bytes, self._give_up)

    def receive(self, data: bytes) -> None:
        """Counts received bytes."""
        self._body.charge(len(data))

    def take(self, message: str | bytes) -> None:
        """Counts a message that is decoded now."""
        size = len(message) + _FRAME_HEAD_BYTES
        self._body.charge(-min(size, self._body.size_bytes))

    def close(self) -> None:
        """Counts nothing any more."""
        self._body.close()

    def _give_up(self, cause: str) -> None:
        _LOG.warning("connection of a peer is aborted", cause=cause)
        self._abort()


@dataclasses.dataclass(frozen=True)
class End:
    """Stands for the replies that do not come.

    Attributes:
        cause: Why they don't.
        is_timeout: Whether the peer did not reply in time and may still run.
    """

    cause: str
    is_timeout: bool = False


class Replies:
    """Replies to one call that its caller has not taken yet.

    A caller that forwards them to a slow reader may take them late, while the
    peer sends them at once.
    """

    def __init__(self, sum_limit: buffers.Buffers) -> None:
        self._queue: asyncio.Queue[tuple[typing.Any, int]] = asyncio.Queue()
        self._body = sum_limit.open(sum_limit.limit_bytes, self._give_up)
        self._has_ended = False

    def put(self, message: typing.Any, size: int) -> None:
        """Adds a reply, whose message had a number of bytes."""
        if not self._has_ended:
            self._queue.put_nowait((message, size))
            self._body.charge(size)

    def end(self, cause: str, is_timeout: bool = False) -> None:
        """Adds that no more replies come."""
        if not self._has_ended:
            self._has_ended = True
            self._queue.put_nowait((End(cause, is_timeout), 0))

    async def get(self) -> typing.Any:
        """Waits for the next reply."""
        message, size = await self._queue.get()
        self._body.charge(-min(size, self._body.size_bytes))
        return message

    def close(self) -> None:
        """Drops the replies."""
        self._has_ended = True
        self._body.close()

    def _give_up(self, cause: str) -> None:
        _LOG.warning("replies are taken too slowly; given up", cause=cause)
        while not self._queue.empty():
            self._queue.get_nowait()
        self.end(f"replies are taken too slowly: {cause}")


class _CountingConnection(ws_connection.Connection):
    """Connection that counts what it reads.

    Attributes:
        reading: The count.
    """

    def __init__(
        self,
        *args: typing.Any,
        sum_limit: buffers.Buffers,
        **kwargs: typing.Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.reading = Reading(sum_limit, self._abort)
        self._sum_limit = sum_limit

    def data_received(self, data: bytes) -> None:
        """Counts received bytes and parses them."""
        self.reading.receive(data)
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the count."""
        self.reading.close()
        super().connection_lost(exc)

    @contextlib.contextmanager
    def count_sending(self, data: bytes) -> Iterator[None]:
        """Counts a message while it is sent; its frame is a copy of it."""
        body = self._sum_limit.open(
            self._sum_limit.limit_bytes, self._give_up_sending
        )
        body.charge(_SENDING_COPIES * len(data))
        try:
            yield
        finally:
            body.close()

    def _give_up_sending(self, cause: str) -> None:
        _LOG.warning("connection of a peer is aborted", cause=cause)
        self._abort()

    def _abort(self) -> None:
        self.transport.abort()


class ServerConnection(_CountingConnection, ws_server.ServerConnection):
    """Connection that a peer opened."""


class ClientConnection(_CountingConnection, ws_client.ClientConnection):
    """Connection that this daemon opened."""


def server_factory(
    sum_limit: buffers.Buffers,
) -> type[ws_server.ServerConnection]:
    """Returns what makes the connections that peers open."""
    made = functools.partial(ServerConnection, sum_limit=sum_limit)
    return typing.cast("type[ws_server.ServerConnection]", made)


def client_factory(
    sum_limit: buffers.Buffers,
) -> type[ws_client.ClientConnection]:
    """Returns what makes the connections that this daemon opens."""
    made = functools.partial(ClientConnection, sum_limit=sum_limit)
    return typing.cast("type[ws_client.ClientConnection]", made)
