"""Answers whose status HTTP does not have, at the project's own interface.

A server in trouble may send the status 000; the call may have run (rule MIXED).
"""

import asyncio
import json
import re

import pytest

from testing.daemon import test_endless_backends as endless_backends
from turmericcroft import errors
from turmericcroft.backends import engine
from turmericcroft.backends import service
from turmericcroft.clients import keyvalue
from turmericcroft_lab import caller

OUT_OF_RANGE = ["000", "001", "099", "600", "700", "999"]
MALFORMED = [
    *["", " ", "1", "20", "2000", "0200", "-20", "+20", "20x", "0x1", "20 0"],
    *["\u0662\u0660\u0660", "\u00b200"],
]
INVALID = [*OUT_OF_RANGE, *MALFORMED, "101"]
FRAMINGS = {
    "length": ("Content-Length: %d", b"%b"),
    "chunks": ("Transfer-Encoding: chunked", b"%x\r\n%b\r\n0\r\n\r\n"),
}
EVENT = b"id: 1\ndata: {}\n\n"
_LENGTH = re.compile(rb"content-length: (\d+)\r\n", re.IGNORECASE)


def encode(status, body, framing="length"):
    """Encodes an answer with a status line of any form."""
    line, pattern = FRAMINGS[framing]
    if framing == "length":
        line, data = line % len(body), body
    else:
        data = pattern % (len(body), body)
    head = f"HTTP/1.1 {status} Some Reason\r\n{line}\r\n\r\n"
    return head.encode() + data


async def serve(answer, port=0):
    """Starts a server that reads requests whole and sends fixed bytes.

    Returns:
        The server, its URL and the list of heads that it has received.
    """
    received = []

    async def handle(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        found = _LENGTH.search(head)
        if found:
            await reader.readexactly(int(found.group(1)))
        received.append(head)
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", port)
    host, port = server.sockets[0].getsockname()
    return server, f"http://{host}:{port}", received


async def call_service(url, method):
    client = service.ServiceClient()
    try:
        return await client.call(
            url, service.ServiceCall(method, "/x", {}, b"body")
        )
    finally:
        await client.close()


# Guards against an answer without a valid status that callers get.
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", INVALID)
async def test_an_answer_of_a_service_without_a_valid_status_is_lost(
    status, framing, method
):
    server, url, _ = await serve(encode(status, b"foreign", framing))
    with pytest.raises(errors.BackendLostError):
        await call_service(url, method)
    server.close()


@pytest.mark.parametrize("status", ["100", "102", "103", "199"])
async def test_an_interim_answer_of_a_service_is_no_final_one(status):
    interim = f"HTTP/1.1 {status} Some Reason\r\n\r\n".encode()
    server, url, _ = await serve(interim + encode("201", b"own"))
    answer = await call_service(url, "POST")
    assert (answer.status, answer.body) == (201, b"own")
    server.close()
    server, url, _ = await serve(interim)
    with pytest.raises(errors.BackendLostError):
        await call_service(url, "POST")
    server.close()


# The same through a daemon: it was recorded as the answer of its key.
@pytest.mark.parametrize("status", ["000", "099", "700", "20"])
async def test_an_answer_without_a_valid_status_is_not_recorded(
    small_world, status
):
    answer = encode(status, b'{"reference": "visit"}')
    received = []
    for running in small_world.world.servers.values():
        if not running.plan.is_model:
            await running.backend.stop()
            received.append((await serve(answer, running.plan.port))[2])
    path = "/v1/services/booking/bookings/visit-7"
    key = {"Idempotency-Key": caller.new_idempotency_key()}
    for index in (0, 1):
        reply = await small_world.post(index, path, {"crew": 1}, **key)
        assert reply.status == 409
        error = (await reply.json())["error"]
        assert (error["code"], error["ran"]) == ("outcome_unknown", "unknown")
    posts = [x for heads in received for x in heads if x.startswith(b"POST")]
    assert len(posts) == 1


# Guards against an engine's answer that counts as a refusal, which states that
# the request did not run.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", INVALID)
async def test_an_answer_of_an_engine_without_a_valid_status_is_lost(
    status, framing
):
    server, url, _ = await serve(encode(status, EVENT, framing))
    with pytest.raises(errors.BackendLostError):
        await endless_backends.call_engine(url)
    server.close()


async def read_stream(url):
    """Returns the body of an engine's whole answer."""
    stream = await engine.open_stream(url, endless_backends.REQUEST, None)
    parts = []
    stream.set_body_callback(parts.append)
    try:
        await stream.ended
    finally:
        stream.close()
    return b"".join(parts)


@pytest.mark.parametrize("status", ["100", "102", "103", "104", "199"])
async def test_an_interim_answer_of_an_engine_is_no_final_one(status):
    interim = f"HTTP/1.1 {status} Some Reason\r\n\r\n".encode()
    server, url, _ = await serve(interim * 2 + encode("200", EVENT))
    assert await read_stream(url) == EVENT
    server.close()
    server, url, _ = await serve(interim)
    with pytest.raises(errors.BackendLostError):
        await read_stream(url)
    server.close()


# Guards against bytes in front of the first event.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", ["100", "103", "104", "199"])
async def test_an_interim_answer_of_an_engine_has_no_body(status, framing):
    interim = encode(status, b"foreign", framing)
    server, url, _ = await serve(interim + encode("200", EVENT))
    with pytest.raises(errors.BackendLostError):
        await read_stream(url)
    server.close()


VMS = json.dumps({"vms": [endless_backends.VM]}).encode()


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", [*INVALID, "203", "404", "500"])
async def test_a_vm_list_without_the_status_200_is_no_list(status, framing):
    server, url, _ = await serve(encode(status, VMS, framing))
    with pytest.raises(errors.PlatformError):
        await endless_backends.list_vms(url)
    server.close()
    server, url, _ = await serve(encode("200", VMS, framing))
    assert len(await endless_backends.list_vms(url)) == 1
    server.close()


KEYS = {"kvs": [], "header": {"revision": "5"}}


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", INVALID)
async def test_a_reply_of_the_key_value_service_needs_a_valid_status(
    status, framing
):
    body = json.dumps(KEYS).encode()
    server, url, _ = await serve(encode(status, body, framing))
    with pytest.raises(errors.PlatformError):
        await endless_backends.list_keys(url)
    server.close()
    server, url, _ = await serve(encode("200", body, framing))
    assert await endless_backends.list_keys(url) is not None
    server.close()


EVENTS = {
    "result": {
        "header": {"revision": "7"},
        "events": [
            {"kv": {"key": "YQ==", "value": "Yg==", "mod_revision": "7"}}
        ],
    }
}


async def watch_keys(url):
    """Returns the first entry of a watch."""
    client = keyvalue.KeyValue(url, 2.0)
    try:
        async for entry in client.watch("a", 1):
            return entry
    finally:
        await client.close()


# Guards against changes that are taken from an error page.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", [*INVALID, "404", "500", "503"])
async def test_a_watch_of_keys_needs_the_status_200(status, framing):
    body = json.dumps(EVENTS).encode() + b"\n"
    server, url, _ = await serve(encode(status, body, framing))
    with pytest.raises(errors.PlatformError):
        await watch_keys(url)
    server.close()
    server, url, _ = await serve(encode("200", body, framing))
    assert await watch_keys(url) is not None
    server.close()
