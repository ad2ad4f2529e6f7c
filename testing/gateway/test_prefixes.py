"""Cached prompt prefixes: routing to engines that have them, and copies."""

from turmericcroft.gateway import prefix_recovery


def headers(part):
    return {
        "X_Model": "m",
        "X_Token_Usage": "5000,20",
        "X_Prompt_Prefix": f"{part}:4000,own:1000",
    }


async def test_cached_prefix_is_found_after_all_daemons_restarted(world):
    await world.start(daemons=0, engines=3)
    parts = [f"head{number}" for number in range(6)]
    caching_engine = world.servers_of("engines")[1]
    caching_engine.cached_prefixes = [(part, 4_000) for part in parts]
    await world.add_daemon()
    daemon = world.daemons[0]
    await world.until(lambda: daemon.state.cached_prefixes.all_prefixes())
    client = await world.client()
    for part in parts:
        response = await client.call(
            "POST", "/stream/fixed/1", part, b"x", **headers(part)
        )
        assert response.complete
        assert part in caching_engine.executed


async def test_new_daemon_gets_cached_prefixes_from_a_peer(world, monkeypatch):
    monkeypatch.setattr(prefix_recovery, "_MIN_UPTIME_MS", 0)
    await world.start(daemons=1, engines=3)
    client = await world.client()
    await client.call("POST", "/stream/fixed/1", "r1", b"x", **headers("h"))
    (caching_engine,) = (b for b in world.servers_of("engines") if b.executed)
    await world.add_daemon()
    second = world.daemons[1]
    await world.until(lambda: second.state.cached_prefixes.all_prefixes())
    client = await world.client(daemon=1)
    await client.call("POST", "/stream/fixed/1", "r2", b"x", **headers("h"))
    assert caching_engine.executed == ["r1", "r2"]


async def test_prefix_is_copied_from_a_draining_engine(world):
    await world.start(engines=2)
    client = await world.client()
    await client.call("POST", "/stream/fixed/1", "r1", b"x", **headers("h"))
    (caching_engine,) = (b for b in world.servers_of("engines") if b.executed)
    (other_engine,) = (b for b in world.servers_of("engines") if not b.executed)
    world.store.write(
        f"servers/{caching_engine.name}",
        caching_engine.registry_entry(state="draining", sequence=2),
    )
    daemon = world.daemons[0]
    await world.until(lambda: daemon.state.directory.leaving())
    await client.call("POST", "/stream/fixed/1", "r2", b"x", **headers("h"))
    assert (
        other_engine.received[0].headers["kv-fetch"] == caching_engine.address
    )
