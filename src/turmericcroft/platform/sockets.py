"""Sockets whose unsent bytes do not outlive a call that was given up."""

import socket
import struct
import typing

import aiohttp

# A call counts as lost after this time without an acknowledgement. It is below
# the time that a successor of a lost lease waits before it acts: the margin
# of the lease (0.5 s) and the settling time (0.4 s).
UNACKNOWLEDGED_MS = 800


def make_connector() -> aiohttp.TCPConnector:
    """Makes a connector for calls whose late arrival would do harm."""
    return aiohttp.TCPConnector(socket_factory=_open)


def _open(address: tuple[typing.Any, ...]) -> socket.socket:
    family, kind, protocol = address[:3]
    sock = socket.socket(family, kind, protocol)
    # Closing resets the connection, also when the process is killed: bytes
    # that a partition holds up would else arrive after it has healed.
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )
    return sock
