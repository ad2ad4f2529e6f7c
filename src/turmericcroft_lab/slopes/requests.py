"""Slopes of what a request costs besides its tokens, without sockets."""

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
        series.measure("claims", "us", "claims a write", CLAIMS, _claims_us),
        series.measure(
            "claim batch", "bytes", "claims a write", CLAIMS, _claims_bytes
        ),
        series.measure(
            "remembered calls", "bytes", "calls", CLAIMS, _calls_bytes
        ),
        series.measure("hand-over", "us", "tokens", TOKENS, _hand_over_us),
        series.measure(
            "hand-over message", "bytes", "tokens", TOKENS, _hand_over_bytes
        ),
        series.measure(
            "buddy", "us", "prompt characters", PROMPT_CHARS, _buddy_us
        ),
        series.measure(
            "time line",
            "us",
            "events held",
            (100, 1_000, 10_000, 20_000),
            _event_us,
        ),
    ]


def _claims(count: int, first: int = 0) -> tuple[ledger.ClaimRecord, ...]:
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


def _ends(
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


def _claims_us(size: float) -> float:
    """A batch of claims and one of their ends: judged, encoded, applied."""
    count = int(size)
    firsts = itertools.count(0, count)

    def settle() -> None:
        index = ledger.ShardIndex()
        claims = _claims(count, next(firsts))
        for claim in claims:
            index.decide(claim)
        for number, batch in enumerate(
            (
                ledger.Batch("b", claims, ()),
                ledger.Batch("e", (), _ends(claims)),
            )
        ):
            ledger.encode(batch)
            index.apply(number, batch)

    return series.cpu_us(settle, max(3, 300 // count))


def _claims_bytes(size: float) -> float:
    """Bytes written for claims and their ends."""
    claims = _claims(int(size))
    return float(
        len(ledger.encode(ledger.Batch("b" * 32, claims, ())))
        + len(ledger.encode(ledger.Batch("e" * 32, (), _ends(claims))))
    )


def _calls_bytes(size: float) -> float:
    claims = _claims(int(size))
    encoded = (
        ledger.encode(ledger.Batch("b", claims, ())),
        ledger.encode(ledger.Batch("e", (), _ends(claims))),
    )

    def build() -> ledger.ShardIndex:
        index = ledger.ShardIndex()
        for number, data in enumerate(encoded):
            index.apply(number, ledger.decode(data))
        return index

    return series.held_bytes(build)


def _request(prompt_chars: int) -> request.ModelRequest:
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


def _hand_over(tokens: int) -> bytes:
    event_bytes = b'id: 10\ndata: {"id":"cmpl-0","choices":[{"text":" a"}]}\n\n'
    message = messages.HandOver(_request(2_000), event_bytes * tokens, False)
    return messages.CODEC.encode(codec.Envelope(1, message))


def _hand_over_us(size: float) -> float:
    tokens = int(size)
    return series.cpu_us(lambda: messages.CODEC.decode(_hand_over(tokens)), 300)


def _hand_over_bytes(size: float) -> float:
    return float(len(_hand_over(int(size))))


def _buddy_us(size: float) -> float:
    message = messages.KeepRequest(_request(int(size)), "entry-0001")

    def tell() -> None:
        messages.CODEC.decode(messages.CODEC.encode(codec.Envelope(1, message)))

    return series.cpu_us(tell, 1_000)


def _event_us(size: float) -> float:
    record = recorder.Recorder(
        "entry-0001", clock.HybridClock(lambda: 1), capacity=int(size)
    )
    happened = event.RequestChanged("r", "a", "streaming", "s", 1, "")
    return series.cpu_us(lambda: record.record(happened), 20_000)
