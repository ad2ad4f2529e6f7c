"""Simulated key-value service with the JSON interface of etcd v3.

Faults are set through ``/lab/fault``: calls are refused, dropped or delayed, or
reads return stale values.
"""

import asyncio
import base64
import dataclasses
import enum
import itertools
import json
import time
import typing
from collections.abc import Callable

from aiohttp import web


class Fault(enum.Enum):
    """How calls fail.

    Attributes:
        NONE: Calls succeed.
        UNAVAILABLE: The response is 503, and the call is not applied.
        DROP_BEFORE: The connection is dropped, and the call is not applied.
        DROP_AFTER: The call is applied, then the connection is dropped.
        STALE: Reads return the values of the time when the fault was set.
    """

    NONE = "none"
    UNAVAILABLE = "refusing"
    DROP_BEFORE = "cutting"
    DROP_AFTER = "losing"
    STALE = "stale"


@dataclasses.dataclass(frozen=True)
class Record:
    """A stored value with its revisions and lease.

    Attributes:
        value: The value.
        create_revision: Revision that created the key.
        mod_revision: Revision that last changed the key.
        lease: ID of the lease that the key is bound to; 0 for none.
    """

    value: bytes
    create_revision: int
    mod_revision: int
    lease: int


@dataclasses.dataclass
class Lease:
    """A lease and its deadline on the monotonic clock."""

    ttl_s: float
    deadline_s: float


class Store:
    """State of the key-value service, without I/O.

    Attributes:
        revision: Number of the last change.
        records: Values by key.
        leases: Leases by ID.
        fault: How calls fail now.
        fault_calls: Number of calls that are still to fail; negative for all.
        delay_s: Delay of each call.
        calls: Number of calls by path.
        watchers: Watched keys by the queue that receives their changes.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.revision = 1
        self.records: dict[bytes, Record] = {}
        self.leases: dict[int, Lease] = {}
        self.fault = Fault.NONE
        self.fault_calls = -1
        self.delay_s = 0.0
        self.calls: dict[str, int] = {}
        self.watchers: dict[asyncio.Queue[tuple[bytes, int]], bytes] = {}
        self._now_s = now_s
        self._lease_ids = itertools.count(7000)
        self._snapshot: dict[bytes, Record] | None = None

    def set_fault(self, fault: Fault, calls: int, delay_s: float) -> None:
        """Sets how many calls fail and how, and the delay of each call."""
        self.fault = fault
        self.fault_calls = calls
        self.delay_s = delay_s
        stale = fault is Fault.STALE
        self._snapshot = dict(self.records) if stale else None

    def next_fault(self) -> Fault:
        """Returns how the next call fails, and counts it."""
        if self.fault_calls == 0:
            return Fault.NONE
        if self.fault is not Fault.NONE and self.fault_calls > 0:
            self.fault_calls -= 1
        return self.fault

    def range(self, key: bytes, end: bytes | None) -> list[dict[str, str]]:
        """Reads one key, or the keys from ``key`` up to ``end``."""
        self.expire()
        records = self.records if self._snapshot is None else self._snapshot
        if end is None:
            keys = [key] if key in records else []
        else:
            keys = sorted(k for k in records if key <= k < end)
        return [_encode_record(k, records[k]) for k in keys]

    def put(self, key: bytes, value: bytes, lease_id: int) -> None:
        """Writes a key."""
        self.revision += 1
        old = self.records.get(key)
        create_revision = old.create_revision if old else self.revision
        self.records[key] = Record(
            value, create_revision, self.revision, lease_id
        )
        self._notify(key)

    def delete(self, key: bytes) -> None:
        """Removes a key."""
        if self.records.pop(key, None) is not None:
            self.revision += 1
            self._notify(key)

    def comparison_succeeds(self, comparison: dict[str, typing.Any]) -> bool:
        """Returns whether a comparison of a transaction succeeds."""
        record = self.records.get(base64.b64decode(comparison["key"]))
        revision = 0 if record is None else record.mod_revision
        return revision == int(comparison.get("mod_revision", 0))

    def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its ID."""
        lease_id = next(self._lease_ids)
        self.leases[lease_id] = Lease(ttl_s, self._now_s() + ttl_s)
        return lease_id

    def renew(self, lease_id: int) -> float:
        """Renews a lease; returns its time to live, or 0 if it has ended."""
        self.expire()
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0.0
        lease.deadline_s = self._now_s() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """Ends a lease and removes its keys."""
        self.leases.pop(lease_id, None)
        bound_keys = [k for k, r in self.records.items() if r.lease == lease_id]
        for key in bound_keys:
            self.delete(key)

    def expire(self) -> None:
        """Ends the leases whose deadline has passed."""
        now_s = self._now_s()
        for lease_id in [
            i for i, lease in self.leases.items() if lease.deadline_s < now_s
        ]:
            self.revoke(lease_id)

    def _notify(self, key: bytes) -> None:
        for queue, watched in self.watchers.items():
            if watched == key:
                queue.put_nowait((key, self.revision))


class SimulatedKeyValueService:
    """HTTP interface of the simulated key-value service.

    Attributes:
        store: State of the service.
        app: Web application, to be served by the caller.
    """

    def __init__(self) -> None:
        self.store = Store(time.monotonic)
        self.app = web.Application(client_max_size=4_194_304)
        self.app.router.add_post("/v3/watch", self._watch)
        self.app.router.add_post("/lab/fault", self._set_fault)
        self.app.router.add_get("/lab/calls", self._list_calls)
        self.app.router.add_post("/v3/{path:.*}", self._call)

    async def _call(self, request: web.Request) -> web.StreamResponse:
        store = self.store
        path = request.match_info["path"]
        body = await request.json()
        store.calls[path] = store.calls.get(path, 0) + 1
        if store.delay_s:
            await asyncio.sleep(store.delay_s)
        fault = store.next_fault()
        if fault is Fault.UNAVAILABLE:
            return web.json_response({"error": "unavailable"}, status=503)
        if fault is Fault.DROP_BEFORE:
            return _abort_connection(request)
        reply = _HANDLERS[path](store, body)
        if fault is Fault.DROP_AFTER:
            return _abort_connection(request)
        return web.json_response(reply)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        body = (await request.json())["create_request"]
        key = base64.b64decode(body["key"])
        if self.store.next_fault() in (Fault.UNAVAILABLE, Fault.DROP_BEFORE):
            return web.json_response({"error": "unavailable"}, status=503)
        response = web.StreamResponse()
        await response.prepare(request)
        queue: asyncio.Queue[tuple[bytes, int]] = asyncio.Queue()
        self.store.watchers[queue] = key
        try:
            record = self.store.records.get(key)
            start_revision = int(body.get("start_revision", 0))
            if record is not None and record.mod_revision >= start_revision:
                queue.put_nowait((key, record.mod_revision))
            while True:
                key, _ = await queue.get()
                events = [
                    {"type": "PUT", "kv": kv}
                    for kv in self.store.range(key, None)
                ]
                line = json.dumps({"result": {"events": events}}) + "\n"
                await response.write(line.encode())
        except (ConnectionError, asyncio.CancelledError):
            return response
        finally:
            self.store.watchers.pop(queue, None)

    async def _set_fault(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.store.set_fault(
            Fault(body["fault"]),
            int(body.get("calls", -1)),
            float(body.get("delay_s", 0.0)),
        )
        return web.json_response({})

    async def _list_calls(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(self.store.calls)


def _abort_connection(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _encode_record(key: bytes, record: Record) -> dict[str, str]:
    return {
        "key": base64.b64encode(key).decode(),
        "value": base64.b64encode(record.value).decode(),
        "create_revision": str(record.create_revision),
        "mod_revision": str(record.mod_revision),
        "lease": str(record.lease),
    }


_Json = dict[str, typing.Any]


def _range(store: Store, body: _Json) -> _Json:
    end = body.get("range_end")
    kvs = store.range(
        base64.b64decode(body["key"]), base64.b64decode(end) if end else None
    )
    return {"header": _header(store), "kvs": kvs, "count": str(len(kvs))}


def _put(store: Store, body: _Json) -> _Json:
    store.put(
        base64.b64decode(body["key"]),
        base64.b64decode(body.get("value", "")),
        int(body.get("lease", 0)),
    )
    return {"header": _header(store)}


def _txn(store: Store, body: _Json) -> _Json:
    store.expire()
    succeeded = all(
        store.comparison_succeeds(c) for c in body.get("compare", ())
    )
    for operation in body.get("success", ()) if succeeded else ():
        if "request_put" in operation:
            _put(store, operation["request_put"])
        else:
            key = operation["request_delete_range"]["key"]
            store.delete(base64.b64decode(key))
    return {"header": _header(store), "succeeded": succeeded}


def _grant(store: Store, body: _Json) -> _Json:
    lease_id = store.grant(float(body["TTL"]))
    return {"header": _header(store), "ID": str(lease_id), "TTL": body["TTL"]}


def _keep_alive(store: Store, body: _Json) -> _Json:
    ttl_s = store.renew(int(body["ID"]))
    return {"result": {"ID": body["ID"], "TTL": str(int(ttl_s))}}


def _revoke(store: Store, body: _Json) -> _Json:
    store.revoke(int(body["ID"]))
    return {"header": _header(store)}


def _header(store: Store) -> _Json:
    return {"revision": str(store.revision)}


_HANDLERS: dict[str, Callable[[Store, _Json], _Json]] = {
    "kv/range": _range,
    "kv/put": _put,
    "kv/txn": _txn,
    "lease/grant": _grant,
    "lease/keepalive": _keep_alive,
    "lease/revoke": _revoke,
}
