"""Tasks that generate answers, one for each accepted request.

A task sends the request to a backend server. If the server is lost, the task
resumes the answer on another one after the last complete event.
"""

import asyncio
import collections
import dataclasses
import itertools

import logbook

from turmericcroft import errors
from turmericcroft import settings
from turmericcroft.answers import request as requests
from turmericcroft.backends import engine
from turmericcroft.daemon import answer as answers
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import crashes
from turmericcroft.daemon import fleet as fleet_tasks
from turmericcroft.daemon import peers as peer_links
from turmericcroft.daemon import relay
from turmericcroft.intent import document
from turmericcroft.routing import choice
from turmericcroft.routing import fleet
from turmericcroft.routing import limits
from turmericcroft.routing import suspects
from turmericcroft.timeline import recorder

_LOG = logbook.Logger("answering")
RESUME_DEADLINE_S = 60.0
_RETRY_PAUSE_S = 0.05
_MAX_RETRY_PAUSE_S = 1.0
_NO_SERVER_RETRY_AFTER_S = 2.0
_FAIR_SHARE_RETRY_AFTER_S = 1.0
_ADMITTED_WAIT_LIMIT_S = 3_600.0


@dataclasses.dataclass
class Counters:
    """Counters of this daemon's answers, for metrics.

    Attributes:
        answered: Complete answers.
        resumed: Attempts that resumed an answer after its first event.
        lost: Answers that may have run but ended incomplete.
        cancelled: Answers that were stopped because the caller disconnected.
        spilled: Attempts for which the preferred server was skipped because
            of its load.
        refused: Answers that ended without a complete response, by error
            code.
    """

    answered: int = 0
    resumed: int = 0
    lost: int = 0
    cancelled: int = 0
    spilled: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Answering:
    """Admits requests and runs the tasks that generate their answers."""

    def __init__(
        self,
        config: settings.Settings,
        board: boards.Board,
        fleet_task: fleet_tasks.FleetTask,
        peers: peer_links.Peers,
        timeline: recorder.Recorder,
    ) -> None:
        self.settings = config
        self.board = board
        self.fleet_task = fleet_task
        self.timeline = timeline
        self.ticker = relay.Ticker()
        self.crashes = crashes.CrashWatch(board, peers)
        self.counters = Counters()
        self._round_robin_counter = itertools.count()
        self._tasks: dict[answers.Answer, asyncio.Task[None]] = {}

    @property
    def open_answers(self) -> tuple[answers.Answer, ...]:
        """Answers that are being generated."""
        return tuple(self._tasks)

    def admit(self, request: requests.ModelRequest) -> None:
        """Checks whether a request can be accepted now.

        Raises:
            errors.Refusal: It cannot be accepted and was not sent.
        """
        now_s = asyncio.get_running_loop().time()
        verdict = self.board.suspects.verdict(request.fingerprint, now_s)
        if verdict is suspects.Verdict.QUARANTINED:
            raise errors.QuarantinedRefusal(
                "expected a request that backend servers survive, found one "
                "whose runs crashed them; change it or ask an operator"
            )
        if len(self._tasks) >= self.settings.callers.max_open_answers:
            raise errors.OverloadedRefusal(
                "expected room for another answer, found this daemon full",
                retry_after_s=1.0,
            )
        self._check_fair_share(request.account)
        query = self._routing_query(request, frozenset(), request.first_token_s)
        match self._choose(query):
            case choice.Overloaded(wait_s):
                raise errors.OverloadedRefusal(
                    "expected the first token within "
                    f"{request.first_token_s} s, found a wait of "
                    f"{wait_s:.1f} s",
                    retry_after_s=max(1.0, wait_s - request.first_token_s),
                )
            case choice.NoServer():
                raise errors.NoServerRefusal(
                    f"expected a server that runs {request.public_name!r}, "
                    "found none",
                    retry_after_s=_NO_SERVER_RETRY_AFTER_S,
                )

    def _check_fair_share(self, account: str) -> None:
        utilisation = self.board.load.mean_utilisation()
        if utilisation < limits.CONTENDED_UTILISATION:
            return
        open_requests = collections.Counter(
            answer.request.account for answer in self._tasks
        )
        in_force = self.board.in_force
        accounts = in_force.content.accounts if in_force else {}
        weights = {name: item.weight for name, item in accounts.items()}
        if not limits.is_within_fair_share(account, open_requests, weights):
            raise errors.FairShareRefusal(
                "expected this account within its share while servers are "
                "contended, found it above",
                retry_after_s=_FAIR_SHARE_RETRY_AFTER_S,
            )

    def start(self, answer: answers.Answer) -> None:
        """Starts the task that generates an answer."""
        task = asyncio.create_task(self._run(answer))
        self._tasks[answer] = task
        task.add_done_callback(lambda _: self._tasks.pop(answer, None))

    async def stop(self, answer: answers.Answer) -> None:
        """Stops an answer without a caller, and the engine's work for it."""
        task = self._tasks.get(answer)
        if task is None or answer.ended.is_set():
            return
        # A caller that comes back must not take what there is for the whole.
        answer.refusal = errors.AnswerLostRefusal(
            "expected the caller back in time, found none; the answer was "
            "cancelled"
        )
        answer.advance("caller_gone")
        self.counters.cancelled += 1
        await _cancel(task)

    async def freeze(self, answer: answers.Answer) -> None:
        """Stops generating an answer before it is moved or restarted.

        No event is added afterwards, so that a copy of the answer has every
        event that its caller can have received.
        """
        task = self._tasks.get(answer)
        if task is None or answer.ended.is_set():
            return
        await _cancel(task)
        if not answer.ended.is_set():
            answer.advance("server_lost", "hand-over")

    async def close(self) -> None:
        """Cancels all tasks, which closes the connections to engines."""
        for task in tuple(self._tasks.values()):
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        self.ticker.close()

    async def _run(self, answer: answers.Answer) -> None:
        try:
            async with asyncio.timeout(RESUME_DEADLINE_S) as deadline:
                await self._try_servers(answer, deadline)
        except TimeoutError:
            self.end_incomplete(
                answer,
                errors.AnswerLostRefusal(
                    "expected a server to go on with this answer, found "
                    f"none within {RESUME_DEADLINE_S:.0f} s"
                ),
            )
        except errors.Refusal as refusal:
            self.end_incomplete(answer, refusal)
        except errors.TurmericcroftError as error:
            _LOG.error("answer failed", error=str(error))
            self.end_incomplete(answer, errors.AnswerLostRefusal(str(error)))

    def end_incomplete(
        self, answer: answers.Answer, refusal: errors.Refusal
    ) -> None:
        """Ends an answer without a complete response, for a reason."""
        answer.refusal = refusal
        self.counters.refused[refusal.code] += 1
        if refusal.ran is errors.Ran.NO:
            answer.advance("refused", refusal.code)
        else:
            self.counters.lost += 1
            answer.advance("given_up", refusal.code)

    async def _try_servers(
        self, answer: answers.Answer, deadline: asyncio.Timeout
    ) -> None:
        self.board.retries.deposit()
        excluded: frozenset[str] = frozenset()
        pause_s = _RETRY_PAUSE_S
        for attempt in range(self._policy().resume_attempts):
            if attempt:
                await self._wait_for_retry(pause_s)
                pause_s = min(_MAX_RETRY_PAUSE_S, pause_s * 2)
            server = await self._wait_for_server(answer.request, excluded)
            started_at_s = asyncio.get_running_loop().time()
            try:
                await self._attempt(answer, server, deadline)
            except errors.BackendNotReachedError as error:
                self._record_failure(answer, server, str(error))
                self.fleet_task.remove_server(server, "refused connection")
            except errors.BackendRefusedError as error:
                self._record_failure(answer, server, str(error))
                if 400 <= error.status < 500:
                    if answer.may_have_run:
                        raise errors.AnswerLostRefusal(str(error)) from error
                    raise errors.InvalidRequestRefusal(str(error)) from error
            except errors.BackendError as error:
                self._record_failure(answer, server, str(error))
                await self.crashes.record_failure(
                    answer.request.fingerprint, server, error, started_at_s
                )
            else:
                return
            excluded |= {server.name}
            deadline.reschedule(
                asyncio.get_running_loop().time() + RESUME_DEADLINE_S
            )
        raise errors.AnswerLostRefusal(
            "expected one of several servers to answer, found that "
            f"{self._policy().resume_attempts} failed",
        )

    def _record_failure(
        self, answer: answers.Answer, server: fleet.Server, reason: str
    ) -> None:
        answer.buffer.drop_pending()
        answer.advance("server_lost", reason)
        now_s = asyncio.get_running_loop().time()
        self.board.load.record_failure(server.name, now_s)

    async def _wait_for_retry(self, pause_s: float) -> None:
        await asyncio.sleep(pause_s)
        while not self.board.retries.try_withdraw():
            await asyncio.sleep(_MAX_RETRY_PAUSE_S)
            self.board.retries.deposit()

    async def _wait_for_server(
        self, request: requests.ModelRequest, excluded: frozenset[str]
    ) -> fleet.Server:
        pause_s = _RETRY_PAUSE_S
        while True:
            now_s = asyncio.get_running_loop().time()
            verdict = self.board.suspects.verdict(request.fingerprint, now_s)
            if verdict is suspects.Verdict.QUARANTINED:
                # Other daemons must know of the quarantine first, because
                # the caller may retry at any of them immediately.
                await self.crashes.broadcast(
                    self.board.suspects.records[request.fingerprint]
                )
                raise errors.QuarantinedAfterRunRefusal(
                    "expected a request that backend servers survive, found "
                    "one whose runs crashed them"
                )
            avoided = excluded
            if verdict is suspects.Verdict.SUSPECT:
                avoided |= set(self.board.suspects.probation)
            query = self._routing_query(
                request, avoided, _ADMITTED_WAIT_LIMIT_S
            )
            match self._choose(query):
                case choice.Chosen(server, spilled):
                    self.counters.spilled += spilled
                    if verdict is suspects.Verdict.SUSPECT:
                        self.board.suspects.start_probation(
                            server.name, request.fingerprint
                        )
                    return server
            excluded = frozenset()
            await asyncio.sleep(pause_s)
            pause_s = min(_MAX_RETRY_PAUSE_S, pause_s * 2)

    async def _attempt(
        self,
        answer: answers.Answer,
        server: fleet.Server,
        deadline: asyncio.Timeout,
    ) -> None:
        request = answer.request
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        self.crashes.record_start(server.name, request.fingerprint)
        answer.server = server.name
        resume = None
        if answer.buffer.position:
            self.counters.resumed += 1
            text = "".join(answer.buffer.texts())
            resume = engine.Resume(answer.buffer.position, text)
        try:
            stream = await self._open_stream(answer, server, resume)
            try:
                deadline.reschedule(None)
                if stream.open_requests is not None:
                    self.board.load.record_report(
                        server.name, stream.open_requests, loop.time()
                    )
                answer.advance("connected")
                await relay.StreamForwarder(answer, stream, self.ticker).run()
            finally:
                stream.close()
            self.board.load.record_success(
                server.name, loop.time() - started_at_s
            )
            self.board.suspects.clear(request.fingerprint)
            self.counters.answered += 1
            answer.advance("finished")
        except errors.BackendLostError:
            # If the server crashed, the crash watch needs the probation to
            # identify the cause, and ends it.
            raise
        except BaseException:
            self.board.suspects.end_probation(server.name, request.fingerprint)
            raise
        finally:
            self.crashes.record_end(server.name, request.fingerprint)
            if answer.buffer.finished:
                self.board.suspects.end_probation(
                    server.name, request.fingerprint
                )

    async def _open_stream(
        self,
        answer: answers.Answer,
        server: fleet.Server,
        resume: engine.Resume | None,
    ) -> engine.EngineStream:
        """Sends the request; notes that it may run unless that is excluded."""
        had_run, answer.may_have_run = answer.may_have_run, True
        try:
            return await engine.open_stream(server.url, answer.request, resume)
        except (errors.BackendNotReachedError, errors.BackendRefusedError):
            answer.may_have_run = had_run
            raise

    def _routing_query(
        self,
        request: requests.ModelRequest,
        excluded: frozenset[str],
        wait_limit_s: float,
    ) -> choice.RoutingQuery:
        return choice.RoutingQuery(
            public_name=request.public_name,
            affinity_key=request.affinity_key,
            home_zone=self.settings.daemon.availability_zone,
            excluded=excluded,
            bounded_load_factor=self._policy().bounded_load_factor,
            wait_limit_s=wait_limit_s,
            policy=self._policy().routing,
            round_robin_index=next(self._round_robin_counter),
        )

    def _choose(self, query: choice.RoutingQuery) -> choice.RoutingDecision:
        now_s = asyncio.get_running_loop().time()
        return choice.choose(query, self.board.fleet, self.board.load, now_s)

    def _policy(self) -> document.Policy:
        if self.board.in_force is None:
            return document.Policy()
        return self.board.in_force.content.policy


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
