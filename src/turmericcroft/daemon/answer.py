"""One accepted request and its answer so far."""

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
_REACH_POLL_S = 0.02


class Subscriber(typing.Protocol):
    """Somebody who follows an answer while it is made."""

    def write(self, data: bytes) -> bool:
        """Takes events.

        Returns:
            Whether there is room for more.
        """

    async def drain(self) -> None:
        """Waits until there is room for more."""

    def drop(self) -> None:
        """Is told that it gets no more events."""


class Answer:
    """An answer, made independently of its caller's connection.

    Attributes:
        request: The request.
        life: State of the request.
        buffer: Events so far.
        server: Backend server that makes the answer now, or made it.
        refusal: Why it was given up, if it was.
        started: Set when the first event is there, or the end came before.
        ended: Set when the answer is whole, given up or elsewhere.
        caller_count: Connections that wait for it or follow it.
        delivered: Whether a caller was sent its end.
    """

    def __init__(
        self, request: requests.ModelRequest, timeline: recorder.Recorder
    ) -> None:
        self.request = request
        self.lifecycle = lifecycle.Lifecycle()
        self.buffer = events.EventBuffer()
        self.server = ""
        self.refusal: errors.Refusal | None = None
        self.started = asyncio.Event()
        self.ended = asyncio.Event()
        self.caller_count = 0
        self.delivered = False
        self._timeline = timeline
        self._subscribers: set[Subscriber] = set()

    def advance(self, transition: str, reason: str = "") -> None:
        """Moves the request along its chart and records it."""
        self.lifecycle.advance(transition)
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
        """Takes in bytes from the backend server and passes them on.

        Returns:
            Whether every follower keeps up; if not, wait for ``drain``.

        Raises:
            errors.StreamGarbledError: A position is missing or repeated.
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
        """Waits until every follower has room again.

        A follower that has none after the timeout is dropped, so that a
        caller that never reads does not keep an engine's slot.
        """
        for subscriber in tuple(self._subscribers):
            try:
                async with asyncio.timeout(timeout_s):
                    await subscriber.drain()
            except TimeoutError:
                self._subscribers.discard(subscriber)
                subscriber.drop()

    def subscribe(self, subscriber: Subscriber, position: int) -> bytes:
        """Adds a follower.

        Returns:
            The events after the position, which the follower must send
            before any that it is given later.
        """
        missed = self.buffer.after(position)
        self._subscribers.add(subscriber)
        return missed

    async def wait_for_position(self, position: int) -> None:
        """Waits until the answer is as far as its caller already was.

        After a daemon was lost, the answer begins again on its buddy, and
        the caller may be ahead of it.
        """
        while self.buffer.position < position and not self.ended.is_set():
            await asyncio.sleep(_REACH_POLL_S)

    def unsubscribe(self, subscriber: Subscriber) -> None:
        """Removes a follower."""
        self._subscribers.discard(subscriber)
