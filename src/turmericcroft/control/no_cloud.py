"""Stands for the cloud API in deployments that have none."""

from collections.abc import Mapping

from turmericcroft.gateway import ports


class NoCloud:
    """Stands for the cloud API in deployments that have none.

    There the lease of the duties decides only who carries out rollouts.
    """

    async def report_usage(
        self,
        window: int,
        counts: Mapping[str, int],
        fencing_token: ports.FencingToken,
    ) -> ports.CallOutcome:
        """Refuses the call."""
        del window, counts, fencing_token
        return ports.CallOutcome.REFUSED

    async def order_servers(
        self,
        service: str,
        zone: str,
        count: int,
        reclaimable: bool,
        fencing_token: ports.FencingToken,
    ) -> ports.CallOutcome:
        """Refuses the call."""
        del service, zone, count, reclaimable, fencing_token
        return ports.CallOutcome.REFUSED

    async def close(self) -> None:
        """Does nothing: there is no connection."""
