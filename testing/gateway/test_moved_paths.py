"""Streams stay at the service that began them when routes change."""

import pytest

from testing.gateway import test_split_routes as split_routes


# Guards against a stream that goes on at another service because its path now
# belongs to a route of another name, whose only service is known (rule ORDER).
# The daemon has no record of the stream, as after a cut.
@pytest.mark.parametrize("path_prefix", ["/stream/again/", "/stream/again/1/"])
async def test_a_stream_does_not_follow_its_path_to_another_route(
    world, path_prefix
):
    await split_routes.start(world, ("engines", 1))
    declared = split_routes.make_declaration(3, ("others", 1))
    (route,) = declared["routes"]
    routes = [route | {"name": "renamed", "pathPrefix": path_prefix}]
    if path_prefix != route["pathPrefix"]:
        routes += split_routes.make_declaration(3, ("engines", 1))["routes"]
    world.store.write("op/config", declared | {"routes": routes})
    await world.until(
        lambda: all(d.state.declaration.version == 3 for d in world.daemons)
    )
    client = await world.client(1)
    response = await client.call(
        "POST",
        "/stream/again/1/x",
        "r2",
        b"x",
        Last_Event_Id="2",
        Resumes="never-told",
    )
    assert response.status == 503
    assert not world.count_executions("r2")
