"""Tests of the proxy that injects network faults in the soak."""

import asyncio

import pytest

from turmericcroft_lab.hosted import proxy

Fault = proxy.LinkFault
ECHO_TIMEOUT_S = 0.15


@pytest.fixture
async def link():
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    proxied = proxy.Link(f"127.0.0.1:{port}")
    await proxied.start()
    yield proxied
    await proxied.close()
    server.close()


async def connect(link):
    host, _, port = link.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def gets_echo(reader, writer, timeout_s=ECHO_TIMEOUT_S):
    writer.write(b"x")
    try:
        async with asyncio.timeout(timeout_s):
            return await reader.read(1) == b"x"
    except TimeoutError:
        return False


async def test_bytes_are_forwarded_and_delayed(link):
    reader, writer = await connect(link)
    assert await gets_echo(reader, writer)
    link.set_fault(Fault.DELAYED)
    assert not await gets_echo(reader, writer)
    async with asyncio.timeout(2.0):
        assert await reader.read(1) == b"x"


@pytest.mark.parametrize("fault", [Fault.CUT_TO_TARGET, Fault.CUT_FROM_TARGET])
async def test_cut_holds_bytes_until_it_ends(link, fault):
    reader, writer = await connect(link)
    assert await gets_echo(reader, writer)
    link.set_fault(fault)
    assert not await gets_echo(reader, writer)
    link.set_fault(Fault.NONE)
    async with asyncio.timeout(2.0):
        assert await reader.read(1) == b"x"


async def test_silenced_connection_stays_silent_and_new_ones_work(link):
    reader, writer = await connect(link)
    assert await gets_echo(reader, writer)
    link.set_fault(Fault.SILENCED)
    link.set_fault(Fault.NONE)
    assert not await gets_echo(reader, writer)
    assert await gets_echo(*await connect(link))


async def test_reset_closes_open_connections(link):
    reader, writer = await connect(link)
    assert await gets_echo(reader, writer)
    link.set_fault(Fault.RESET)
    with pytest.raises(ConnectionError):
        await asyncio.wait_for(reader.readexactly(1), 2.0)
