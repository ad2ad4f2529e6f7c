"""Delivery of an answer's events to the connection of a caller."""

import asyncio
import typing

import sanic

_MAX_BUFFERED_BYTES = 262_144
_DRAINED_BUFFERED_BYTES = 65_536
_DRAIN_POLL_INTERVAL_S = 0.02


class StreamSubscriber:
    """Writes the events of an answer to a caller's connection.

    The response headers must have been sent. Events are framed as HTTP chunks
    and written directly to the transport, which avoids a task switch for each.
    """

    def __init__(self, request: sanic.Request) -> None:
        self._transport: typing.Any = request.transport

    def write(self, data: bytes) -> bool:
        """Writes events.

        Returns:
            Whether the caller reads fast enough; if not, await ``drain``.
        """
        transport = self._transport
        if transport.is_closing():
            return True
        transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        buffered: int = transport.get_write_buffer_size()
        return buffered <= _MAX_BUFFERED_BYTES

    async def drain(self) -> None:
        """Waits until the caller has read most of the buffered events."""
        transport = self._transport
        while (
            not transport.is_closing()
            and transport.get_write_buffer_size() > _DRAINED_BUFFERED_BYTES
        ):
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)

    def drop(self) -> None:
        """Aborts the connection of a caller that does not read."""
        self._transport.abort()
