"""Limits of requests per second that servers state for all daemons."""

import asyncio

import pytest

from turmericcroft.gateway import members

_CONTACT_S = 3.0


@pytest.fixture
async def fleet(world):
    """Four daemons that know each other, and two plain servers."""
    await world.start(daemons=4)
    for daemon in world.daemons:
        await world.until(lambda d=daemon: len(d.members.alive()) == 3)
    return world


def record_arrivals(server):
    """Returns a list that grows by the time of each request to a server."""
    times = []
    received = server.received

    class Arrivals(list):
        def append(self, request):
            times.append(asyncio.get_running_loop().time())
            super().append(request)

    server.received = Arrivals(received)
    return times


async def send_steadily(world, seconds, daemons, statuses, path="/read/1"):
    """Sends 10 requests a second to each daemon."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    clients = [await world.client(number) for number in daemons]
    number = 0
    while loop.time() < end_s:
        number += 1
        for daemon, client in enumerate(clients):
            response = await client.call("GET", path, f"q{daemon}-{number}")
            statuses.append(response.status)
        await asyncio.sleep(0.1)


def most_in_4_s(times, from_s):
    late = [t for t in times if t >= from_s]
    return max((sum(t <= u < t + 4.0 for u in late) for t in late), default=0)


# Guards against daemons that ignore the limit, or that each use all of it
# (issue 26, LIMIT).
async def test_a_server_gets_no_more_than_its_limit_from_all_daemons(fleet):
    limited, _ = fleet.servers_of("plain")
    limited.headers = {"Server-Limit": "1"}
    times = record_arrivals(limited)
    statuses = []
    await send_steadily(fleet, 9.0, range(4), statuses)
    assert most_in_4_s(times, times[0] + _CONTACT_S) <= 1.5 * 1 * 4 + 5
    assert set(statuses) == {200}


async def test_what_no_server_may_take_is_refused_at_once(fleet):
    for server in fleet.servers_of("plain"):
        server.headers = {"Server-Limit": "1"}
    statuses = []
    await send_steadily(fleet, 1.0, range(4), statuses)
    client = await fleet.client()
    before_s = asyncio.get_running_loop().time()
    responses = [
        await client.call("POST", "/book/1", f"late-{n}", b"x")
        for n in range(8)
    ]
    took_s = asyncio.get_running_loop().time() - before_s
    refused = [r for r in responses if r.status == 503]
    assert len(refused) >= 6
    assert took_s < 0.5
    assert all(0 < float(r.headers["retry-after"]) < 10 for r in refused)
    for number, response in enumerate(responses):
        if response.status == 503:
            assert fleet.count_executions(f"late-{number}") == 0


async def test_a_daemon_that_starts_is_told_the_limits(fleet):
    limited, _ = fleet.servers_of("plain")
    limited.headers = {"Server-Limit": "1"}
    await send_steadily(fleet, 1.0, range(4), [])
    daemon = await fleet.add_daemon()
    await fleet.until(
        lambda: list(daemon.state.server_limits.limited().values()) == [1.0],
        2.0,
    )


async def test_limits_reach_daemons_through_relays(fleet, monkeypatch):
    monkeypatch.setattr(members, "_MAX_DIRECT_DAEMONS", 2)
    limited, _ = fleet.servers_of("plain")
    limited.headers = {"Server-Limit": "2"}
    await send_steadily(fleet, 1.0, [3], [])
    for daemon in fleet.daemons:
        limits = daemon.state.server_limits
        await fleet.until(lambda x=limits: x.limited(), 4.0)


async def test_a_limit_that_ended_holds_nobody_back(fleet):
    limited, _ = fleet.servers_of("plain")
    limited.headers = {"Server-Limit": "1"}
    await send_steadily(fleet, 1.0, range(4), [])
    limited.headers = {}
    await send_steadily(fleet, 6.0, range(4), [])
    times = record_arrivals(limited)
    await send_steadily(fleet, 2.0, range(4), [])
    assert len(times) > 10
