"""Memory of all bodies that are buffered at the same time.

Load pattern: faulty servers send bodies without end, on many connections at
once. Each body has a limit of its own, but their sum would exceed the VM's
memory. The longest incomplete body is given up when the sum reaches its limit,
because it is the least likely to end, so that short ones are still read.
"""

from collections.abc import Callable

# A daemon uses 40 MB before its first request, and a body is copied when it is
# delivered.
_BUFFERED_MEMORY_SHARE = 0.2
# Used if the memory is unknown.
_MAX_BUFFERED_BYTES = 67_108_864
_BYTES_PER_MB = 1_000_000


def limit_bytes(memory_mb: float) -> int:
    """Returns the limit of buffered bytes for a VM's memory; 0 if unknown.

    Example:
        >>> limit_bytes(300.0), limit_bytes(0.0)
        (60000000, 67108864)
    """
    if not memory_mb:
        return _MAX_BUFFERED_BYTES
    return int(_BUFFERED_MEMORY_SHARE * memory_mb * _BYTES_PER_MB)


class Buffers:
    """All bodies that are read, or that clients have not received yet.

    Attributes:
        limit_bytes: Limit of their sum.
        used_bytes: Their sum.
        open_bodies: Bodies that are read.
        given_up: Number of bodies that were given up to make room.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.open_bodies: set[Body] = set()
        self.given_up = 0

    def open(
        self, max_bytes: int, on_given_up: Callable[[str], None]
    ) -> "Body":
        """Opens a body.

        Args:
            max_bytes: Limit of its length.
            on_given_up: Called with the cause if it exceeds a limit.
        """
        body = Body(self, max_bytes, on_given_up)
        self.open_bodies.add(body)
        return body

    def hold(self, size: int) -> Callable[[], None]:
        """Counts bytes until the returned function is called."""
        held = [size]
        self.used_bytes += size

        def release() -> None:
            self.used_bytes -= held.pop() if held else 0

        return release

    def make_room(self) -> None:
        """Gives up the longest bodies while the sum exceeds its limit."""
        while self.used_bytes > self.limit_bytes and self.open_bodies:
            longest = max(self.open_bodies, key=lambda body: body.size_bytes)
            if not longest.size_bytes:
                # Only delivered bodies take memory.
                return
            self.given_up += 1
            longest.give_up(
                f"bodies buffered at once exceed {self.limit_bytes} bytes"
            )


class Body:
    """One body that is read.

    Attributes:
        data: What was received so far. One array, because a list of pieces
            takes 30 times the bytes of a body that comes in pieces of two.
        charged_bytes: Memory that goes with the body, such as of headers.
    """

    def __init__(
        self,
        buffers: Buffers,
        max_bytes: int,
        on_given_up: Callable[[str], None],
    ) -> None:
        self.data = bytearray()
        self.charged_bytes = 0
        self._buffers = buffers
        self._max_bytes = max_bytes
        self._on_given_up = on_given_up
        self._is_open = True

    @property
    def size_bytes(self) -> int:
        """Memory that counts against the limit of the sum."""
        return len(self.data) + self.charged_bytes

    def charge(self, size: int) -> None:
        """Counts memory that goes with the body until it is dropped."""
        if self._is_open:
            self.charged_bytes += size
            self._buffers.used_bytes += size
            self._buffers.make_room()

    def append(self, data: bytes) -> None:
        """Appends received bytes; gives up a body if a limit is exceeded."""
        if not self._is_open:
            return
        self.data += data
        self._buffers.used_bytes += len(data)
        if len(self.data) > self._max_bytes:
            self.give_up(f"body exceeds {self._max_bytes} bytes")
        else:
            self._buffers.make_room()

    def give_up(self, cause: str) -> None:
        """Drops the body and reports why."""
        report = self._on_given_up
        self.close()
        report(cause)

    def close(self) -> None:
        """Drops the body."""
        if self._is_open:
            self._is_open = False
            self._buffers.used_bytes -= self.size_bytes
            self._buffers.open_bodies.discard(self)
            self.data, self.charged_bytes = bytearray(), 0
            # Its owner refers to this body.
            self._on_given_up = lambda _cause: None

    def take(self) -> tuple[bytes, Callable[[], None]]:
        """Ends the body; returns it and what to call when it is dropped."""
        data, size = bytes(self.data), self.size_bytes
        self.close()
        return data, self._buffers.hold(size)
