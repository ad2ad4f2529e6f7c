"""HTTP interface for callers: the OpenAI API and plain services.

A caller whose connection broke can ask any daemon for its answer, by request
id: the daemon sends its own copy or forwards the answer of the peer that holds
it.
"""

import asyncio
import contextlib
import typing
import uuid

import sanic
from sanic import response as sanic_response

from turmericcroft import errors
from turmericcroft import settings
from turmericcroft.answers import events
from turmericcroft.answers import request as requests
from turmericcroft.daemon import answer as answers
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import calls
from turmericcroft.daemon import registry as registries
from turmericcroft.edge import application
from turmericcroft.edge import refusals
from turmericcroft.edge import subscriber
from turmericcroft.intent import document
from turmericcroft.timeline import event
from turmericcroft.timeline import recorder

_BEARER = "Bearer "
_EVENT_STREAM = "text/event-stream"
# A comment line, so that the response headers are sent at once. It can't be a
# "retry:" field: the OpenAI client parses the empty data of such an event as
# JSON and fails.
_OPENING_COMMENT = b": open\n\n"


class CallersApp:
    """Sanic application that handles the requests on the callers' port."""

    def __init__(
        self,
        config: settings.Settings,
        board: boards.Board,
        registry: registries.Registry,
        service_calls: calls.ServiceCalls,
        timeline: recorder.Recorder,
    ) -> None:
        self.settings = config
        self.board = board
        self.registry = registry
        self.service_calls = service_calls
        self.timeline = timeline
        self.app = application.make("callers", config.callers.max_body_bytes)
        self.app.add_route(self._list_models, "/v1/models", methods=["GET"])
        self.app.add_route(
            self._create_chat_completion,
            "/v1/chat/completions",
            methods=["POST"],
        )
        self.app.add_route(
            self._create_completion, "/v1/completions", methods=["POST"]
        )
        self.app.add_route(
            self._get_answer, "/v1/answers/<request_id:str>", methods=["GET"]
        )
        self.app.add_route(
            self._call_service,
            "/v1/services/<name:str>/<path:path>",
            methods=["GET", "POST", "PUT", "PATCH", "DELETE"],
        )
        self.app.error_handler.add(Exception, self._handle_error)

    async def _list_models(self, request: sanic.Request) -> sanic.HTTPResponse:
        account = self._authenticate(request)
        names = sorted(
            {
                deployment.public_name
                for deployment in self._document().deployments.values()
                if account.name in deployment.accounts
                and deployment.kind is document.Kind.MODEL
            }
        )
        data = [
            {"id": name, "object": "model", "owned_by": "turmericcroft"}
            for name in names
        ]
        return sanic_response.json({"object": "list", "data": data})

    async def _create_chat_completion(
        self, request: sanic.Request
    ) -> sanic.HTTPResponse | None:
        return await self._create_answer(request, chat=True)

    async def _create_completion(
        self, request: sanic.Request
    ) -> sanic.HTTPResponse | None:
        return await self._create_answer(request, chat=False)

    async def _create_answer(
        self, request: sanic.Request, chat: bool
    ) -> sanic.HTTPResponse | None:
        account = self._authenticate(request)
        given_id = request.headers.get("X-Request-Id")
        if given_id is None:
            request.ctx.request_id = uuid.uuid4().hex
        else:
            request.ctx.request_id = registries.check_request_id(given_id)
            response = await self._respond_if_known(request, account)
            if response is not None:
                return response
            if request.stream is not None and request.ctx.replied:
                return None
        self._check_rate_limit(account)
        parsed = requests.parse(
            request.body,
            chat,
            request.ctx.request_id,
            account,
            self._document(),
        )
        answer = await self.registry.accept(parsed)
        return await self._respond(request, answer, parsed.stream, 0)

    async def _get_answer(
        self, request: sanic.Request, request_id: str
    ) -> sanic.HTTPResponse | None:
        account = self._authenticate(request)
        request.ctx.request_id = registries.check_request_id(request_id)
        response = await self._respond_if_known(request, account)
        if response is None and not request.ctx.replied:
            raise errors.UnknownAnswerRefusal(
                "expected the id of an answer of this account, found "
                f"{request_id!r}, which no daemon holds"
            )
        return response

    async def _respond_if_known(
        self, request: sanic.Request, account: document.Account
    ) -> sanic.HTTPResponse | None:
        position = _last_event_id(request)
        request_id = request.ctx.request_id
        answer = await self.registry.find(account.name, request_id)
        if answer is not None:
            stream = answer.request.stream
            return await self._respond(request, answer, stream, position)
        try:
            return await self._forward_from_peer(
                request, account.name, request_id, position
            )
        except errors.UnknownAnswerRefusal:
            return None

    async def _forward_from_peer(
        self,
        request: sanic.Request,
        account: str,
        request_id: str,
        position: int,
    ) -> sanic.HTTPResponse | None:
        response: typing.Any = None
        buffer = events.EventBuffer()
        chat = is_finished = False
        async for part in self.registry.follow_remote(
            account, request_id, position
        ):
            chat = part.chat
            is_finished = part.data.endswith(events.DONE)
            if not part.stream:
                buffer.feed(part.data)
                continue
            if response is None:
                response = await self._begin_stream(request)
            if part.data:
                await response.send(part.data)
        if response is not None:
            if is_finished:
                await response.eof()
            else:
                # The answer moved, or ended without a complete response.
                request.transport.close()
            return None
        if not buffer.finished:
            raise errors.AnswerLostRefusal(
                "expected the whole answer from a peer, found a part",
                retry_after_s=1.0,
            )
        return self._build_complete_response(request, buffer, chat)

    async def _respond(
        self,
        request: sanic.Request,
        answer: answers.Answer,
        stream: bool,
        position: int,
    ) -> sanic.HTTPResponse | None:
        async with self.registry.track_connection(answer):
            if stream:
                await answer.started.wait()
                await answer.wait_for_position(position)
                if answer.refusal is not None and not answer.buffer.position:
                    raise answer.refusal
                await self._stream_answer(request, answer, position)
                return None
            await answer.ended.wait()
            if answer.refusal is not None:
                raise answer.refusal
            if not answer.buffer.finished:
                raise errors.AnswerMovedRefusal(
                    "expected the answer here, found that it moved to "
                    "another daemon; ask for it by its request id",
                    retry_after_s=0.0,
                )
            answer.delivered = True
            return self._build_complete_response(
                request, answer.buffer, answer.request.chat
            )

    async def _stream_answer(
        self, request: sanic.Request, answer: answers.Answer, position: int
    ) -> None:
        # Refuses an invalid position before the response starts.
        answer.buffer.after(position)
        response = await self._begin_stream(request)
        connection = subscriber.StreamSubscriber(request)
        missed = answer.subscribe(connection, position)
        try:
            if missed:
                connection.write(missed)
            await answer.ended.wait()
            if answer.refusal is not None:
                await response.send(
                    refusals.error_event(answer.refusal, request.ctx.request_id)
                )
            elif not answer.buffer.finished:
                # It moved to another daemon.
                request.transport.close()
                return
            await response.eof()
            answer.delivered = True
        finally:
            answer.unsubscribe(connection)

    async def _begin_stream(self, request: sanic.Request) -> typing.Any:
        request.ctx.replied = True
        response = await request.respond(
            content_type=_EVENT_STREAM,
            headers={
                "X-Request-Id": request.ctx.request_id,
                "Cache-Control": "no-cache",
            },
        )
        await response.send(_OPENING_COMMENT)
        return response

    def _build_complete_response(
        self, request: sanic.Request, buffer: events.EventBuffer, chat: bool
    ) -> sanic.HTTPResponse:
        return sanic_response.json(
            events.assemble(buffer.payloads(), chat),
            headers={"X-Request-Id": request.ctx.request_id},
        )

    async def _call_service(
        self, request: sanic.Request, name: str, path: str
    ) -> sanic.HTTPResponse:
        account = self._authenticate(request)
        request.ctx.request_id = uuid.uuid4().hex
        requests.find_deployment(
            name, document.Kind.SERVICE, account.name, self._document()
        )
        self._check_rate_limit(account)
        query = f"?{request.query_string}" if request.query_string else ""
        answer = await self.service_calls.call(
            calls.CallerRequest(
                request_id=request.ctx.request_id,
                account=account.name,
                service=name,
                method=request.method,
                path=f"/{path}{query}",
                content_type=request.headers.get("Content-Type", ""),
                body=request.body,
                idempotency_key=request.headers.get("Idempotency-Key"),
            )
        )
        return sanic_response.raw(
            answer.body,
            status=answer.status,
            content_type=answer.content_type,
            headers={"X-Request-Id": request.ctx.request_id},
        )

    def _authenticate(self, request: sanic.Request) -> document.Account:
        request.ctx.replied = False
        request.ctx.request_id = ""
        in_force = self.board.in_force
        if in_force is None or not self.board.may_serve:
            raise errors.StoppingRefusal(
                "expected the newest configuration in force, found that "
                "this daemon still asks its peers for it",
                retry_after_s=1.0,
            )
        header = request.headers.get("Authorization", "")
        account: document.Account | None = None
        if header.startswith(_BEARER):
            account = in_force.find_account(header.removeprefix(_BEARER))
        if account is None:
            raise errors.AuthenticationRefusal(
                "Authorization: expected 'Bearer' and a valid API key, "
                "found none"
            )
        request.ctx.account = account.name
        return account

    def _check_rate_limit(self, account: document.Account) -> None:
        now_s = asyncio.get_running_loop().time()
        bucket = self.board.limits.bucket(
            account.name, account.requests_per_s, account.burst, now_s
        )
        if not bucket.try_acquire(now_s):
            raise errors.RateLimitedRefusal(
                f"expected at most {account.requests_per_s:g} requests a "
                "second, found more",
                retry_after_s=bucket.wait_s(now_s),
            )

    def _document(self) -> document.Document:
        if self.board.in_force is None:
            return document.EMPTY
        return self.board.in_force.content

    async def _handle_error(
        self, request: sanic.Request, error: Exception
    ) -> sanic.HTTPResponse | None:
        refusal = refusals.from_error(error)
        request_id = getattr(request.ctx, "request_id", "")
        self.timeline.record(
            event.RequestRefused(
                request_id,
                getattr(request.ctx, "account", ""),
                refusal.code,
                refusal.ran.value,
            )
        )
        if getattr(request.ctx, "replied", False):
            with contextlib.suppress(Exception):
                request.transport.close()
            return None
        return sanic_response.json(
            refusals.body(refusal, request_id),
            status=refusal.status,
            headers=refusals.headers(refusal, request_id),
        )


def _last_event_id(request: sanic.Request) -> int:
    text = request.headers.get("Last-Event-ID", "0")
    if not text.isascii() or not text.isdigit():
        raise errors.InvalidRequestRefusal(
            f"Last-Event-ID: expected a whole number, found {text[:40]!r}"
        )
    return int(text)
