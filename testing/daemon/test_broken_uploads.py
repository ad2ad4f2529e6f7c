"""Answers that break off under an upload, at the project's own interface.

Another system took a part of a body for a complete answer when its server reset
the connection while the upload was being written (rule MIXED).
"""

import dataclasses

import pytest

from testing.daemon import test_endless_backends as endless_backends
from testing.gateway import raw_servers
from testing.gateway import test_broken_uploads as uploads
from turmericcroft import errors
from turmericcroft.backends import engine
from turmericcroft.backends import service
from turmericcroft_lab.hosted import loopback

pytestmark = pytest.mark.asyncio(loop_factories=["uvloop"])
PART = b"id: 1\ndata: {}\n\n"
# What a head states about the body, and how the part is written.
FRAMINGS = {
    "none": ("Connection: close", PART),
    "length": ("Content-Length: 1000", PART),
    "chunks": (
        "Transfer-Encoding: chunked",
        b"%x\r\n%b\r\n" % (len(PART), PART),
    ),
}
ENDINGS = {
    **uploads.ENDINGS,
    "regular close": uploads.close_read,
}


class Address:
    """The address that a server takes."""

    def __init__(self):
        self.port = loopback.free_port()

    async def close(self):
        pass


async def start(framing, ending):
    """Starts a server that breaks off its answer; returns it and its URL."""
    line, part = FRAMINGS[framing]

    async def behave(incoming):
        head = raw_servers.head(incoming, line)
        await ENDINGS[ending](incoming, head + part)

    server = raw_servers.RawServer(Address(), [behave])
    await server.start()
    return server, f"http://127.0.0.1:{server.replaced.port}"


# A call that was sent may have run: its loss is never reported as not run.
@pytest.mark.parametrize("size", uploads.SIZES)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("ending", ENDINGS)
async def test_an_answer_of_a_service_that_breaks_off_is_lost(
    size, framing, ending
):
    server, url = await start(framing, ending)
    client = service.ServiceClient()
    call = service.ServiceCall(
        "POST", "/x", {"X-Request-Id": "r1"}, b"x" * size
    )
    with pytest.raises(errors.BackendLostError):
        await client.call(url, call)
    assert server.requests == ["r1"]
    await client.close()
    await server.close()


@pytest.mark.parametrize("size", uploads.SIZES)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("ending", ENDINGS)
async def test_a_stream_of_an_engine_that_breaks_off_is_lost(
    size, framing, ending
):
    server, url = await start(framing, ending)
    request = dataclasses.replace(
        endless_backends.REQUEST, body=b'{"prompt": "%b"}' % (b"x" * size)
    )

    async def read():
        stream = await engine.open_stream(url, request, None)
        try:
            await stream.ended
        finally:
            stream.close()

    with pytest.raises(errors.BackendLostError):
        await read()
    assert server.requests == ["r1"]
    await server.close()
