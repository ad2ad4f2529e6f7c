"""Client of the platform's cloud API."""

from collections.abc import Mapping

import logbook

from turmericcroft import errors
from turmericcroft.clients import json_calls
from turmericcroft.gateway import ports

# The API answers within tens of ms; during a slowdown it takes about 50 times
# as long.
_CALL_TIMEOUT_S = 1.5
# Any other status is sent by a server in trouble and refuses nothing.
_FINAL_STATUSES = range(200, 600)
_LOG = logbook.Logger("cloud")


class Cloud:
    """Cloud API client."""

    def __init__(self, address: str) -> None:
        self.caller = json_calls.Caller(f"http://{address}")

    async def close(self) -> None:
        """Closes the connections."""
        await self.caller.close()

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
        headers = {
            "X-Duty-Holder": fencing_token.holder,
            "X-Fencing-Token": str(fencing_token.number),
        }
        call = json_calls.Call(
            "POST", path, _CALL_TIMEOUT_S, headers=headers, body=body
        )
        try:
            reply = await self.caller.call(call)
        except errors.PlatformError as error:
            _LOG.warning("cloud API call failed", path=path, error=repr(error))
            return ports.CallOutcome.FAILED
        return _classify_status(reply.status)


def _classify_status(status: int) -> ports.CallOutcome:
    if status == 200:
        return ports.CallOutcome.DONE
    if status == 409:
        return ports.CallOutcome.NONE_AVAILABLE
    if status not in _FINAL_STATUSES or status in (429, 500, 502, 503, 504):
        return ports.CallOutcome.FAILED
    return ports.CallOutcome.REFUSED
