"""Order of the events in a server's stream, checked by their positions.

Guards against events that a broken or resumed stream skips or repeats.
"""

import re

from turmericcroft import errors

_SEPARATOR = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:\A|\n)id: ?(\d{1,12})\r?(?:\n|\Z)")
# Longest event that is buffered until it is complete.
_MAX_PENDING_BYTES = 1_048_576


class EventSequence:
    """Yields complete events, and checks that their positions rise by one.

    One sequence serves all servers that send a part of the stream, so that the
    next server can continue after the last event.

    Attributes:
        position: Position of the last event that feed returned.
        event_count: Number of events with a position that feed returned.
    """

    def __init__(self, position: int) -> None:
        self.position = position
        self.event_count = 0
        self._pending = b""

    def feed(self, data: bytes) -> bytes:
        r"""Parses bytes from a server.

        Returns:
            The events completed by these bytes, without those returned before.

        Raises:
            errors.StreamCorruptedError: An event was skipped or is too long.

        Example:
            >>> sequence = EventSequence(0)
            >>> sequence.feed(b"id: 1\ndata: a\n\nid: 2\nda")
            b'id: 1\ndata: a\n\n'
            >>> sequence.feed(b"ta: b\n\n"), sequence.position
            (b'id: 2\ndata: b\n\n', 2)
        """
        pending = self._pending + data if self._pending else data
        complete = []
        start = 0
        for separator in _SEPARATOR.finditer(pending):
            event = pending[start : separator.end()]
            start = separator.end()
            if self._is_next(event):
                complete.append(event)
        self._pending = pending[start:]
        if len(self._pending) > _MAX_PENDING_BYTES:
            raise errors.StreamCorruptedError(
                f"expected events of at most {_MAX_PENDING_BYTES} bytes, "
                f"found {len(self._pending)}"
            )
        return b"".join(complete)

    def drop_pending(self) -> None:
        """Drops an incomplete event of a server whose response was lost."""
        self._pending = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._pending.strip()

    def _is_next(self, event: bytes) -> bool:
        id_match = _EVENT_ID.search(event)
        if id_match is None:
            # Comments and fields without a position are forwarded.
            return True
        position = int(id_match.group(1))
        if position <= self.position:
            return False
        if position != self.position + 1:
            raise errors.StreamCorruptedError(
                f"expected event {self.position + 1}, found {position}"
            )
        self.position = position
        self.event_count += 1
        return True
