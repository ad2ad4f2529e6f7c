"""Requests that are read from clients, and the memory that they take together.

Load pattern: many clients send requests at once, each within its limits: large
bodies, bodies in tiny pieces, or many headers. The sum of all is limited, by
the memory that they take and not by the bytes on the wire. The largest
incomplete request is refused when the sum reaches its limit, so that small ones
are read.
"""

import time
from collections.abc import Callable

import logbook

from turmericcroft.responses import buffers

_LOG = logbook.Logger("requests")
# Memory of a request, and of a header beside its text.
_REQUEST_BYTES = 2_048
_HEADER_BYTES = 160
_LOG_INTERVAL_S = 1.0
# A body in more pieces than this, shorter on average, is no request: each piece
# costs as much time as a long one.
_MAX_SMALL_PIECES = 4_096
_MIN_PIECE_BYTES = 8


class Arrivals:
    """The requests that all clients' connections hold.

    Attributes:
        buffers: Limits the sum of their memory.
        refused: Number of requests that were refused for the limit.
    """

    def __init__(self, memory_mb: float) -> None:
        self.buffers = buffers.Buffers(buffers.limit_bytes(memory_mb))
        self.refused = 0
        self._logged_at_s = float("-inf")

    def record_refusal(self, cause: str) -> None:
        """Counts a refused request; logs one of them each second."""
        self.refused += 1
        now_s = time.monotonic()
        if now_s - self._logged_at_s >= _LOG_INTERVAL_S:
            self._logged_at_s = now_s
            _LOG.warning(
                "a request that was not complete is refused",
                cause=cause,
                refused=self.refused,
            )


class Arriving:
    """A request that is read.

    Attributes:
        target: Path and query.
        headers: Headers with names in lower case.
        headers_complete: Whether the headers have ended.
    """

    def __init__(
        self, arrivals: Arrivals, on_refused: Callable[[], None]
    ) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.headers_complete = False
        self._pieces = 0
        self._arrivals = arrivals
        self._on_refused = on_refused
        self._body = arrivals.buffers.open(
            arrivals.buffers.limit_bytes, self._refuse
        )
        self._body.charge(_REQUEST_BYTES)

    @property
    def header_bytes(self) -> int:
        """Length of the target and the headers."""
        size = sum(len(name) + len(value) + 4 for name, value in self.headers)
        return size + len(self.target)

    @property
    def body_bytes(self) -> int:
        """Length of the body so far."""
        return len(self._body.data)

    def add_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self.headers.append((name.lower(), value))
        self._body.charge(_HEADER_BYTES + len(name) + len(value))

    def append(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._pieces += 1
        self._body.append(body)

    def has_small_pieces(self) -> bool:
        """Returns whether the body comes in too many small pieces."""
        return (
            self._pieces > _MAX_SMALL_PIECES
            and self.body_bytes < _MIN_PIECE_BYTES * self._pieces
        )

    def take(self) -> tuple[bytes, Callable[[], None]]:
        """Returns the body, and what to call when the request has ended."""
        return self._body.take()

    def close(self) -> None:
        """Drops the request."""
        self._body.close()
        self.headers = []

    def _refuse(self, cause: str) -> None:
        self._arrivals.record_refusal(cause)
        self._on_refused()
