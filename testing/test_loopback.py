"""Ports that tests and the soak are given on the loopback address."""

import asyncio
import socket
import subprocess
import sys

import pytest

from turmericcroft_lab.hosted import loopback

TAKE_PORTS = """
import sys
from turmericcroft_lab.hosted import loopback
loopback._offsets = iter(range(7_000, 30_000))
print(*(loopback.free_port() for _ in range(60)), flush=True)
sys.stdin.read()
"""


def test_runs_side_by_side_are_given_different_ports():
    # Guards against a port that one run probes and releases, and another one
    # takes before a server listens on it.
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", TAKE_PORTS],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(4)
    ]
    ports = [
        port
        for process in processes
        for port in process.stdout.readline().split()
    ]
    for process in processes:
        process.communicate("")
    assert len(ports) == len(set(ports)) == 240


async def test_a_server_can_listen_on_a_held_port_and_nobody_else():
    port = loopback.free_port()
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", port))

    async def serve(_reader, writer):
        writer.close()

    for _ in range(2):
        server = await asyncio.start_server(serve, "127.0.0.1", port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        assert await reader.read() == b""
        writer.close()
        server.close()
        await server.wait_closed()
