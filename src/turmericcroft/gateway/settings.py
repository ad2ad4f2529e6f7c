"""Settings of the gateway, read from a TOML file.

Names of fields are the tables and keys of the file. All faults of a file are
reported together.
"""

import dataclasses
import enum
import pathlib
import typing

from turmericcroft import errors
from turmericcroft import settings as common


class Duty(enum.Enum):
    """Kinds of calls to the cloud API that one daemon makes for the fleet.

    Attributes:
        USAGE: Reports of the requests of each account.
        SCALING: Orders of servers.
    """

    USAGE = "usage"
    SCALING = "scaling"


@dataclasses.dataclass(frozen=True)
class Ports:
    """Addresses to listen on.

    Attributes:
        host: IP address of this VM.
        clients: Address ("host:port") for clients.
        readiness: Address ("host:port") of the load balancer's health checks.
        readiness_path: Path of these checks.
        mesh: Port for other daemons, on this VM's IP address.
        metrics: Port of the metrics, on this VM's IP address.
        tunnels: Port for daemons that reach no server, on this VM's IP
            address; 0 for none.
        link_mbps: Bandwidth of the VM's link; 0 if unknown. The daemon with
            the highest bandwidth becomes the relay of its zone.
        memory_mb: Memory of the VM in 10^6 bytes; 0 if unknown.
    """

    host: str
    clients: str
    readiness: str
    readiness_path: str
    mesh: int
    metrics: int = 9_464
    tunnels: int = 0
    link_mbps: float = 0.0
    memory_mb: float = 0.0


@dataclasses.dataclass(frozen=True)
class Surroundings:
    """Services that the gateway uses, and how to find other daemons.

    Attributes:
        store: Address ("host:port") of the store.
        cloud: Address ("host:port") of the cloud API; empty if there is none.
        seeds: Addresses ("host:port") of a few daemons, which are asked for
            the other members at the start, in case the store is unavailable.
            They are called on this daemon's own mesh port.
        duties: Duties that the lease holder carries out.
    """

    store: str
    cloud: str = ""
    seeds: tuple[str, ...] = ()
    duties: tuple[Duty, ...] = ()


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits and times that the deployment states.

    Attributes:
        drain_ms: Time that a leaving server continues after its announcement.
        grace_s: Time from the stop signal until the process is killed.
        retry_ratio: Retries allowed per request to a service.
        retry_window_s: Window of the retry budget.
        retry_allowance: Retries allowed in a window besides these, by all
            daemons together.
        quota_tolerance: Units by which the fleet may exceed a quota.
        lease_ms: Duration of the lease on the duties.
        usage_window_s: Length of a window of usage reports.
        usage_delay_s: Time after a window's end until its report is due.
        exposure_share: Part of the requests that a bad version may get.
        exposure_tolerance: Requests that it may get besides these.
        rollback_timeout_ms: Longest time from its 50th bad answer to its last.
        propagation_ms: Time after which a new declaration must be in force.
    """

    drain_ms: float = 2_000
    grace_s: float = 8
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_allowance: float = 50
    quota_tolerance: float = 0
    lease_ms: float = 3_000
    usage_window_s: float = 5
    usage_delay_s: float = 10
    exposure_share: float = 0.1
    exposure_tolerance: float = 50
    rollback_timeout_ms: float = 5_000
    propagation_ms: float = 2_000


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of one gateway daemon.

    Attributes:
        mesh_secret: Secret that daemons present to each other.
        first_start: Whether no daemon has run on this VM before; then there is
            no earlier lease to wait for, and no prefix to recover from engines.
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
        errors.SettingsError: The file is missing or invalid; lists all faults.
    """
    return parse(common.read(path))


def parse(text: str) -> Settings:
    """Parses and checks the text of a settings file.

    Raises:
        errors.SettingsError: The text is invalid; lists all faults.
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
    if not 0 <= parsed.ports.tunnels <= common.MAX_PORT:
        yield errors.Fault(
            "ports.tunnels",
            f"0 to {common.MAX_PORT}",
            str(parsed.ports.tunnels),
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
    numbers = {
        f"bounds.{name}": value for name, value in vars(parsed.bounds).items()
    }
    numbers["ports.memory_mb"] = parsed.ports.memory_mb
    for place, value in numbers.items():
        if not 0 <= value < float("inf"):
            yield errors.Fault(place, "0 or more", str(value))
    yield from _check_texts(parsed)


def _check_texts(parsed: Settings) -> typing.Iterator[errors.Fault]:
    texts = {
        "daemon.name": parsed.daemon.name,
        # Whoever states no secret would be another daemon.
        "mesh_secret": parsed.mesh_secret,
    }
    for place, text in texts.items():
        if not text:
            yield errors.Fault(place, "a non-empty text", "an empty one")
