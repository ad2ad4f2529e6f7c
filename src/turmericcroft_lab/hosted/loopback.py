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
# Sockets that hold the returned ports until the process ends.
_held_sockets: list[socket.socket] = []


def free_port() -> int:
    """Returns a free port and holds it for a server of this machine.

    The port stays bound, so no other process can be given it. A server that
    sets SO_REUSEADDR, as asyncio's do, can listen on it all the same, because
    the socket that holds it sets the option too and doesn't listen.
    """
    while True:
        span = _LAST_PORT - _FIRST_PORT
        port = _FIRST_PORT + next(_offsets) % span
        holder = socket.socket()
        try:
            # Without the option, so that this fails if the port is held.
            holder.bind(("127.0.0.1", port))
        except OSError:
            holder.close()
            continue
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _held_sockets.append(holder)
        return port


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset (RST) instead of a FIN."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
