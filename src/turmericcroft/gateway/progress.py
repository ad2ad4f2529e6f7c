"""Attempts and executions of a request, and its log lines and counters."""

import asyncio
import dataclasses

from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
from turmericcroft.gateway import admission
from turmericcroft.gateway import answer
from turmericcroft.gateway import client
from turmericcroft.gateway import facts
from turmericcroft.gateway import server_selection
from turmericcroft.gateway import state as states
from turmericcroft.gateway import upstream
from turmericcroft.resumption import incarnations


@dataclasses.dataclass
class Progress:
    """Attempts and executions of one request so far.

    Attributes:
        attempts: Times the request was sent to a server.
        executions: Attempts that ended and may have been executed.
        connect_failures: Connections that could not be opened.
        excluded: Names of servers that are not chosen again.
        refused_targets: Names of servers that the execution is not migrated to
            again, because they refused its KV cache.
        server: Server of the latest attempt.
        kv_cache_source: Where that server was to fetch the KV cache of a
            migrated execution; None if it was to start a new one.
        sent_at_s: When the request was last sent, monotonic.
        first_event_at_s: When the first event or the headers of another
            response came, monotonic.
        error_response: A server's error response, delivered if a retry
            doesn't succeed.
        software_version: Version of the server software that began the
            response's stream and alone can go on with it; None before.
        process: Key of the process by whose entry that version is known, if
            the process was not checked; see `incarnations.key`.
        has_connection_ended: Whether the latest attempt was lost with its
            connection.
        refusal_detail: Why it was refused for want of capacity, for the log.
    """

    attempts: int = 0
    executions: int = 0
    connect_failures: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)
    refused_targets: set[str] = dataclasses.field(default_factory=set)
    server: directory.Server | None = None
    kv_cache_source: str | None = None
    sent_at_s: float = 0.0
    first_event_at_s: float | None = None
    error_response: answer.CompleteResponse | None = None
    software_version: str | None = None
    process: bytes = incarnations.NO_KEY
    has_connection_ended: bool = False
    refusal_detail: str = ""

    @property
    def server_name(self) -> str:
        """Name of the latest attempt's server; empty before the first one."""
        return self.server.name if self.server is not None else ""

    def begin_attempt(
        self,
        server: directory.Server,
        kv_cache_source: str | None,
        now_s: float,
    ) -> None:
        """Records that the request is sent to a server."""
        self.attempts += 1
        self.server = server
        self.kv_cache_source = kv_cache_source
        self.sent_at_s = now_s
        if kv_cache_source is None:
            self.refused_targets.clear()


class RequestLog:
    """Writes the log lines and counters of one request.

    Attributes:
        request_id: Id that the client gave the request.
        received_at_s: When the request's first byte came, monotonic.
        progress: Attempts and executions so far.
    """

    def __init__(
        self,
        state: states.State,
        request_id: str,
        received_at_s: float,
        progress: Progress,
    ) -> None:
        self.state = state
        self.request_id = request_id
        self.received_at_s = received_at_s
        self.progress = progress
        self._loop = asyncio.get_running_loop()

    def received(self, admitted: admission.Admitted, resumes: str) -> None:
        """Logs that the request was admitted.

        Args:
            admitted: How it was admitted.
            resumes: Id of the request whose stream it takes up; empty without
                one.
        """
        self.state.log.write(
            events.RequestReceived(
                request_id=self.request_id,
                route=admitted.route.name,
                account=admitted.account,
                declaration=admitted.declaration_version,
                deadline_s=admitted.deadline_at_s - self._loop.time(),
                waited_s=self._elapsed_s(),
                resumes=resumes,
                keyless=admitted.keyless,
            )
        )

    def refused(
        self, refusal: client.Refusal, admitted: admission.Admitted | None
    ) -> None:
        """Logs and counts a request that was refused and did not run."""
        self._count("refused")
        servers_known = 0
        if admitted is not None:
            name = admitted.service.name
            servers_known = len(self.state.directory.usable(name))
        self.state.log.write(
            events.RequestRefused(
                request_id=self.request_id,
                status=refusal.status,
                reason=refusal.code,
                route=admitted.route.name if admitted else refusal.route,
                account=admitted.account if admitted else refusal.account,
                detail=refusal.detail or self.progress.refusal_detail,
                declaration=self.state.declaration.version,
                retry_after_s=refusal.retry_after_s,
                after_s=self._elapsed_s(),
                sends=self.progress.attempts,
                servers_known=servers_known,
            )
        )

    def sent(
        self,
        selection: server_selection.Selection,
        context: facts.AttemptContext,
        connection: upstream.Connection,
    ) -> None:
        """Logs and counts an attempt that is about to be sent."""
        cause = "first" if self.progress.attempts == 1 else "again"
        self.state.metrics.attempts.inc(
            {"cause": "moved" if context.kv_cache_source else cause}
        )
        load = self.state.engine_loads.total(selection.server.name)
        now_s = self._loop.time()
        placement = selection.placement
        self.state.log.write(
            events.RequestSent(
                request_id=self.request_id,
                server=selection.server.name,
                attempt=self.progress.attempts,
                predicted_s=selection.first_event_s,
                unread_tokens=selection.prefill_tokens,
                runs_there=load.running,
                unread_there=load.prefill_tokens,
                servers_known=selection.candidates,
                fleet_age_s=now_s - self.state.fleet_confirmed_at_s,
                remaining_s=context.remaining_s or 0.0,
                resume_after=context.resume_after,
                memory_source=context.kv_cache_source or "",
                fetch_from=context.fetch_prefix_from or "",
                version=selection.server.software_version,
                relayed_by=connection.relayed_by,
                late_share=placement.chosen.late_share if placement else 0.0,
                load_age_s=placement.chosen.age_s if placement else 0.0,
                connection=connection.number,
                connection_uses=connection.uses + 1,
            )
        )

    def discarded(
        self,
        connection: upstream.Connection,
        status: int,
        response_facts: facts.ResponseFacts,
    ) -> None:
        """Logs a response that belongs to another request."""
        self.state.log.write(
            events.AnswerDiscarded(
                request_id=self.request_id,
                server=self.progress.server_name,
                answered_id=response_facts.request_id,
                status=status,
                connection=connection.number,
                connection_uses=connection.uses,
            )
        )

    def not_run(
        self, server: directory.Server, status: int, reason: str
    ) -> None:
        """Logs that a server did not run the request or was not reached."""
        self.state.log.write(
            events.ProvedNotRun(
                request_id=self.request_id,
                server=server.name,
                status=status,
                reason=reason,
                after_s=self._elapsed_s(),
            )
        )

    def response_lost(
        self, cause: str, response_started: bool, forwarded_events: int
    ) -> None:
        """Logs that a response ended before it was complete."""
        self.state.log.write(
            events.AnswerLost(
                request_id=self.request_id,
                server=self.progress.server_name,
                cause=cause,
                began=response_started,
                events=forwarded_events,
                after_s=self._loop.time() - self.progress.sent_at_s,
            )
        )

    def answered(
        self,
        status: int,
        forwarded_events: int,
        position: int,
        ended_at_close: bool,
    ) -> None:
        """Logs and counts a request that was answered.

        Args:
            status: Status of the response.
            forwarded_events: Events of a stream that were forwarded.
            position: Position of the stream's last event.
            ended_at_close: Whether nothing but a close marked the end.
        """
        self._count("answered")
        first_at_s = self.progress.first_event_at_s or self._loop.time()
        first_event_s = first_at_s - self.received_at_s
        self.state.metrics.first_event.observe({}, first_event_s)
        self.state.log.write(
            events.RequestAnswered(
                request_id=self.request_id,
                status=status,
                server=self.progress.server_name,
                sends=self.progress.attempts,
                first_event_s=first_event_s,
                total_s=self._elapsed_s(),
                events=forwarded_events,
                position=position,
                ended_at_close=ended_at_close,
            )
        )

    def failed(
        self,
        status: int,
        reason: str,
        admitted: admission.Admitted,
        forwarded_events: int,
    ) -> None:
        """Logs and counts a request that may have run and got no response."""
        self._count("failed")
        retries_left = self.state.retries_left(
            admitted.service.name, self._loop.time()
        )
        self.state.log.write(
            events.RequestFailed(
                request_id=self.request_id,
                status=status,
                reason=reason,
                route=admitted.route.name,
                account=admitted.account,
                server=self.progress.server_name,
                sends=self.progress.attempts,
                events=forwarded_events,
                after_s=self._elapsed_s(),
                may_run_again=admitted.route.is_safe_to_retry,
                retries_left=retries_left,
            )
        )

    def cancelled(self, forwarded_events: int) -> None:
        """Logs and counts a request whose client disconnected."""
        self._count("cancelled")
        self.state.log.write(
            events.RequestCancelled(
                request_id=self.request_id,
                server=self.progress.server_name,
                sends=self.progress.attempts,
                events=forwarded_events,
                after_s=self._elapsed_s(),
            )
        )

    def _elapsed_s(self) -> float:
        return self._loop.time() - self.received_at_s

    def _count(self, outcome: str) -> None:
        self.state.metrics.requests.inc({"outcome": outcome})
