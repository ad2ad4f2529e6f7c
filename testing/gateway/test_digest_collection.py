"""Sums that a relay makes of the digests of its zone."""

import pytest

from turmericcroft.duties import scaling
from turmericcroft.gateway import digest_collection
from turmericcroft.gateway import messages
from turmericcroft.gateway import relaying


def digest(name, number, units=0.0, incarnation=1, work=None, demand=0.0):
    return messages.Digest(
        member=messages.Member(name, incarnation, "a", "10.0.0.1", 7_600),
        number=number,
        wall_s=0.0,
        version=1,
        fleet_age_s=0.0,
        work=work or {},
        quota_totals={"north": units},
        usage={7: {"north": number}},
        crashes={},
        demand={"engines": scaling.DemandTotals(demand, demand)},
        heads=(),
    )


def test_totals_of_the_first_digest_are_left_out_of_the_sums():
    collection = digest_collection.DigestCollection()
    collection.add(digest("edge-1", 5, units=900.0, demand=3.0), 0.0)
    assert collection.quota_totals.get("north", 0.0) == 0.0
    collection.add(digest("edge-1", 6, units=950.0, demand=3.5), 0.4)
    collection.add(digest("edge-2", 1, units=10.0), 0.4)
    collection.add(digest("edge-2", 2, units=14.0), 0.8)
    assert collection.quota_totals["north"] == pytest.approx(54.0)
    assert collection.demand["engines"].usual_s == pytest.approx(0.5)


def test_a_late_or_repeated_digest_adds_nothing():
    collection = digest_collection.DigestCollection()
    for number, units in ((1, 0.0), (3, 30.0), (2, 20.0), (3, 30.0)):
        collection.add(digest("edge-1", number, units=units), 0.0)
    assert collection.quota_totals["north"] == pytest.approx(30.0)


def test_a_restarted_daemon_does_not_reduce_the_sums():
    collection = digest_collection.DigestCollection()
    collection.add(digest("edge-1", 1, units=0.0), 0.0)
    collection.add(digest("edge-1", 2, units=40.0), 0.4)
    collection.add(digest("edge-1", 1, units=0.0, incarnation=2), 3.0)
    collection.add(digest("edge-1", 2, units=5.0, incarnation=2), 3.4)
    assert collection.quota_totals["north"] == pytest.approx(45.0)


def test_a_silent_daemon_keeps_its_usage_but_not_its_work():
    collection = digest_collection.DigestCollection()
    collection.add(digest("edge-1", 1, work={"i-1": (2, 100)}), 0.0)
    collection.add(digest("edge-2", 1, work={"i-1": (1, 50)}), 2.5)
    live = collection.live_digests(3.0)
    assert collection.work(live) == {"i-1": (1, 50)}
    assert set(collection.usage()) == {"edge-1/1", "edge-2/1"}


def test_a_summary_of_another_zone_counts_as_three_rounds_old():
    relay = messages.Member("edge-1", 1, "a", "10.0.0.1", 7_600)
    summary = messages.Summary(relay, 1, 0.0, 1, 1, 1, 0.5, {}, {}, {}, {}, ())
    encoded = messages.Encoded(relay.key, 1, b"")
    held = relaying.HeldSummary(summary, encoded, received_at_s=10.0)
    round_s = relaying.INTERVAL_S
    assert held.fleet_age_s("a", 10.2) == pytest.approx(0.7 + round_s)
    assert held.fleet_age_s("b", 10.2) == pytest.approx(0.7 + 3 * round_s)
