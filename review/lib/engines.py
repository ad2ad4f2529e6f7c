"""A language model server as the users' pages describe it, in small."""

import asyncio
import contextlib
import dataclasses
import json

import standins


@dataclasses.dataclass
class Run:
    """A run of a request: it goes on at another server after a move.

    Attributes:
        request_id: Id of the request.
        made: Events made so far, at any server.
        stop: Set when the run is moved away.
    """

    request_id: str
    made: int = 0
    stop: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Engine(standins.Server):
    """Streams events and moves the memory of its runs.

    Attributes:
        events: Events of a whole stream.
        interval_s: Time between events.
        unframed_of_20: Which of each 20 streams have no length and are not sent
            in chunks, but end with their connection.
        unframed: Ids of the requests whose streams were sent so.
        loses: Tells whether the answer to the move of a request is lost.
        held: Copies of memory that arrived here, by handle: the events made.
        peers: All engines by address.
    """

    def __init__(self, name, service, record) -> None:
        super().__init__(name, service, record)
        self.events = 40
        self.interval_s = 0.05
        self.first_s = 0.1
        self.copy_s = 0.03
        self.unframed_of_20: tuple[int, ...] = ()
        self.unframed: set[str] = set()
        self.loses = lambda _request_id: False
        self._streams = 0
        self.held: dict[str, int] = {}
        self.runs: dict[str, Run] = {}
        self.peers: dict[str, Engine] = {}
        self.leaves_at_s: float | None = None

    async def answer(self, method, target, headers, body, reader, writer):
        """Answers one request; returns whether the connection stays open."""
        if target == "/turmericcroft/report":
            self._report(writer)
            return True
        if target == "/turmericcroft/kv-list":
            found = json.dumps({"epoch": 1, "next": 1, "held": []}).encode()
            self.write_answer(writer, 200, "", found)
            return True
        if target == "/turmericcroft/kv-move":
            return await self._move(json.loads(body), writer)
        if "x-prompt-prefix" not in headers:
            return await super().answer(
                method, target, headers, body, reader, writer
            )
        return await self._stream(headers, reader, writer)

    def _report(self, writer) -> None:
        found = {
            "phase": "combined",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "active": len(self.runs),
            "kvCacheUsed": 0,
            "kvCacheCapacity": 500_000,
            "transferHandles": len(self.held),
            "state": "ready" if self.leaves_at_s is None else "draining",
            "runs": [[r.request_id, 1000, r.made, 5] for r in
                     self.runs.values()],
        }
        if self.leaves_at_s is not None:
            left_s = self.leaves_at_s - self.record.now_s()
            found["leaves_ms"] = max(0, int(1000 * left_s))
        self.write_answer(writer, 200, "", json.dumps(found).encode())

    async def _move(self, order, writer) -> bool:
        run = self.runs.get(order["id"])
        target = self.peers.get(order["target"])
        if run is None or target is None:
            self.write_answer(writer, 404, "", b"{}")
            return True
        if order["final"]:
            run.stop.set()
        await asyncio.sleep(self.copy_s)
        handle = f"h-{self.name}-{order['id']}"
        target.held[f"{self.address}/{handle}"] = run.made
        is_lost = self.loses(order["id"])
        self.record.note(
            f"{self.name}: kv-move of {order['id']} at {run.made} events to "
            f"{target.name}{', its answer is lost' if is_lost else ''}"
        )
        if is_lost:
            standins.reset(writer)
            return False
        found = {"transferHandle": handle, "created": run.made}
        self.write_answer(writer, 200, "", json.dumps(found).encode())
        return True

    async def _stream(self, headers, reader, writer) -> bool:
        request_id = headers.get("x-request-id", "")
        self.received.append(request_id)
        if self.rejects(headers, writer):
            return True
        made = int(headers.get("last-event-id", "0"))
        source = headers.get("kv-from")
        if source is not None and self.held.pop(source, None) is None:
            self.write_answer(
                writer, 503, request_id, b"", X_Not_Executed="no such copy"
            )
            return True
        if source is None:
            self.ran.append(request_id)
        self.record.note(
            f"{self.name}: {'goes on with' if source else 'runs'} "
            f"{request_id} after event {made}"
        )
        run = self.runs[request_id] = Run(request_id, made)
        is_framed = self._streams % 20 not in self.unframed_of_20
        self._streams += 1
        if not is_framed:
            self.unframed.add(request_id)
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request_id}",
            f"X-Server-Signature: sig-{self.name}-{request_id}",
            "Content-Type: text/event-stream",
        ]
        if is_framed:
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append("Connection: close")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        gone = asyncio.ensure_future(reader.read(1))
        stopped = asyncio.ensure_future(run.stop.wait())
        try:
            wait_s = self.first_s
            while run.made < self.events:
                done, _ = await asyncio.wait(
                    {gone, stopped},
                    timeout=wait_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                wait_s = self.interval_s
                if done:
                    word = "moved away" if stopped in done else "caller left"
                    self.record.note(
                        f"{self.name}: {request_id} stops after event "
                        f"{run.made}: {word}"
                    )
                    await writer.drain()
                    return False
                run.made += 1
                event = f"id: {run.made}\ndata: {request_id}\n\n".encode()
                if is_framed:
                    event = b"%x\r\n%b\r\n" % (len(event), event)
                writer.write(event)
            if is_framed:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record.note(f"{self.name}: {request_id} ran to its end")
            return is_framed
        finally:
            gone.cancel()
            stopped.cancel()
            with contextlib.suppress(Exception):
                await asyncio.gather(gone, stopped, return_exceptions=True)
            self.runs.pop(request_id, None)


def prompt_headers(number: int, tokens: int = 2000) -> dict[str, str]:
    """Headers by which a request names its prompt."""
    return {
        "X-Model": "m",
        "X-Token-Usage": f"{tokens},80",
        "X-Prompt-Prefix": f"{number % 4 + 16:x}:1500,{number + 4096:x}:500",
    }


def events_in(body: bytes) -> list[int]:
    """The ids of the events in the body of a stream."""
    return [
        int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")
    ]
