"""Serving of one client request, from its arrival to the end of its response.

A request is admitted or refused, sent to a backend server, and retried at
another one after a failure. If the route forbids a second execution, it is sent
again only when no server can have run it, or to continue its execution from a
migrated KV cache.
"""

import asyncio
import functools

from turmericcroft.answers import lifecycle as lifecycles
from turmericcroft.attempts import kept_attempts
from turmericcroft.fleet import directory
from turmericcroft.fleet import positions
from turmericcroft.gateway import admission
from turmericcroft.gateway import answer
from turmericcroft.gateway import client
from turmericcroft.gateway import dispatch
from turmericcroft.gateway import migration
from turmericcroft.gateway import progress as progresses
from turmericcroft.gateway import replying
from turmericcroft.gateway import sending
from turmericcroft.gateway import server_selection
from turmericcroft.gateway import server_statements
from turmericcroft.gateway import state as states
from turmericcroft.gateway import upstream
from turmericcroft.responses import ending
from turmericcroft.responses import migration_result
from turmericcroft.resumption import incarnations
from turmericcroft.resumption import origins
from turmericcroft.stream_lookup import origin_lookup

_MIN_SERVER_ERROR_STATUS = 500
# Statuses that tell the client that its request did not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
# States in which an attempt has been sent and has not ended.
_AT_SERVER_STATES = ("sent", "resent", "streaming", "resuming")


class Exchange:
    """One client request and its response.

    Attributes:
        request: The client's request.
        facts: Values parsed from its headers.
        admitted: Result of its admission; None until then.
        progress: Attempts and executions so far.
        log: Writes its log lines.
        lifecycle: State of the request.
        response: Sends the response to the client.
        migration: Migration of its KV cache to another server, if in progress.
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
        self.lifecycle = lifecycles.Lifecycle("forwarded")
        self.response = replying.ClientResponse(
            state, connection, self.facts.request_id, self.log, self.lifecycle
        )
        self.migration: migration.Migration | None = None
        self._loop = asyncio.get_running_loop()
        self._received_at_s = self._loop.time()
        self._attempts = kept_attempts.Attempts(state, self.progress)

    async def run(self) -> None:
        """Serves the request until its response has ended."""
        self.state.open_requests.add(self)
        try:
            await self._serve()
        finally:
            self.state.open_requests.discard(self)
            self._attempts.cancel()
            if self.lifecycle.state == "answered":
                self.state.durations.record(
                    self._require_admitted().route.name,
                    self._loop.time() - self._received_at_s,
                )
            # They refer to this exchange and would keep bodies in memory.
            self._attempts.awaited = self.progress.error_response = None
            self.state.stream_origins.end(self._stream_id, self._loop.time())

    def cancel(self) -> None:
        """Cancels the attempts at once, because the client disconnected."""
        if self.lifecycle.ended:
            return
        self.lifecycle.advance("client_gone")
        self._attempts.cancel()
        self.log.cancelled(self.response.forwarded_events)

    def end_at_stop(self) -> None:
        """Ends the request, because the daemon stops: not run, or failed."""
        if self.lifecycle.ended:
            return
        if self.lifecycle.state in _AT_SERVER_STATES:
            self._record_loss("daemon stopped", False)
        self._attempts.cancel()
        self._abort("stopping", dispatch.STOPPING_RETRY_AFTER_S)

    def clear_if_answered(self, now_s: float) -> None:
        """Records that the server answers the request and has not crashed."""
        attempt = self._attempts.awaited
        if attempt is not None and attempt.is_answered:
            self.state.crashes.record_answer(
                self._require_admitted().traits, now_s
            )

    @property
    def is_executing(self) -> bool:
        """Whether the request is at a server that may be executing it."""
        return self.lifecycle.state in ("sent", "streaming")

    async def _admit(self) -> bool:
        """Admits or refuses the request; returns whether it was admitted."""
        parts = self.request, self.facts, self.state
        found, was_asked = None, False
        while True:
            now_s = self._loop.time()
            # After a wait, the declaration may be another one.
            decision = admission.admit(*parts, now_s, found, was_asked)
            match decision:
                case admission.TakesUp(question):
                    found = await origin_lookup.find_origin(
                        self.state, self.facts.request_id, question
                    )
                case admission.Unconfirmed():
                    await self.state.confirm_declaration()
                    was_asked = True
                case _:
                    break
            if self.lifecycle.ended:
                return False
        if isinstance(decision, client.Refusal):
            self.response.refuse(decision, None)
            return False
        self.admitted = decision
        if decision.route.streaming and not self.request.is_head:
            self.response.begin_stream(self.facts.resume_after or 0)
        if decision.origin is not None:
            process = self.state.stream_origins.find_process(self._stream_id)
            self._record_origin(decision.origin, process)
        self.state.retry_budget(decision.service.name).record_request(now_s)
        self.log.received(decision, self.facts.resumed_request or "")
        self.lifecycle.advance("admitted")
        return True

    @property
    def _stream_id(self) -> str:
        """Id of the request that began the stream."""
        resumed = self.facts.resumed_request if self.facts.resume_after else ""
        return resumed or self.facts.request_id

    def _record_origin(self, origin: origins.Origin, process: bytes) -> None:
        """Keeps what began the stream, for a client that takes it up."""
        if self.progress.software_version is None:
            self.progress.process = process
        self.progress.software_version = origin.version
        route = self._require_admitted().route
        if route.resumable:
            self.state.stream_origins.begin(self._stream_id, origin, process)
            self.state.software_versions.routes.record_stream(
                route.name, origin.service, self._loop.time()
            )

    def prove_process(self, server: directory.Server) -> None:
        """Records that the process of a server's entry answered a call.

        If the stream began at that server, it began at this process.
        """
        if self.progress.process == incarnations.key(server):
            self.progress.process = incarnations.NO_KEY
            self.state.stream_origins.prove(self._stream_id)

    async def _serve(self) -> None:
        if not await self._admit():
            return
        # Ways to continue a migrated execution, the preferred one first.
        continuations: list[dispatch.Continuation] = []
        was_migrated = False
        while not self.lifecycle.ended:
            if self._attempts.select_open():
                sent = True
            elif continuations:
                sent = await self._send(continuations.pop(0))
            elif was_migrated:
                # No server went on with the execution, so that it has ended.
                was_migrated = False
                self._abort_unless_retryable()
                continue
            elif self._may_start_new_execution():
                sent = await self._send(None)
            else:
                self._abort("may_have_run", None)
                return
            if not sent:
                continue
            outcome = await self._wait_for_outcome()
            if self.lifecycle.ended:
                return
            found = await self._handle_outcome(outcome)
            if not answer.proves_not_run(outcome):
                continuations = found
                was_migrated = bool(found)

    def _may_start_new_execution(self) -> bool:
        """Whether the request may be sent without an earlier KV cache."""
        if self.lifecycle.state in ("received", "unsent"):
            return True
        return self._require_admitted().route.is_safe_to_retry

    async def _send(self, continuation: dispatch.Continuation | None) -> bool:
        """Makes one attempt; returns whether there is one to wait for."""
        admitted, progress = self._require_admitted(), self.progress
        found = await dispatch.reserve(
            self.state, admitted, self.facts, progress, continuation
        )
        if self._attempts.select_open():
            if isinstance(found, dispatch.Reservation):
                dispatch.cancel(self.state, found)
            return True
        match found:
            case dispatch.Rejected(reason, retry_after_s):
                # Another server may continue a migrated execution.
                if continuation is None or reason == "deadline":
                    self._abort(reason, retry_after_s)
                return False
            case dispatch.Unreachable(server, cause, is_own_fault):
                self._handle_connect_failure(server, cause, is_own_fault)
                return False
            case dispatch.Reservation():
                if self.lifecycle.ended:
                    dispatch.cancel(self.state, found)
                    return False
        if progress.attempts and continuation is None:
            budget = self.state.retry_budget(admitted.service.name)
            budget.try_acquire(self.state.daemons, self._loop.time())
        source = continuation.kv_cache_source if continuation else None
        self._start_attempt(found, source)
        return True

    def _start_attempt(
        self, reservation: dispatch.Reservation, kv_cache_source: str | None
    ) -> None:
        admitted, progress = self._require_admitted(), self.progress
        selection, connection = reservation.selection, reservation.connection
        now_s = self._loop.time()
        context = sending.make_context(
            admitted, selection, self.response.forwarder, kv_cache_source, now_s
        )
        reader = answer.ResponseReader(
            self.facts.request_id,
            self.state.dialect,
            self.response.forwarder,
            connection,
            functools.partial(self._on_first_event, connection),
            functools.partial(
                server_statements.observe_response,
                self.state,
                selection.server,
            ),
            functools.partial(self.log.discarded, connection),
        )
        reader.on_accepted = functools.partial(
            self._attempts.accept, connection
        )
        # A result of an earlier attempt says nothing about this one's end.
        self.migration = None
        progress.begin_attempt(selection.server, kv_cache_source, now_s)
        self.lifecycle.advance("sent")
        self.log.sent(selection, context, connection)
        self._attempts.awaited = sending.Attempt(
            self.state,
            admitted,
            selection,
            connection,
            reader,
            is_new_execution=context.resume_after is None,
            number=progress.attempts,
        )
        # From here on the attempt's load is counted.
        self.state.reserved[selection.server.name] -= 1
        data = upstream.encode_request(
            self.request, context, self.state.dialect
        )
        connection.send(
            data,
            reader,
            self.facts.request_id,
            expects_body=not self.request.is_head,
        )

    def _waits_until_deadline(self) -> bool:
        """Whether the attempt waits for its first event until the deadline.

        It does if no other one may follow it, or if events of an earlier
        attempt were forwarded already.
        """
        admitted, progress = self._require_admitted(), self.progress
        return (
            not admitted.route.is_safe_to_retry
            or progress.executions + 1 >= admitted.route.max_attempts
            or self.response.forwarded_events > 0
        )

    def _may_try_elsewhere(self) -> bool:
        """Whether the request may be sent to another server now.

        A migration in progress continues the response without one.
        """
        admitted, progress = self._require_admitted(), self.progress
        return (
            admitted.route.is_safe_to_retry
            and progress.executions + 1 < admitted.route.max_attempts
            and (self.migration is None or not self.migration.may_have_stopped)
            and self._loop.time() >= self._attempts.retry_from_s
            and self._has_retry_budget()
            and server_selection.has_other_server(
                self.state,
                admitted.service.name,
                {*progress.excluded, progress.server_name},
                progress.software_version,
                self._loop.time(),
            )
        )

    def _keep_software_version(self) -> None:
        """Binds a stream that has begun to the version of its server."""
        progress = self.progress
        if self.response.has_begun and progress.software_version is None:
            assert progress.server is not None
            progress.software_version = progress.server.software_version

    async def _handle_outcome(
        self, outcome: answer.Outcome | None
    ) -> list[dispatch.Continuation]:
        """Ends the request or leaves it for a retry, by an attempt's outcome.

        Returns:
            Ways to continue a migrated execution, the preferred one first.
        """
        deadline_at_s = self._require_admitted().deadline_at_s
        is_due = self._loop.time() >= deadline_at_s - 0.001
        if outcome is None and self._attempts.can_keep() and not is_due:
            if self._attempts.keep():
                self._record_loss("no answer in time, kept", False)
            return []
        assert self._attempts.awaited is not None
        self._end_attempt(outcome)
        self.progress.has_connection_ended = isinstance(
            outcome, answer.ResponseLost
        )
        match outcome:
            case answer.StreamCompleted():
                self.response.end_stream()
            case answer.CompleteResponse() if answer.proves_not_run(outcome):
                self._handle_not_run(outcome)
            case answer.CompleteResponse():
                self._handle_response(outcome)
            case answer.ResponseLost():
                return await self._handle_lost_response(
                    outcome.cause, outcome.response_started
                )
            case None:
                self._attempts.awaited.cancel()
                if is_due:
                    self._record_loss("deadline", False)
                    self._abort("deadline", None)
                else:
                    self._record_loss("no answer in time", False)
                    self._abort_unless_retryable()
        return []

    def _handle_response(self, outcome: answer.CompleteResponse) -> None:
        """Delivers a complete response, or keeps it while a retry is made."""
        admitted, progress = self._require_admitted(), self.progress
        if (
            self.response.forwarder is not None
            and self.response.forwarder.head_sent
        ):
            # Part of a stream was sent to the client already, so another
            # response can't follow it.
            self._record_loss(f"status {outcome.status}", True)
            self._abort_unless_retryable()
            return
        progress.executions += 1
        if outcome.status >= _MIN_SERVER_ERROR_STATUS and (
            self._attempts.kept is not None
            or (
                admitted.route.is_safe_to_retry
                and progress.executions < admitted.route.max_attempts
                and self._has_retry_budget()
            )
        ):
            progress.error_response = outcome
            self._record_loss(f"status {outcome.status}", True)
            return
        self._deliver(outcome)

    def _handle_not_run(self, outcome: answer.CompleteResponse) -> None:
        """Excludes a server that stated that it did not run the request.

        A server that has no such KV cache may still start a new execution.
        """
        progress = self.progress
        assert progress.server is not None
        self.lifecycle.advance("proved_not_run")
        if progress.kv_cache_source is not None and outcome.status == 503:
            progress.refused_targets.add(progress.server.name)
        else:
            progress.excluded.add(progress.server.name)
        self.log.not_run(progress.server, outcome.status, "stated")
        # A stream that goes on is refused for other weights, too.
        if outcome.status == 421 and not self.response.has_begun:
            change = self.state.directory.reject(
                progress.server, self._loop.time()
            )
            if change is not None:
                self.state.record_server_changes(
                    [change], "answer", positions.START
                )

    def _handle_connect_failure(
        self, server: directory.Server, cause: str, is_own_fault: bool
    ) -> None:
        """Excludes a server that no connection could be opened to.

        Nothing was sent, so the request has not run there.
        """
        progress = self.progress
        progress.connect_failures += 1
        if is_own_fault:
            self.log.not_run(server, 0, f"isolated: {cause}")
            return
        progress.excluded.add(server.name)
        now_s = self._loop.time()
        self.state.record_failure(server, cause, now_s)
        self.state.zones.record_failure(
            server.availability_zone, server.name, now_s
        )
        self.log.not_run(server, 0, cause)

    async def _wait_for_outcome(self) -> answer.Outcome | None:
        """Waits for the verified end of the attempt that is then awaited."""
        while True:
            outcome = await self._attempts.wait(
                self._waits_until_deadline, self._may_try_elsewhere
            )
            attempt = self._attempts.awaited
            outcome = await self._verify_end(outcome)
            if self._attempts.awaited is attempt:
                return outcome

    async def _verify_end(
        self, outcome: answer.Outcome | None
    ) -> answer.Outcome | None:
        """Returns a lost response in place of one whose end is not proved."""
        if self.lifecycle.ended or not answer.ended_at_close(outcome):
            return outcome
        if self.migration is not None and self.migration.may_have_stopped:
            return answer.ResponseLost("closed during its migration", True)
        assert self._attempts.awaited is not None
        match await self._attempts.awaited.check_end():
            case ending.Unproved(reason, is_failure):
                cause = f"closed, end not proved: {reason}"
                return answer.ResponseLost(cause, True, not is_failure)
        return outcome

    async def _wait_for_migration(self) -> migration_result.Result:
        """Returns whether the server stopped the execution to migrate it."""
        if self.migration is None:
            return migration_result.NotStopped()
        return await self.migration.wait()

    async def _handle_lost_response(
        self, cause: str, response_started: bool
    ) -> list[dispatch.Continuation]:
        """Waits for a migration, or else checks whether a retry is allowed."""
        self._record_loss(cause, response_started)
        match await self._wait_for_migration():
            case _ if self.lifecycle.ended:
                return []
            case migration_result.Copied(kv_cache_source):
                migrated, self.migration = self.migration, None
                assert migrated is not None
                return migrated.find_continuations(kv_cache_source)
            case migration_result.Unknown():
                # The order may have closed the stream, so it is no evidence
                # of a crash.
                self._abort_unless_retryable()
                return []
        assert self.progress.server is not None
        assert self._attempts.awaited is not None
        suspects = self._require_admitted().traits
        if self._attempts.awaited.is_answered:
            suspects = ()
        self.state.crashes.record_loss(
            self.progress.server,
            self.facts.request_id,
            suspects,
            self.progress.sent_at_s,
        )
        self._abort_unless_retryable()
        return []

    def _record_loss(self, cause: str, response_started: bool) -> None:
        progress = self.progress
        assert progress.server is not None
        self.lifecycle.advance("lost")
        progress.excluded.add(progress.server.name)
        self.log.response_lost(
            cause, response_started, self.response.forwarded_events
        )

    def _abort_unless_retryable(self) -> None:
        """Counts an execution and aborts the request if no other is allowed."""
        admitted, progress = self._require_admitted(), self.progress
        progress.executions += 1
        if not admitted.route.is_safe_to_retry:
            self._abort("may_have_run", None)
        elif progress.executions >= admitted.route.max_attempts:
            self._abort("max_attempts", None)

    def _has_retry_budget(self) -> bool:
        service = self._require_admitted().service.name
        return self.state.retries_left(service, self._loop.time()) >= 1.0

    def _abort(self, reason: str, retry_after_s: float | None) -> None:
        """Ends the request with a refusal, an earlier error or a failure.

        Before the deadline, an attempt that was kept is awaited instead.
        """
        if self.lifecycle.ended or (
            reason != "deadline"
            and self._attempts.resume(sending.CONTINUATION_POLL_S)
        ):
            return
        if self.lifecycle.state in ("received", "unsent"):
            after_s = retry_after_s
            if after_s is not None:
                after_s = admission.add_jitter(after_s)
            refusal = client.Refusal(
                503, reason, "the request did not run", after_s
            )
            self.response.refuse(refusal, self.admitted)
            return
        if (
            self.progress.error_response is not None
            and not self.response.has_begun
        ):
            self._deliver(self.progress.error_response)
            return
        self.response.fail(reason, self._require_admitted())

    def _deliver(self, outcome: answer.CompleteResponse) -> None:
        if (
            outcome.status in _NOT_RUN_STATUSES
            and not self._require_admitted().route.is_safe_to_retry
        ):
            # The client would conclude from this status that the request did
            # not run, which the server did not state.
            self._record_loss(f"status {outcome.status}", True)
            self._abort("may_have_run", None)
            return
        self.response.deliver(outcome)

    def _on_first_event(
        self, connection: upstream.Connection, is_stream: bool
    ) -> None:
        """Handles the first event, or the headers of a non-stream response."""
        attempt = self._attempts.find(connection)
        load, now_s = attempt.load, self._loop.time()
        load.finish_prefill()
        if is_stream:
            self.lifecycle.advance("stream_began")
            server = load.selection.server
            process = incarnations.key(server)
            if connection.is_process_checked:
                process = incarnations.NO_KEY
            self._record_origin(
                origins.Origin(server.service, server.software_version), process
            )
        if self.progress.first_event_at_s is not None:
            return
        self.progress.first_event_at_s = now_s
        if is_stream:
            observed_s = now_s - attempt.sent_at_s
            self.state.metrics.prediction_error.observe(
                {"service": load.selection.server.service},
                abs(observed_s - load.selection.first_event_s),
            )
            self.state.placer.record_first_event(
                load.selection.placement, observed_s
            )
            attempt.record_first_event(observed_s)
            self.state.record_execution(self._require_admitted().account, 0.0)

    def _end_attempt(self, outcome: answer.Outcome | None) -> None:
        """Updates load, failures and usage at the end of an attempt."""
        assert self._attempts.awaited is not None
        self._keep_software_version()
        was_migrated = (
            self.migration is not None and self.migration.may_have_stopped
        )
        took_s = self._attempts.awaited.finish(outcome, was_migrated)
        if answer.is_success(outcome):
            self.state.crashes.record_answer(
                self._require_admitted().traits, self._loop.time()
            )
        if isinstance(
            outcome, answer.CompleteResponse
        ) and not answer.proves_not_run(outcome):
            self.state.record_execution(
                self._require_admitted().account, took_s
            )

    def _require_admitted(self) -> admission.Admitted:
        assert self.admitted is not None
        return self.admitted
