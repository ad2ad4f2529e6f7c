"""One send of a request to one server: what it says, its wait, its end."""

import asyncio
import typing
from collections.abc import Callable

from turmericcroft.gateway import admission
from turmericcroft.gateway import answer
from turmericcroft.gateway import facts
from turmericcroft.gateway import picking
from turmericcroft.gateway import state as states
from turmericcroft.gateway import upstream

# A request that may run again is tried at another server after this many
# times its expected latency, and not before the shortest time: a plain request
# of the longest work takes 0.22 s (sites' figures).
_TRY_LATENCIES = 2.5
_MIN_TRY_S = 0.25
# The same for the first event of a stream, whose prediction is less sure.
_STREAM_TRY_LATENCIES = 2.0
# How often a request without a repeat to spend looks for one.
_BUDGET_CHECK_S = 0.25


def make_context(
    admitted: admission.Admitted,
    pick: picking.Pick,
    relay: answer.Relay | None,
    memory_source: str | None,
    now_s: float,
) -> facts.SendContext:
    """Says what the gateway adds to a request.

    Args:
        admitted: How the request was admitted.
        pick: The server that is meant.
        relay: The stream that the client has so far, if it asks for one.
        memory_source: Where the memory of the run is, if it was moved.
        now_s: Monotonic time.
    """
    resume_after = None
    if relay is not None:
        relay.sequence.drop_pending()
        if relay.sequence.position or memory_source is not None:
            resume_after = relay.sequence.position
    fetch_from = None
    if pick.fetch_from is not None and memory_source is None:
        source = pick.fetch_from
        fetch_from = f"{source.host}:{source.port}"
    return facts.SendContext(
        server=pick.server.name,
        account=admitted.account or None,
        remaining_s=admitted.deadline_at_s - now_s,
        priority=admitted.priority,
        resume_after=resume_after,
        memory_source=memory_source,
        fetch_head_from=fetch_from,
    )


class Send:
    """A request that is at a server.

    Attributes:
        admitted: How the request was admitted.
        slip: Counts it at the server.
        reader: Takes in the answer.
        sent_at_s: When it was sent, monotonic.
    """

    def __init__(
        self,
        state: states.State,
        admitted: admission.Admitted,
        pick: picking.Pick,
        connection: upstream.Connection,
        reader: answer.AnswerReader,
    ) -> None:
        self.state = state
        self.admitted = admitted
        self.reader = reader
        self._loop = asyncio.get_running_loop()
        self._connection: upstream.Connection | None = connection
        self.sent_at_s = self._loop.time()
        self.slip = picking.Slip(
            state, pick, admitted.service.engine is not None, self.sent_at_s
        )

    async def outcome(
        self, is_last: bool, may_repeat: Callable[[], bool]
    ) -> answer.Outcome | None:
        """Waits for the end of the answer.

        Args:
            is_last: Whether no other server may be tried.
            may_repeat: Tells whether there is a repeat to spend now.

        Returns:
            How it ended; None if time ran out.
        """
        reader = self.reader
        waiting: set[asyncio.Future[typing.Any]] = {
            reader.first_event,
            reader.outcome,
        }
        await self._wait(waiting, self._first_event_by(is_last))
        # Without a repeat to spend, the server that has it is the only hope.
        while not any(f.done() for f in waiting) and not may_repeat():
            now_s = self._loop.time()
            if now_s >= self.admitted.deadline_at_s:
                return None
            await self._wait(waiting, now_s + _BUDGET_CHECK_S)
        if reader.first_event.done() and not reader.outcome.done():
            await self._wait({reader.outcome}, self.admitted.deadline_at_s)
        return reader.outcome.result() if reader.outcome.done() else None

    def end(self, outcome: answer.Outcome | None, was_moved: bool) -> float:
        """Learns from the end, and frees the connection after a whole answer.

        Args:
            outcome: How the answer ended.
            was_moved: Whether the run was moved away, so that the server is
                not to blame.

        Returns:
            How long the send took, in seconds.
        """
        server, now_s = self.slip.pick.server, self._loop.time()
        took_s = now_s - self.sent_at_s
        self.slip.end()
        match outcome:
            case answer.StreamEnded():
                self.state.loads.succeed(server.name, took_s)
            case answer.Whole():
                picking.learn(self.state, server, outcome, took_s, now_s)
            case answer.Lost(cause):
                if not was_moved:
                    self.state.record_failure(server, cause, now_s)
                return took_s
            case None:
                if not was_moved:
                    self.state.record_failure(
                        server, "no answer in time", now_s
                    )
                return took_s
        connection, self._connection = self._connection, None
        assert connection is not None
        self.state.pool.give_back(server, connection)
        return took_s

    def drop(self) -> None:
        """Closes the connection to the server, which stops its work."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
        self.slip.end()
        if not self.reader.outcome.done():
            self.reader.outcome.set_result(answer.Lost("dropped", False))

    async def _wait(
        self, waiting: set[asyncio.Future[typing.Any]], until_s: float
    ) -> None:
        """Waits for the first of some results, up to the deadline."""
        until_s = min(until_s, self.admitted.deadline_at_s)
        await asyncio.wait(
            waiting,
            timeout=max(0.0, until_s - self._loop.time()),
            return_when=asyncio.FIRST_COMPLETED,
        )

    def _first_event_by(self, is_last: bool) -> float:
        """When to stop waiting for the first event."""
        route = self.admitted.route
        if is_last:
            return self.admitted.deadline_at_s
        factor = _STREAM_TRY_LATENCIES if route.streaming else _TRY_LATENCIES
        # A busy server is given the time that was foreseen for it.
        expected_s = route.target_latency_s + self.slip.pick.first_event_s
        return self.sent_at_s + max(_MIN_TRY_S, factor * expected_s)
