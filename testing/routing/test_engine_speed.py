"""Speeds of engines that no declaration states, learned from streams."""

import random

import pytest

from turmericcroft.duties import scaling
from turmericcroft.routing import declaration
from turmericcroft.routing import engine_speed

# Prefill rate, first event's fixed part, step, and step per request.
FAST = (101_000.0, 0.005, 0.00297, 0.0000222)
USUAL = (62_400.0, 0.12, 0.00655, 0.000165)
SLOW = (9_000.0, 0.3, 0.03, 0.001)


def learn(engine, samples, seed=1, outliers=0.1):
    """Feeds streams of an engine with bursts, queues and cached prefixes."""
    rate, first_s, step_s, per_request_s = engine
    rng = random.Random(seed)
    estimate = engine_speed.SpeedEstimate()
    for _ in range(samples):
        tokens = int(rng.lognormvariate(8.0, 1.0))
        took_s = first_s + tokens / rate * rng.uniform(1.0, 1.15)
        if rng.random() < outliers:
            # The prefix was not cached, or another prompt came first.
            took_s += rng.uniform(0.0, 13_000 / rate)
        estimate.record_first_event(tokens, took_s)
        running = rng.randint(1, 20)
        step = step_s + per_request_s * running
        estimate.record_step(running, step * rng.uniform(0.95, 1.2))
    return estimate.speed


@pytest.mark.parametrize(
    "engine", [FAST, USUAL, SLOW], ids=["fast", "usual", "slow"]
)
@pytest.mark.parametrize("seed", range(5))
def test_the_speed_is_learned_from_some_dozen_streams(engine, seed):
    speed = learn(engine, 60, seed)
    rate, _, step_s, per_request_s = engine
    batch = engine_speed.PLANNED_BATCH
    true_s = 4_000 / rate + 200 * (step_s + per_request_s * batch) / batch
    learned_s = speed.server_time_s(4_000, 200)
    assert learned_s == pytest.approx(true_s, rel=0.35)


def test_the_assumed_speed_holds_until_streams_show_another():
    assert engine_speed.SpeedEstimate().speed == engine_speed.ASSUMED_SPEED


def test_single_streams_that_were_held_up_move_the_estimate_little():
    estimate = engine_speed.SpeedEstimate()
    before_s = estimate.speed.server_time_s(4_000, 200)
    estimate.record_first_event(4_000, 30.0)
    estimate.record_step(4, 5.0)
    after_s = estimate.speed.server_time_s(4_000, 200)
    assert after_s == pytest.approx(before_s)


def servers_planned(speed, requests_per_s):
    planner = scaling.Planner(
        declaration.Scaling(1, 10, 4.0, 0.22, dict.fromkeys("abcd", 1.0))
    )
    total = scaling.DemandTotals()
    for step in range(80):
        needed_s = requests_per_s / 4 * speed.server_time_s(6_600, 380)
        total = total.plus(needed_s, needed_s)
        planner.demand.record_total("a", total, step / 4)
    return planner.servers_for_latency(20.0)


def test_fewer_servers_are_planned_for_faster_engines_under_the_same_load():
    # Steady load on engines that are twice as fast as assumed: a plan for the
    # assumed speed held about twice the servers.
    fast, assumed = learn(FAST, 60), engine_speed.ASSUMED_SPEED
    assert servers_planned(fast, 17.0) < 0.6 * servers_planned(assumed, 17.0)
    slow = learn(SLOW, 60)
    assert servers_planned(slow, 2.0) > servers_planned(assumed, 2.0)


@pytest.mark.parametrize("seed", range(20))
def test_prompts_of_one_length_do_not_make_prefill_look_free(seed):
    # Guards against a slope through prompts of nearly one length, which is
    # noise: where it was negative, prefill counted as taking no time, and the
    # plan held too few servers.
    rng = random.Random(seed)
    estimate = engine_speed.SpeedEstimate()
    for _ in range(2_000):
        tokens = rng.randint(3_990, 4_010)
        estimate.record_first_event(tokens, rng.uniform(0.07, 0.11))
        # Speeds of engines differ several times, not more.
        assert 15_000.0 <= estimate.speed.prefill_tokens_per_s <= 200_000.0
