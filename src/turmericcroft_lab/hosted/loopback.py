"""Free ports on the loopback address, and resets of connections."""

import asyncio
import itertools
import os
import socket
import struct

# Below the range that outgoing connections take theirs from (32,768 up on
# Linux): a port from there can be taken between its choice and its use.
_FIRST_PORT = 12_000
_LAST_PORT = 30_000
_STEP = 97
_numbers = itertools.count(os.getpid() * _STEP)


def free_port() -> int:
    """Finds a port that nothing listens on and no other call returned."""
    while True:
        span = _LAST_PORT - _FIRST_PORT
        port = _FIRST_PORT + next(_numbers) % span
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset instead of an end."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
