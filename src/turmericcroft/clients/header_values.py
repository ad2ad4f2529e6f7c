"""Parses values of HTTP headers; what is malformed counts as not stated."""

from collections.abc import Iterable

# Headers that apply to a single connection, or that frame the body.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
_MAX_DIGITS = 15
_MAX_NUMBER = 1e9


def parse_int(value: bytes | None) -> int | None:
    """Parses a whole number that is not negative.

    Example:
        >>> parse_int(b" 12 "), parse_int(b"-1"), parse_int(None)
        (12, None, None)
    """
    stripped = (value or b"").strip()
    is_number = stripped.isdigit() and len(stripped) <= _MAX_DIGITS
    return int(stripped) if is_number else None


def parse_float(value: bytes | None) -> float | None:
    """Parses a number that is not negative.

    Example:
        >>> parse_float(b"0.5"), parse_float(b"inf"), parse_float(b"nan")
        (0.5, None, None)
    """
    try:
        number = float(value or b"")
    except ValueError:
        return None
    return number if 0.0 <= number < _MAX_NUMBER else None


def decode_text(value: bytes | None) -> str | None:
    """Decodes a header's text, of which each byte is one character."""
    return None if value is None else value.decode("latin-1")


def parse_idle_timeout(value: bytes | None) -> float | None:
    """Parses the idle time, in seconds, of a Keep-Alive header.

    Example:
        >>> parse_idle_timeout(b"timeout=5, max=100")
        5.0
    """
    for field in (value or b"").split(b","):
        name, _, number = field.strip().partition(b"=")
        if name.lower() == b"timeout":
            return parse_float(number)
    return None


def connection_options(
    headers: Iterable[tuple[bytes, bytes]], kept: frozenset[bytes]
) -> frozenset[bytes]:
    """Returns the headers that Connection headers declare to be hop-by-hop.

    Args:
        headers: Names in lower case and values.
        kept: Names that are left out of the result.

    Example:
        >>> headers = [(b"connection", b"X-Hop, host")]
        >>> connection_options(headers, frozenset([b"host"]))
        frozenset({b'x-hop'})
    """
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return frozenset(named) - kept
