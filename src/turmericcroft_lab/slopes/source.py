"""Minimal source of token streams, which loads a relay.

It stands in for many engines at once: the response to a request is a stream of
one event per interval. It has no batching and no prefix cache.
"""

import asyncio
import re
import sys
import typing

import fire
import uvloop

_RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
)
_CONTENT_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
_EVENT_TEMPLATE = (
    b'id: %d\ndata: {"id":"cmpl-0","object":"text_completion","created":1,'
    b'"model":"survey","choices":[{"index":0,"finish_reason":null,'
    b'"text":" council143"}]}\n\n'
)


class SourceProtocol(asyncio.Protocol):
    """Connection that sends one stream."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.position = 0
        self._received = b""
        self._transport: typing.Any = None
        self._timer: asyncio.TimerHandle | None = None
        self._next_event_at_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, to send to it."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Starts the stream when the request is complete."""
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator or self._timer is not None:
            return
        length = _CONTENT_LENGTH.search(head)
        if length is not None and len(body) < int(length.group(1)):
            return
        self._transport.write(_RESPONSE_HEAD)
        self._next_event_at_s = asyncio.get_running_loop().time()
        self._send_event()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the stream."""
        del exc
        if self._timer is not None:
            self._timer.cancel()

    def _send_event(self) -> None:
        self.position += 1
        event = _EVENT_TEMPLATE % self.position
        self._transport.write(b"%x\r\n%b\r\n" % (len(event), event))
        self._next_event_at_s += self.interval_s
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self._next_event_at_s, self._send_event)


def run(port: int, interval_ms: float) -> None:
    """Serves streams until the process is killed.

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
