"""CBOR encoding of the messages between daemons."""

import dataclasses
import math
import typing
from collections.abc import Iterable

import cbor2
from cattrs.preconf import cbor2 as cattrs_cbor2

from turmericcroft import errors
from turmericcroft.fleet import ages

# Hashes of prefixes have 64 bits without a sign.
_MIN_INT, _MAX_INT = -(2**63), 2**64 - 1
# Holds all servers that a listing of the store may hold.
_MAX_BYTES = 16_777_216
# An empty array takes 70 times the memory of its one byte. Shorter messages
# take little whatever they hold, and are not counted.
_MIN_COUNTED_BYTES = 262_144
_MAX_VALUES = 150_000
# The first byte of a value: its major type, and its argument or the length of
# the argument that follows.
_INFO_VALUES = 32
_STRING_MAJORS = (2, 3)
_UINT8_INFO, _UINT64_INFO, _INDEFINITE_INFO = 24, 27, 31


@dataclasses.dataclass(frozen=True)
class Done:
    """The message that follows the last reply to a call."""


@dataclasses.dataclass(frozen=True)
class Envelope:
    """A message of a call.

    Attributes:
        call_id: Id of the call, unique within the connection.
        message: The request of the call or one of its replies.
    """

    call_id: int
    message: typing.Any


class Codec:
    """Encodes and decodes the messages of a set of types.

    Attributes:
        types: Message types by class name, which identifies them on the wire.
        max_bytes: Longest message that is received.
    """

    def __init__(
        self, types: Iterable[type], max_bytes: int = _MAX_BYTES
    ) -> None:
        self.max_bytes = max_bytes
        self.types = {kind.__name__: kind for kind in (*types, Done)}
        # Collecting all faults of a message takes seconds.
        self._converter = cattrs_cbor2.make_converter(detailed_validation=False)
        self._converter.register_structure_hook(int, _structure_int)
        self._converter.register_structure_hook(float, _structure_float)
        self._converter.register_structure_hook_func(ages.is_age, ages.decode)

    def encode(self, envelope: Envelope) -> bytes:
        """Encodes a message as a CBOR array: type name, call id, fields."""
        fields = self._converter.unstructure(envelope.message)
        name = type(envelope.message).__name__
        return cbor2.dumps([name, envelope.call_id, fields])

    def decode(self, data: bytes) -> Envelope:
        """Decodes a message.

        Raises:
            errors.MeshError: The data is not a valid message of these types.
        """
        try:
            if len(data) > _MIN_COUNTED_BYTES:
                _check_count(data)
            name, call_id, fields = cbor2.loads(data)
            message: typing.Any = self._converter.structure(
                fields, self.types[name]
            )
            return Envelope(_structure_int(call_id, int), message)
        except Exception as error:
            raise errors.MeshError(
                f"message could not be decoded: {type(error).__name__}"
            ) from error


def _check_count(data: bytes) -> None:
    """Checks how many values a message holds; strings are skipped (RFC 8949).

    Raises:
        ValueError: They are too many.
    """
    position = 0
    for _ in range(_MAX_VALUES):
        if position >= len(data):
            return
        major, info = divmod(data[position], _INFO_VALUES)
        position += 1
        length = info
        if _UINT8_INFO <= info <= _UINT64_INFO:
            end = position + (1 << (info - _UINT8_INFO))
            length = int.from_bytes(data[position:end], "big")
            position = end
        if major in _STRING_MAJORS and info != _INDEFINITE_INFO:
            position += length
    raise ValueError(f"a message has more than {_MAX_VALUES} values")


def _structure_int(value: typing.Any, _: type) -> int:
    """Rejects other types: a decimal of 12 bytes may have a billion digits."""
    if not isinstance(value, (int, float)):
        raise ValueError("a whole number is of another type")
    number = int(value)
    if _MIN_INT <= number <= _MAX_INT:
        return number
    raise ValueError("a whole number has over 64 bits")


def _structure_float(value: typing.Any, _: type) -> float:
    """Rejects what no time or sum can be calculated with."""
    number = value if type(value) is float else float(value)
    if math.isfinite(number):
        return number
    raise ValueError("a number is not finite")
