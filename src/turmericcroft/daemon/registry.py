"""Answers of this daemon, and backups of requests that peers accepted.

A caller may reconnect to any daemon and ask for its answer by request id. The
registry finds the answer here or at a peer; if the daemon that accepted the
request was lost, its backup daemon starts the answer again.
"""

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
_BACKUP_TIMEOUT_S = 0.5
_FOLLOW_TIMEOUT_S = 2.0
# When a caller may ask again whose answer a silent peer may hold.
_SILENT_RETRY_S = 1.0
_PREFERRED_PEERS = 6
_MAX_BACKUPS = 50_000


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
class Backup:
    """A request that a peer accepted and that this daemon backs up.

    Attributes:
        request: The request.
        origin: Name of the daemon that accepted it.
        stored_at_s: Monotonic time at which it was stored here.
    """

    request: requests.ModelRequest
    origin: str
    stored_at_s: float


_Key = tuple[str, str]


class Registry:
    """Accepts requests and finds answers by account and request id.

    Attributes:
        local_answers: Answers of this daemon.
        backups: Requests of peers that this daemon backs up.
        open_lookups: Number of callers whose answers are being looked for at
            peers.
    """

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
        self.local_answers: dict[_Key, answers.Answer] = {}
        self.backups: dict[_Key, Backup] = {}
        self.open_lookups = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def accept(self, request: requests.ModelRequest) -> answers.Answer:
        """Accepts a request and starts its answer.

        A daemon on another VM is asked to store a backup of the request before
        the caller receives any part of the answer. If the two best-ranked
        daemons fail, the request continues without a backup.

        Raises:
            errors.Refusal: The request cannot be accepted; it did not run.
        """
        if self.board.stopping:
            raise errors.StoppingRefusal(
                "expected a daemon that takes new work, found one that "
                "stops; send the request again",
                retry_after_s=0.0,
            )
        self.answering.admit(request)
        answer = answers.Answer(request, self.timeline)
        self.local_answers[request.account, request.request_id] = answer
        answer.advance("admitted")
        self.answering.start(answer)
        self._spawn(self._remove_after_retention(answer))
        try:
            await self._send_backup(request)
        except asyncio.CancelledError:
            # The caller disconnected, so nobody follows the answer.
            self._spawn(self._cancel_unless_followed(answer))
            raise
        return answer

    def take_over(
        self, request: requests.ModelRequest, events: bytes
    ) -> answers.Answer:
        """Continues an answer that another daemon started."""
        key = (request.account, request.request_id)
        if key in self.local_answers:
            return self.local_answers[key]
        answer = answers.Answer(request, self.timeline)
        answer.advance("admitted")
        answer.may_have_run = True
        if events:
            answer.buffer.feed(events)
            answer.started.set()
        self.local_answers[key] = answer
        if answer.buffer.finished:
            answer.advance("connected", "handed over")
            answer.advance("finished", "handed over")
        else:
            self.answering.start(answer)
        self._spawn(self._remove_after_retention(answer))
        self._spawn(self._cancel_unless_followed(answer))
        return answer

    def store_backup(self, request: requests.ModelRequest, origin: str) -> None:
        """Stores the backup of a request that a peer accepted."""
        now_s = asyncio.get_running_loop().time()
        key = (request.account, request.request_id)
        self.backups[key] = Backup(request, origin, now_s)
        while len(self.backups) > _MAX_BACKUPS:
            self.backups.pop(next(iter(self.backups)))

    @contextlib.asynccontextmanager
    async def track_connection(
        self, answer: answers.Answer
    ) -> AsyncIterator[None]:
        """Counts a caller's connection while the context is open.

        If the last one closes before the answer ended, the answer is
        cancelled after the declared ``reconnect_grace_s``.
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
        """Finds an answer here, or restarts one that a lost peer accepted."""
        answer = self.local_answers.get((account, request_id))
        if answer is not None and answer.lifecycle.state != "moved":
            return answer
        backup = self.backups.get((account, request_id))
        if backup is not None and await self._is_lost(backup.origin):
            return self.take_over(backup.request, b"")
        return None

    async def follow_remote(
        self, account: str, request_id: str, position: int
    ) -> AsyncIterator[messages.Events]:
        """Follows an answer at another daemon.

        Raises:
            errors.UnknownAnswerRefusal: No daemon has the answer.
            errors.UnreachableAnswerRefusal: One that may have it did not reply.
        """
        message = messages.Follow(request_id, account, position)
        self.open_lookups += 1
        try:
            first, replies = await self._find_remote(message)
        finally:
            self.open_lookups -= 1
        yield first
        async for reply in replies:
            if isinstance(reply, messages.Events):
                yield reply

    async def _find_remote(
        self, message: messages.Follow
    ) -> tuple[messages.Events, AsyncIterator[messages.Message]]:
        """Returns the first events of a peer that has an answer, and the rest.

        Raises:
            errors.UnknownAnswerRefusal: No daemon has the answer.
            errors.UnreachableAnswerRefusal: One that may have it did not reply.
        """
        silent = []
        request_id = message.request_id
        alive = self.members.alive()
        ranked = view.rank(request_id, alive)
        rest = [m for m in alive if m not in ranked[:_PREFERRED_PEERS]]
        for member in (*ranked[:_PREFERRED_PEERS], *rest):
            replies = self._stream_from(member, message)
            try:
                async for reply in replies:
                    if isinstance(reply, messages.Events):
                        return reply, replies
            except errors.MeshError as error:
                _LOG.warning(
                    "following the answer at a peer failed", error=str(error)
                )
                if isinstance(error, errors.MeshTimeoutError):
                    silent.append(member.name)
        if silent:
            # A run that goes on there must not begin again here.
            raise errors.UnreachableAnswerRefusal(
                f"expected to learn who holds the answer {request_id!r}, found "
                f"daemons that do not reply: {', '.join(silent)}",
                retry_after_s=_SILENT_RETRY_S,
            )
        raise errors.UnknownAnswerRefusal(
            f"expected the id of an answer of this account, found "
            f"{request_id!r}, which no daemon holds"
        )

    async def _stream_from(
        self, member: view.Member, message: messages.Follow
    ) -> AsyncIterator[messages.Message]:
        """Yields a member's replies.

        Raises:
            errors.MeshTimeoutError: The first is not in time.
        """
        stream = self.peers.link_to(member).stream(message)
        try:
            first = await asyncio.wait_for(anext(stream), _FOLLOW_TIMEOUT_S)
        except StopAsyncIteration:
            return
        except TimeoutError as error:
            raise errors.MeshTimeoutError(
                f"{member.name}: no reply within {_FOLLOW_TIMEOUT_S} s"
            ) from error
        yield first
        async for reply in stream:
            yield reply

    async def _send_backup(self, request: requests.ModelRequest) -> None:
        own = self.members.own.name
        message = messages.KeepRequest(request, own)
        for member in self.rank_backup_daemons(request.request_id)[:2]:
            try:
                reply = await self.peers.call(
                    member, message, _BACKUP_TIMEOUT_S
                )
            except errors.MeshError as error:
                _LOG.warning(
                    "storing the request at a backup daemon failed",
                    error=str(error),
                )
                continue
            if isinstance(reply, messages.Held):
                return

    def rank_backup_daemons(self, request_id: str) -> tuple[view.Member, ...]:
        """Ranks the peers that back up or take over a request, best first."""
        zone = self.members.own.availability_zone
        return view.rank_other_zones_first(
            request_id, self.members.alive(), zone
        )

    async def _is_lost(self, name: str) -> bool:
        observation = self.members.observations.get(name)
        if observation is None:
            return True
        health = self.members.health(name)
        if health in (view.Health.DEAD, view.Health.LEFT):
            return True
        try:
            await self.peers.call(
                observation.member, messages.FetchHead(), _BACKUP_TIMEOUT_S
            )
        except errors.MeshTimeoutError:
            # It may be slow or paused, and go on with its answers.
            return False
        except errors.MeshError:
            return True
        return False

    async def _remove_after_retention(self, answer: answers.Answer) -> None:
        await answer.ended.wait()
        limits = self.settings.callers
        await asyncio.sleep(limits.delivered_retention_s)
        if not answer.delivered:
            rest_s = limits.answer_retention_s - limits.delivered_retention_s
            await asyncio.sleep(max(0.0, rest_s))
        key = (answer.request.account, answer.request.request_id)
        if self.local_answers.get(key) is answer:
            del self.local_answers[key]

    async def _cancel_unless_followed(self, answer: answers.Answer) -> None:
        in_force = self.board.in_force
        grace_s = 5.0
        if in_force is not None:
            grace_s = in_force.content.policy.reconnect_grace_s
        await asyncio.sleep(grace_s)
        if not answer.caller_count and not self.board.stopping:
            await self.answering.stop(answer)

    def _spawn(self, work: Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
