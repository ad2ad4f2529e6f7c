"""Stop of a daemon: open responses complete, new clients and duties move on."""

import asyncio
import operator

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


# Guards against a connection that closes without notice at the end of a stream
# that began before the stop: the client's next request crossed the close.
async def test_the_request_after_a_stream_announces_the_close(world):
    await world.start()
    for server in world.servers_of("engines"):
        server.event_count, server.event_interval_s = 10, 0.01
    client = await world.client()
    client.send("POST", "/stream/fixed/1", "r1", b"x")
    is_begun = operator.attrgetter("response.has_begun")
    daemon = world.daemons[0]
    await world.until(lambda: any(map(is_begun, daemon.state.open_requests)))
    stop = asyncio.create_task(daemon.stop())
    stream = await client.receive()
    assert stream.complete
    assert "connection" not in stream.headers
    response = await client.call("GET", "/read/1", "r2")
    assert response.status == 200
    assert response.headers["connection"] == "close"
    assert await client.reader.read() == b""
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
