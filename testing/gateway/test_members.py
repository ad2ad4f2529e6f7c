"""Digests in small and large fleets."""

from turmericcroft.gateway import members


async def test_daemons_hear_each_other_directly(world):
    await world.start(daemons=3)
    for daemon in world.daemons:
        await world.until(lambda d=daemon: len(d.members.alive()) == 2)


async def test_news_reaches_all_of_a_large_fleet_by_neighbours(
    world, monkeypatch
):
    monkeypatch.setattr(members, "_DIRECT_MEMBERS", 2)
    monkeypatch.setattr(members, "_LARGE_DIGEST_INTERVAL_S", 0.2)
    monkeypatch.setattr(members, "_NEIGHBOUR_INTERVAL_S", 0.05)
    await world.start(daemons=7)
    for daemon in world.daemons:
        await world.until(lambda d=daemon: len(d.members.alive()) == 6)
    world.daemons[0].state.usage.note("north", 100.0)
    for daemon in world.daemons[1:]:
        await world.until(
            lambda d=daemon: any(
                counts for counts in d.state.usage.peers.values()
            )
        )


async def test_a_daemon_that_ends_is_noted_as_silent(world, monkeypatch):
    monkeypatch.setattr(members, "_SILENT_AFTER_S", 0.5)
    await world.start(daemons=2)
    first, second = world.daemons
    await world.until(lambda: first.members.alive())
    await second.close()
    await world.until(
        lambda: first.members.others["edge-2"].silent, timeout_s=3.0
    )


async def test_a_digest_that_comes_twice_is_taken_in_once(world):
    await world.start(daemons=2)
    first = world.daemons[0]
    await world.until(lambda: first.members.alive())
    observed = first.members.others["edge-2"]
    heard_at_s = observed.heard_at_s
    first.members._take_news(None, (observed.relayed,))
    assert observed.heard_at_s == heard_at_s
