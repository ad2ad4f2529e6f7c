"""Servers that state in their answers that they leave or want a pause."""

import asyncio
import time

import pytest

from turmericcroft.fleet import directory
from turmericcroft.fleet import positions
from turmericcroft.gateway import calls
from turmericcroft.gateway import server_statements
from turmericcroft_lab.hosted import backend

REFUSE = backend.Behaviour.REFUSE


def state_of(daemon, server):
    return daemon.state.directory.records[server.name].state


async def test_a_server_that_says_it_leaves_gets_no_new_request(world):
    await world.start(daemons=2)
    first, second = world.daemons
    await world.until(lambda: first.members.alive() and second.members.alive())
    leaving, staying = world.servers_of("plain")
    leaving.headers = {"Server-Leaving": "1"}
    staying.processing_s = 0.01
    client = await world.client()
    number = 0
    while not leaving.received:
        number += 1
        response = await client.call("GET", "/read/1", f"r{number}")
    assert response.headers["server-leaving"] == "1"
    count = len(leaving.received)
    assert state_of(first, leaving) is directory.ServerState.LEAVING
    for _ in range(6):
        number += 1
        assert (await client.call("GET", "/read/1", f"r{number}")).status == 200
    assert len(leaving.received) == count
    assert not first.state.pool._idle.get((leaving.name, 1_700_000_000_000))
    await world.until(
        lambda: state_of(second, leaving) is directory.ServerState.LEAVING, 1.0
    )


async def test_its_entry_does_not_return_a_server_that_said_it_leaves(world):
    await world.start()
    daemon = world.daemons[0]
    server = world.servers_of("plain")[0]
    server_statements.record_leaving(
        daemon.state,
        (server.name, 1_700_000_000_000),
        "answer",
        time.monotonic(),
    )
    for sequence in (2, 3):
        world.store.write(
            f"servers/{server.name}", server.registry_entry(sequence=sequence)
        )
        await asyncio.sleep(0.3)
        assert state_of(daemon, server) is directory.ServerState.LEAVING
    world.store.write(
        f"servers/{server.name}", server.registry_entry(born=1_700_000_009_000)
    )
    await world.until(
        lambda: state_of(daemon, server) is directory.ServerState.READY, 3.0
    )


async def test_refusals_stream_heads_and_calls_also_say_that_a_server_leaves(
    world,
):
    await world.start()
    daemon = world.daemons[0]
    client = await world.client()
    refusing = world.servers_of("plain")[0]
    refusing.headers = {"Server-Leaving": "1"}
    refusing.plan = [REFUSE]
    number = 0
    while not refusing.received:
        number += 1
        await client.call("GET", "/read/1", f"p{number}")
    assert state_of(daemon, refusing) is directory.ServerState.LEAVING
    streaming, called = world.servers_of("engines")
    streaming.headers = called.headers = {"Server-Leaving": "1"}
    await client.call("POST", "/stream/fixed/1", "s1")
    left = {
        server.name
        for server in (streaming, called)
        if state_of(daemon, server) is directory.ServerState.LEAVING
    }
    assert len(left) == 1
    other = called if streaming.name in left else streaming
    await calls.call_server(
        daemon.state,
        daemon.state.directory.records[other.name].server,
        b"GET",
        b"/turmericcroft/report",
        b"",
    )
    assert state_of(daemon, other) is directory.ServerState.LEAVING


async def test_another_server_at_the_address_says_nothing_about_this_one(world):
    await world.start(plain=1)
    server = world.servers_of("plain")[0]
    server.headers = {"Server-Leaving": "1"}
    server.plan = [backend.Behaviour.MISDIRECTED] * 3
    client = await world.client()
    await client.call("GET", "/read/1", "r1")
    record = world.daemons[0].state.directory.records[server.name]
    assert not record.has_said_leaving


class TimedRequests(list):
    """Requests that a server received, and the monotonic times of arrival."""

    def __init__(self):
        super().__init__()
        self.times_s = []

    def append(self, request):
        self.times_s.append(time.monotonic())
        super().append(request)


async def test_a_server_that_wants_a_pause_gets_nothing_until_it_ends(world):
    await world.start(plain=2)
    busy, other = world.servers_of("plain")
    busy.received = TimedRequests()
    client = await world.client()
    other.processing_s = 0.02
    busy.headers = {"Retry-After": "1.2"}
    busy.plan = [REFUSE]
    number = 0
    while not busy.received:
        number += 1
        await client.call("GET", "/read/1", f"r{number}")
    # The pause begins with the refusal, not with the answer of the other server
    # to the same request, which may be late.
    paused_at_s = busy.received.times_s[0]
    busy.headers = {}
    while time.monotonic() - paused_at_s < 1.1:
        number += 1
        response = await client.call("GET", "/read/1", f"r{number}")
        assert response.status == 200
    times_s = busy.received.times_s[1:]
    assert all(at_s - paused_at_s >= 1.1 for at_s in times_s)
    daemon = world.daemons[0]
    server = daemon.state.directory.records[busy.name].server
    assert daemon.state.loads.paused_s(busy.name, time.monotonic()) < 0.4
    await asyncio.sleep(0.5)
    other.processing_s = 0.3
    calls = [client_call(world, f"s{index}") for index in range(4)]
    await asyncio.gather(*calls)
    assert len(busy.received) > 1
    assert not daemon.state.loads.paused_s(server.name, time.monotonic())


async def client_call(world, request_id):
    client = await world.client()
    return await client.call("GET", "/read/1", request_id)


async def test_if_all_servers_want_a_pause_the_refusal_states_when_it_ends(
    world,
):
    await world.start(plain=2)
    for server in world.servers_of("plain"):
        server.headers = {"Retry-After": "2"}
        server.plan = [REFUSE] * 9
    client = await world.client()
    first = await client.call("POST", "/book/1", "r1")
    second = await client.call("POST", "/book/1", "r2")
    for response in (first, second):
        assert response.status == 503
    received = sum(len(s.received) for s in world.servers_of("plain"))
    assert received == 2
    assert 1.0 < float(second.headers["retry-after"]) < 3.2
    assert world.count_executions("r1") == world.count_executions("r2") == 0


@pytest.mark.parametrize(
    "stated", ["-3", "nan", "inf", "soon", "\u00b2", "9" * 4_301]
)
async def test_an_absurd_pause_does_not_take_a_server_out_for_long(
    world, stated
):
    await world.start(plain=1)
    server = world.servers_of("plain")[0]
    server.headers = {"Retry-After": stated.encode().decode("latin-1")}
    server.plan = [REFUSE]
    client = await world.client()
    assert (await client.call("GET", "/read/1", "r1")).status == 503
    load = world.daemons[0].state.loads
    assert load.paused_s(server.name, time.monotonic()) == 0.0


async def test_a_pause_of_days_is_bounded(world):
    await world.start(plain=1)
    server = world.servers_of("plain")[0]
    server.headers = {"Retry-After": "864000"}
    server.plan = [REFUSE]
    client = await world.client()
    assert (await client.call("GET", "/read/1", "r1")).status == 503
    load = world.daemons[0].state.loads
    assert 0.0 < load.paused_s(server.name, time.monotonic()) < 121.0


def test_a_rejected_server_stays_out_when_its_lease_may_have_expired():
    # A server was rejected because another one answers at its address, and
    # then its entry was removed after an outage: the grace period of expired
    # leases returned it to use.
    server = directory.Server("i-1", "plain", "10.0.0.1", 80, "zone-a", 8)
    known = directory.Directory(2.0)
    at = positions.StorePosition
    known.put("i-1", directory.RegistryEntry(at(1, 5), server), 0.0)
    known.reject(server, 1.0)
    known.remove("i-1", at(1, 6), 2.0, grace_until_s=4.0)
    assert known.usable("plain") == ()
