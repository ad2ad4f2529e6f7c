"""Parses the requests on one connection of a client.

Received bytes are parsed in pieces, and only until enough requests wait: one
piece of tiny pipelined requests takes 100 times its bytes once it is parsed.
"""

import dataclasses
import typing
from collections.abc import Callable

import httptools

from turmericcroft.requests import arriving
from turmericcroft.routing import declaration

_PIECE_BYTES = 4_096
# When a client may come back whose request was refused for its memory.
_REFUSED_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True)
class Parsed:
    """A complete request.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers with names in lower case.
        body: The body.
        started_at_s: Time of the first byte, monotonic.
        keep_alive: Whether the client wants to keep the connection.
        release: Called when the request has ended and takes no more memory.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    started_at_s: float
    keep_alive: bool
    release: Callable[[], None]


@dataclasses.dataclass(frozen=True)
class Rejected:
    """A request that is not read further, nor any after it.

    Attributes:
        status: HTTP status.
        code: Stable error code.
        message: Text for the client.
        retry_after_s: Delay before a retry; None if a retry does not help.
    """

    status: int
    code: str
    message: str
    retry_after_s: float | None = None


class Owner(typing.Protocol):
    """The connection whose bytes are parsed."""

    def limits(self) -> declaration.ClientLimits:
        """Returns the limits in force."""

    def wants_requests(self) -> bool:
        """Returns whether to parse further requests now."""

    def take_request(self, request: Parsed) -> None:
        """Takes a complete request."""

    def send_continue(self) -> None:
        """Tells the client to send the body."""

    def reject(self, rejected: Rejected) -> None:
        """Refuses the request that is read, and closes the connection."""


class RequestParser:
    """Parses what a connection receives.

    Attributes:
        started_at_s: Time of the first byte of the request that is read,
            monotonic; None between requests.
        is_rejected: Whether nothing is parsed any more.
    """

    def __init__(self, owner: Owner, arrivals: arriving.Arrivals) -> None:
        self.started_at_s: float | None = None
        self.is_rejected = False
        self._owner = owner
        self._arrivals = arrivals
        self._parser = httptools.HttpRequestParser(self)
        self._arriving: arriving.Arriving | None = None
        self._header_bytes = 0
        self._unparsed = memoryview(b"")
        self._is_parsing = False
        self._now_s = 0.0

    def feed(self, data: bytes, now_s: float) -> None:
        """Parses received bytes, as far as the owner wants requests."""
        if self.is_rejected:
            return
        self._now_s = now_s
        if self._unparsed:
            data = bytes(self._unparsed) + data
        self._unparsed = memoryview(data)
        self.resume()

    def resume(self) -> None:
        """Parses what was left, as far as the owner wants requests."""
        if self._is_parsing:
            return
        self._is_parsing = True
        while (
            self._unparsed
            and not self.is_rejected
            and self._owner.wants_requests()
        ):
            piece = self._unparsed[:_PIECE_BYTES]
            self._unparsed = self._unparsed[_PIECE_BYTES:]
            self._parse(piece)
        self._is_parsing = False

    def is_reading_head(self) -> bool:
        """Returns whether the headers of the request are not complete."""
        return self._arriving is None or not self._arriving.headers_complete

    def drop(self) -> None:
        """Drops what is not complete or not parsed."""
        self._unparsed = memoryview(b"")
        if self._arriving is not None:
            self._arriving.close()
            self._arriving = None

    def reject(
        self,
        status: int,
        code: str,
        message: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Refuses the request that is read."""
        if self.is_rejected:
            return
        self.is_rejected = True
        self.drop()
        self.started_at_s = None
        self._owner.reject(Rejected(status, code, message, retry_after_s))

    def _parse(self, piece: memoryview) -> None:
        if self.started_at_s is None:
            self.started_at_s = self._now_s
        if self.is_reading_head():
            self._header_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            self.reject(400, "upgrade", "expected no upgrade")
        except httptools.HttpParserError as error:
            self.reject(400, "malformed", str(error))
        limit = self._owner.limits().max_header_bytes
        if self.is_reading_head() and self._header_bytes > limit:
            self._reject_headers()

    def on_message_begin(self) -> None:
        """Parser callback: a request begins."""
        self._header_bytes = 0
        self._arriving = arriving.Arriving(self._arrivals, self._refuse)

    def on_url(self, url: bytes) -> None:
        """Parser callback: part of the target."""
        if self._arriving is not None:
            self._arriving.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header."""
        if self._arriving is not None:
            self._arriving.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Parser callback: the headers are complete."""
        if self._arriving is None:
            return
        self._arriving.headers_complete = True
        limits = self._owner.limits()
        if self._arriving.header_bytes > limits.max_header_bytes:
            self._reject_headers()
            return
        headers = dict(self._arriving.headers)
        length = headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > limits.max_body_bytes:
            self.reject(413, "body_too_large", "send a smaller body")
        elif headers.get(b"expect", b"").lower() == b"100-continue":
            self._owner.send_continue()

    def on_body(self, body: bytes) -> None:
        """Parser callback: part of the body."""
        if self._arriving is None:
            return
        size = self._arriving.body_bytes + len(body)
        if size > self._owner.limits().max_body_bytes:
            self.reject(413, "body_too_large", "send a smaller body")
        elif self._arriving.has_small_pieces():
            self.reject(400, "malformed", "send the body in larger chunks")
        else:
            self._arriving.append(body)

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete."""
        if self.is_rejected or self._arriving is None:
            return
        started_at_s = self.started_at_s
        body, release = self._arriving.take()
        request = Parsed(
            method=self._parser.get_method(),
            target=self._arriving.target,
            headers=tuple(self._arriving.headers),
            body=body,
            started_at_s=(
                self._now_s if started_at_s is None else started_at_s
            ),
            keep_alive=self._parser.should_keep_alive(),
            release=release,
        )
        self._arriving = self.started_at_s = None
        self._header_bytes = 0
        self._owner.take_request(request)

    def _refuse(self) -> None:
        self.reject(503, "overloaded", "send it later", _REFUSED_RETRY_S)

    def _reject_headers(self) -> None:
        self.reject(431, "headers_too_large", "send fewer header bytes")
