"""Stand-in for the platform's store, with leases, watches and faults."""

import asyncio
import base64
import dataclasses
import enum
import itertools
import json
import typing

from aiohttp import web

JsonObject = dict[str, typing.Any]
_PATH = "/turmericcroft/"
_PAGE_ITEMS = 500


class Fault(enum.Enum):
    """How the store misbehaves.

    Attributes:
        NONE: It works.
        BUSY: It answers 503 and does nothing.
        RESET: It closes the connection and does nothing.
        SILENT: It does not answer and does nothing.
        LOSING: It does what is asked and does not answer.
    """

    NONE = "none"
    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"
    LOSING = "losing"


@dataclasses.dataclass(frozen=True)
class Item:
    """An item as it is kept."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def encode(self) -> JsonObject:
        """Writes the item for an answer."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


@dataclasses.dataclass
class Lease:
    """A lease and the time at which it ends."""

    ttl_s: float
    expires_at_s: float


class HostedStore:
    """The store; tests also write to it directly, as operator and servers.

    Attributes:
        items: Items by key.
        revision: Rises with each change.
        fault: How calls misbehave now.
        delay_s: Added to each answer.
        calls: Calls by path.
        port: TCP port on the loopback address.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 10
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self.calls: dict[str, int] = {}
        self.port = 0
        self._history: list[tuple[int, JsonObject]] = []
        self._oldest = 0
        self._leases: dict[int, Lease] = {}
        self._lease_ids = itertools.count(501)
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """Address for settings."""
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
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    def write(self, key: str, value: typing.Any, lease: int = 0) -> int:
        """Writes an item; a value that is no bytes is written as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        stored = Item(key, data, self.revision, created, lease)
        self.items[key] = stored
        self._note(stored.encode())
        return self.revision

    def remove(self, key: str) -> None:
        """Removes an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def compact_history(self) -> None:
        """Drops all changes so far, so that watches must list anew."""
        self._history = []
        self._oldest = self.revision

    def _note(self, event: JsonObject) -> None:
        self._history.append((self.revision, event))
        task = asyncio.ensure_future(self._wake())
        task.add_done_callback(lambda _: None)

    async def _wake(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        call = request.match_info["call"]
        self.calls[call] = self.calls.get(call, 0) + 1
        fault = self.fault
        if fault is Fault.BUSY:
            return web.json_response({}, status=503)
        if fault is Fault.RESET:
            return self._cut(request)
        if fault is Fault.SILENT:
            await asyncio.sleep(3_600)
        self._expire()
        status, body = await self._answer(call, request)
        if fault is Fault.LOSING:
            return self._cut(request)
        await asyncio.sleep(self.delay_s)
        return web.json_response(body, status=status)

    def _cut(self, request: web.Request) -> web.Response:
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
                found = self.items.get(query["key"])
                at = {"at": self.revision}
                return (200, found.encode() | at) if found else (404, at)
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
                lease = next(self._lease_ids)
                ttl_s = body["ttlMs"] / 1000
                now_s = asyncio.get_running_loop().time()
                self._leases[lease] = Lease(ttl_s, now_s + ttl_s)
                return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
            case "kv-keep":
                return self._keep(int(request.match_info["id"]))
            case "kv-lease-end":
                self._end(int(request.match_info["id"]))
                return 200, {}
        return 404, {}

    def _range(self, prefix: str, after: str | None) -> JsonObject:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(prefix) and (after is None or key > after)
        )
        page = [self.items[key].encode() for key in keys[:_PAGE_ITEMS]]
        return {
            "entries": page,
            "hasMore": len(keys) > _PAGE_ITEMS,
            "at": self.revision,
        }

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[int, JsonObject]:
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self._oldest:
                return 410, {}
            found = [
                event
                for revision, event in self._history
                if revision > after and event["key"].startswith(prefix)
            ]
            left_s = deadline_s - asyncio.get_running_loop().time()
            if found or left_s <= 0:
                return 200, {"events": found, "at": self.revision}
            try:
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _commit(self, body: JsonObject) -> tuple[int, JsonObject]:
        for row in body.get("expected", ()):
            known = self.items.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
                return 412, {"entries": [known.encode()] if known else []}
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

    def _keep(self, lease: int) -> tuple[int, JsonObject]:
        held = self._leases.get(lease)
        if held is None:
            return 404, {}
        held.expires_at_s = asyncio.get_running_loop().time() + held.ttl_s
        return 200, {"ttlMs": int(held.ttl_s * 1000)}

    def _expire(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for lease, held in list(self._leases.items()):
            if held.expires_at_s <= now_s:
                self._end(lease)

    def _end(self, lease: int) -> None:
        self._leases.pop(lease, None)
        bound = [k for k, item in self.items.items() if item.lease == lease]
        for key in bound:
            self.remove(key)
