"""Pacing of engines that are faster than the target between tokens.

The caller's target is the time between tokens. An engine that is faster than
the target gains its caller nothing, but costs a read and a write for each
token; reading it once in a while costs one of each for all that waited.
"""

import dataclasses

_WEIGHT = 0.2
_TARGET_SHARE = 0.86
_FAST_SHARE = 0.75
_UNHELD_TOKENS = 4


@dataclasses.dataclass
class Pacer:
    """Pace of one stream.

    Attributes:
        target_s: Target for the time between tokens.
        interval_s: Moving average of the time a token takes.
        tokens: Tokens seen.
        read_at_s: Time of the last read.
    """

    target_s: float
    interval_s: float = 0.0
    tokens: int = 0
    read_at_s: float = 0.0

    def pause_s(self, tokens: int, now_s: float) -> float:
        """Tells how long to stop reading after a read.

        Args:
            tokens: Tokens that the read brought.
            now_s: Monotonic time.

        Returns:
            The time to wait, 0 for a stream that is not faster than its
            target.

        Example:
            >>> pacer = Pacer(0.05)
            >>> [round(pacer.pause_s(1, i * 0.02), 3) for i in range(6)]
            [0.0, 0.0, 0.0, 0.0, 0.043, 0.043]
        """
        if tokens <= 0:
            return 0.0
        if self.tokens:
            each_s = (now_s - self.read_at_s) / tokens
            if self.interval_s:
                self.interval_s += _WEIGHT * (each_s - self.interval_s)
            else:
                self.interval_s = each_s
        self.tokens += tokens
        self.read_at_s = now_s
        is_fast = self.interval_s < _FAST_SHARE * self.target_s
        if self.tokens <= _UNHELD_TOKENS or not is_fast:
            return 0.0
        return _TARGET_SHARE * self.target_s
