"""Event types of the time line. No event contains text of a prompt or answer.

Names of classes and fields are part of the JSON that operators receive.
"""

import dataclasses

from turmericcroft.timeline import clock


@dataclasses.dataclass(frozen=True)
class RequestChanged:
    """A request entered another state of its state chart."""

    request_id: str
    account: str
    state: str
    server: str
    position: int
    reason: str


@dataclasses.dataclass(frozen=True)
class RequestRefused:
    """A request was refused."""

    request_id: str
    account: str
    code: str
    ran: str


@dataclasses.dataclass(frozen=True)
class CallRecorded:
    """The ledger recorded a step of a non-idempotent call."""

    request_id: str
    account: str
    shard: int
    step: str


@dataclasses.dataclass(frozen=True)
class ConfigurationInForce:
    """A configuration took effect on this daemon."""

    number: int
    source: str


@dataclasses.dataclass(frozen=True)
class ServerChanged:
    """A backend server was listed, began to leave, or was removed."""

    server: str
    availability_zone: str
    change: str


@dataclasses.dataclass(frozen=True)
class MemberChanged:
    """A daemon was listed, or its health changed."""

    member: str
    change: str


@dataclasses.dataclass(frozen=True)
class DaemonChanged:
    """This daemon started or began to stop."""

    change: str


Event = (
    RequestChanged
    | RequestRefused
    | CallRecorded
    | ConfigurationInForce
    | ServerChanged
    | MemberChanged
    | DaemonChanged
)


@dataclasses.dataclass(frozen=True)
class Stamped:
    """An event, its timestamp and the daemon that recorded it."""

    stamp: clock.Stamp
    daemon: str
    event: Event
