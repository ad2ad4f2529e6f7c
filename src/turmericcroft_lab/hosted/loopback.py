"""Chooses free ports on the loopback address and resets connections."""

import asyncio
import itertools
import os
import socket
import struct

# Ports below the ephemeral range (from 32,768 on Linux): an outgoing connection
# could take a port from that range between its choice and its use.
_FIRST_PORT = 12_000
_LAST_PORT = 30_000
_PORTS_PER_PROCESS = 97
_offsets = itertools.count(os.getpid() * _PORTS_PER_PROCESS)


def free_port() -> int:
    """Returns a free port that no other call in this process returned."""
    while True:
        span = _LAST_PORT - _FIRST_PORT
        port = _FIRST_PORT + next(_offsets) % span
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset (RST) instead of a FIN."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
