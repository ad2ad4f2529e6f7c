import hypothesis
from hypothesis import strategies

from turmericcroft.routing import limits

ACCOUNTS = ("north", "east", "south")
_COUNTS = strategies.fixed_dictionaries(
    {name: strategies.integers(0, 50) for name in ACCOUNTS}
)
_WEIGHTS = strategies.fixed_dictionaries(
    {name: strategies.integers(1, 5) for name in ACCOUNTS}
)


@hypothesis.given(strategies.lists(strategies.booleans(), max_size=400))
def test_retries_are_bounded_by_a_share_of_the_requests(steps):
    budget = limits.RetryBudget()
    made = 0
    for is_request in steps:
        if is_request:
            budget.deposit()
        else:
            made += budget.try_withdraw()
    requests = sum(steps)
    assert made <= limits.MIN_RETRIES + limits.RETRY_SHARE * requests


@hypothesis.given(strategies.lists(strategies.floats(0.0, 0.5), max_size=200))
def test_a_bucket_never_admits_more_than_rate_and_burst(gaps):
    bucket = limits.TokenBucket(10.0, 5.0, 5.0, 0.0)
    now_s, taken = 0.0, 0
    for gap in gaps:
        now_s += gap
        taken += bucket.try_acquire(now_s)
    assert taken <= 5 + 10 * now_s + 1e-6


@hypothesis.given(_COUNTS, _WEIGHTS)
def test_some_account_is_always_within_its_fair_share(counts, weights):
    assert any(
        limits.is_within_fair_share(name, counts, weights) for name in ACCOUNTS
    )


@hypothesis.given(_COUNTS, _WEIGHTS)
def test_an_account_below_its_fair_share_is_never_refused(counts, weights):
    total = sum(counts.values())
    for name in ACCOUNTS:
        if counts[name] + 1 <= weights[name] / sum(weights.values()) * total:
            assert limits.is_within_fair_share(name, counts, weights)


@hypothesis.given(strategies.integers(0, 500))
def test_an_account_without_competitors_may_use_everything(count):
    assert limits.is_within_fair_share("north", {"north": count}, {"north": 1})


def test_open_requests_converge_to_the_weights_after_a_burst():
    counts = {"north": 0, "east": 0}
    weights = {"north": 2, "east": 1}
    counts["north"] = 30
    for _ in range(200):
        for name in counts:
            if limits.is_within_fair_share(name, counts, weights):
                counts[name] += 1
        if sum(counts.values()) > 30:
            largest = max(counts, key=counts.get)
            counts[largest] -= 1
    assert 1.7 < counts["north"] / counts["east"] < 2.3
