"""Responses whose status HTTP does not have, and interim ones with a body.

On another system a server in trouble sent an answer with the status 000, and
the client got it as an answer (rule MIXED). Such a request may have run.
"""

import asyncio

import pytest

from testing.gateway import raw_servers
from testing.gateway import test_partitions_from_servers as partitions
from testing.gateway import test_server_connections as connections
from turmericcroft import errors
from turmericcroft.gateway import calls

# Three digits that are no status, and what is not three digits.
OUT_OF_RANGE = ["000", "001", "099", "600", "700", "999"]
MALFORMED = [
    *["", " ", "1", "20", "2000", "0200", "-20", "+20", "-200", "20x", "0x1"],
    *["1e2", "20 0", "200OK", "\u0662\u0660\u0660", "\u00b200"],
]
FOREIGN = b"foreign"
FRAMINGS = {
    "length": "Content-Length: 7",
    "chunks": "Transfer-Encoding: chunked",
    "none": "Connection: close",
}
PATHS = ["/book/1", "/read/1", "/stream/fixed/1", "/stream/again/1"]


def encode(status, framing, request_id="r1", media_type="text/plain"):
    """Encodes a response with a status and the body FOREIGN."""
    head = "\r\n".join(
        (
            f"HTTP/1.1 {status} Some Reason",
            f"X-Request-Id: {request_id}",
            "X-Server-Signature: sig",
            f"Content-Type: {media_type}",
            FRAMINGS[framing],
            "\r\n",
        )
    )
    is_chunked = framing == "chunks"
    body = b"7\r\nforeign\r\n0\r\n\r\n" if is_chunked else FOREIGN
    return head.encode() + body


def own():
    return connections.response(200, "r1", b"own")


def send(is_stream):
    """Sends a request; returns connection, response reader and client."""
    connection = connections.connect()
    client = connections.Client()
    reader = connections.send(connection, "r1", client if is_stream else None)
    return connection, reader, client


# Guards against such an answer that reaches the client, and against its body in
# front of that of the next answer.
@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("then", ["close", "response", "late response"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", OUT_OF_RANGE + MALFORMED)
async def test_a_response_without_a_valid_status_is_lost(
    status, framing, then, is_stream
):
    connection, reader, client = send(is_stream)
    data = encode(status, framing)
    connection.data_received(data + own() if then == "response" else data)
    if then == "late response":
        connection.data_received(own())
    if not reader.outcome.done():
        connections.close(connection)
    assert connections.result(reader) is None
    assert client.chunks == []
    assert not connection.reusable


# Guards against bytes of an interim response, which has no body, in front of
# the body of the final one.
@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("in_one_read", [False, True])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", ["100", "101", "102", "103", "104", "199"])
async def test_an_interim_response_with_a_body_is_lost(
    status, framing, in_one_read, is_stream
):
    connection, reader, client = send(is_stream)
    data = encode(status, framing)
    if in_one_read:
        connection.data_received(data + own())
    else:
        connection.data_received(data)
        connection.data_received(own())
    if not reader.outcome.done():
        connections.close(connection)
    assert connections.result(reader) is None
    assert client.chunks == []
    assert not connection.reusable


@pytest.mark.parametrize("status", ["100", "102", "103", "104", "199"])
async def test_an_interim_response_is_followed_by_the_final_one(status):
    connection, reader, _ = send(False)
    interim = f"HTTP/1.1 {status} Some Reason\r\nLink: x\r\n\r\n".encode()
    connection.data_received(interim * 2 + own())
    assert connections.result(reader) == (200, b"own")
    assert connection.reusable


# The daemons ask for no other protocol.
async def test_a_switch_to_another_protocol_is_lost():
    for headers in ("", "Connection: upgrade\r\nUpgrade: h2c\r\n"):
        connection, reader, _ = send(False)
        head = f"HTTP/1.1 101 Switching Protocols\r\n{headers}\r\n"
        connection.data_received(head.encode() + own())
        assert connections.result(reader) is None
        assert not connection.reusable


@pytest.mark.parametrize("status", ["100", "101", "102", "103", "199"])
async def test_an_interim_response_is_no_final_one(status):
    connection, reader, _ = send(False)
    head = f"HTTP/1.1 {status} Some Reason\r\nX-Request-Id: r1\r\n\r\n"
    connection.data_received(head.encode())
    if not reader.outcome.done():
        connections.close(connection)
    assert connections.result(reader) is None


# Calls of the daemons state no request id.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", ["000", "099", "199", "600", "999"])
async def test_a_call_does_not_take_such_an_answer(status, framing):
    connection = connections.connect()
    reader = calls.CallReader(
        connections.dialect.Dialect(), connection.pool.buffers
    )
    connection.send(b"call", reader, "")
    data = encode(status, framing, "")
    connection.data_received(data + connections.response(200, "", b"own"))
    if not reader.outcome.done():
        connections.close(connection)
    with pytest.raises(errors.BackendLostError):
        reader.outcome.result()
    assert not connection.reusable


def respond(status, framing, path, then_close):
    """Returns a behaviour that sends such a response."""
    is_stream = path.startswith("/stream/")
    media_type = "text/event-stream" if is_stream else "text/plain"

    async def behave(incoming):
        await incoming.read(incoming.unread)
        incoming.send_now(
            encode(status, framing, incoming.request_id, media_type)
        )
        if then_close:
            incoming.close()
            return
        # Nothing else may be sent on the connection.
        loop = asyncio.get_running_loop()
        assert await loop.sock_recv(incoming.sock, 1) == b""
        incoming.close()

    return behave


async def check(world, raw_behaviour, method, path, relay=False):
    """Sends a request that all servers answer in this way."""
    if relay:
        await partitions.start(world)
    else:
        await world.start()
    groups = [
        await raw_servers.replace(world, service, [raw_behaviour] * 4)
        for service in ("plain", "engines")
    ]
    if relay:
        await partitions.isolate(world)
    client = await world.client()
    client.send(method, path, "r1", b"" if method == "HEAD" else b"x")
    async with asyncio.timeout(2.0):
        head = await client.reader.readuntil(b"\r\n\r\n")
    servers = [server for group in groups for server in group]
    received = [name for server in servers for name in server.requests]
    for server in servers:
        await server.close()
    # What may have run is not refused as not run, and not repeated unless the
    # route allows it.
    assert head.startswith(b"HTTP/1.1 502 ")
    assert FOREIGN not in head
    assert received == ["r1"] * (2 if path in PATHS[1::2] else 1)


@pytest.mark.parametrize("method", ["POST", "HEAD"])
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    ("status", "framing", "then_close"),
    [
        ("000", "length", False),
        ("000", "none", True),
        ("099", "chunks", False),
        ("700", "length", False),
        ("20", "length", False),
        ("2000", "none", True),
        ("101", "length", False),
    ],
)
async def test_clients_do_not_get_a_response_without_a_valid_status(
    world, method, path, status, framing, then_close
):
    behaviour = respond(status, framing, path, then_close)
    await check(world, behaviour, method, path)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", ["000", "700", "20", "101"])
async def test_clients_do_not_get_one_through_another_daemon(
    world, path, status
):
    behaviour = respond(status, "length", path, False)
    await check(world, behaviour, "POST", path, relay=True)
