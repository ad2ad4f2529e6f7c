import uuid

import pytest

from turmericcroft import errors
from turmericcroft.answers import ledger

RAN = ledger.Outcome.RAN
NOT_RUN = ledger.Outcome.NOT_RUN
UNKNOWN = ledger.Outcome.UNKNOWN


def make_claim(key="k", claim_id="c1", body="b", expires_at_ms=1_000):
    return ledger.ClaimRecord(key, body, "entry-a1", claim_id, expires_at_ms)


def make_end(outcome, key="k", claim_id="c1", expires_at_ms=1_000):
    return ledger.EndRecord(
        key, claim_id, outcome, 201, "application/json", b"{}", expires_at_ms
    )


def make_index(*records):
    index = ledger.ShardIndex()
    for sequence, record in enumerate(records):
        claims = (record,) if isinstance(record, ledger.ClaimRecord) else ()
        ends = () if claims else (record,)
        batch = ledger.Batch(f"batch-{sequence}", claims, ends)
        index.apply(sequence, ledger.decode(ledger.encode(batch)))
    return index


@pytest.mark.parametrize(
    ("records", "claim", "verdict"),
    [
        pytest.param([], make_claim(), None, id="new key"),
        pytest.param(
            [make_claim()],
            make_claim(),
            ledger.Verdict.GRANTED,
            id="same claim",
        ),
        pytest.param(
            [make_claim()],
            make_claim(claim_id="c2"),
            ledger.Verdict.STARTED,
            id="started by another",
        ),
        pytest.param(
            [make_claim()],
            make_claim(claim_id="c2", body="other"),
            ledger.Verdict.MISMATCH,
            id="another body",
        ),
        pytest.param(
            [make_claim(), make_end(RAN)],
            make_claim(claim_id="c2"),
            ledger.Verdict.COMPLETED,
            id="ran",
        ),
        pytest.param(
            [make_claim(), make_end(UNKNOWN)],
            make_claim(claim_id="c2"),
            ledger.Verdict.UNKNOWN,
            id="unknown outcome",
        ),
        pytest.param(
            [make_claim(), make_end(NOT_RUN)],
            make_claim(claim_id="c2"),
            None,
            id="not run",
        ),
        pytest.param(
            [make_end(NOT_RUN)],
            make_claim(),
            ledger.Verdict.UNAVAILABLE,
            id="abandoned before it was recorded",
        ),
        pytest.param(
            [make_claim(), make_end(RAN, claim_id="other")],
            make_claim(claim_id="c2"),
            ledger.Verdict.STARTED,
            id="end of another claim",
        ),
    ],
)
def test_decide(records, claim, verdict):
    assert make_index(*records).decide(claim).verdict is verdict


def test_the_newest_batch_is_never_removable():
    index = make_index(
        make_claim("a", expires_at_ms=10),
        make_claim("b", expires_at_ms=20),
        make_claim("c", expires_at_ms=30),
    )
    assert index.removable_sequences(now_ms=15) == (0,)
    assert index.removable_sequences(now_ms=99) == (0, 1)


def test_a_call_is_removed_only_when_its_key_is_refused_by_age():
    index = make_index(make_claim(expires_at_ms=1_000))
    index.remove_expired(now_ms=999)
    assert len(index) == 1
    index.remove_expired(now_ms=1_000)
    assert len(index) == 0


@pytest.mark.parametrize(
    "text",
    ["", "booking-7", str(uuid.UUID(int=5, version=4)), "x" * 500],
)
def test_a_key_without_a_time_stamp_is_refused(text):
    with pytest.raises(errors.InvalidRequestRefusal, match="version 7"):
        ledger.key_time_ms(text, now_ms=0)


def test_a_key_from_the_future_is_refused():
    text = str(uuid.UUID(int=(2_000_000 << 80) | (7 << 76) | (2 << 62)))
    assert ledger.key_time_ms(text, now_ms=2_000_000) == 2_000_000
    with pytest.raises(errors.InvalidRequestRefusal, match="future"):
        ledger.key_time_ms(text, now_ms=0)


def test_hash_texts_differs_for_lists_with_the_same_joined_text():
    assert ledger.hash_texts("ab", "c") != ledger.hash_texts("a", "bc")
