"""Selection of engines under shared prefixes and bursts of prompts."""

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


def choose(requested, servers, loads=None, cached=None, sources=()):
    return engines.choose(
        requested,
        servers,
        loads or engines.EngineLoads(),
        cached or engines.CachedPrefixes(),
        0.0,
        sources,
    )


def test_daemons_without_state_select_the_same_server_for_a_prefix():
    servers = make_servers(6)
    for prefix in range(1, 40):
        shuffled = random.Random(prefix).sample(servers, 6)
        first = choose(prompt(prefix), servers)
        assert choose(prompt(prefix), shuffled).server == first.server


def test_prefixes_spread_over_servers():
    servers = make_servers(4)
    chosen = [
        choose(prompt(prefix), servers).server.name for prefix in range(1, 400)
    ]
    for server in servers:
        assert 60 < chosen.count(server.name) < 140


def test_a_server_that_has_the_prefix_cached_is_preferred():
    servers = make_servers(4)
    for server in servers:
        cached = engines.CachedPrefixes()
        cached.record(server.incarnation, 1, 13_000, 0.0)
        selected = choose(prompt(), servers, cached=cached, sources=servers)
        assert selected.server == server
        assert selected.prefill_tokens == 4_000


def test_the_prefix_is_fetched_from_a_busy_server_that_has_it_cached():
    servers = make_servers(3)
    cached = engines.CachedPrefixes()
    cached.record(servers[0].incarnation, 1, 13_000, 0.0)
    loads = engines.EngineLoads()
    loads.start(servers[0].name, 60_000)
    selected = choose(prompt(), servers, loads, cached, servers)
    assert selected.server != servers[0]
    assert selected.fetch_from == servers[0]
    assert selected.prefill_tokens == 4_000


def test_a_prefix_is_fetched_from_a_server_that_is_leaving():
    servers = make_servers(3)
    cached = engines.CachedPrefixes()
    cached.record(servers[0].incarnation, 1, 13_000, 0.0)
    selected = choose(prompt(), servers[1:], cached=cached, sources=servers)
    assert selected.fetch_from == servers[0]


def test_a_popular_prefix_spreads_over_servers_under_load():
    servers = make_servers(4)
    loads, cached = engines.EngineLoads(), engines.CachedPrefixes()
    used = set()
    for _ in range(60):
        selected = choose(prompt(), servers, loads, cached, servers)
        loads.start(selected.server.name, selected.prefill_tokens)
        cached.record(selected.server.incarnation, 1, 13_000, 0.0)
        used.add(selected.server.name)
    assert len(used) == 4
    prefill_tokens = [
        loads.total(server.name).prefill_tokens for server in servers
    ]
    assert max(prefill_tokens) < 2 * min(prefill_tokens)


def test_a_burst_of_different_prompts_is_spread_by_tokens_not_requests():
    servers = make_servers(4)
    loads, cached = engines.EngineLoads(), engines.CachedPrefixes()
    source = random.Random(7)
    for prefix in range(1, 80):
        size = int(source.lognormvariate(8.0, 1.1))
        selected = choose(prompt(prefix, 0, size), servers, loads, cached)
        loads.start(selected.server.name, selected.prefill_tokens)
    prefill_tokens = [
        loads.total(server.name).prefill_tokens for server in servers
    ]
    assert max(prefill_tokens) - min(prefill_tokens) < 60_000


def test_load_from_other_daemons_counts_until_they_end():
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


def test_a_server_without_free_slots_is_avoided():
    servers = make_servers(2, slots=4)
    loads = engines.EngineLoads()
    for _ in range(9):
        loads.start(servers[0].name, 0)
    assert choose(prompt(), servers, loads).server == servers[1]


def test_cached_prefixes_are_bounded_by_the_kv_cache():
    cached = engines.CachedPrefixes()
    cached.kv_cache_tokens = 100_000
    server = make_servers(1)[0].incarnation
    for prefix in range(1, 30):
        cached.record(server, prefix, 13_000, 0.0)
    assert not cached.holds(server, 1, 0.0)
    assert cached.holds(server, 29, 0.0)
