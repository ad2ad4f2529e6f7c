"""Raw forwarding between two transports: lower bound of a relay's cost.

It does one read and one write for each event, and nothing else. ``relay.py``
runs it next to a daemon and compares their CPU time.
"""

import asyncio
import sys
import typing

import fire
import uvloop


class SourceSideProtocol(asyncio.Protocol):
    """Connection to the source; forwards its bytes to the caller."""

    def __init__(self, caller: typing.Any, request: bytes) -> None:
        self._caller = caller
        self._request = request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Forwards the request to the source."""
        typing.cast("asyncio.Transport", transport).write(self._request)

    def data_received(self, data: bytes) -> None:
        """Forwards bytes to the caller, unless it is closing."""
        if not self._caller.is_closing():
            self._caller.write(data)


class CallerSideProtocol(asyncio.Protocol):
    """Connection of a caller."""

    def __init__(self, source_port: int) -> None:
        self._source_port = source_port
        self._transport: typing.Any = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, to forward to it."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Connects to the source and sends it the received request."""
        self._task = asyncio.ensure_future(self._connect(data))

    async def _connect(self, request: bytes) -> None:
        await asyncio.get_running_loop().create_connection(
            lambda: SourceSideProtocol(self._transport, request),
            "127.0.0.1",
            self._source_port,
        )


def run(port: int, source_port: int) -> None:
    """Forwards until the process is killed.

    Args:
        port: Port to listen on.
        source_port: Port of the source.
    """
    uvloop.run(_serve(port, source_port))


async def _serve(port: int, source_port: int) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: CallerSideProtocol(source_port),
        "127.0.0.1",
        port,
        backlog=4_096,
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    fire.Fire(run, name=sys.argv[0])
