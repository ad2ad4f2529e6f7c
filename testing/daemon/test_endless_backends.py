"""Servers, services and lists that send without end, or odd entries."""

import asyncio
import base64
import contextlib
import json
import tracemalloc

import pytest

from turmericcroft import errors
from turmericcroft.answers import events
from turmericcroft.answers import request as requests
from turmericcroft.backends import engine
from turmericcroft.backends import service
from turmericcroft.clients import keyvalue
from turmericcroft.clients import vmlist

# As for the gateway, testing/gateway/test_endless.py.
MAX_GROWTH_BYTES = 24_000_000
MAX_SENT_BYTES = 64_000_000
TIMEOUT_S = 2.0

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"x" * 4_096),
    "one header": (HEAD + b"X-Long: ", b"x" * 4_096),
    "headers": (HEAD, b"X-More: yes\r\n" * 256),
    "chunk extension": (CHUNKED + b"5;", b"x" * 4_096),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: yes\r\n" * 256),
    "body": (HEAD + b"\r\n", b"x" * 65_536),
    "gigabytes": (HEAD + b"Content-Length: 8000000000\r\n\r\n", b"x" * 65_536),
}


async def call_service(url):
    client = service.ServiceClient()
    try:
        await client.call(url, service.ServiceCall("GET", "/", {}, b""))
    finally:
        await client.close()


REQUEST = requests.ModelRequest(
    request_id="r1",
    account="north",
    public_name="m",
    chat=False,
    stream=True,
    body=b"{}",
    affinity_key=1,
    fingerprint="f",
    priority=1,
    first_token_s=1.0,
    between_tokens_s=1.0,
    prompt_tokens=1,
)


async def call_engine(url):
    stream = await engine.open_stream(url, REQUEST, None)
    buffer = events.EventBuffer()

    def feed(data):
        # As daemon/answering.py: an event without end is a corrupted stream.
        with contextlib.suppress(errors.StreamCorruptedError):
            buffer.feed(data)
            return
        stream.close()

    stream.set_body_callback(feed)
    await stream.ended


async def list_keys(url):
    client = keyvalue.KeyValue(url, 20.0)
    try:
        return await client.list_prefix("a")
    finally:
        await client.close()


async def list_vms(url):
    client = vmlist.VmList(url, 20.0)
    try:
        return await client.fetch()
    finally:
        await client.close()


CALLS = {
    "service": call_service,
    "engine": call_engine,
    "keys": list_keys,
    "vms": list_vms,
}
EXPECTED = (errors.BackendError, errors.PlatformError)


async def serve_bytes(start, piece):
    """Serves a start, then a piece until the caller closes."""
    sent = [0]

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            while piece:
                writer.write(piece)
                sent[0] += len(piece)
                await writer.drain()
                await asyncio.sleep(0)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"http://127.0.0.1:{port}", sent


# Guards against a daemon that keeps what a server sends until it closes.
@pytest.mark.parametrize("case", ENDLESS)
@pytest.mark.parametrize("kind", CALLS)
async def test_bytes_without_end_fail_the_call_with_memory_flat(kind, case):
    server, url, sent = await serve_bytes(*ENDLESS[case])
    # aiohttp drops the bytes of an extension, and the call's time ends them.
    is_timed_out = case == "chunk extension" and kind != "engine"
    tracemalloc.start()
    try:
        with pytest.raises(TimeoutError if is_timed_out else EXPECTED):
            async with asyncio.timeout(TIMEOUT_S):
                await CALLS[kind](url)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        server.close()
    await asyncio.sleep(0.05)
    assert peak_bytes < MAX_GROWTH_BYTES
    assert is_timed_out or sent[0] < MAX_SENT_BYTES


def test_an_answer_without_end_is_a_corrupted_stream():
    buffer = events.EventBuffer()

    def feed_endlessly():
        for number in range(1, 40):
            data = b"x" * 1_000_000
            buffer.feed(b"id: %d\ndata: %b\n\n" % (number, data))

    with pytest.raises(errors.StreamCorruptedError):
        feed_endlessly()
    assert len(buffer.data) < MAX_GROWTH_BYTES


VM = {
    "name": "i-1",
    "role": "model",
    "availability_zone": "a",
    "url": "http://127.0.0.1:80",
    "runs": ["m"],
    "state": "live",
    "price_per_h": 1.0,
    "slots": 4,
    "boot_id": "b",
}
DEEP = '{"a":' * 100_000


@pytest.mark.parametrize(
    "odd",
    [
        5,
        [],
        {},
        VM | {"state": "asleep"},
        VM | {"slots": 1e999},
        VM | {"slots": 0},
        VM | {"slots": 10**300},
        VM | {"price_per_h": float("nan")},
        VM | {"url": "http://127.0.0.1:70000"},
        VM | {"url": "http://127.0.0.1:\u00b2"},
        VM | {"url": "http://a..b:80"},
        VM | {"url": "5"},
        VM | {"name": "\ud800"},
    ],
    ids=[
        "number",
        "list",
        "empty",
        "state",
        "infinite",
        "no slots",
        "slots",
        "price",
        "port",
        "digit",
        "host",
        "url",
        "text",
    ],
)
async def test_an_odd_vm_takes_no_other_with_it(odd):
    # The whole list was refused, so that no change of any server was followed.
    body = json.dumps({"vms": [odd, VM | {"name": "i-2"}]}).encode()
    head = HEAD + b"Content-Type: application/json\r\n"
    answer = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    server, url, _ = await serve_bytes(answer, b"")
    assert [vm.name for vm in await list_vms(url)] == ["i-2"]
    server.close()
    await asyncio.sleep(0.05)


ODD_BODIES = {
    "depth": DEEP,
    "list": "[]",
    "text": '{"vms": "x", "kvs": "x"}',
    "number": '{"vms": 5, "kvs": 5}',
    "no base64": '{"vms": 5, "kvs": [{"key": "\u00e9"}]}',
    "no key": '{"vms": 5, "kvs": [{}]}',
    "no UTF-8": '{"vms": 5, "kvs": [{"key": "/w=="}]}',
    "revision": '{"vms": 5, "kvs": [{"key": "YQ==", "mod_revision": "x"}]}',
}


@pytest.mark.parametrize("kind", ["keys", "vms"])
@pytest.mark.parametrize("case", ODD_BODIES)
async def test_a_body_of_another_form_is_a_failed_call(kind, case):
    # Tasks that follow the configuration or the list ended with the error.
    body = ODD_BODIES[case].encode()
    head = HEAD + b"Content-Type: application/json\r\n"
    answer = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    server, url, _ = await serve_bytes(answer, b"")
    with pytest.raises(errors.PlatformError):
        await CALLS[kind](url)
    server.close()
    await asyncio.sleep(0.05)


async def test_an_odd_line_of_a_watch_is_a_failed_watch():
    key = base64.b64encode(b"a").decode()
    for line in (DEEP, "[]", '{"result": 5}', '{"result": {"events": [5]}}'):
        body = line.encode() + b"\n"
        answer = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
        server, url, _ = await serve_bytes(answer, b"")
        client = keyvalue.KeyValue(url, 1.0)
        with pytest.raises(errors.PlatformError):
            async for _entry in client.watch(key, 1):
                pass
        await client.close()
        server.close()
        await asyncio.sleep(0.05)
