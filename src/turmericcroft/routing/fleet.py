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
        public_names: Public names of what it runs.
        is_model: Whether it is a model engine.
        slots: Requests that it batches at once.
        price_per_h: Price for an hour.
        boot_id: Changes when the VM is replaced under the same name.
    """

    name: str
    availability_zone: str
    url: str
    public_names: tuple[str, ...]
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


def build(servers: Iterable[Server], previous: "Fleet | None" = None) -> Fleet:
    """Builds the rings of a set of servers.

    Args:
        servers: The servers.
        previous: An older snapshot; a ring whose servers did not change is
            taken from it, since a new one costs milliseconds.
    """
    by_name = {server.name: server for server in servers}
    groups: dict[str, dict[str, list[str]]] = {}
    for server in by_name.values():
        for public_name in server.public_names:
            zones = groups.setdefault(public_name, {})
            zones.setdefault(server.availability_zone, []).append(server.name)
    old = {} if previous is None else previous.rings
    rings = {
        public_name: types.MappingProxyType(
            {
                zone: _ring(names, old.get(public_name, {}).get(zone))
                for zone, names in zones.items()
            }
        )
        for public_name, zones in groups.items()
    }
    return Fleet(types.MappingProxyType(by_name), types.MappingProxyType(rings))


def _ring(names: list[str], old: ring.Ring | None) -> ring.Ring:
    if old is not None and old.servers == frozenset(names):
        return old
    return ring.build(names)


EMPTY = build(())
