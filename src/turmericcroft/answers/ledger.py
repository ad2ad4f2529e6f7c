"""The at-most-once ledger: records, and the index of one shard's log.

A shard is an append-only log of batches in the key-value service. A call is
sent only after the batch with its claim was created under the next free
sequence; creating a batch that exists fails, which fences out every daemon
whose index is not up to date. See docs/design/at-most-once.md.
"""

import dataclasses
import enum
import hashlib
import typing
import uuid

import cbor2
from cattrs.preconf import cbor2 as cattrs_cbor2

from turmericcroft import errors

SHARDS = 64
MAX_STORED_BODY_BYTES = 32_768
_UUID_TIME_SHIFT = 80
_UUID_TIME_VERSION = 7
_MAX_FUTURE_MS = 300_000


class Outcome(enum.Enum):
    """How a claimed call ended."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Verdict(enum.Enum):
    """What a claim is answered with.

    Attributes:
        GRANTED: The claim is recorded; the claimant may send the call once.
        COMPLETED: The call ran; its answer is given again.
        STARTED: Another claimant may have sent it and has not ended.
        UNKNOWN: It may have run; it is not sent again.
        MISMATCH: The key was used for another call.
        UNAVAILABLE: The claim could not be recorded; nothing may be sent.
    """

    GRANTED = "granted"
    COMPLETED = "completed"
    STARTED = "started"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True)
class ClaimRecord:
    """A call is about to be sent.

    Attributes:
        key: Hash of account, service and idempotency key.
        body_hash: Hash of method, path and body.
        claimant: Daemon that will send it.
        claim_id: Unique id of this try.
        expires_at_ms: When the key is forgotten, UNIX time in ms.
    """

    key: str
    body_hash: str
    claimant: str
    claim_id: str
    expires_at_ms: int


@dataclasses.dataclass(frozen=True)
class EndRecord:
    """A claimed call ended, or its claim was given up before it was sent."""

    key: str
    claim_id: str
    outcome: Outcome
    status: int
    content_type: str
    body: bytes
    expires_at_ms: int


Record = ClaimRecord | EndRecord


@dataclasses.dataclass(frozen=True)
class Batch:
    """Records that were appended together.

    Attributes:
        batch_id: Unique id, by which the writer knows its own batch again
            after a lost answer.
        claims: Claims.
        ends: Ends.
    """

    batch_id: str
    claims: tuple[ClaimRecord, ...]
    ends: tuple[EndRecord, ...]


@dataclasses.dataclass(frozen=True)
class Decision:
    """What an index says of a claim.

    Attributes:
        verdict: The verdict; ``None`` if the claim has to be appended.
        end: The end of a completed call.
        claimant: The daemon that started the call.
    """

    verdict: Verdict | None
    end: EndRecord | None = None
    claimant: str = ""


@dataclasses.dataclass
class _Call:
    claim: ClaimRecord
    end: EndRecord | None = None


_CONVERTER = cattrs_cbor2.make_converter()


class ShardIndex:
    """What the log of one shard says, up to a sequence.

    Attributes:
        next_sequence: Sequence of the next batch.
        expiries_ms: When each batch in the log may be removed.
    """

    def __init__(self) -> None:
        self.next_sequence = 0
        self.expiries_ms: dict[int, int] = {}
        self._calls: dict[str, _Call] = {}
        self._given_up: dict[str, int] = {}

    def apply(self, sequence: int, batch: Batch) -> None:
        """Takes in a batch of the log, in order of sequence."""
        for claim in batch.claims:
            self._calls[claim.key] = _Call(claim)
        for end in batch.ends:
            call = self._calls.get(end.key)
            if call is not None and call.claim.claim_id == end.claim_id:
                call.end = end
            if end.outcome is Outcome.NOT_RUN:
                self._given_up[end.claim_id] = end.expires_at_ms
        records: list[Record] = [*batch.claims, *batch.ends]
        self.expiries_ms[sequence] = max(
            (record.expires_at_ms for record in records), default=0
        )
        self.next_sequence = sequence + 1

    def decide(self, claim: ClaimRecord) -> Decision:
        """Says what a claim is answered with, and whether to append it."""
        if claim.claim_id in self._given_up:
            return Decision(Verdict.UNAVAILABLE)
        call = self._calls.get(claim.key)
        if call is None:
            return Decision(None)
        if call.claim.body_hash != claim.body_hash:
            return Decision(Verdict.MISMATCH)
        if call.end is None:
            if call.claim.claim_id == claim.claim_id:
                return Decision(Verdict.GRANTED)
            return Decision(Verdict.STARTED, claimant=call.claim.claimant)
        match call.end.outcome:
            case Outcome.NOT_RUN:
                return Decision(None)
            case Outcome.RAN:
                return Decision(Verdict.COMPLETED, call.end)
            case Outcome.UNKNOWN:
                return Decision(Verdict.UNKNOWN)

    def remove_expired(self, now_ms: int) -> None:
        """Drops calls whose keys are refused by their age anyway."""
        self._calls = {
            key: call
            for key, call in self._calls.items()
            if call.claim.expires_at_ms > now_ms
        }
        self._given_up = {
            claim_id: expires_at_ms
            for claim_id, expires_at_ms in self._given_up.items()
            if expires_at_ms > now_ms
        }

    def removable_sequences(self, now_ms: int) -> tuple[int, ...]:
        """Sequences at the start of the log that hold nothing remembered.

        The newest batch always stays: a log must never seem empty, or its
        sequences would be given out again.
        """
        found = []
        for sequence in sorted(self.expiries_ms)[:-1]:
            if self.expiries_ms[sequence] > now_ms:
                break
            found.append(sequence)
        return tuple(found)

    def __len__(self) -> int:
        return len(self._calls)


def encode(batch: Batch) -> bytes:
    """Encodes a batch as CBOR."""
    data: bytes = cbor2.dumps(_CONVERTER.unstructure(batch))
    return data


def decode(data: bytes) -> Batch:
    """Decodes a batch."""
    raw: typing.Any = cbor2.loads(data)
    return _CONVERTER.structure(raw, Batch)


def key_time_ms(text: str, now_ms: int) -> int:
    """Reads the time that a UUID version 7 carries.

    Keys carry their time, so that a key older than the ledger's memory is
    recognised and refused, instead of being forgotten and run again.

    Args:
        text: The caller's idempotency key.
        now_ms: UNIX time in ms.

    Raises:
        errors.InvalidRequestRefusal: It is no UUID version 7, or its time
            is far in the future.

    Example:
        >>> key_time_ms("01890a5d-ac96-774b-bcce-b302099a8057", 2**41)
        1688096058518
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != _UUID_TIME_VERSION:
        raise errors.InvalidRequestRefusal(
            "Idempotency-Key: expected a UUID version 7, which carries its "
            f"time, found {text[:64]!r}"
        )
    time_ms = parsed.int >> _UUID_TIME_SHIFT
    if time_ms > now_ms + _MAX_FUTURE_MS:
        raise errors.InvalidRequestRefusal(
            "Idempotency-Key: expected a time that is not in the future, "
            f"found one {(time_ms - now_ms) // 1000} s ahead"
        )
    return time_ms


def hash_texts(*parts: str | bytes) -> str:
    """Hashes parts so that no two different lists collide by joining."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()


def shard_of(key: str) -> int:
    """Finds the shard of a hashed key."""
    return int(key[:8], 16) % SHARDS
