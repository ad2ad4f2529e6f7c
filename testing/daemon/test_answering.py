"""Accepted requests are completed after the loss of a server or daemon."""

import asyncio
import json

import pytest

from turmericcroft import errors
from turmericcroft.backends import engine as backend_engine
from turmericcroft.daemon import timelines
from turmericcroft_lab import engine

PROMPT = "Survey of the roof at Lane 7"
TOKENS = 250


def completion(tokens=TOKENS, **changes):
    body = {
        "model": "survey",
        "prompt": PROMPT,
        "max_tokens": tokens,
        "seed": 5,
        "stream": True,
    }
    return body | changes


async def read_events(response, limit=None):
    """Reads events, up to a limit; returns their ids and the joined text."""
    ids, text = [], ""
    async for line in response.content:
        if line.startswith(b"id: "):
            ids.append(int(line[4:]))
        elif line.startswith(b"data: {"):
            assert b"choices" in line, line
            choice = json.loads(line[6:])["choices"][0]
            text += choice["text"]
            if limit is not None and len(ids) >= limit:
                break
    return ids, text


async def break_server(built, how):
    """Injects a fault at the server that streams; returns its name."""
    name = next(
        answer.server
        for daemon in built.daemons
        for answer in daemon.answering.open_answers
    )
    backend = built.engine(name)
    match how:
        case "crash":
            await built.world.crash_server(name)
        case "reclaim":
            await built.world.reclaim_servers([name], 0.2, replace=False)
        case "corrupted":
            backend.skip_next_position = True
        case "zone":
            zone = built.world.servers[name].plan.availability_zone
            await built.world.reclaim_zone(zone, 0.01, replace=False)
    return name


@pytest.mark.parametrize("how", ["crash", "corrupted", "zone"])
@pytest.mark.parametrize("at", [1, 20], ids=["early", "late"])
async def test_a_stream_resumes_at_another_server_without_gap_or_repeat(
    small_world, how, at
):
    async with small_world.post(0, "/v1/completions", completion()) as reply:
        assert reply.status == 200
        first_ids, first_text = await read_events(reply, limit=at)
        await break_server(small_world, how)
        rest_ids, rest_text = await read_events(reply)
    assert first_ids + rest_ids == list(range(1, TOKENS + 2))
    assert first_text + rest_text == engine.expected_text(PROMPT, 5, TOKENS)
    states = small_world.states(reply.headers["X-Request-Id"])
    assert states[:2] == ["accepted", "streaming"]
    assert "resuming" in states
    assert states[-1] == "answered"


# Guards against a stream whose last event claims that the request did not run,
# because the next server refused to go on with it.
async def test_a_stream_that_the_next_server_refuses_is_reported_as_lost(
    small_world, monkeypatch
):
    async with small_world.post(0, "/v1/completions", completion()) as reply:
        await read_events(reply, limit=5)

        async def refuse(url, request, resume):
            raise errors.BackendRefusedError("expected 200, found 400", 400)

        monkeypatch.setattr(backend_engine, "open_stream", refuse)
        await break_server(small_world, "crash")
        rest = await reply.content.read()
    refusal = json.loads(rest.split(b"data: {", 1)[1].join([b"{", b""]))
    assert refusal["error"]["code"] == "answer_lost", refusal
    states = small_world.states(reply.headers["X-Request-Id"])
    assert states[-1] == "lost"


# An answer that another daemon began may have run without any event of it here.
async def test_a_refused_answer_of_another_daemon_is_reported_as_lost(
    small_world, monkeypatch
):
    async with small_world.post(0, "/v1/completions", completion()) as reply:
        await read_events(reply, limit=1)
        (answer,) = small_world.daemons[0].answering.open_answers

        async def refuse(url, request, resume):
            raise errors.BackendRefusedError("expected 200, found 400", 400)

        monkeypatch.setattr(backend_engine, "open_stream", refuse)
        taken = small_world.daemons[1].registry.take_over(answer.request, b"")
        await taken.ended.wait()
    assert taken.refusal.code == "answer_lost"


async def test_a_stream_survives_the_loss_of_two_servers(
    small_world,
):
    async with small_world.post(0, "/v1/completions", completion()) as reply:
        ids, text = await read_events(reply, limit=5)
        await break_server(small_world, "crash")
        more_ids, more_text = await read_events(reply, limit=5)
        await break_server(small_world, "reclaim")
        rest_ids, rest_text = await read_events(reply)
    assert ids + more_ids + rest_ids == list(range(1, TOKENS + 2))
    assert text + more_text + rest_text == engine.expected_text(
        PROMPT, 5, TOKENS
    )


async def test_a_response_without_streaming_survives_a_crash(small_world):
    body = completion(stream=False)
    pending = asyncio.create_task(small_world.post(0, "/v1/completions", body))
    await asyncio.sleep(0.03)
    await break_server(small_world, "crash")
    reply = await pending
    answer = await reply.json()
    expected = engine.expected_text(PROMPT, 5, TOKENS)
    assert answer["choices"][0]["text"] == expected


async def test_a_reconnected_caller_gets_the_missing_events_from_any_daemon(
    small_world,
):
    async with small_world.post(0, "/v1/completions", completion()) as reply:
        ids, text = await read_events(reply, limit=10)
        request_id = reply.headers["X-Request-Id"]
        reply.close()
    async with small_world.get(
        1, f"/v1/answers/{request_id}", **{"Last-Event-ID": str(ids[-1])}
    ) as reply:
        rest_ids, rest_text = await read_events(reply)
    assert ids + rest_ids == list(range(1, TOKENS + 2))
    assert text + rest_text == engine.expected_text(PROMPT, 5, TOKENS)


async def test_an_answer_of_another_account_is_reported_as_not_found(
    small_world,
):
    async with small_world.post(0, "/v1/completions", completion()) as reply:
        request_id = reply.headers["X-Request-Id"]
        path = f"/v1/answers/{request_id}"
        for index in (0, 1):
            async with small_world.get(index, path, account="east") as other:
                assert other.status == 404
                hidden = (await other.json())["error"]
            async with small_world.get(
                index, "/v1/answers/no-such-id", account="east"
            ) as other:
                absent = (await other.json())["error"]
            assert hidden["code"] == absent["code"] == "answer_not_found"
        await read_events(reply)


@pytest.mark.parametrize("way", ["planned stop", "crash"])
async def test_an_answer_survives_the_end_of_its_daemon(small_world, way):
    reply = await small_world.post(0, "/v1/completions", completion(200))
    ids, text = await read_events(reply, limit=10)
    request_id = reply.headers["X-Request-Id"]
    lost = small_world.daemons[0]
    if way == "planned stop":
        stopping = asyncio.create_task(lost.stop())
        try:
            more_ids, more_text = await read_events(reply)
        except Exception:  # the daemon may close the connection mid-stream
            more_ids, more_text = [], ""
        await stopping
        ids, text = ids + more_ids, text + more_text
    else:
        lost.board.stopping = True
        await lost.abort()
    reply.close()
    # An interrupted read does not return the events that it received, so the
    # test requests the answer from the start.
    async with small_world.get(1, f"/v1/answers/{request_id}") as rest:
        assert rest.status == 200
        rest_ids, rest_text = await read_events(rest)
    assert rest_ids == list(range(1, 202))
    assert rest_text == engine.expected_text(PROMPT, 5, 200)
    assert rest_text.startswith(text)


async def test_the_engine_stops_when_the_caller_disconnects(small_world):
    reply = await small_world.post(0, "/v1/completions", completion(2_000))
    await read_events(reply, limit=3)
    request_id = reply.headers["X-Request-Id"]
    reply.close()

    async with asyncio.timeout(10):
        while small_world.states(request_id)[-1] != "cancelled":
            await asyncio.sleep(0.02)
    async with asyncio.timeout(10):
        while sum(e.backend.slots.running for e in engines(small_world)):
            await asyncio.sleep(0.02)


def crashes(built):
    return sum(running.backend.crashes for running in engines(built))


async def test_a_poison_request_crashes_at_most_two_servers(small_world):
    poison = completion(prompt=f"roof {engine.CRASH_MARKER}", stream=False)
    bystanders = [
        asyncio.create_task(
            read_text(small_world, completion(100, stream=False, seed=seed))
        )
        for seed in range(8)
    ]
    await asyncio.sleep(0.03)
    for attempt in range(6):
        reply = await small_world.post(attempt % 2, "/v1/completions", poison)
        error = (await reply.json())["error"]
        assert error["code"] == "quarantined"
        assert error["ran"] == ("unknown" if attempt == 0 else "no")
    assert crashes(small_world) <= 2
    for seed, answer in enumerate(await asyncio.gather(*bystanders)):
        assert answer == engine.expected_text(PROMPT, seed, 100)


async def test_an_operator_releases_a_quarantined_request(small_world):
    poison = completion(prompt=f"roof {engine.CRASH_MARKER}", stream=False)
    await small_world.post(0, "/v1/completions", poison)
    first, second = small_world.daemons
    (record,) = [
        r for r in first.board.suspects.records.values() if r.quarantined
    ]
    assert record.fingerprint in second.board.suspects.records
    timeline = timelines.Timelines(
        first.board, first.members, first.peers, first.timeline
    )
    assert await timeline.release(record.fingerprint) == 1
    assert not first.board.suspects.records
    assert not second.board.suspects.records


async def read_text(built, body):
    reply = await built.post(0, "/v1/completions", body)
    return (await reply.json())["choices"][0]["text"]


def engines(built):
    return [
        running
        for running in built.world.servers.values()
        if running.plan.is_model
    ]
