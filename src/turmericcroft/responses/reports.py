"""Checks of values that servers state in the bodies of their answers.

What passes can be calculated with, sent on in a header or to another daemon,
and logged. Anything else counts as not stated.
"""

import math
import typing
from collections.abc import Callable
from collections.abc import Iterable

from turmericcroft import errors

_MAX_TEXT_CHARACTERS = 1_024
_MAX_COUNT = 2**53
_MAX_SECONDS = 1e9
_Kind = typing.TypeVar("_Kind")


def header_text(value: object) -> str:
    r"""Returns a text or number that may be sent in a header; else "".

    Anything but visible ASCII could end the header, and the request with it.

    Example:
        >>> header_text("h-1"), header_text(7), header_text("h\r\nX: 1")
        ('h-1', '7', '')
    """
    text = str(value) if isinstance(value, (str, int)) else ""
    is_visible = text.isascii() and text.isprintable() and " " not in text
    return text if is_visible and len(text) <= _MAX_TEXT_CHARACTERS else ""


def seconds(value_ms: object) -> float | None:
    """Returns a stated time in seconds; None if it is out of range.

    Example:
        >>> seconds(1500), seconds(float("nan")), seconds(10**400)
        (1.5, None, None)
    """
    if isinstance(value_ms, bool) or not isinstance(value_ms, (int, float)):
        return None
    if not abs(value_ms) <= 1000 * _MAX_SECONDS:
        return None
    return value_ms / 1000


def text(value: object) -> str:
    """Returns a text that can be encoded; raises ValueError for another."""
    found = str(value)
    found.encode()
    return found


def count(value: typing.Any) -> int:
    """Returns a count; raises ValueError if it is out of range."""
    if not math.isfinite(value) or not 0 <= value <= _MAX_COUNT:
        raise ValueError("a count is out of range")
    return int(value)


def read_each(
    rows: Iterable[object], read: Callable[[typing.Any], _Kind]
) -> tuple[_Kind, ...]:
    """Reads the rows of a list, and leaves out those that can't be read."""
    found = []
    for row in rows:
        try:
            found.append(read(row))
        except errors.DECODING_FAULTS:
            continue
    return tuple(found)
