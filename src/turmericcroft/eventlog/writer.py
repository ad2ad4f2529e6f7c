"""Log writer that is bounded in rate and memory and never blocks.

A burst of failures or a stopped log reader thus can't delay requests; lines
beyond the bounds are dropped and counted.
"""

import collections
import json
import os
import select
import time
import typing
from collections.abc import Callable

import logbook
import orjson

from turmericcroft.eventlog import events

# Maximum of lines per second of one kind. The target load, two years ahead, is
# about 115 requests per second and daemon, of which only a part fails.
MAX_LINES_PER_S = {
    events.LinePriority.ROUTINE: 100,
    events.LinePriority.FAILURE: 200,
    events.LinePriority.STATE: 400,
}
# Lines queued while the reader is slow.
_MAX_QUEUED_LINES = 2_000
# A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
_PIPE_BUF_BYTES = 4_096


class Writer:
    """Writes lines to a file descriptor.

    Attributes:
        daemon: Name of this daemon, stated on each line.
        written: Number of lines queued so far.
        dropped: Number of lines dropped, by kind.
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
        self.dropped: dict[str, int] = {}
        self._now_s = now_s
        self._wall_s = wall_s
        self._queued: collections.deque[bytes] = collections.deque()
        self._current_second = 0
        self._lines_this_second: dict[str, int] = {}
        self._unreported_drops: dict[str, int] = {}

    def write(self, event: events.Event) -> None:
        """Queues an event's line; drops it if there are too many."""
        kind = type(event).__name__
        limit = MAX_LINES_PER_S[events.line_priority(event)]
        if not self._admit(kind, limit):
            return
        self._queue(kind, vars(event))

    def write_message(self, fields: dict[str, typing.Any]) -> None:
        """Queues a free-form line; drops it if there are too many."""
        if self._admit("Message", MAX_LINES_PER_S[events.LinePriority.FAILURE]):
            self._queue("Message", fields)

    def flush(self) -> None:
        """Writes as many queued lines as possible without blocking."""
        while self._queued and self._is_writable():
            batch = self._queued.popleft()
            while (
                self._queued
                and len(batch) + len(self._queued[0]) <= _PIPE_BUF_BYTES
            ):
                batch += self._queued.popleft()
            sent = os.write(self.descriptor, batch[:_PIPE_BUF_BYTES])
            if sent < len(batch):
                self._queued.appendleft(batch[sent:])

    def _admit(self, kind: str, limit: int) -> bool:
        second = int(self._now_s())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = {}
            self._report_drops()
        count = self._lines_this_second.get(kind, 0) + 1
        self._lines_this_second[kind] = count
        if count > limit:
            self._drop(kind)
            return False
        return True

    def _queue(self, kind: str, fields: dict[str, typing.Any]) -> None:
        if len(self._queued) >= _MAX_QUEUED_LINES:
            self._drop(kind)
            return
        wall_s = self._wall_s()
        line = {"time": round(wall_s, 4), "daemon": self.daemon, "event": kind}
        self._queued.append(_encode(line | _round_floats(fields)) + b"\n")
        self.written += 1

    def _drop(self, kind: str) -> None:
        self.dropped[kind] = self.dropped.get(kind, 0) + 1
        self._unreported_drops[kind] = self._unreported_drops.get(kind, 0) + 1

    def _report_drops(self) -> None:
        drops, self._unreported_drops = self._unreported_drops, {}
        for kind, count in drops.items():
            self._queue(
                events.LinesLeftOut.__name__, {"kind": kind, "count": count}
            )

    def _is_writable(self) -> bool:
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        ready = poll.poll(0)
        return bool(ready) and bool(ready[0][1] & select.POLLOUT)


class LogbookHandler(logbook.Handler):  # type: ignore[misc]
    """Passes records of logbook loggers to a writer."""

    def __init__(self, writer: Writer, level: str) -> None:
        super().__init__(level)
        self.writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Queues one record."""
        self.writer.write_message(
            {
                "level": record.level_name,
                "channel": record.channel,
                "message": record.message,
                **record.kwargs,
            }
        )


def _encode(line: dict[str, typing.Any]) -> bytes:
    """Encodes a line; orjson takes a tenth of the time of the json module."""
    try:
        return orjson.dumps(line, default=str)
    except orjson.JSONEncodeError:
        # Integers of more than 64 bits, or text that is no valid Unicode.
        return json.dumps(line, default=str).encode()


def _round_floats(fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
    return {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in fields.items()
    }
