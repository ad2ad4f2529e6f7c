"""Learns how fast the engines of a service prefill prompts and decode tokens.

Load pattern: services run on engines whose speeds differ several times, and no
declaration states them. A plan for the wrong speed holds too many servers or
too few, and predictions of the first event are off by as much. The first
events and the gaps of ordinary streams show the speed, so no probes are needed.
"""

import dataclasses

# Batch size for which servers are planned. Decoding a token takes less server
# time in a larger batch; batches of this size meet the latency targets.
PLANNED_BATCH = 16
# Decoding steps by which each running request delays the first event of a new
# one.
_DELAY_STEPS_PER_REQUEST = 0.6
# Part of a step that each running request adds. It differs between engines, but
# batches are too small most of the time to learn it.
_STEP_GROWTH_PER_REQUEST = 0.02
# Weight of the samples that stand for the assumed speed.
_PRIOR_WEIGHT = 1.5
_PRIOR_PROMPT_TOKENS = (500.0, 15_000.0)
# Weight that the samples of the assumed prefill rate keep. Prompts of nearly
# one length don't show how the time grows with it, so these decide then.
_LASTING_PRIOR_WEIGHT = 0.15
# Factor by which earlier samples count less with each new one.
_FORGETTING = 0.98
# Weight of a sample above the estimate, relative to one below. Other requests
# on a server make its streams slower, never faster.
_WEIGHT_ABOVE = 0.1
# Samples are ignored outside of this range around the expected time: the server
# had the prefix cached against expectation, or worked on something else.
_MAX_DEVIATION = 10.0
# Change of the time of a sample request that is reported for the log.
_REPORTED_CHANGE = 1.25
_SAMPLE_PREFILL_TOKENS = 4_000
_SAMPLE_OUTPUT_TOKENS = 150
# Bounds of learned speeds, against samples that have nothing to do with them.
_MIN_PREFILL_TOKENS_PER_S = 2_000.0
_MAX_PREFILL_TOKENS_PER_S = 400_000.0
_MIN_STEP_S = 0.0002
_MAX_STEP_S = 0.1


@dataclasses.dataclass(frozen=True)
class EngineSpeed:
    """Speed of an engine.

    Attributes:
        prefill_tokens_per_s: Prompt tokens that it prefills per second.
        step_s: Time of a decoding step, which generates one token of each
            running request, without the part that grows with the batch.
    """

    prefill_tokens_per_s: float = 55_000.0
    step_s: float = 0.0066

    def step_time_s(self, running: float) -> float:
        """Returns the time of a decoding step for a batch."""
        return self.step_s * (1.0 + _STEP_GROWTH_PER_REQUEST * running)

    def server_time_s(self, prefill_tokens: int, output_tokens: int) -> float:
        """Returns the server time that a request uses in a planned batch.

        Example:
            >>> round(EngineSpeed().server_time_s(5_500, 100), 3)
            0.154
        """
        step_s = self.step_time_s(PLANNED_BATCH)
        return (
            prefill_tokens / self.prefill_tokens_per_s
            + output_tokens * step_s / PLANNED_BATCH
        )

    def delay_s(self, running: int) -> float:
        """Returns how much running requests delay a new one's first event."""
        return running * _DELAY_STEPS_PER_REQUEST * self.step_s


# Speed that is assumed until streams have shown another.
ASSUMED_SPEED = EngineSpeed()


@dataclasses.dataclass
class _Line:
    """Weighted least squares fit of a line, which forgets old samples."""

    weight: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0

    def add(
        self,
        x: float,
        y: float,
        weight: float = 1.0,
        forgetting: float = _FORGETTING,
    ) -> None:
        """Adds a sample, after which the earlier ones count less."""
        self.weight = self.weight * forgetting + weight
        self.sum_x = self.sum_x * forgetting + weight * x
        self.sum_y = self.sum_y * forgetting + weight * y
        self.sum_xx = self.sum_xx * forgetting + weight * x * x
        self.sum_xy = self.sum_xy * forgetting + weight * x * y

    def anchor(self, x: float, y: float, weight: float) -> None:
        """Adds a sample that keeps its weight if added with each other one."""
        share = weight * (1.0 - _FORGETTING)
        self.add(x, y, share, forgetting=1.0)

    def add_asymmetric(self, x: float, y: float) -> None:
        """Adds a sample that counts less if it lies above the line."""
        intercept, slope = self.fit()
        is_above = y > intercept + slope * x
        self.add(x, y, _WEIGHT_ABOVE if is_above else 1.0)

    def fit(self) -> tuple[float, float]:
        """Returns the intercept and the slope."""
        spread = self.weight * self.sum_xx - self.sum_x**2
        if spread <= 0.0:
            return self.sum_y / self.weight, 0.0
        slope = (self.weight * self.sum_xy - self.sum_x * self.sum_y) / spread
        return (self.sum_y - slope * self.sum_x) / self.weight, slope


@dataclasses.dataclass
class _Mean:
    """Weighted mean, which forgets old samples."""

    weight: float = 0.0
    total: float = 0.0

    @property
    def value(self) -> float:
        """The mean."""
        return self.total / self.weight

    def add(self, value: float, weight: float) -> None:
        """Adds a sample."""
        self.weight = self.weight * _FORGETTING + weight
        self.total = self.total * _FORGETTING + weight * value


class SpeedEstimate:
    """Estimate of the speed of a service's engines.

    Attributes:
        speed: The current estimate.
        samples: Number of samples that it takes into account.
    """

    def __init__(self) -> None:
        self.speed = ASSUMED_SPEED
        self.samples = 0
        self._reported = ASSUMED_SPEED
        self._prefill = _Line()
        self._step_s = _Mean()
        for tokens in _PRIOR_PROMPT_TOKENS:
            seconds = tokens / ASSUMED_SPEED.prefill_tokens_per_s
            self._prefill.add(tokens, seconds, _PRIOR_WEIGHT)
        self._step_s.add(self.speed.step_s, _PRIOR_WEIGHT)

    def take_change(self) -> EngineSpeed | None:
        """Returns the speed if it changed much since the last such call."""
        ratio = _sample_request_s(self.speed) / _sample_request_s(
            self._reported
        )
        if 1.0 / _REPORTED_CHANGE < ratio < _REPORTED_CHANGE:
            return None
        self._reported = self.speed
        return self.speed

    def record_first_event(self, prefill_tokens: int, took_s: float) -> None:
        """Records when the first event of an engine without a queue came."""
        intercept_s, s_per_token = self._prefill.fit()
        expected_s = max(0.0, intercept_s) + prefill_tokens * s_per_token
        if took_s > _MAX_DEVIATION * max(expected_s, _MIN_STEP_S):
            return
        self._prefill.add_asymmetric(float(prefill_tokens), took_s)
        for tokens in _PRIOR_PROMPT_TOKENS:
            seconds = tokens / ASSUMED_SPEED.prefill_tokens_per_s
            self._prefill.anchor(tokens, seconds, _LASTING_PRIOR_WEIGHT)
        self.samples += 1
        _, s_per_token = self._prefill.fit()
        if s_per_token * _MAX_PREFILL_TOKENS_PER_S < 1.0:
            # The samples contradict each other; a prompt takes time.
            return
        self.speed = dataclasses.replace(
            self.speed,
            prefill_tokens_per_s=max(
                _MIN_PREFILL_TOKENS_PER_S, 1.0 / s_per_token
            ),
        )

    def record_step(self, running: int, step_s: float) -> None:
        """Records the usual time of a decoding step during a stream.

        Args:
            running: Requests that ran on the server.
            step_s: Time between the stream's tokens while no prompt was
                prefilled beside it.
        """
        if not _MIN_STEP_S <= step_s <= _MAX_STEP_S:
            return
        alone_s = step_s / (1.0 + _STEP_GROWTH_PER_REQUEST * running)
        is_above = alone_s > self._step_s.value
        self._step_s.add(alone_s, _WEIGHT_ABOVE if is_above else 1.0)
        self.samples += 1
        self.speed = dataclasses.replace(
            self.speed, step_s=max(_MIN_STEP_S, self._step_s.value)
        )


def _sample_request_s(speed: EngineSpeed) -> float:
    return speed.server_time_s(_SAMPLE_PREFILL_TOKENS, _SAMPLE_OUTPUT_TOKENS)
