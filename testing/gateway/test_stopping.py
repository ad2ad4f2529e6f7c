"""Stop of a daemon: open responses complete, new clients and duties move on."""

import asyncio

import pytest

from turmericcroft.gateway import daemon as daemons


@pytest.fixture(autouse=True)
def short_balancer_delay(monkeypatch):
    monkeypatch.setattr(daemons, "BALANCER_DELAY_S", 0.2)


async def test_open_responses_complete_and_new_connections_are_refused(world):
    await world.start()
    for server in world.servers_of("engines"):
        server.event_count = 150
    client = await world.client()
    client.send("POST", "/stream/fixed/1", "r1", b"x")
    await world.until(lambda: world.count_executions("r1"))
    stop = asyncio.create_task(world.daemons[0].stop())
    await asyncio.sleep(0.1)
    late_client = await world.client()
    response = await late_client.call("GET", "/read/1", "r2")
    assert response.status == 200
    assert response.headers["connection"] == "close"
    await asyncio.sleep(0.3)
    with pytest.raises(ConnectionRefusedError):
        await world.client()
    assert (await client.receive()).complete
    await stop


async def test_stopping_daemon_is_not_ready(world):
    await world.start()
    daemon = world.daemons[0]
    assert daemon.is_ready()
    stop = asyncio.create_task(daemon.stop())
    await asyncio.sleep(0)
    assert not daemon.is_ready()
    await stop


async def test_lease_holder_ends_its_lease_on_stop(world):
    await world.start(daemons=1)
    daemon = world.daemons[0]
    await world.until(lambda: daemon.duty.held_lease is not None, 9.0)
    assert "turmericcroft/duties" in world.store.items
    await daemon.stop()
    assert "turmericcroft/duties" not in world.store.items
