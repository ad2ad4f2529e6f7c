"""Chooses free ports on the loopback address and resets connections."""

import asyncio
import collections
import contextlib
import errno
import itertools
import os
import socket
import struct
import time
from collections.abc import Iterator

_HOST = "127.0.0.1"
# Ports below the ephemeral range (from 32,768 on Linux): an outgoing connection
# could take a port from that range between its choice and its use.
_FIRST_PORT = 12_000
_LAST_PORT = 30_000
_PORTS_PER_PROCESS = 97
# Time for which a port stays held after its last use, so that no process that
# is still ending addresses another one there.
_QUARANTINE_S = 30.0
_offsets = itertools.count(os.getpid() * _PORTS_PER_PROCESS)
# Sockets that hold the returned ports until their scope or the process ends.
_held_sockets: list[socket.socket] = []
# Sockets whose scope has ended, with the monotonic times to close them.
_quarantined_sockets: collections.deque[tuple[float, socket.socket]] = (
    collections.deque()
)


@contextlib.contextmanager
def port_scope() -> Iterator[None]:
    """Releases the ports that are taken within it, after a quarantine.

    What listens on the ports, or connects to them, must have ended by then.
    Scopes may be nested. Ports that are taken outside of any scope are held
    until the process ends.
    """
    count = len(_held_sockets)
    try:
        yield
    finally:
        release_at_s = time.monotonic() + _QUARANTINE_S
        for holder in _held_sockets[count:]:
            _quarantined_sockets.append((release_at_s, holder))
        del _held_sockets[count:]


def free_port() -> int:
    """Returns a free port and holds it for a server of this machine.

    The port stays bound, so no other process can be given it. A server that
    sets SO_REUSEADDR, as asyncio's do, can listen on it all the same, because
    the socket that holds it sets the option too and doesn't listen.

    Raises:
        OSError: All ports are in use.
    """
    now_s = time.monotonic()
    while _quarantined_sockets and _quarantined_sockets[0][0] <= now_s:
        _quarantined_sockets.popleft()[1].close()
    span = _LAST_PORT - _FIRST_PORT
    for _ in range(span):
        port = _FIRST_PORT + next(_offsets) % span
        holder = socket.socket()
        try:
            # Without the option, so that this fails if the port is held.
            holder.bind((_HOST, port))
        except OSError:
            holder.close()
            continue
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _held_sockets.append(holder)
        return port
    raise OSError(
        errno.EADDRINUSE,
        f"expected a free port from {_FIRST_PORT} to {_LAST_PORT - 1}, found "
        f"none; this process holds {len(_held_sockets)}, and "
        f"{len(_quarantined_sockets)} that were released lately; wait until "
        "other test runs have ended",
    )


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset (RST) instead of a FIN."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
