"""What was seen of software versions, and where changes may be missing."""

import pytest

from turmericcroft.fleet import positions
from turmericcroft.resumption import coverage

POOL = "pool"
LONG_S = 40.0


def at(revision, era=1):
    return positions.StorePosition(era, revision)


def followed(first, last, version="v1", since_s=0.0):
    """Returns the view of a daemon that listed and followed the store."""
    found = coverage.VersionCoverage()
    found.begin(at(first), at(first), since_s)
    found.extend(at(first), at(last))
    found.record([(POOL, version)], LONG_S)
    return found


def sole(found, revision, now_s=LONG_S, era=1):
    return found.find_sole(POOL, at(revision, era), now_s)


# Guards against a version that is inferred although a server of another one may
# have joined since the view was current (issue 54).
def test_a_view_proves_nothing_about_later_changes():
    found = followed(10, 20)
    assert sole(found, 20) == "v1"
    assert sole(found, 21) is None


# Guards against changes that were missed between a view and a later listing:
# what joined and left meanwhile is in neither.
def test_a_listing_after_a_gap_proves_nothing_about_the_gap():
    found = followed(10, 20)
    found.begin(at(30), at(30), LONG_S)
    found.extend(at(30), at(40))
    assert sole(found, 40) is None
    assert sole(found, 40, LONG_S + 29.0) is None
    found.record([(POOL, "v1")], LONG_S + 31.0)
    assert sole(found, 40, LONG_S + 31.0) == "v1"


def test_the_changes_of_a_gap_close_it():
    found = followed(10, 20)
    found.begin(at(30), at(30), LONG_S)
    assert found.follow_from(at(30)) == at(20)
    found.extend(at(20), at(35))
    assert sole(found, 35) == "v1"
    assert found.follow_from(at(35)) == at(35)


def test_changes_that_the_store_has_discarded_leave_the_gap_open():
    found = followed(10, 20)
    found.begin(at(30), at(30), LONG_S)
    found.drop(at(20))
    found.extend(at(30), at(35))
    assert found.follow_from(at(35)) == at(35)
    assert sole(found, 35) is None


# Guards against a daemon that asks again and again for discarded changes, as
# one that is cut off states the same part with each of its digests.
def test_discarded_changes_are_not_asked_for_again():
    told = followed(10, 20).history(LONG_S)
    found = coverage.VersionCoverage()
    found.begin(at(30), at(30), LONG_S)
    found.merge(told, LONG_S)
    assert found.follow_from(at(30)) == at(20)
    found.drop(at(20))
    found.merge(told, LONG_S + 1.0)
    assert found.follow_from(at(30)) == at(30)


# Guards against a daemon that starts and takes the word of one that has not
# seen what happened before its own listing.
@pytest.mark.parametrize(("told_up_to", "expected"), [(25, None), (30, "v1")])
def test_what_a_daemon_tells_counts_if_it_reaches_the_own_listing(
    told_up_to, expected
):
    told = followed(10, told_up_to).history(LONG_S)
    found = coverage.VersionCoverage()
    found.begin(at(30), at(30), 100.0)
    found.record([(POOL, "v1")], 100.0)
    found.merge(told, 100.0)
    found.extend(at(30), at(40))
    assert sole(found, 40, 100.0) == expected


def test_versions_that_another_daemon_saw_count_at_once():
    other = followed(10, 20, "v2")
    found = followed(10, 20)
    found.merge(other.history(LONG_S), LONG_S)
    assert found.recent(POOL, LONG_S) == ["v1", "v2"]


# Older builds count the time since their start as complete, gaps included.
def test_the_word_of_older_builds_closes_no_gap():
    found = coverage.VersionCoverage()
    found.begin(at(30), at(30), LONG_S)
    told = coverage.VersionHistory(1_000.0, ((POOL, "v1", 0.0),))
    found.merge(told, LONG_S)
    assert found.recent(POOL, LONG_S) == ["v1"]
    assert sole(found, 30) is None


def test_daemons_with_other_declarations_close_no_gap():
    told = followed(10, 30)
    told.declaration_version = 2
    found = coverage.VersionCoverage()
    found.declaration_version = 1
    found.begin(at(30), at(30), LONG_S)
    found.merge(told.history(LONG_S), LONG_S)
    assert sole(found, 30) is None


@pytest.mark.parametrize(
    ("first", "last"),
    [(at(20), at(10)), (at(5), at(2**60)), (at(5, 2), at(9, 1))],
)
def test_odd_positions_close_no_gap(first, last):
    found = coverage.VersionCoverage()
    found.begin(at(30), at(30), LONG_S)
    found.merge(
        coverage.VersionHistory(99.0, ((POOL, "v1", 0.0),), first, last), LONG_S
    )
    assert sole(found, 30) is None


# Guards against servers of the time after the copy, which are in no listing.
def test_a_store_that_continues_from_a_copy_begins_a_new_part():
    found = followed(10, 20)
    found.begin(at(15, era=2), at(15, era=2), LONG_S)
    found.extend(at(15, era=2), at(30, era=2))
    assert sole(found, 30, era=2) is None
    found.begin_with_the_store(2)
    assert found.follow_from(at(30, era=2)) == at(30, era=2)


def test_all_changes_of_the_store_leave_no_gap():
    found = coverage.VersionCoverage()
    found.begin_with_the_store(1)
    found.begin(at(12), at(12), 0.0)
    found.record([(POOL, "v1")], 0.0)
    assert sole(found, 0, 0.0) is None
    assert found.history(0.0).needs_notes
    assert found.follow_from(at(12)) == at(0)
    found.extend(at(0), at(14))
    assert sole(found, 14, 0.0) == "v1"
    told = coverage.VersionCoverage()
    told.merge(found.history(0.0), 0.0)
    assert sole(told, 14, 0.0) == "v1"


# Pages of a listing are not read from one snapshot.
def test_a_listing_counts_once_the_changes_made_during_it_are_known():
    found = coverage.VersionCoverage()
    found.begin(at(30), at(20), 0.0)
    found.record([(POOL, "v1")], LONG_S)
    assert sole(found, 20) is None
    found.extend(at(20), at(29))
    assert sole(found, 29) is None
    found.extend(at(29), at(31))
    assert sole(found, 31) == "v1"


# Guards against daemons that keep from others what those can't infer.
def test_a_daemon_states_that_it_must_be_told_of_streams():
    found = coverage.VersionCoverage()
    found.begin(at(30), at(30), 0.0)
    assert found.history(1.0).needs_notes
    assert not found.history(31.0).needs_notes
    other = followed(10, 20)
    other.merge(found.history(1.0), LONG_S)
    assert other.needs_notes(LONG_S + 1.0)
    assert not other.needs_notes(LONG_S + 3.0)


def test_a_relay_states_the_needs_of_its_zone():
    found = coverage.VersionCoverage()
    found.begin(at(30), at(30), LONG_S)
    relay = followed(10, 20)
    relay.merge(found.history(LONG_S), LONG_S)
    assert not relay.history(LONG_S).needs_notes
    relay.merge(found.history(LONG_S), LONG_S, is_member=True)
    assert relay.history(LONG_S).needs_notes
    # What it states itself comes back to it with its own summary.
    relay.merge(relay.history(LONG_S + 1.9), LONG_S + 1.9)
    assert not relay.history(LONG_S + 2.1).needs_notes


# Guards against versions and services that daemons never forget, as each
# message makes them look newer by the time that it took. Messages through
# relays take up to a round of 0.4 s.
@pytest.mark.parametrize("travel_s", [0.01, 0.35, 1.2])
def test_what_daemons_tell_each_other_is_forgotten(travel_s):
    daemons = [coverage.VersionCoverage() for _ in range(3)]
    daemons[0].record([(POOL, "v2")], 0.0)
    daemons[0].routes.record_stream("chat", "other", 0.0)
    sent = []
    for tick in range(200):
        now_s = 0.4 * tick
        sent += [
            (now_s + travel_s, daemon.history(now_s), daemon)
            for daemon in daemons
        ]
        due = [message for message in sent if message[0] <= now_s]
        sent = [message for message in sent if message[0] > now_s]
        for at_s, history, sender in due:
            for daemon in daemons:
                if daemon is not sender:
                    daemon.merge(history, at_s)
        if now_s < 25.0 and tick > 9:
            assert all(d.recent(POOL, now_s) == ["v2"] for d in daemons)
        if now_s > 40.0:
            assert not any(d.recent(POOL, now_s) for d in daemons)
            assert not any(d.routes.recent("chat", now_s) for d in daemons)
