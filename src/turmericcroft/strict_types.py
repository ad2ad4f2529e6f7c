"""Strict types for converters of what other writers state.

By default a converter turns a value of another type into one of the type that
it expects: the text "false" into true, and a text into the list of its letters.
"""

import typing
from collections.abc import Callable

import cattrs
from cattrs import cols


class WrongTypeError(ValueError):
    """A value has another type than its field.

    Attributes:
        expected: Description of a valid value.
        found: Description of the value found.
    """

    def __init__(self, expected: str, found: str) -> None:
        super().__init__(f"expected {expected}, found {found}")
        self.expected = expected
        self.found = found


def register(converter: cattrs.Converter) -> None:
    """Lets a converter reject scalars of another type, and texts for lists.

    Example:
        >>> converter = cattrs.Converter(detailed_validation=False)
        >>> register(converter)
        >>> converter.structure(["a"], tuple[str, ...])
        ('a',)
        >>> converter.structure("a", tuple[str, ...])
        Traceback (most recent call last):
        ...
        turmericcroft.strict_types.WrongTypeError: expected a list, found str
    """
    for scalar in (str, int, float, bool):
        converter.register_structure_hook(scalar, _structure_scalar)
    converter.register_structure_hook_factory(_is_list, _make_list_hook)


def _structure_scalar(value: typing.Any, kind: type) -> typing.Any:
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        # What stands in the place of a text may be a secret.
        found = type(value).__name__ if kind is str else repr(value)
        raise WrongTypeError(kind.__name__, found)
    return value


def _is_list(kind: object) -> bool:
    """Whether a type is a tuple of any length."""
    arguments = typing.get_args(kind)
    return typing.get_origin(kind) is tuple and arguments[1:] == (...,)


def _make_list_hook(
    kind: type, converter: cattrs.BaseConverter
) -> Callable[[typing.Any, type], typing.Any]:
    structure = cols.homogenous_tuple_structure_factory(kind, converter)

    def structure_list(value: typing.Any, _: type) -> typing.Any:
        if not isinstance(value, list):
            # The value may be a secret that stands in the place of its list.
            raise WrongTypeError("a list", type(value).__name__)
        return structure(value, kind)

    return structure_list
