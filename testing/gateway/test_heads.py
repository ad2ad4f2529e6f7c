"""Heads of prompts: where they are known to lie, also after restarts."""

from turmericcroft.gateway import recalling


def headers(part):
    return {
        "X_Model": "m",
        "X_Token_Usage": "5000,20",
        "X_Prompt_Prefix": f"{part}:4000,own:1000",
    }


async def test_a_request_goes_where_its_head_was_before_all_restarted(world):
    await world.start(daemons=0, engines=3)
    parts = [f"head{number}" for number in range(6)]
    holder = world.of("engines")[1]
    holder.held = [(part, 4_000) for part in parts]
    await world.add_daemon()
    daemon = world.daemons[0]
    await world.until(lambda: daemon.state.cached_prefixes.all_heads())
    client = await world.client()
    for part in parts:
        answer = await client.call(
            "POST", "/stream/fixed/1", part, b"x", **headers(part)
        )
        assert answer.complete
        assert part in holder.ran


async def test_a_new_daemon_learns_heads_from_one_that_ran_before(
    world, monkeypatch
):
    monkeypatch.setattr(recalling, "_EXPERIENCED_MS", 0)
    await world.start(daemons=1, engines=3)
    client = await world.client()
    await client.call("POST", "/stream/fixed/1", "r1", b"x", **headers("h"))
    (holder,) = (b for b in world.of("engines") if b.ran)
    await world.add_daemon()
    second = world.daemons[1]
    await world.until(lambda: second.state.cached_prefixes.all_heads())
    client = await world.client(daemon=1)
    await client.call("POST", "/stream/fixed/1", "r2", b"x", **headers("h"))
    assert holder.ran == ["r1", "r2"]


async def test_a_head_is_fetched_when_its_holder_leaves(world):
    await world.start(engines=2)
    client = await world.client()
    await client.call("POST", "/stream/fixed/1", "r1", b"x", **headers("h"))
    (holder,) = (b for b in world.of("engines") if b.ran)
    (other,) = (b for b in world.of("engines") if not b.ran)
    world.store.write(
        f"servers/{holder.name}", holder.entry(state="draining", sequence=2)
    )
    daemon = world.daemons[0]
    await world.until(lambda: daemon.state.directory.leaving())
    await client.call("POST", "/stream/fixed/1", "r2", b"x", **headers("h"))
    assert other.seen[0].headers["kv-fetch"] == holder.address
