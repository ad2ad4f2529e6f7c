"""Client of a model engine: OpenAI completions with positions and resume."""

import dataclasses
import json
import typing
from collections.abc import AsyncIterator

import aiohttp

from turmericcroft import errors
from turmericcroft.answers import request as requests

LOAD_HEADER = "X-Engine-Open-Requests"
_CONNECT_TIMEOUT_S = 1.0
_STALL_TIMEOUT_S = 5.0
_READ_BUFFER_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Resume:
    """Where an answer goes on.

    Attributes:
        position: Position of the last event that the caller may have.
        text: The text emitted so far.
    """

    position: int
    text: str


@dataclasses.dataclass
class EngineStream:
    """An open stream of events.

    Attributes:
        open_requests: The engine's own count of its open requests, if it
            reported one.
    """

    response: aiohttp.ClientResponse
    open_requests: int | None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields bytes as they arrive.

        Raises:
            errors.BackendLostError: The connection failed or stalled.
        """
        content = self.response.content
        try:
            while chunk := await content.readany():
                yield chunk
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise errors.BackendLostError(
                f"expected the rest of the stream, found {error!r}"
            ) from error

    def pause(self) -> None:
        """Stops reading from the engine, for a caller that reads slowly."""
        self._transport_call("pause_reading")

    def resume(self) -> None:
        """Goes on reading."""
        self._transport_call("resume_reading")

    def close(self) -> None:
        """Closes the connection, which cancels the engine's work."""
        self.response.close()

    def _transport_call(self, method: str) -> None:
        connection = self.response.connection
        transport: typing.Any = connection and connection.transport
        if transport is not None and not transport.is_closing():
            getattr(transport, method)()


class Engines:
    """HTTP client for all model engines; it owns their connections."""

    def __init__(self) -> None:
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=_CONNECT_TIMEOUT_S,
            sock_read=_STALL_TIMEOUT_S,
        )
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            read_bufsize=_READ_BUFFER_BYTES,
            connector=aiohttp.TCPConnector(limit=0),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def open(
        self, url: str, request: requests.ModelRequest, resume: Resume | None
    ) -> EngineStream:
        """Sends a request and waits for the head of its answer.

        Raises:
            errors.BackendNotReachedError: Nothing was sent.
            errors.BackendRefusedError: The engine refused it, not run.
            errors.BackendLostError: The connection failed after sending.
        """
        body = request.body
        if resume is not None and resume.position:
            fields = json.loads(body)
            fields["resume"] = dataclasses.asdict(resume)
            body = json.dumps(fields).encode()
        path = "/v1/chat/completions" if request.chat else "/v1/completions"
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.request_id,
            "X-Priority": str(request.priority),
        }
        try:
            response = await self._session.post(
                url + path, data=body, headers=headers
            )
        except aiohttp.ClientConnectorError as error:
            raise errors.BackendNotReachedError(
                f"{url}: expected a connection, found {error!r}"
            ) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise errors.BackendLostError(
                f"{url}: expected an answer, found {error!r}"
            ) from error
        if response.status != 200:
            response.close()
            raise errors.BackendRefusedError(
                f"{url}: expected status 200, found {response.status}",
                response.status,
            )
        reported = response.headers.get(LOAD_HEADER, "")
        open_requests = int(reported) if reported.isdigit() else None
        return EngineStream(response, open_requests)
