"""Made-up prompts of the simulation in ``crowd.py``."""

import math
import random

from turmericcroft.routing import engines
from turmericcroft_lab.slopes import crowd_engines

_EVENTS = 13, 43
_PREFIXES = 120
_PREFIX_TOKENS = 350, 1_200, 2_500, 4_000, 6_000, 9_000, 13_300
_PREFIXED_SHARE = 0.8
_MEDIAN_TOKENS, _TOKENS_SIGMA, _MIN_TOKENS = 5_500, 0.65, 1_500
_LARGE_SHARE = 0.004
_LARGE_TOKENS = 30_000, 90_000


class Prompts:
    """Prompts of many lengths, most of which share a prefix with others."""

    def __init__(self, rng: random.Random) -> None:
        self._prefixes = [
            (rng.getrandbits(64), rng.choice(_PREFIX_TOKENS))
            for _ in range(_PREFIXES)
        ]
        self._weights = [(n + 1) ** -0.8 for n in range(_PREFIXES)]

    def draw(self, rng: random.Random) -> engines.Prompt:
        """Draws a prompt."""
        prefix, prefix_tokens = 0, 0
        if rng.random() < _PREFIXED_SHARE:
            (drawn,) = rng.choices(self._prefixes, self._weights)
            prefix, prefix_tokens = drawn
        mean = math.log(_MEDIAN_TOKENS)
        tokens = int(rng.lognormvariate(mean, _TOKENS_SIGMA))
        if rng.random() < _LARGE_SHARE:
            tokens = rng.randrange(*_LARGE_TOKENS)
        suffix = max(200, max(_MIN_TOKENS, tokens) - prefix_tokens)
        output = rng.randrange(*_EVENTS) * crowd_engines.TOKENS_PER_EVENT
        return engines.Prompt(prefix, prefix_tokens, suffix, output)
