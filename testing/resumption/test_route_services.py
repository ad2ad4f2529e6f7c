"""Services at which streams of a route may run, kept for those that matter."""

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
