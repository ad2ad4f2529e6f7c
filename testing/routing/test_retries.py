"""Retry budgets under low load and retry storms, and crash counts."""

from turmericcroft.routing import poison
from turmericcroft.routing import retries

LIMITS = retries.RetryLimits(ratio=0.2, allowance=56, window_s=10.0)


def simulate_storm(daemons, requests_per_s, seconds):
    """Retries every request that the budget allows; returns retry times."""
    budgets = [retries.RetryBudget(LIMITS) for _ in range(daemons)]
    times = []
    for step in range(int(seconds * requests_per_s)):
        now_s = step / requests_per_s
        budget = budgets[step % daemons]
        budget.record_request(now_s)
        if budget.try_acquire(daemons, now_s):
            times.append(now_s)
    return times


def test_a_retry_storm_stays_within_the_budget_of_all_daemons():
    for daemons in (1, 8, 80):
        times = simulate_storm(daemons, 40, 40)
        for start in range(30):
            within = sum(start <= t < start + 10.0 for t in times)
            assert within <= 0.2 * 400 + 56


def test_a_few_failures_under_low_load_are_retried():
    budget = retries.RetryBudget(LIMITS)
    for step in range(30):
        budget.record_request(step / 3)
    assert budget.try_acquire(daemons=8, now_s=10.0)


def test_a_request_that_crashed_three_servers_is_refused_by_all_daemons():
    ledger = poison.CrashLedger()
    peer_ledger = poison.CrashLedger()
    ledger.record_crash("f", 0.0)
    peer_ledger.record_crash("f", 0.0)
    peer_ledger.record_crash("f", 0.1)
    assert not ledger.is_refused("f")
    ledger.update_peer("edge-2/1", peer_ledger.own, 0.2)
    assert ledger.is_refused("f")
    ledger.update_peer("edge-2/1", peer_ledger.own, 0.3)
    assert ledger.crash_count("f") == 3


def test_crash_counts_expire_and_are_bounded():
    ledger = poison.CrashLedger()
    for number in range(5_000):
        ledger.record_crash(f"f{number}", 0.0)
    ledger.expire(1_000.0)
    assert ledger.crash_count("f0") == 0
    assert ledger.own.get("f0") is None
