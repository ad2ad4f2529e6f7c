"""Retry budgets under low load and retry storms."""

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
