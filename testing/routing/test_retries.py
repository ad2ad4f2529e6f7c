"""The retry budget in calm, in a storm of failures and over daemons."""

from turmericcroft.routing import poison
from turmericcroft.routing import retries

TERMS = retries.RetryLimits(ratio=0.2, allowance=56, window_s=10.0)


def storm(daemons, requests_per_s, seconds):
    """Every request fails and wants a repeat; returns repeats by time."""
    budgets = [retries.RetryBudget(TERMS) for _ in range(daemons)]
    times = []
    for step in range(int(seconds * requests_per_s)):
        now_s = step / requests_per_s
        budget = budgets[step % daemons]
        budget.record_request(now_s)
        if budget.try_acquire(daemons, now_s):
            times.append(now_s)
    return times


def test_a_storm_keeps_to_the_fleets_budget_in_every_window():
    for daemons in (1, 8, 80):
        times = storm(daemons, 40, 40)
        for start in range(30):
            within = sum(start <= t < start + 10.0 for t in times)
            assert within <= 0.2 * 400 + 56


def test_a_few_failures_in_calm_are_repeated():
    budget = retries.RetryBudget(TERMS)
    for step in range(30):
        budget.record_request(step / 3)
    assert budget.try_acquire(daemons=8, now_s=10.0)


def test_a_request_that_crashed_three_servers_is_refused_everywhere():
    seen = poison.CrashLedger()
    other = poison.CrashLedger()
    seen.record_crash("f", 0.0)
    other.record_crash("f", 0.0)
    other.record_crash("f", 0.1)
    assert not seen.is_refused("f")
    seen.update_peer("edge-2/1", other.own, 0.2)
    assert seen.is_refused("f")
    seen.update_peer("edge-2/1", other.own, 0.3)
    assert seen.crash_count("f") == 3


def test_suspicions_are_forgotten_and_bounded():
    ledger = poison.CrashLedger()
    for number in range(5_000):
        ledger.record_crash(f"f{number}", 0.0)
    ledger.expire(1_000.0)
    assert ledger.crash_count("f0") == 0
    assert ledger.own.get("f0") is None
