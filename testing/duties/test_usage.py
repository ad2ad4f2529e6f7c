"""Tests of usage counts over several daemons, the clock and the lease."""

from turmericcroft.duties import lease
from turmericcroft.duties import usage


def test_total_sums_the_counts_of_all_daemons():
    counts = usage.UsageCounts(5.0)
    counts.record("north", 11.0)
    counts.record("north", 14.9)
    counts.record("east", 15.0)
    counts.update_peer("b/1", {2: {"north": 3}})
    assert counts.total(2, ["north", "east"]) == {"north": 5, "east": 0}


def test_counts_of_a_restarted_daemon_add_to_its_earlier_counts():
    counts = usage.UsageCounts(5.0)
    counts.update_peer("b/1", {2: {"north": 3}})
    counts.update_peer("b/2", {2: {"north": 1}})
    assert counts.total(2, [])["north"] == 4


def test_duplicate_counts_of_a_peer_are_counted_once():
    counts = usage.UsageCounts(5.0)
    for _ in range(3):
        counts.update_peer("b/1", {2: {"north": 3}})
    assert counts.total(2, [])["north"] == 3


# An account that the declaration no longer names used servers before that.
def test_requests_of_an_account_that_is_gone_are_in_its_last_window():
    counts = usage.UsageCounts(5.0)
    counts.record("gone", 2.0)
    counts.update_peer("edge-2", {0: {"gone": 2, "north": 1}})
    assert counts.total(0, []) == {"gone": 3, "north": 1}
    assert counts.total(1, ["north"]) == {"north": 0}


def test_old_windows_are_removed():
    counts = usage.UsageCounts(5.0)
    for window in range(30):
        counts.record("north", window * 5.0)
        counts.update_peer("b/1", {window: {"north": 1}})
    assert len(counts.own) <= usage.RETAINED_WINDOWS
    assert len(counts.peers["b/1"]) <= usage.RETAINED_WINDOWS


def test_own_clock_jump_is_corrected_by_the_peers():
    clock = usage.MedianClock()
    for name in ("b", "c", "d"):
        clock.update_peer(name, 100.0, 102.0)
    assert clock.correct(102.0) == 100.0


def test_clock_jump_of_one_peer_does_not_change_the_median():
    clock = usage.MedianClock()
    clock.update_peer("b", 102.0, 100.0)
    clock.update_peer("c", 100.0, 100.0)
    clock.update_peer("d", 100.0, 100.0)
    assert clock.correct(100.0) == 100.0


def test_holder_stops_before_its_lease_can_have_expired():
    held = lease.HeldLease(1, 7, ttl_s=3.0, usable_from_s=0.0)
    held.record_renewal(sent_at_s=10.0)
    assert not held.may_act(10.0 + 3.0 - lease.SEND_MARGIN_S)
    assert held.may_act(10.1)
