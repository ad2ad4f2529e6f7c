"""Servers that start again under their ids with another software version."""

import asyncio
import json

from testing.gateway import test_confirmed_versions as confirmed
from turmericcroft.fleet import positions
from turmericcroft.gateway import ports


# Guards against a version that is forgotten because the daemon stood still
# before it read that the server had started again with another one.
async def test_the_version_that_a_server_had_until_now_counts_as_seen(world):
    await confirmed.start(world, daemons=1)
    daemon = world.daemons[0]
    state, view = daemon.state, daemon.store_view
    now_s = asyncio.get_running_loop().time()
    # As after a pause of 40 s: nothing was recorded meanwhile.
    seen = state.software_versions._seen
    for origin in seen:
        seen[origin] = now_s - 40.0
    at = positions.StorePosition(
        view.fleet_position.era, view.fleet_position.revision + 1
    )
    entries = [
        ports.Item(
            f"servers/{x.name}",
            json.dumps(x.registry_entry(version="v2")).encode(),
            at,
        )
        for x in world.servers_of("engines")
    ]
    view.apply_changes(entries, at)
    now_s = asyncio.get_running_loop().time()
    assert state.software_versions.recent("engines", now_s) == ["v1", "v2"]
