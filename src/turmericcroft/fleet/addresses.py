"""Checks of addresses that other writers state.

Opening a connection to an address out of range raises a ValueError or an
OverflowError, which is not the error of a connection that failed.
"""

MAX_PORT = 65_535
_MAX_HOST_CHARACTERS = 255
_MAX_TEXT_CHARACTERS = 1_024
# Starts later than this after now are none: a daemon would take those after
# such a start for earlier ones. More than any clock is wrong.
_MAX_AHEAD_MS = 86_400_000
_MAX_LINK_MBPS = 1e9
# What opening a connection raises if its address can't be used.
CONNECT_FAULTS = (OSError, TimeoutError, ValueError, OverflowError)


def is_host(text: str) -> bool:
    """Whether a text can be the host of an address.

    Example:
        >>> [is_host(text) for text in ("10.0.0.1", "a..b", "x" * 70, "")]
        [True, False, False, False]
    """
    if not 0 < len(text) <= _MAX_HOST_CHARACTERS or not text.isprintable():
        return False
    try:
        text.encode("idna")
    except UnicodeError:
        return False
    return True


def is_port(number: int) -> bool:
    """Whether a number is a TCP port that can be connected to."""
    return 0 < number <= MAX_PORT


def is_daemon(
    name: str,
    incarnation: int,
    availability_zone: str,
    host: str,
    port: int,
    link_mbps: float,
    tunnel_port: int,
    now_ms: float,
) -> bool:
    """Whether a daemon can be called, compared, sent on and logged.

    Args:
        name: Name of its VM.
        incarnation: Start of its process, in Unix milliseconds.
        availability_zone: Availability zone of its VM.
        host: Host of its mesh port.
        port: Its mesh port.
        link_mbps: Bandwidth of its VM's link.
        tunnel_port: Port for daemons that reach no server.
        now_ms: Time of day, in Unix milliseconds.
    """
    text = f"{name}{availability_zone}"
    return (
        is_host(host)
        and is_port(port)
        and 0 <= tunnel_port <= MAX_PORT
        and 0 <= incarnation <= now_ms + _MAX_AHEAD_MS
        and 0.0 <= link_mbps < _MAX_LINK_MBPS
        and len(text) <= _MAX_TEXT_CHARACTERS
        and text.isprintable()
    )
