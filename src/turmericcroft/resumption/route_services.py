"""Services at which recent streams of a route may run.

Load pattern: a declaration has thousands of routes. A few are split between
services, or lead to other services than before; on those, a stream that a
client takes up must go on at the service that began it. What is kept and told
grows with these routes and with those on which streams began, not with all.
"""

import math
from collections.abc import Iterator

from turmericcroft.routing import declaration

# Host and path prefix of a route.
_Place = tuple[str, str]

# Clients take a stream up within their deadline, which is shorter. What is
# older than this can't matter to one.
RETENTION_S = 30.0
# What is told seems newer by the time that the message took. A time counts only
# if it is newer than the known one by more than that, and known times are kept
# longer than they count: otherwise daemons that tell each other of something
# would never forget it.
MIN_NEWER_S = 5.0
KEPT_S = RETENTION_S + 2.0 * MIN_NEWER_S


class RouteServices:
    """Services of streaming routes, by the declaration and by their streams.

    Example:
        >>> services = RouteServices()
        >>> services.record_stream("chat", "pool", now_s=0.0)
        >>> services.rows(now_s=1.0)
        (('chat', 'pool', 1.0),)
        >>> services.rows(now_s=31.0)
        ()
    """

    def __init__(self) -> None:
        self._routes: tuple[declaration.Route, ...] = ()
        self._declared: dict[str, list[str]] = {}
        # When a route last led to a service that it has left, and when a stream
        # last began at a service, monotonic, by the name of the route.
        self._former: dict[str, dict[str, float]] = {}
        self._streams: dict[str, dict[str, float]] = {}

    def declare(
        self, routes: tuple[declaration.Route, ...], now_s: float
    ) -> None:
        """Applies the routes of a declaration, if it is another one."""
        if routes is self._routes:
            return
        before, self._routes = self._routes, routes
        self._declared = _find_services(routes)
        _forget(self._former, now_s)
        self._record_former(before, now_s)

    def record_earlier(
        self, routes: tuple[declaration.Route, ...], now_s: float
    ) -> None:
        """Records the routes of a declaration that another one has replaced.

        Other daemons may have sent streams by it that this one never had in
        force.
        """
        self._record_former(routes, now_s)

    def _record_former(
        self, before: tuple[declaration.Route, ...], now_s: float
    ) -> None:
        formers = list(_find_services(before).items())
        for left, found in _find_moved_paths(before, self._routes):
            earlier = (
                service
                for times in (self._former, self._streams)
                for service in times.get(left.name, ())
            )
            formers.append((found.name, [*left.receiving_services, *earlier]))
        for name, services in formers:
            for service in services:
                if service not in self._declared.get(name, ()):
                    self._former.setdefault(name, {})[service] = now_s

    def record_stream(self, route: str, service: str, now_s: float) -> None:
        """Records that a stream began, at this or another daemon.

        Args:
            route: Name of its route.
            service: Name of the service.
            now_s: When it began, monotonic.
        """
        seen = self._streams.setdefault(route, {})
        seen[service] = max(seen.get(service, now_s), now_s)

    def merge(self, route: str, service: str, seen_at_s: float) -> None:
        """Applies a row that another daemon told.

        Args:
            route: Name of the route.
            service: Name of the service.
            seen_at_s: When a stream last began there by the row, monotonic.
        """
        known_s = self._streams.get(route, {}).get(service, -math.inf)
        if seen_at_s > known_s + MIN_NEWER_S:
            self.record_stream(route, service, seen_at_s)

    def rows(self, now_s: float) -> tuple[tuple[str, str, float], ...]:
        """Returns what to tell other daemons, and forgets what is too old.

        Returns:
            Name of the route, name of the service, and time since a stream last
            began there or the route left the service.
        """
        _forget(self._streams, now_s)
        _forget(self._former, now_s)
        return tuple(
            (route, service, now_s - seen_at_s)
            for times in (self._streams, self._former)
            for route, seen in times.items()
            for service, seen_at_s in seen.items()
            if now_s - seen_at_s < RETENTION_S
        )

    def recent(self, route: str, now_s: float) -> list[str]:
        """Returns the services at which a stream of a route may run."""
        found = set(self._declared.get(route, ()))
        for times in (self._former, self._streams):
            found.update(
                service
                for service, seen_at_s in times.get(route, {}).items()
                if now_s - seen_at_s < RETENTION_S
            )
        return sorted(found)

    def find_unclear(self, now_s: float) -> set[str]:
        """Returns the services of routes whose streams may run at several."""
        split = (n for n, found in self._declared.items() if len(found) > 1)
        found: set[str] = set()
        for route in {*split, *self._former, *self._streams}:
            services = self.recent(route, now_s)
            if len(services) > 1:
                found.update(services)
        return found


def _find_services(
    routes: tuple[declaration.Route, ...],
) -> dict[str, list[str]]:
    """Returns the services of streaming routes, by the name of the route."""
    return {
        route.name: route.receiving_services
        for route in routes
        if route.streaming
    }


def _find_moved_paths(
    before: tuple[declaration.Route, ...], now: tuple[declaration.Route, ...]
) -> Iterator[tuple[declaration.Route, declaration.Route]]:
    """Yields routes that paths have left, each with the one that took them.

    A path belongs to the route with the longest prefix. So it has moved from
    the next shorter prefix to one that was added, or from one that was removed
    to the next shorter prefix, or prefix and host are the same.
    """
    old, new = _index(before), _index(now)
    pairs: list[tuple[_Place | None, _Place | None]] = [
        *((_find_parent(place, old), place) for place in new.keys() - old),
        *((place, _find_parent(place, new)) for place in old.keys() - new),
        *((place, place) for place in old.keys() & new),
    ]
    for source, target in pairs:
        if source is None or target is None:
            continue
        left, found = old[source], new[target]
        if left.streaming and found.streaming:
            yield left, found


def _index(
    routes: tuple[declaration.Route, ...],
) -> dict[_Place, declaration.Route]:
    """Returns routes by host and prefix; of equal ones the first is used."""
    return {(r.host, r.path_prefix): r for r in reversed(routes)}


def _find_parent(
    place: _Place, routes: dict[_Place, declaration.Route]
) -> _Place | None:
    """Returns the next shorter prefix that has a route."""
    host, prefix = place
    while len(prefix) > 1:
        prefix = prefix[: prefix.rfind("/", 0, -1) + 1]
        if (host, prefix) in routes:
            return host, prefix
    return None


def _forget(times: dict[str, dict[str, float]], now_s: float) -> None:
    """Removes the services whose time is too long ago."""
    for route, seen in list(times.items()):
        times[route] = {
            service: seen_at_s
            for service, seen_at_s in seen.items()
            if now_s - seen_at_s < KEPT_S
        }
        if not times[route]:
            del times[route]
