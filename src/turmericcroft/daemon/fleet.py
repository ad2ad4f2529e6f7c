"""Task that polls the VM list for servers that join or leave."""

import asyncio

import logbook

from turmericcroft import errors
from turmericcroft import settings
from turmericcroft.clients import vmlist
from turmericcroft.daemon import board as boards
from turmericcroft.routing import fleet
from turmericcroft.timeline import event
from turmericcroft.timeline import recorder

_LOG = logbook.Logger("fleet")
LEAVING_RETENTION_S = 60.0
REFUSED_RETENTION_S = 5.0


class FleetTask:
    """Polls the VM list and publishes the servers that take new work.

    A server is removed as soon as the list shows it leaving or a connection to
    it is refused, because the list may lag behind. A refused connection may
    also mean a full queue at the server, so it removes the server for
    ``REFUSED_RETENTION_S`` only; the removal is permanent once the list drops
    the VM or shows another boot.
    """

    def __init__(
        self,
        config: settings.Settings,
        board: boards.Board,
        timeline: recorder.Recorder,
    ) -> None:
        self.settings = config
        self.board = board
        self.timeline = timeline
        self.client = vmlist.VmList(
            config.platform.vm_list_url, config.platform.key_value_timeout_s
        )
        self.failures = 0
        self._listed: tuple[vmlist.Vm, ...] = ()
        self._leaving_until_s: dict[str, float] = {}
        self._removed_boots_at_s: dict[str, float] = {}

    async def run(self) -> None:
        """Polls until cancelled."""
        try:
            while True:
                await self.refresh()
                await asyncio.sleep(self.settings.platform.vm_list_interval_s)
        finally:
            await self.client.close()

    async def refresh(self) -> None:
        """Polls once; if the poll fails, the previous list stays in use."""
        try:
            self._listed = await self.client.fetch()
        except errors.PlatformError as error:
            self.failures += 1
            _LOG.warning("reading the VM list failed", error=str(error))
            return
        self._publish()

    def remove_server(self, server: fleet.Server, reason: str) -> None:
        """Removes a server at once, before the VM list shows that it left."""
        if server.boot_id in self._removed_boots_at_s:
            return
        now_s = asyncio.get_running_loop().time()
        self._removed_boots_at_s[server.boot_id] = now_s
        self.timeline.record(
            event.ServerChanged(server.name, server.availability_zone, reason)
        )
        self._publish()

    def _publish(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._removed_boots_at_s = {
            boot_id: at_s
            for boot_id, at_s in self._removed_boots_at_s.items()
            if now_s - at_s < REFUSED_RETENTION_S
        }
        usable = [vm for vm in self._listed if self._takes_work(vm)]
        leaving = self._leaving_names(now_s)
        servers = tuple(_to_server(vm) for vm in usable)
        self._record_changes({s.name: s for s in servers}, leaving)
        if {s.name: s for s in servers} != dict(self.board.fleet.servers):
            self._replace_fleet(servers)
        self.board.leaving = frozenset(leaving)

    def _leaving_names(self, now_s: float) -> set[str]:
        """Returns the names of the servers whose reclaim was announced.

        A name is kept for ``LEAVING_RETENTION_S``, because the list may drop a
        VM before its connections are found lost, and a server whose reclaim
        was announced must not count as crashed.
        """
        for vm in self._listed:
            if vm.state is vmlist.VmState.LEAVING:
                self._leaving_until_s[vm.name] = now_s + LEAVING_RETENTION_S
            else:
                self._leaving_until_s.pop(vm.name, None)
        self._leaving_until_s = {
            name: until_s
            for name, until_s in self._leaving_until_s.items()
            if until_s > now_s
        }
        return set(self._leaving_until_s)

    def _takes_work(self, vm: vmlist.Vm) -> bool:
        if vm.state is vmlist.VmState.LEAVING:
            return False
        return vm.boot_id not in self._removed_boots_at_s

    def _replace_fleet(self, servers: tuple[fleet.Server, ...]) -> None:
        names = {server.name for server in servers}
        for load in (self.board.load, self.board.service_load):
            for name in set(load.servers) - names:
                load.remove(name)
        for server in servers:
            self.board.load_of(server).add(server.name, server.slots)
        self.board.fleet = fleet.build(servers, self.board.fleet)

    def _record_changes(
        self, servers: dict[str, fleet.Server], leaving: set[str]
    ) -> None:
        before = self.board.fleet.servers
        for name in sorted(set(servers) - set(before)):
            zone = servers[name].availability_zone
            self.timeline.record(event.ServerChanged(name, zone, "listed"))
        for name in sorted(set(before) - set(servers)):
            zone = before[name].availability_zone
            change = "leaving" if name in leaving else "unlisted"
            self.timeline.record(event.ServerChanged(name, zone, change))


def _to_server(vm: vmlist.Vm) -> fleet.Server:
    return fleet.Server(
        name=vm.name,
        availability_zone=vm.availability_zone,
        url=vm.url,
        public_names=vm.runs,
        is_model=vm.role is vmlist.VmRole.MODEL,
        slots=vm.slots,
        price_per_h=vm.price_per_h,
        boot_id=vm.boot_id,
    )
