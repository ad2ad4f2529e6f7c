"""One request of a client, from its arrival to its end."""

import asyncio

from turmericcroft import errors
from turmericcroft.answers import lifecycle
from turmericcroft.fleet import directory
from turmericcroft.gateway import admission
from turmericcroft.gateway import answer
from turmericcroft.gateway import client
from turmericcroft.gateway import moving
from turmericcroft.gateway import picking
from turmericcroft.gateway import progress as progresses
from turmericcroft.gateway import replying
from turmericcroft.gateway import sending
from turmericcroft.gateway import state as states
from turmericcroft.gateway import upstream

# What must not run twice goes out on a connection that was just in use: a
# reset of an older one after bytes went out proves nothing.
_PROVEN_IDLE_S = 1.0
# Most sends of one request, those that did not run included.
_MAX_SENDS = 4
# Connections that could not be opened, after which a request gives up.
_MAX_UNREACHED = 4
# Less time than this is no use to a server.
_MIN_REMAINING_S = 0.01
# Requests leave full servers within about this time.
_FULL_RETRY_S = 0.5
_SERVER_ERROR = 500
# Statuses that promise that a request did not run.
_PROMISES = (408, 421, 429, 503)


class Exchange:
    """One request and its answer.

    Attributes:
        request: The client's request.
        facts: What its headers say.
        admitted: How it was admitted; None before.
        progress: How far it got.
        log: Writes its log lines.
        life: Its state.
        reply: What the client is answered.
        move: A move of its run to another server, if one is under way.
    """

    def __init__(
        self,
        request: client.Request,
        connection: client.ClientConnection,
        state: states.State,
    ) -> None:
        self.request = request
        self.state = state
        self.facts = state.dialect.read_request(request.headers)
        self.admitted: admission.Admitted | None = None
        self.progress = progresses.Progress()
        self.log = progresses.RequestLog(
            state,
            self.facts.request_id,
            request.received_at_s,
            self.progress,
        )
        self.life = lifecycle.Lifecycle("forwarded")
        self.reply = replying.Reply(
            state, connection, self.facts.request_id, self.log, self.life
        )
        self.move: moving.Move | None = None
        self._loop = asyncio.get_running_loop()
        self._current: sending.Send | None = None

    async def run(self) -> None:
        """Serves the request to its end."""
        self.state.open_requests.add(self)
        try:
            await self._serve()
        finally:
            self.state.open_requests.discard(self)
            self._drop_send()

    def cancel(self) -> None:
        """The client left: stops the work at the server at once."""
        if self.life.ended:
            return
        self.life.advance("client_gone")
        self._drop_send()
        self.log.cancelled(self.reply.events)

    @property
    def is_streaming(self) -> bool:
        """Whether a server is making the stream now."""
        return self.life.state in ("sent", "streaming")

    def _admit(self) -> bool:
        """Judges the request; False if it was refused."""
        now_s = self._loop.time()
        judged = admission.admit(self.request, self.facts, self.state, now_s)
        if isinstance(judged, client.Refusal):
            self.reply.refuse(judged, None)
            return False
        self.admitted = judged
        if judged.route.streaming:
            self.reply.begin_stream(self.facts.resume_after or 0)
        self.state.retry_budget(judged.service.name).note_request(now_s)
        self.log.received(judged)
        self.life.advance("admitted")
        return True

    async def _serve(self) -> None:
        if not self._admit():
            return
        # Servers that can go on with a run that was moved, the best first.
        places: list[directory.Server] = []
        memory_source: str | None = None
        while not self.life.ended:
            if places:
                sent = await self._send(places.pop(0), memory_source)
            elif self._may_start_anew():
                sent = await self._send(None, None)
            else:
                self._give_up("may_have_run", None)
                return
            if not sent:
                continue
            assert self._current is not None
            outcome = await self._current.outcome(
                self._is_last_try(), self._may_repeat
            )
            if self.life.ended:
                return
            moved_to = await self._judge(outcome)
            if moved_to is not None and self.move is not None:
                memory_source = moved_to
                places = [self.move.target, self.move.source]
                self.move = None
            elif not _not_run(outcome):
                places = []

    def _may_start_anew(self) -> bool:
        """Whether a send without the memory of an earlier run is allowed."""
        if self.life.state in ("received", "unsent"):
            return True
        return self._require_admitted().route.may_run_again

    async def _send(
        self, target: directory.Server | None, memory_source: str | None
    ) -> bool:
        """Sends the request once; False if it was not sent."""
        admitted, progress = self._require_admitted(), self.progress
        now_s = self._loop.time()
        remaining_s = admitted.deadline_at_s - now_s
        if remaining_s < _MIN_REMAINING_S:
            self._give_up("deadline", None)
            return False
        if progress.sends >= _MAX_SENDS or progress.unreached > _MAX_UNREACHED:
            self._give_up("too_many_sends", _FULL_RETRY_S)
            return False
        pick = picking.pick(
            self.state, admitted, self.facts, progress.excluded, now_s, target
        )
        if isinstance(pick, picking.NoServer):
            self._give_up(pick.reason, pick.retry_after_s)
            return False
        if progress.sends and memory_source is None and not self._may_repeat():
            self._give_up("retry_budget", _FULL_RETRY_S)
            return False
        may_run_again = admitted.route.may_run_again
        try:
            connection = await self.state.pool.take(
                pick.server,
                float("inf") if may_run_again else _PROVEN_IDLE_S,
            )
        except errors.BackendNotReachedError as error:
            self._not_reached(pick.server, str(error))
            return False
        if self.life.ended:
            self.state.pool.give_back(pick.server, connection)
            return False
        if progress.sends and memory_source is None:
            budget = self.state.retry_budget(admitted.service.name)
            budget.take(self.state.daemons, self._loop.time())
        self._start(connection, pick, memory_source)
        return True

    def _start(
        self,
        connection: upstream.Connection,
        pick: picking.Pick,
        memory_source: str | None,
    ) -> None:
        admitted, progress = self._require_admitted(), self.progress
        now_s = self._loop.time()
        context = sending.make_context(
            admitted, pick, self.reply.relay, memory_source, now_s
        )
        reader = answer.AnswerReader(
            self.facts.request_id,
            self.state.dialect,
            self.reply.relay,
            connection,
            self._note_first_event,
        )
        progress.sends += 1
        progress.server = pick.server
        progress.sent_at_s = now_s
        self.life.advance("sent")
        self.log.sent(pick, context)
        self._current = sending.Send(
            self.state, admitted, pick, connection, reader
        )
        data = upstream.encode(self.request, context, self.state.dialect)
        connection.send(data, reader)

    def _is_last_try(self) -> bool:
        """Whether no other server may be tried after this one."""
        route = self._require_admitted().route
        return (
            not route.may_run_again
            or self.progress.runs + 1 >= route.max_attempts
            or self.reply.events > 0
        )

    async def _judge(self, outcome: answer.Outcome | None) -> str | None:
        """Draws the conclusion from one send.

        Returns:
            Where a moved run's memory is, if it goes on from there.
        """
        progress = self.progress
        assert progress.server is not None
        self._note_end(outcome)
        match outcome:
            case answer.StreamEnded():
                self.reply.end_stream()
            case answer.Whole() if _not_run(outcome):
                self._note_not_run(outcome)
            case answer.Whole():
                self._whole(outcome)
            case answer.Lost():
                return await self._lost(outcome.cause, outcome.began)
            case None:
                self._drop_send()
                now_s = self._loop.time()
                if now_s >= self._require_admitted().deadline_at_s - 0.001:
                    self._lose("deadline", False)
                    self._give_up("deadline", None)
                else:
                    self._lose("no answer in time", False)
                    self._after_loss()
        return None

    def _whole(self, outcome: answer.Whole) -> None:
        """Takes in a complete answer."""
        admitted, progress = self._require_admitted(), self.progress
        if self.reply.relay is not None and self.reply.relay.began:
            # The events that the client has cannot be followed by this.
            self._lose(f"status {outcome.status}", True)
            self._after_loss()
            return
        progress.runs += 1
        if (
            outcome.status >= _SERVER_ERROR
            and admitted.route.may_run_again
            and progress.runs < admitted.route.max_attempts
            and self._may_repeat()
        ):
            progress.last_answer = outcome
            self._lose(f"status {outcome.status}", True)
            return
        self._deliver(outcome)

    def _note_not_run(self, outcome: answer.Whole) -> None:
        """Takes in a server's word that it did not run the request."""
        progress = self.progress
        assert progress.server is not None
        self.life.advance("proved_not_run")
        progress.excluded.add(progress.server.name)
        self.log.not_run(progress.server, outcome.status, "stated")
        if outcome.status == 421:
            change = self.state.directory.reject(
                progress.server, self._loop.time()
            )
            if change is not None:
                self.state.record_server_changes([change], "answer", 0)

    def _not_reached(self, server: directory.Server, cause: str) -> None:
        """Takes in that no connection could be opened: nothing was sent."""
        progress = self.progress
        progress.unreached += 1
        progress.excluded.add(server.name)
        self.state.record_failure(server, cause, self._loop.time())
        self.log.not_run(server, 0, cause)

    async def _lost(self, cause: str, began: bool) -> str | None:
        """Takes in that the answer ended early."""
        self._lose(cause, began)
        if self.move is not None and not self.move.failed:
            memory_source = await self.move.wait()
            if memory_source is not None or self.life.ended:
                return memory_source
        progress = self.progress
        assert progress.server is not None
        assert self.admitted is not None
        moving.watch_for_crash(
            self.state, progress.server, self.admitted.fingerprint
        )
        self._after_loss()
        return None

    def _lose(self, cause: str, began: bool) -> None:
        progress = self.progress
        assert progress.server is not None
        self.life.advance("lost")
        progress.excluded.add(progress.server.name)
        self.log.lost(cause, began, self.reply.events)

    def _after_loss(self) -> None:
        """Decides whether the request is sent once more."""
        admitted, progress = self._require_admitted(), self.progress
        progress.runs += 1
        if not admitted.route.may_run_again:
            self._give_up("may_have_run", None)
        elif progress.runs >= admitted.route.max_attempts:
            self._give_up("max_attempts", None)

    def _may_repeat(self) -> bool:
        service = self._require_admitted().service.name
        return self.state.retries_left(service, self._loop.time()) >= 1.0

    def _give_up(self, reason: str, retry_after_s: float | None) -> None:
        """Ends the request without a server's answer."""
        if self.life.ended:
            return
        if self.life.state in ("received", "unsent"):
            after_s = retry_after_s
            if after_s is not None:
                after_s = admission.spread(after_s)
            refusal = client.Refusal(
                503, reason, "the request did not run", after_s
            )
            self.reply.refuse(refusal, self.admitted)
            return
        if self.progress.last_answer is not None and not self.reply.events:
            self._deliver(self.progress.last_answer)
            return
        self.reply.fail(reason, self._require_admitted())

    def _deliver(self, outcome: answer.Whole) -> None:
        if (
            outcome.status in _PROMISES
            and not self._require_admitted().route.may_run_again
        ):
            # The server did not state that it did not run the request.
            self._lose(f"status {outcome.status}", True)
            self._give_up("may_have_run", None)
            return
        self.reply.deliver(outcome)

    def _note_first_event(self, is_stream: bool) -> None:
        """The server's first event, or the head of another answer, came."""
        assert self._current is not None
        slip, now_s = self._current.slip, self._loop.time()
        slip.read()
        if is_stream:
            self.life.advance("stream_began")
        if self.progress.first_event_at_s is not None:
            return
        self.progress.first_event_at_s = now_s
        if is_stream:
            seen_s = now_s - self.progress.sent_at_s
            self.state.metrics.prediction_error.observe(
                {}, abs(seen_s - slip.pick.first_event_s)
            )
            self.state.record_execution(self._require_admitted().account, 0.0)

    def _note_end(self, outcome: answer.Outcome | None) -> None:
        """Learns from the end of a send."""
        assert self._current is not None
        was_moved = self.move is not None and not self.move.failed
        took_s = self._current.end(outcome, was_moved)
        if isinstance(outcome, answer.Whole) and not _not_run(outcome):
            self.state.record_execution(
                self._require_admitted().account, took_s
            )

    def _drop_send(self) -> None:
        """Stops the work at the server, if there is any."""
        if self._current is not None:
            self._current.drop()

    def _require_admitted(self) -> admission.Admitted:
        assert self.admitted is not None
        return self.admitted


def _not_run(outcome: answer.Outcome | None) -> bool:
    return isinstance(outcome, answer.Whole) and outcome.facts.proves_not_run
