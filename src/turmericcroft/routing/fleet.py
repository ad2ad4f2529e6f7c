"""Snapshots of the backend servers on the VM list that accept new requests."""

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
        availability_zone: Availability zone of its VM.
        url: Base URL.
        public_names: Public names of the models or services that it runs.
        is_model: Whether it is a model engine.
        slots: Requests that it batches at once.
        price_per_h: Price per hour.
        boot_id: Identifier that changes when the VM is replaced under the same
            name.
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
    """A snapshot of the servers that accept new requests.

    Attributes:
        servers: Servers by name.
        rings: Hash rings by public name, then by availability zone.
    """

    servers: Mapping[str, Server]
    rings: Mapping[str, Mapping[str, ring.Ring]]


def build(servers: Iterable[Server], previous: "Fleet | None" = None) -> Fleet:
    """Builds a snapshot with the hash rings of the servers.

    Args:
        servers: The servers.
        previous: Older snapshot. Rings whose servers did not change are reused
            from it, since building one takes milliseconds.
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
