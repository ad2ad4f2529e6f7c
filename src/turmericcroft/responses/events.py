"""Order of the events in a server's stream, checked by their positions.

Guards against events that a broken or resumed stream skips or repeats.
"""

import re

from turmericcroft.responses import joined

# Two line ends. The shorter (?>\r\n|\n|\r){2} takes five times as long.
_SEPARATOR = re.compile(rb"\n(?:\n|\r\n?)|\r(?:\r\n?|\n(?:\n|\r\n?))")
_SEPARATOR_MAX_BYTES = 4
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_EVENT_ID = re.compile(rb"(?:\A|[\r\n])id: ?(\d{1,12})[\r\n]")
# Without data there is no event, only comments and settings.
_DATA = re.compile(rb"(?:\A|[\r\n])data[:\r\n]")
# Longest event that is buffered until it is complete.
_MAX_PENDING_BYTES = 1_048_576
# Longest sequence of comments between two events.
_MAX_COMMENT_BYTES = 65_536


class EventSequence:
    """Yields complete events, and checks that their positions rise by one.

    One sequence serves all servers that send a part of the stream, so that the
    next server can continue after the last event. An event without a position
    belongs after the last one with a position. A server that goes on sends
    those that belong there, and may send those of the stream's opening again.

    Attributes:
        position: Position of the last event that feed returned.
        event_count: Number of events with a position that feed returned.
        fault: Why the events after those returned are invalid; empty if none
            was found.
        weights_version: Version of the model's weights that made the last
            event; None if not stated. The stream's headers state the first one.
    """

    def __init__(
        self, position: int, weights_version_field: bytes | None = None
    ) -> None:
        self.position = position
        self.event_count = 0
        self.fault = ""
        self.weights_version: int | None = None
        self._weights_version_line = weights_version_field and re.compile(
            # The end of the event before may come with this one.
            rb"[\r\n]*"
            + re.escape(weights_version_field)
            + rb": ?(\d{1,12})[\r\n]"
        )
        self._pending = bytearray()
        self._has_returned = False
        self._comment_bytes = 0
        # Events without a position: those before the first one with a
        # position, and those returned since the last one.
        self._opening: list[bytes] = []
        self._unnumbered: list[bytes] = []
        # How many of these the current server sent, and whether it has sent
        # nothing yet.
        self._unnumbered_index = 0
        self._is_at_start = True

    def feed(self, data: bytes) -> bytes:
        r"""Parses bytes from a server.

        Sets `fault` if an event does not follow the one before it or is too
        long; the events before it are returned, because `position` includes
        them. A server that begins again makes another run, whose later events
        need not follow either.

        Returns:
            The events completed by these bytes, without those that have no
            position and were returned before.

        Example:
            >>> sequence = EventSequence(0)
            >>> sequence.feed(b"id: 1\ndata: a\n\nid: 2\nda")
            b'id: 1\ndata: a\n\n'
            >>> sequence.feed(b"ta: b\n\n"), sequence.position
            (b'id: 2\ndata: b\n\n', 2)
        """
        # What was scanned before holds no separator, except for a start of one.
        scan_from = max(0, len(self._pending) - _SEPARATOR_MAX_BYTES + 1)
        self._pending += data
        if _SEPARATOR.search(self._pending, scan_from) is None:
            self._check_pending()
            return b""
        pending = bytes(self._pending)
        complete = []
        start = 0
        for separator in _SEPARATOR.finditer(pending, scan_from):
            event = pending[start : separator.end()]
            bare_event = event.removeprefix(_BYTE_ORDER_MARK)
            start = separator.end()
            is_next = self._is_next(bare_event)
            if self.fault:
                break
            if is_next:
                # A mark belongs to the start of the response only.
                complete.append(bare_event if self._has_returned else event)
                self._has_returned = True
                self._read_weights_version(bare_event)
        self._pending = bytearray(pending[start:])
        self._check_pending()
        return b"".join(complete)

    def drop_pending(self) -> None:
        """Drops what a server left incomplete; another one goes on."""
        self._pending = bytearray()
        self._comment_bytes = 0
        self._unnumbered_index = 0
        self._is_at_start = True
        self.fault = ""

    def take_line_ends(self) -> bytes:
        """Returns what follows the last event of a stream that has ended."""
        rest, self._pending = bytes(self._pending), bytearray()
        return rest

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._pending.strip()

    @property
    def lacks_opening(self) -> bool:
        """Whether a server began again without all that another one sent.

        Before the first event with a position none can be told to go on.
        """
        return not self.event_count and self._unnumbered_index < len(
            self._unnumbered
        )

    def _check_pending(self) -> None:
        if len(self._pending) > _MAX_PENDING_BYTES and not self.fault:
            self.fault = (
                f"expected events of at most {_MAX_PENDING_BYTES} bytes, "
                f"found {len(self._pending)}"
            )

    def _is_next(self, event: bytes) -> bool:
        if joined.interrupts_event(event):
            self.fault = "expected an event, found another response"
            return False
        id_match = _EVENT_ID.search(event)
        if id_match is None:
            self._comment_bytes += len(event)
            if self._comment_bytes > _MAX_COMMENT_BYTES:
                self.fault = (
                    f"expected at most {_MAX_COMMENT_BYTES} bytes between "
                    f"events, found {self._comment_bytes}"
                )
            return _DATA.search(event) is None or self._is_unsent(event)
        position = int(id_match.group(1))
        if position != self.position + 1:
            self.fault = f"expected event {self.position + 1}, found {position}"
            return False
        if self.lacks_opening:
            self.fault = "expected the stream's opening, found a later event"
            return False
        if not self.event_count:
            self._opening = self._unnumbered
        self._unnumbered = []
        self._unnumbered_index = 0
        self._is_at_start = False
        self.position = position
        self._comment_bytes = 0
        self.event_count += 1
        return True

    def _read_weights_version(self, event: bytes) -> None:
        if self._weights_version_line:
            changed = self._weights_version_line.match(event)
            if changed is not None:
                self.weights_version = int(changed.group(1))

    def _is_unsent(self, event: bytes) -> bool:
        """Whether an event without a position was not returned before."""
        # Its last line end may come in two parts.
        event = event.strip()
        is_at_start, self._is_at_start = self._is_at_start, False
        if is_at_start and self._opening:
            if event == self._opening[0]:
                self._unnumbered_index = -len(self._opening)
            elif event not in self._unnumbered[:1]:
                self.fault = "expected the stream's opening, found another one"
                return False
        index = self._unnumbered_index
        self._unnumbered_index += 1
        if index >= len(self._unnumbered):
            self._unnumbered.append(event)
            return True
        known = self._opening[index] if index < 0 else self._unnumbered[index]
        if event != known:
            self.fault = "expected an event that was sent, found another one"
        return False
