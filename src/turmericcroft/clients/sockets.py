"""Options and state of TCP sockets.

Calls to the platform drop their unsent bytes when they are aborted.

A network partition can delay a request past its timeout. If it still arrived
after the partition healed, it could override the order of a newer lease holder.
"""

import socket
import struct
import typing

import aiohttp

# The kernel closes a connection whose data stays unacknowledged for this time.
# It is shorter than the time that the next holder of a lost lease waits before
# it acts: the margin of a lease (SEND_MARGIN_S, 0.5 s) plus the delay of a
# takeover (TAKEOVER_DELAY_S, 0.4 s).
TCP_USER_TIMEOUT_MS = 800
# Field tcpi_last_data_recv of Linux's struct tcp_info, in milliseconds.
_TCP_INFO_BYTES = 104
_LAST_RECEIVED_OFFSET = 52


def make_connector() -> aiohttp.TCPConnector:
    """Creates a connector for calls that must not arrive late."""
    return aiohttp.TCPConnector(socket_factory=_open_socket)


def receive_age_s(sock: socket.socket) -> float:
    """Returns the time since the kernel received bytes; infinite if unknown."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
        (age_ms,) = struct.unpack_from("=I", info, _LAST_RECEIVED_OFFSET)
    except (OSError, struct.error):
        return float("inf")
    return float(age_ms) / 1000


def _open_socket(address: tuple[typing.Any, ...]) -> socket.socket:
    family, kind, protocol = address[:3]
    sock = socket.socket(family, kind, protocol)
    # With a linger time of 0, closing resets the connection, also when the
    # process is killed. Otherwise the kernel would go on resending the unsent
    # bytes, and they would arrive after a partition heals.
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    return sock
