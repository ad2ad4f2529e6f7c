"""Forwards the events of an engine's stream to the subscribers of the answer.

Reading from the engine is paused while a subscriber's buffer is full and while
the engine is faster than its target.
"""

import asyncio
import typing

from turmericcroft import errors
from turmericcroft.answers import pacing
from turmericcroft.backends import engine
from turmericcroft.daemon import answer as answers

_TICK_S = 0.005
_DRAIN_TIMEOUT_S = 30.0


class Ticker:
    """Resumes paused streams with one timer, instead of one per stream."""

    def __init__(self) -> None:
        self._due: dict[int, list[engine.EngineStream]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def resume_at(self, at_s: float, stream: engine.EngineStream) -> None:
        """Resumes a paused stream within one tick of a given time."""
        self._due.setdefault(int(at_s / _TICK_S), []).append(stream)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_TICK_S, self._tick)

    def close(self) -> None:
        """Stops the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        now = int(loop.time() / _TICK_S)
        for key in sorted(key for key in self._due if key <= now):
            for stream in self._due.pop(key):
                stream.resume()
        self._timer = None
        if self._due:
            self._timer = loop.call_later(_TICK_S, self._tick)


class StreamForwarder:
    """Forwards one engine stream to an answer."""

    def __init__(
        self,
        answer: answers.Answer,
        stream: engine.EngineStream,
        ticker: Ticker,
    ) -> None:
        self.answer = answer
        self.stream = stream
        self._ticker = ticker
        self._loop = asyncio.get_running_loop()
        self._pacer = pacing.Pacer(answer.request.between_tokens_s)
        self._done: asyncio.Future[None] = self._loop.create_future()
        self._drain_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Forwards events until the answer is complete.

        Raises:
            errors.BackendError: The stream was lost or is malformed.
        """
        self.stream.set_body_callback(self._on_data)
        self.stream.ended.add_done_callback(self._on_end)
        try:
            await self._done
        finally:
            if self._drain_task is not None:
                self._drain_task.cancel()

    def _on_data(self, data: bytes) -> None:
        if self._done.done():
            return
        before = self.answer.buffer.position
        try:
            keeps_up = self.answer.feed(data)
        except errors.StreamCorruptedError as error:
            self._done.set_exception(error)
            return
        if self.answer.buffer.finished:
            self._done.set_result(None)
        elif not keeps_up:
            self.stream.pause()
            self._drain_task = asyncio.ensure_future(self._drain())
        else:
            self._pace(self.answer.buffer.position - before)

    def _pace(self, tokens: int) -> None:
        now_s = self._loop.time()
        pause_s = self._pacer.pause_s(tokens, now_s)
        if pause_s:
            self.stream.pause()
            self._ticker.resume_at(now_s + pause_s, self.stream)

    async def _drain(self) -> None:
        await self.answer.drain(_DRAIN_TIMEOUT_S)
        self.stream.resume()

    def _on_end(self, ended: "asyncio.Future[typing.Any]") -> None:
        if self._done.done():
            return
        error = ended.exception() or errors.BackendLostError(
            "expected the end of the answer, found the end of the connection"
        )
        self._done.set_exception(error)
