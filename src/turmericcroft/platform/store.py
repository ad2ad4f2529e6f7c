"""HTTP client of the platform's key-value store."""

import base64
import binascii
import json
import typing
from collections.abc import Mapping
from collections.abc import Sequence

import aiohttp

from turmericcroft import errors
from turmericcroft.clients import translating
from turmericcroft.gateway import ports
from turmericcroft.platform import sockets

# The store answers in 4 ms; during a slowdown it takes about 60 times as long.
# A call that takes longer than this timeout counts as unanswered.
_CALL_TIMEOUT_S = 1.0
_WATCH_MARGIN_S = 1.0
_CONNECT_TIMEOUT_S = 0.6
_PATH = "/turmericcroft/"
# Errors that prove that nothing was sent.
_NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)

JsonObject = dict[str, typing.Any]


class Store:
    """Store client that owns its HTTP session.

    Attributes:
        url: Base URL.
        calls: Number of calls made so far.
    """

    def __init__(self, address: str) -> None:
        self.url = f"http://{address}{_PATH}"
        self.calls = 0
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> ports.Item | None:
        """Reads one key; the read is linearizable."""
        status, raw = await self._call("GET", "kv-key", {"key": key})
        if status == 404:
            return None
        _check_status(status, 200, "kv-key")
        return _parse_item(raw)

    async def list_prefix(self, prefix: str) -> ports.Listing:
        """Reads all keys that start with a prefix, page by page.

        The pages are not read from one snapshot, so the listing states the
        revision of its first page.
        """
        items: list[ports.Item] = []
        revision: int | None = None
        query = {"pathPrefix": prefix}
        while True:
            status, raw = await self._call("GET", "kv-range", query)
            _check_status(status, 200, "kv-range")
            page = [_parse_item(entry) for entry in raw.get("entries", ())]
            items.extend(page)
            if revision is None:
                revision = int(raw.get("at", 0))
            if not raw.get("hasMore") or not page:
                return ports.Listing(tuple(items), revision)
            query = {"pathPrefix": prefix, "after": page[-1].key}

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> ports.Listing:
        """Waits for changes after a revision.

        Raises:
            errors.HistoryDiscardedError: The store has discarded some of them.
        """
        query = {
            "pathPrefix": prefix,
            "after": str(after),
            "waitTimeoutMs": str(int(wait_s * 1000)),
        }
        status, raw = await self._call(
            "GET", "kv-watch", query, timeout_s=wait_s + _WATCH_MARGIN_S
        )
        if status == 410:
            raise errors.HistoryDiscardedError(
                f"expected the changes after revision {after}, found that "
                "the store has discarded them"
            )
        _check_status(status, 200, "kv-watch")
        items = tuple(_parse_item(event) for event in raw.get("events", ()))
        return ports.Listing(items, int(raw.get("at", after)))

    async def commit(
        self,
        conditions: Sequence[ports.Condition],
        writes: Sequence[ports.Write],
        removals: Sequence[str] = (),
    ) -> int | None:
        """Applies all writes and removals if all conditions hold."""
        body = {
            "expected": [
                {"key": condition.key, "revision": condition.revision}
                for condition in conditions
            ],
            "write": [_encode_write(write) for write in writes],
            "remove": list(removals),
        }
        status, raw = await self._call("POST", "kv-txn", {}, body)
        if status in (404, 412):
            return None
        _check_status(status, 200, "kv-txn")
        return int(raw["revision"])

    async def grant_lease(self, ttl_s: float) -> int:
        """Creates a lease."""
        body = {"ttlMs": int(ttl_s * 1000)}
        status, raw = await self._call("POST", "kv-lease", {}, body)
        _check_status(status, 200, "kv-lease")
        return int(raw["lease"])

    async def keep_lease(self, lease: int) -> bool:
        """Renews a lease; returns False if it has ended."""
        status, _ = await self._call("POST", f"kv-keep/{lease}", {})
        if status == 404:
            return False
        _check_status(status, 200, "kv-keep")
        return True

    async def end_lease(self, lease: int) -> None:
        """Revokes a lease and removes its keys."""
        status, _ = await self._call("DELETE", f"kv-lease-end/{lease}", {})
        if status != 404:
            _check_status(status, 200, "kv-lease-end")

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: JsonObject | None = None,
        timeout_s: float | None = None,
    ) -> tuple[int, JsonObject]:
        timeout = aiohttp.ClientTimeout(
            total=timeout_s or _CALL_TIMEOUT_S, sock_connect=_CONNECT_TIMEOUT_S
        )
        self.calls += 1
        with translating.translate_errors(path, _NOT_SENT_ERRORS):
            async with self._get_session().request(
                method,
                self.url + path,
                params=query,
                json=body,
                timeout=timeout,
            ) as response:
                content = await response.read()
                return response.status, _parse_body(content)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=sockets.make_connector()
            )
        return self._session


def _check_status(status: int, expected: int, path: str) -> None:
    if status == expected:
        return
    text = f"{path}: expected status {expected}, found {status}"
    if status in (429, 503):
        raise errors.KeyValueUnavailableError(text)
    raise errors.KeyValueOutcomeUnknownError(text)


def _parse_body(content: bytes) -> JsonObject:
    try:
        raw = json.loads(content) if content else {}
    except ValueError as error:
        raise errors.KeyValueOutcomeUnknownError(
            f"expected JSON, found {len(content)} other bytes"
        ) from error
    return raw if isinstance(raw, dict) else {}


def _parse_item(raw: JsonObject) -> ports.Item:
    value = None
    if not raw.get("deleted"):
        try:
            value = base64.b64decode(raw.get("value", ""))
        except binascii.Error:
            # Decoders reject an empty value as malformed.
            value = b""
    return ports.Item(raw["key"], value, int(raw["revision"]))


def _encode_write(write: ports.Write) -> JsonObject:
    raw: JsonObject = {
        "key": write.key,
        "value": base64.b64encode(write.value).decode("ascii"),
    }
    if write.lease:
        raw["lease"] = write.lease
    return raw
