"""Rate limits of client accounts, and the budget of retries."""

import dataclasses
from collections.abc import Mapping

CONTENDED_UTILISATION = 0.8
RETRY_SHARE = 0.2
MIN_RETRIES = 10.0


@dataclasses.dataclass
class TokenBucket:
    """A bucket that refills at a constant rate.

    Attributes:
        rate_per_s: Tokens added a second.
        burst: Most tokens held.
        tokens: Tokens held now.
        updated_at_s: Time of the last refill.
    """

    rate_per_s: float
    burst: float
    tokens: float
    updated_at_s: float

    def try_acquire(self, now_s: float) -> bool:
        """Takes a token if there is one.

        Example:
            >>> bucket = TokenBucket(1.0, 1.0, 1.0, updated_at_s=0.0)
            >>> (
            ...     bucket.try_acquire(0.0),
            ...     bucket.try_acquire(0.5),
            ...     bucket.try_acquire(1.0),
            ... )
            (True, False, True)
        """
        self._refill(now_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_s(self, now_s: float) -> float:
        """Tells how long it takes until a token is there."""
        self._refill(now_s)
        return max(0.0, (1.0 - self.tokens) / self.rate_per_s)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_at_s)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        self.updated_at_s = now_s


class AccountLimits:
    """One bucket for each client account."""

    def __init__(self) -> None:
        self.buckets: dict[str, TokenBucket] = {}

    def bucket(
        self, account: str, rate_per_s: float, burst: float, now_s: float
    ) -> TokenBucket:
        """Finds the bucket of an account, adjusted to its limits."""
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
    """Tells whether an account may have one more request at contention.

    Accounts that have open requests share them by weight. An account alone
    may use everything; one at or below its share is never held back.

    Args:
        account: The account that asks.
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
    """Bounds retries to a share of the requests, so no storm feeds itself.

    Attributes:
        balance: Retries that may be made now.
    """

    balance: float = MIN_RETRIES

    def deposit(self) -> None:
        """Earns a share of a retry with a first try."""
        max_balance = MIN_RETRIES * 10.0
        self.balance = min(max_balance, self.balance + RETRY_SHARE)

    def try_withdraw(self) -> bool:
        """Spends one retry if the balance allows it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
