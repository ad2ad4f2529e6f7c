"""Which software versions serve, and in which part of the store's history.

Load pattern: clients take streams up at daemons that were cut off or stood
still while servers of another version joined, or joined and left again. What a
daemon has seen proves that a service has a single version only if it has seen
all changes from long enough ago up to a moment after the client came.

A moment is a position of the store, because positions are ordered by the store
itself: neither a pause of a process nor a late answer changes their order. A
span is a part of the store's history in which no change was missed. It begins
with a complete listing, and grows by the changes that follow on it or by spans
that other daemons state. A listing alone closes no gap: what joined and left
within the gap is not in it.
"""

import dataclasses
import math
from collections.abc import Iterable

from turmericcroft.fleet import ages
from turmericcroft.fleet import positions
from turmericcroft.resumption import origins
from turmericcroft.resumption import route_services
from turmericcroft.resumption import spans

# Begins the rows of routes where versions and routes are told together.
_ROUTE_PREFIX = "route "
_MAX_COMPLETE_S = 1e6
# Clients that are refused come back within this time.
_UNCONFIRMED_S = 5.0
# Daemons that need to be told of streams state it with each digest.
_NEEDS_NOTES_S = 2.0
# Later eras continue from a copy. What was written after the copy was made is
# not in their history.
_MAX_FIRST_ERA = 1
# A view that was confirmed at any time includes it.
ANY_POSITION = positions.START


@dataclasses.dataclass(frozen=True)
class VersionHistory:
    """Versions that a daemon has seen, as told to other daemons.

    Attributes:
        complete_for_s: Time before now for which no version is missing.
        seen: Service, version, and time since it was last seen; also route,
            service, and time since a stream last began there.
        first: Position of the store at which this time begins.
        last: Position of the store up to which no version is missing. Older
            builds state neither.
        declaration_version: Version of the declaration that was in force.
        needs_notes: Whether the sender, or a daemon that it speaks for, can't
            infer versions, so that it must be told of all streams: it lacks a
            part of what happened, or could not confirm its view.
    """

    complete_for_s: float = 0.0
    seen: tuple[tuple[str, str, ages.Age], ...] = ()
    first: positions.StorePosition = positions.START
    last: positions.StorePosition = positions.START
    declaration_version: int = 0
    needs_notes: bool = False

    @property
    def versions(self) -> list[tuple[str, str]]:
        """Services and versions, without the rows of routes."""
        return sorted(
            (service, version)
            for service, version, _ in self.seen
            if not service.startswith(_ROUTE_PREFIX)
        )

    @property
    def is_usable(self) -> bool:
        """Whether it states a span at positions that a store can reach."""
        return (
            self.last.revision > 0
            and self.first <= self.last
            and self.first.era == self.last.era
            and self.first.is_reachable()
            and self.last.is_reachable()
        )


NO_HISTORY = VersionHistory()


class VersionCoverage:
    """Versions that were seen recently, and the spans in which none is missing.

    Attributes:
        routes: Services of the routes that streams run on.
        declaration_version: Version of the declaration in force.
        refreshed_at_s: When the versions of all known servers were last
            recorded, monotonic.

    Example:
        >>> at = [positions.StorePosition(1, n) for n in range(10)]
        >>> coverage = VersionCoverage()
        >>> coverage.record([("pool", "v1")], now_s=0.0)
        >>> coverage.begin(at[4], at[4], now_s=0.0)
        >>> coverage.extend(at[4], at[7])
        True
        >>> coverage.record([("pool", "v1")], now_s=40.0)
        >>> coverage.find_sole("pool", at[7], now_s=40.0)
        'v1'
        >>> coverage.find_sole("pool", at[8], now_s=40.0)
        >>> coverage.extend(at[8], at[9])
        False
    """

    def __init__(self) -> None:
        self._spans: list[spans.Span] = []
        # The store has discarded the changes after this position.
        self._discarded = positions.START
        self._seen: dict[origins.Origin, float] = {}
        # When notes were last needed by any daemon, and by one of those that
        # this daemon speaks for as a relay, monotonic.
        self._needed_at_s = -math.inf
        self._member_needed_at_s = -math.inf
        self._unconfirmed_at_s = -math.inf
        self.routes = route_services.RouteServices()
        self.declaration_version = 0
        self.refreshed_at_s = -math.inf

    def record(self, servers: Iterable[tuple[str, str]], now_s: float) -> None:
        """Records the service and version of servers.

        Args:
            servers: Services and versions; also of servers that are leaving.
            now_s: Monotonic time.
        """
        for service, version in servers:
            self._seen[origins.Origin(service, version)] = now_s

    def begin(
        self,
        first: positions.StorePosition,
        last: positions.StorePosition,
        now_s: float,
    ) -> None:
        """Begins a span with a complete listing, whose servers are recorded.

        Args:
            first: Position of the last page of the listing.
            last: Position of its first page, from which changes are followed.
            now_s: Monotonic time after the listing.
        """
        self._add(spans.Span(first, last, now_s))

    def begin_with_the_store(self, era: int) -> None:
        """Begins a span before the first change that the store ever made.

        It is of use only if the store still returns all changes since then.
        """
        if era <= _MAX_FIRST_ERA:
            at = positions.StorePosition(era, 0)
            self._add(spans.Span(at, at, -math.inf))

    def follow_from(
        self, position: positions.StorePosition
    ) -> positions.StorePosition:
        """Returns where to follow changes from so that no gap is left.

        Args:
            position: Position that was reached.

        Returns:
            The end of a span that ends before this position; the position if
            there is none.
        """
        ends = (s.last for s in self._spans if s.last.era == position.era)
        return min([position, *ends])

    def extend(
        self, after: positions.StorePosition, last: positions.StorePosition
    ) -> bool:
        """Adds changes, whose servers are recorded, to the spans they follow.

        Args:
            after: Position after which no change is missing.
            last: Position up to which no change is missing.

        Returns:
            Whether there is such a span.
        """
        known, self._spans = self._spans, []
        is_extended = False
        for span in known:
            follows = span.last.era == after.era and after <= span.last
            is_extended = is_extended or follows
            end = max(span.last, last) if follows else span.last
            self._add(dataclasses.replace(span, last=end))
        return is_extended

    def drop(self, last: positions.StorePosition) -> None:
        """Drops the spans whose next changes the store has discarded.

        Others may state them again, as a daemon does that is cut off.
        """
        self._discarded = max(self._discarded, last)
        self._spans = [span for span in self._spans if span.last > last]

    def merge(
        self, history: VersionHistory, now_s: float, is_member: bool = False
    ) -> None:
        """Applies what another daemon has seen.

        Its span counts if both daemons have the same declaration in force:
        otherwise a route may have had services that neither has told.

        Args:
            history: What the other daemon has seen.
            now_s: Monotonic time.
            is_member: Whether this daemon is the relay of the other one.
        """
        for service, version, age_s in history.seen:
            if service.startswith(_ROUTE_PREFIX):
                route = service.removeprefix(_ROUTE_PREFIX)
                self.routes.merge(route, version, now_s - age_s)
                continue
            origin = origins.Origin(service, version)
            known_s = self._seen.get(origin, -math.inf)
            if now_s - age_s > known_s + route_services.MIN_NEWER_S:
                self._seen[origin] = now_s - age_s
        is_early = 0.0 < history.complete_for_s < origins.RETENTION_S
        if history.needs_notes or is_early:
            self._needed_at_s = now_s
            if is_member:
                self._member_needed_at_s = now_s
        if (
            history.is_usable
            and history.last > self._discarded
            and history.declaration_version == self.declaration_version
        ):
            since_s = now_s - history.complete_for_s
            if history.complete_for_s >= _MAX_COMPLETE_S:
                since_s = -math.inf
            self._add(spans.Span(history.first, history.last, since_s))

    def record_unconfirmed(self, now_s: float) -> None:
        """Records that neither the store nor a daemon confirmed the view."""
        self._unconfirmed_at_s = now_s

    def needs_notes(self, now_s: float) -> bool:
        """Whether another daemon lately stated that it can't infer versions."""
        return now_s - self._needed_at_s <= _NEEDS_NOTES_S

    def history(self, now_s: float) -> VersionHistory:
        """Returns what to tell other daemons, and forgets what is too old."""
        self._seen = {
            origin: seen_at_s
            for origin, seen_at_s in self._seen.items()
            if now_s - seen_at_s < route_services.KEPT_S
        }
        span = self._longest()
        seen = (
            *(
                (origin.service, origin.version, now_s - seen_at_s)
                for origin, seen_at_s in self._seen.items()
                if now_s - seen_at_s < origins.RETENTION_S
            ),
            *(
                (_ROUTE_PREFIX + route, service, age_s)
                for route, service, age_s in self.routes.rows(now_s)
            ),
        )
        if span is None:
            return VersionHistory(seen=seen, needs_notes=True)
        complete_for_s = min(_MAX_COMPLETE_S, now_s - span.since_s)
        return VersionHistory(
            complete_for_s,
            seen,
            span.first,
            span.last,
            self.declaration_version,
            complete_for_s < origins.RETENTION_S
            or now_s - self._unconfirmed_at_s <= _UNCONFIRMED_S
            or now_s - self._member_needed_at_s <= _NEEDS_NOTES_S,
        )

    def recent(self, service: str, now_s: float) -> list[str]:
        """Returns the versions of a service at which a stream may run."""
        return sorted(
            origin.version
            for origin, seen_at_s in self._seen.items()
            if origin.service == service
            and now_s - seen_at_s < origins.RETENTION_S
        )

    def covers(self, position: positions.StorePosition, now_s: float) -> bool:
        """Whether nothing was missed, up to a position, since streams began.

        Args:
            position: Position of the store.
            now_s: Monotonic time.
        """
        return any(
            span.is_whole
            and span.last >= position
            and now_s - span.since_s >= origins.RETENTION_S
            for span in self._spans
        )

    def find_sole(
        self, service: str, position: positions.StorePosition, now_s: float
    ) -> str | None:
        """Returns the version at which any stream of a service began.

        Args:
            service: Name of the service.
            position: Position that the store passed after the stream began;
                START for the view as it is.
            now_s: Monotonic time.

        Returns:
            None if there may be more than one.
        """
        versions = self.recent(service, now_s)
        if len(versions) != 1 or not self.covers(position, now_s):
            return None
        return versions[0]

    def _longest(self) -> spans.Span | None:
        """Returns the span that reaches furthest back; None if none is whole.

        Of the latest era only: positions of others can't be compared.
        """
        whole = [span for span in self._spans if span.is_whole]
        return min(
            whole,
            key=lambda span: (
                -span.last.era,
                span.since_s,
                -span.last.revision,
            ),
            default=None,
        )

    def _add(self, added: spans.Span) -> None:
        """Adds a span, and joins those that it reaches."""
        newest_era = max([s.last.era for s in self._spans] + [added.last.era])
        apart = []
        for span in self._spans:
            joined = added.join(span)
            if joined is not None:
                added = joined
            else:
                apart.append(span)
        found = [s for s in (*apart, added) if s.last.era == newest_era]
        latest = max(found, key=lambda span: span.last)
        # An earlier span is of use only if it reaches further back.
        self._spans = [
            span
            for span in found
            if span is latest or span.since_s < latest.since_s
        ]
