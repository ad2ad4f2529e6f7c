"""Headers and engine calls of the platform's clients and servers."""

import json
import math
from collections.abc import Sequence

from turmericcroft.gateway import facts

_REQUEST_ID = b"x-request-id"
_DEADLINE_MS = b"x-deadline-ms"
_API_KEY = b"x-credential"
_ACCOUNT = b"x-tenant"
_EXPECTED_SERVER = b"x-expect-instance"
_SERVER_NAME = b"x-instance-id"
_SERVER_LOAD = b"x-server-load"
_SIGNATURE = b"x-server-signature"
_NOT_RUN = b"x-not-executed"
_MODEL = b"x-model"
# Prompt tokens and the most output tokens, separated by a comma.
_TOKENS = b"x-token-usage"
_PROMPT_PARTS = b"x-prompt-prefix"
_PRIORITY = b"x-request-priority"
_LENGTH_HINT = b"x-length-hint"
_LAST_EVENT_ID = b"last-event-id"
_MEMORY_SOURCE = b"kv-from"
_HEAD_SOURCE = b"kv-fetch"
_RETRY_AFTER = b"retry-after"
_KEEP_ALIVE = b"keep-alive"

_MISDIRECTED = 421

# Headers that concern one connection only, or that frame the body.
_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        _KEEP_ALIVE,
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Headers that are the system's to set, whatever a client sends.
_OWN_HEADERS = frozenset(
    (
        _API_KEY,
        _ACCOUNT,
        _DEADLINE_MS,
        _EXPECTED_SERVER,
        _PRIORITY,
        _MEMORY_SOURCE,
        _HEAD_SOURCE,
        b"x-cache-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"x-expect-version",
    )
)
_SERVER_ONLY_HEADERS = frozenset((_SERVER_NAME, _SERVER_LOAD, _NOT_RUN))
# A header of these that comes twice could be read in two ways.
_SINGLE_HEADERS = frozenset(
    (
        b"host",
        _REQUEST_ID,
        _API_KEY,
        _DEADLINE_MS,
        _TOKENS,
        _MODEL,
        _PROMPT_PARTS,
        _LAST_EVENT_ID,
    )
)


class Dialect:
    """Translates headers and engine calls."""

    def read_request(
        self, headers: Sequence[facts.Header]
    ) -> facts.RequestFacts:
        """Reads the headers of a client's request."""
        found: dict[bytes, bytes] = {}
        fault = ""
        for name, value in headers:
            if name in _SINGLE_HEADERS and name in found:
                fault = f"expected one header {name.decode()}, found two"
            found[name] = value
        deadline_ms = _whole(found.get(_DEADLINE_MS))
        return facts.RequestFacts(
            request_id=found.get(_REQUEST_ID, b"").decode("latin-1"),
            deadline_s=None if deadline_ms is None else deadline_ms / 1000,
            api_key=_text(found.get(_API_KEY)),
            generation=_read_generation(found),
            resume_after=_whole(found.get(_LAST_EVENT_ID)),
            fault=fault,
        )

    def request_headers(
        self, headers: Sequence[facts.Header], context: facts.AttemptContext
    ) -> list[facts.Header]:
        """Makes the headers to send to a server, without the framing."""
        dropped = _CONNECTION_HEADERS | _OWN_HEADERS | _named_hops(headers)
        if context.resume_after is not None:
            dropped |= {_LAST_EVENT_ID}
        kept = [header for header in headers if header[0] not in dropped]
        kept.append((_EXPECTED_SERVER, context.server.encode()))
        kept.append((_PRIORITY, b"%d" % min(9, max(0, context.priority))))
        if context.account is not None:
            kept.append((_ACCOUNT, context.account.encode()))
        if context.remaining_s is not None:
            remaining_ms = max(1, math.floor(context.remaining_s * 1000))
            kept.append((_DEADLINE_MS, b"%d" % remaining_ms))
        if context.resume_after is not None:
            kept.append((_LAST_EVENT_ID, b"%d" % context.resume_after))
        if context.kv_cache_source is not None:
            kept.append((_MEMORY_SOURCE, context.kv_cache_source.encode()))
        if context.fetch_prefix_from is not None:
            kept.append((_HEAD_SOURCE, context.fetch_prefix_from.encode()))
        return kept

    def read_response(
        self, status: int, headers: Sequence[facts.Header]
    ) -> facts.ResponseFacts:
        """Reads the headers of a server's answer."""
        found = dict(headers)
        content_type = found.get(b"content-type", b"")
        return facts.ResponseFacts(
            request_id=found.get(_REQUEST_ID, b"").decode("latin-1"),
            signed=_SIGNATURE in found,
            proves_not_run=_NOT_RUN in found or status == _MISDIRECTED,
            is_event_stream=content_type.startswith(b"text/event-stream"),
            load=_read_load(found.get(_SERVER_LOAD)),
            idle_timeout_s=_read_idle_timeout(found.get(_KEEP_ALIVE)),
            retry_after_s=_number(found.get(_RETRY_AFTER)),
        )

    def response_headers(
        self, headers: Sequence[facts.Header]
    ) -> list[facts.Header]:
        """Makes the headers to send to a client, without the framing."""
        dropped = (
            _CONNECTION_HEADERS | _SERVER_ONLY_HEADERS | _named_hops(headers)
        )
        return [header for header in headers if header[0] not in dropped]

    def request_id_header(self, request_id: str) -> facts.Header:
        """Makes the header that names the request in an answer."""
        return _REQUEST_ID, request_id.encode("latin-1")

    def migration_request(
        self, request_id: str, target: str, final: bool
    ) -> tuple[bytes, bytes, bytes]:
        """Makes method, path and body of an order to copy a run's memory."""
        body = {"id": request_id, "target": target, "final": final}
        return b"POST", b"/turmericcroft/kv-move", json.dumps(body).encode()

    def read_migration_response(self, body: bytes) -> facts.MigrationResponse:
        """Reads the answer to such an order."""
        try:
            raw = json.loads(body)
        except ValueError:
            raw = None
        if not isinstance(raw, dict):
            raw = {}
        handle = raw.get("transferHandle", "")
        created = raw.get("created", 0)
        return facts.MigrationResponse(
            handle=str(handle) if isinstance(handle, (str, int)) else "",
            events=created if isinstance(created, int) else 0,
        )

    def report_request(self) -> tuple[bytes, bytes]:
        """Makes method and path of a question for an engine's state."""
        return b"GET", b"/turmericcroft/report"

    def read_time_left(self, body: bytes) -> float | None:
        """Reads from the answer how long the engine stays, if it knows."""
        try:
            return float(json.loads(body)["leaves_ms"]) / 1000
        except (ValueError, KeyError, TypeError):
            return None

    def cache_list_request(self) -> tuple[bytes, bytes]:
        """Makes method and path of a question for all cached parts."""
        return b"GET", b"/turmericcroft/kv-list"

    def read_cache_list(self, body: bytes) -> tuple[facts.CachedPart, ...]:
        """Reads the answer; empty if it cannot be read.

        Each row is an empty text, a part's id, its tokens and its model.
        """
        try:
            rows = json.loads(body)["held"]
            return tuple(
                facts.CachedPart(str(model), str(content_id), int(tokens))
                for _, content_id, tokens, model in rows
            )
        except (ValueError, KeyError, TypeError):
            return ()

    def kv_cache_source(self, address: str, handle: str) -> str:
        """Names the place that a moved run's memory is fetched from."""
        return f"{address}/{handle}"


def _read_generation(found: dict[bytes, bytes]) -> facts.Generation | None:
    tokens = found.get(_TOKENS)
    if tokens is None:
        return None
    prompt, _, output = tokens.partition(b",")
    parts = []
    for entry in found.get(_PROMPT_PARTS, b"").split(b","):
        content_id, _, length = entry.strip().partition(b":")
        if content_id:
            parts.append(
                facts.PromptPart(
                    content_id.decode("latin-1"), _whole(length) or 0
                )
            )
    return facts.Generation(
        model=found.get(_MODEL, b"").decode("latin-1"),
        prompt_tokens=_whole(prompt) or 0,
        max_output_tokens=_whole(output) or 0,
        parts=tuple(parts),
        expected_output_tokens=_whole(found.get(_LENGTH_HINT)) or 0,
    )


def _read_load(value: bytes | None) -> facts.ServerLoad | None:
    if value is None:
        return None
    numbers = [_whole(field) for field in value.split(b",")]
    if len(numbers) != 3 or None in numbers:
        return None
    running, waiting, slots = (number or 0 for number in numbers)
    return facts.ServerLoad(running, waiting, slots)


def _read_idle_timeout(value: bytes | None) -> float | None:
    for field in (value or b"").split(b","):
        name, _, number = field.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _number(number)
    return None


def _named_hops(headers: Sequence[facts.Header]) -> frozenset[bytes]:
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return frozenset(named) - {_REQUEST_ID, b"host"}


def _whole(value: bytes | None) -> int | None:
    if value is None:
        return None
    stripped = value.strip()
    return int(stripped) if stripped.isdigit() else None


def _number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0.0 <= number < 1e9 else None


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")
