"""Choice of engines under loads of shared prompts, bursts and clumps."""

import random

from turmericcroft.fleet import directory
from turmericcroft.routing import engines


def make_servers(count, slots=64):
    return [
        directory.Server(f"i-{n}", "pool", "127.0.0.1", 1_000 + n, "z", slots)
        for n in range(count)
    ]


def prompt(prefix=1, prefix_tokens=13_000, suffix_tokens=4_000):
    return engines.Prompt(prefix, prefix_tokens, suffix_tokens, 100)


def choose(asked, servers, loads=None, cached=None, sources=()):
    return engines.choose(
        asked,
        servers,
        loads or engines.EngineLoads(),
        cached or engines.CachedPrefixes(),
        0.0,
        sources,
    )


def test_daemons_that_know_nothing_choose_the_same_server_for_a_head():
    servers = make_servers(6)
    for prefix in range(1, 40):
        shuffled = random.Random(prefix).sample(servers, 6)
        first = choose(prompt(prefix), servers)
        assert choose(prompt(prefix), shuffled).server == first.server


def test_heads_spread_over_servers():
    servers = make_servers(4)
    chosen = [choose(prompt(h), servers).server.name for h in range(1, 400)]
    for server in servers:
        assert 60 < chosen.count(server.name) < 140


def test_a_server_that_holds_the_head_is_preferred():
    servers = make_servers(4)
    for server in servers:
        cached = engines.CachedPrefixes()
        cached.record(server.incarnation, 1, 13_000, 0.0)
        pick = choose(prompt(), servers, cached=cached, sources=servers)
        assert pick.server == server
        assert pick.prefill_tokens == 4_000


def test_a_busy_holder_is_spared_and_its_head_is_fetched():
    servers = make_servers(3)
    cached = engines.CachedPrefixes()
    cached.record(servers[0].incarnation, 1, 13_000, 0.0)
    loads = engines.EngineLoads()
    loads.start(servers[0].name, 60_000)
    pick = choose(prompt(), servers, loads, cached, servers)
    assert pick.server != servers[0]
    assert pick.fetch_from == servers[0]
    assert pick.prefill_tokens == 4_000


def test_a_head_is_fetched_from_a_server_that_leaves():
    servers = make_servers(3)
    cached = engines.CachedPrefixes()
    cached.record(servers[0].incarnation, 1, 13_000, 0.0)
    pick = choose(prompt(), servers[1:], cached=cached, sources=servers)
    assert pick.fetch_from == servers[0]


def test_a_hot_head_spreads_over_servers_under_load():
    servers = make_servers(4)
    loads, cached = engines.EngineLoads(), engines.CachedPrefixes()
    used = set()
    for _ in range(60):
        pick = choose(prompt(), servers, loads, cached, servers)
        loads.start(pick.server.name, pick.prefill_tokens)
        cached.record(pick.server.incarnation, 1, 13_000, 0.0)
        used.add(pick.server.name)
    assert len(used) == 4
    unread = [loads.total(server.name).prefill_tokens for server in servers]
    assert max(unread) < 2 * min(unread)


def test_a_clump_of_different_prompts_is_spread_by_tokens_not_requests():
    servers = make_servers(4)
    loads, cached = engines.EngineLoads(), engines.CachedPrefixes()
    source = random.Random(7)
    for prefix in range(1, 80):
        size = int(source.lognormvariate(8.0, 1.1))
        pick = choose(prompt(prefix, 0, size), servers, loads, cached)
        loads.start(pick.server.name, pick.prefill_tokens)
    unread = [loads.total(server.name).prefill_tokens for server in servers]
    assert max(unread) - min(unread) < 60_000


def test_other_daemons_work_counts_until_they_are_silent():
    servers = make_servers(2)
    loads = engines.EngineLoads()
    loads.update_peer(
        "edge-2", {servers[0].name: engines.EngineLoad(5, 80_000)}
    )
    loads.update_peer(
        "edge-3", {servers[0].name: engines.EngineLoad(5, 80_000)}
    )
    assert choose(prompt(), servers, loads).server == servers[1]
    loads.update_peer("edge-2", {})
    loads.update_peer("edge-3", {})
    assert loads.total(servers[0].name) == engines.NO_LOAD


def test_a_full_server_is_passed_over():
    servers = make_servers(2, slots=4)
    loads = engines.EngineLoads()
    for _ in range(9):
        loads.start(servers[0].name, 0)
    assert choose(prompt(), servers, loads).server == servers[1]


def test_memory_of_heads_is_bounded():
    cached = engines.CachedPrefixes()
    cached.kv_cache_tokens = 100_000
    server = make_servers(1)[0].incarnation
    for prefix in range(1, 30):
        cached.record(server, prefix, 13_000, 0.0)
    assert not cached.holds(server, 1, 0.0)
    assert cached.holds(server, 29, 0.0)
