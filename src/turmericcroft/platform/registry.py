"""Decodes the entries that backend servers write to the store."""

import typing

import msgspec

from turmericcroft.fleet import directory
from turmericcroft.fleet import part_reader as parts

KEY_PREFIX = "servers/"


class _Entry(parts.Part, frozen=True):
    service: str
    address: str
    zone: str
    version: str
    state: typing.Literal["ready", "draining"]
    slots: parts.PositiveCount
    sequence: int
    born: int = 0
    spot_instances: bool = False
    leaves_ms: float | msgspec.UnsetType = msgspec.field(
        default=msgspec.UNSET, name="leaves_ms"
    )


def decode(name: str, value: bytes) -> directory.Server | None:
    """Decodes one entry.

    Args:
        name: Name of the server, from the key.
        value: The entry's JSON.

    Returns:
        The server; None if the entry is malformed or in another format.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
    except (msgspec.MsgspecError, RecursionError):
        return None
    host, _, port = entry.address.rpartition(":")
    if not host or not port.isdigit():
        return None
    leaves_ms = entry.leaves_ms
    leaves_in_s = None if leaves_ms is msgspec.UNSET else leaves_ms / 1000
    return directory.Server(
        name=name,
        service=entry.service,
        host=host,
        port=int(port),
        availability_zone=entry.zone,
        slots=entry.slots,
        reclaimable=entry.spot_instances,
        draining=entry.state == "draining",
        leaves_in_s=leaves_in_s,
        started_at_ms=entry.born,
        software_version=entry.version,
        sequence=entry.sequence,
    )
