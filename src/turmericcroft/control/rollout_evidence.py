"""Counts each attempt at a server as evidence on its software version.

An answer that hangs is counted as soon as it is late, not at its time-out.
Otherwise the answers that arrive would decide the verdict alone.
"""

import asyncio
import math
from collections.abc import Callable

import aioprometheus

from turmericcroft.control import process_delays
from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
from turmericcroft.fleet import positions
from turmericcroft.gateway import answer
from turmericcroft.gateway import sending
from turmericcroft.gateway import state as states
from turmericcroft.rollouts import evidence
from turmericcroft.rollouts import notes

# Shortest prediction, and shortest time that is told from it. Within it, delays
# of this process and of the network exceed the server's.
_MIN_TIME_S = 0.02
_MIN_GAP_S = 0.005
# Part of an attempt's time in which this process did not run, from which on a
# time-out may not be the server's.
_DELAYED_PART = 0.5
# Prompt tokens to prefill, by which size classes are told apart: one for each
# factor of 8. Requests without a prompt are all of one class.
_SIZE_CLASS_FACTOR = 8
_SMALLEST_CLASS_TOKENS = 64
# Gaps from which the mean of a stream is judged.
_MIN_GAPS = 4
_GAPS = "gaps/"
_FIRST_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500


class Recorder:
    """Judges this daemon's attempts and adds them to the fleet's counters."""

    def __init__(self, state: states.State) -> None:
        self.state = state
        self.baseline = evidence.LatencyBaseline()
        self.delays = process_delays.ProcessDelays()
        self.answers = aioprometheus.Counter(
            "turmericcroft_rollout_answers_total",
            "Answers during rollouts, by software version and outcome.",
            registry=state.metrics.registry,
        )

    def begin(
        self, attempt: sending.Attempt
    ) -> Callable[[answer.Outcome | None, bool], None]:
        """Observes an attempt; returns what its end must be told to."""
        return _Observation(self, attempt).end

    def count(
        self,
        order: notes.Order,
        version: str,
        route: str,
        size_class: str,
        outcome: evidence.Outcome,
    ) -> None:
        """Counts one outcome, for the fleet and as a metric."""
        counters = self.state.counters
        evidence.record(counters, order, version, route, size_class, outcome)
        self.answers.inc(
            {
                "service": order.service,
                "version": version,
                "outcome": outcome.value,
            }
        )


class _Observation:
    """One attempt until it was judged."""

    def __init__(self, recorder: Recorder, attempt: sending.Attempt) -> None:
        self._recorder = recorder
        self._attempt = attempt
        self._server = attempt.load.selection.server
        self._route = attempt.admitted.route.name
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._judged: evidence.Outcome | None = None
        selection = attempt.load.selection
        tokens = selection.prefill_tokens / _SMALLEST_CLASS_TOKENS
        self._size_class = str(
            int(math.log(max(1.0, tokens), _SIZE_CLASS_FACTOR))
        )
        predicted_s = selection.first_event_s
        if attempt.admitted.service.engine is None:
            # The wait for a slot alone, which says nothing of the work.
            predicted_s += attempt.admitted.route.target_latency_s
        self._predicted_s = max(predicted_s, _MIN_TIME_S)
        now_s = self._loop.time()
        self._delayed_before_s = recorder.delays.total_s(now_s)
        self._delayed_before_gaps_s = 0.0
        note = recorder.state.rollouts.decided(self._server.service, now_s)
        self._order = _order_in_progress(note)
        self._is_on_trial = (
            self._order is not None
            and self._order.target == self._server.software_version
        )
        self._count(
            evidence.Outcome.SENT
            if attempt.number <= 1
            else evidence.Outcome.SENT_AGAIN
        )
        attempt.reader.first_event.add_done_callback(self._on_first_event)
        attempt.reader.outcome.add_done_callback(self._stop_timer)
        limit = recorder.baseline.limit(
            self._server.service, self._route, self._size_class
        )
        self._limit_s = limit * self._predicted_s
        if self._order is not None and attempt.is_new_execution:
            self._timer = self._loop.call_later(self._limit_s, self._judge_late)

    def end(self, outcome: answer.Outcome | None, is_excused: bool) -> None:
        """Judges the attempt by how it ended.

        Args:
            outcome: How the response ended; None after a time-out.
            is_excused: Whether a loss is not the server's fault.
        """
        self._stop_timer()
        took_s = self._loop.time() - self._attempt.sent_at_s
        match outcome:
            case answer.StreamCompleted():
                self._judge_gaps()
            case answer.CompleteResponse() if answer.proves_not_run(outcome):
                pass
            case answer.CompleteResponse(status=status):
                if status >= _FIRST_SERVER_ERROR_STATUS:
                    self._judge_failed()
                elif status < _FIRST_ERROR_STATUS:
                    self._judge_time(took_s)
            case answer.ResponseLost() | None:
                if not (
                    is_excused
                    or self._is_leaving()
                    or (outcome is None and self._was_delayed())
                ):
                    self._judge_failed()

    def _on_first_event(self, first_event: asyncio.Future[None]) -> None:
        if first_event.cancelled():
            return
        # The headers of another response say nothing of when it is complete.
        began_at_s = self._attempt.reader.first_event_at_s
        if began_at_s is not None:
            self._stop_timer()
            self._judge_time(began_at_s - self._attempt.sent_at_s)
            self._delayed_before_gaps_s = self._delayed_s()

    def _judge_late(self) -> None:
        """Judges an answer that has not arrived when its limit has passed."""
        took_s = self._loop.time() - self._attempt.sent_at_s
        left_s = self._limit_s - (took_s - self._delayed_s())
        if left_s <= 0.0:
            self._judge(evidence.Outcome.BAD, "late")
            return
        # It may have arrived while this process did not run.
        self._timer = self._loop.call_later(
            max(left_s, _MIN_TIME_S), self._judge_late
        )

    def _judge_time(self, took_s: float) -> None:
        """Judges an answer, or the first event of a stream, by its time."""
        took_s = max(_MIN_TIME_S, took_s - self._delayed_s())
        is_slow = self._attempt.is_new_execution and (
            self._recorder.baseline.is_slow(
                self._server.service,
                self._route,
                self._size_class,
                took_s,
                self._predicted_s,
            )
        )
        if is_slow:
            self._judge(evidence.Outcome.BAD, "slow")
        else:
            self._judge(evidence.Outcome.GOOD)
        self._learn(took_s)

    def _learn(self, took_s: float) -> None:
        if self._attempt.is_new_execution and not self._is_on_trial:
            self._recorder.baseline.record(
                self._server.service,
                self._route,
                self._size_class,
                took_s,
                self._predicted_s,
            )

    def _judge_gaps(self) -> None:
        gaps_s = self._attempt.reader.event_gaps_s
        engine = self._attempt.admitted.service.engine
        if engine is None or len(gaps_s) < _MIN_GAPS:
            return
        speed = self._recorder.state.engine_speed(self._server.service).speed
        predicted_s = max(speed.step_s * engine.tokens_per_event, _MIN_GAP_S)
        delayed_s = self._delayed_s() - self._delayed_before_gaps_s
        mean_s = max(0.0, sum(gaps_s) - delayed_s) / len(gaps_s)
        baseline = self._recorder.baseline
        key = self._server.service, self._route, _GAPS + self._size_class
        if baseline.is_slow(*key, mean_s, predicted_s):
            self._judge_failed("slow events")
        if not self._is_on_trial:
            baseline.record(*key, mean_s, predicted_s)

    def _judge_failed(self, cause: str = "failed") -> None:
        if self._judged is evidence.Outcome.GOOD:
            self._judged = evidence.Outcome.BAD
            self._count(evidence.Outcome.TURNED_BAD)
            self._log_bad(cause)
        else:
            self._judge(evidence.Outcome.BAD, cause)

    def _judge(self, outcome: evidence.Outcome, cause: str = "") -> None:
        if self._judged is None:
            self._judged = outcome
            self._count(outcome)
            if outcome is evidence.Outcome.BAD:
                self._log_bad(cause)

    def _log_bad(self, cause: str) -> None:
        if self._order is not None:
            self._recorder.state.log.write(
                events.RolloutAnswerBad(
                    request_id=self._attempt.reader.request_id,
                    service=self._server.service,
                    route=self._route,
                    server=self._server.name,
                    version=self._server.software_version,
                    cause=cause,
                    took_s=self._loop.time() - self._attempt.sent_at_s,
                    limit_s=self._limit_s,
                )
            )

    def _count(self, outcome: evidence.Outcome) -> None:
        if self._order is not None:
            self._recorder.count(
                self._order,
                self._server.software_version,
                self._route,
                self._size_class,
                outcome,
            )

    def _delayed_s(self) -> float:
        """Time for which this process did not run since the attempt began."""
        total_s = self._recorder.delays.total_s(self._loop.time())
        return total_s - self._delayed_before_s

    def _was_delayed(self) -> bool:
        """Whether a time-out passed while this process mostly did not run."""
        took_s = self._loop.time() - self._attempt.sent_at_s
        return self._delayed_s() >= _DELAYED_PART * took_s

    def _is_leaving(self) -> bool:
        """Whether the server ended as it announced."""
        record = self._recorder.state.directory.records.get(self._server.name)
        return (
            record is None
            or record.server.incarnation != self._server.incarnation
            or record.state is directory.ServerState.LEAVING
        )

    def _stop_timer(self, _: object = None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def order_of(note: notes.RolloutNote) -> notes.Order:
    """Returns the order that a note is on."""
    return notes.Order(
        note.service,
        note.target,
        note.duration_s,
        positions.StorePosition(note.era, note.revision),
    )


def _order_in_progress(note: notes.RolloutNote | None) -> notes.Order | None:
    if note is None or notes.read_phase(note).is_final:
        return None
    return order_of(note)
