"""What a client is told at the end of its request."""

from turmericcroft.answers import lifecycle
from turmericcroft.gateway import admission
from turmericcroft.gateway import answer
from turmericcroft.gateway import client
from turmericcroft.gateway import facts
from turmericcroft.gateway import progress as progresses
from turmericcroft.gateway import state as states


class Reply:
    """The answer that a client gets.

    Attributes:
        connection: The client's connection.
        request_id: The client's id of the attempt.
        log: Writes the request's log lines.
        life: The request's state.
        relay: Passes the events of a stream on; None for other answers.
    """

    def __init__(
        self,
        state: states.State,
        connection: client.ClientConnection,
        request_id: str,
        log: progresses.RequestLog,
        life: lifecycle.Lifecycle,
    ) -> None:
        self.state = state
        self.connection = connection
        self.request_id = request_id
        self.log = log
        self.life = life
        self.relay: answer.StreamForwarder | None = None

    @property
    def events(self) -> int:
        """Events of a stream that were passed on."""
        return self.relay.sequence.events if self.relay is not None else 0

    def begin_stream(self, position: int) -> None:
        """Prepares to pass on a stream that goes on after a position."""
        self.relay = answer.StreamForwarder(self.connection, position)

    def refuse(
        self, refusal: client.Refusal, admitted: admission.Admitted | None
    ) -> None:
        """Tells that the request did not run, and returns its quota."""
        if admitted is not None and admitted.quota_units:
            bucket = self.state.quotas.get(admitted.account)
            if bucket is not None:
                bucket.give_back(admitted.quota_units)
        self.life.advance("refused")
        self.connection.refuse(refusal, self._own_headers())
        self.log.refused(refusal, admitted)

    def deliver(self, outcome: answer.CompleteResponse) -> None:
        """Passes on a server's whole answer."""
        headers = self.state.dialect.response_headers(outcome.headers)
        if not outcome.facts.request_id:
            headers += self._own_headers()
        self.connection.send_response(outcome.status, headers, outcome.body)
        self._answered(outcome.status)

    def end_stream(self) -> None:
        """Ends a stream that is complete."""
        self._answered(200)

    def fail(self, reason: str, admitted: admission.Admitted) -> None:
        """Tells that the request may have run and has no answer."""
        self.life.advance("given_up")
        status = 0
        if self.relay is not None and self.relay.head_sent:
            self.connection.abort()
        else:
            status = 504 if reason == "deadline" else 502
            refusal = client.Refusal(status, reason, "the request may have run")
            self.connection.refuse(refusal, self._own_headers())
        self.log.failed(status, reason, admitted, self.events)

    def _answered(self, status: int) -> None:
        self.life.advance("answered")
        if self.relay is not None and self.relay.head_sent:
            self.connection.end_stream()
        self.log.answered(status, self.events)

    def _own_headers(self) -> list[facts.Header]:
        if not self.request_id:
            return []
        return [self.state.dialect.request_id_header(self.request_id)]
