"""Daemons that learn from others that the store continues from a copy."""

import asyncio

import pytest

from testing.gateway import test_confirmed_versions as confirmed
from testing.gateway import test_software_versions as versions
from turmericcroft.fleet import positions
from turmericcroft.resumption import coverage
from turmericcroft_lab.hosted import proxy


# Guards against a daemon that never follows the store again: another one told
# it a span of the next era first, after which it had none of its own.
def test_changes_are_followed_without_a_span_of_their_era():
    at = positions.StorePosition(1, 9)
    versions_seen = coverage.VersionCoverage()
    versions_seen.begin(at, at, 0.0)
    later = positions.StorePosition(2, 4)
    versions_seen.merge(
        coverage.VersionHistory(1.0, (), later, later), now_s=1.0
    )
    assert versions_seen.follow_from(at) == at


# The same with daemons, of which one notices the restore later. It must follow
# the store itself: the other one, from which it gets the servers, may end.
@pytest.mark.parametrize("is_cut_off", [False, True])
async def test_a_daemon_that_hears_of_a_restore_follows_the_store(
    world, is_cut_off
):
    _, link = await confirmed.start(world)
    first, second = world.daemons
    copy = world.store.copy()
    if is_cut_off:
        link.partition(proxy.Partition.RESETTING)
    world.store.restore(copy)
    await world.until(lambda: first.store_view.fleet_position.era == 2, 4.0)
    # Its digests tell the other one.
    await asyncio.sleep(0.6)
    if is_cut_off:
        await link.start()
    await world.daemons.pop(0).close()
    server = await world.add_backend("engines", version="v2")
    await world.until(
        lambda: server.name in second.state.directory.records, 6.0
    )
    # It can't be known from before the restore where a stream began.
    response = await versions.resume(world, 0, "r2", "never-seen")
    assert response.status == 503
