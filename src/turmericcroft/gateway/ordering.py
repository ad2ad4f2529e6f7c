"""Orders servers by the plan of each service."""

import asyncio
import math
from collections.abc import Callable

from turmericcroft.duties import scaling
from turmericcroft.eventlog import events
from turmericcroft.gateway import ports
from turmericcroft.gateway import settings
from turmericcroft.gateway import state as states

_PLAN_INTERVAL_S = 0.5
# An order whose servers do not come is made once more after this time beyond
# the boot time.
_REORDER_S = 6.0
_RETRY_S = 1.0

Key = tuple[str, str, bool]


class Ordering:
    """Keeps the servers of all scaled services as planned."""

    def __init__(self, state: states.State, cloud: ports.Cloud) -> None:
        self.state = state
        self.cloud = cloud
        self._planners: dict[str, scaling.Planner] = {}
        self._ordered: dict[Key, int] = {}
        self._not_before_s: dict[Key, float] = {}
        self._reclaimed: set[tuple[str, int]] = set()
        self._planned_at_s = -math.inf

    def reset(self) -> None:
        """Forgets what was ordered: another daemon may have ordered since."""
        self._ordered = {}
        self._not_before_s = {}

    def observe(self) -> None:
        """Follows demand and reclaims, whoever holds the duties."""
        now_s = asyncio.get_running_loop().time()
        table = self.state.declaration.table
        if table is None:
            return
        for service in table.declaration.services.values():
            if service.scaling is None or service.scaling.maximum <= 0:
                continue
            planner = self._planners.get(service.name)
            if planner is None or planner.scaling != service.scaling:
                planner = scaling.Planner(service.scaling)
                self._planners[service.name] = planner
            for daemon, totals in self.state.demand_totals().items():
                total = totals.get(service.name)
                if total is not None:
                    planner.demand.hear(daemon, total, now_s)
            self._note_reclaims(service.name, planner, now_s)

    async def tick(self, seal: Callable[[], ports.FencingToken | None]) -> None:
        """Orders what the plan changed."""
        now_s = asyncio.get_running_loop().time()
        duties = self.state.settings.surroundings.duties
        table = self.state.declaration.table
        if (
            table is None
            or settings.Duty.SCALING not in duties
            or now_s - self._planned_at_s < _PLAN_INTERVAL_S
        ):
            return
        self._planned_at_s = now_s
        for name, planner in self._planners.items():
            if name not in table.declaration.services:
                continue
            present = self._present(name)
            for zone, target in planner.plan(present, now_s).items():
                if planner.may_ask(zone, now_s):
                    key = name, zone, True
                    await self._order(
                        key, target.reclaimable, planner, present, seal
                    )
                key = name, zone, False
                await self._order(key, target.lasting, planner, present, seal)

    def _note_reclaims(
        self, service: str, planner: scaling.Planner, now_s: float
    ) -> None:
        present = self._present(service)
        for record in self.state.directory.leaving():
            server = record.server
            zone = server.availability_zone
            # Every zone is meant to hold some, so one that holds none has
            # had all of them taken back.
            if (
                server.service == service
                and server.reclaimable
                and server.draining
                and not present.get(zone, scaling.ZoneServers()).reclaimable
                and server.incarnation not in self._reclaimed
            ):
                self._reclaimed.add(server.incarnation)
                planner.note_reclaim(zone, now_s)

    def _present(self, service: str) -> dict[str, scaling.ZoneServers]:
        present: dict[str, scaling.ZoneServers] = {}
        for server in self.state.directory.usable(service):
            zone = present.get(server.availability_zone, scaling.ZoneServers())
            present[server.availability_zone] = scaling.ZoneServers(
                zone.lasting + (not server.reclaimable),
                zone.reclaimable + server.reclaimable,
            )
        return present

    async def _order(
        self,
        key: Key,
        count: int,
        planner: scaling.Planner,
        present: dict[str, scaling.ZoneServers],
        seal: Callable[[], ports.FencingToken | None],
    ) -> None:
        service, zone, reclaimable = key
        now_s = asyncio.get_running_loop().time()
        there = present.get(zone, scaling.ZoneServers())
        have = there.reclaimable if reclaimable else there.lasting
        before = self._ordered.get(key)
        if before == count and (
            have >= count or now_s < self._not_before_s.get(key, 0.0)
        ):
            return
        if before is None and now_s < self._not_before_s.get(key, 0.0):
            return
        mark = seal()
        if mark is None:
            return
        least = planner.least(now_s)
        comfortable = planner.comfortable(now_s)
        outcome = await self.cloud.order_servers(
            service, zone, count, reclaimable, mark
        )
        self.state.log.write(
            events.ServersOrdered(
                service=service,
                zone=zone,
                count=count,
                reclaimable=reclaimable,
                outcome=outcome.value,
                token=mark.number,
                reason=f"have {have}, need {least} to {comfortable}",
            )
        )
        match outcome:
            case ports.CallOutcome.DONE:
                self._ordered[key] = count
                if reclaimable:
                    planner.note_ordered(zone, count, now_s)
                self._not_before_s[key] = (
                    now_s + planner.scaling.boot_s + _REORDER_S
                )
            case ports.CallOutcome.NONE_AVAILABLE:
                self._ordered.pop(key, None)
                planner.note_none_available(zone, now_s)
            case ports.CallOutcome.REFUSED | ports.CallOutcome.FAILED:
                self._ordered.pop(key, None)
                self._not_before_s[key] = now_s + _RETRY_S
