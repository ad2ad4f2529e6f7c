"""Calls to plain services.

Calls with a safe method are retried at another server. Any other call is
sent at most once; with an idempotency key, the ledger ensures this across
all daemons.
"""

import asyncio
import dataclasses
import time

from turmericcroft import errors
from turmericcroft import settings
from turmericcroft.answers import ledger
from turmericcroft.backends import service
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import fleet as fleet_tasks
from turmericcroft.daemon import ledger as ledgers
from turmericcroft.intent import document
from turmericcroft.routing import choice
from turmericcroft.routing import fleet
from turmericcroft.routing import ring
from turmericcroft.timeline import event
from turmericcroft.timeline import recorder

_SAFE_METHODS = frozenset({"GET", "HEAD"})
_MAX_ATTEMPTS = 4
_WAIT_LIMIT_S = 5.0
_LEDGER_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A caller's request to a plain service.

    Attributes:
        request_id: Unique id.
        account: Client account.
        service: Public name of the service.
        method: HTTP method.
        path: Path and query.
        content_type: Media type of the body.
        body: Raw body.
        idempotency_key: The caller's idempotency key, if any.
    """

    request_id: str
    account: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    idempotency_key: str | None


class ServiceCalls:
    """Sends calls to plain services.

    Attributes:
        open_calls: Tasks of calls that are not safe to retry and have not
            ended.
    """

    def __init__(
        self,
        config: settings.Settings,
        board: boards.Board,
        fleet_task: fleet_tasks.FleetTask,
        calls_ledger: ledgers.Ledger,
        timeline: recorder.Recorder,
    ) -> None:
        self.settings = config
        self.board = board
        self.fleet_task = fleet_task
        self.ledger = calls_ledger
        self.timeline = timeline
        self.client = service.ServiceClient()
        self.open_calls: set[asyncio.Task[service.ServiceAnswer]] = set()

    async def close(self) -> None:
        """Closes the connections to services."""
        await self.client.close()

    async def call(self, request: CallerRequest) -> service.ServiceAnswer:
        """Handles a call.

        Raises:
            errors.Refusal: The call got no answer from a service.
        """
        if self.board.stopping:
            raise errors.StoppingRefusal(
                "expected a daemon that takes new work, found one that "
                "stops; send the request again",
                retry_after_s=0.0,
            )
        if request.method in _SAFE_METHODS:
            return await self.send(request, may_retry=True)
        # A call that may change state goes on if the caller disconnects, so
        # that its outcome is known and recorded.
        task = asyncio.create_task(self._call_unsafe(request))
        self.open_calls.add(task)
        task.add_done_callback(self._on_call_done)
        return await asyncio.shield(task)

    def _on_call_done(
        self, task: "asyncio.Task[service.ServiceAnswer]"
    ) -> None:
        self.open_calls.discard(task)
        if not task.cancelled():
            task.exception()

    async def _call_unsafe(
        self, request: CallerRequest
    ) -> service.ServiceAnswer:
        if request.idempotency_key is not None:
            return await self._call_with_key(request, request.idempotency_key)
        return await self.send(request, may_retry=False)

    async def _call_with_key(
        self, request: CallerRequest, idempotency_key: str
    ) -> service.ServiceAnswer:
        claim = self._make_claim(request, idempotency_key)
        reply = await self.ledger.claim(claim)
        self._record(request, claim, reply.verdict.value)
        match reply.verdict:
            case ledger.Verdict.GRANTED:
                return await self._send_claimed(request, claim)
            case ledger.Verdict.COMPLETED:
                return service.ServiceAnswer(
                    reply.status, reply.content_type, reply.body
                )
            case ledger.Verdict.MISMATCH:
                raise errors.IdempotencyMismatchRefusal(
                    "Idempotency-Key: expected the call that it was first "
                    "used for, found another one"
                )
            case ledger.Verdict.UNAVAILABLE:
                raise errors.LedgerUnavailableRefusal(
                    "expected to record the call before it is sent, found "
                    "the ledger unavailable; it was not sent",
                    retry_after_s=_LEDGER_RETRY_AFTER_S,
                )
            case _:
                raise errors.OutcomeUnknownRefusal(
                    "expected the answer of the call that has this key, "
                    "found that it started and its end is not known; it is "
                    "not sent again"
                )

    async def _send_claimed(
        self, request: CallerRequest, claim: ledger.ClaimRecord
    ) -> service.ServiceAnswer:
        outcome = ledger.Outcome.UNKNOWN
        answer = service.ServiceAnswer(0, "", b"")
        try:
            answer = await self.send(request, may_retry=False)
            outcome = ledger.Outcome.RAN
            return answer
        except errors.NoServerRefusal:
            outcome = ledger.Outcome.NOT_RUN
            raise
        finally:
            self._record(request, claim, outcome.value)
            self.ledger.end(
                claim, outcome, answer.status, answer.content_type, answer.body
            )

    def _record(
        self, request: CallerRequest, claim: ledger.ClaimRecord, step: str
    ) -> None:
        shard = ledger.shard_of(claim.key)
        self.timeline.record(
            event.CallRecorded(request.request_id, request.account, shard, step)
        )

    def _make_claim(
        self, request: CallerRequest, idempotency_key: str
    ) -> ledger.ClaimRecord:
        now_ms = time.time_ns() // 1_000_000
        key_ms = ledger.key_time_ms(idempotency_key, now_ms)
        expires_at_ms = key_ms + int(self._retention_s() * 1000)
        if expires_at_ms <= now_ms:
            raise errors.OutcomeUnknownRefusal(
                "Idempotency-Key: expected one made within the last "
                f"{self._retention_s():.0f} s, found an older one; whether "
                "its call ran is not remembered, and it is not sent again"
            )
        key = ledger.hash_texts(
            request.account, request.service, idempotency_key.lower()
        )
        body_hash = ledger.hash_texts(
            request.method, request.path, request.body
        )
        return ledger.ClaimRecord(
            key,
            body_hash,
            self.settings.daemon.name,
            ledgers.new_claim_id(),
            expires_at_ms,
        )

    def _retention_s(self) -> float:
        in_force = self.board.in_force
        policy = in_force.content.policy if in_force else document.Policy()
        return policy.idempotency_retention_s

    async def send(
        self, request: CallerRequest, may_retry: bool
    ) -> service.ServiceAnswer:
        """Sends a call to a server that runs the service.

        If the connection fails before a byte is sent, nothing ran, and the
        call is sent to another server in any case.

        Args:
            request: The call.
            may_retry: Whether to send the call again after a connection
                ended without an answer.

        Raises:
            errors.NoServerRefusal: No server could be reached or, if the
                call may be retried, none answered.
            errors.OutcomeUnknownRefusal: The call was sent and may have run.
        """
        call = service.ServiceCall(
            request.method,
            request.path,
            {
                "Content-Type": request.content_type,
                "X-Request-Id": request.request_id,
                "X-Account": request.account,
            },
            request.body,
        )
        excluded: frozenset[str] = frozenset()
        for _ in range(_MAX_ATTEMPTS):
            server = self._choose(request, excluded)
            if server is None:
                break
            self.board.service_load.start(server.name)
            try:
                return await self.client.call(server.url, call)
            except errors.BackendNotReachedError:
                self.fleet_task.remove_server(server, "refused connection")
            except errors.BackendLostError as error:
                if not may_retry:
                    raise errors.OutcomeUnknownRefusal(
                        "expected the service's answer, found that the "
                        "connection ended; it may have run and is not sent "
                        "again"
                    ) from error
            finally:
                self.board.service_load.finish(server.name)
            excluded |= {server.name}
        raise errors.NoServerRefusal(
            f"expected a server that runs {request.service!r}, found none",
            retry_after_s=2.0,
        )

    def _choose(
        self, request: CallerRequest, excluded: frozenset[str]
    ) -> fleet.Server | None:
        query = choice.RoutingQuery(
            public_name=request.service,
            affinity_key=ring.affinity_key(
                request.account, request.service, request.request_id, 64
            ),
            home_zone=self.settings.daemon.availability_zone,
            excluded=excluded,
            bounded_load_factor=1.25,
            wait_limit_s=_WAIT_LIMIT_S,
        )
        now_s = asyncio.get_running_loop().time()
        match choice.choose(
            query, self.board.fleet, self.board.service_load, now_s
        ):
            case choice.Chosen(server):
                return server
            case _:
                return None
