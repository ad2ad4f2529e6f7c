"""Changes of the configuration, starts with a faulty store, server crashes."""

import asyncio
import json

from turmericcroft_lab.hosted import backend
from turmericcroft_lab.hosted import store


async def test_versions_in_quick_succession_apply_in_order_up_to_the_last(
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


async def test_a_removed_api_key_is_refused(world):
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


async def test_daemons_started_with_a_slow_store_serve_within_seconds(
    world,
):
    await world.start(daemons=0)
    world.store.delay_s = 0.25
    for _ in range(3):
        await world.add_daemon()
    await world.until(lambda: all(d.is_ready() for d in world.daemons))
    for number in range(3):
        client = await world.client(number)
        response = await client.call("GET", "/read/1", f"r{number}")
        assert response.status == 200


async def test_a_request_is_refused_after_three_server_crashes(world):
    await world.start(plain=1)
    server = world.servers_of("plain")[0]
    port = server.port
    for number in range(5):
        server.plan = [backend.Behaviour.RESET]
        client = await world.client()
        client.send("POST", "/book/poison", f"r{number}", b"x")
        await world.until(
            lambda n=number: world.count_executions(f"r{n}") or n >= 3, 2.0
        )
        if number < 3:
            await server.close()
        response = await client.receive()
        assert response.status == (502 if number < 3 else 503)
        if number < 3:
            await asyncio.sleep(0.3)
            await server.start(port)
            world.daemons[0].state.loads.servers["i-1"].ejected_until_s = 0.0
    assert world.count_executions("r3") == world.count_executions("r4") == 0


async def test_a_connection_with_unsent_body_bytes_is_not_reused(world):
    await world.start(plain=1)
    server = world.servers_of("plain")[0]
    server.plan = [backend.Behaviour.EARLY]
    client = await world.client()
    response = await client.call("POST", "/book/1", "r1", b"x" * 90_000)
    assert response.status == 413
    for number in range(2, 5):
        response = await client.call("POST", "/book/1", f"r{number}", b"y")
        assert response.body.startswith(f"answer to r{number} ".encode())
    assert {request.body for request in server.received[1:]} == {b"y"}


async def test_daemons_started_while_the_store_refuses_calls_serve_later(
    world,
):
    await world.start(daemons=0)
    world.store.fault = store.Fault.BUSY
    for _ in range(3):
        await world.add_daemon()
    await asyncio.sleep(1.0)
    assert not any(daemon.is_ready() for daemon in world.daemons)
    client = await world.client()
    response = await client.call("GET", "/read/1", "r0")
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0
    world.store.fault = store.Fault.NONE
    await world.until(lambda: all(d.is_ready() for d in world.daemons), 2.0)
    await world.until(
        lambda: all(d.state.directory.usable("plain") for d in world.daemons),
        2.0,
    )
    response = await client.call("GET", "/read/1", "r1")
    assert response.status == 200


async def test_crashes_seen_by_several_daemons_are_added_up(world):
    await world.start(daemons=3)
    for daemon in world.daemons:
        await world.until(lambda d=daemon: len(d.members.alive()) == 2)
    now_s = asyncio.get_running_loop().time()
    for number, daemon in enumerate(world.daemons):
        daemon.state.crash_ledger.record_crash(
            (f"i-{number}", 1), ["request"], now_s, now_s
        )
    for daemon in world.daemons:
        ledger = daemon.state.crash_ledger
        await world.until(lambda x=ledger: x.find_cause(["request"]), 2.0)
        assert ledger.crash_count("request") == 3
