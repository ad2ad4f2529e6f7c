"""Compares requests, answers and the time line with recorded snapshots.

Ids, times and addresses are normalised; everything else must match. After an
intended change, run ``make test ARGS="testing/daemon/test_golden.py
--snapshot-update"`` and review the difference.
"""

import json
import re

import pytest
from syrupy.extensions import json as syrupy_json

from turmericcroft_lab import caller

_REPLACEMENTS = [
    (re.compile(r"[0-9a-f]{32}"), "<id>"),
    (re.compile(r'"created": ?\d+'), '"created":0'),
    (re.compile(r"127\.0\.0\.1:\d+"), "<address>"),
]


def normalise(text):
    for pattern, replacement in _REPLACEMENTS:
        text = pattern.sub(replacement, text)
    return text


class Session:
    """Sends requests and records each request with its answer."""

    def __init__(self, built):
        self.built = built
        self.steps = []

    async def post(self, index, path, body, **headers):
        reply = await self.built.post(index, path, body, **headers)
        return await self._record("POST", path, body, reply)

    async def get(self, index, path, **headers):
        reply = await self.built.get(index, path, **headers)
        return await self._record("GET", path, None, reply)

    async def _record(self, method, path, body, reply):
        text = normalise(await reply.text())
        self.steps.append(
            {
                "request": normalise(f"{method} {path}"),
                "body": body,
                "status": reply.status,
                "type": reply.headers["Content-Type"],
                "retry_after": reply.headers.get("Retry-After"),
                "answer": text.splitlines(),
            }
        )
        return reply

    def timeline(self):
        """Returns request events without the fields that depend on timing."""
        excluded = {"request_id", "position", "reason", "shard"}
        events = [
            stamped
            for daemon in self.built.daemons
            for stamped in daemon.timeline._events
            if hasattr(stamped.event, "request_id")
        ]
        events.sort(key=lambda stamped: (stamped.stamp, stamped.daemon))
        return [
            {
                "daemon": stamped.daemon,
                "event": type(stamped.event).__name__,
                **{
                    key: value
                    for key, value in vars(stamped.event).items()
                    if key not in excluded
                },
            }
            for stamped in events
        ]

    def golden(self):
        text = json.dumps({"steps": self.steps, "timeline": self.timeline()})
        return json.loads(normalise(text))


@pytest.fixture
def session(small_world):
    return Session(small_world)


@pytest.fixture
def golden(snapshot):
    return snapshot.use_extension(syrupy_json.JSONSnapshotExtension)


def completion(**changes):
    body = {"model": "survey", "prompt": "Roof?", "max_tokens": 3, "seed": 5}
    return body | changes


async def test_streaming_and_complete_responses(session, golden):
    await session.get(0, "/v1/models")
    await session.post(0, "/v1/completions", completion(stream=True))
    await session.post(0, "/v1/completions", completion())
    chat = {
        "model": "survey",
        "messages": [{"role": "user", "content": "Roof?"}],
        "max_tokens": 2,
        "seed": 5,
    }
    await session.post(0, "/v1/chat/completions", chat)
    assert session.golden() == golden


async def test_an_answer_requested_again(session, golden):
    reply = await session.post(
        0, "/v1/completions", completion(), **{"X-Request-Id": "report-7"}
    )
    assert reply.status == 200
    await session.get(0, "/v1/answers/report-7")
    await session.get(1, "/v1/answers/report-7")
    await session.post(
        0, "/v1/completions", completion(), **{"X-Request-Id": "report-7"}
    )
    assert session.golden() == golden


async def test_refusals(session, golden):
    await session.post(0, "/v1/completions", completion(model="secret"))
    await session.post(0, "/v1/completions", completion(prompt=""))
    await session.post(0, "/v1/completions", completion(max_tokens=10**6))
    await session.get(0, "/v1/answers/never-asked")
    await session.get(0, "/v1/answers/bad*id")
    await session.get(0, "/v1/answers/never-asked", **{"Last-Event-ID": "x"})
    await session.get(0, "/nothing")
    assert session.golden() == golden


async def test_a_booking_and_its_retry(session, golden):
    key = caller.new_idempotency_key()
    path = "/v1/services/booking/bookings/visit-7"
    headers = {"Idempotency-Key": key}
    await session.post(0, path, {"crew": 1}, **headers)
    await session.post(0, path, {"crew": 1}, **headers)
    await session.post(0, path, {"crew": 2}, **headers)
    await session.post(0, path, {"crew": 1}, **{"Idempotency-Key": "7"})
    assert session.golden() == golden
