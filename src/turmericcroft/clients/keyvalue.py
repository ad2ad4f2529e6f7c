"""Client of the key-value service, over the etcd v3 JSON gateway."""

import base64
import dataclasses
import json
import typing
from collections.abc import AsyncIterator
from collections.abc import Sequence

import aiohttp

from turmericcroft import errors
from turmericcroft.clients import bounded
from turmericcroft.clients import translating

_MAX_WATCH_LINE_BYTES = 2_097_152
_MAX_BODY_BYTES = 8_388_608
# Errors that prove that nothing was sent.
_NOT_SENT_ERRORS = (aiohttp.ClientConnectorError,)
_STATUS_OK = 200


@dataclasses.dataclass(frozen=True)
class Entry:
    """A key with its value.

    Attributes:
        key: The key.
        value: The value; empty if a watch reports a deleted key.
        mod_revision: Store revision of the last change; 0 for a deleted key.
    """

    key: str
    value: bytes
    mod_revision: int


@dataclasses.dataclass(frozen=True)
class Put:
    """A write within a transaction.

    Attributes:
        key: The key.
        value: The value.
        lease: Id of the lease that the key is attached to; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True)
class Delete:
    """A deletion of one key within a transaction."""

    key: str


@dataclasses.dataclass(frozen=True)
class Condition:
    """A condition of a transaction: the key's last change has this revision.

    Attributes:
        key: The key.
        mod_revision: The revision; 0 if the key must not exist.
    """

    key: str
    mod_revision: int


class KeyValue:
    """Key-value client that owns its HTTP session.

    Attributes:
        url: Base URL of the key-value service.
        timeout_s: Timeout of a call; a watch applies it to connecting only.
        calls: Number of calls made so far.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.calls = 0
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> Entry | None:
        """Reads one key; the read is linearizable."""
        reply = await self._call("/v3/kv/range", {"key": _encode_base64(key)})
        entries = _parse_entries(reply)
        return entries[0] if entries else None

    async def list_prefix(self, prefix: str) -> tuple[Entry, ...]:
        """Reads all keys that start with a prefix, in key order."""
        body = {
            "key": _encode_base64(prefix),
            "range_end": _encode_base64(_prefix_end(prefix)),
        }
        return _parse_entries(await self._call("/v3/kv/range", body))

    async def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes one key."""
        await self._call("/v3/kv/put", _encode_put(Put(key, value, lease)))

    async def commit(
        self,
        conditions: Sequence[Condition],
        operations: Sequence[Put | Delete],
    ) -> bool:
        """Applies all operations if all conditions hold.

        Returns:
            Whether the operations were applied.

        Raises:
            errors.KeyValueUnavailableError: Nothing was sent.
            errors.KeyValueOutcomeUnknownError: No valid answer arrived; read
                the keys to find out whether the operations were applied.
        """
        body = {
            "compare": [
                {
                    "key": _encode_base64(condition.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(condition.mod_revision),
                }
                for condition in conditions
            ],
            "success": [
                _encode_operation(operation) for operation in operations
            ],
        }
        reply = await self._call("/v3/kv/txn", body)
        return bool(reply.get("succeeded", False))

    async def grant_lease(self, ttl_s: int) -> int:
        """Creates a lease and returns its id."""
        reply = await self._call("/v3/lease/grant", {"TTL": str(ttl_s)})
        return int(reply["ID"])

    async def keep_lease(self, lease: int) -> bool:
        """Renews a lease; returns False if it has expired."""
        reply = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        result = reply.get("result", reply)
        return int(result.get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """Revokes a lease and removes its keys."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(
        self, key: str, start_revision: int
    ) -> AsyncIterator[Entry]:
        """Yields the changes of one key until the connection ends.

        Raises:
            errors.KeyValueUnavailableError: The connection failed or ended.
        """
        request = {
            "create_request": {
                "key": _encode_base64(key),
                "start_revision": str(start_revision),
            }
        }
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self.timeout_s)
        self.calls += 1
        try:
            async with self._get_session().post(
                f"{self.url}/v3/watch", json=request, timeout=timeout
            ) as response:
                if response.status != _STATUS_OK:
                    raise errors.KeyValueUnavailableError(
                        f"watch of {key}: expected status 200, found "
                        f"{response.status:03}"
                    )
                async for line in response.content:
                    for entry in _parse_watch_line(line):
                        yield entry
        except (
            aiohttp.ClientError,
            OSError,
            *errors.DECODING_FAULTS,
        ) as error:
            raise errors.KeyValueUnavailableError(
                f"watch of {key}: expected an open stream, found {error!r}"
            ) from error

    async def _call(
        self, path: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        timeout = aiohttp.ClientTimeout(
            total=self.timeout_s, sock_connect=self.timeout_s
        )
        self.calls += 1
        with translating.translate_errors(path, _NOT_SENT_ERRORS):
            async with self._get_session().post(
                self.url + path, json=body, timeout=timeout
            ) as response:
                content = await bounded.read_body(response, _MAX_BODY_BYTES)
                return _parse_reply(path, response.status, content)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                read_bufsize=_MAX_WATCH_LINE_BYTES
            )
        return self._session


def _parse_reply(path: str, status: int, body: bytes) -> dict[str, typing.Any]:
    if status == 503:
        raise errors.KeyValueUnavailableError(
            f"{path}: expected status 200, found 503"
        )
    try:
        reply = json.loads(body.partition(b"\n")[0])
    except errors.DECODING_FAULTS:
        reply = None
    if status != _STATUS_OK or not isinstance(reply, dict):
        raise errors.KeyValueOutcomeUnknownError(
            f"{path}: expected status 200 and JSON, found status {status}"
        )
    return reply


def _encode_base64(text: str | bytes) -> str:
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode("ascii")


def _prefix_end(prefix: str) -> bytes:
    data = bytearray(prefix.encode())
    data[-1] += 1
    return bytes(data)


def _encode_put(put: Put) -> dict[str, typing.Any]:
    body = {"key": _encode_base64(put.key), "value": _encode_base64(put.value)}
    if put.lease:
        body["lease"] = str(put.lease)
    return body


def _encode_operation(operation: Put | Delete) -> dict[str, typing.Any]:
    match operation:
        case Put():
            return {"request_put": _encode_put(operation)}
        case Delete(key):
            return {"request_delete_range": {"key": _encode_base64(key)}}


def _parse_entry(raw: dict[str, typing.Any]) -> Entry:
    return Entry(
        key=base64.b64decode(raw["key"]).decode(),
        value=base64.b64decode(raw.get("value", "")),
        mod_revision=int(raw.get("mod_revision", 0)),
    )


def _parse_entries(reply: dict[str, typing.Any]) -> tuple[Entry, ...]:
    try:
        return tuple(_parse_entry(raw) for raw in reply.get("kvs", ()))
    except errors.DECODING_FAULTS as error:
        raise errors.KeyValueOutcomeUnknownError(
            f"expected entries with a key, found {error!r}"
        ) from error


def _parse_watch_line(line: bytes) -> tuple[Entry, ...]:
    if not line.strip():
        return ()
    result = json.loads(line).get("result", {})
    events = result.get("events", ())
    return tuple(_parse_entry(event["kv"]) for event in events)
