"""Responses without a length that break off while an upload is being sent.

On another system a server answered a long upload at once with a 200 without a
length, sent a part of the body and reset the connection. The client got that
part as a complete response (rule MIXED). All servers here live on and answer
calls, so their answers must not count as evidence of the end.
"""

import asyncio
import functools
import socket

import pytest

from testing.gateway import conftest
from testing.gateway import raw_servers
from testing.gateway import test_partitions_from_servers as partitions

# The first fits into the buffers of the sockets, the second does not.
SIZES = [60_000, 6_000_000]
MAX_BODY_BYTES = 8_000_000
PART = b"a part of the body"
# More than a daemon reads at once.
LONG_PART = b"0123456789" * 30_000
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
REST = b"id: 3\ndata: c\n\n"
# The loop of daemons, which reports resets in another way than asyncio's.
pytestmark = pytest.mark.asyncio(loop_factories=["uvloop"])
PATHS = ["/book/1", "/read/1", "/stream/fixed/1", "/stream/again/1"]


@pytest.fixture
async def raw(world):
    """Replaces the servers; returns those in their place, by service."""
    found = {}

    async def replace(behaviour):
        behaviours = [behaviour] * 4
        for service in ("plain", "engines"):
            found[service] = await raw_servers.replace(
                world, service, behaviours
            )
        return found

    yield replace
    for servers in found.values():
        for server in servers:
            await server.close()


async def reset_at_once(incoming, data, read=0.0):
    await incoming.read(int(read * incoming.unread))
    incoming.send_now(data)
    incoming.reset()


async def reset_later(incoming, data, read=0.0):
    await incoming.read(int(read * incoming.unread))
    incoming.send_now(data)
    await asyncio.sleep(0.05)
    incoming.reset()


async def close_unread(incoming, data, read=0.0):
    """The kernel resets the connection, as input is left."""
    await incoming.read(int(read * incoming.unread))
    # The daemon has written more than was read.
    await asyncio.sleep(0.02)
    incoming.send_now(data)
    incoming.close()


async def reset_without_upload_left(incoming, data):
    await reset_at_once(incoming, data, 1.0)


ENDINGS = {
    "reset at once": reset_at_once,
    "reset later": reset_later,
    "reset midway": functools.partial(reset_at_once, read=0.5),
    "reset later midway": functools.partial(reset_later, read=0.5),
    "reset after upload": reset_without_upload_left,
    "close with unread input": close_unread,
    "close midway": functools.partial(close_unread, read=0.5),
}


def answer(path, end, plain=PART):
    """Returns a behaviour that sends a part of a response and ends it."""
    is_stream = path.startswith("/stream/")
    media_type = "text/event-stream" if is_stream else "text/plain"
    body = EVENTS if is_stream else plain

    async def behave(incoming):
        head = raw_servers.head(incoming, media_type=media_type)
        await end(incoming, head + body)

    return behave


async def start(world, daemons=1):
    """Starts daemons that take uploads of up to MAX_BODY_BYTES."""
    await world.start(daemons=daemons)
    await accept_long_uploads(world)


async def accept_long_uploads(world):
    declared = conftest.declaration(2)
    declared["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
    world.store.write("op/config", declared)
    await world.until(
        lambda: all(
            d.state.declaration.table.declaration.version == 2
            for d in world.daemons
        )
    )


def count_runs(servers):
    return sum(len(s.requests) for group in servers.values() for s in group)


def check_lost(response, path, servers, part=PART):
    """Checks that no part was taken for a whole response."""
    if path.startswith("/stream/"):
        assert response.status == 502 or not response.complete
    else:
        assert response.status == 502
        assert part[:9] not in response.body
    is_safe = path in ("/read/1", "/stream/again/1")
    assert 1 <= count_runs(servers) <= 1 + is_safe


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("ending", ENDINGS)
async def test_a_response_that_is_reset_under_an_upload_is_not_complete(
    world, raw, path, size, ending
):
    await start(world)
    servers = await raw(answer(path, ENDINGS[ending]))
    client = await world.client()
    response = await client.call("POST", path, "r1", b"x" * size)
    check_lost(response, path, servers)


# A part that is longer than one read, and whose end is dropped by the reset.
@pytest.mark.parametrize("ending", ["reset at once", "close with unread input"])
@pytest.mark.parametrize("size", SIZES)
async def test_a_long_response_that_is_reset_is_not_complete(
    world, raw, size, ending
):
    await start(world)
    servers = await raw(answer("/book/1", ENDINGS[ending], LONG_PART))
    client = await world.client()
    response = await client.call("POST", "/book/1", "r1", b"x" * size)
    check_lost(response, "/book/1", servers, LONG_PART)


# The client itself is held midway through its upload.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("size", SIZES)
async def test_a_response_under_an_upload_that_is_held_is_not_complete(
    world, raw, path, size
):
    await start(world)
    servers = await raw(answer(path, reset_at_once))
    client = await world.client()
    body = b"x" * size
    client.send("POST", path, "r1", b"", Content_Length=str(size))
    client.writer.write(body[: size // 2])
    await asyncio.sleep(0.2)
    # Nothing is sent before the upload is whole.
    assert count_runs(servers) == 0
    client.writer.write(body[size // 2 :])
    check_lost(await client.receive(), path, servers)


# What comes next must neither follow on the connection nor be held up by it.
@pytest.mark.parametrize("size", SIZES)
async def test_a_connection_that_was_reset_carries_no_other_request(
    world, raw, size
):
    await start(world)

    async def succeed(incoming):
        await incoming.read(incoming.unread)
        incoming.send_now(
            raw_servers.head(incoming, "Content-Length: 5") + b"whole"
        )

    servers = await raw(answer("/book/1", reset_later))
    behaviours = servers["plain"][0].behaviours
    behaviours[:] = [succeed, succeed, behaviours[0]] + [succeed] * 2
    client = await world.client()
    statuses = []
    for number in range(5):
        response = await client.call(
            "POST", f"/book/{number}", f"r{number}", b"x" * size
        )
        statuses.append(response.status)
        assert response.status == 502 or response.body == b"whole"
    assert statuses == [200, 200, 502, 200, 200]
    assert count_runs(servers) == 5


# A retry must get its own body only.
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("ending", ENDINGS)
async def test_a_retry_holds_nothing_of_the_broken_response(
    world, raw, size, ending
):
    await start(world)

    async def succeed(incoming):
        await incoming.read(incoming.unread)
        incoming.send_now(
            raw_servers.head(incoming, "Content-Length: 5") + b"whole"
        )

    servers = await raw(answer("/read/1", ENDINGS[ending]))
    servers["plain"][0].behaviours[1:] = [succeed]
    client = await world.client()
    response = await client.call("POST", "/read/1", "r1", b"x" * size)
    assert (response.status, response.body) == (200, b"whole")
    assert count_runs(servers) == 2


# A stream that may be resumed goes on elsewhere, and ends where a server says.
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("ending", ENDINGS)
async def test_a_resumed_stream_has_each_event_once(world, raw, size, ending):
    await start(world)

    async def go_on(incoming):
        await incoming.read(incoming.unread)
        has_events = b"last-event-id: 2\r\n" in incoming.head.lower()
        body = REST if has_events else EVENTS + REST
        head = raw_servers.head(
            incoming,
            "Transfer-Encoding: chunked",
            media_type="text/event-stream",
        )
        incoming.send_now(head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))

    servers = await raw(answer("/stream/again/1", ENDINGS[ending]))
    servers["engines"][0].behaviours[1:] = [go_on]
    client = await world.client()
    response = await client.call("POST", "/stream/again/1", "r1", b"x" * size)
    assert (response.status, response.complete) == (200, True)
    assert response.body == EVENTS + REST
    assert count_runs(servers) == 2


async def close_read(incoming, data):
    await incoming.read(incoming.unread)
    incoming.send_now(data)
    incoming.close()


# The server ends its part of the connection and resets the rest of the upload.
@pytest.mark.parametrize("path", PATHS)
async def test_a_reset_after_a_regular_end_is_not_complete(world, raw, path):
    await start(world)

    async def end_and_reset(incoming, data):
        incoming.send_now(data)
        incoming.sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.05)
        incoming.reset()

    servers = await raw(answer(path, end_and_reset))
    client = await world.client()
    response = await client.call("POST", path, "r1", b"x" * SIZES[1])
    check_lost(response, path, servers)


# The counterpart: a server that lives and closes regularly has sent its whole
# body, and what the daemon did not expect to end so would be a 502.
@pytest.mark.parametrize("size", SIZES)
async def test_a_response_that_ends_with_a_regular_close_is_whole(
    world, raw, size
):
    await start(world)
    servers = await raw(answer("/book/1", close_read))
    client = await world.client()
    response = await client.call("POST", "/book/1", "r1", b"x" * size)
    assert (response.status, response.body) == (200, PART)
    assert count_runs(servers) == 1


# A daemon between may end, too, so that no close is the end of a response.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize(
    "ending",
    [reset_at_once, ENDINGS["close midway"], close_read],
    ids=["reset", "close midway", "regular close"],
)
async def test_a_response_through_another_daemon_is_not_complete(
    world, raw, path, size, ending
):
    await partitions.start(world)
    await accept_long_uploads(world)
    servers = await raw(answer(path, ending))
    await partitions.isolate(world)
    client = await world.client()
    response = await client.call("POST", path, "r1", b"x" * size)
    check_lost(response, path, servers)
    sent = [x for x in world.read_log() if x["event"] == "RequestSent"]
    assert {line["relayed_by"] for line in sent} == {"edge-2"}
