"""Response to a client: delivered, streamed, refused or broken off.

The client must be able to tell whether its request ran: a refusal states that
it did not, a failure that it may have, and an incomplete stream has no end.
"""

from turmericcroft.answers import lifecycle as lifecycles
from turmericcroft.gateway import admission
from turmericcroft.gateway import answer
from turmericcroft.gateway import client
from turmericcroft.gateway import facts
from turmericcroft.gateway import progress as progresses
from turmericcroft.gateway import state as states


class ClientResponse:
    """The response to one request.

    Attributes:
        connection: The client's connection.
        request_id: Id that the client gave the request; empty without one.
        log: Writes the request's log lines.
        lifecycle: State of the request.
        forwarder: Forwards a stream's events; None if the route has no streams.
    """

    def __init__(
        self,
        state: states.State,
        connection: client.ClientConnection,
        request_id: str,
        log: progresses.RequestLog,
        lifecycle: lifecycles.Lifecycle,
    ) -> None:
        self.state = state
        self.connection = connection
        self.request_id = request_id
        self.log = log
        self.lifecycle = lifecycle
        self.forwarder: answer.StreamForwarder | None = None

    @property
    def forwarded_events(self) -> int:
        """Number of stream events forwarded to the client."""
        return (
            self.forwarder.sequence.event_count
            if self.forwarder is not None
            else 0
        )

    @property
    def has_begun(self) -> bool:
        """Whether a stream's status and headers were sent to the client."""
        return self.forwarder is not None and self.forwarder.head_sent

    def begin_stream(self, position: int) -> None:
        """Prepares to forward a stream that continues after a position."""
        self.forwarder = answer.StreamForwarder(self.connection, position)

    def refuse(
        self, refusal: client.Refusal, admitted: admission.Admitted | None
    ) -> None:
        """Refuses a request that did not run, and refunds its quota."""
        if admitted is not None and admitted.quota_units:
            bucket = self.state.quotas.get(admitted.account)
            if bucket is not None:
                bucket.refund(admitted.quota_units)
        self.lifecycle.advance("refused")
        self.connection.refuse(refusal, self._request_id_headers())
        self.log.refused(refusal, admitted)

    def deliver(self, outcome: answer.CompleteResponse) -> None:
        """Sends a server's complete response."""
        headers = self.state.dialect.response_headers(outcome.headers)
        if not outcome.facts.request_id:
            headers += self._request_id_headers()
        release = self.state.pool.buffers.hold(len(outcome.body))
        self.connection.send_response(outcome.status, headers, outcome.body)
        self.connection.call_when_sent(release)
        self._finish(outcome.status, outcome.ended_at_close)

    def end_stream(self) -> None:
        """Ends a complete stream."""
        self._finish(200, ended_at_close=False)

    def fail(self, reason: str, admitted: admission.Admitted) -> None:
        """Sends a failure, or breaks off a stream: the request may have run."""
        self.lifecycle.advance("given_up")
        status = 0
        if self.forwarder is not None and self.forwarder.head_sent:
            self.connection.abort()
        else:
            status = 504 if reason == "deadline" else 502
            refusal = client.Refusal(status, reason, "the request may have run")
            self.connection.refuse(refusal, self._request_id_headers())
        self.log.failed(status, reason, admitted, self.forwarded_events)

    def _finish(self, status: int, ended_at_close: bool) -> None:
        self.lifecycle.advance("answered")
        if self.forwarder is not None and self.forwarder.head_sent:
            self.connection.end_stream()
        position = self.forwarder.sequence.position if self.forwarder else 0
        self.log.answered(
            status, self.forwarded_events, position, ended_at_close
        )

    def _request_id_headers(self) -> list[facts.Header]:
        if not self.request_id:
            return []
        return [self.state.dialect.request_id_header(self.request_id)]
