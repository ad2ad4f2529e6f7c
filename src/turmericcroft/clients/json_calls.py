"""HTTP calls to a service of the platform, with JSON bodies."""

import dataclasses
import typing
from collections.abc import Mapping

import aiohttp

from turmericcroft import errors
from turmericcroft.clients import bounded
from turmericcroft.clients import sockets
from turmericcroft.clients import translating

# Pages of the store hold about 1 MB; the changes of an outage may be several
# times as long.
_MAX_BODY_BYTES = 8_388_608
# Errors that prove that nothing was sent.
_NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


@dataclasses.dataclass(frozen=True)
class Call:
    """One call.

    Attributes:
        body: Encoded as JSON; None for no body.
        timeout_s: Limit for the whole call.
        connect_timeout_s: Limit for opening a connection; None for none.
        too_long: Raised if the answer's body is too long.
    """

    method: str
    path: str
    timeout_s: float
    connect_timeout_s: float | None = None
    query: Mapping[str, str] = dataclasses.field(default_factory=dict)
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: Mapping[str, typing.Any] | None = None
    too_long: type[errors.PlatformError] = errors.KeyValueOutcomeUnknownError


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer, read as a whole."""

    status: int
    headers: Mapping[str, str]
    content: bytes


class Caller:
    """Owner of the HTTP session, which is opened with the first call."""

    def __init__(self, url: str) -> None:
        self.url = url
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def call(self, call: Call) -> Reply:
        """Makes a call.

        Raises:
            errors.KeyValueUnavailableError: The call was not sent.
            errors.PlatformError: The call may have been applied.
        """
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=sockets.make_connector()
            )
        timeout = aiohttp.ClientTimeout(
            total=call.timeout_s, sock_connect=call.connect_timeout_s
        )
        with translating.translate_errors(call.path, _NOT_SENT_ERRORS):
            async with self._session.request(
                call.method,
                self.url + call.path,
                params=call.query,
                json=call.body,
                headers=call.headers,
                timeout=timeout,
            ) as response:
                content = await bounded.read_body(
                    response, _MAX_BODY_BYTES, call.too_long
                )
                return Reply(response.status, response.headers, content)
