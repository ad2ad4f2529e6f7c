import pytest

from turmericcroft.routing import suspects

CLEAR = suspects.Verdict.CLEAR
SUSPECT = suspects.Verdict.SUSPECT
QUARANTINED = suspects.Verdict.QUARANTINED


@pytest.fixture
def suspicions():
    return suspects.Suspects()


def test_a_second_crash_on_probation_quarantines_the_suspect(suspicions):
    suspicions.record_crash("a", frozenset({"poison", "other"}), 0.0, 1.0)
    assert suspicions.verdict("poison", 5.0) is SUSPECT
    suspicions.start_probation("b", "poison")
    suspicions.record_crash("b", frozenset({"poison", "bystander"}), 2.0, 5.0)
    assert suspicions.verdict("poison", 6.0) is QUARANTINED
    assert suspicions.verdict("other", 6.0) is SUSPECT
    assert suspicions.verdict("bystander", 6.0) is CLEAR


def test_a_second_crash_under_the_same_server_name_counts(suspicions):
    # A server that replaces a crashed one has its name. If its crash is taken
    # for a late report of the first crash, the request is not quarantined.
    suspicions.record_crash("a", frozenset({"poison"}), 0.0, 1.0)
    suspicions.start_probation("a", "poison")
    suspicions.record_crash("a", frozenset({"poison"}), 1.1, 1.2)
    assert suspicions.verdict("poison", 1.3) is QUARANTINED


def test_reports_of_the_same_crash_count_once(suspicions):
    present = frozenset({"one", "two"})
    assert len(suspicions.record_crash("a", present, 0.0, 1.0)) == 2
    assert suspicions.record_crash("a", present, 0.5, 1.0) == ()


def test_coincident_crashes_clear_requests_on_only_one_server(suspicions):
    suspicions.record_crash("a", frozenset({"one"}), 0.0, 1.0)
    suspicions.record_crash("b", frozenset({"two"}), 0.0, 1.5)
    assert suspicions.verdict("one", 1.6) is CLEAR
    assert suspicions.verdict("two", 1.6) is CLEAR


def test_a_request_on_two_servers_that_crash_together_stays_a_suspect(
    suspicions,
):
    suspicions.record_crash("a", frozenset({"copied"}), 0.0, 1.0)
    suspicions.record_crash("b", frozenset({"copied"}), 0.0, 1.1)
    assert suspicions.verdict("copied", 1.2) is SUSPECT


def test_a_suspect_that_completes_is_cleared(suspicions):
    suspicions.record_crash("a", frozenset({"one"}), 0.0, 1.0)
    suspicions.clear("one")
    assert suspicions.verdict("one", 9.0) is CLEAR


def test_a_quarantine_expires(suspicions):
    suspicions.merge("poison", 2, True, 0.0)
    assert suspicions.verdict("poison", 1.0) is QUARANTINED
    late_s = suspects.QUARANTINE_LIFETIME_S + 1.0
    assert suspicions.verdict("poison", late_s) is CLEAR


def test_a_release_by_an_operator_is_final_until_the_next_crash(suspicions):
    suspicions.merge("poison", 2, True, 0.0)
    suspicions.merge("poison", 0, False, 1.0)
    assert suspicions.verdict("poison", 1.0) is CLEAR
