"""Orders servers from the cloud by the plan of each scaled service.

Only the holder of the duties lease orders servers. All daemons observe demand
and reclaims, so that a new lease holder can plan at once.
"""

import asyncio
import math
import random
from collections.abc import Callable

import logbook

from turmericcroft import errors
from turmericcroft.duties import order_history
from turmericcroft.duties import scaling
from turmericcroft.duties import shared_vms
from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
from turmericcroft.gateway import calls
from turmericcroft.gateway import ports
from turmericcroft.gateway import settings
from turmericcroft.gateway import state as states
from turmericcroft.rollouts import notes
from turmericcroft.routing import declaration

_LOG = logbook.Logger("ordering")
_PLAN_INTERVAL_S = 0.5
# Time beyond the boot time after which an order is repeated if its servers have
# not appeared.
_REORDER_DELAY_S = 6.0
_RETRY_DELAY_S = 1.0
_SERVERS_ASKED = 2


class ServerOrders:
    """Plans and orders the servers of all scaled services."""

    def __init__(self, state: states.State, cloud: ports.Cloud) -> None:
        self.state = state
        self.cloud = cloud
        self._planners: dict[str, scaling.Planner] = {}
        self._history = order_history.OrderHistory()
        self._asked: dict[str, asyncio.Future[list[None]]] = {}
        self._reclaimed: set[tuple[str, int]] = set()
        self._planned_at_s = -math.inf

    def reset(self) -> None:
        """Clears the recorded orders; another daemon may have ordered since."""
        self._history = order_history.OrderHistory()
        self._asked = {}

    def observe(self) -> None:
        """Updates demand and reclaims, on lease holders and other daemons."""
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
                    planner.demand.record_total(daemon, total, now_s)
            if self._know(service.name, planner).shared:
                self._observe_shared(service.name, planner, now_s)
            self._record_reclaims(service.name, planner, now_s)

    async def update(
        self, make_token: Callable[[], ports.FencingToken | None]
    ) -> None:
        """Orders servers where the plan differs from the last order.

        Args:
            make_token: Makes the fencing token of an order; returns None if
                this daemon may not order now.
        """
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
            self._ask_once(table.declaration.services[name])
            known = self._know(name, planner)
            present = self._count_servers(name)
            for zone, target in planner.plan(present, now_s).items():
                counts = {True: target.reclaimable, False: target.on_demand}
                if not planner.may_order(zone, now_s):
                    del counts[True]
                for reclaimable, count in counts.items():
                    key = name, zone, reclaimable
                    await self._order(
                        key, count, planner, known, present, make_token
                    )

    def _know(
        self, service: str, planner: scaling.Planner
    ) -> order_history.Knowledge:
        """Returns what is known of a service's VMs, and plans by it."""
        shared = self.state.statements.is_shared(service)
        if shared and not planner.settings.shared:
            planner.use_settings(shared_vms.SHARED_VMS)
        return order_history.Knowledge(shared)

    def _observe_shared(
        self, service: str, planner: scaling.Planner, now_s: float
    ) -> None:
        refused_s = self.state.counters.total(f"refused/{service}")
        planner.record_refused(refused_s, now_s)
        for server in self.state.directory.usable(service):
            stated = self.state.statements.latest(server.name, now_s)
            planner.slowdown.record_statement(stated)

    def _ask_once(self, service: declaration.Service) -> None:
        """Asks servers for their load, which tells if their VMs are shared."""
        usable = self.state.directory.usable(service.name)
        if not usable or service.name in self._asked:
            return
        asked = random.sample(usable, min(_SERVERS_ASKED, len(usable)))
        path = service.health_path
        if not path or self.state.statements.is_shared(service.name):
            asked = []
        calls = [self._ask(server, path) for server in asked]
        self._asked[service.name] = asyncio.gather(*calls)

    async def _ask(self, server: directory.Server, path: str) -> None:
        try:
            response = await calls.call_server(
                self.state, server, b"GET", path.encode(), b""
            )
            outcome = f"{response.status}, load {response.facts.load}"
        except (errors.BackendError, TimeoutError) as error:
            outcome = repr(error)
        _LOG.info(
            "asked a server for its load", server=server.name, outcome=outcome
        )

    def _record_reclaims(
        self, service: str, planner: scaling.Planner, now_s: float
    ) -> None:
        present = self._count_servers(service)
        for record in self.state.directory.leaving():
            server = record.server
            zone = server.availability_zone
            # Every zone is planned to have reclaimable servers, so a zone
            # without any has had all of them reclaimed.
            if (
                server.service == service
                and server.reclaimable
                and server.draining
                and not present.get(zone, scaling.ZoneServers()).reclaimable
                and server.incarnation not in self._reclaimed
            ):
                self._reclaimed.add(server.incarnation)
                planner.record_reclaim(zone, now_s)
                if planner.settings.shared:
                    self._history.allow_repeat((service, zone, True))

    def _count_servers(self, service: str) -> dict[str, scaling.ZoneServers]:
        now_s = asyncio.get_running_loop().time()
        leaving = [
            record.server
            for record in self.state.directory.leaving()
            if record.server.service == service and now_s < record.leaves_at_s
        ]
        return scaling.count_servers(
            self.state.directory.usable(service), leaving
        )

    async def _order(
        self,
        key: order_history.OrderKey,
        count: int,
        planner: scaling.Planner,
        known: order_history.Knowledge,
        present: dict[str, scaling.ZoneServers],
        make_token: Callable[[], ports.FencingToken | None],
    ) -> None:
        service, zone, reclaimable = key
        now_s = asyncio.get_running_loop().time()
        zone_servers = present.get(zone, scaling.ZoneServers())
        standing = zone_servers.standing(reclaimable, planner.scaling.maximum)
        note = self.state.rollouts.latest(service, now_s)
        if note is not None and not notes.read_phase(note).is_final:
            ordered = self._history.ordered(key)
            count = max(count, ordered or standing.present)
        if not self._history.is_due(key, count, standing, known, now_s):
            return
        fencing_token = make_token()
        if fencing_token is None:
            return
        reason = planner.explain(standing, now_s)
        outcome = await self.cloud.order_servers(
            service, zone, count, reclaimable, fencing_token
        )
        self.state.log.write(
            events.ServersOrdered(
                service=service,
                zone=zone,
                count=count,
                reclaimable=reclaimable,
                outcome=outcome.value,
                token=fencing_token.number,
                reason=reason,
            )
        )
        match outcome:
            case ports.CallOutcome.DONE:
                overdue_at_s = now_s + planner.scaling.boot_s + _REORDER_DELAY_S
                self._history.record_accepted(
                    key, count, standing, overdue_at_s
                )
                planner.record_order(zone, count, now_s, reclaimable)
                labels = {"zone": zone, "reclaimable": str(reclaimable)}
                self.state.metrics.servers_ordered.set(
                    labels | {"service": service}, count
                )
            case ports.CallOutcome.NONE_AVAILABLE:
                retry_at_s = now_s + _RETRY_DELAY_S if known.shared else None
                self._history.record_rejected(key, retry_at_s)
                planner.record_none_available(zone, now_s)
            case ports.CallOutcome.REFUSED | ports.CallOutcome.FAILED:
                self._history.record_rejected(key, now_s + _RETRY_DELAY_S)
