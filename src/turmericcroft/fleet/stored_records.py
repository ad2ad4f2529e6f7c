"""Decoding of the records that daemons keep in the store for each other.

Any writer may have written them: one that can't be decoded is logged and left
out.
"""

import base64
import collections
import dataclasses
import json
import typing
from collections.abc import Callable

import cattrs
import logbook

from turmericcroft import errors
from turmericcroft import strict_types
from turmericcroft.fleet import ages
from turmericcroft.resumption import coverage
from turmericcroft.routing import poison

_LOG = logbook.Logger("following")
# Stops at the first fault: a value of 1 MB may have so many that it takes
# minutes to collect them.
CONVERTER = cattrs.Converter(detailed_validation=False)
strict_types.register(CONVERTER)
CONVERTER.register_structure_hook_func(ages.is_age, ages.decode)

_Kind = typing.TypeVar("_Kind")
_MAX_INT = 2**63
# An item takes some 100 bytes, and answers are limited to 8 MiB.
_MAX_CONTAINERS = 100_000


def load_json(value: bytes) -> typing.Any:
    """Parses JSON whose contents can be calculated with and sent on.

    Example:
        >>> load_json(b'{"a": [1, 2.5]}')
        {'a': [1, 2.5]}

    Raises:
        ValueError: It is no JSON, or a number is not finite or above 64 bits,
            or a text can't be encoded.
        RecursionError: It is nested too deep.
    """
    raw = json.loads(value, parse_int=_parse_int)
    json.dumps(raw, ensure_ascii=False, allow_nan=False).encode()
    return raw


def load_page(content: bytes) -> typing.Any:
    """Parses an answer of the store.

    An empty list takes 30 times the memory of its three bytes.

    Raises:
        ValueError: It is no JSON, or has more lists and objects than an answer
            of this length has items.
        RecursionError: It is nested too deep.
    """
    if content.count(b"[") + content.count(b"{") > _MAX_CONTAINERS:
        raise ValueError("an answer has too many lists and objects")
    return json.loads(content)


def decode_base64(text: typing.Any) -> bytes:
    """Decodes base64; odd text as an empty value, which no decoder accepts.

    Example:
        >>> decode_base64("YQ=="), decode_base64("a"), decode_base64(5)
        (b'a', b'', b'')
    """
    try:
        return base64.b64decode(text)
    except (TypeError, ValueError):
        return b""


def parse_number(raw: dict[str, typing.Any], field: str, highest: int) -> int:
    """Returns a whole number that an answer of the store states in a field.

    Raises:
        errors.KeyValueOutcomeUnknownError: It is missing, of another type, or
            not from 0 to the highest number.
    """
    value = raw.get(field)
    if type(value) is not int or not 0 <= value <= highest:
        raise errors.KeyValueOutcomeUnknownError(
            f"expected a number up to {highest} as {field}, found "
            f"{type(value).__name__}"
        )
    return value


def _parse_int(digits: str) -> int:
    number = int(digits)
    if abs(number) >= _MAX_INT:
        raise ValueError("a whole number has over 64 bits")
    return number


def parse_each(
    entries: object,
    parse: Callable[[object], _Kind],
    skipped: collections.Counter[str],
) -> tuple[_Kind, ...]:
    """Parses the items of an answer, and leaves out those that are odd.

    Args:
        entries: The items.
        parse: Parses one; raises errors.TurmericcroftError if it is odd.
        skipped: Counts the odd ones by cause; the first of each is logged.

    Raises:
        errors.KeyValueOutcomeUnknownError: The items are no list.
    """
    if not isinstance(entries, (list, tuple)):
        raise errors.KeyValueOutcomeUnknownError(
            f"expected a list of items, found {type(entries).__name__}"
        )
    items = []
    for entry in entries:
        try:
            items.append(parse(entry))
        except errors.TurmericcroftError as error:
            cause = str(error)
            if not skipped[cause]:
                _LOG.warning("cannot read an item of the store", error=cause)
            skipped[cause] += 1
    return tuple(items)


@dataclasses.dataclass(frozen=True)
class QuarantineRecord:
    """A cause of crashes in the store.

    Attributes:
        wall_s: Time of day of the ages in the notes, in Unix seconds.
        notes: Evidence of the cause.
    """

    wall_s: float
    notes: tuple[poison.CrashNote, ...]


def decode_counts(record: bytes) -> dict[str, int] | None:
    """Decodes recorded usage; logs and returns None if it is invalid."""
    try:
        return CONVERTER.structure(load_json(record), dict[str, int])
    except errors.DECODING_FAULTS as error:
        _LOG.error("cannot decode recorded usage", error=str(error))
        return None


def encode_history(history: coverage.VersionHistory) -> bytes:
    """Encodes what a daemon has seen of software versions."""
    return json.dumps(CONVERTER.unstructure(history)).encode()


def decode_history(record: bytes) -> coverage.VersionHistory | None:
    """Decodes recorded versions; logs and returns None if invalid."""
    try:
        return CONVERTER.structure(load_json(record), coverage.VersionHistory)
    except errors.DECODING_FAULTS as error:
        _LOG.error("cannot decode recorded versions", error=str(error))
        return None


def decode_quarantine(
    value: bytes, wall_s: float
) -> tuple[poison.CrashNote, ...] | None:
    """Decodes the evidence of a cause; logs and returns None if invalid.

    Args:
        value: The record.
        wall_s: Time of day, to which the ages are brought.
    """
    try:
        record = CONVERTER.structure(load_json(value), QuarantineRecord)
    except errors.DECODING_FAULTS as error:
        _LOG.error("cannot decode a quarantine", error=str(error))
        return None
    stored_s = max(0.0, wall_s - record.wall_s)
    return tuple(
        dataclasses.replace(note, age_s=note.age_s + stored_s)
        for note in record.notes
    )
