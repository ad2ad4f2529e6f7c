"""HTTP interface for operators: health, metrics, status and time line."""

import hashlib
import hmac
import json
import typing
from collections.abc import Callable
from collections.abc import Coroutine

import sanic
from sanic import response as sanic_response

from turmericcroft import settings
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import metrics as daemon_metrics
from turmericcroft.daemon import timelines
from turmericcroft.edge import application
from turmericcroft.edge import intents
from turmericcroft.membership import view
from turmericcroft.timeline import recorder

_BEARER = "Bearer "
_MAX_BODY_BYTES = 16_777_216
_Handler = Callable[
    [sanic.Request], Coroutine[typing.Any, typing.Any, sanic.HTTPResponse]
]


class OperatorsApp:
    """Sanic application that handles the requests on the operators' port."""

    def __init__(
        self,
        config: settings.Settings,
        board: boards.Board,
        members: view.View,
        metrics: daemon_metrics.Metrics,
        timeline: timelines.Timelines,
        intents_api: intents.IntentsApi,
        is_ready: Callable[[], bool],
    ) -> None:
        self.settings = config
        self.board = board
        self.members = members
        self.metrics = metrics
        self.timeline = timeline
        self.is_ready = is_ready
        self.app = application.make("operators", _MAX_BODY_BYTES)
        self.app.add_route(self._healthz, "/healthz")
        self.app.add_route(self._readyz, "/readyz")
        self.app.add_route(self._metrics, "/metrics")
        self.app.add_route(self._status, "/v1/status")
        self.app.add_route(self._timeline, "/v1/timeline")
        self.app.add_route(
            self._release,
            "/v1/quarantine/<fingerprint:str>",
            methods=["DELETE"],
        )

        for handler, path, method in (
            (intents_api.plan, "plan", "POST"),
            (intents_api.apply, "apply", "POST"),
            (intents_api.rollback, "rollback", "POST"),
            (intents_api.history, "history", "GET"),
            (intents_api.show, "rows", "GET"),
        ):
            self.app.add_route(
                self._guard(handler, path),
                f"/v1/configuration/{path}",
                methods=[method],
                name=path,
            )

    def _guard(self, handler: _Handler, path: str) -> _Handler:
        is_allowed = self._may_view
        if path in ("apply", "rollback"):
            is_allowed = self._may_operate

        async def handle_guarded(request: sanic.Request) -> sanic.HTTPResponse:
            if not is_allowed(request):
                return _forbidden()
            return await handler(request)

        return handle_guarded

    async def _healthz(self, request: sanic.Request) -> sanic.HTTPResponse:
        del request
        return sanic_response.text("ok\n")

    async def _readyz(self, request: sanic.Request) -> sanic.HTTPResponse:
        del request
        if self.is_ready():
            return sanic_response.text("ready\n")
        return sanic_response.text("not ready\n", status=503)

    async def _metrics(self, request: sanic.Request) -> sanic.HTTPResponse:
        accepted = request.headers.getall("accept", [])
        content, headers = self.metrics.render(accepted)
        return sanic_response.raw(content, headers=headers)

    async def _status(self, request: sanic.Request) -> sanic.HTTPResponse:
        if not self._may_view(request):
            return _forbidden()
        head = self.board.in_force.head if self.board.in_force else None
        return sanic_response.json(
            {
                "daemon": self.settings.daemon.name,
                "availability_zone": self.settings.daemon.availability_zone,
                "ready": self.is_ready(),
                "stopping": self.board.stopping,
                "configuration": head.number if head else 0,
                "author": head.author if head else "",
                "members": [
                    {
                        "name": name,
                        "availability_zone": (
                            observation.member.availability_zone
                        ),
                        "health": observation.health.value,
                        "configuration": observation.config_number,
                    }
                    for name, observation in sorted(
                        self.members.observations.items()
                    )
                ],
                "servers": [
                    {
                        "name": server.name,
                        "availability_zone": server.availability_zone,
                        "runs": list(server.public_names),
                        "in_flight": self.board.load_of(server)
                        .servers[name]
                        .in_flight,
                    }
                    for name, server in sorted(self.board.fleet.servers.items())
                ],
                "leaving": sorted(self.board.leaving),
                "quarantine": [
                    {"fingerprint": r.fingerprint, "crashes": r.crashes}
                    for r in self.board.suspects.records.values()
                    if r.quarantined
                ],
            }
        )

    async def _timeline(self, request: sanic.Request) -> sanic.HTTPResponse:
        if not self._may_view(request):
            return _forbidden()
        since = request.args.get("since_ms", "0")
        event_filter = recorder.Filter(
            request_id=request.args.get("request", ""),
            server=request.args.get("server", ""),
            account=request.args.get("account", ""),
            since_ms=int(since) if since.isdigit() else 0,
        )
        events = await self.timeline.collect(event_filter)
        lines = "".join(json.dumps(item) + "\n" for item in events)
        return sanic_response.text(lines, content_type="application/x-ndjson")

    async def _release(
        self, request: sanic.Request, fingerprint: str
    ) -> sanic.HTTPResponse:
        if not self._may_operate(request):
            return _forbidden()
        daemons_notified = await self.timeline.release(fingerprint)
        return sanic_response.json(
            {"released": fingerprint, "told": daemons_notified}
        )

    def _may_view(self, request: sanic.Request) -> bool:
        operators = self.settings.operators
        return self._has_token(
            request,
            operators.view_token_sha256 + operators.operate_token_sha256,
        )

    def _may_operate(self, request: sanic.Request) -> bool:
        return self._has_token(
            request, self.settings.operators.operate_token_sha256
        )

    def _has_token(
        self, request: sanic.Request, allowed_sha256: tuple[str, ...]
    ) -> bool:
        header = request.headers.get("Authorization", "")
        token = header.removeprefix(_BEARER).encode()
        digest = hashlib.sha256(token).hexdigest()
        # Compares with every hash, so that the time taken reveals no match.
        matches = [hmac.compare_digest(digest, item) for item in allowed_sha256]
        return any(matches)


def _forbidden() -> sanic.HTTPResponse:
    return sanic_response.json(
        {"error": "expected a bearer token with this right, found none"},
        status=403,
    )
