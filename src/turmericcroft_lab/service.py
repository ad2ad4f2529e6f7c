"""Simulated plain service whose calls must not be executed twice.

It counts the executions of each booking, and can drop the connection of a
call before or after executing it.
"""

import asyncio
import collections
import enum

from aiohttp import web


class Crash(enum.Enum):
    """When the service drops the connection of its next call.

    Attributes:
        NEVER: It completes the call.
        BEFORE: Before it executes the call.
        DURING: After it executed the call, before it responds.
        AFTER: After it sent the headers of the response.
    """

    NEVER = "never"
    BEFORE = "before"
    DURING = "during"
    AFTER = "after"


class SimulatedService:
    """A booking service that counts the executions of each booking.

    Attributes:
        name: Name of the server.
        executions: Number of executions by reference of the booking.
        crash: When it drops the connection of its next call.
        processing_s: Time to execute a booking.
    """

    def __init__(self, name: str, executions: collections.Counter[str]) -> None:
        self.name = name
        self.executions = executions
        self.crash = Crash.NEVER
        self.processing_s = 0.01
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Starts listening on a port."""
        app = web.Application()
        app.router.add_post("/bookings/{reference}", self._book)
        app.router.add_get("/bookings/{reference}", self._show)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.01
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, reuse_address=True).start()

    async def stop(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _book(self, request: web.Request) -> web.StreamResponse:
        reference = request.match_info["reference"]
        crash, self.crash = self.crash, Crash.NEVER
        if crash is Crash.BEFORE:
            return _abort_connection(request)
        await asyncio.sleep(self.processing_s)
        self.executions[reference] += 1
        if crash is Crash.DURING:
            return _abort_connection(request)
        body = {"reference": reference, "run": self.executions[reference]}
        response = web.json_response(body, status=201)
        if crash is Crash.AFTER:
            await response.prepare(request)
            return _abort_connection(request)
        return response

    async def _show(self, request: web.Request) -> web.StreamResponse:
        reference = request.match_info["reference"]
        return web.json_response({"runs": self.executions[reference]})


def _abort_connection(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
