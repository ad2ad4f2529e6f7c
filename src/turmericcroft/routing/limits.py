"""Rate limits and fair shares of client accounts, and a retry budget.

They protect the backend servers from one account's bursts and from retries
that multiply the load while servers fail.
"""

import dataclasses
from collections.abc import Mapping

CONTENDED_UTILISATION = 0.8
RETRY_SHARE = 0.2
MIN_RETRIES = 10.0


@dataclasses.dataclass
class TokenBucket:
    """A token bucket that refills at a constant rate.

    Attributes:
        rate_per_s: Tokens added per second.
        burst: Capacity of the bucket.
        tokens: Tokens in the bucket at the last refill.
        updated_at_s: Monotonic time of the last refill.
    """

    rate_per_s: float
    burst: float
    tokens: float
    updated_at_s: float

    def try_acquire(self, now_s: float) -> bool:
        """Takes a token if one is available.

        Example:
            >>> bucket = TokenBucket(1.0, 1.0, 1.0, updated_at_s=0.0)
            >>> [bucket.try_acquire(now_s) for now_s in (0.0, 0.5, 1.0)]
            [True, False, True]
        """
        self._refill(now_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_s(self, now_s: float) -> float:
        """Returns the time until a token is available."""
        self._refill(now_s)
        return max(0.0, (1.0 - self.tokens) / self.rate_per_s)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_at_s)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        self.updated_at_s = now_s


class AccountLimits:
    """Token buckets of the client accounts."""

    def __init__(self) -> None:
        self.buckets: dict[str, TokenBucket] = {}

    def bucket(
        self, account: str, rate_per_s: float, burst: float, now_s: float
    ) -> TokenBucket:
        """Returns the bucket of an account, set to the given limits."""
        bucket = self.buckets.get(account)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, burst, burst, now_s)
            self.buckets[account] = bucket
        bucket.rate_per_s = rate_per_s
        bucket.burst = burst
        return bucket


def is_within_fair_share(
    account: str,
    open_requests: Mapping[str, int],
    weights: Mapping[str, int],
) -> bool:
    """Returns whether an account may open one more request under contention.

    The accounts with open requests share capacity by weight. An account
    without competitors may use all of it, and one at or below its share is
    never refused.

    Args:
        account: Account of the new request.
        open_requests: Open requests by account.
        weights: Weights by account.

    Example:
        >>> open_requests = {"north": 9, "east": 1}
        >>> weights = {"north": 1, "east": 1}
        >>> is_within_fair_share("north", open_requests, weights)
        False
        >>> is_within_fair_share("east", open_requests, weights)
        True
    """
    active = {name for name, count in open_requests.items() if count}
    total_weight = sum(weights.get(name, 1) for name in active | {account})
    total = sum(open_requests.values())
    share = weights.get(account, 1) / total_weight
    return open_requests.get(account, 0) <= share * total


@dataclasses.dataclass
class RetryBudget:
    """Bounds retries to a share of the requests to prevent retry storms.

    Attributes:
        balance: Retries that are available now.
    """

    balance: float = MIN_RETRIES

    def deposit(self) -> None:
        """Adds the share of a retry that a first attempt earns."""
        max_balance = MIN_RETRIES * 10.0
        self.balance = min(max_balance, self.balance + RETRY_SHARE)

    def try_withdraw(self) -> bool:
        """Takes one retry if the balance allows it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
