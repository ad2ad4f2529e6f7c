"""Decoding of the records that daemons keep in the store for each other.

Any writer may have written them: one that can't be decoded is logged and left
out.
"""

import dataclasses
import json

import cattrs
import logbook

from turmericcroft import errors
from turmericcroft.routing import poison

_LOG = logbook.Logger("following")
# Stops at the first fault: a value of 1 MB may have so many that it takes
# minutes to collect them.
CONVERTER = cattrs.Converter(detailed_validation=False)


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
        return CONVERTER.structure(json.loads(record), dict[str, int])
    except errors.DECODING_FAULTS as error:
        _LOG.error("cannot decode recorded usage", error=str(error))
        return None


def decode_versions(record: bytes) -> list[tuple[str, str]] | None:
    """Decodes recorded versions; logs and returns None if invalid."""
    try:
        return CONVERTER.structure(json.loads(record), list[tuple[str, str]])
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
        record = CONVERTER.structure(json.loads(value), QuarantineRecord)
    except errors.DECODING_FAULTS as error:
        _LOG.error("cannot decode a quarantine", error=str(error))
        return None
    stored_s = max(0.0, wall_s - record.wall_s)
    return tuple(
        dataclasses.replace(note, age_s=note.age_s + stored_s)
        for note in record.notes
    )
