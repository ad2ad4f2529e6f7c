"""Detection of responses that run into each other on one connection.

A faulty server may send a further response late, or break it off in its head.
The response to the next request then continues that head, or contains it.
"""

import dataclasses
import re
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}(?!\d)")
_LINE_START = re.compile(rb"(?:\A|\n)" + _STATUS_LINE.pattern)
# The lengths of reasons and headers are limited so that searches stay linear.
_HEADER_IN_EVENT = re.compile(
    _STATUS_LINE.pattern
    + rb"[^\r\n]{0,64}\r?\n(?!(?:data|event|id|retry):)[\w-]{1,128}:"
)
_HEAD = re.compile(
    rb"HTTP/\d\.\d (\d{3})(?!\d)[^\r\n]{0,64}\r\n"
    rb"((?:[\w-]{1,128}:[^\r\n]{0,8192}\r\n)*)"
)
_CUT_HEADER = re.compile(rb"(?:[\w-]{1,128}(?::[^\r\n]{0,8192})?)?\r?")
_CUT_HEADER_MAX_BYTES = 8_322


@dataclasses.dataclass(frozen=True)
class Head:
    """The head of a response within the body of another one.

    Attributes:
        status: The status.
        headers: Names in lower case and values.
        is_cut: Whether the body ends within it.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    is_cut: bool


def contains_response(
    body: bytes | bytearray,
    is_used_again: bool,
    may_answer: Callable[[int, Sequence[tuple[bytes, bytes]]], bool],
) -> bool:
    """Whether a body without a length contains another response.

    Args:
        body: The body.
        is_used_again: Whether the connection had carried another request, to
            which a late response may have come.
        may_answer: Whether a response with a status and headers may be one to
            the body's own request. Any other one is a quote on a first use.
    """
    if is_used_again:
        return contains_status_line(body)
    return any(
        head.is_cut or may_answer(head.status, head.headers)
        for head in find_heads(body)
    )


def find_heads(body: bytes | bytearray) -> Iterator[Head]:
    r"""Yields the heads of responses in a body, also those that it quotes.

    Example:
        >>> list(find_heads(b"aHTTP/1.1 200 OK\r\nA: b\r\n\r\nc"))
        [Head(status=200, headers=((b'a', b'b'),), is_cut=False)]
        >>> [head.is_cut for head in find_heads(b"HTTP/1.1 200 OK\r\nA: b")]
        [True]
        >>> list(find_heads(b"HTTP/1.1 200 OK\r\nis sent to clients"))
        []
    """
    for match in _HEAD.finditer(body):
        rest = body[match.end() : match.end() + _CUT_HEADER_MAX_BYTES]
        is_cut = match.end() + len(rest) == len(body) and (
            _CUT_HEADER.fullmatch(rest) is not None
        )
        if not is_cut and not rest.startswith(b"\r\n"):
            continue
        lines = match.group(2).split(b"\r\n")[:-1]
        pairs = (line.partition(b":") for line in lines)
        headers = tuple((n.lower(), value.strip()) for n, _, value in pairs)
        yield Head(int(match.group(1)), headers, is_cut)


def contains_status_line(data: bytes | bytearray) -> bool:
    """Whether a part of a response contains the start of another one.

    Example:
        >>> contains_status_line(b"OK, HTTP/1.1 500 Internal Server Error")
        True
        >>> contains_status_line(b"1.1 proxy, HTTP/1.1 proxy")
        False
    """
    return _STATUS_LINE.search(data) is not None


def interrupts_event(event: bytes) -> bool:
    r"""Whether another response begins within an event or in its place.

    No line of an event begins like a status line. One within a line is a quote
    unless a header follows it.

    Example:
        >>> interrupts_event(b"HTTP/1.1 500 Internal Server Error\r\n\r\n")
        True
        >>> interrupts_event(b"id: 2\ndaHTTP/1.1 200 OK\r\nServer: x\r\n\r\n")
        True
        >>> interrupts_event(b"data: HTTP/1.1 200 means success\nid: 3\n\n")
        False
    """
    return (
        _LINE_START.search(event) is not None
        or _HEADER_IN_EVENT.search(event) is not None
    )
