"""Measures costs of a request other than relaying its tokens, without sockets.

These are: claims in the ledger, the hand-over of a request to another daemon,
the copy kept by a backup daemon, and events of the time line.
"""

import itertools

from turmericcroft.answers import ledger
from turmericcroft.answers import request
from turmericcroft.mesh import codec
from turmericcroft.mesh import message as messages
from turmericcroft.timeline import clock
from turmericcroft.timeline import event
from turmericcroft.timeline import recorder
from turmericcroft_lab.slopes import series

CLAIMS = (1, 3, 10, 30, 100, 300, 1_000)
TOKENS = (10, 30, 100, 300, 1_000)
PROMPT_CHARS = (100, 300, 1_000, 3_000, 10_000, 30_000)


def measure_all() -> list[series.Series]:
    """Measures every series of this module."""
    return [
        series.measure(
            "claims", "us", "claims a write", CLAIMS, _claim_batch_us
        ),
        series.measure(
            "claim batch", "bytes", "claims a write", CLAIMS, _claim_batch_bytes
        ),
        series.measure(
            "remembered calls",
            "bytes",
            "calls",
            CLAIMS,
            _remembered_calls_bytes,
        ),
        series.measure("hand-over", "us", "tokens", TOKENS, _hand_over_us),
        series.measure(
            "hand-over message", "bytes", "tokens", TOKENS, _hand_over_bytes
        ),
        series.measure(
            "buddy", "us", "prompt characters", PROMPT_CHARS, _backup_message_us
        ),
        series.measure(
            "time line",
            "us",
            "events held",
            (100, 1_000, 10_000, 20_000),
            _timeline_event_us,
        ),
    ]


def _make_claims(count: int, first: int = 0) -> tuple[ledger.ClaimRecord, ...]:
    return tuple(
        ledger.ClaimRecord(
            ledger.hash_texts("north", str(index)),
            ledger.hash_texts("body"),
            "entry-0001",
            f"{index:032x}",
            2**41,
        )
        for index in range(first, first + count)
    )


def _make_ends(
    claims: tuple[ledger.ClaimRecord, ...],
) -> tuple[ledger.EndRecord, ...]:
    return tuple(
        ledger.EndRecord(
            claim.key,
            claim.claim_id,
            ledger.Outcome.RAN,
            201,
            "application/json",
            b'{"reference": "visit-7", "run": 1}',
            2**41,
        )
        for claim in claims
    )


def _claim_batch_us(size: float) -> float:
    """Measures a batch of claims and the batch of their ends.

    Claims are decided, and both batches are encoded and applied.
    """
    count = int(size)
    first_indices = itertools.count(0, count)

    def process_batches() -> None:
        index = ledger.ShardIndex()
        claims = _make_claims(count, next(first_indices))
        for claim in claims:
            index.decide(claim)
        for number, batch in enumerate(
            (
                ledger.Batch("b", claims, ()),
                ledger.Batch("e", (), _make_ends(claims)),
            )
        ):
            ledger.encode(batch)
            index.apply(number, batch)

    return series.cpu_us(process_batches, max(3, 300 // count))


def _claim_batch_bytes(size: float) -> float:
    """Returns the bytes written for claims and their ends."""
    claims = _make_claims(int(size))
    return float(
        len(ledger.encode(ledger.Batch("b" * 32, claims, ())))
        + len(ledger.encode(ledger.Batch("e" * 32, (), _make_ends(claims))))
    )


def _remembered_calls_bytes(size: float) -> float:
    claims = _make_claims(int(size))
    encoded = (
        ledger.encode(ledger.Batch("b", claims, ())),
        ledger.encode(ledger.Batch("e", (), _make_ends(claims))),
    )

    def build() -> ledger.ShardIndex:
        index = ledger.ShardIndex()
        for number, data in enumerate(encoded):
            index.apply(number, ledger.decode(data))
        return index

    return series.allocated_bytes(build)


def _make_request(prompt_chars: int) -> request.ModelRequest:
    return request.ModelRequest(
        "0" * 32,
        "north",
        "survey",
        False,
        True,
        b"x" * prompt_chars,
        7,
        "0" * 32,
        1,
        0.91,
        0.05,
        prompt_chars // 4,
    )


def _encode_hand_over(tokens: int) -> bytes:
    encoded_event = (
        b'id: 10\ndata: {"id":"cmpl-0","choices":[{"text":" a"}]}\n\n'
    )
    message = messages.HandOver(
        _make_request(2_000), encoded_event * tokens, False
    )
    return messages.CODEC.encode(codec.Envelope(1, message))


def _hand_over_us(size: float) -> float:
    tokens = int(size)
    return series.cpu_us(
        lambda: messages.CODEC.decode(_encode_hand_over(tokens)), 300
    )


def _hand_over_bytes(size: float) -> float:
    return float(len(_encode_hand_over(int(size))))


def _backup_message_us(size: float) -> float:
    message = messages.KeepRequest(_make_request(int(size)), "entry-0001")

    def round_trip() -> None:
        messages.CODEC.decode(messages.CODEC.encode(codec.Envelope(1, message)))

    return series.cpu_us(round_trip, 1_000)


def _timeline_event_us(size: float) -> float:
    timeline = recorder.Recorder(
        "entry-0001", clock.HybridClock(lambda: 1), capacity=int(size)
    )
    changed = event.RequestChanged("r", "a", "streaming", "s", 1, "")
    return series.cpu_us(lambda: timeline.record(changed), 20_000)
