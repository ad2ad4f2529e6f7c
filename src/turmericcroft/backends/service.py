"""Client of plain services."""

import dataclasses
from collections.abc import Mapping

import aiohttp

from turmericcroft import errors
from turmericcroft.clients import bounded

_CONNECT_TIMEOUT_S = 1.0
_TOTAL_TIMEOUT_S = 20.0
_EMPTY_STATUSES = (204, 304)
_FINAL_STATUSES = range(200, 600)
# A longer answer counts as lost, as in the gateway.
_MAX_BODY_BYTES = 16_777_216


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """A call to a plain service.

    Attributes:
        method: HTTP method.
        path: Path and query after the service's name.
        headers: Headers to send.
        body: Raw body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """The answer of a plain service.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        body: Raw body.
    """

    status: int
    content_type: str
    body: bytes


class ServiceClient:
    """HTTP client for calls to plain services.

    Connections are not reused: if a kept-alive connection closes, the client
    can't know whether the service never read the request or ran it and its
    answer was lost.
    """

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(
                total=_TOTAL_TIMEOUT_S, sock_connect=_CONNECT_TIMEOUT_S
            ),
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def call(self, url: str, call: ServiceCall) -> ServiceAnswer:
        """Sends a call once.

        Raises:
            errors.BackendNotReachedError: No byte was sent.
            errors.BackendLostError: The call was sent and may have run. An
                answer without a length or chunks is lost: its connection ends
                in the same way if the service is killed. So is one whose status
                is none of HTTP.
        """
        try:
            async with self._session.request(
                call.method,
                url + call.path,
                data=call.body or None,
                headers=call.headers,
                allow_redirects=False,
            ) as response:
                if response.status not in _FINAL_STATUSES:
                    raise errors.BackendLostError(
                        f"{url}: expected a status from 200 to 599, found "
                        f"{response.status:03}"
                    )
                if not _marks_end(call.method, response):
                    raise errors.BackendLostError(
                        f"{url}: expected an answer with a length or in "
                        "chunks, found one that ends with its connection"
                    )
                body = await bounded.read_body(
                    response, _MAX_BODY_BYTES, errors.BackendLostError
                )
                return ServiceAnswer(
                    response.status,
                    response.headers.get("Content-Type", "text/plain"),
                    body,
                )
        except aiohttp.ClientConnectorError as error:
            raise errors.BackendNotReachedError(
                f"{url}: expected a connection, found {error!r}"
            ) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise errors.BackendLostError(
                f"{url}: expected an answer, found {error!r}"
            ) from error


def _marks_end(method: str, response: aiohttp.ClientResponse) -> bool:
    """Whether an answer shows by itself where it ends."""
    return (
        method == "HEAD"
        or response.status in _EMPTY_STATUSES
        or "Content-Length" in response.headers
        or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )
