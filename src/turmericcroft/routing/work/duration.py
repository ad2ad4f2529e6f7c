"""How long work takes on an engine.

Load pattern: prompts of 1,500 to 90,000 tokens share engines with streams. The
time of a prompt grows faster than its length, and the engine interleaves chunks
of prompts with decoding steps, so that a prompt delays every stream there.
"""

from turmericcroft.routing import engine_speed

# Prompt tokens that an engine prefills between two decoding steps.
CHUNK_TOKENS = 2_048
# Attention relates each token of a prompt to all before it.
_ATTENTION_S_PER_PAIR = 0.25e-9
# Time from the end of the prefill to the first event's arrival, seen on idle
# engines beyond what prefill and decoding explain.
FIRST_EVENT_EXTRA_S = 0.022


def prefill_s(
    speed: engine_speed.EngineSpeed, tokens: int, cached_tokens: int
) -> float:
    """Returns the time to prefill a prompt after a cached part.

    Args:
        speed: Speed of the engine.
        tokens: Prompt tokens to prefill.
        cached_tokens: Prompt tokens before them that are cached.

    Example:
        >>> speed = engine_speed.EngineSpeed(37_900.0, 0.0046)
        >>> round(prefill_s(speed, 4_000, 0), 3)
        0.11
        >>> round(prefill_s(speed, 90_000, 0), 3)
        4.4
    """
    pairs = tokens * (tokens + 2.0 * cached_tokens)
    return tokens / speed.prefill_tokens_per_s + pairs * _ATTENTION_S_PER_PAIR


def prefill_pause_s(
    speed: engine_speed.EngineSpeed,
    tokens: int,
    cached_tokens: int,
    tokens_per_event: int,
) -> float:
    """Returns how much a prompt lengthens the pause between events at most.

    The engine prefills a chunk with each of the steps that decode the tokens of
    an event. The last chunks take longest, because all others precede them.

    Args:
        speed: Speed of the engine.
        tokens: Prompt tokens to prefill.
        cached_tokens: Prompt tokens before them that are cached.
        tokens_per_event: Tokens that an event holds.

    Example:
        >>> speed = engine_speed.EngineSpeed(37_900.0, 0.0046)
        >>> round(prefill_pause_s(speed, 4_000, 0, 4), 2)
        0.11
        >>> round(prefill_pause_s(speed, 90_000, 0, 4), 2)
        0.57
    """
    last_tokens = min(tokens, tokens_per_event * CHUNK_TOKENS)
    before = cached_tokens + tokens - last_tokens
    return prefill_s(speed, last_tokens, before)
