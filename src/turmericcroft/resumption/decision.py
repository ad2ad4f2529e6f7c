"""Decides where a stream goes on that a client takes up.

Load pattern: hundreds of clients return at once, at daemons that didn't begin
their streams, while servers of another software version join. What two services
or versions write doesn't fit together, so that a client is refused if it can't
be known what began its stream; and at once, because another daemon may know it.

A stream is known by its record. Without one, a service that had a single
version began it there. The stream began before its client came back, and its
server was in the store before that. So the view must include all that the store
held at a moment after the client came; an age of the view, however low, says
nothing about servers that joined since.
"""

import dataclasses

from turmericcroft.fleet import positions
from turmericcroft.resumption import coverage
from turmericcroft.resumption import origins


@dataclasses.dataclass(frozen=True)
class Question:
    """A stream that a client takes up.

    Attributes:
        stream: Id of the request that began it; empty if it is not stated.
        route: Name of its route.
        services: Services that the route leads to.
        chosen_service: Service that a new stream would be sent to.
    """

    stream: str
    route: str
    services: tuple[str, ...]
    chosen_service: str


@dataclasses.dataclass(frozen=True)
class Means:
    """How more can be learned about a stream.

    Attributes:
        confirmed: Position of the store at a moment after the client came; None
            if it is not known.
        may_confirm: Whether the store was not asked for one yet.
        may_be_told: Whether other daemons may still tell what they know.
    """

    confirmed: positions.StorePosition | None
    may_confirm: bool
    may_be_told: bool


@dataclasses.dataclass(frozen=True)
class Known:
    """The stream goes on.

    Attributes:
        origin: What began it.
        source: How that is known: "record" or "sole version".
    """

    origin: origins.Origin
    source: str


@dataclasses.dataclass(frozen=True)
class Confirm:
    """The view is to be confirmed."""


@dataclasses.dataclass(frozen=True)
class AwaitRecord:
    """Other daemons may tell a record of the stream."""


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The client is refused.

    Attributes:
        reason: Why the origin is not known: "route changed", "several
            services", "several versions", "gap" in what was seen, view "not
            confirmed", or "server restarted", maybe as another version.
    """

    reason: str


Decision = Known | Confirm | AwaitRecord | Unknown


def decide(
    question: Question,
    records: origins.StreamOrigins,
    versions: coverage.VersionCoverage,
    means: Means,
    now_s: float,
) -> Decision:
    """Decides where a stream goes on, or what to learn first.

    Args:
        question: The stream.
        records: Records of streams, this daemon's and those that others told.
        versions: Versions and services that were seen.
        means: How more can be learned.
        now_s: Monotonic time.
    """
    if question.stream:
        match records.find(question.stream, now_s):
            case origins.Origin() as origin if (
                origin.service in question.services
            ):
                return Known(origin, "record")
            case origins.Origin():
                return Unknown("route changed")
    found = _infer(question, versions, means, now_s)
    if isinstance(found, Unknown) and means.may_be_told and question.stream:
        return AwaitRecord()
    return found


def _infer(
    question: Question,
    versions: coverage.VersionCoverage,
    means: Means,
    now_s: float,
) -> Known | Confirm | Unknown:
    """Infers the origin if every stream of the route began there."""
    services = find_services(question, versions, now_s)
    if len(services) != 1:
        return Unknown("several services")
    service = services[0]
    if len(versions.recent(service, now_s)) != 1:
        return Unknown("several versions")
    if not versions.covers(coverage.ANY_POSITION, now_s):
        return Unknown("gap")
    if means.confirmed is None:
        return Confirm() if means.may_confirm else Unknown("not confirmed")
    version = versions.find_sole(service, means.confirmed, now_s)
    if version is None:
        return Unknown("not confirmed")
    return Known(origins.Origin(service, version), "sole version")


def find_services(
    question: Question, versions: coverage.VersionCoverage, now_s: float
) -> list[str]:
    """Returns the services at which a stream may have begun.

    Without the id of the request that began it, no daemon can tell its service.
    A new run may go on at any service of the route.
    """
    if not question.stream:
        return [question.chosen_service]
    return versions.routes.recent(question.route, now_s)
