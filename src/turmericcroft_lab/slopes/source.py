"""A lean source of token streams, to load a relay with.

It stands in for many engines at once: every POST is answered with one event
each interval. It does no batching and no prefix cache.
"""

import asyncio
import re
import sys
import typing

import fire
import uvloop

_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
)
_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
_EVENT = (
    b'id: %d\ndata: {"id":"cmpl-0","object":"text_completion","created":1,'
    b'"model":"survey","choices":[{"index":0,"finish_reason":null,'
    b'"text":" council143"}]}\n\n'
)


class SourceProtocol(asyncio.Protocol):
    """One stream."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.position = 0
        self._received = b""
        self._transport: typing.Any = None
        self._timer: asyncio.TimerHandle | None = None
        self._due_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Starts to stream when the request is complete."""
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator or self._timer is not None:
            return
        length = _LENGTH.search(head)
        if length is not None and len(body) < int(length.group(1)):
            return
        self._transport.write(_HEAD)
        self._due_s = asyncio.get_running_loop().time()
        self._tick()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the stream."""
        del exc
        if self._timer is not None:
            self._timer.cancel()

    def _tick(self) -> None:
        self.position += 1
        event = _EVENT % self.position
        self._transport.write(b"%x\r\n%b\r\n" % (len(event), event))
        self._due_s += self.interval_s
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self._due_s, self._tick)


def run(port: int, interval_ms: float) -> None:
    """Serves streams until killed.

    Args:
        port: Port on the loopback interface.
        interval_ms: Time between events of a stream.
    """
    uvloop.run(_serve(port, interval_ms / 1000.0))


async def _serve(port: int, interval_s: float) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: SourceProtocol(interval_s),
        "127.0.0.1",
        port,
        backlog=4_096,
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    fire.Fire(run, name=sys.argv[0])
