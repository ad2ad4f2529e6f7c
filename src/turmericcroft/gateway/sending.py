"""One attempt: a request sent to one backend server, and the wait for its end.

A server that fell silent would hold a request until its deadline. A request
that may be retried therefore waits only a multiple of its expected latency.
"""

import asyncio
import statistics
import typing
from collections.abc import Callable

from turmericcroft.gateway import admission
from turmericcroft.gateway import answer
from turmericcroft.gateway import crash_detection
from turmericcroft.gateway import facts
from turmericcroft.gateway import server_selection
from turmericcroft.gateway import state as states
from turmericcroft.gateway import upstream
from turmericcroft.responses import ending
from turmericcroft.server_checks import ends

# A request that may run again is retried at another server after this multiple
# of its expected latency, but not before _MIN_TIMEOUT_S: the longest plain
# requests take 0.22 s by the sites' figures.
_TIMEOUT_LATENCIES = 2.5
_MIN_TIMEOUT_S = 0.25
# The multiple for the first event of a stream, which is predicted less well.
_STREAM_TIMEOUT_LATENCIES = 2.0
# A stream without an event for this multiple of the declared gap has stalled,
# but not before _MIN_STALL_TIMEOUT_S: engines preempt requests for up to about
# a second, and clients wait for an event for at least two seconds.
_STALL_TIMEOUT_GAPS = 4.0
_MIN_STALL_TIMEOUT_S = 1.5
# Gaps between events from which the time of a decoding step is learned.
_MIN_GAPS = 4
# How often a request that is due for a retry checks whether there are a server
# and a retry budget for it.
CONTINUATION_POLL_S = 0.25


def make_context(
    admitted: admission.Admitted,
    selection: server_selection.Selection,
    forwarder: answer.StreamForwarder | None,
    kv_cache_source: str | None,
    now_s: float,
) -> facts.AttemptContext:
    """Collects what the gateway adds to a request for one attempt.

    Args:
        admitted: Result of the request's admission.
        selection: The chosen server.
        forwarder: Forwards the stream to the client; None for other responses.
        kv_cache_source: Where the server can fetch the KV cache of a migrated
            execution; None to start a new one.
        now_s: Monotonic time.
    """
    resume_after = weights_version = None
    if forwarder is not None:
        weights_version = forwarder.weights_version
        forwarder.sequence.drop_pending()
        if forwarder.sequence.position or kv_cache_source is not None:
            resume_after = forwarder.sequence.position
    fetch_from = None
    if selection.fetch_from is not None and kv_cache_source is None:
        source = selection.fetch_from
        fetch_from = f"{source.host}:{source.port}"
    return facts.AttemptContext(
        server=selection.server.name,
        account=admitted.account or None,
        remaining_s=admitted.deadline_at_s - now_s,
        priority=admitted.priority,
        resume_after=resume_after,
        kv_cache_source=kv_cache_source,
        fetch_prefix_from=fetch_from,
        weights_version=weights_version,
    )


class Attempt:
    """One sending of a request to one backend server.

    Attributes:
        admitted: Result of the request's admission.
        load: The attempt's load, counted at its server.
        reader: Reads the response.
        sent_at_s: When the request was sent, monotonic.
        is_new_execution: Whether it continues no earlier execution.
        number: Number of the attempt at the request, from 1.
        is_overdue: Whether the server did not answer in time, which counted as
            its failure.
        is_finished: Whether its end was counted.
    """

    def __init__(
        self,
        state: states.State,
        admitted: admission.Admitted,
        selection: server_selection.Selection,
        connection: upstream.Connection,
        reader: answer.ResponseReader,
        is_new_execution: bool,
        number: int,
    ) -> None:
        self.state = state
        self.admitted = admitted
        self.reader = reader
        self._loop = asyncio.get_running_loop()
        self.is_new_execution = is_new_execution
        self.number = number
        self.is_overdue = False
        self.is_finished = False
        self._connection: upstream.Connection | None = connection
        self.sent_at_s = self._loop.time()
        self.load = server_selection.AttemptLoad(
            state,
            selection,
            admitted.service.engine is not None,
            self.sent_at_s,
        )
        self._observe_end = state.observe_attempt(self)

    async def wait_for_outcome(
        self,
        wait_until_deadline: bool,
        may_try_elsewhere: Callable[[], bool],
    ) -> answer.Outcome | None:
        """Waits for the end of the response.

        Args:
            wait_until_deadline: Whether to wait for the first event until the
                deadline, not only a multiple of the expected latency.
            may_try_elsewhere: Tells whether the request may be sent to another
                server now.

        Returns:
            The outcome; None after a timeout.
        """
        reader = self.reader
        futures: set[asyncio.Future[typing.Any]] = {
            reader.first_event,
            reader.outcome,
        }
        await self._wait(
            futures, self._first_event_timeout_at_s(wait_until_deadline)
        )
        # Ending this attempt without another one would fail the request.
        while not any(f.done() for f in futures) and not may_try_elsewhere():
            now_s = self._loop.time()
            if now_s >= self.admitted.deadline_at_s:
                return None
            await self._wait(futures, now_s + CONTINUATION_POLL_S)
        while reader.first_event.done() and not reader.outcome.done():
            now_s = self._loop.time()
            if now_s >= self.admitted.deadline_at_s:
                return None
            timeout_at_s = (
                reader.stalled_since_s(now_s) + self._stall_timeout_s()
            )
            if now_s >= timeout_at_s:
                if may_try_elsewhere():
                    return None
                timeout_at_s = now_s + CONTINUATION_POLL_S
            await self._wait({reader.outcome}, timeout_at_s)
        return self.outcome

    @property
    def outcome(self) -> answer.Outcome | None:
        """How the response ended; None before that."""
        outcome = self.reader.outcome
        return outcome.result() if outcome.done() else None

    async def check_end(self) -> ending.Conclusion:
        """Checks whether a response that ended at the close is complete."""
        assert self._connection is not None
        server = self.load.selection.server
        record = self.state.directory.records.get(server.name)
        leaves_at_s = self._connection.closed_at_s
        if record is not None and record.server.incarnation == (
            server.incarnation
        ):
            leaves_at_s = record.leaves_at_s
        return await ends.check(
            self.state,
            server,
            ending.ClosedResponse(
                self.reader.request_id,
                server.name,
                server.started_at_ms,
                self.sent_at_s,
                self._connection.closed_at_s,
                self._connection.received_at_s,
                leaves_at_s,
                self.admitted.deadline_at_s,
            ),
        )

    def finish(
        self, outcome: answer.Outcome | None, was_migrated: bool
    ) -> float:
        """Updates the server's load and failures and releases the connection.

        Only a connection whose response is complete goes back to the pool.

        Args:
            outcome: How the response ended; None after a timeout.
            was_migrated: Whether the execution was migrated or its migration is
                in progress, so that a loss is not a failure of the server.

        Returns:
            Duration of the attempt in seconds.
        """
        server, now_s = self.load.selection.server, self._loop.time()
        took_s = now_s - self.sent_at_s
        self.is_finished = True
        self.load.end()
        # A loss on the way through another daemon may be that daemon's end.
        is_relayed = (
            self._connection is not None and self._connection.relayed_by != ""
        )
        is_excused = was_migrated or is_relayed
        if isinstance(outcome, answer.ResponseLost):
            is_excused = is_excused or outcome.is_excused
        self._observe_end(outcome, is_excused)
        # It refers to this attempt, and so kept the response in memory.
        self._observe_end = lambda _outcome, _is_excused: None
        match outcome:
            case answer.StreamCompleted():
                self.state.loads.record_success(server.name, took_s)
                self._record_step_time()
                self._record_output()
            case answer.CompleteResponse():
                server_selection.record_response(
                    self.state, server, outcome, took_s, now_s
                )
                if answer.is_success(outcome):
                    self.state.placer.record_response(
                        self.load.selection.placement, took_s
                    )
            case answer.ResponseLost(cause):
                if self.reader.is_closed_stream:
                    self.state.metrics.ends_checked.inc(
                        {"conclusion": "stream"}
                    )
                if not is_excused and not self.is_overdue:
                    self.state.record_failure(server, cause, now_s)
                return took_s
            case None:
                if not was_migrated:
                    self.record_overdue()
                return took_s
        connection, self._connection = self._connection, None
        assert connection is not None
        self.state.pool.release(server, connection)
        return took_s

    def record_overdue(self) -> None:
        """Counts one failure of a server that did not answer in time."""
        if not self.is_overdue:
            self.is_overdue = True
            server, now_s = self.load.selection.server, self._loop.time()
            self.state.record_failure(server, "no answer in time", now_s)

    def record_first_event(self, took_s: float) -> None:
        """Learns from the first event of a stream that nothing waited before.

        Args:
            took_s: Time from the sending of the request to the event.
        """
        selection = self.load.selection
        if (
            self.is_new_execution
            and selection.fetch_from is None
            and not selection.load.prefill_tokens
            and self.state.placer.shows_speed(
                selection.placement, self._loop.time()
            )
        ):
            estimate = self.state.engine_speed(selection.server.service)
            estimate.record_first_event(selection.prefill_tokens, took_s)

    def _record_output(self) -> None:
        engine, forwarder = self.admitted.service.engine, self.reader.forwarder
        if engine is not None and forwarder is not None:
            self.state.placer.record_output(
                self.load.selection.placement,
                forwarder.sequence.position * engine.tokens_per_event,
            )

    def _record_step_time(self) -> None:
        engine = self.admitted.service.engine
        gaps_s = self.reader.event_gaps_s
        if engine is None or len(gaps_s) < _MIN_GAPS:
            return
        server = self.load.selection.server
        running = self.state.engine_loads.total(server.name).running + 1
        undisturbed_s = statistics.quantiles(gaps_s, n=5)[0]
        self.state.engine_speed(server.service).record_step(
            running, undisturbed_s / engine.tokens_per_event
        )
        self.state.log_engine_speed(server.service)

    @property
    def is_answered(self) -> bool:
        """Whether the server has sent events for some time.

        It has begun to answer the request then, and has not crashed by it.
        """
        began_at_s = self.reader.first_event_at_s
        if began_at_s is None:
            return False
        answered_s = self.reader.progress_at_s - began_at_s
        return answered_s >= crash_detection.ANSWER_PROVEN_S

    def cancel(self) -> None:
        """Closes the connection, upon which the server stops the execution."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
        self.load.end()
        if not self.reader.outcome.done():
            self.reader.outcome.set_result(
                answer.ResponseLost("dropped", False)
            )

    async def _wait(
        self, futures: set[asyncio.Future[typing.Any]], timeout_at_s: float
    ) -> None:
        """Waits until a future is done or the time or the deadline has come."""
        timeout_at_s = min(timeout_at_s, self.admitted.deadline_at_s)
        await asyncio.wait(
            futures,
            timeout=max(0.0, timeout_at_s - self._loop.time()),
            return_when=asyncio.FIRST_COMPLETED,
        )

    def _stall_timeout_s(self) -> float:
        """Time without progress after which a response counts as stalled."""
        gap_s = self.admitted.route.target_event_gap_s
        return max(_MIN_STALL_TIMEOUT_S, _STALL_TIMEOUT_GAPS * gap_s)

    def _first_event_timeout_at_s(self, wait_until_deadline: bool) -> float:
        """Time at which to stop waiting for the first event, monotonic."""
        route = self.admitted.route
        if wait_until_deadline:
            return self.admitted.deadline_at_s
        factor = (
            _STREAM_TIMEOUT_LATENCIES if route.streaming else _TIMEOUT_LATENCIES
        )
        # The prediction includes the work queued at a busy server.
        expected_s = route.target_latency_s + self.load.selection.first_event_s
        return self.sent_at_s + max(_MIN_TIMEOUT_S, factor * expected_s)
