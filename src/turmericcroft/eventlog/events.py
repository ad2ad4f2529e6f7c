"""Log events: each states a decision and the inputs that it was based on.

A class is the kind of a log line and its fields are the line's fields; the log
reader parses lines into the same classes. The names are therefore part of the
log's format. No line holds an API key or a prompt. Ages and durations are in
seconds.
"""

import dataclasses
import enum


class LinePriority(enum.Enum):
    """Priority of a line when the log's rate limit drops lines.

    Attributes:
        ROUTINE: A request that proceeds normally; dropped first.
        FAILURE: A refused, failed or cancelled request, a failed attempt, a
            bad answer of a rollout, a stream that a client takes up, or a
            migration.
        STATE: A change of the daemon's state or local view; dropped last.
    """

    ROUTINE = "routine"
    FAILURE = "failure"
    STATE = "state"


@dataclasses.dataclass(frozen=True)
class RequestReceived:
    """A client's request was admitted.

    Attributes:
        resumes: Id of the request whose stream it takes up; empty without one.
        keyless: Why it needs no API key; empty if its key is the account's.
    """

    request_id: str
    route: str
    account: str
    declaration: int
    deadline_s: float
    waited_s: float
    resumes: str = ""
    keyless: str = ""


@dataclasses.dataclass(frozen=True)
class RequestRefused:
    """The gateway answered a request that no server had executed."""

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
class StreamTakenUp:
    """A client takes up a stream that broke off, maybe at another daemon.

    Attributes:
        resumes: Id of the request that began the stream; empty if not stated.
        version: Version of the software that began it; empty if not known.
        source: How the version is known: "record", or "sole version" of the
            service; "unknown" or "route changed" if the request is refused.
        versions_seen: Versions of the service that were seen recently.
        fleet_age_s: Age of the local view of the fleet.
        reason: Why the version is not known; empty if it is.
        complete_for_s: Time before now in which the daemon has missed no
            change of the servers.
        view_position: Position of the store up to which it has missed none.
        took_s: Time that it took to find out.
    """

    request_id: str
    resumes: str
    service: str
    version: str
    source: str
    versions_seen: tuple[str, ...]
    fleet_age_s: float
    reason: str = ""
    complete_for_s: float = 0.0
    view_position: str = ""
    took_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class RequestSent:
    """An attempt began: a request was sent to a backend server.

    Attributes:
        predicted_s: Predicted time to the first event at this server.
        unread_tokens: Tokens of the prompt that the server must prefill.
        runs_there: Requests in flight at the server.
        unread_there: Prompt tokens not prefilled yet at the server.
        fleet_age_s: Age of the local view of the fleet.
        memory_source: Where the server fetches a migrated KV cache from.
        fetch_from: Where the server fetches a cached prompt prefix from.
        version: Version of the server's software.
        relayed_by: The daemon that the connection leads through; empty if it
            is direct.
        late_share: Probability that the first event is late, if the service's
            VMs are shared.
        load_age_s: Age of what is known of the server's load then.
        connection: Number of the connection in the daemon's process.
        connection_uses: Requests sent on it so far, with this one.
    """

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
    version: str = ""
    relayed_by: str = ""
    late_share: float = 0.0
    load_age_s: float = 0.0
    connection: int = 0
    connection_uses: int = 0


@dataclasses.dataclass(frozen=True)
class AnswerDiscarded:
    """An answer came that belongs to another request than the open one.

    Attributes:
        request_id: Id of the open request.
        answered_id: Id that the answer states; empty if it states none.
        connection: Number of the connection in the daemon's process.
        connection_uses: Requests sent on it so far.
    """

    request_id: str
    server: str
    answered_id: str
    status: int
    connection: int
    connection_uses: int


@dataclasses.dataclass(frozen=True)
class ProvedNotRun:
    """A server stated that it did not execute a request, or was unreachable.

    Attributes:
        status: HTTP status; 0 if the server was unreachable.
    """

    request_id: str
    server: str
    status: int
    reason: str
    after_s: float


@dataclasses.dataclass(frozen=True)
class AnswerLost:
    """A server may have executed a request but gave no complete answer.

    Attributes:
        began: Whether the answer had begun.
        events: Number of events relayed to the client before the loss.
    """

    request_id: str
    server: str
    cause: str
    began: bool
    events: int
    after_s: float


@dataclasses.dataclass(frozen=True)
class RunMoved:
    """The KV cache of an execution was migrated from a leaving server.

    Attributes:
        outcome: Result of the migration, which may have failed.
    """

    request_id: str
    source: str
    target: str
    outcome: str
    events: int
    took_s: float


@dataclasses.dataclass(frozen=True)
class RequestAnswered:
    """A request was answered completely.

    Attributes:
        events: Events of a stream that were forwarded.
        position: Position of the stream's last event; 0 without a stream.
        ended_at_close: Whether the response had no length or chunks, so that
            the server ended it by closing the connection.
    """

    request_id: str
    status: int
    server: str
    sends: int
    first_event_s: float
    total_s: float
    events: int
    position: int = 0
    ended_at_close: bool = False


@dataclasses.dataclass(frozen=True)
class EndChecked:
    """It was checked whether a response that its server closed is complete.

    Streams are not checked, as their server's answer is no proof of the end.

    Attributes:
        cause: Why its end is not proved; empty if it is.
        leaving: Whether the server leaves.
    """

    request_id: str
    server: str
    complete: bool
    cause: str
    leaving: bool
    took_s: float


@dataclasses.dataclass(frozen=True)
class RequestFailed:
    """A request that may have been executed ended without a complete answer."""

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
    """The client disconnected before the end of the answer."""

    request_id: str
    server: str
    sends: int
    events: int
    after_s: float


@dataclasses.dataclass(frozen=True)
class ServerChanged:
    """The state of a server changed.

    `reclaimable` and `kind_left` tell a reclaim from a planned stop: a reclaim
    takes all reclaimable servers of a zone at once, so a server that leaves
    while others of its kind stay there was stopped as planned.

    Attributes:
        reborn: Whether the server restarted.
        kind_left: Servers of its service and kind, reclaimable or not, that
            still accept new requests in its zone.
        version: Version of its software.
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
    version: str = ""


@dataclasses.dataclass(frozen=True)
class ServerEjected:
    """A server failed too often and gets no new requests for a while."""

    server: str
    service: str
    cause: str
    failures: int
    pause_s: float


@dataclasses.dataclass(frozen=True)
class ServerLetBack:
    """A server was readmitted after its ejection."""

    server: str
    failures: int


@dataclasses.dataclass(frozen=True)
class ServerPaused:
    """A full server asked to be sent nothing for a while.

    Attributes:
        stated_s: Time that it stated.
        pause_s: Time for which this daemon sends it nothing.
    """

    server: str
    service: str
    stated_s: float
    pause_s: float


@dataclasses.dataclass(frozen=True)
class ServerLimited:
    """A server stated another limit of requests per second than before.

    Attributes:
        limit_per_s: The limit for all daemons together; None if it ended.
        source: Where this daemon learned it: "answer", or another daemon.
    """

    server: str
    service: str
    limit_per_s: float | None
    source: str


@dataclasses.dataclass(frozen=True)
class ServiceBrittle:
    """The servers of a service state that they may turn few requests away.

    Attributes:
        source: Where this daemon learned it: "answer", or another daemon.
    """

    service: str
    source: str


@dataclasses.dataclass(frozen=True)
class PathsChanged:
    """This daemon lost its paths to a service's servers, or has one again.

    Attributes:
        isolated: Whether no server of the service is reached.
        trigger: Why the paths were tried.
        reached: Servers that were reached.
        missed: Servers that were not.
    """

    service: str
    isolated: bool
    trigger: str
    reached: tuple[str, ...]
    missed: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class DeclarationInForce:
    """Another version of the declaration came into force.

    Attributes:
        accounts: Number of accounts whose API keys are accepted.
        requires_api_keys: Whether accounts are declared, be it none, so that
            requests need an API key unless their route is anonymous.
        faults: Number of parts that are left out, each for its fault.
        first_faults: The first of these faults.
    """

    version: int
    before: int
    revision: int
    source: str
    routes: int
    accounts: int
    requires_api_keys: bool = True
    faults: int = 0
    first_faults: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class DeclarationRejected:
    """A version of the declaration can't be used; the one before holds.

    Attributes:
        in_force: Version that stays in force; 0 if there is none.
        faults: Number of faults found.
        first_faults: Some of them; the version is rejected for the first.
    """

    in_force: int
    revision: int
    source: str
    faults: int
    first_faults: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class DependencyLost:
    """A dependency stopped answering.

    Attributes:
        last_good_age_s: Age of the last data received from it.
    """

    dependency: str
    cause: str
    last_good_age_s: float


@dataclasses.dataclass(frozen=True)
class DependencyRegained:
    """A dependency answers again.

    Attributes:
        away_s: Duration of the outage.
    """

    dependency: str
    away_s: float


@dataclasses.dataclass(frozen=True)
class StoreRestored:
    """The store continues from an older copy, in another era.

    Attributes:
        era: Its era.
        before: Era of the local view until now.
        revision: Revision that the store states.
        revision_before: Revision of the local view until now.
        servers_missing: Known servers that the copy lacks.
    """

    era: int
    before: int
    revision: int
    revision_before: int
    source: str
    servers_missing: int


@dataclasses.dataclass(frozen=True)
class MemberChanged:
    """A daemon was discovered, stopped responding, or shut down.

    Attributes:
        silent_s: Time since its last message.
    """

    member: str
    zone: str
    change: str
    silent_s: float


@dataclasses.dataclass(frozen=True)
class DutyChanged:
    """This daemon acquired or lost the lease of the duties.

    Attributes:
        token: Fencing token of the lease.
    """

    change: str
    token: int
    cause: str


@dataclasses.dataclass(frozen=True)
class UsageReported:
    """The usage of a time window was reported."""

    window: int
    outcome: str
    token: int
    requests: int
    members_missing: int


@dataclasses.dataclass(frozen=True)
class ServersOrdered:
    """Servers were ordered from the cloud API."""

    service: str
    zone: str
    count: int
    reclaimable: bool
    outcome: str
    token: int
    reason: str


@dataclasses.dataclass(frozen=True)
class EngineSpeedLearned:
    """Streams showed that a service's engines have another speed.

    Attributes:
        samples: Number of samples of this daemon so far.
    """

    service: str
    prefill_tokens_per_s: float
    step_s: float
    samples: int


@dataclasses.dataclass(frozen=True)
class HeadsRecalled:
    """A starting daemon asked a daemon or a server for cached prefixes.

    Attributes:
        source: Name of that daemon or server.
        heads: Number of cached prefixes received.
    """

    source: str
    heads: int
    outcome: str


@dataclasses.dataclass(frozen=True)
class ServerCrashed:
    """A server ended while this daemon's requests were on it.

    Attributes:
        announced: Whether the server was leaving; then nobody is suspected.
        requests: Ids of the requests whose responses were lost.
        suspects: Traits of those that the server was about to answer.
        crashes: Most crashes of one suspect, over all daemons.
    """

    server: str
    service: str
    announced: bool
    requests: tuple[str, ...]
    suspects: tuple[str, ...]
    crashes: int


@dataclasses.dataclass(frozen=True)
class RequestQuarantined:
    """Requests that have these traits crashed servers and are now refused.

    Attributes:
        fingerprint: Identifies the traits.
    """

    fingerprint: str
    crashes: int
    traits: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class QuarantineEnded:
    """Requests that were quarantined are no longer refused."""

    fingerprint: str


@dataclasses.dataclass(frozen=True)
class RolloutOrdered:
    """An order to move a service to a software version was first seen.

    Attributes:
        target: The software version.
        duration_s: Time within which the rollout must end.
        era: Era of the store of the order's position.
        revision: Revision of the order's position.
        replaced: Software versions that the service has.
        change: "ordered", "replaced" if it replaces another order, or
            "continued" if it is one of an earlier era.
        servers: Usable servers of the target version.
    """

    service: str
    target: str
    duration_s: float
    era: int
    revision: int
    replaced: tuple[str, ...]
    change: str
    servers: int


@dataclasses.dataclass(frozen=True)
class RolloutAdvanced:
    """The holder of the duties changed the phase or the share of a rollout.

    Attributes:
        share: Part of the requests that the target version gets from now on.
        token: Fencing number of the holder.
        age_s: Time since the order.
        seen: Requests to the service since the order, of all daemons.
        sent: Those of them that went to the target version.
        answered: Its answers.
        bad: Its bad answers.
        ready_slots: Slots of its usable servers.
        old_in_flight: Requests in flight on the replaced versions.
        left_s: Time until the deadline.
        daemons: Daemons of the fleet, whose counts were added up.
        present_test: Counts of each route in the present test, worst first.
        all_counts: Counts of each route since the order, worst first.
    """

    service: str
    target: str
    before: str
    phase: str
    share: float
    reason: str
    token: int
    age_s: float
    seen: float
    sent: float
    answered: float
    bad: float
    ready_slots: int
    old_in_flight: int
    left_s: float = 0.0
    daemons: int = 0
    present_test: tuple[str, ...] = ()
    all_counts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class RolloutAnswerBad:
    """This daemon counted an answer during a rollout as bad.

    Attributes:
        cause: "failed", "late" while it is awaited, "slow", or "slow events".
        took_s: Time since the request was sent.
        limit_s: Time after which it is slow.
    """

    request_id: str
    service: str
    route: str
    server: str
    version: str
    cause: str
    took_s: float
    limit_s: float


@dataclasses.dataclass(frozen=True)
class RolloutEnded:
    """The status of a rollout that ended was written to the store.

    Attributes:
        state: Final phase.
        token: Fencing number of the holder that wrote it.
        age_s: Time since the order.
        duration_s: Time within which it had to end.
    """

    service: str
    target: str
    state: str
    reason: str
    token: int
    age_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True)
class RolloutHeld:
    """This daemon began or ceased to hold requests back from a version.

    Attributes:
        held: Whether it sends none to the target version from now on.
        note_age_s: Age of the decision that it knows.
    """

    service: str
    target: str
    held: bool
    reason: str
    note_age_s: float


@dataclasses.dataclass(frozen=True)
class ProcessChanged:
    """The process started, stopped, or received a reload signal."""

    change: str
    detail: str


@dataclasses.dataclass(frozen=True)
class LinesLeftOut:
    """Lines of a kind were dropped to limit the log's volume."""

    kind: str
    count: int


Event = (
    RequestReceived
    | RequestRefused
    | StreamTakenUp
    | RequestSent
    | ProvedNotRun
    | AnswerDiscarded
    | AnswerLost
    | RunMoved
    | RequestAnswered
    | EndChecked
    | RequestFailed
    | RequestCancelled
    | ServerChanged
    | ServerEjected
    | ServerLetBack
    | ServerPaused
    | ServerLimited
    | ServiceBrittle
    | PathsChanged
    | DeclarationInForce
    | DeclarationRejected
    | DependencyLost
    | DependencyRegained
    | StoreRestored
    | MemberChanged
    | DutyChanged
    | UsageReported
    | ServersOrdered
    | EngineSpeedLearned
    | HeadsRecalled
    | ServerCrashed
    | RequestQuarantined
    | QuarantineEnded
    | RolloutOrdered
    | RolloutAdvanced
    | RolloutAnswerBad
    | RolloutEnded
    | RolloutHeld
    | ProcessChanged
    | LinesLeftOut
)

_ROUTINE = (RequestReceived, RequestSent, RequestAnswered)
_FAILURE = (
    RequestRefused,
    StreamTakenUp,
    ProvedNotRun,
    AnswerDiscarded,
    AnswerLost,
    RunMoved,
    RequestFailed,
    RequestCancelled,
    RolloutAnswerBad,
    ServerCrashed,
)


def line_priority(event: Event) -> LinePriority:
    """Returns the priority of an event's line."""
    if isinstance(event, _ROUTINE):
        return LinePriority.ROUTINE
    if isinstance(event, _FAILURE):
        return LinePriority.FAILURE
    return LinePriority.STATE
