"""Versions whose servers the store has removed, and that begin streams yet."""

import asyncio

import pytest

from testing.gateway import test_confirmed_versions as confirmed
from testing.gateway import test_software_versions as versions
from turmericcroft import errors
from turmericcroft.fleet import directory
from turmericcroft.resumption import origins
from turmericcroft_lab.hosted import proxy


async def start_with_v2(world, monkeypatch):
    """Starts two daemons and a server of v2; returns it and their links.

    The daemons keep servers and versions for 2 s each, instead of 30 s.
    """
    links = await confirmed.start(world)
    server = await world.add_backend("engines", version="v2")
    server.version, server.event_count = "v2", 60
    server.event_interval_s = 0.03
    await world.until(
        lambda: all(
            server.name in d.state.directory.records for d in world.daemons
        )
    )
    monkeypatch.setattr(directory, "_UNUSED_RETENTION_S", 2.0)
    monkeypatch.setattr(origins, "RETENTION_S", 2.0)
    return server, links


# Guards against a version that counts as gone some time after the removal of
# its servers, while a daemon that is cut off with them still begins streams
# there. Until others have forgotten the version they refuse its clients; the
# daemon begins no stream by a view that is older.
@pytest.mark.parametrize("cut_s", [0.5, 6.0])
async def test_a_version_is_not_gone_while_a_daemon_that_is_silent_may_use_it(
    world, monkeypatch, cut_s
):
    server, (link, _) = await start_with_v2(world, monkeypatch)
    link.partition(proxy.Partition.HANGING)
    confirmed.cut_from_peers(world.daemons[0], monkeypatch)
    # Its lease expires, as that of a server does that is cut off, too.
    world.store.remove(f"servers/{server.name}")
    await asyncio.sleep(cut_s)
    if cut_s < 2.0:
        await confirmed.begin_at(world, server)
        response = await versions.resume(world, 1, "r2", "r1")
        assert response.status == 503
        assert confirmed.count_versions(world, "r2") == set()
        return
    client = await world.client(0)
    response = await client.call("POST", "/stream/again/1", "r1", b"x")
    assert response.status == 503
    assert b"outdated_view" in response.body
    assert float(response.headers["retry-after"]) > 0.0
    assert confirmed.count_versions(world, "r1") == set()
    # What nobody takes up at another daemon is served.
    fixed = await client.call("POST", "/stream/fixed/1", "f1", b"x")
    assert fixed.status == 200


# While all daemons answer, none of them has learned of a removal: an outage of
# the store that lasts is not one of all streams.
async def test_streams_begin_in_a_long_outage_of_the_store(world, monkeypatch):
    _, links = await start_with_v2(world, monkeypatch)
    for link in links:
        link.partition(proxy.Partition.HANGING)
    await asyncio.sleep(4.0)
    for daemon in range(2):
        client = await world.client(daemon)
        response = await client.call(
            "POST", "/stream/again/1", f"s{daemon}", b"x"
        )
        assert response.status == 200


# Guards against a daemon that takes what it heard before it stood still, or
# digests of daemons that it can't call, for a proof that nobody knows more.
async def test_old_words_and_newer_views_of_others_prove_nothing(
    world, monkeypatch
):
    _, (link, _) = await start_with_v2(world, monkeypatch)
    state = world.daemons[0].state
    loop = asyncio.get_running_loop()
    assert not state.may_use_forgotten_servers(loop.time())
    # It stood still until a later time, and nothing of it has run yet.
    assert state.may_use_forgotten_servers(loop.time() + 5.0)
    # It hears the other daemon, which reads the store, and can't call it.
    link.partition(proxy.Partition.HANGING)

    async def fail(*_):
        raise errors.MeshError("cut off")

    monkeypatch.setattr(world.daemons[0].members.fetcher, "request", fail)
    await asyncio.sleep(6.0)
    assert len(world.daemons[0].members.alive()) == 1
    assert state.may_use_forgotten_servers(loop.time())
