"""Refusals that faulty servers send once more on a kept connection.

Guards against a client that is told that its request did not run while a server
runs it, and against a run that goes on at a second server for that reason.
"""

from turmericcroft.gateway import migration
from turmericcroft_lab.hosted import backend

Behaviour = backend.Behaviour


async def start(world, **servers):
    await world.start(**servers)
    for server in world.backends.values():
        server.repeats_refusals = True
    return await world.client()


async def test_a_repeated_refusal_does_not_refuse_the_next_request(world):
    client = await start(world, plain=1)
    (server,) = world.servers_of("plain")
    server.plan = [Behaviour.REFUSE]
    assert (await client.call("POST", "/book/1", "r1", b"x")).status == 503
    response = await client.call("POST", "/book/2", "r2", b"x")
    assert response.status == 200
    assert world.count_executions("r2") == 1
    discarded = [
        line for line in world.read_log() if line["event"] == "AnswerDiscarded"
    ]
    assert [line["answered_id"] for line in discarded] == ["r1"]


# The id of the request can't tell the repeated refusal from an answer if the
# client uses it again.
async def test_a_repeated_refusal_does_not_refuse_a_request_that_is_sent_again(
    world,
):
    client = await start(world, plain=2)
    for server in world.servers_of("plain"):
        server.plan = [Behaviour.REFUSE]
    assert (await client.call("POST", "/book/1", "r1", b"x")).status == 503
    assert world.count_executions("r1") == 0
    response = await client.call("POST", "/book/1", "r1", b"x")
    assert response.status == 200
    assert world.count_executions("r1") == 1


# Calls have no id: the order of a move must not be taken for refused.
async def test_a_repeated_refusal_of_an_order_does_not_refuse_the_next_one(
    world,
):
    client = await start(world, engines=2)
    for server in world.servers_of("engines"):
        server.event_count = 400
    client.send("POST", "/stream/fixed/1", "r1", b"x")
    await world.until(lambda: world.count_executions("r1"))
    source, target = sorted(
        world.servers_of("engines"), key=lambda b: b.executed, reverse=True
    )
    state = world.daemons[0].state
    records = state.directory.records
    servers = [records[b.name].server for b in (source, target)]
    # The run of another request ended before its move was ordered.
    early = await migration._request_copy(state, servers[0], "r0", servers[1])
    assert early.status == 404
    order = await migration._request_copy(state, servers[0], "r1", servers[1])
    assert order.status == 200
