"""The backend servers that daemons may choose from, as of the VM list."""

import dataclasses
import types
from collections.abc import Iterable
from collections.abc import Mapping

from turmericcroft.routing import ring


@dataclasses.dataclass(frozen=True)
class Server:
    """One backend server.

    Attributes:
        name: Unique name.
        availability_zone: Where it is.
        url: Base URL.
        runs: Public names of what it runs.
        is_model: Whether it is a model engine.
        slots: Requests that it batches at once.
        price_per_h: Price for an hour.
        boot_id: Changes when the VM is replaced under the same name.
    """

    name: str
    availability_zone: str
    url: str
    runs: tuple[str, ...]
    is_model: bool
    slots: int
    price_per_h: float
    boot_id: str


@dataclasses.dataclass(frozen=True)
class Fleet:
    """A snapshot of the servers that take new work.

    Attributes:
        servers: Servers by name.
        rings: Rings by public name, then by availability zone.
    """

    servers: Mapping[str, Server]
    rings: Mapping[str, Mapping[str, ring.Ring]]

    def without(self, names: Iterable[str]) -> "Fleet":
        """Makes a snapshot that lacks some servers."""
        gone = set(names)
        return build(
            server
            for server in self.servers.values()
            if server.name not in gone
        )


def build(servers: Iterable[Server]) -> Fleet:
    """Builds the rings of a set of servers."""
    by_name = {server.name: server for server in servers}
    groups: dict[str, dict[str, list[str]]] = {}
    for server in by_name.values():
        for public_name in server.runs:
            zones = groups.setdefault(public_name, {})
            zones.setdefault(server.availability_zone, []).append(server.name)
    rings = {
        public_name: types.MappingProxyType(
            {zone: ring.build(names) for zone, names in zones.items()}
        )
        for public_name, zones in groups.items()
    }
    return Fleet(types.MappingProxyType(by_name), types.MappingProxyType(rings))


EMPTY = build(())
