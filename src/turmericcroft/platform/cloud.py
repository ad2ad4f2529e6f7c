"""Client of the platform's cloud API."""

from collections.abc import Mapping

import aiohttp
import logbook

from turmericcroft.clients import sockets
from turmericcroft.gateway import ports

# The API answers within tens of ms; during a slowdown it takes about 50 times
# as long.
_CALL_TIMEOUT_S = 1.5
# Any other status is sent by a server in trouble and refuses nothing.
_FINAL_STATUSES = range(200, 600)
_LOG = logbook.Logger("cloud")


class Cloud:
    """Cloud API client that owns its HTTP session."""

    def __init__(self, address: str) -> None:
        self.url = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def report_usage(
        self,
        window: int,
        counts: Mapping[str, int],
        fencing_token: ports.FencingToken,
    ) -> ports.CallOutcome:
        """Reports each account's number of requests that began in a window."""
        body = {"windowNumber": window, "counts": dict(counts)}
        return await self._call("/usage", body, fencing_token)

    async def order_servers(
        self,
        service: str,
        zone: str,
        count: int,
        reclaimable: bool,
        fencing_token: ports.FencingToken,
    ) -> ports.CallOutcome:
        """Sets the desired number of a service's servers in a zone.

        Reclaimable and on-demand servers are ordered separately.
        """
        body: dict[str, object] = {
            "service": service,
            "zone": zone,
            "desiredCount": count,
        }
        if reclaimable:
            body["spotInstances"] = True
        return await self._call("/scaling", body, fencing_token)

    async def _call(
        self,
        path: str,
        body: Mapping[str, object],
        fencing_token: ports.FencingToken,
    ) -> ports.CallOutcome:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=sockets.make_connector(),
                timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
            )
        headers = {
            "X-Duty-Holder": fencing_token.holder,
            "X-Fencing-Token": str(fencing_token.number),
        }
        try:
            async with self._session.post(
                self.url + path, json=body, headers=headers
            ) as response:
                await response.read()
                return _classify_status(response.status)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            _LOG.warning("cloud API call failed", path=path, error=repr(error))
            return ports.CallOutcome.FAILED


def _classify_status(status: int) -> ports.CallOutcome:
    if status == 200:
        return ports.CallOutcome.DONE
    if status == 409:
        return ports.CallOutcome.NONE_AVAILABLE
    if status not in _FINAL_STATUSES or status in (429, 500, 502, 503, 504):
        return ports.CallOutcome.FAILED
    return ports.CallOutcome.REFUSED
