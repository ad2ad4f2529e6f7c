"""A zone that is cut off while clients still reach it."""

import random

from turmericcroft.routing import zones

ZONES = ("own", "north", "south", "east", "west")
SERVERS_PER_ZONE = 8


def simulate(reachability, requests_per_s, seconds=6.0, seed=1):
    """Sends requests of one cut-off daemon; returns connections that failed.

    Only servers of its own zone respond.
    """
    rng = random.Random(seed)
    failures = requests = 0
    now_s = 0.0
    while now_s < seconds:
        now_s += rng.expovariate(requests_per_s)
        requests += 1
        excluded = set()
        while True:
            servers = [
                (zone, number)
                for zone in ZONES
                for number in range(SERVERS_PER_ZONE)
                if (zone, number) not in excluded
            ]
            reached = [
                server
                for server in servers
                if not (
                    reachability and reachability.is_avoided(server[0], now_s)
                )
            ]
            zone, number = rng.choice(reached or servers)
            if zone == "own":
                if reachability:
                    reachability.record_response(zone)
                break
            failures += 1
            excluded.add((zone, number))
            if reachability:
                reachability.record_failure(zone, f"{zone}-{number}", now_s)
    return failures / requests


def test_requests_of_a_cut_zone_find_the_servers_of_their_own_zone():
    # Four fifths of the servers are out of reach. Without the zones' state each
    # request fails to connect four times, and is given up after four.
    without = simulate(None, requests_per_s=10.0)
    noticed = simulate(zones.ZoneReachability(), requests_per_s=10.0)
    assert without > 3.0
    assert noticed < 0.6


def test_a_daemon_with_few_requests_notices_too():
    noticed = simulate(zones.ZoneReachability(), requests_per_s=2.0)
    assert noticed < 1.6


def test_crashed_servers_do_not_make_a_zone_avoided():
    reachability = zones.ZoneReachability()
    for step in range(20):
        reachability.record_failure("north", f"i-{step % 3}", step * 0.1)
        reachability.record_response("north")
        assert not reachability.is_avoided("north", step * 0.1)
    for step in range(3):
        reachability.record_failure("south", "i-9", step * 0.1)
    assert not reachability.is_avoided("south", 0.3)


def test_a_zone_is_used_again_at_its_first_response():
    reachability = zones.ZoneReachability()
    for server in ("i-1", "i-2"):
        reachability.record_failure("north", server, 1.0)
    assert reachability.is_avoided("north", 1.2)
    assert not reachability.is_avoided("north", 1.6)
    reachability.record_failure("north", "i-1", 1.6)
    assert reachability.is_avoided("north", 2.5)
    reachability.record_response("north")
    assert not reachability.is_avoided("north", 2.5)
