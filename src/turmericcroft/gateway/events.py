"""Positions of the events in a stream."""

import re

from turmericcroft import errors

_SEPARATOR = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:\A|\n)id: ?(\d{1,12})\r?(?:\n|\Z)")
# Longest event that is held until it is complete.
_MAX_PENDING_BYTES = 1_048_576


class EventSequence:
    """Passes on whole events whose positions rise by one.

    It outlives the server that makes the stream, so that another one can go
    on where that one stopped.

    Attributes:
        position: Position of the last event that was passed on.
        events: Events passed on.
    """

    def __init__(self, position: int) -> None:
        self.position = position
        self.events = 0
        self._pending = b""

    def feed(self, data: bytes) -> bytes:
        r"""Takes in bytes from a server.

        Returns:
            The events that are complete, without those already passed on.

        Raises:
            errors.StreamCorruptedError: An event is missing or too long.

        Example:
            >>> sequence = EventSequence(0)
            >>> sequence.feed(b"id: 1\ndata: a\n\nid: 2\nda")
            b'id: 1\ndata: a\n\n'
            >>> sequence.feed(b"ta: b\n\n"), sequence.position
            (b'id: 2\ndata: b\n\n', 2)
        """
        pending = self._pending + data if self._pending else data
        whole = []
        start = 0
        for separator in _SEPARATOR.finditer(pending):
            event = pending[start : separator.end()]
            start = separator.end()
            if self._is_next(event):
                whole.append(event)
        self._pending = pending[start:]
        if len(self._pending) > _MAX_PENDING_BYTES:
            raise errors.StreamCorruptedError(
                f"expected events of at most {_MAX_PENDING_BYTES} bytes, "
                f"found {len(self._pending)}"
            )
        return b"".join(whole)

    def drop_pending(self) -> None:
        """Forgets an incomplete event of a server that was lost."""
        self._pending = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event is pending."""
        return not self._pending.strip()

    def _is_next(self, event: bytes) -> bool:
        found = _EVENT_ID.search(event)
        if found is None:
            # Comments and fields without a position are passed on.
            return True
        position = int(found.group(1))
        if position <= self.position:
            return False
        if position != self.position + 1:
            raise errors.StreamCorruptedError(
                f"expected event {self.position + 1}, found {position}"
            )
        self.position = position
        self.events += 1
        return True
