"""Bounds the memory of what a daemon keeps of the store's keys.

Load pattern: a writer adds keys without end. Each answer of the store is short,
and each value is small, but their sum is not. Keys that are known go on being
followed; further keys are left out until there is room, and all are listed
then.
"""

import collections
from collections.abc import Iterable

# As much as a listing may take.
_MAX_BYTES = 16_777_216
# New keys leave the rest to changes of those that are known.
_MAX_BYTES_WITH_NEW_KEY = 0.75 * _MAX_BYTES
# With less than this, all keys are listed again if some were left out.
_MAX_BYTES_TO_LIST = 0.5 * _MAX_BYTES
_LIST_INTERVAL_S = 10.0
# Memory of a key beside its text and its value.
_KEY_BYTES = 1_024
# A parsed value of short texts takes this times its bytes.
_PARSED_FACTOR = 12
# Servers that were removed are remembered for this time.
_GONE_RETENTION_S = 30.0


class KeyRoom:
    """Keys of the store that are kept, and the memory that they take.

    Attributes:
        raw_prefix: Prefix of keys whose values are kept as they are.
        has_left_out: Whether a key was left out since the last listing.

    Example:
        >>> room = KeyRoom("servers/")
        >>> room.admit("servers/a", 9_000_000, now_s=1.0)
        True
        >>> room.admit("servers/b", 9_000_000, now_s=1.0), room.has_left_out
        (False, True)
        >>> room.admit("servers/a", None, now_s=1.0)
        True
        >>> room.admit("servers/b", 9_000_000, now_s=1.0)
        True
    """

    def __init__(self, raw_prefix: str) -> None:
        self.raw_prefix = raw_prefix
        self.has_left_out = False
        self._used_bytes = 0
        self._sizes: dict[str, int] = {}
        # Keys that were removed, and when.
        self._gone: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._listed_at_s = float("-inf")

    def __contains__(self, key: str) -> bool:
        return key in self._sizes

    def reset(self, keys: Iterable[tuple[str, int]], now_s: float) -> None:
        """Applies a complete listing.

        Args:
            keys: All keys, and the lengths of their values.
            now_s: Monotonic time.
        """
        self.has_left_out = False
        self._listed_at_s = now_s
        self._sizes = {key: self._size(key, length) for key, length in keys}
        self._gone.clear()
        self._used_bytes = sum(self._sizes.values())

    def admit(self, key: str, length: int | None, now_s: float) -> bool:
        """Returns whether a change can be kept, and counts it if so.

        Args:
            key: The key.
            length: Length of its value; None if it was removed.
            now_s: Monotonic time.
        """
        self._forget_gone(now_s)
        known_size = self._sizes.get(key)
        if length is None:
            if known_size is None:
                return True
            self._sizes[key] = self._size(key, 0)
            self._used_bytes += self._sizes[key] - known_size
            self._gone.pop(key, None)
            self._gone[key] = now_s
            return True
        size = self._size(key, length)
        limit_bytes = (
            _MAX_BYTES_WITH_NEW_KEY if known_size is None else _MAX_BYTES
        )
        added_bytes = size - (known_size or 0)
        if added_bytes > 0 and self._used_bytes + added_bytes > limit_bytes:
            self.has_left_out = True
            return False
        self._sizes[key] = size
        self._used_bytes += added_bytes
        self._gone.pop(key, None)
        return True

    def should_list(self, now_s: float) -> bool:
        """Returns whether keys that were left out may have room now."""
        self._forget_gone(now_s)
        if (
            not self.has_left_out
            or self._used_bytes > _MAX_BYTES_TO_LIST
            or now_s - self._listed_at_s < _LIST_INTERVAL_S
        ):
            return False
        self._listed_at_s = now_s
        return True

    def _size(self, key: str, length: int) -> int:
        factor = 1 if key.startswith(self.raw_prefix) else _PARSED_FACTOR
        return _KEY_BYTES + len(key) + factor * length

    def _forget_gone(self, now_s: float) -> None:
        while self._gone:
            key, gone_at_s = next(iter(self._gone.items()))
            if now_s - gone_at_s < _GONE_RETENTION_S:
                return
            del self._gone[key]
            self._used_bytes -= self._sizes.pop(key)
