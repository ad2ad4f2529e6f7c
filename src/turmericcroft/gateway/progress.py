"""How far a request got, and the log lines that tell of it."""

import asyncio
import dataclasses

from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
from turmericcroft.gateway import admission
from turmericcroft.gateway import answer
from turmericcroft.gateway import client
from turmericcroft.gateway import facts
from turmericcroft.gateway import picking
from turmericcroft.gateway import state as states


@dataclasses.dataclass
class Progress:
    """How far a request got.

    Attributes:
        sends: Times sent to a server.
        runs: Sends that may have run.
        unreached: Connections that could not be opened.
        excluded: Servers not to use again.
        server: The server last used.
        sent_at_s: When it was last sent, monotonic.
        first_event_at_s: When its first event came, monotonic.
        last_answer: A failure that a server answered, kept while another
            server is tried.
    """

    sends: int = 0
    runs: int = 0
    unreached: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)
    server: directory.Server | None = None
    sent_at_s: float = 0.0
    first_event_at_s: float | None = None
    last_answer: answer.Whole | None = None

    @property
    def server_name(self) -> str:
        """Name of the server last used; empty if there is none."""
        return self.server.name if self.server is not None else ""


class RequestLog:
    """Writes the log lines and counters of one request.

    Attributes:
        request_id: The client's id of the attempt.
        received_at_s: When its first byte came, monotonic.
        progress: How far it got.
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

    def received(self, admitted: admission.Admitted) -> None:
        """The request was admitted."""
        self.state.log.write(
            events.RequestReceived(
                request_id=self.request_id,
                route=admitted.route.name,
                account=admitted.account,
                declaration=admitted.version,
                deadline_s=admitted.deadline_at_s - self._loop.time(),
                waited_s=self._elapsed_s(),
            )
        )

    def refused(
        self, refusal: client.Refusal, admitted: admission.Admitted | None
    ) -> None:
        """The request was refused without having run."""
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
                detail=refusal.detail,
                declaration=self.state.declaration.version,
                retry_after_s=refusal.retry_after_s,
                after_s=self._elapsed_s(),
                sends=self.progress.sends,
                servers_known=servers_known,
            )
        )

    def sent(self, pick: picking.Pick, context: facts.SendContext) -> None:
        """The request was sent to a server."""
        cause = "first" if self.progress.sends == 1 else "again"
        self.state.metrics.attempts.inc(
            {"cause": "moved" if context.memory_source else cause}
        )
        work = self.state.engine_loads.total(pick.server.name)
        now_s = self._loop.time()
        self.state.log.write(
            events.RequestSent(
                request_id=self.request_id,
                server=pick.server.name,
                attempt=self.progress.sends,
                predicted_s=pick.first_event_s,
                unread_tokens=pick.unread_tokens,
                runs_there=work.runs,
                unread_there=work.unread_tokens,
                servers_known=pick.candidates,
                fleet_age_s=now_s - self.state.fleet_confirmed_at_s,
                remaining_s=context.remaining_s or 0.0,
                resume_after=context.resume_after,
                memory_source=context.memory_source or "",
                fetch_from=context.fetch_head_from or "",
            )
        )

    def not_run(
        self, server: directory.Server, status: int, reason: str
    ) -> None:
        """A server did not run the request."""
        self.state.log.write(
            events.ProvedNotRun(
                request_id=self.request_id,
                server=server.name,
                status=status,
                reason=reason,
                after_s=self._elapsed_s(),
            )
        )

    def lost(self, cause: str, began: bool, passed_on: int) -> None:
        """A server gave no whole answer."""
        self.state.log.write(
            events.AnswerLost(
                request_id=self.request_id,
                server=self.progress.server_name,
                cause=cause,
                began=began,
                events=passed_on,
                after_s=self._loop.time() - self.progress.sent_at_s,
            )
        )

    def answered(self, status: int, passed_on: int) -> None:
        """The request was answered."""
        self._count("answered")
        first_at_s = self.progress.first_event_at_s or self._loop.time()
        first_event_s = first_at_s - self.received_at_s
        self.state.metrics.first_event.observe({}, first_event_s)
        self.state.log.write(
            events.RequestAnswered(
                request_id=self.request_id,
                status=status,
                server=self.progress.server_name,
                sends=self.progress.sends,
                first_event_s=first_event_s,
                total_s=self._elapsed_s(),
                events=passed_on,
            )
        )

    def failed(
        self,
        status: int,
        reason: str,
        admitted: admission.Admitted,
        passed_on: int,
    ) -> None:
        """The request may have run and ended without its answer."""
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
                sends=self.progress.sends,
                events=passed_on,
                after_s=self._elapsed_s(),
                may_run_again=admitted.route.may_run_again,
                retries_left=retries_left,
            )
        )

    def cancelled(self, passed_on: int) -> None:
        """The client left."""
        self._count("cancelled")
        self.state.log.write(
            events.RequestCancelled(
                request_id=self.request_id,
                server=self.progress.server_name,
                sends=self.progress.sends,
                events=passed_on,
                after_s=self._elapsed_s(),
            )
        )

    def _elapsed_s(self) -> float:
        return self._loop.time() - self.received_at_s

    def _count(self, outcome: str) -> None:
        self.state.metrics.requests.inc({"outcome": outcome})
