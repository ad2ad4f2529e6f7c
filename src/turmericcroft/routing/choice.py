"""Selects the backend server for one request.

Selection prefers the daemon's own availability zone and, within a zone, the
servers that a consistent hash prefers for the prompt, so that requests with
the same prompt reach the same prompt cache. When the load of the preferred
server exceeds a bound relative to the mean, the next one is selected.
"""

import dataclasses
import itertools
import math
from collections.abc import Iterable

from turmericcroft.intent import document
from turmericcroft.routing import fleet
from turmericcroft.routing import loadview
from turmericcroft.routing import ring

CANDIDATES_PER_ZONE = 6


@dataclasses.dataclass(frozen=True)
class RoutingQuery:
    """Parameters of one selection, besides fleet and load.

    Attributes:
        public_name: Model or service that the server must run.
        affinity_key: Hash that determines the preferred server.
        home_zone: Availability zone of this daemon.
        excluded: Servers not to select, for example ones that failed.
        bounded_load_factor: Multiple of the mean load up to which the
            preferred server is kept.
        wait_limit_s: Longest acceptable predicted wait for a slot.
        policy: How a server is selected within a zone.
        round_robin_index: Number of this daemon's query, for round robin.
    """

    public_name: str
    affinity_key: int
    home_zone: str
    excluded: frozenset[str]
    bounded_load_factor: float
    wait_limit_s: float
    policy: document.RoutingPolicy = document.RoutingPolicy.AFFINITY
    round_robin_index: int = 0


@dataclasses.dataclass(frozen=True)
class Chosen:
    """A server was selected.

    Attributes:
        server: The selected server.
        spilled: Whether the preferred server was skipped because of its load.
    """

    server: fleet.Server
    spilled: bool


@dataclasses.dataclass(frozen=True)
class Overloaded:
    """The predicted wait exceeds the limit in every zone.

    Attributes:
        shortest_wait_s: Shortest predicted wait.
    """

    shortest_wait_s: float


@dataclasses.dataclass(frozen=True)
class NoServer:
    """No usable server runs this model or service."""


RoutingDecision = Chosen | Overloaded | NoServer


def choose(
    query: RoutingQuery,
    servers: fleet.Fleet,
    view: loadview.LoadView,
    now_s: float,
) -> RoutingDecision:
    """Selects a server, in the home zone if one there is fast enough.

    Args:
        query: Parameters of the selection.
        servers: Servers that accept new requests.
        view: Load of the servers.
        now_s: Monotonic time.

    Returns:
        The selected server, or the reason that there is none.
    """
    rings = servers.rings.get(query.public_name, {})
    shortest_wait_s = math.inf
    for zone in _zone_order(query.home_zone, rings):
        candidates = _candidates(query, rings[zone], view, now_s)
        best = _select_server(query, candidates, view, now_s)
        if best is None:
            continue
        wait_s = view.predicted_wait_s(best, now_s)
        if wait_s <= query.wait_limit_s:
            spilled = best != candidates[0]
            return Chosen(servers.servers[best], spilled)
        shortest_wait_s = min(shortest_wait_s, wait_s)
    if shortest_wait_s < math.inf:
        return Overloaded(shortest_wait_s)
    return NoServer()


def _zone_order(home_zone: str, zones: Iterable[str]) -> list[str]:
    return sorted(zones, key=lambda zone: (zone != home_zone, zone))


def _candidates(
    query: RoutingQuery,
    zone_ring: ring.Ring,
    view: loadview.LoadView,
    now_s: float,
) -> list[str]:
    usable = (
        name
        for name in _ordered_servers(query, zone_ring)
        if name not in query.excluded and not view.is_ejected(name, now_s)
    )
    return list(itertools.islice(usable, CANDIDATES_PER_ZONE))


def _ordered_servers(
    query: RoutingQuery, zone_ring: ring.Ring
) -> Iterable[str]:
    match query.policy:
        case document.RoutingPolicy.AFFINITY:
            return zone_ring.walk(query.affinity_key)
        case document.RoutingPolicy.LEAST_LOADED:
            return sorted(zone_ring.servers)
        case document.RoutingPolicy.ROUND_ROBIN:
            names = sorted(zone_ring.servers)
            start = query.round_robin_index % len(names)
            return names[start:] + names[:start]


def _select_server(
    query: RoutingQuery,
    candidates: list[str],
    view: loadview.LoadView,
    now_s: float,
) -> str | None:
    if query.policy is document.RoutingPolicy.LEAST_LOADED:
        return min(
            candidates,
            key=lambda name: _relative_load(name, view, now_s),
            default=None,
        )
    loads = [_relative_load(name, view, now_s) for name in candidates]
    mean = sum(loads) / max(1, len(loads))
    # A server with a free slot is always within the bound: the request starts
    # without waiting, and the prompt cache saves the prefill, which is worth
    # more than an even spread.
    bound = max(1.0, query.bounded_load_factor * mean)
    for name, load in zip(candidates, loads, strict=True):
        if load + 1.0 / view.servers[name].slots <= bound:
            return name
    if not candidates:
        return None
    return min(candidates, key=lambda name: _relative_load(name, view, now_s))


def _relative_load(name: str, view: loadview.LoadView, now_s: float) -> float:
    return view.estimate(name, now_s) / view.servers[name].slots
