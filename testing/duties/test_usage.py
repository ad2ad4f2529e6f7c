"""Usage counts of several daemons, and time that no single clock decides."""

from turmericcroft.duties import lease
from turmericcroft.duties import usage


def test_a_window_sums_what_all_daemons_counted():
    counts = usage.UsageCounts(5.0)
    counts.note("north", 11.0)
    counts.note("north", 14.9)
    counts.note("east", 15.0)
    counts.hear("b/1", {2: {"north": 3}})
    assert counts.total(2, ["north", "east"]) == {"north": 5, "east": 0}


def test_a_restarted_daemon_adds_to_what_it_counted_before():
    counts = usage.UsageCounts(5.0)
    counts.hear("b/1", {2: {"north": 3}})
    counts.hear("b/2", {2: {"north": 1}})
    assert counts.total(2, [])["north"] == 4


def test_a_digest_that_comes_twice_counts_once():
    counts = usage.UsageCounts(5.0)
    for _ in range(3):
        counts.hear("b/1", {2: {"north": 3}})
    assert counts.total(2, [])["north"] == 3


def test_old_windows_are_forgotten():
    counts = usage.UsageCounts(5.0)
    for window in range(30):
        counts.note("north", window * 5.0)
        counts.hear("b/1", {window: {"north": 1}})
    assert len(counts.own) <= usage.KEPT_WINDOWS
    assert len(counts.peers["b/1"]) <= usage.KEPT_WINDOWS


def test_one_clock_that_jumps_is_corrected_by_the_others():
    clock = usage.TrueTime()
    for name in ("b", "c", "d"):
        clock.hear(name, 100.0, 102.0)
    assert clock.correct(102.0) == 100.0


def test_others_that_jump_do_not_move_this_clock():
    clock = usage.TrueTime()
    clock.hear("b", 102.0, 100.0)
    clock.hear("c", 100.0, 100.0)
    clock.hear("d", 100.0, 100.0)
    assert clock.correct(100.0) == 100.0


def test_a_holder_stops_before_its_lease_can_have_ended():
    holding = lease.Holding(1, 7, ttl_s=3.0, usable_from_s=0.0)
    holding.renewed(sent_at_s=10.0)
    assert not holding.may_act(10.0 + 3.0 - lease.SEND_MARGIN_S)
    assert holding.may_act(10.1)
