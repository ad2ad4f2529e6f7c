"""Storms of versions, restarts with a slow store, requests that crash."""

import asyncio
import json

from turmericcroft_lab.hosted import backend
from turmericcroft_lab.hosted import store


async def test_the_last_version_of_a_storm_is_in_force_and_none_comes_back(
    world,
):
    await world.start(daemons=2)
    seen = {daemon: [] for daemon in world.daemons}
    fields = json.loads(world.daemons[0].state.declaration.raw)
    for version in range(2, 40):
        world.store.write("op/config", fields | {"version": version})
        await asyncio.sleep(0.03)
        for daemon, versions in seen.items():
            versions.append(daemon.state.declaration.version)
    await world.until(
        lambda: all(d.state.declaration.version == 39 for d in world.daemons),
        2.0,
    )
    for versions in seen.values():
        assert versions == sorted(versions)


async def test_a_key_that_is_taken_away_is_refused_by_all(world):
    await world.start(daemons=2)
    client = await world.client(1)
    assert (await client.call("GET", "/read/1", "r1")).status == 200
    fields = json.loads(world.daemons[0].state.declaration.raw)
    fields["version"] = 2
    fields["tenants"][0]["apiKeys"] = ["another"]
    world.store.write("op/config", fields)
    await world.until(
        lambda: all(d.state.declaration.version == 2 for d in world.daemons),
        2.0,
    )
    assert (await client.call("GET", "/read/1", "r2")).status == 401


async def test_daemons_that_start_with_a_slow_store_serve_within_seconds(
    world,
):
    await world.start(daemons=0)
    world.store.delay_s = 0.25
    for _ in range(3):
        await world.add_daemon()
    await world.until(lambda: all(d.is_ready() for d in world.daemons))
    for number in range(3):
        client = await world.client(number)
        answer = await client.call("GET", "/read/1", f"r{number}")
        assert answer.status == 200


async def test_a_request_that_crashes_servers_is_refused_after_the_third(world):
    await world.start(plain=1)
    server = world.of("plain")[0]
    port = server.port
    for number in range(5):
        server.plan = [backend.Behaviour.RESET]
        client = await world.client()
        client.send("POST", "/book/poison", f"r{number}", b"x")
        await world.until(lambda n=number: world.runs(f"r{n}") or n >= 3, 2.0)
        if number < 3:
            await server.close()
        answer = await client.receive()
        assert answer.status == (502 if number < 3 else 503)
        if number < 3:
            await asyncio.sleep(0.3)
            await server.start(port)
            world.daemons[0].state.loads.servers["i-1"].ejected_until_s = 0.0
    assert world.runs("r3") == world.runs("r4") == 0


async def test_the_rest_of_a_long_body_is_followed_by_no_other_request(world):
    await world.start(plain=1)
    server = world.of("plain")[0]
    server.plan = [backend.Behaviour.EARLY]
    client = await world.client()
    answer = await client.call("POST", "/book/1", "r1", b"x" * 90_000)
    assert answer.status == 413
    for number in range(2, 5):
        answer = await client.call("POST", "/book/1", f"r{number}", b"y")
        assert answer.body.startswith(f"answer to r{number} ".encode())
    assert {seen.body for seen in server.seen[1:]} == {b"y"}


async def test_daemons_that_start_while_the_store_refuses_wait_and_then_serve(
    world,
):
    await world.start(daemons=0)
    world.store.fault = store.Fault.BUSY
    for _ in range(3):
        await world.add_daemon()
    await asyncio.sleep(1.0)
    assert not any(daemon.is_ready() for daemon in world.daemons)
    client = await world.client()
    answer = await client.call("GET", "/read/1", "r0")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    world.store.fault = store.Fault.NONE
    await world.until(lambda: all(d.is_ready() for d in world.daemons), 2.0)
    await world.until(
        lambda: all(d.state.directory.usable("plain") for d in world.daemons),
        2.0,
    )
    answer = await client.call("GET", "/read/1", "r1")
    assert answer.status == 200


async def test_crashes_seen_by_several_daemons_count_together(world):
    await world.start(daemons=3)
    for daemon in world.daemons:
        await world.until(lambda d=daemon: len(d.members.alive()) == 2)
    now_s = asyncio.get_running_loop().time()
    for daemon in world.daemons:
        daemon.state.crash_ledger.note_crash("request", now_s)
    for daemon in world.daemons:
        await world.until(
            lambda d=daemon: d.state.crash_ledger.is_refused("request"), 2.0
        )
        assert daemon.state.crash_ledger.crashes("request") == 3
