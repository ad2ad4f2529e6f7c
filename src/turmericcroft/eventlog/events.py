"""Kinds of log lines, each with the inputs that decided.

The reader of the log knows the kinds from the same classes. No line holds an
API key or a prompt. Ages and durations are in seconds.
"""

import dataclasses
import enum


class Weight(enum.Enum):
    """Which lines are kept when there are too many.

    Attributes:
        ROUTINE: Left out first.
        FAILURE: Kept before routine lines.
        STATE: A change of what the process believes; kept first.
    """

    ROUTINE = "routine"
    FAILURE = "failure"
    STATE = "state"


@dataclasses.dataclass(frozen=True)
class RequestReceived:
    """A client's request was admitted."""

    request_id: str
    route: str
    account: str
    declaration: int
    deadline_s: float
    waited_s: float


@dataclasses.dataclass(frozen=True)
class RequestRefused:
    """A request was answered by the gateway without having run."""

    request_id: str
    status: int
    reason: str
    route: str
    account: str
    declaration: int
    retry_after_s: float | None
    after_s: float
    sends: int
    servers_known: int
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class RequestSent:
    """A request was sent to a server."""

    request_id: str
    server: str
    attempt: int
    predicted_s: float
    unread_tokens: int
    runs_there: int
    unread_there: int
    servers_known: int
    fleet_age_s: float
    remaining_s: float
    resume_after: int | None
    memory_source: str
    fetch_from: str


@dataclasses.dataclass(frozen=True)
class ProvedNotRun:
    """A server stated that it did not run a request, or was not reached."""

    request_id: str
    server: str
    status: int
    reason: str
    after_s: float


@dataclasses.dataclass(frozen=True)
class AnswerLost:
    """A server that may have run a request gave no whole answer."""

    request_id: str
    server: str
    cause: str
    began: bool
    events: int
    after_s: float


@dataclasses.dataclass(frozen=True)
class RunMoved:
    """A run's memory was copied from a server that leaves."""

    request_id: str
    source: str
    target: str
    outcome: str
    events: int
    took_s: float


@dataclasses.dataclass(frozen=True)
class RequestAnswered:
    """A request was answered."""

    request_id: str
    status: int
    server: str
    sends: int
    first_event_s: float
    total_s: float
    events: int


@dataclasses.dataclass(frozen=True)
class RequestFailed:
    """A request that may have run ended without its answer."""

    request_id: str
    status: int
    reason: str
    route: str
    account: str
    server: str
    sends: int
    events: int
    after_s: float
    may_run_again: bool
    retries_left: float


@dataclasses.dataclass(frozen=True)
class RequestCancelled:
    """The client left before the end."""

    request_id: str
    server: str
    sends: int
    events: int
    after_s: float


@dataclasses.dataclass(frozen=True)
class ServerChanged:
    """The standing of a server changed.

    A reclaim takes all reclaimable servers of a zone at once; one that leaves
    while others of its kind stay there leaves by plan.

    Attributes:
        kind_left: Servers of its service and kind, reclaimable or not, that
            still take new work in its zone.
    """

    server: str
    service: str
    zone: str
    before: str
    after: str
    reborn: bool
    source: str
    revision: int
    leaves_in_s: float | None
    reclaimable: bool = False
    kind_left: int = 0


@dataclasses.dataclass(frozen=True)
class ServerEjected:
    """A server failed too often and gets no new work for a while."""

    server: str
    service: str
    cause: str
    failures: int
    pause_s: float


@dataclasses.dataclass(frozen=True)
class ServerLetBack:
    """A server that was ejected gets new work again."""

    server: str
    failures: int


@dataclasses.dataclass(frozen=True)
class DeclarationInForce:
    """Another version of the declaration is in force."""

    version: int
    before: int
    revision: int
    source: str
    routes: int
    accounts: int


@dataclasses.dataclass(frozen=True)
class DependencyLost:
    """A dependency does not answer."""

    dependency: str
    cause: str
    last_good_age_s: float


@dataclasses.dataclass(frozen=True)
class DependencyRegained:
    """A dependency answers again."""

    dependency: str
    away_s: float


@dataclasses.dataclass(frozen=True)
class MemberChanged:
    """A daemon was heard of, fell silent, or stopped."""

    member: str
    zone: str
    change: str
    silent_s: float


@dataclasses.dataclass(frozen=True)
class DutyChanged:
    """The lease of the duties was gained or lost."""

    change: str
    token: int
    cause: str


@dataclasses.dataclass(frozen=True)
class UsageReported:
    """A usage window was reported."""

    window: int
    outcome: str
    token: int
    requests: int
    members_missing: int


@dataclasses.dataclass(frozen=True)
class ServersOrdered:
    """Servers were ordered."""

    service: str
    zone: str
    count: int
    reclaimable: bool
    outcome: str
    token: int
    reason: str


@dataclasses.dataclass(frozen=True)
class HeadsRecalled:
    """A daemon that started learned what the servers hold."""

    source: str
    heads: int
    outcome: str


@dataclasses.dataclass(frozen=True)
class RequestQuarantined:
    """A request that crashes servers is refused from now on."""

    fingerprint: str
    crashes: int


@dataclasses.dataclass(frozen=True)
class ProcessChanged:
    """The process started, reloads, or stops."""

    change: str
    detail: str


@dataclasses.dataclass(frozen=True)
class LinesLeftOut:
    """Lines of a kind that were left out to bound the volume."""

    kind: str
    count: int


Event = (
    RequestReceived
    | RequestRefused
    | RequestSent
    | ProvedNotRun
    | AnswerLost
    | RunMoved
    | RequestAnswered
    | RequestFailed
    | RequestCancelled
    | ServerChanged
    | ServerEjected
    | ServerLetBack
    | DeclarationInForce
    | DependencyLost
    | DependencyRegained
    | MemberChanged
    | DutyChanged
    | UsageReported
    | ServersOrdered
    | HeadsRecalled
    | RequestQuarantined
    | ProcessChanged
    | LinesLeftOut
)

_ROUTINE = (RequestReceived, RequestSent, RequestAnswered)
_FAILURE = (
    RequestRefused,
    ProvedNotRun,
    AnswerLost,
    RunMoved,
    RequestFailed,
    RequestCancelled,
)


def weight(event: Event) -> Weight:
    """Tells how long a line is kept when there are too many."""
    if isinstance(event, _ROUTINE):
        return Weight.ROUTINE
    if isinstance(event, _FAILURE):
        return Weight.FAILURE
    return Weight.STATE
