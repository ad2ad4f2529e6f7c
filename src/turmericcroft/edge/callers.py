"""The callers' HTTP interface: OpenAI's API and plain services."""

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
# Sends the head at once. Not a "retry:" field: the OpenAI client takes an
# event without data for JSON and fails.
_OPENING_COMMENT = b": open\n\n"


class CallersApp:
    """Handlers of the callers' port."""

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
        self.app.add_route(self._models, "/v1/models", methods=["GET"])
        self.app.add_route(self._chat, "/v1/chat/completions", methods=["POST"])
        self.app.add_route(
            self._completion, "/v1/completions", methods=["POST"]
        )
        self.app.add_route(
            self._answer, "/v1/answers/<request_id:str>", methods=["GET"]
        )
        self.app.add_route(
            self._service,
            "/v1/services/<name:str>/<path:path>",
            methods=["GET", "POST", "PUT", "PATCH", "DELETE"],
        )
        self.app.error_handler.add(Exception, self._refuse)

    async def _models(self, request: sanic.Request) -> sanic.HTTPResponse:
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

    async def _chat(self, request: sanic.Request) -> sanic.HTTPResponse | None:
        return await self._complete(request, chat=True)

    async def _completion(
        self, request: sanic.Request
    ) -> sanic.HTTPResponse | None:
        return await self._complete(request, chat=False)

    async def _complete(
        self, request: sanic.Request, chat: bool
    ) -> sanic.HTTPResponse | None:
        account = self._authenticate(request)
        given_id = request.headers.get("X-Request-Id")
        if given_id is None:
            request.ctx.request_id = uuid.uuid4().hex
        else:
            request.ctx.request_id = registries.check_request_id(given_id)
            known = await self._find(request, account)
            if known is not None:
                return known
            if request.stream is not None and request.ctx.replied:
                return None
        self._limit(account)
        parsed = requests.parse(
            request.body,
            chat,
            request.ctx.request_id,
            account,
            self._document(),
        )
        answer = await self.registry.accept(parsed)
        return await self._reply(request, answer, parsed.stream, 0)

    async def _answer(
        self, request: sanic.Request, request_id: str
    ) -> sanic.HTTPResponse | None:
        account = self._authenticate(request)
        request.ctx.request_id = registries.check_request_id(request_id)
        found = await self._find(request, account)
        if found is None and not request.ctx.replied:
            raise errors.UnknownAnswerRefusal(
                "expected the id of an answer of this account, found "
                f"{request_id!r}, which no daemon holds"
            )
        return found

    async def _find(
        self, request: sanic.Request, account: document.Account
    ) -> sanic.HTTPResponse | None:
        position = _last_event_id(request)
        request_id = request.ctx.request_id
        answer = await self.registry.find(account.name, request_id)
        if answer is not None:
            stream = answer.request.stream
            return await self._reply(request, answer, stream, position)
        try:
            return await self._relay_elsewhere(
                request, account.name, request_id, position
            )
        except errors.UnknownAnswerRefusal:
            return None

    async def _relay_elsewhere(
        self,
        request: sanic.Request,
        account: str,
        request_id: str,
        position: int,
    ) -> sanic.HTTPResponse | None:
        response: typing.Any = None
        whole = events.EventBuffer()
        chat = False
        async for part in self.registry.follow_remote(
            account, request_id, position
        ):
            chat = part.chat
            if not part.stream:
                whole.feed(part.data)
                continue
            if response is None:
                response = await self._begin_stream(request)
            if part.data:
                await response.send(part.data)
        if response is not None:
            await response.eof()
            return None
        if not whole.finished:
            raise errors.AnswerLostRefusal(
                "expected the whole answer from a peer, found a part",
                retry_after_s=1.0,
            )
        return self._whole(request, whole, chat)

    async def _reply(
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
                await self._stream(request, answer, position)
                return None
            await answer.ended.wait()
            if answer.refusal is not None:
                raise answer.refusal
            if not answer.buffer.finished:
                raise errors.StoppingRefusal(
                    "expected the answer here, found that it moved to "
                    "another daemon; ask for it by its request id",
                    retry_after_s=0.0,
                )
            answer.delivered = True
            return self._whole(request, answer.buffer, answer.request.chat)

    async def _stream(
        self, request: sanic.Request, answer: answers.Answer, position: int
    ) -> None:
        answer.buffer.after(position)
        response = await self._begin_stream(request)
        follower = subscriber.StreamSubscriber(request)
        missed = answer.subscribe(follower, position)
        try:
            if missed:
                follower.write(missed)
            await answer.ended.wait()
            if answer.refusal is not None:
                await response.send(
                    refusals.event(answer.refusal, request.ctx.request_id)
                )
            if answer.lifecycle.state == "moved":
                request.transport.close()
                return
            await response.eof()
            answer.delivered = True
        finally:
            answer.unsubscribe(follower)

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

    def _whole(
        self, request: sanic.Request, buffer: events.EventBuffer, chat: bool
    ) -> sanic.HTTPResponse:
        return sanic_response.json(
            events.assemble(buffer.payloads(), chat),
            headers={"X-Request-Id": request.ctx.request_id},
        )

    async def _service(
        self, request: sanic.Request, name: str, path: str
    ) -> sanic.HTTPResponse:
        account = self._authenticate(request)
        request.ctx.request_id = uuid.uuid4().hex
        requests.find_deployment(
            name, document.Kind.SERVICE, account.name, self._document()
        )
        self._limit(account)
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

    def _limit(self, account: document.Account) -> None:
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

    async def _refuse(
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
