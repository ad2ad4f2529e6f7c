"""Typed events of the time line. None holds prompts or answers."""

import dataclasses

from turmericcroft.timeline import clock


@dataclasses.dataclass(frozen=True)
class RequestChanged:
    """A request moved to another state of its chart."""

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
    """The ledger recorded a step of a call that must not be repeated."""

    request_id: str
    account: str
    shard: int
    step: str


@dataclasses.dataclass(frozen=True)
class ConfigurationInForce:
    """A configuration number came into force on this daemon."""

    number: int
    source: str


@dataclasses.dataclass(frozen=True)
class ServerChanged:
    """A backend server came, started to leave, or went."""

    server: str
    availability_zone: str
    change: str


@dataclasses.dataclass(frozen=True)
class MemberChanged:
    """A daemon came, stopped answering, or left."""

    member: str
    change: str


@dataclasses.dataclass(frozen=True)
class DaemonChanged:
    """This daemon started, became ready or began to stop."""

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
    """An event with its time and place."""

    stamp: clock.Stamp
    daemon: str
    event: Event
