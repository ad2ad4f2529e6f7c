"""Services at which streams of a route may run, kept for those that matter."""

import dataclasses

import pytest

from turmericcroft.resumption import route_services
from turmericcroft.routing import declaration


def make_route(name, *services):
    return declaration.Route(
        name=name,
        host="app.example",
        path_prefix=f"/{name}/",
        idempotency=declaration.Idempotency.NON_IDEMPOTENT,
        streaming=True,
        resumable=True,
        timeout_s=10.0,
        target_latency_s=1.0,
        target_event_gap_s=0.2,
        priority=1,
        weighted_services=tuple(
            declaration.WeightedService(service, 1) for service in services
        ),
        max_attempts=2,
        anonymous=False,
    )


# Guards against daemons that tell each other all routes of a declaration, and
# compare them with each other in each round.
def test_what_is_told_grows_with_the_routes_in_use():
    services = route_services.RouteServices()
    routes = tuple(make_route(f"r{n}", "pool") for n in range(2_000))
    services.declare(routes, 0.0)
    services.record_stream("r7", "pool", 1.0)
    assert services.rows(2.0) == (("r7", "pool", 1.0),)
    assert services.find_unclear(2.0) == set()


def test_a_split_route_is_unclear():
    services = route_services.RouteServices()
    services.declare((make_route("chat", "pool", "other"),), 0.0)
    assert services.recent("chat", 0.0) == ["other", "pool"]
    assert services.find_unclear(0.0) == {"other", "pool"}


# Guards against a stream that follows its route to another service.
def test_a_service_that_a_route_has_left_counts_for_as_long_as_streams():
    services = route_services.RouteServices()
    services.declare((make_route("chat", "pool"),), 0.0)
    services.declare((make_route("chat", "other"),), 100.0)
    assert services.recent("chat", 129.0) == ["other", "pool"]
    assert services.find_unclear(129.0) == {"other", "pool"}
    assert services.recent("chat", 131.0) == ["other"]
    assert services.find_unclear(131.0) == set()


# The same for a daemon that started after the change.
def test_a_stream_of_another_daemon_makes_its_route_unclear():
    services = route_services.RouteServices()
    services.declare((make_route("chat", "other"),), 0.0)
    services.record_stream("chat", "pool", 1.0)
    assert services.recent("chat", 2.0) == ["other", "pool"]
    assert services.find_unclear(2.0) == {"other", "pool"}


# Guards against a stream that goes on at another service because its path now
# belongs to a route of another name (rule ORDER).
@pytest.mark.parametrize(
    ("before", "after"),
    [
        ([("a", "/x/", "pool")], [("b", "/x/", "other")]),
        (
            [("a", "/x/", "pool")],
            [("a", "/x/", "pool"), ("b", "/x/y/z/", "other")],
        ),
        (
            [("a", "/x/y/z/", "pool"), ("b", "/x/", "other")],
            [("b", "/x/", "other")],
        ),
        ([("a", "/", "pool")], [("b", "/x/", "other")]),
        ([("a", "/x/", "pool"), ("b", "/w/", "other")], [("b", "/", "other")]),
    ],
    ids=["renamed", "added", "removed", "narrowed", "widened"],
)
@pytest.mark.parametrize("is_skipped", [False, True])
def test_a_route_that_took_paths_over_may_have_streams_of_their_services(
    before, after, is_skipped
):
    services = route_services.RouteServices()
    old, new = (
        tuple(
            dataclasses.replace(make_route(name, service), path_prefix=prefix)
            for name, prefix, service in rows
        )
        for rows in (before, after)
    )
    if is_skipped:
        services.declare(new, 100.0)
        services.record_earlier(old, 100.0)
    else:
        services.declare(old, 0.0)
        services.declare(new, 100.0)
    assert services.recent("b", 129.0) == ["other", "pool"]
    assert services.find_unclear(129.0) == {"other", "pool"}
    assert services.recent("b", 131.0) == ["other"]


# Routes beside each other share no path, and a host has paths of its own.
def test_a_new_route_beside_others_has_no_streams_yet():
    services = route_services.RouteServices()
    services.declare((make_route("chat", "pool"),), 0.0)
    elsewhere = dataclasses.replace(
        make_route("chat", "third"), name="c", host="b.example"
    )
    routes = make_route("chat", "pool"), make_route("chats", "other"), elsewhere
    services.declare(routes, 100.0)
    assert services.recent("chats", 100.0) == ["other"]
    assert services.recent("chat", 100.0) == ["pool"]
    assert services.recent("c", 100.0) == ["third"]


# The same if the paths moved twice while streams ran.
def test_paths_that_moved_twice_keep_their_first_service():
    services = route_services.RouteServices()
    for number, name in enumerate(("a", "b", "c")):
        route = make_route(name, f"pool-{name}")
        routes = (dataclasses.replace(route, path_prefix="/x/"),)
        services.declare(routes, 10.0 * number)
    assert services.recent("c", 49.0) == ["pool-a", "pool-b", "pool-c"]
    assert services.recent("c", 51.0) == ["pool-c"]
