"""Moves of KV caches between emulated engines, which call one another."""

import asyncio
import dataclasses
import json
import typing

from turmericcroft_lab.hosted import loopback
from turmericcroft_lab.hosted import runs
from turmericcroft_lab.hosted import wire

if typing.TYPE_CHECKING:
    from turmericcroft_lab.hosted import backend as backends

_COPY_PATH = "/emulated/kv-copy"
_TRANSFER_PATH = "/emulated/kv-transfer"
_HANDLE_PATH = "/turmericcroft/kv-handle/"
_CALL_TIMEOUT_S = 0.5
# Transfers are queued behind others of the target.
_TRANSFER_TIMEOUT_S = 10.0
# Answer to the first call of a transfer if nothing was copied before.
_NEW_COPY_STATUS = 201
# Answer to a call that frees a handle that was used or freed before.
_USED_STATUS = 410


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer to a call of a server.

    Attributes:
        status: HTTP status.
        fields: Fields of the body; empty for an empty body.
        is_lost: Whether the connection is reset in place of the answer.
    """

    status: int
    fields: dict[str, object] = dataclasses.field(default_factory=dict)
    is_lost: bool = False

    @property
    def is_refusal(self) -> bool:
        """Whether the call had no effect."""
        return self.status in (404, 409)

    def encode(self) -> bytes:
        """Encodes head and body."""
        body = json.dumps(self.fields).encode() if self.fields else b""
        framing = {"Content-Length": str(len(body))}
        return wire.encode_head(self.status, "", framing) + body

    def write(self, writer: asyncio.StreamWriter) -> bool:
        """Sends the answer; returns whether the connection stays open."""
        if self.is_lost:
            loopback.reset(writer)
        else:
            writer.write(self.encode())
        return not self.is_lost


def find(server: "backends.Backend", location: str) -> runs.Memory | None:
    """Finds a KV cache, whole or not."""
    now_s = asyncio.get_running_loop().time()
    return server.memories.find(location, now_s)


async def take(
    server: "backends.Backend", request: wire.ReceivedRequest
) -> bool:
    """Uses up the KV cache that a request goes on from.

    Returns:
        False if the request must be refused: the server doesn't hold the whole
        KV cache, it was used at its other end, or the run has not made the
        event that the request is to follow.
    """
    location = request.headers["kv-from"]
    request_id = request.headers.get("x-request-id", "")
    if location in server.memories.taken:
        _record_reuse(server, request_id)
    memory = find(server, location)
    if memory is None or not memory.can_follow(_last_event(request)):
        return False
    server.memories.drop(location, is_taken=True)
    status = await _free_other_end(location, memory, is_taken=True)
    if memory.is_copy and status == _USED_STATUS:
        _record_reuse(server, request_id)
        return False
    server.taken[request_id] = memory
    server.continued.append(request_id)
    server.on_continued(request_id)
    return True


def _record_reuse(server: "backends.Backend", request_id: str) -> None:
    server.reused.append(request_id)
    server.on_reused(request_id)


def begin_run(
    server: "backends.Backend", request: wire.ReceivedRequest
) -> runs.Execution:
    """Begins a run, or goes on with the one whose KV cache was taken."""
    request_id = request.headers.get("x-request-id", "")
    memory = server.taken.pop(request_id, None)
    run = runs.name_run(request_id) if memory is None else memory.run
    execution = runs.Execution(run, _last_event(request))
    server.executions[request_id] = execution
    return execution


def _last_event(request: wire.ReceivedRequest) -> int:
    return int(request.headers.get("last-event-id", "0"))


async def answer(
    server: "backends.Backend", request: wire.ReceivedRequest
) -> Answer | None:
    """Carries out a call that concerns KV caches; None if it does not."""
    if request.target.endswith("/kv-move"):
        return await _move(server, request)
    if request.target == _COPY_PATH:
        return _accept_copy(server, json.loads(request.body))
    if request.target == _TRANSFER_PATH:
        async with server.incoming:
            await asyncio.sleep(json.loads(request.body)["duration_s"])
        return Answer(200)
    if request.method == "DELETE" and request.target.startswith(_HANDLE_PATH):
        handle = request.target.removeprefix(_HANDLE_PATH)
        return await _free(server, request, handle)
    return None


async def _move(
    server: "backends.Backend", request: wire.ReceivedRequest
) -> Answer:
    order = json.loads(request.body)
    server.migration_orders.append(order)
    server.on_order(order)
    request_id = order["id"]
    if request_id in server.moving:
        return Answer(409)
    execution = server.executions.get(request_id)
    if execution is None:
        return Answer(404)
    execution.handle = execution.handle or server.memories.make_handle()
    # Callers may reach the server through several proxies; each looks for the
    # KV cache under the address that it uses.
    source = request.headers.get("host", server.address)
    location = f"{source}/{execution.handle}"
    if order["final"]:
        execution.stopped.set()
    memory = runs.Memory(
        execution.run,
        False,
        order["target"],
        _expiry_s(server),
        execution.events,
        is_whole=order["final"],
    )
    server.memories.keep(location, memory)
    server.moving.add(request_id)
    try:
        is_copied = await _copy(server, execution, location, order)
    finally:
        server.moving.discard(request_id)
    await asyncio.sleep(server.move_answer_s)
    if server.loses_migration_answers:
        return Answer(0, is_lost=True)
    if not is_copied and not order["final"]:
        return Answer(503)
    created = execution.events + server.created_surplus
    fields = {"transferHandle": execution.handle, "created": created}
    return Answer(200 if is_copied else 503, fields)


async def _copy(
    server: "backends.Backend",
    execution: runs.Execution,
    location: str,
    order: dict[str, typing.Any],
) -> bool:
    """Copies a KV cache to another server; returns whether it holds it all.

    What was copied before isn't copied again. Transfers wait for others of the
    same source, and for others to the same target.
    """
    target = order["target"]
    copy = {
        "location": location,
        "run": execution.run,
        "last_event": execution.events if order["final"] else None,
    }
    incarnation = server.memories.incarnation
    begin = copy | {"is_whole": False}
    status = await call(target, "POST", _COPY_PATH, begin)
    if status not in (200, _NEW_COPY_STATUS):
        return False
    async with server.outgoing:
        known_events = (
            0 if status == _NEW_COPY_STATUS else (execution.copied_events)
        )
        new_share = 1 - known_events / max(execution.events, 1)
        transfer = {"duration_s": server.copy_s * new_share}
        is_copied = await call(
            target, "POST", _TRANSFER_PATH, transfer, _TRANSFER_TIMEOUT_S
        )
    if is_copied != 200 or server.memories.incarnation != incarnation:
        return False
    execution.copied_events = execution.events
    end = copy | {"is_whole": True}
    return await call(target, "POST", _COPY_PATH, end) == 200


def _accept_copy(
    server: "backends.Backend", copy: dict[str, typing.Any]
) -> Answer:
    """Makes room for a copy, or accepts the end of its transfer."""
    location = copy["location"]
    known = find(server, location)
    is_known = known is not None and known.run == copy["run"]
    # The end of a transfer to an earlier process is no copy.
    if not is_known and (copy["is_whole"] or not server.has_room()):
        return Answer(503)
    memory = runs.Memory(
        copy["run"],
        True,
        location.partition("/")[0],
        _expiry_s(server),
        copy["last_event"],
        copy["is_whole"],
    )
    server.memories.keep(location, memory)
    if memory.is_whole:
        server.on_copied(location)
    return Answer(200 if is_known else _NEW_COPY_STATUS)


async def _free(
    server: "backends.Backend", request: wire.ReceivedRequest, handle: str
) -> Answer:
    """Frees a handle here and, if this is its source, at its target.

    Another server names location and run, because the source may have started
    again and given the handle to another run.
    """
    source = request.headers.get("host", server.address)
    fields = json.loads(request.body) if request.body else {}
    location = fields.get("location", f"{source}/{handle}")
    memory = find(server, location)
    if memory is None or fields.get("run", memory.run) != memory.run:
        return Answer(_USED_STATUS if location in server.memories.used else 404)
    server.memories.drop(location, fields.get("is_taken", False))
    if not memory.is_copy:
        await _free_other_end(location, memory, is_taken=False)
    return Answer(200)


async def _free_other_end(
    location: str, memory: runs.Memory, is_taken: bool
) -> int:
    """Frees a handle at the other server that knows it; returns the status."""
    path = f"{_HANDLE_PATH}{location.partition('/')[2]}"
    fields = {"location": location, "run": memory.run, "is_taken": is_taken}
    return await call(memory.other_end, "DELETE", path, fields)


def _expiry_s(server: "backends.Backend") -> float:
    return asyncio.get_running_loop().time() + server.handle_ttl_s


async def call(
    address: str,
    method: str,
    path: str,
    fields: dict[str, typing.Any],
    timeout_s: float = _CALL_TIMEOUT_S,
) -> int:
    """Calls another server; returns the status, or 0 if there was none."""
    host, _, port = address.rpartition(":")
    body = json.dumps(fields).encode()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                return int((await reader.readline()).split()[1])
            finally:
                loopback.reset(writer)
    except (OSError, TimeoutError, IndexError):
        return 0
