"""Stand-in for the platform's backend servers: engines and plain services."""

import asyncio
import dataclasses
import enum
import json
from collections.abc import Callable

from turmericcroft_lab.hosted import loopback
from turmericcroft_lab.hosted import wire


class Behaviour(enum.Enum):
    """What a server does with a request.

    Attributes:
        ANSWER: It runs the request and answers.
        REFUSE: It states that it is full and did not run the request.
        MISDIRECTED: It says that it is another server.
        FAIL: It runs the request and answers 500.
        UNAVAILABLE: It runs the request and answers 503 without a statement.
        RESET: It runs the request and resets the connection.
        TRUNCATE: It runs the request and cuts its answer short.
        EXTRA: It answers twice.
        FOREIGN: It first sends the answer to another request.
        UNFRAMED: It answers without a length and closes.
        UNFRAMED_RESET: The same, with a reset in the middle.
        UNSIGNED: It answers without a signature.
        MUTE: It runs the request and says nothing.
        BREAK: It breaks a stream off in the middle of an event.
        SKIP: It leaves an event out.
        EARLY: It rejects the request before its body is in, and reads the
            rest afterwards.
    """

    ANSWER = "answer"
    REFUSE = "refuse"
    MISDIRECTED = "misdirected"
    FAIL = "fail"
    UNAVAILABLE = "unavailable"
    RESET = "reset"
    TRUNCATE = "truncate"
    EXTRA = "extra"
    FOREIGN = "foreign"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed_reset"
    UNSIGNED = "unsigned"
    MUTE = "mute"
    BREAK = "break"
    SKIP = "skip"
    EARLY = "early"


@dataclasses.dataclass
class Execution:
    """A stream that an engine is making."""

    events: int
    stopped: asyncio.Event


class Backend:
    """One backend server.

    Attributes:
        name: Its identity.
        service: The service that it belongs to.
        plan: What to do with the next requests; then ``ANSWER``.
        received: Requests that reached it, health and orders apart.
        executed: Ids of requests that it ran.
        event_count: Events of a whole stream.
        event_interval_s: Time between events.
        processing_s: Time that a plain request takes.
        migration_orders: Bodies of orders to copy a run.
        cached_prefixes: Cached parts of prompts, with their tokens.
        leaves_ms: Time that it says it has left; None if it does not know.
        port: TCP port on the loopback address.
    """

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.plan: list[Behaviour] = []
        self.received: list[wire.ReceivedRequest] = []
        self.executed: list[str] = []
        self.event_count = 5
        self.event_interval_s = 0.005
        self.processing_s = 0.0
        self.migration_orders: list[dict[str, object]] = []
        self.cached_prefixes: list[tuple[str, int]] = []
        self.leaves_ms: int | None = None
        self.port = 0
        self.connections = 0
        self.executions: dict[str, Execution] = {}
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Address for registry entries."""
        return f"127.0.0.1:{self.port}"

    def registry_entry(self, **changes: object) -> dict[str, object]:
        """Makes its registry entry."""
        fields: dict[str, object] = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        return fields | changes

    async def start(self, port: int = 0) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port or loopback.free_port()
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Closes the port and resets all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            loopback.reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._open.add(writer)
        try:
            while True:
                seen = await wire.read_request(
                    reader, self._reject_early(writer)
                )
                if seen is None or not await self._answer(seen, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    def _reject_early(
        self, writer: asyncio.StreamWriter
    ) -> Callable[[wire.ReceivedRequest], bool]:
        def reject(seen: wire.ReceivedRequest) -> bool:
            if not self.plan or self.plan[0] is not Behaviour.EARLY:
                return False
            self.plan.pop(0)
            self.received.append(seen)
            request_id = seen.headers.get("x-request-id", "")
            wire.write_response(writer, 413, request_id, b"", {})
            return True

        return reject

    async def _answer(
        self,
        seen: wire.ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers one request; False if the connection ends."""
        if seen.target.endswith("/kv-move"):
            await self._move(seen, writer)
            return True
        if seen.target.endswith("/report"):
            body = {"state": "draining", "leaves_ms": self.leaves_ms}
            wire.write_response(writer, 200, "", json.dumps(body).encode(), {})
            return True
        if seen.target.endswith("/kv-list"):
            held = [
                ["", part, tokens, "m"] for part, tokens in self.cached_prefixes
            ]
            wire.write_response(
                writer, 200, "", json.dumps({"held": held}).encode(), {}
            )
            return True
        self.received.append(seen)
        behaviour = self.plan.pop(0) if self.plan else Behaviour.ANSWER
        request_id = seen.headers.get("x-request-id", "")
        expected = seen.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            behaviour = Behaviour.MISDIRECTED
        match behaviour:
            case Behaviour.REFUSE:
                wire.write_response(
                    writer, 503, request_id, b"", {"X-Not-Executed": "1"}
                )
                return True
            case Behaviour.MISDIRECTED:
                wire.write_response(
                    writer, 421, request_id, b"", {"X-Instance-Id": "other"}
                )
                return True
        self.executed.append(request_id)
        if "/stream/" in seen.target:
            return await self._stream(seen, behaviour, reader, writer)
        return await self._plain(request_id, behaviour, writer)

    async def _plain(
        self,
        request_id: str,
        behaviour: Behaviour,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await asyncio.sleep(self.processing_s)
        body = f"answer to {request_id} by {self.name}".encode()
        signed = {"X-Server-Signature": f"sig-{self.name}-{request_id}"}
        match behaviour:
            case Behaviour.FAIL:
                wire.write_response(writer, 500, request_id, b"failed", signed)
            case Behaviour.UNAVAILABLE:
                wire.write_response(writer, 503, request_id, b"failed", signed)
            case Behaviour.EXTRA:
                wire.write_response(writer, 200, request_id, body, signed)
                wire.write_response(writer, 200, request_id, b"again", signed)
            case Behaviour.FOREIGN:
                wire.write_response(
                    writer, 200, "another", b"not yours", signed
                )
                wire.write_response(writer, 200, request_id, body, signed)
            case Behaviour.UNSIGNED:
                wire.write_response(writer, 200, request_id, body, {})
            case Behaviour.ANSWER:
                wire.write_response(writer, 200, request_id, body, signed)
            case _:
                await _end_early(writer, request_id, behaviour, body, signed)
                return False
        return True

    async def _stream(
        self,
        seen: wire.ReceivedRequest,
        behaviour: Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request_id = seen.headers.get("x-request-id", "")
        first = int(seen.headers.get("last-event-id", "0")) + 1
        run = Execution(first - 1, asyncio.Event())
        self.executions[request_id] = run
        wire.write_head(
            writer,
            200,
            request_id,
            {
                "X-Server-Signature": f"sig-{self.name}-{request_id}",
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            },
        )
        left = asyncio.ensure_future(reader.read(1))
        stopped = asyncio.ensure_future(run.stopped.wait())
        try:
            for position in range(first, self.event_count + 1):
                done, _ = await asyncio.wait(
                    (left, stopped),
                    timeout=self.event_interval_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if done:
                    seen.cancelled = left in done
                    return False
                if behaviour is Behaviour.SKIP and position == first + 1:
                    continue
                event = f"id: {position}\ndata: {self.name}\n\n".encode()
                if behaviour is Behaviour.BREAK and position == first + 2:
                    wire.write_chunk(writer, event[:5])
                    await writer.drain()
                    return False
                wire.write_chunk(writer, event)
                run.events = position
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            left.cancel()
            stopped.cancel()
            await asyncio.gather(left, stopped, return_exceptions=True)
            del self.executions[request_id]

    async def _move(
        self, seen: wire.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        order = json.loads(seen.body)
        self.migration_orders.append(order)
        run = self.executions.get(order["id"])
        if run is None:
            wire.write_response(writer, 404, "", b"{}", {})
            return
        if order["final"]:
            run.stopped.set()
        body = {"transferHandle": f"h-{order['id']}", "created": run.events}
        wire.write_response(writer, 200, "", json.dumps(body).encode(), {})


async def _end_early(
    writer: asyncio.StreamWriter,
    request_id: str,
    behaviour: Behaviour,
    body: bytes,
    signed: dict[str, str],
) -> None:
    """Answers in a way that ends the connection."""
    match behaviour:
        case Behaviour.RESET:
            loopback.reset(writer)
        case Behaviour.MUTE:
            await asyncio.sleep(30.0)
        case Behaviour.TRUNCATE:
            wire.write_response(
                writer, 200, request_id, body, signed, truncated=True
            )
            await writer.drain()
        case _:
            wire.write_head(writer, 200, request_id, signed)
            writer.write(body)
            await writer.drain()
            if behaviour is Behaviour.UNFRAMED_RESET:
                await asyncio.sleep(0.02)
                loopback.reset(writer)
