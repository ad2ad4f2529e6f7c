"""Causes of server crashes, found from the requests on the servers."""

import itertools
import random

import pytest

from turmericcroft.routing import poison


@pytest.fixture
def ledger():
    return poison.CrashLedger()


def crash(ledger, number, *suspects, at_s=0.0):
    ledger.record_crash((f"i-{number}", 1), suspects, at_s, at_s)


def is_refused(ledger, *traits):
    return ledger.find_cause(traits) is not None


def test_a_request_that_crashed_three_servers_is_refused_by_all_daemons(ledger):
    peer = poison.CrashLedger()
    crash(ledger, 1, "request f")
    crash(peer, 2, "request f")
    crash(peer, 3, "request f", at_s=0.1)
    assert not is_refused(ledger, "request f")
    for now_s in (0.2, 0.3):
        for note in peer.notes(now_s):
            ledger.merge(note, now_s)
        assert is_refused(ledger, "request f")
        assert ledger.crash_count("request f") == 3


def test_a_crash_that_several_daemons_saw_counts_once(ledger):
    for _ in range(3):
        crash(ledger, 1, "part bad")
    assert ledger.crash_count("part bad") == 1
    assert not is_refused(ledger, "part bad")


def test_a_server_that_crashes_again_counts_again(ledger):
    for started_at_ms in (1, 2, 3):
        ledger.record_crash(("i-1", started_at_ms), ["part bad"], 0.0, 0.0)
    assert is_refused(ledger, "part bad")


def test_a_server_that_crashes_again_under_its_old_entry_counts_again(ledger):
    for sent_at_s in (0.0, 2.0, 4.0):
        for reported_s in (0.1, 0.2):
            now_s = sent_at_s + reported_s
            ledger.record_crash(("i-1", 1), ["part bad"], sent_at_s, now_s)
    assert ledger.crash_count("part bad") == 3


# Guards against counts by whole requests only (issue 26, BUDGET).
def test_a_part_that_different_requests_share_is_found(ledger):
    for number in range(3):
        crash(ledger, number, f"request {number}", "part base", "part bad")
        ledger.record_answer(["request x", "part base"], 1.0)
    assert is_refused(ledger, "request new", "part base", "part bad")
    assert not is_refused(ledger, "request new", "part base", "part good")


def test_requests_on_a_server_that_another_one_crashed_are_served(ledger):
    # Their account, key and other parts are those of the crashing requests.
    for number in range(4):
        crash(
            ledger,
            number,
            f"request {number}",
            "part bad",
            "request sound",
            "part neighbour",
            f"part topic-{number}",
        )
    # What was present each time can't be told apart from the cause ...
    assert is_refused(ledger, "part bad", "part neighbour", "request sound")
    assert not is_refused(ledger, "part neighbour", "request other")
    # ... until a request with a part of it is answered.
    ledger.record_answer(["request sound", "part neighbour"], 1.0)
    assert not is_refused(ledger, "request sound", "part neighbour")
    assert is_refused(ledger, "request new", "part bad")


def test_a_crash_without_some_of_the_suspects_singles_out_the_others(ledger):
    for number in range(3):
        crash(ledger, number, "part rare", "part bad")
    assert not is_refused(ledger, "part bad", "part other")
    crash(ledger, 3, "part bad", "part other")
    assert is_refused(ledger, "part bad", "part another")
    assert not is_refused(ledger, "part rare")


def test_two_causes_are_found_at_the_same_time(ledger):
    for number in range(8):
        crash(ledger, number, f"part bad-{number % 2}", f"request {number}")
    assert is_refused(ledger, "part bad-0")
    assert is_refused(ledger, "part bad-1")
    assert len(ledger.causes) == 2


def test_what_was_answered_before_is_not_refused_when_three_servers_crash(
    ledger,
):
    ledger.record_answer(["part base"], 0.0)
    for number in range(3):
        crash(ledger, number, "part base", at_s=1.0)
    assert not is_refused(ledger, "part base")
    for number in range(3, 5):
        crash(ledger, number, "part base", at_s=1.0)
    assert is_refused(ledger, "part base")


def test_an_answer_clears_a_request_that_is_often_sent(ledger):
    # Lookups have no body, so all of them have the same hash. Servers that
    # crashed for other reasons with a lookup on them led to its refusal.
    for number in range(9):
        crash(ledger, number, "request lookup", at_s=float(number))
        ledger.record_answer(["request lookup"], number + 0.5)
    assert not is_refused(ledger, "request lookup")


def test_an_answer_that_one_daemon_saw_clears_at_all(ledger):
    peer = poison.CrashLedger()
    for number in range(3):
        crash(ledger, number, "part base")
    for note in ledger.notes(0.1):
        peer.merge(note, 0.1)
    assert is_refused(peer, "part base")
    peer.record_answer(["part base"], 0.2)
    for note in peer.notes(0.3):
        ledger.merge(note, 0.3)
    assert not is_refused(ledger, "part base")


@pytest.mark.parametrize("seed", range(20))
def test_daemons_find_the_same_causes_in_any_order_of_notes(seed):
    rng = random.Random(seed)
    notes = [
        poison.CrashNote(
            f"i-{rng.randrange(8)}",
            1,
            tuple(rng.sample("abcdef", 3)),
            tuple(rng.sample("abcdef", rng.randrange(2))),
        )
        for _ in range(20)
    ]
    ledgers = []
    for _ in range(3):
        ledger = poison.CrashLedger()
        # A note that clears a trait is kept only once the crash is known.
        for note in itertools.chain(rng.sample(notes, 20), notes):
            ledger.merge(note, 0.0)
        ledgers.append(ledger)
    assert len({ledger.causes for ledger in ledgers}) == 1


def test_a_daemon_that_starts_later_learns_causes_but_no_old_crashes(ledger):
    for number in range(3):
        crash(ledger, number, "part bad")
    crash(ledger, 3, "request f")
    assert len(ledger.notes(1.0)) == 4
    started = poison.CrashLedger()
    for note in ledger.notes(100.0):
        started.merge(note, 100.0)
    assert is_refused(started, "part bad")
    assert started.crash_count("request f") == 0


def test_the_evidence_of_a_cause_is_enough_to_find_it_again(ledger):
    for number in range(4):
        crash(ledger, number, "part bad", f"request {number}")
    restarted = poison.CrashLedger()
    (cause,) = ledger.causes
    for note in ledger.evidence(cause, 50.0):
        restarted.merge(note, 50.0)
    assert [c.key for c in restarted.causes] == [cause.key]
    evidence = ledger.evidence(cause, 50.0)
    assert all(map(ledger.is_suspected, evidence))
    ledger.record_answer(["part bad"], 60.0)
    assert not any(map(ledger.is_suspected, evidence))


def test_a_refused_request_is_tried_again_after_a_time_that_doubles(ledger):
    for number in range(3):
        crash(ledger, number, "part bad")
    (cause,) = ledger.causes
    assert not ledger.try_start_trial(cause, 59.0)
    assert ledger.try_start_trial(cause, 60.0)
    assert not ledger.try_start_trial(cause, 61.0)
    crash(ledger, 3, "part bad", at_s=62.0)
    (cause,) = ledger.causes
    assert not ledger.try_start_trial(cause, 62.0 + 119.0)
    assert ledger.try_start_trial(cause, 62.0 + 120.0)


def test_crash_counts_expire_and_are_bounded(ledger):
    for number in range(5_000):
        crash(ledger, number, f"request {number}")
    assert len(ledger.crashes) <= 200
    assert len(ledger.notes(0.0)) <= 200
    ledger.expire(1_000.0)
    assert not ledger.crashes
    assert ledger.crash_count("request 4999") == 0


def test_daemons_do_not_tell_each_other_old_crashes_for_ever():
    first, second = poison.CrashLedger(), poison.CrashLedger()
    for number in range(3):
        crash(first, number, "part bad")
    for now_s in range(0, 3_900, 100):
        for ledger, other in ((first, second), (second, first)):
            ledger.expire(float(now_s))
            for note in ledger.notes(float(now_s)):
                other.merge(note, float(now_s))
    for ledger in (first, second):
        assert not is_refused(ledger, "part bad")


def test_a_cause_outlives_crashes_without_one(ledger):
    for number in range(3):
        crash(ledger, number, "part bad")
    for number in range(300):
        crash(ledger, f"other-{number}", f"request {number}")
    ledger.expire(1_000.0)
    assert is_refused(ledger, "part bad")
    evidence = ledger.evidence(ledger.causes[0], 1_000.0)
    ledger.expire(4_000.0)
    assert not is_refused(ledger, "part bad")
    assert not any(map(ledger.is_suspected, evidence))


def test_traits_of_a_crash_are_bounded(ledger):
    crash(ledger, 1, *(f"request {number}" for number in range(150)))
    crash(ledger, 1, *(f"request {number}" for number in range(100, 400)))
    assert sum(len(c.suspects) for c in ledger.crashes.values()) <= 200
