"""Answers that this daemon holds, and where to find the others."""

import asyncio
import contextlib
import dataclasses
import re
import typing
from collections.abc import AsyncIterator
from collections.abc import Coroutine

import logbook

from turmericcroft import errors
from turmericcroft import settings
from turmericcroft.answers import request as requests
from turmericcroft.daemon import answer as answers
from turmericcroft.daemon import answering as answering_tasks
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import peers as peer_links
from turmericcroft.membership import view
from turmericcroft.mesh import message as messages
from turmericcroft.timeline import recorder

_LOG = logbook.Logger("registry")
_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
_BUDDY_TIMEOUT_S = 0.5
_FOLLOW_TIMEOUT_S = 2.0
_RANKED_PEERS = 6
_MAX_KEPT = 50_000


def check_request_id(text: str) -> str:
    """Checks a request id that a caller chose.

    Raises:
        errors.InvalidRequestRefusal: It is malformed.
    """
    if not _REQUEST_ID.fullmatch(text):
        raise errors.InvalidRequestRefusal(
            "X-Request-Id: expected 1 to 64 letters, digits, '.', '_' or "
            f"'-', found {text[:80]!r}"
        )
    return text


@dataclasses.dataclass(frozen=True)
class Kept:
    """A request that a peer accepted; this daemon is its buddy.

    Attributes:
        request: The request.
        origin: The daemon that accepted it.
        kept_at_s: Monotonic time.
    """

    request: requests.ModelRequest
    origin: str
    kept_at_s: float


_Key = tuple[str, str]


class Registry:
    """Accepts requests and finds answers by account and request id."""

    def __init__(
        self,
        config: settings.Settings,
        board: boards.Board,
        answering: answering_tasks.Answering,
        members: view.View,
        peers: peer_links.Peers,
        timeline: recorder.Recorder,
    ) -> None:
        self.settings = config
        self.board = board
        self.answering = answering
        self.members = members
        self.peers = peers
        self.timeline = timeline
        self.held: dict[_Key, answers.Answer] = {}
        self.kept: dict[_Key, Kept] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def accept(self, request: requests.ModelRequest) -> answers.Answer:
        """Accepts a request: from here on it is answered.

        The request is with a buddy in another VM before the caller can see
        any of the answer.

        Raises:
            errors.Refusal: It cannot be accepted; it did not run.
        """
        if self.board.stopping:
            raise errors.StoppingRefusal(
                "expected a daemon that takes new work, found one that "
                "stops; send the request again",
                retry_after_s=0.0,
            )
        self.answering.admit(request)
        answer = answers.Answer(request, self.timeline)
        self.held[request.account, request.request_id] = answer
        answer.advance("admitted")
        self.answering.start(answer)
        self._spawn(self._retain(answer))
        try:
            await self._tell_buddy(request)
        except asyncio.CancelledError:
            # The caller left before it was told; nobody follows the answer.
            self._spawn(self._cancel_unless_followed(answer))
            raise
        return answer

    def adopt(
        self, request: requests.ModelRequest, events: bytes
    ) -> answers.Answer:
        """Goes on with an answer that another daemon began."""
        key = (request.account, request.request_id)
        if key in self.held:
            return self.held[key]
        answer = answers.Answer(request, self.timeline)
        answer.advance("admitted")
        if events:
            answer.buffer.feed(events)
            answer.started.set()
        self.held[key] = answer
        if answer.buffer.finished:
            answer.advance("connected", "handed over")
            answer.advance("finished", "handed over")
        else:
            self.answering.start(answer)
        self._spawn(self._retain(answer))
        self._spawn(self._cancel_unless_followed(answer))
        return answer

    def keep(self, request: requests.ModelRequest, origin: str) -> None:
        """Remembers a request as its buddy."""
        now_s = asyncio.get_running_loop().time()
        key = (request.account, request.request_id)
        self.kept[key] = Kept(request, origin, now_s)
        while len(self.kept) > _MAX_KEPT:
            self.kept.pop(next(iter(self.kept)))

    @contextlib.asynccontextmanager
    async def attached(self, answer: answers.Answer) -> AsyncIterator[None]:
        """Counts a caller's connection for as long as it lasts.

        When the last one goes before the answer ended, the answer is
        cancelled after the declared grace.
        """
        answer.caller_count += 1
        try:
            yield
        finally:
            answer.caller_count -= 1
            if not answer.caller_count and not answer.ended.is_set():
                self._spawn(self._cancel_unless_followed(answer))

    async def find(
        self, account: str, request_id: str
    ) -> answers.Answer | None:
        """Finds an answer here, or begins again what a lost peer accepted."""
        answer = self.held.get((account, request_id))
        if answer is not None and answer.lifecycle.state != "moved":
            return answer
        kept = self.kept.get((account, request_id))
        if kept is not None and await self._origin_is_gone(kept.origin):
            return self.adopt(kept.request, b"")
        return None

    async def follow_elsewhere(
        self, account: str, request_id: str, position: int
    ) -> AsyncIterator[messages.Events]:
        """Follows an answer that another daemon holds.

        Raises:
            errors.UnknownAnswerRefusal: No daemon that answers holds it.
        """
        message = messages.Follow(request_id, account, position)
        alive = self.members.alive()
        ranked = view.rank(request_id, alive)
        rest = [m for m in alive if m not in ranked[:_RANKED_PEERS]]
        for member in (*ranked[:_RANKED_PEERS], *rest):
            found = False
            try:
                async for reply in self._first_in_time(member, message):
                    if isinstance(reply, messages.Events):
                        found = True
                        yield reply
            except errors.MeshError as error:
                _LOG.warning("peer not followed", error=str(error))
                if found:
                    raise
            if found:
                return
        raise errors.UnknownAnswerRefusal(
            f"expected the id of an answer of this account, found "
            f"{request_id!r}, which no daemon holds"
        )

    async def _first_in_time(
        self, member: view.Member, message: messages.Follow
    ) -> AsyncIterator[messages.Message]:
        stream = self.peers.link_to(member).stream(message)
        try:
            first = await asyncio.wait_for(anext(stream), _FOLLOW_TIMEOUT_S)
        except (TimeoutError, StopAsyncIteration):
            return
        yield first
        async for reply in stream:
            yield reply

    async def _tell_buddy(self, request: requests.ModelRequest) -> None:
        own = self.members.own.name
        message = messages.KeepRequest(request, own)
        for buddy in self.ranked_elsewhere(request.request_id)[:2]:
            try:
                reply = await self.peers.call(buddy, message, _BUDDY_TIMEOUT_S)
            except errors.MeshError as error:
                _LOG.warning("buddy not told", error=str(error))
                continue
            if isinstance(reply, messages.Held):
                return

    def ranked_elsewhere(self, request_id: str) -> tuple[view.Member, ...]:
        """Ranks the peers that should hold a copy of an answer."""
        zone = self.members.own.availability_zone
        return view.rank_other_zones_first(
            request_id, self.members.alive(), zone
        )

    async def _origin_is_gone(self, origin: str) -> bool:
        observation = self.members.observations.get(origin)
        if observation is None:
            return True
        health = self.members.health(origin)
        if health in (view.Health.DEAD, view.Health.LEFT):
            return True
        try:
            await self.peers.call(
                observation.member, messages.FetchHead(), _BUDDY_TIMEOUT_S
            )
        except errors.MeshError:
            return True
        return False

    async def _retain(self, answer: answers.Answer) -> None:
        await answer.ended.wait()
        limits = self.settings.callers
        await asyncio.sleep(limits.delivered_retention_s)
        if not answer.delivered:
            rest_s = limits.answer_retention_s - limits.delivered_retention_s
            await asyncio.sleep(max(0.0, rest_s))
        key = (answer.request.account, answer.request.request_id)
        if self.held.get(key) is answer:
            del self.held[key]

    async def _cancel_unless_followed(self, answer: answers.Answer) -> None:
        in_force = self.board.in_force
        grace_s = 5.0
        if in_force is not None:
            grace_s = in_force.content.policy.reconnect_grace_s
        await asyncio.sleep(grace_s)
        if not answer.caller_count and not self.board.stopping:
            await self.answering.stop(answer, "caller_gone")

    def _spawn(self, work: Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
