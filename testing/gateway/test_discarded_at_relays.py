"""Daemons behind relays, after the store discarded changes."""

import asyncio

from testing.gateway import conftest
from testing.gateway import test_software_versions as versions
from turmericcroft.gateway import members
from turmericcroft.gateway import relaying
from turmericcroft.resumption import origins
from turmericcroft_lab.hosted import store


# Guards against daemons behind relays that never infer a version again: they
# asked the store for changes that it had discarded, each time anew. Streams are
# kept for 2 s instead of 30 s.
async def test_daemons_behind_relays_infer_versions_after_discarded_changes(
    world, monkeypatch
):
    monkeypatch.setattr(members, "_MAX_DIRECT_DAEMONS", 2)
    monkeypatch.setattr(relaying, "INTERVAL_S", 0.1)
    monkeypatch.setattr(origins, "RETENTION_S", 2.0)
    await world.start(daemons=0, engines=0)
    await versions.add_engines(world, "v1", "v1")
    for zone in ("a", "a", "a", "a", "b", "b"):
        await world.add_daemon(zone=zone)
    await world.until(
        lambda: all(d.members.is_large_fleet() for d in world.daemons)
    )
    await conftest.wait_for_sole_version(world)
    world.store.fault = store.Fault.BUSY
    for number in range(3):
        world.store.write("turmericcroft/other", str(number))
    world.store.compact_history()
    world.store.fault = store.Fault.NONE
    # The parts of the history that daemons follow anew are old enough then.
    await asyncio.sleep(5.0)
    followers = [
        number
        for number, daemon in enumerate(world.daemons)
        if not daemon.members.polls_store()
    ]
    assert followers
    confirmed = []
    for number in 2 * followers:
        # Relays have not told of this change yet.
        world.store.write("turmericcroft/other", "later")
        daemon = world.daemons[number]
        confirmed.append(await daemon.members.confirm_view() is not None)
        await asyncio.sleep(0.6)
    assert all(confirmed), confirmed
