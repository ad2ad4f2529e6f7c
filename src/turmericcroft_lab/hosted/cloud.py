"""Emulated cloud API of the hosted platform; it records the calls."""

import dataclasses
import typing

from aiohttp import web


@dataclasses.dataclass(frozen=True)
class Call:
    """A call that the cloud API received.

    Attributes:
        path: Path of the call; it names the duty.
        holder: The lease holder that the caller states.
        token: The fencing token.
        body: The decoded JSON body.
    """

    path: str
    holder: str
    token: int
    body: dict[str, typing.Any]


class HostedCloud:
    """The cloud API.

    Attributes:
        calls: Calls received so far.
        status: HTTP status of the responses.
        port: TCP port on the loopback address.
    """

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.status = 200
        self.port = 0
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """Host and port, as settings hold them."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Opens the port."""
        app = web.Application()
        app.router.add_post("/{duty}", self._serve)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.Request) -> web.Response:
        headers = request.headers
        self.calls.append(
            Call(
                path=request.path,
                holder=headers["X-Duty-Holder"],
                token=int(headers["X-Fencing-Token"]),
                body=await request.json(),
            )
        )
        return web.json_response({}, status=self.status)
