"""An accepted request and the events of its answer so far."""

import asyncio
import typing

import logbook

from turmericcroft import errors
from turmericcroft.answers import events
from turmericcroft.answers import lifecycle
from turmericcroft.answers import request as requests
from turmericcroft.timeline import event
from turmericcroft.timeline import recorder

_LOG = logbook.Logger("answer")
_POSITION_POLL_S = 0.02


class Subscriber(typing.Protocol):
    """Receiver of an answer's events while they are generated."""

    def write(self, data: bytes) -> bool:
        """Writes events.

        Returns:
            Whether the subscriber's buffer has room for more.
        """

    async def drain(self) -> None:
        """Waits until the subscriber's buffer has room for more."""

    def drop(self) -> None:
        """Disconnects the subscriber, which gets no more events."""


class Answer:
    """An answer that is generated independently of its caller's connection.

    Attributes:
        request: The request.
        lifecycle: State of the request.
        buffer: Events so far.
        server: Backend server that generates the answer, or did so last.
        may_have_run: Whether a server, here or before a hand-over, may have
            begun to generate it.
        refusal: Reason why it ended without a complete response, if so.
        started: Set at the first event, or when the request ends before it.
        ended: Set when the answer is complete, ended without a complete
            response or moved to another daemon.
        caller_count: Number of connections that wait for it or follow it.
        delivered: Whether the end of the answer was sent to a caller.
    """

    def __init__(
        self, request: requests.ModelRequest, timeline: recorder.Recorder
    ) -> None:
        self.request = request
        self.lifecycle = lifecycle.Lifecycle()
        self.buffer = events.EventBuffer()
        self.server = ""
        self.may_have_run = False
        self.refusal: errors.Refusal | None = None
        self.started = asyncio.Event()
        self.ended = asyncio.Event()
        self.caller_count = 0
        self.delivered = False
        self._timeline = timeline
        self._subscribers: set[Subscriber] = set()

    def advance(self, chart_event: str, reason: str = "") -> None:
        """Applies an event of the chart and records the new state."""
        self.lifecycle.advance(chart_event)
        self._timeline.record(
            event.RequestChanged(
                request_id=self.request.request_id,
                account=self.request.account,
                state=self.lifecycle.state,
                server=self.server,
                position=self.buffer.position,
                reason=reason,
            )
        )
        if self.lifecycle.ended:
            self.started.set()
            self.ended.set()
            _LOG.info(
                "request ended",
                request_id=self.request.request_id,
                account=self.request.account,
                server=self.server,
                state=self.lifecycle.state,
                events=self.buffer.position,
            )

    def feed(self, chunk: bytes) -> bool:
        """Buffers bytes from the backend server and sends complete events on.

        Returns:
            Whether every subscriber has room for more; if not, await
            ``drain`` before the next read.

        Raises:
            errors.StreamCorruptedError: The buffer rejected the bytes.
        """
        complete = self.buffer.feed(chunk)
        if not complete:
            return True
        if not self.started.is_set():
            self.started.set()
        keeps_up = True
        for subscriber in self._subscribers:
            keeps_up &= subscriber.write(complete)
        return keeps_up

    async def drain(self, timeout_s: float) -> None:
        """Waits until every subscriber has room for more.

        A subscriber without room after the timeout is dropped, so that a
        caller that does not read cannot occupy an engine's slot.
        """
        for subscriber in tuple(self._subscribers):
            try:
                async with asyncio.timeout(timeout_s):
                    await subscriber.drain()
            except TimeoutError:
                self._subscribers.discard(subscriber)
                subscriber.drop()

    def subscribe(self, subscriber: Subscriber, position: int) -> bytes:
        """Adds a subscriber.

        Returns:
            The events after the position; the subscriber must send them
            before those that are written to it.
        """
        missed = self.buffer.after(position)
        self._subscribers.add(subscriber)
        return missed

    async def wait_for_position(self, position: int) -> None:
        """Waits until the answer has reached a position or has ended.

        After the loss of a daemon, its backup daemon starts the answer anew,
        and a caller that reconnects may have received more events than the
        new answer has.
        """
        while self.buffer.position < position and not self.ended.is_set():
            await asyncio.sleep(_POSITION_POLL_S)

    def unsubscribe(self, subscriber: Subscriber) -> None:
        """Removes a subscriber."""
        self._subscribers.discard(subscriber)
