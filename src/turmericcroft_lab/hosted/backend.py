"""Emulated backend servers of the hosted platform: engines, plain services.

Tests and the soak tell a server in advance how to misbehave, and read from it
afterwards which requests it received and executed.
"""

import asyncio
import dataclasses
import enum
import itertools
import os
import random
from collections.abc import Callable
from collections.abc import Iterator

from turmericcroft_lab.hosted import loopback
from turmericcroft_lab.hosted import moves
from turmericcroft_lab.hosted import runs
from turmericcroft_lab.hosted import wire

# Time from the headers of an answer to the crash that its request causes.
_CRASH_DELAY_S = 0.02
_MAX_LATE_S = 0.3
# How often a plain request notes whether its caller has closed the connection.
_CALLER_CHECK_S = 0.05


class Behaviour(enum.Enum):
    """What a server does with a request.

    All but ``REFUSE``, ``MISDIRECTED`` and ``EARLY`` execute the request. For
    a stream, only ``FAIL``, ``UNAVAILABLE``, ``LATE``, ``BREAK``, ``SKIP`` and
    the ``UNFRAMED`` ones differ from ``ANSWER``; for a plain request ``BREAK``,
    ``SKIP`` and the last two ``UNFRAMED`` ones act like ``UNFRAMED``.

    Attributes:
        ANSWER: Sends a correct response.
        REFUSE: Responds with 503 and states that it did not execute the
            request.
        MISDIRECTED: Responds with 421 and the id of another server.
        FAIL: Responds with 500.
        UNAVAILABLE: Responds with 503, without stating whether it executed
            the request.
        LATE: Responds with 504, as a server does at a request's deadline.
        RESET: Resets the connection without a response.
        TRUNCATE: Sends half of the body and closes the connection.
        EXTRA: Sends two responses.
        EXTRA_LATE: Sends a response, and one more a while later.
        EXTRA_CUT: Sends a response and the start of one more.
        FOREIGN: Sends the response to another request before its own.
        UNFRAMED: Sends a response without a length and closes the connection.
        UNFRAMED_RESET: Sends a response without a length and resets the
            connection, within an event of a stream.
        UNFRAMED_KILLED: Sends half of a response without a length and crashes.
        UNSIGNED: Sends a response without a signature.
        MUTE: Sends nothing for 30 s, then closes the connection.
        BREAK: Closes the connection in the middle of an event of a stream.
        SKIP: Omits an event of a stream.
        UNFRAMED_BREAK: Sends a stream without a length or chunks and closes the
            connection within an event.
        UNFRAMED_EMPTY: The same, but closes before the first event.
        EARLY: Rejects the request with 413 before its body has arrived, and
            discards the body afterwards.
    """

    ANSWER = "answer"
    REFUSE = "refuse"
    MISDIRECTED = "misdirected"
    FAIL = "fail"
    UNAVAILABLE = "unavailable"
    LATE = "late"
    RESET = "reset"
    TRUNCATE = "truncate"
    EXTRA = "extra"
    EXTRA_LATE = "extra_late"
    EXTRA_CUT = "extra_cut"
    FOREIGN = "foreign"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed_reset"
    UNFRAMED_KILLED = "unframed_killed"
    UNSIGNED = "unsigned"
    MUTE = "mute"
    BREAK = "break"
    SKIP = "skip"
    UNFRAMED_BREAK = "unframed_break"
    UNFRAMED_EMPTY = "unframed_empty"
    EARLY = "early"


_UNFRAMED = (
    Behaviour.UNFRAMED,
    Behaviour.UNFRAMED_RESET,
    Behaviour.UNFRAMED_BREAK,
    Behaviour.UNFRAMED_EMPTY,
)
_NOT_RUN = (Behaviour.REFUSE, Behaviour.MISDIRECTED)
# Errors in place of a stream look like one.
_ERROR_STATUSES = {
    Behaviour.FAIL: 500,
    Behaviour.UNAVAILABLE: 503,
    Behaviour.LATE: 504,
}
_BROKEN = (
    Behaviour.BREAK,
    Behaviour.UNFRAMED_RESET,
    Behaviour.UNFRAMED_BREAK,
)


@dataclasses.dataclass(frozen=True)
class VersionFault:
    """How a software version is bad.

    Attributes:
        failing_share: Part of its answers that are failures.
        slow_share: Part of its answers that take several times as long.
        slow_factor: How many times as long these take.
        after_s: Time from its first request after which it is bad.
        min_requests: Requests in progress at the server from which on it is
            bad.
        path: Start of the paths on which it is bad.
    """

    failing_share: float = 0.0
    slow_share: float = 0.0
    slow_factor: float = 5.0
    after_s: float = 0.0
    min_requests: int = 0
    path: str = "/"


class Backend:
    """One backend server.

    Attributes:
        name: Id of the server.
        service: The service that it belongs to.
        plan: Behaviours for the next requests.
        usual: Behaviours for the requests after these.
        received: Client requests, without status queries and migration orders.
        executed: Ids of the requests that it executed.
        continued: Ids of those of them that went on from a KV cache.
        ended: Ids of the requests whose streams have ended in any way.
        reused: Ids of the requests that it refused because another one went on
            from their KV cache, here or at its other end.
        event_count: Number of events in a complete stream.
        event_interval_s: Time between events.
        processing_s: Time that a plain request takes.
        migration_orders: Bodies of the orders to transfer a KV cache.
        copy_s: Time that the transfer of a KV cache takes.
        move_answer_s: Time from the end of the transfer to its answer.
        created_surplus: Events that the answer counts beyond those made.
        handle_ttl_s: Time for which the KV caches of stopped runs and copies
            are kept.
        memories: These KV caches.
        taken: KV caches that requests go on from, by request id, until then.
        loses_migration_answers: Whether connections are reset in place of the
            answers to these orders, which are carried out.
        cached_prefixes: Cached prompt prefixes, each with its token count.
        leaves_ms: Reported time until the server is removed; None if unknown.
        headers: Headers added to all responses.
        mute_calls: Whether it leaves all calls without a request id unanswered.
        port: TCP port on the loopback address.
        connections: Number of connections accepted so far.
        executions: Running streams by request id.
        moving: Ids of the requests whose KV caches are being copied.
        outgoing: Held during a transfer to another server.
        incoming: Held during a transfer from another server.
        checks_weights: Whether it turns away requests that expect weights of
            another version than its headers state.
        crashing_parts: Ids of prompt parts, other than the last one, on which
            the server crashes soon after it began to answer.
        crashed_by: Ids of the requests that crashed it.
        started_at_ms: Start of its incarnation, in Unix milliseconds.
        version: Version of its software, which its events name.
        version_fault: How its version is bad; None if it is good.
        bad_answers: Monotonic times of the answers that this made bad.
        restart_s: Time from a crash to the next start.
        slots: Requests that it states to process at once.
        room: Requests that it holds at once, or None for any number. It turns
            others away.
        max_refusals_per_s: Requests that it may turn away in a second before
            it crashes; None if it is not brittle.
        falls: Times that it crashed because of this.
        repeats_refusals: Whether it sends the latest refusal on a connection
            once more, before the response to the next request there.
        awake: Cleared while the server neither answers nor sends anything.
        late: What it still does for requests that it has answered.
        on_executed: Called with the id of each request that it executes.
        on_continued: Called with the id of each that goes on from a KV cache.
        on_ended: Called with the id of each request whose stream ends.
        on_reused: Called with the id of each in `reused`.
        on_order: Called with each order to transfer a KV cache.
        on_copied: Called with the location of each copy that it holds.
        on_crash: Called when it crashes.
        on_restart: Called when it runs again after a crash.
    """

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.plan: list[Behaviour] = []
        self.usual: Iterator[Behaviour] = itertools.repeat(Behaviour.ANSWER)
        self.received: list[wire.ReceivedRequest] = []
        self.executed: list[str] = []
        self.continued: list[str] = []
        self.ended: list[str] = []
        self.reused: list[str] = []
        self.event_count = 5
        self.event_interval_s = 0.005
        self.processing_s = 0.0
        self.migration_orders: list[dict[str, object]] = []
        self.copy_s = 0.0
        self.move_answer_s = 0.0
        self.created_surplus = 0
        self.handle_ttl_s = 5.0
        self.memories = runs.Memories()
        self.taken: dict[str, runs.Memory] = {}
        self.loses_migration_answers = False
        self.cached_prefixes: list[tuple[str, int]] = []
        self.leaves_ms: int | None = None
        self.headers: dict[str, str] = {}
        self.mute_calls = False
        self.port = 0
        self.connections = 0
        self.executions: dict[str, runs.Execution] = {}
        self.moving: set[str] = set()
        self.outgoing = asyncio.Lock()
        self.incoming = asyncio.Lock()
        self.checks_weights = True
        self.crashing_parts: frozenset[str] = frozenset()
        self.crashed_by: list[str] = []
        self.started_at_ms = 1_700_000_000_000
        self.version = "v1"
        self.version_fault: VersionFault | None = None
        self.bad_answers: list[float] = []
        self._random = random.Random(name)
        self._first_request_s: float | None = None
        self.restart_s = 0.4
        self.slots = 8
        self.room: int | None = None
        self.max_refusals_per_s: int | None = None
        self.falls = 0
        self.repeats_refusals = False
        self._refusals: dict[asyncio.StreamWriter, bytes] = {}
        self.awake = asyncio.Event()
        self.awake.set()
        self.late: set[asyncio.Task[None]] = set()
        self._held = 0
        self._refused_at_s: list[float] = []
        self.on_executed: Callable[[str], None] = lambda _: None
        self.on_continued: Callable[[str], None] = lambda _: None
        self.on_ended: Callable[[str], None] = lambda _: None
        self.on_reused: Callable[[str], None] = lambda _: None
        self.on_order: Callable[[dict[str, object]], None] = lambda _: None
        self.on_copied: Callable[[str], None] = lambda _: None
        self.on_crash: Callable[[Backend], None] = lambda _: None
        self.on_restart: Callable[[Backend], None] = lambda _: None
        self._restart: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Host and port, as registry entries hold them."""
        return f"127.0.0.1:{self.port}"

    def registry_entry(self, **changes: object) -> dict[str, object]:
        """Builds the registry entry.

        Args:
            **changes: Fields to add or to replace.
        """
        fields: dict[str, object] = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.started_at_ms,
        }
        return fields | changes

    async def start(self, port: int = 0) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port or loopback.free_port()
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def restart(self, version: str) -> None:
        """Ends all connections and starts at once with another version."""
        await self.close()
        self.version = version
        self.started_at_ms += 1
        await self.start(self.port)

    async def close(self) -> None:
        """Closes the port and resets all connections, like a crash."""
        for task in (*self.late, *([self._restart] if self._restart else [])):
            task.cancel()
        self.memories.clear()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            loopback.reset(writer)

    def make_brittle(self, room: int, max_refusals_per_s: int) -> None:
        """Lets the server crash when it turns too many requests away."""
        self.slots = self.room = room
        self.max_refusals_per_s = max_refusals_per_s
        self.headers = {"Server-Brittle": str(max_refusals_per_s)}

    def crash(self) -> None:
        """Closes all connections, like a killed process, and starts again."""
        self.on_crash(self)
        self.memories.clear()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
        self._restart = asyncio.create_task(self._start_again())

    async def _start_again(self) -> None:
        await asyncio.sleep(self.restart_s)
        self.started_at_ms += 1
        await self.start(self.port)
        self.on_restart(self)

    def _crashes_on(self, request: wire.ReceivedRequest) -> bool:
        parts = request.headers.get("x-prompt-prefix", "").split(",")
        shared = {part.partition(":")[0] for part in parts[:-1]}
        return bool(shared & self.crashing_parts)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                request = await wire.read_request(
                    reader, self._reject_early(writer)
                )
                if request is None or not await self._answer(
                    request, reader, writer
                ):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._refusals.pop(writer, None)
            self._writers.discard(writer)
            writer.close()

    def _reject_early(
        self, writer: asyncio.StreamWriter
    ) -> Callable[[wire.ReceivedRequest], bool]:
        def reject(request: wire.ReceivedRequest) -> bool:
            if not self.plan or self.plan[0] is not Behaviour.EARLY:
                return False
            self.plan.pop(0)
            self.received.append(request)
            request_id = request.headers.get("x-request-id", "")
            wire.write_response(writer, 413, request_id, b"", self.headers)
            return True

        return reject

    async def _answer(
        self,
        request: wire.ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers one request; returns whether the connection stays open."""
        if self.repeats_refusals and writer in self._refusals:
            writer.write(self._refusals.pop(writer))
        if self.mute_calls and not request.headers.get("x-request-id"):
            await asyncio.sleep(30.0)
            return False
        call = await self._answer_call(request, writer)
        if call is not None:
            return call
        self.received.append(request)
        if not request.headers.get("x-request-id"):
            headers = {"X-Not-Executed": "1"} | self.headers
            wire.write_response(writer, 400, "", b"", headers)
            return True
        behaviour = self.plan.pop(0) if self.plan else next(self.usual)
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            behaviour = Behaviour.MISDIRECTED
        # A copy holds the place of the request that goes on from it.
        if "kv-from" not in request.headers and not self.has_room():
            behaviour = Behaviour.REFUSE
        self._held += 1
        try:
            return await self._answer_request(
                request, behaviour, reader, writer
            )
        finally:
            self._held -= 1
            self.taken.pop(request.headers.get("x-request-id", ""), None)

    async def _answer_call(
        self, request: wire.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool | None:
        """Answers a call of a daemon or an engine; None if it is none."""
        move = await moves.answer(self, request)
        if move is not None:
            if move.is_refusal:
                self._refusals[writer] = move.encode()
            return move.write(writer)
        if request.target.endswith("/report"):
            wire.write_json(writer, self._report(), self.headers)
            return True
        if request.target == "/healthz":
            headers = {"X-Instance-Id": self.name} | self.headers
            wire.write_response(writer, 200, "", b"", headers)
            return True
        if request.target.endswith("/kv-list"):
            prefixes = [["", *prefix, "m"] for prefix in self.cached_prefixes]
            wire.write_json(writer, {"held": prefixes}, {})
            return True
        return None

    def has_room(self) -> bool:
        """Whether it would take one more request or copy."""
        now_s = asyncio.get_running_loop().time()
        held = self._held + self.memories.count_copies(now_s)
        return self.room is None or held < self.room

    def _has_weights(self, request: wire.ReceivedRequest) -> bool:
        stated = self.headers.get("X-Weight-Versions")
        expected = request.headers.get("x-expect-version", stated)
        return stated is None or expected == stated

    def _report(self) -> dict[str, object]:
        runs = [
            [request_id, 100, execution.events, 0]
            for request_id, execution in self.executions.items()
        ]
        return {
            "state": "draining" if self.leaves_ms is not None else "ready",
            "leaves_ms": self.leaves_ms,
            "born": self.started_at_ms,
            "runs": runs,
        }

    def _record_refusal(self) -> None:
        """Crashes a brittle server that turned too many requests away."""
        if self._restart is not None and not self._restart.done():
            return
        now_s = asyncio.get_running_loop().time()
        recent = [t for t in self._refused_at_s if now_s - t < 1.0]
        self._refused_at_s = [*recent, now_s]
        if (
            self.max_refusals_per_s is not None
            and len(self._refused_at_s) > self.max_refusals_per_s
        ):
            self._refused_at_s = []
            self.falls += 1
            self.crash()

    async def _answer_request(
        self,
        request: wire.ReceivedRequest,
        behaviour: Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a client's request; returns whether the connection stays."""
        loop = asyncio.get_running_loop()
        request.ends_at_s = loop.time() + _find_time_left_s(request)
        behaviour = await self._wait_in_queue(behaviour, request.ends_at_s)
        request_id = request.headers.get("x-request-id", "")
        if self.checks_weights and not self._has_weights(request):
            headers = {"X-Not-Executed": "1"} | self.headers
            wire.write_response(writer, 421, request_id, b"", headers)
            return True
        if (
            "kv-from" in request.headers
            and behaviour not in _NOT_RUN
            and not await moves.take(self, request)
        ):
            behaviour = Behaviour.REFUSE
        match behaviour:
            case Behaviour.REFUSE:
                headers = {"X-Not-Executed": "1", "Content-Length": "0"}
                refusal = wire.encode_head(
                    503, request_id, headers | self.headers
                )
                self._refusals[writer] = refusal
                writer.write(refusal)
                self._record_refusal()
                return True
            case Behaviour.MISDIRECTED:
                wire.write_response(
                    writer,
                    421,
                    request_id,
                    b"",
                    {"X-Instance-Id": "other"} | self.headers,
                )
                return True
        self.executed.append(request_id)
        self.on_executed(request_id)
        is_stream = "/stream/" in request.target
        slow_factor = 1.0
        if behaviour is Behaviour.ANSWER:
            fails, slow_factor = self._draw_fault(request)
            if fails and is_stream:
                wire.write_response(
                    writer, 500, request_id, b"failed", self.headers
                )
                return True
            behaviour = Behaviour.FAIL if fails else behaviour
        if is_stream and behaviour in _ERROR_STATUSES:
            wire.write_response(
                writer,
                _ERROR_STATUSES[behaviour],
                request_id,
                b"id: 3\ndata: failed\n\n",
                {"Content-Type": "text/event-stream"} | self.headers,
            )
            return True
        if is_stream:
            return await self._answer_stream(
                request, behaviour, reader, writer, slow_factor
            )
        time_left_s = request.ends_at_s - loop.time()
        took_s = self.processing_s * slow_factor
        behaviour = Behaviour.LATE if took_s > time_left_s else behaviour
        watch = asyncio.create_task(_watch_caller(request, reader))
        try:
            return await self._answer_plain(
                request_id, behaviour, writer, min(took_s, time_left_s)
            )
        finally:
            watch.cancel()

    async def _wait_in_queue(
        self, behaviour: Behaviour, ends_at_s: float
    ) -> Behaviour:
        """Refuses a request whose deadline passes before it can run."""
        await self.awake.wait()
        is_late = asyncio.get_running_loop().time() > ends_at_s
        return Behaviour.REFUSE if is_late else behaviour

    def _draw_fault(self, request: wire.ReceivedRequest) -> tuple[bool, float]:
        """Draws whether an answer fails, and how many times as long it takes.

        Draws don't depend on whether the version is bad now.
        """
        now_s = asyncio.get_running_loop().time()
        if self._first_request_s is None:
            self._first_request_s = now_s
        draw = self._random.random()
        fault = self.version_fault
        if (
            fault is None
            or now_s - self._first_request_s < fault.after_s
            or self._held < fault.min_requests
            or not request.target.startswith(fault.path)
            or draw >= fault.failing_share + fault.slow_share
        ):
            return False, 1.0
        self.bad_answers.append(now_s)
        if draw < fault.failing_share:
            return True, 1.0
        return False, fault.slow_factor

    async def _answer_plain(
        self,
        request_id: str,
        behaviour: Behaviour,
        writer: asyncio.StreamWriter,
        took_s: float,
    ) -> bool:
        await asyncio.sleep(took_s)
        await self.awake.wait()
        body = f"answer to {request_id} by {self.name}".encode()
        signature = {
            "X-Server-Signature": f"sig-{self.name}-{request_id}"
        } | self.headers
        match behaviour:
            case Behaviour.FAIL | Behaviour.UNAVAILABLE | Behaviour.LATE:
                status = _ERROR_STATUSES[behaviour]
                wire.write_response(
                    writer, status, request_id, b"failed", signature
                )
            case Behaviour.EXTRA:
                wire.write_response(writer, 200, request_id, body, signature)
                wire.write_response(
                    writer, 200, request_id, b"again", signature
                )
            case Behaviour.EXTRA_LATE:
                status = self._random.choice((200, 500))
                wire.write_response(writer, status, request_id, body, signature)
                task = asyncio.create_task(
                    self._send_late(writer, request_id, signature)
                )
                self.late.add(task)
                task.add_done_callback(self.late.discard)
            case Behaviour.EXTRA_CUT:
                wire.write_response(writer, 200, request_id, body, signature)
                head = wire.encode_head(200, request_id, signature)
                writer.write(head[: self._random.randrange(len(head))])
            case Behaviour.FOREIGN:
                wire.write_response(
                    writer, 200, "another", b"not yours", signature
                )
                wire.write_response(writer, 200, request_id, body, signature)
            case Behaviour.UNFRAMED_KILLED:
                wire.write_head(writer, 200, request_id, signature)
                writer.write(body[: len(body) // 2])
                await writer.drain()
                self.crash()
                return False
            case Behaviour.UNSIGNED:
                wire.write_response(writer, 200, request_id, body, {})
            case Behaviour.ANSWER:
                wire.write_response(writer, 200, request_id, body, signature)
            case _:
                await _answer_and_close(
                    writer, request_id, behaviour, body, signature
                )
                return False
        return True

    async def _send_late(
        self,
        writer: asyncio.StreamWriter,
        request_id: str,
        headers: dict[str, str],
    ) -> None:
        """Sends a further response; each second one has no id."""
        await asyncio.sleep(self._random.uniform(0.0, _MAX_LATE_S))
        await self.awake.wait()
        if not writer.is_closing():
            found = self._random.choice((request_id, ""))
            wire.write_response(writer, 200, found, b"late", headers)

    async def _answer_stream(
        self,
        request: wire.ReceivedRequest,
        behaviour: Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        slow_factor: float,
    ) -> bool:
        request_id = request.headers.get("x-request-id", "")
        event_count = runs.find_count(request.target, self.event_count)
        execution = moves.begin_run(self, request)
        first = execution.events + 1
        is_framed = behaviour not in _UNFRAMED
        framing = {"Transfer-Encoding": "chunked"} if is_framed else {}
        wire.write_head(
            writer,
            200,
            request_id,
            {
                "X-Server-Signature": f"sig-{self.name}-{request_id}",
                "Content-Type": "text/event-stream",
            }
            | framing
            | self.headers,
        )
        write = wire.write_chunk if is_framed else asyncio.StreamWriter.write
        if self._crashes_on(request):
            await asyncio.sleep(_CRASH_DELAY_S)
            if request_id in self.executions:
                del self.executions[request_id]
                self.crashed_by.append(request_id)
                self.crash()
            return False
        disconnected = asyncio.ensure_future(reader.read(1))
        stopped = asyncio.ensure_future(execution.stopped.wait())
        loop = asyncio.get_running_loop()
        try:
            for position in range(first, event_count + 1):
                interval_s = runs.find_interval_s(
                    request.target, self.event_interval_s
                )
                done, _ = await asyncio.wait(
                    (disconnected, stopped),
                    timeout=min(
                        interval_s * slow_factor,
                        request.ends_at_s - loop.time(),
                    ),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                # The task that waits for the stop runs after what set it.
                if (
                    done
                    or execution.stopped.is_set()
                    or loop.time() >= request.ends_at_s
                ):
                    request.cancelled = disconnected in done
                    return False
                if behaviour is Behaviour.SKIP and position == first + 1:
                    continue
                event = runs.encode_event(
                    f"{self.name} {os.getpid()}.{self.started_at_ms}",
                    execution.run,
                    f"{position}/{event_count}",
                    self.version,
                )
                if behaviour is Behaviour.UNFRAMED_EMPTY:
                    return False
                if behaviour in _BROKEN and position == first + 2:
                    write(writer, event[:5])
                    await writer.drain()
                    if behaviour is Behaviour.UNFRAMED_RESET:
                        loopback.reset(writer)
                    return False
                write(writer, event)
                execution.events = position
            if is_framed:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            return is_framed
        finally:
            disconnected.cancel()
            stopped.cancel()
            await asyncio.gather(disconnected, stopped, return_exceptions=True)
            del self.executions[request_id]
            self.ended.append(request_id)
            self.on_ended(request_id)


def _find_time_left_s(request: wire.ReceivedRequest) -> float:
    """Returns the time after which a server stops work on a request."""
    stated = request.headers.get("x-deadline-ms", "")
    return int(stated) / 1_000 if stated.isdecimal() else float("inf")


async def _watch_caller(
    request: wire.ReceivedRequest, reader: asyncio.StreamReader
) -> None:
    """Notes in a request that its caller has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(_CALLER_CHECK_S)
    request.cancelled = True


async def _answer_and_close(
    writer: asyncio.StreamWriter,
    request_id: str,
    behaviour: Behaviour,
    body: bytes,
    signature: dict[str, str],
) -> None:
    """Sends a faulty response after which the connection is closed."""
    match behaviour:
        case Behaviour.RESET:
            loopback.reset(writer)
        case Behaviour.MUTE:
            await asyncio.sleep(30.0)
        case Behaviour.TRUNCATE:
            wire.write_response(
                writer, 200, request_id, body, signature, truncated=True
            )
            await writer.drain()
        case _:
            wire.write_head(writer, 200, request_id, signature)
            writer.write(body)
            await writer.drain()
            if behaviour is Behaviour.UNFRAMED_RESET:
                await asyncio.sleep(0.02)
                loopback.reset(writer)
