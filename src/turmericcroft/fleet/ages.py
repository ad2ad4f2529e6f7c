"""Ages that other writers state, in seconds.

What is newer takes precedence, so an age below zero would count as newer than
all that is stated later.
"""

import math
import typing

# Marks a field whose value is decoded by `decode`.
Age = typing.Annotated[float, "age in seconds"]


def is_age(kind: object) -> bool:
    """Returns whether a field's type is an age.

    Example:
        >>> is_age(Age), is_age(float)
        (True, False)
    """
    return kind == Age


def decode(value: typing.Any, _: object) -> float:
    """Decodes an age; one below zero counts as zero.

    Example:
        >>> decode(2.5, Age), decode(-1e9, Age)
        (2.5, 0.0)

    Raises:
        ValueError: It is not finite.
    """
    age_s = float(value)
    if not math.isfinite(age_s):
        raise ValueError("an age is not finite")
    return max(0.0, age_s)
