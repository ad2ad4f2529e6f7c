"""Calls that were given up leave nothing behind in the network."""

import asyncio

import pytest

from turmericcroft.gateway import ports
from turmericcroft.platform import cloud
from turmericcroft.platform import store


class Listener:
    """Accepts connections and never answers."""

    def __init__(self):
        self.ended_by = asyncio.get_running_loop().create_future()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        try:
            while await reader.read(65_536):
                pass
            self.ended_by.set_result("closed")
        except ConnectionResetError:
            self.ended_by.set_result("reset")
        writer.close()


@pytest.fixture
async def listener():
    built = Listener()
    built.address = await built.start()
    yield built
    built.server.close()


async def test_an_order_that_is_given_up_resets_its_connection(
    listener, monkeypatch
):
    # An order that a cut held up arrived 6 s after it had healed, behind
    # those of the next holder (hanbit-shared trouble-3, ONE).
    monkeypatch.setattr(cloud, "_CALL_TIMEOUT_S", 0.2)
    client = cloud.Cloud(listener.address)
    outcome = await client.order_servers(
        "pool", "zone-a", 1, True, ports.FencingToken("edge-1", 7)
    )
    assert outcome is ports.CallOutcome.FAILED
    assert await asyncio.wait_for(listener.ended_by, 2.0) == "reset"
    await client.close()


async def test_a_store_call_that_is_given_up_resets_its_connection(
    listener, monkeypatch
):
    monkeypatch.setattr(store, "_CALL_TIMEOUT_S", 0.2)
    client = store.Store(listener.address)
    with pytest.raises(Exception, match="expected an answer"):
        await client.grant_lease(1.0)
    assert await asyncio.wait_for(listener.ended_by, 2.0) == "reset"
    await client.close()
