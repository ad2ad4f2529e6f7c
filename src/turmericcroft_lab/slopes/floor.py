"""Raw forwarding between two transports: the floor of a relay's cost.

One read and one write for each event, and nothing else. It is what the
daemon's relay is compared with, in the same run.
"""

import asyncio
import sys
import typing

import fire
import uvloop


class Upstream(asyncio.Protocol):
    """Passes the source's bytes to the caller."""

    def __init__(self, caller: typing.Any, request: bytes) -> None:
        self._caller = caller
        self._request = request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Passes the request on."""
        typing.cast("asyncio.Transport", transport).write(self._request)

    def data_received(self, data: bytes) -> None:
        """Passes bytes on."""
        if not self._caller.is_closing():
            self._caller.write(data)


class Downstream(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, source_port: int) -> None:
        self._source_port = source_port
        self._transport: typing.Any = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Connects to the source."""
        self._task = asyncio.ensure_future(self._connect(data))

    async def _connect(self, request: bytes) -> None:
        await asyncio.get_running_loop().create_connection(
            lambda: Upstream(self._transport, request),
            "127.0.0.1",
            self._source_port,
        )


def run(port: int, source_port: int) -> None:
    """Forwards until killed.

    Args:
        port: Port to listen on.
        source_port: Port of the source.
    """
    uvloop.run(_serve(port, source_port))


async def _serve(port: int, source_port: int) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Downstream(source_port), "127.0.0.1", port, backlog=4_096
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    fire.Fire(run, name=sys.argv[0])
