"""Decoding of another writer's document, part by part.

A part that can't be read is left out and stated as a fault, so that it doesn't
take the others with it. A missing field, an empty one and one of another type
are three different things: only a field with a default may be missing.
"""

import typing
from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from turmericcroft import errors

_Part = typing.TypeVar("_Part")
# A document with more is refused as a whole, so that its size bounds the time
# that it takes to read it.
_MAX_FAULTS = 100
# Larger numbers can't be calculated with, or timers set to them.
_MAX_NUMBER = 10**15

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
PositiveCount = typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_NUMBER)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
PositiveAmount = typing.Annotated[float, msgspec.Meta(gt=0, le=_MAX_NUMBER)]
Text = typing.Annotated[str, msgspec.Meta(min_length=1)]
# Text without control characters, which can be sent in a header.
HeaderText = typing.Annotated[
    str, msgspec.Meta(pattern=r"\A[^\x00-\x1f\x7f]+\Z")
]
# The same for `PartReader.read`, which takes types.
TEXT: type[str] = Text
_DECODERS: dict[object, msgspec.json.Decoder[typing.Any]] = {}


class Part(msgspec.Struct, frozen=True, rename="camel"):
    """A JSON object; fields that a subclass doesn't name are ignored."""


class PartReader:
    """Reads the parts of one document.

    Attributes:
        subject: What the document is, for messages.
        faults: Faults of the parts that were left out. They hold no texts of
            the document, which may be secret.
    """

    def __init__(self, subject: str) -> None:
        self.subject = subject
        self.faults: list[errors.Fault] = []

    def require(
        self, kind: type[_Part], raw: bytes | msgspec.Raw, place: str
    ) -> _Part:
        """Decodes a part that the document can't be used without.

        Raises:
            errors.FaultyInputError: It can't be read.
        """
        try:
            return _decoder(kind).decode(raw)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise self._reject(_describe(error, place)) from error

    def read(
        self,
        kind: type[_Part],
        raw: bytes | msgspec.Raw | msgspec.UnsetType,
        place: str,
    ) -> _Part | None:
        """Decodes a part; returns None if it is missing or can't be read.

        A part that can't be read is recorded as a fault.

        Raises:
            errors.FaultyInputError: The document has too many faults.
        """
        if raw is msgspec.UNSET:
            return None
        try:
            return _decoder(kind).decode(raw)
        except (msgspec.MsgspecError, RecursionError) as error:
            self.record(_describe(error, place))
            return None

    def read_each(
        self,
        read: Callable[["PartReader", msgspec.Raw, str], _Part | None],
        items: Iterable[msgspec.Raw],
        place: str,
    ) -> tuple[_Part, ...]:
        """Reads the items of a list; leaves out those that can't be read."""
        found = (
            read(self, item, f"{place}[{number}]")
            for number, item in enumerate(items)
        )
        return tuple(item for item in found if item is not None)

    def record(self, fault: errors.Fault) -> None:
        """Records a fault of a part that is left out.

        Raises:
            errors.FaultyInputError: The document has too many faults.
        """
        self.faults.append(fault)
        if len(self.faults) > _MAX_FAULTS:
            limit = errors.Fault(
                self.subject, f"{_MAX_FAULTS} faults or less", "more"
            )
            raise self._reject(limit)

    def _reject(self, fault: errors.Fault) -> errors.FaultyInputError:
        return errors.FaultyInputError(self.subject, [fault, *self.faults])


def peek(kind: type[_Part], raw: msgspec.Raw) -> _Part | None:
    """Decodes a part; returns None if it can't be read, and records nothing."""
    try:
        return _decoder(kind).decode(raw)
    except (msgspec.MsgspecError, RecursionError):
        return None


def read_text(reader: PartReader, raw: msgspec.Raw, place: str) -> str | None:
    """Decodes a text that is not empty, for `PartReader.read_each`."""
    return reader.read(TEXT, raw, place)


def _decoder(kind: type[_Part]) -> msgspec.json.Decoder[_Part]:
    decoder = _DECODERS.get(kind)
    if decoder is None:
        decoder = _DECODERS[kind] = msgspec.json.Decoder(kind)
    return decoder


def _describe(error: Exception, place: str) -> errors.Fault:
    """Describes a decoder's error.

    Example:
        >>> try:
        ...     msgspec.json.decode(
        ...         b'{"a": [1, "b"]}', type=dict[str, list[int]]
        ...     )
        ... except msgspec.ValidationError as error:
        ...     str(_describe(error, "routes[3]"))
        'routes[3][...][1]: expected `int`, found `str`'
    """
    message, _, path = str(error).partition(" - at `$")
    expected, separator, found = message.partition(", got ")
    if separator and expected.startswith("Expected "):
        expected = expected.removeprefix("Expected ")
    elif message.startswith("Invalid enum value"):
        # The message has the text that was found.
        expected, found = "one of its values", "another text"
    else:
        expected, found = "a valid value", message
    location = (place + path.removesuffix("`")).removeprefix(".")
    return errors.Fault(location, expected, found)
