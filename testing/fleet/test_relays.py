"""Tests of the choice of a zone's relay."""

import collections

from turmericcroft.fleet import relays

CANDIDATES = [
    relays.Candidate("edge-1", 10.0),
    relays.Candidate("edge-2", 10.0),
    relays.Candidate("edge-3", 200.0),
]


def choose(reach, now_s):
    chosen = reach.choose(CANDIDATES, now_s)
    return chosen.name if chosen else None


def test_fastest_link_is_chosen_first_then_lowest_name():
    reach = relays.Reachability()
    assert choose(reach, 0.0) == "edge-3"
    reach.record_failure("edge-3", 0.0)
    assert choose(reach, 0.1) == "edge-1"


def test_daemon_is_chosen_again_after_backoff_or_answer():
    reach = relays.Reachability()
    reach.record_failure("edge-3", 0.0)
    assert choose(reach, 3.9) == "edge-1"
    assert choose(reach, 4.0) == "edge-3"
    reach.record_failure("edge-3", 4.0)
    assert choose(reach, 11.0) == "edge-1"
    reach.record_answer("edge-3")
    assert choose(reach, 11.0) == "edge-3"


def test_no_daemon_is_chosen_if_none_is_reachable():
    reach = relays.Reachability()
    for candidate in CANDIDATES:
        reach.record_failure(candidate.name, 0.0)
    assert choose(reach, 1.0) is None


def test_an_update_is_fetched_from_the_own_zone_and_otherwise_spread():
    # Guards against all daemons of a fleet fetching a declaration of some
    # hundred KB from the one relay that announced it first: its link then
    # carries the text once for each daemon, and every call times out.
    zones = [f"zone-{number}" for number in range(6)]
    sources = [relays.Source(f"relay-{zone}", zone) for zone in zones]
    chosen = collections.Counter(
        relays.choose_source(sources, zone, f"edge-{zone}-{number}").name
        for zone in zones
        for number in range(32)
    )
    assert set(chosen.values()) == {32}
    others = collections.Counter(
        relays.choose_source(sources[1:], "zone-0", f"edge-{number}").name
        for number in range(100)
    )
    assert max(others.values()) <= 40
    assert relays.choose_source([], "zone-0", "edge-1") is None
