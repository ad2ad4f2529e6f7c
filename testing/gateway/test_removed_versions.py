"""Versions whose servers the store has removed, and that begin streams yet."""

import asyncio

from testing.gateway import test_confirmed_versions as confirmed
from testing.gateway import test_software_versions as versions
from turmericcroft.fleet import directory
from turmericcroft.resumption import origins
from turmericcroft_lab.hosted import proxy


# Guards against a version that counts as gone some time after the removal of
# its servers, while a daemon that is cut off with them still begins streams
# there. The daemons keep servers and versions for 2 s each, instead of 30 s.
async def test_a_version_is_not_gone_while_a_daemon_that_is_silent_may_use_it(
    world, monkeypatch
):
    link, _ = await confirmed.start(world)
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
    link.partition(proxy.Partition.HANGING)
    confirmed.cut_from_peers(world.daemons[0], monkeypatch)
    # Its lease expires, as that of a server does that is cut off, too.
    world.store.remove(f"servers/{server.name}")
    await asyncio.sleep(6.0)
    await confirmed.begin_at(world, server)
    response = await versions.resume(world, 1, "r2", "r1")
    assert response.status == 503
    assert confirmed.count_versions(world, "r2") == set()
