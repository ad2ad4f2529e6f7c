"""Bounded writer of log lines that never waits for its reader."""

import collections
import json
import os
import select
import time
import typing
from collections.abc import Callable

import logbook

from turmericcroft.eventlog import events

# Lines of one kind a second. At the two-year target a daemon takes about 115
# requests a second; a failure concerns a part of them.
LINES_PER_S = {
    events.Weight.ROUTINE: 100,
    events.Weight.FAILURE: 200,
    events.Weight.STATE: 400,
}
# Lines that wait for a slow reader.
_MAX_WAITING = 2_000
# A pipe that reports room takes this many bytes without blocking (PIPE_BUF).
_WRITE_BYTES = 4_096


class Writer:
    """Writes lines to a file descriptor.

    Attributes:
        daemon: Name of this daemon, on each line.
        written: Lines written.
        left_out: Lines left out, by kind.
    """

    def __init__(
        self,
        daemon: str,
        descriptor: int,
        now_s: Callable[[], float] = time.monotonic,
        wall_s: Callable[[], float] = time.time,
    ) -> None:
        self.daemon = daemon
        self.descriptor = descriptor
        self.written = 0
        self.left_out: dict[str, int] = {}
        self._now_s = now_s
        self._wall_s = wall_s
        self._waiting: collections.deque[bytes] = collections.deque()
        self._second = 0
        self._in_second: dict[str, int] = {}
        self._unreported: dict[str, int] = {}

    def write(self, event: events.Event) -> None:
        """Queues a line, unless there are too many of its kind."""
        kind = type(event).__name__
        limit = LINES_PER_S[events.weight(event)]
        if not self._admit(kind, limit):
            return
        self._queue(kind, vars(event))

    def message(self, fields: dict[str, typing.Any]) -> None:
        """Queues a line that belongs to no kind of event."""
        if self._admit("Message", LINES_PER_S[events.Weight.FAILURE]):
            self._queue("Message", fields)

    def flush(self) -> None:
        """Writes as much as the reader takes without waiting."""
        while self._waiting and self._has_room():
            batch = self._waiting.popleft()
            while (
                self._waiting
                and len(batch) + len(self._waiting[0]) <= _WRITE_BYTES
            ):
                batch += self._waiting.popleft()
            sent = os.write(self.descriptor, batch[:_WRITE_BYTES])
            if sent < len(batch):
                self._waiting.appendleft(batch[sent:])

    def _admit(self, kind: str, limit: int) -> bool:
        second = int(self._now_s())
        if second != self._second:
            self._second = second
            self._in_second = {}
            self._report_left_out()
        count = self._in_second.get(kind, 0) + 1
        self._in_second[kind] = count
        if count > limit:
            self._leave_out(kind)
            return False
        return True

    def _queue(self, kind: str, fields: dict[str, typing.Any]) -> None:
        if len(self._waiting) >= _MAX_WAITING:
            self._leave_out(kind)
            return
        wall_s = self._wall_s()
        line = {"time": round(wall_s, 4), "daemon": self.daemon, "event": kind}
        text = json.dumps(line | _rounded(fields), default=str)
        self._waiting.append(text.encode() + b"\n")
        self.written += 1

    def _leave_out(self, kind: str) -> None:
        self.left_out[kind] = self.left_out.get(kind, 0) + 1
        self._unreported[kind] = self._unreported.get(kind, 0) + 1

    def _report_left_out(self) -> None:
        unreported, self._unreported = self._unreported, {}
        for kind, count in unreported.items():
            self._queue(
                events.LinesLeftOut.__name__, {"kind": kind, "count": count}
            )

    def _has_room(self) -> bool:
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        ready = poll.poll(0)
        return bool(ready) and bool(ready[0][1] & select.POLLOUT)


class LogbookHandler(logbook.Handler):  # type: ignore[misc]
    """Sends the records of libraries and clients to the same writer."""

    def __init__(self, writer: Writer, level: str) -> None:
        super().__init__(level)
        self.writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Queues one record."""
        self.writer.message(
            {
                "level": record.level_name,
                "channel": record.channel,
                "message": record.message,
                **record.kwargs,
            }
        )


def _rounded(fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
    return {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in fields.items()
    }
