"""How much of a service's traffic shares a prompt prefix.

Load pattern: a tenth of all requests may share one prefix. All daemons send
them to the servers that cache it and see each other's requests only with the
next digest, so these servers are overloaded until then.
"""

import math

# Requests count for about this time: long enough for a daemon with 2 requests/s
# to tell a tenth of the traffic from a hundredth.
_WINDOW_S = 20.0
# Requests of no known prefix that are added, so that the first ones do not look
# like a large share.
_PRIOR_REQUESTS = 10.0
# Limit of an exponent: after so many windows without a request none counts.
_MAX_WINDOWS = 50.0
# Prefixes that are counted; the least frequent are removed beyond that.
_MAX_PREFIXES = 256


class PrefixShares:
    """Shares of prefixes in the requests that this daemon sent.

    Example:
        >>> shares = PrefixShares()
        >>> for second in range(40):
        ...     shares.record(second % 2, now_s=0.0)
        >>> shares.share(1, now_s=0.0)
        0.4
    """

    def __init__(self) -> None:
        self._total = 0.0
        self._counts: dict[int, float] = {}
        self._counted_at_s = 0.0

    def record(self, prefix: int, now_s: float) -> None:
        """Counts a request; its prefix is 0 if it shares none."""
        # Counts grow by a factor with time in place of decaying, so that only
        # the one that changes is touched.
        age_s = now_s - self._counted_at_s
        if age_s > _WINDOW_S:
            self._decay(now_s)
            age_s = 0.0
        weight = math.exp(age_s / _WINDOW_S)
        self._total += weight
        if prefix:
            self._counts[prefix] = self._counts.get(prefix, 0.0) + weight
            if len(self._counts) > 2 * _MAX_PREFIXES:
                kept = sorted(self._counts.items(), key=lambda item: -item[1])
                self._counts = dict(kept[:_MAX_PREFIXES])

    def share(self, prefix: int, now_s: float) -> float:
        """Returns the part of the requests that have a prefix."""
        windows = min(_MAX_WINDOWS, (now_s - self._counted_at_s) / _WINDOW_S)
        weight = math.exp(windows)
        total = self._total + _PRIOR_REQUESTS * weight
        return self._counts.get(prefix, 0.0) / total

    def _decay(self, now_s: float) -> None:
        windows = min(_MAX_WINDOWS, (now_s - self._counted_at_s) / _WINDOW_S)
        factor = math.exp(-windows)
        self._counted_at_s = now_s
        self._total *= factor
        self._counts = {
            prefix: count * factor
            for prefix, count in self._counts.items()
            if count * factor > 0.1
        }
