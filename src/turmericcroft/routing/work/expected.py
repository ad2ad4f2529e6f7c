"""What requests are expected to cost, learned from those that ended.

Load pattern: requests that look alike differ many times in output and time, and
what clients declare may be wrong by as much. Medians by route and size class
replace a declaration that has proved wrong.
"""

import bisect
import dataclasses
import math

import ddsketch

# Bounds of the size classes, in prompt tokens.
_CLASS_BOUNDS = 2_000, 4_000, 8_000, 16_000, 32_000
_RELATIVE_ACCURACY = 0.05
# Samples from which a median is used, and after which a sketch is begun anew,
# so that it follows changes and stays small.
_MIN_SAMPLES = 20
_MAX_SAMPLES = 1_000
# A median is determined again after this many samples.
_MEDIAN_EVERY = 10
# Weight of a sample in the mean error of declarations.
_ERROR_WEIGHT = 0.1
# A declaration is followed while outputs differ from it by less than this
# factor in the geometric mean.
_TRUSTED_FACTOR = 1.5
# Keys beyond this many, as of routes that are no longer declared, are dropped.
_MAX_KEYS = 512

Key = tuple[str, int]


class Median:
    """Running median of recent samples.

    Attributes:
        value: The median; None before there are enough samples.
    """

    def __init__(self) -> None:
        self.value: float | None = None
        self._sketch = ddsketch.DDSketch(_RELATIVE_ACCURACY)

    def record(self, sample: float) -> None:
        """Adds a sample."""
        if self._sketch.count >= _MAX_SAMPLES:
            self._sketch = ddsketch.DDSketch(_RELATIVE_ACCURACY)
        self._sketch.add(sample)
        count = int(self._sketch.count)
        if count >= _MIN_SAMPLES and count % _MEDIAN_EVERY == 0:
            self.value = self._sketch.get_quantile_value(0.5)


@dataclasses.dataclass(frozen=True)
class Declared:
    """What a client declares about a generation.

    Attributes:
        route: Name of the route.
        prompt_tokens: Length of the prompt.
        output_tokens: Its estimate of the output; the maximum if it has none.
        max_output_tokens: Most tokens to generate.
    """

    route: str
    prompt_tokens: int
    output_tokens: int
    max_output_tokens: int

    @property
    def key(self) -> Key:
        """Route and size class."""
        return self.route, bisect.bisect(_CLASS_BOUNDS, self.prompt_tokens)


class ExpectedOutput:
    """Expected output tokens by route and size class.

    On a cold start and on a new route the declaration counts. Once enough
    outputs of the size class are known, or else of the route, their median
    counts unless declarations on the route are usually right.

    Example:
        >>> expected = ExpectedOutput()
        >>> declared = Declared("chat", 3_000, 4_096, 4_096)
        >>> expected.expect(declared)
        4096
        >>> for _ in range(40):
        ...     expected.record(declared, 100)
        >>> 95 <= expected.expect(declared) <= 105
        True
    """

    def __init__(self) -> None:
        self._medians: dict[Key, Median] = {}
        # Mean of the logarithm of how far declarations were off, by route.
        self._errors: dict[str, float] = {}

    def record(self, declared: Declared, output_tokens: int) -> None:
        """Learns from a generation that ended."""
        if output_tokens <= 0 or declared.output_tokens <= 0:
            return
        if len(self._medians) > _MAX_KEYS:
            self._medians.clear()
            self._errors.clear()
        for key in (declared.key, (declared.route, -1)):
            self._medians.setdefault(key, Median()).record(output_tokens)
        error = abs(math.log(output_tokens / declared.output_tokens))
        known = self._errors.get(declared.route, error)
        self._errors[declared.route] = known + _ERROR_WEIGHT * (error - known)

    def expect(self, declared: Declared) -> int:
        """Returns the expected output of a generation in tokens."""
        error = self._errors.get(declared.route, 0.0)
        if error < math.log(_TRUSTED_FACTOR):
            return declared.output_tokens
        for key in (declared.key, (declared.route, -1)):
            median = self._medians.get(key)
            if median is not None and median.value is not None:
                return min(declared.max_output_tokens, round(median.value))
        return declared.output_tokens


class PlainTimes:
    """Time that plain requests take, by route.

    Example:
        >>> times = PlainTimes()
        >>> times.expect("orders")
        0.05
        >>> for _ in range(20):
        ...     times.record("orders", 0.2)
        >>> round(times.expect("orders"), 1)
        0.2
    """

    # Before a route's first requests have ended.
    _ASSUMED_S = 0.05

    def __init__(self) -> None:
        self._medians: dict[str, Median] = {}

    def record(self, route: str, took_s: float) -> None:
        """Learns from a request that was answered."""
        if len(self._medians) > _MAX_KEYS:
            self._medians.clear()
        self._medians.setdefault(route, Median()).record(took_s)

    def expect(self, route: str) -> float:
        """Returns the time that a request takes, in seconds."""
        median = self._medians.get(route)
        if median is None or median.value is None:
            return self._ASSUMED_S
        return median.value
