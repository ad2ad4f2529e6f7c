import pytest

from turmericcroft.answers import pacing


def total_pause_s(interval_s, tokens, target_s=0.05):
    pacer = pacing.Pacer(target_s)
    return sum(pacer.pause_s(1, i * interval_s) for i in range(tokens))


@pytest.mark.parametrize("interval_s", [0.05, 0.045, 0.2])
def test_a_stream_at_its_target_is_not_paused(interval_s):
    assert total_pause_s(interval_s, 100) == 0


def test_the_first_tokens_of_a_fast_stream_are_not_paused():
    assert total_pause_s(0.01, 4) == 0


def test_a_fast_stream_is_paused_for_less_than_the_target():
    pacer = pacing.Pacer(0.05)
    pauses = {pacer.pause_s(1, i * 0.01) for i in range(100)}
    assert max(pauses) < 0.05
    assert len(pauses) == 2
