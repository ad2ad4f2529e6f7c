"""HTTP of the backend stand-ins: requests as they come, answers as told."""

import asyncio
import dataclasses
from collections.abc import Callable

import httptools


@dataclasses.dataclass
class ReceivedRequest:
    """A request as the server got it.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers with names in lower case.
        body: The body.
        cancelled: Whether its connection closed before the answer's end.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    cancelled: bool = False


async def read_request(
    reader: asyncio.StreamReader,
    reject_early: Callable[[ReceivedRequest], bool],
) -> ReceivedRequest | None:
    """Reads a request; None at the end of the connection.

    Args:
        reader: The connection.
        reject_early: Called once the headers are in; True if it answered, so
            that the body is read and left out.
    """
    collected = _Collector()
    parser = httptools.HttpRequestParser(collected)
    rejected = False
    while not collected.complete:
        data = await reader.read(4_096)
        if not data:
            return None
        parser.feed_data(data)
        if collected.headers and not rejected:
            rejected = reject_early(_seen(parser, collected))
    if rejected:
        return await read_request(reader, reject_early)
    return _seen(parser, collected)


def _seen(
    parser: httptools.HttpRequestParser, collected: "_Collector"
) -> ReceivedRequest:
    return ReceivedRequest(
        parser.get_method().decode(),
        collected.target.decode(),
        collected.headers,
        collected.body,
    )


class _Collector:
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
    """Writes an answer, or the first half of its body."""
    framing = {"Content-Length": str(len(body))}
    write_head(writer, status, request_id, headers | framing)
    writer.write(body[: len(body) // 2] if truncated else body)


def write_head(
    writer: asyncio.StreamWriter,
    status: int,
    request_id: str,
    headers: dict[str, str],
) -> None:
    """Writes status and headers."""
    lines = [f"HTTP/1.1 {status} Status"]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes a chunk of a body without a length."""
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))
