"""CBOR form of the messages between daemons."""

import dataclasses
import typing
from collections.abc import Iterable

import cbor2
from cattrs.preconf import cbor2 as cattrs_cbor2

from turmericcroft import errors


@dataclasses.dataclass(frozen=True)
class Done:
    """Ends the replies to a call."""


@dataclasses.dataclass(frozen=True)
class Envelope:
    """A message with the number of the call that it belongs to."""

    call: int
    message: typing.Any


class Codec:
    """Encodes and decodes one set of message types.

    Attributes:
        types: Message types by name.
    """

    def __init__(self, types: Iterable[type]) -> None:
        self.types = {kind.__name__: kind for kind in (*types, Done)}
        self._converter = cattrs_cbor2.make_converter()

    def encode(self, envelope: Envelope) -> bytes:
        """Encodes a message as a CBOR array of type, call and fields."""
        fields = self._converter.unstructure(envelope.message)
        name = type(envelope.message).__name__
        return cbor2.dumps([name, envelope.call, fields])

    def decode(self, data: bytes) -> Envelope:
        """Decodes a message.

        Raises:
            errors.MeshError: The data is no message of this set.
        """
        try:
            name, call, fields = cbor2.loads(data)
            message: typing.Any = self._converter.structure(
                fields, self.types[name]
            )
            return Envelope(int(call), message)
        except Exception as error:
            raise errors.MeshError(
                f"expected a message, found {type(error).__name__}"
            ) from error
