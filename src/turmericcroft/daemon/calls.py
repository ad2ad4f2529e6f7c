"""Calls to plain services."""

import asyncio
import dataclasses

from turmericcroft import errors
from turmericcroft import settings
from turmericcroft.backends import service
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import fleet as fleet_tasks
from turmericcroft.routing import choice
from turmericcroft.routing import fleet
from turmericcroft.routing import ring

_SAFE_METHODS = frozenset({"GET", "HEAD"})
_MAX_ATTEMPTS = 4
_WAIT_LIMIT_S = 5.0


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
        idempotency_key: The caller's key, if it gave one.
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
    """Sends calls to plain services."""

    def __init__(
        self,
        config: settings.Settings,
        board: boards.Board,
        fleet_task: fleet_tasks.FleetTask,
    ) -> None:
        self.settings = config
        self.board = board
        self.fleet_task = fleet_task
        self.client = service.Services()

    async def close(self) -> None:
        """Closes the connections."""
        await self.client.close()

    async def call(self, request: CallerRequest) -> service.ServiceAnswer:
        """Sends a call: a safe one again if need be, others once.

        Raises:
            errors.Refusal: It was not answered.
        """
        if self.board.stopping:
            raise errors.StoppingRefusal(
                "expected a daemon that takes new work, found one that "
                "stops; send the request again",
                retry_after_s=0.0,
            )
        if request.method in _SAFE_METHODS:
            return await self.send(request, may_repeat=True)
        if request.idempotency_key is not None:
            raise errors.LedgerUnavailableRefusal(
                "expected a ledger of idempotency keys, found none yet"
            )
        return await self.send(request, may_repeat=False)

    async def send(
        self, request: CallerRequest, may_repeat: bool
    ) -> service.ServiceAnswer:
        """Sends a call to a server that runs the service.

        A connection that failed before a byte went out is tried elsewhere
        in any case; nothing ran.

        Raises:
            errors.NoServerRefusal: Nothing was sent.
            errors.OutcomeUnknownRefusal: The call may have run.
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
            self.board.load.start(server.name)
            try:
                return await self.client.call(server.url, call)
            except errors.BackendNotReachedError:
                self.fleet_task.server_gone(server, "refused connection")
            except errors.BackendLostError as error:
                if not may_repeat:
                    raise errors.OutcomeUnknownRefusal(
                        "expected the service's answer, found that the "
                        "connection ended; it may have run and is not sent "
                        "again"
                    ) from error
            finally:
                self.board.load.finish(server.name)
            excluded |= {server.name}
        raise errors.NoServerRefusal(
            f"expected a server that runs {request.service!r}, found none",
            retry_after_s=2.0,
        )

    def _choose(
        self, request: CallerRequest, excluded: frozenset[str]
    ) -> fleet.Server | None:
        question = choice.Question(
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
        match choice.choose(question, self.board.fleet, self.board.load, now_s):
            case choice.Chosen(server):
                return server
            case _:
                return None
