"""Emulated store of the hosted platform, with leases, watches and faults."""

import asyncio
import base64
import dataclasses
import enum
import json
import typing

from aiohttp import web

JsonObject = dict[str, typing.Any]
_PATH = "/turmericcroft/"
_PAGE_ITEMS = 500
_PAGE_BYTES = 1_000_000


class Fault(enum.Enum):
    """How the store handles calls.

    Attributes:
        NONE: Carries out the call and responds.
        BUSY: Responds with 503 and does not carry out the call.
        RESET: Drops the connection and does not carry out the call.
        SILENT: Neither responds nor carries out the call.
        LOSING: Carries out the call and drops the connection without a
            response.
        LATE: Drops the connection of a transaction without a response, and
            carries it out later if its conditions hold then.
    """

    NONE = "none"
    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"
    LOSING = "losing"
    LATE = "late"


@dataclasses.dataclass(frozen=True)
class Item:
    """An item of the store.

    Attributes:
        key: The key.
        value: The value.
        revision: Revision of the store at the last write.
        created: Revision of the store at the write that created the item.
        lease: Id of the lease that removes it when it ends; 0 for none.
    """

    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def encode(self) -> JsonObject:
        """Encodes the item for a response."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


@dataclasses.dataclass
class Lease:
    """A lease and the time at which it expires."""

    ttl_s: float
    expires_at_s: float


@dataclasses.dataclass(frozen=True)
class Copy:
    """A copy of the store's contents, from which it can continue.

    Attributes:
        items: Items by key.
        revision: Revision of the last change in the copy.
        history: Changes up to that revision.
        lease_ttls_s: Duration of each lease, by id.
        next_lease_id: Id of the next lease that is granted.
    """

    items: dict[str, Item]
    revision: int
    history: tuple[tuple[int, JsonObject], ...]
    lease_ttls_s: dict[int, float]
    next_lease_id: int


class HostedStore:
    """The store.

    Besides its HTTP interface, tests write to it directly, in place of the
    operator and of the backend servers.

    Attributes:
        items: Items by key.
        revision: Incremented by each change.
        era: Incremented each time the store continues from a copy; stated in
            all responses.
        fault: The fault in force.
        delay_s: Delay added to each response.
        late_s: Delay of a transaction while the fault is `LATE`.
        calls: Number of calls by path.
        port: TCP port on the loopback address.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 10
        self.era = 1
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self.late_s = 0.5
        self.calls: dict[str, int] = {}
        self.port = 0
        self._history: list[tuple[int, JsonObject]] = []
        self._compacted_revision = 0
        self._leases: dict[int, Lease] = {}
        self._next_lease_id = 501
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self._late: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Host and port, as settings hold them."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Opens the port."""
        app = web.Application()
        app.router.add_route("*", _PATH + "{call}", self._serve)
        app.router.add_route("*", _PATH + "{call}/{id}", self._serve)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Closes the port; late transactions are not carried out any more."""
        for task in list(self._late):
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def write(self, key: str, value: typing.Any, lease: int = 0) -> int:
        """Writes an item and returns its revision.

        Args:
            key: The key.
            value: The value; anything but bytes is encoded as JSON.
            lease: Id of the lease that the item is bound to; 0 for none.
        """
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        current = self.items.get(key)
        created = current.created if current else self.revision
        item = Item(key, data, self.revision, created, lease)
        self.items[key] = item
        self._record_change(item.encode())
        return self.revision

    def remove(self, key: str) -> None:
        """Removes an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_change(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def compact_history(self) -> None:
        """Drops all changes so far, so that watchers must list the items again.

        A watch from an older revision gets 410.
        """
        self._history = []
        self._compacted_revision = self.revision

    def copy(self) -> Copy:
        """Returns a copy of the contents."""
        return Copy(
            dict(self.items),
            self.revision,
            tuple(self._history),
            {lease_id: lease.ttl_s for lease_id, lease in self._leases.items()},
            self._next_lease_id,
        )

    def restore(self, copy: Copy) -> None:
        """Continues from a copy.

        Changes and leases since the copy are lost, and their revisions and ids
        are given out again.
        """
        now_s = asyncio.get_running_loop().time()
        self.era += 1
        self.items = dict(copy.items)
        self.revision = copy.revision
        self._history = list(copy.history)
        self._leases = {
            lease_id: Lease(ttl_s, now_s + ttl_s)
            for lease_id, ttl_s in copy.lease_ttls_s.items()
        }
        self._next_lease_id = copy.next_lease_id
        self._notify()

    def _record_change(self, event: JsonObject) -> None:
        self._history.append((self.revision, event))
        self._notify()

    def _notify(self) -> None:
        task = asyncio.ensure_future(self._notify_watchers())
        task.add_done_callback(lambda _: None)

    async def _notify_watchers(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        response = await self._respond(request)
        response.headers["Store-Era"] = str(self.era)
        return response

    async def _respond(self, request: web.Request) -> web.StreamResponse:
        call = request.match_info["call"]
        self.calls[call] = self.calls.get(call, 0) + 1
        fault = self.fault
        if fault is Fault.BUSY:
            return web.json_response({}, status=503)
        if fault is Fault.RESET:
            return self._drop_connection(request)
        if fault is Fault.SILENT:
            await asyncio.sleep(3_600)
        if fault is Fault.LATE and call == "kv-txn":
            task = asyncio.create_task(
                self._commit_late(await request.json(), self.era)
            )
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            return self._drop_connection(request)
        self._expire_leases()
        status, body = await self._answer(call, request)
        if fault is Fault.LOSING:
            return self._drop_connection(request)
        await asyncio.sleep(self.delay_s)
        return web.json_response(body, status=status)

    def _drop_connection(self, request: web.Request) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        return web.Response()

    async def _answer(
        self, call: str, request: web.Request
    ) -> tuple[int, JsonObject]:
        body = await request.json() if request.can_read_body else {}
        query = request.query
        match call:
            case "kv-key":
                item = self.items.get(query["key"])
                store_revision = {"at": self.revision}
                return (
                    (200, item.encode() | store_revision)
                    if item
                    else (404, store_revision)
                )
            case "kv-range":
                return 200, self._range(query["pathPrefix"], query.get("after"))
            case "kv-watch":
                return await self._watch(
                    query["pathPrefix"],
                    int(query["after"]),
                    int(query["waitTimeoutMs"]) / 1000,
                )
            case "kv-txn":
                return self._commit(body)
            case "kv-lease":
                lease_id = self._next_lease_id
                self._next_lease_id += 1
                ttl_s = body["ttlMs"] / 1000
                now_s = asyncio.get_running_loop().time()
                self._leases[lease_id] = Lease(ttl_s, now_s + ttl_s)
                return 200, {"lease": lease_id, "ttlMs": body["ttlMs"]}
            case "kv-keep":
                return self._keep_alive(int(request.match_info["id"]))
            case "kv-lease-end":
                self._end_lease(int(request.match_info["id"]))
                return 200, {}
        return 404, {}

    def _range(self, prefix: str, after: str | None) -> JsonObject:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(prefix) and (after is None or key > after)
        )
        page: list[JsonObject] = []
        size = 0
        for key in keys[:_PAGE_ITEMS]:
            if size > _PAGE_BYTES:
                break
            page.append(self.items[key].encode())
            size += len(self.items[key].value)
        return {
            "entries": page,
            "hasMore": len(keys) > len(page),
            "at": self.revision,
        }

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[int, JsonObject]:
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self._compacted_revision or after > self.revision:
                return 410, {}
            events = [
                event
                for revision, event in self._history
                if revision > after and event["key"].startswith(prefix)
            ]
            left_s = deadline_s - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _commit_late(self, body: JsonObject, era: int) -> None:
        await asyncio.sleep(self.late_s)
        self._expire_leases()
        if self.era == era:
            self._commit(body)

    def _commit(self, body: JsonObject) -> tuple[int, JsonObject]:
        for row in body.get("expected", ()):
            current = self.items.get(row["key"])
            if (current.revision if current else 0) != row["revision"]:
                return 412, {"entries": [current.encode()] if current else []}
        writes = body.get("write", ())
        for write in writes:
            lease = write.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
        for write in writes:
            value = base64.b64decode(write["value"])
            self.write(write["key"], value, write.get("lease", 0))
        for key in body.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _keep_alive(self, lease_id: int) -> tuple[int, JsonObject]:
        lease = self._leases.get(lease_id)
        if lease is None:
            return 404, {}
        lease.expires_at_s = asyncio.get_running_loop().time() + lease.ttl_s
        return 200, {"ttlMs": int(lease.ttl_s * 1000)}

    def _expire_leases(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for lease_id, lease in list(self._leases.items()):
            if lease.expires_at_s <= now_s:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        bound = [k for k, item in self.items.items() if item.lease == lease_id]
        for key in bound:
            self.remove(key)
