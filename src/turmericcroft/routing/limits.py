"""Rate limits of client accounts, and the budget of retries."""

import dataclasses

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

    def take(self, now_s: float) -> bool:
        """Takes a token if there is one.

        Example:
            >>> bucket = TokenBucket(1.0, 1.0, 1.0, updated_at_s=0.0)
            >>> bucket.take(0.0), bucket.take(0.5), bucket.take(1.0)
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


@dataclasses.dataclass
class RetryBudget:
    """Bounds retries to a share of the requests, so no storm feeds itself.

    Attributes:
        balance: Retries that may be made now.
    """

    balance: float = MIN_RETRIES

    def deposit(self) -> None:
        """Earns a share of a retry with a first try."""
        ceiling = MIN_RETRIES * 10.0
        self.balance = min(ceiling, self.balance + RETRY_SHARE)

    def withdraw(self) -> bool:
        """Spends one retry if the balance allows it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
