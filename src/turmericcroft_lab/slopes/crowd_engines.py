"""Simulated engines of the simulation in ``crowd.py``.

Their figures are those of docs/design/hard-load.md.
"""

import collections
import dataclasses
import random
from collections.abc import Sequence

from turmericcroft.routing import engine_speed
from turmericcroft.routing.work import duration

SPEED = engine_speed.EngineSpeed(37_900.0, 0.0046)
_STEP_S, _STEP_S_PER_REQUEST = 0.0046, 0.00015
_SLOWED_SHARE, _SLOWED_S = 0.15, 0.5
SLOWDOWN = 2.5
TOKENS_PER_EVENT = 4
_TARGET_GAP_S = 0.5
_CACHED_TOKENS = 240_000


@dataclasses.dataclass
class Request:
    """A request on its way through an engine.

    Attributes:
        daemon: Place of the daemon that sent it.
        engine: Place of the engine.
        sent_at_s: When it was sent.
        expected_tokens: Tokens that the daemon expected to be prefilled.
        predicted_s: First event that the daemon predicted.
        output_tokens: Tokens to generate.
        prefill_left: Tokens to prefill.
        prefilled: Tokens in the engine's memory.
        read_tokens: Tokens that the engine must prefill in all.
        decoded: Tokens generated so far.
        first_event_s: Time to the first event.
        last_event_at_s: When the last event was sent.
        paused: Whether a pause was too long.
    """

    daemon: int
    engine: int
    sent_at_s: float
    expected_tokens: int
    predicted_s: float
    output_tokens: int
    prefill_left: int
    prefilled: int
    read_tokens: int
    decoded: int = 0
    first_event_s: float = 0.0
    last_event_at_s: float = 0.0
    paused: bool = False


class Engine:
    """An engine, which prefills a chunk in each step beside decoding.

    Attributes:
        queue: Prompts to prefill.
        streams: Requests that decode.
        is_busy: Whether a step runs.
        is_slowed: Whether its VM is slowed.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.queue: collections.deque[Request] = collections.deque()
        self.streams: list[Request] = []
        self._cached: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.is_busy = False
        self.is_slowed = rng.random() < _SLOWED_SHARE
        self._changes_at_s = 0.0
        self._plan_change(0.0)

    def _plan_change(self, now_s: float) -> None:
        usual_s = _SLOWED_S * (1.0 - _SLOWED_SHARE) / _SLOWED_SHARE
        mean_s = _SLOWED_S if self.is_slowed else usual_s
        self._changes_at_s = now_s + self._rng.expovariate(1.0 / mean_s)

    def step(self, now_s: float) -> tuple[float, list[Request]]:
        """Returns how long the next step takes, and the prompts it ends."""
        while self._changes_at_s <= now_s:
            self.is_slowed = not self.is_slowed
            self._plan_change(self._changes_at_s)
        left, took_s, ended = duration.CHUNK_TOKENS, 0.0, []
        while self.queue and left:
            request = self.queue[0]
            tokens = min(left, request.prefill_left)
            took_s += duration.prefill_s(SPEED, tokens, request.prefilled)
            request.prefilled += tokens
            request.prefill_left -= tokens
            left -= tokens
            if not request.prefill_left:
                ended.append(self.queue.popleft())
        if self.streams or ended:
            took_s += _STEP_S + _STEP_S_PER_REQUEST * len(self.streams)
        return took_s * (SLOWDOWN if self.is_slowed else 1.0), ended

    def read_prefix(self, prefix: int, tokens: int, is_copied: bool) -> int:
        """Returns the tokens of a prefix that must be prefilled."""
        if prefix in self._cached:
            self._cached.move_to_end(prefix)
            return 0
        self._cached[prefix] = tokens
        while sum(self._cached.values()) > _CACHED_TOKENS:
            self._cached.popitem(last=False)
        return 0 if is_copied else tokens

    def end_step(
        self, prefilled: Sequence[Request], now_s: float
    ) -> list[Request]:
        """Decodes a token of each stream; returns the streams that ended."""
        ended = []
        for request in self.streams:
            request.decoded += 1
            is_last = request.decoded >= request.output_tokens
            if request.decoded % TOKENS_PER_EVENT == 0 or is_last:
                gap_s = now_s - request.last_event_at_s
                request.paused |= gap_s > _TARGET_GAP_S
                request.last_event_at_s = now_s
            if is_last:
                ended.append(request)
        self.streams = [r for r in self.streams if r.decoded < r.output_tokens]
        for request in prefilled:
            first_at_s = now_s + duration.FIRST_EVENT_EXTRA_S
            request.first_event_s = first_at_s - request.sent_at_s
            request.last_event_at_s = first_at_s
            self.streams.append(request)
        return ended
