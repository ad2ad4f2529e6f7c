"""HTTP client of the platform's key-value store."""

import base64
import collections
import dataclasses
import functools
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from turmericcroft import errors
from turmericcroft.clients import json_calls
from turmericcroft.clients import paging
from turmericcroft.clients import translating
from turmericcroft.fleet import positions
from turmericcroft.fleet import stored_records
from turmericcroft.gateway import ports

# The store answers in 4 ms; during a slowdown it takes about 60 times as long.
# A call that takes longer than this timeout counts as unanswered.
_CALL_TIMEOUT_S = 1.0
_WATCH_MARGIN_S = 1.0
_CONNECT_TIMEOUT_S = 0.6
_PATH = "/turmericcroft/"
# States how often the store has continued from an older copy.
_ERA_HEADER = "Store-Era"
_MAX_LEASE = 2**63
JsonObject = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class _Answer:
    """An answer of the store, with the era that it belongs to."""

    status: int
    body: JsonObject
    era: int

    def position(self, raw: JsonObject, field: str) -> positions.StorePosition:
        """Returns the position whose revision the answer states in a field."""
        revision = stored_records.parse_number(
            raw, field, positions.MAX_REVISION
        )
        return positions.StorePosition(self.era, revision)

    def parse_items(
        self, field: str, skipped: collections.Counter[str]
    ) -> tuple[ports.Item, ...]:
        """Parses a list of items; leaves out and counts odd ones."""
        return stored_records.parse_each(
            self.body.get(field),
            functools.partial(_parse_item, self),
            skipped,
        )


class Store:
    """Store client.

    Attributes:
        caller: Owner of the connections.
        calls: Number of calls made so far.
        era: Latest era that an answer stated.
        skipped: Number of items that could not be read, by cause.
    """

    def __init__(self, address: str) -> None:
        self.caller = json_calls.Caller(f"http://{address}{_PATH}")
        self.calls = 0
        self.era = 0
        self.skipped: collections.Counter[str] = collections.Counter()

    async def close(self) -> None:
        """Closes the connections."""
        await self.caller.close()

    async def get(self, key: str) -> ports.Item | None:
        """Reads one key; the read is linearizable."""
        answer = await self._call("GET", "kv-key", {"key": key})
        if answer.status == 404:
            return None
        translating.check_status(answer.status, 200, "kv-key")
        return _parse_item(answer, answer.body)

    async def list_prefix(self, prefix: str) -> ports.Listing:
        """Reads all keys that start with a prefix, page by page."""

        async def fetch_page(after: str) -> paging.Page:
            query = {"pathPrefix": prefix} | ({"after": after} if after else {})
            answer = await self._call("GET", "kv-range", query)
            translating.check_status(answer.status, 200, "kv-range")
            return paging.Page(
                answer.parse_items("entries", self.skipped),
                answer.position(answer.body, "at"),
                bool(answer.body.get("hasMore")),
                paging.find_last_key(answer.body["entries"]),
            )

        return await paging.read_listing(fetch_page)

    async def changes(
        self, prefix: str, after: positions.StorePosition, wait_s: float
    ) -> ports.Listing:
        """Waits for changes after a position.

        Raises:
            errors.HistoryDiscardedError: The store has discarded some of them
                or continues from an older copy.
        """
        query = {
            "pathPrefix": prefix,
            "after": str(after.revision),
            "waitTimeoutMs": str(int(wait_s * 1000)),
        }
        answer = await self._call(
            "GET",
            "kv-watch",
            query,
            timeout_s=wait_s + _WATCH_MARGIN_S,
            too_long=errors.HistoryDiscardedError,
        )
        if answer.era != after.era:
            raise errors.HistoryDiscardedError(
                f"expected changes of era {after.era} of the store, found era "
                f"{answer.era}"
            )
        if answer.status == 410:
            raise errors.HistoryDiscardedError(
                f"expected the changes after revision {after.revision}, found "
                "that the store has discarded them"
            )
        translating.check_status(answer.status, 200, "kv-watch")
        return ports.Listing(
            answer.parse_items("events", self.skipped),
            answer.position(answer.body, "at"),
        )

    async def commit(
        self,
        conditions: Sequence[ports.Condition],
        writes: Sequence[ports.Write],
        removals: Sequence[str] = (),
    ) -> positions.StorePosition | None:
        """Applies all writes and removals if all conditions hold."""
        body = {
            "expected": [
                {"key": condition.key, "revision": condition.revision}
                for condition in conditions
            ],
            "write": [_encode_write(write) for write in writes],
            "remove": list(removals),
        }
        answer = await self._call("POST", "kv-txn", {}, body)
        if answer.status in (404, 412):
            return None
        translating.check_status(answer.status, 200, "kv-txn")
        return answer.position(answer.body, "revision")

    async def grant_lease(self, ttl_s: float) -> ports.Lease:
        """Creates a lease."""
        body = {"ttlMs": int(ttl_s * 1000)}
        answer = await self._call("POST", "kv-lease", {}, body)
        translating.check_status(answer.status, 200, "kv-lease")
        lease = stored_records.parse_number(answer.body, "lease", _MAX_LEASE)
        return ports.Lease(lease, answer.era)

    async def keep_lease(self, lease: ports.Lease) -> bool:
        """Renews a lease; returns False if it or its era has ended."""
        if lease.era != self.era:
            return False
        answer = await self._call("POST", f"kv-keep/{lease.lease_id}", {})
        if answer.status == 404 or answer.era != lease.era:
            return False
        translating.check_status(answer.status, 200, "kv-keep")
        return True

    async def end_lease(self, lease: ports.Lease) -> None:
        """Revokes a lease and removes its keys, unless its era has ended."""
        if lease.era != self.era:
            return
        answer = await self._call(
            "DELETE", f"kv-lease-end/{lease.lease_id}", {}
        )
        if answer.status != 404:
            translating.check_status(answer.status, 200, "kv-lease-end")

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: JsonObject | None = None,
        timeout_s: float = _CALL_TIMEOUT_S,
        too_long: type[
            errors.PlatformError
        ] = errors.KeyValueOutcomeUnknownError,
    ) -> _Answer:
        call = json_calls.Call(
            method,
            path,
            timeout_s,
            _CONNECT_TIMEOUT_S,
            query,
            {},
            body,
            too_long,
        )
        self.calls += 1
        reply = await self.caller.call(call)
        era = positions.parse_era(reply.headers.get(_ERA_HEADER), self.era)
        if era < self.era:
            raise errors.KeyValueOutcomeUnknownError(
                f"{path}: expected an answer of era {self.era} of the store, "
                f"found era {era}"
            )
        self.era = era
        return _Answer(reply.status, _parse_body(reply.content), era)


def _parse_body(content: bytes) -> JsonObject:
    try:
        raw = stored_records.load_page(content) if content else {}
    except errors.DECODING_FAULTS as error:
        raise errors.KeyValueOutcomeUnknownError(
            f"expected JSON, found {len(content)} other bytes"
        ) from error
    return raw if isinstance(raw, dict) else {}


def _parse_item(answer: _Answer, raw: typing.Any) -> ports.Item:
    key = raw.get("key") if isinstance(raw, dict) else None
    if not isinstance(key, str) or not key.isprintable():
        raise errors.KeyValueOutcomeUnknownError(
            "expected an item with a key, found none"
        )
    value = None
    if not raw.get("deleted"):
        value = stored_records.decode_base64(raw.get("value") or "")
    lease = raw["lease"] if type(raw.get("lease")) is int else 0
    position = answer.position(raw, "revision")
    return ports.Item(key, value, position, lease)


def _encode_write(write: ports.Write) -> JsonObject:
    raw: JsonObject = {
        "key": write.key,
        "value": base64.b64encode(write.value).decode("ascii"),
    }
    if write.lease:
        raw["lease"] = write.lease
    return raw
