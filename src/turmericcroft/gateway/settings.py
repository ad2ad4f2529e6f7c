"""Settings of the gateway, read from a TOML file and checked as a whole."""

import dataclasses
import enum
import pathlib
import typing

from turmericcroft import errors
from turmericcroft import settings as common


class Duty(enum.Enum):
    """Calls to the cloud API that one daemon makes for all."""

    USAGE = "usage"
    SCALING = "scaling"


@dataclasses.dataclass(frozen=True)
class Ports:
    """Addresses to listen on.

    Attributes:
        host: IP address of this VM.
        clients: Address ("host:port") for clients.
        readiness: Address that the balancer asks.
        readiness_path: Path that it asks for.
        mesh: Port for other daemons, on this VM's IP address.
        metrics: Port of the metrics, on this VM's IP address.
        link_mbps: Bandwidth of the VM's link; 0 if unknown. News of a zone is
            gathered where it is highest.
    """

    host: str
    clients: str
    readiness: str
    readiness_path: str
    mesh: int
    metrics: int = 9_464
    link_mbps: float = 0.0


@dataclasses.dataclass(frozen=True)
class Surroundings:
    """Services that the gateway uses, and how to find other daemons.

    Attributes:
        store: Address of the store.
        cloud: Address of the cloud API; empty if there is none.
        seeds: Addresses of a few daemons, asked while the store is away.
        duties: Calls that one daemon makes for all.
    """

    store: str
    cloud: str = ""
    seeds: tuple[str, ...] = ()
    duties: tuple[Duty, ...] = ()


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What the deployment promises and expects; times in ms or seconds."""

    drain_ms: float = 2_000
    grace_s: float = 8
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_allowance: float = 50
    quota_tolerance: float = 0
    lease_ms: float = 3_000
    usage_window_s: float = 5
    usage_delay_s: float = 10


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of one gateway daemon.

    Attributes:
        mesh_secret: What daemons show each other.
        first_start: Whether no daemon has run here before.
    """

    daemon: common.Identity
    ports: Ports
    surroundings: Surroundings
    bounds: Bounds = Bounds()
    mesh_secret: str = "turmericcroft"
    first_start: bool = False
    log_level: str = "INFO"


def load(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        errors.SettingsError: The file is missing or faulty; all faults are
            listed.
    """
    return parse(common.read(path))


def parse(text: str) -> Settings:
    """Checks the text of a settings file.

    Raises:
        errors.SettingsError: All faults found.
    """
    parsed = common.structure(text, Settings)
    faults = list(_check(parsed))
    if faults:
        raise errors.SettingsError("settings", faults)
    return parsed


def _check(parsed: Settings) -> typing.Iterator[errors.Fault]:
    for name in ("mesh", "metrics"):
        port = getattr(parsed.ports, name)
        if not 0 < port <= common.MAX_PORT:
            yield errors.Fault(
                f"ports.{name}", f"1 to {common.MAX_PORT}", str(port)
            )
    addresses = {
        "ports.clients": parsed.ports.clients,
        "ports.readiness": parsed.ports.readiness,
        "surroundings.store": parsed.surroundings.store,
    }
    if parsed.surroundings.cloud:
        addresses["surroundings.cloud"] = parsed.surroundings.cloud
    for place, address in addresses.items():
        if not address.rpartition(":")[2].isdigit():
            yield errors.Fault(place, "host:port", repr(address))
    for field in dataclasses.fields(Bounds):
        value = getattr(parsed.bounds, field.name)
        if value < 0:
            yield errors.Fault(f"bounds.{field.name}", "0 or more", str(value))
    if not parsed.daemon.name:
        yield errors.Fault("daemon.name", "a non-empty text", "an empty one")
