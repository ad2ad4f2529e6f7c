"""Encoding of the daemons' entries in the store."""

import dataclasses
import json

import logbook

from turmericcroft import errors
from turmericcroft.fleet import stored_records
from turmericcroft.gateway import messages

_LOG = logbook.Logger("beliefs")


def encode_member(member: messages.Member) -> bytes:
    """Encodes a daemon's description for its entry in the store."""
    return json.dumps(dataclasses.asdict(member)).encode()


def decode_member(value: bytes) -> messages.Member | None:
    """Decodes a daemon's entry; logs and returns None if it is invalid."""
    try:
        return stored_records.CONVERTER.structure(
            stored_records.load_json(value), messages.Member
        )
    except errors.DECODING_FAULTS as error:
        _LOG.warning("cannot decode member entry", error=str(error))
        return None
