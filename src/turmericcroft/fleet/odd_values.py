"""Counts and logs values of other writers that can't be used.

Their writer may repeat them several times a second, so each is logged once.
"""

from collections.abc import Callable

import logbook

_LOG = logbook.Logger("values")
# Values that are remembered as logged; others are only counted.
_MAX_LOGGED = 1_000
_MAX_CAUSE_CHARACTERS = 500
_MAX_KEY_CHARACTERS = 200


class OddValues:
    """Counts odd values by kind, and logs each of them once."""

    def __init__(self, count: Callable[[str], None]) -> None:
        self._count = count
        self._logged: set[tuple[str, str]] = set()

    def record(self, kind: str, key: str, cause: str) -> None:
        """Records a value that can't be used.

        Args:
            kind: What it should describe.
            key: Which of that kind.
            cause: Why it can't be used.
        """
        self._count(kind)
        key = key[:_MAX_KEY_CHARACTERS]
        if (kind, key) in self._logged or len(self._logged) >= _MAX_LOGGED:
            return
        self._logged.add((kind, key))
        _LOG.warning(
            "cannot use a value; it is left out",
            kind=kind,
            key=key,
            error=cause[:_MAX_CAUSE_CHARACTERS],
        )
