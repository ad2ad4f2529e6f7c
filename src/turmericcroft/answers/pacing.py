"""Read pacing for streams that are faster than their target.

The target is the time between tokens. Forwarding tokens sooner does not help
the caller, but costs the daemon a read and a write for each token. Pausing
between reads batches the tokens that arrive meanwhile into one read and one
write.
"""

import dataclasses

_AVERAGE_WEIGHT = 0.2
_PAUSE_TARGET_RATIO = 0.86
_FAST_TARGET_RATIO = 0.75
_UNPACED_TOKENS = 4


@dataclasses.dataclass
class Pacer:
    """Computes the pauses between the reads of one stream.

    Attributes:
        target_s: Target for the time between tokens.
        interval_s: Moving average of the time between tokens.
        tokens: Tokens read so far.
        read_at_s: Monotonic time of the last read.
    """

    target_s: float
    interval_s: float = 0.0
    tokens: int = 0
    read_at_s: float = 0.0

    def pause_s(self, tokens: int, now_s: float) -> float:
        """Returns how long to pause after a read.

        Args:
            tokens: Number of tokens in the read.
            now_s: Monotonic time.

        Returns:
            The pause; 0 for the first tokens and for a stream that is not
            clearly faster than its target.

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
                self.interval_s += _AVERAGE_WEIGHT * (each_s - self.interval_s)
            else:
                self.interval_s = each_s
        self.tokens += tokens
        self.read_at_s = now_s
        is_fast = self.interval_s < _FAST_TARGET_RATIO * self.target_s
        if self.tokens <= _UNPACED_TOKENS or not is_fast:
            return 0.0
        return _PAUSE_TARGET_RATIO * self.target_s
