"""When a request may be refused for good by the declaration in force."""

import dataclasses
import itertools

import pytest

from turmericcroft.routing import final_refusals

Judgement = final_refusals.Judgement
OLD = final_refusals.View(
    age_s=1.1, max_age_s=1.0, was_asked=True, outage_s=0.0, is_cut_off=False
)


# Guards against a call for each request at a daemon in step.
def test_a_daemon_in_step_asks_nobody():
    for asked, outage_s, is_cut_off in itertools.product(
        (False, True), (0.0, 99.0), (False, True)
    ):
        view = final_refusals.View(1.0, 1.0, asked, outage_s, is_cut_off)
        assert final_refusals.judge(view) is Judgement.REFUSE


# Guards against a refusal by an old declaration without a call after the
# request came, also in a long outage: the store may have come back.
@pytest.mark.parametrize("outage_s", [0.0, 99.0])
@pytest.mark.parametrize("age_s", [1.1, float("inf")])
def test_an_old_declaration_is_confirmed_first(outage_s, age_s):
    view = dataclasses.replace(
        OLD, age_s=age_s, outage_s=outage_s, was_asked=False
    )
    assert final_refusals.judge(view) is Judgement.ASK


# Guards against a client with a wrong key that is told to come back for ever,
# and against one with a new key that gets no other chance.
@pytest.mark.parametrize(
    ("outage_s", "is_cut_off", "expected"),
    [
        (0.0, False, Judgement.COME_BACK),
        (15.9, False, Judgement.COME_BACK),
        (16.0, False, Judgement.REFUSE),
        (99.0, True, Judgement.COME_BACK),
    ],
)
def test_what_follows_if_the_store_does_not_answer(
    outage_s, is_cut_off, expected
):
    view = dataclasses.replace(OLD, outage_s=outage_s, is_cut_off=is_cut_off)
    assert final_refusals.judge(view) is expected


# Guards against a pause that counts as an outage: the one call that failed
# before it says nothing of the time in which the process stood still.
def test_a_pause_is_no_outage():
    recency = final_refusals.Recency(confirmed_at_s=0.0)
    recency.record_unanswered(1.0)
    recency.record_unanswered(30.0)
    view = recency.view(2.0, True, False, 30.1)
    assert final_refusals.judge(view) is Judgement.COME_BACK
    for second in range(31, 47):
        recency.record_unanswered(second)
    view = recency.view(2.0, True, False, 47.0)
    assert final_refusals.judge(view) is Judgement.REFUSE
