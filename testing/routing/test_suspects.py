import pytest

from turmericcroft.routing import suspects

CLEAR = suspects.Verdict.CLEAR
SUSPECT = suspects.Verdict.SUSPECT
QUARANTINED = suspects.Verdict.QUARANTINED


@pytest.fixture
def book():
    return suspects.Suspects()


def test_a_second_crash_on_probation_names_its_culprit(book):
    book.crash("a", frozenset({"poison", "other"}), 0.0, 1.0)
    assert book.verdict("poison", 5.0) is SUSPECT
    book.hold("b", "poison")
    book.crash("b", frozenset({"poison", "bystander"}), 2.0, 5.0)
    assert book.verdict("poison", 6.0) is QUARANTINED
    assert book.verdict("other", 6.0) is SUSPECT
    assert book.verdict("bystander", 6.0) is CLEAR


def test_a_second_crash_of_a_server_that_came_back_counts(book):
    # A replaced server keeps its name; once its second crash was taken for
    # a late notice of the first one, and the poison request went free.
    book.crash("a", frozenset({"poison"}), 0.0, 1.0)
    book.hold("a", "poison")
    book.crash("a", frozenset({"poison"}), 1.1, 1.2)
    assert book.verdict("poison", 1.3) is QUARANTINED


def test_every_request_that_notices_the_same_crash_counts_once(book):
    present = frozenset({"one", "two"})
    assert len(book.crash("a", present, 0.0, 1.0)) == 2
    assert book.crash("a", present, 0.5, 1.0) == ()


def test_servers_that_crash_together_accuse_nobody(book):
    book.crash("a", frozenset({"one"}), 0.0, 1.0)
    book.crash("b", frozenset({"two"}), 0.0, 1.5)
    assert book.verdict("one", 1.6) is CLEAR
    assert book.verdict("two", 1.6) is CLEAR


def test_a_request_on_both_servers_that_crash_together_stays_a_suspect(book):
    book.crash("a", frozenset({"copied"}), 0.0, 1.0)
    book.crash("b", frozenset({"copied"}), 0.0, 1.1)
    assert book.verdict("copied", 1.2) is SUSPECT


def test_a_suspect_that_finishes_is_cleared(book):
    book.crash("a", frozenset({"one"}), 0.0, 1.0)
    book.clear("one")
    assert book.verdict("one", 9.0) is CLEAR


def test_a_quarantine_expires(book):
    book.learn("poison", 2, True, 0.0)
    assert book.verdict("poison", 1.0) is QUARANTINED
    late_s = suspects.QUARANTINE_LIFETIME_S + 1.0
    assert book.verdict("poison", late_s) is CLEAR


def test_a_release_by_an_operator_is_final_until_the_next_crash(book):
    book.learn("poison", 2, True, 0.0)
    book.learn("poison", 0, False, 1.0)
    assert book.verdict("poison", 1.0) is CLEAR
