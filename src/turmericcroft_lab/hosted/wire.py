"""HTTP for the emulated backend servers.

Responses are written piece by piece without checks, so that a server can send
broken ones.
"""

import asyncio
import dataclasses
import json
import typing
from collections.abc import Callable

import httptools


@dataclasses.dataclass
class ReceivedRequest:
    """A request that a server received.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers with names in lower case.
        body: The body.
        cancelled: Whether the client closed the connection, or sent more
            bytes, before the response was complete.
        ends_at_s: Monotonic time at which the server stops work on it.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    cancelled: bool = False
    ends_at_s: float = float("inf")


async def read_request(
    reader: asyncio.StreamReader,
    reject_early: Callable[[ReceivedRequest], bool],
) -> ReceivedRequest | None:
    """Reads a request; returns None at the end of the connection.

    Args:
        reader: The connection.
        reject_early: Called after each read, with the headers parsed so far,
            until it returns True: it has then sent a response, the rest of
            the request is discarded and the next one is read.
    """
    callbacks = _ParserCallbacks()
    parser = httptools.HttpRequestParser(callbacks)
    rejected = False
    while not callbacks.complete:
        data = await reader.read(4_096)
        if not data:
            return None
        parser.feed_data(data)
        if callbacks.headers and not rejected:
            rejected = reject_early(_make_request(parser, callbacks))
    if rejected:
        return await read_request(reader, reject_early)
    return _make_request(parser, callbacks)


def _make_request(
    parser: httptools.HttpRequestParser, callbacks: "_ParserCallbacks"
) -> ReceivedRequest:
    return ReceivedRequest(
        parser.get_method().decode(),
        callbacks.target.decode(),
        callbacks.headers,
        callbacks.body,
    )


class _ParserCallbacks:
    def __init__(self) -> None:
        self.target = b""
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True


def write_response(
    writer: asyncio.StreamWriter,
    status: int,
    request_id: str,
    body: bytes,
    headers: dict[str, str],
    truncated: bool = False,
) -> None:
    """Writes a response; if it is truncated, only half of the body."""
    framing = {"Content-Length": str(len(body))}
    write_head(writer, status, request_id, headers | framing)
    writer.write(body[: len(body) // 2] if truncated else body)


def write_json(
    writer: asyncio.StreamWriter,
    fields: dict[str, typing.Any],
    headers: dict[str, str],
) -> None:
    """Writes a successful response to a call."""
    write_response(writer, 200, "", json.dumps(fields).encode(), headers)


def write_head(
    writer: asyncio.StreamWriter,
    status: int,
    request_id: str,
    headers: dict[str, str],
) -> None:
    """Writes the status line and the headers."""
    writer.write(encode_head(status, request_id, headers))


def encode_head(status: int, request_id: str, headers: dict[str, str]) -> bytes:
    """Encodes the status line and the headers."""
    lines = [f"HTTP/1.1 {status} Status"]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes a chunk of a chunked body."""
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))
