"""Records of the at-most-once ledger, and the index of one shard's log.

A shard is an append-only log of batches in the key-value service. A call is
sent only after the batch with its claim was created under the next free
sequence number. Creating a batch under a number that is in use fails, which
keeps out every daemon whose index is outdated. See
docs/design/at-most-once.md.
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
    """Reply to a claim.

    Attributes:
        GRANTED: The claim is recorded; the claimant may send the call once.
        COMPLETED: The call ran; its stored answer is returned.
        STARTED: Another claimant may have sent the call; no end is recorded.
        UNKNOWN: The call may have run and must not be sent again.
        MISMATCH: The key was used for a different call.
        UNAVAILABLE: The claim could not be recorded; the call must not be
            sent.
    """

    GRANTED = "granted"
    COMPLETED = "completed"
    STARTED = "started"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True)
class ClaimRecord:
    """A daemon's claim to send a call.

    Attributes:
        key: Hash of account, service and idempotency key.
        body_hash: Hash of method, path and body.
        claimant: Daemon that will send the call.
        claim_id: Unique id of this claim.
        expires_at_ms: When the record may be removed, UNIX time in ms.
    """

    key: str
    body_hash: str
    claimant: str
    claim_id: str
    expires_at_ms: int


@dataclasses.dataclass(frozen=True)
class EndRecord:
    """The end of a claimed call, or of a claim whose call was not sent."""

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
    """Records that are appended together.

    Attributes:
        batch_id: Unique id; lets the writer recognise its own batch when
            the reply to the append was lost.
        claims: Claims.
        ends: Ends.
    """

    batch_id: str
    claims: tuple[ClaimRecord, ...]
    ends: tuple[EndRecord, ...]


@dataclasses.dataclass(frozen=True)
class Decision:
    """Result of looking up a claim in an index.

    Attributes:
        verdict: Reply to the claim; ``None`` if it must be appended first.
        end: End of the call, if it is completed.
        claimant: Daemon that started the call, if it has not ended.
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
    """Index of the calls in one shard's log, up to a sequence number.

    Attributes:
        next_sequence: Sequence number of the next batch.
        expiries_ms: When each batch of the log may be removed, UNIX time in
            ms by sequence number.
    """

    def __init__(self) -> None:
        self.next_sequence = 0
        self.expiries_ms: dict[int, int] = {}
        self._calls: dict[str, _Call] = {}
        self._abandoned: dict[str, int] = {}

    def apply(self, sequence: int, batch: Batch) -> None:
        """Applies a batch of the log; batches must come in log order."""
        for claim in batch.claims:
            self._calls[claim.key] = _Call(claim)
        for end in batch.ends:
            call = self._calls.get(end.key)
            if call is not None and call.claim.claim_id == end.claim_id:
                call.end = end
            if end.outcome is Outcome.NOT_RUN:
                self._abandoned[end.claim_id] = end.expires_at_ms
        records: list[Record] = [*batch.claims, *batch.ends]
        self.expiries_ms[sequence] = max(
            (record.expires_at_ms for record in records), default=0
        )
        self.next_sequence = sequence + 1

    def decide(self, claim: ClaimRecord) -> Decision:
        """Decides the reply to a claim, or that it must be appended."""
        # A claim may arrive after the end record that abandons it.
        if claim.claim_id in self._abandoned:
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
        """Removes expired calls; their keys are refused by age."""
        self._calls = {
            key: call
            for key, call in self._calls.items()
            if call.claim.expires_at_ms > now_ms
        }
        self._abandoned = {
            claim_id: expires_at_ms
            for claim_id, expires_at_ms in self._abandoned.items()
            if expires_at_ms > now_ms
        }

    def removable_sequences(self, now_ms: int) -> tuple[int, ...]:
        """Returns the sequence numbers of expired batches at the log's start.

        The newest batch is never among them: if the log became empty, its
        sequence numbers would be used again.
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
    """Returns the time stamp of a UUID version 7.

    Keys must have a time stamp so that a key whose record has expired can
    be refused. Without it, the call would be taken for a new one and run
    again.

    Args:
        text: The caller's idempotency key.
        now_ms: UNIX time in ms.

    Raises:
        errors.InvalidRequestRefusal: The key is not a UUID version 7, or its
            time is more than 5 minutes in the future.

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
    """Hashes a list of texts; each is prefixed with its length.

    The length keeps lists apart whose joined texts are equal.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()


def shard_of(key: str) -> int:
    """Returns the shard number of a hashed key."""
    return int(key[:8], 16) % SHARDS
