"""Translates the platform's HTTP headers and engine calls."""

import http
import json
import math
from collections.abc import Sequence

from turmericcroft import errors
from turmericcroft.clients import header_values
from turmericcroft.gateway import facts
from turmericcroft.gateway import stated_values as stated
from turmericcroft.responses import reports

_REQUEST_ID = b"x-request-id"
_DEADLINE_MS = b"x-deadline-ms"
_API_KEY = b"x-credential"
_ACCOUNT = b"x-tenant"
_EXPECTED_SERVER = b"x-expect-instance"
_SERVER_NAME = b"x-instance-id"
_SERVER_LOAD = b"x-server-load"
_SIGNATURE = b"x-server-signature"
_NOT_EXECUTED = b"x-not-executed"
_MODEL = b"x-model"
_TOKEN_USAGE = b"x-token-usage"
_PROMPT_PARTS = b"x-prompt-prefix"
_PRIORITY = b"x-request-priority"
_LENGTH_HINT = b"x-length-hint"
_LAST_EVENT_ID = b"last-event-id"
_RESUMES = b"resumes"
_KV_CACHE_SOURCE = b"kv-from"
_PREFIX_SOURCE = b"kv-fetch"
_RETRY_AFTER = b"retry-after"
_KEEP_ALIVE = b"keep-alive"
_LEAVING = b"server-leaving"
_LIMIT = b"server-limit"
_BRITTLE = b"server-brittle"
_EXPECTED_WEIGHTS = b"x-expect-version"

# Headers that only the gateway may set; a client's are dropped.
_GATEWAY_HEADERS = frozenset(
    (
        _API_KEY,
        _ACCOUNT,
        _DEADLINE_MS,
        _EXPECTED_SERVER,
        _PRIORITY,
        _KV_CACHE_SOURCE,
        _PREFIX_SOURCE,
        b"x-cache-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        _EXPECTED_WEIGHTS,
    )
)
_END_TO_END = frozenset((_REQUEST_ID, b"host"))
_SERVER_ONLY_HEADERS = frozenset((_SERVER_NAME, _SERVER_LOAD, _NOT_EXECUTED))
# Requests that repeat one of these headers are rejected as ambiguous.
_SINGLETON_HEADERS = frozenset(
    (
        b"host",
        _REQUEST_ID,
        _API_KEY,
        _DEADLINE_MS,
        _TOKEN_USAGE,
        _MODEL,
        _PROMPT_PARTS,
        _LAST_EVENT_ID,
        _RESUMES,
    )
)


class Dialect:
    """Implements the gateway's `Dialect` interface for the platform."""

    weights_version_field = b"x-weight-versions"

    def read_request(
        self, headers: Sequence[facts.Header]
    ) -> facts.RequestFacts:
        """Parses the headers of a client's request."""
        values: dict[bytes, bytes] = {}
        fault = ""
        for name, value in headers:
            if name in _SINGLETON_HEADERS and name in values:
                fault = f"expected one header {name.decode()}, found two"
            values[name] = value
        deadline_ms = header_values.parse_int(values.get(_DEADLINE_MS))
        return facts.RequestFacts(
            request_id=values.get(_REQUEST_ID, b"").decode("latin-1"),
            deadline_s=None if deadline_ms is None else deadline_ms / 1000,
            api_key=header_values.decode_text(values.get(_API_KEY)),
            generation=stated.parse_generation(
                values.get(_MODEL, b""),
                values.get(_TOKEN_USAGE),
                values.get(_PROMPT_PARTS, b""),
                values.get(_LENGTH_HINT),
            ),
            resume_after=header_values.parse_int(values.get(_LAST_EVENT_ID)),
            resumed_request=header_values.decode_text(values.get(_RESUMES)),
            fault=fault,
        )

    def request_headers(
        self, headers: Sequence[facts.Header], context: facts.AttemptContext
    ) -> list[facts.Header]:
        """Builds the headers to send to a server, without those for framing."""
        dropped = (
            header_values.CONNECTION_HEADERS
            | _GATEWAY_HEADERS
            | header_values.connection_options(headers, _END_TO_END)
        )
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
            kept.append((_KV_CACHE_SOURCE, context.kv_cache_source.encode()))
        if context.fetch_prefix_from is not None:
            kept.append((_PREFIX_SOURCE, context.fetch_prefix_from.encode()))
        if context.weights_version is not None:
            kept.append((_EXPECTED_WEIGHTS, b"%d" % context.weights_version))
        return kept

    def read_response(
        self, status: int, headers: Sequence[facts.Header]
    ) -> facts.ResponseFacts:
        """Parses the headers of a server's answer."""
        values = dict(headers)
        content_type = values.get(b"content-type", b"").lower()
        return facts.ResponseFacts(
            request_id=values.get(_REQUEST_ID, b"").decode("latin-1"),
            signed=_SIGNATURE in values,
            proves_not_run=_NOT_EXECUTED in values
            or status == http.HTTPStatus.MISDIRECTED_REQUEST,
            is_event_stream=content_type.startswith(b"text/event-stream"),
            load=stated.parse_load(values.get(_SERVER_LOAD)),
            idle_timeout_s=header_values.parse_idle_timeout(
                values.get(_KEEP_ALIVE)
            ),
            retry_after_s=header_values.parse_float(values.get(_RETRY_AFTER)),
            leaving=values.get(_LEAVING, b"").strip() == b"1",
            limit_per_s=header_values.parse_float(values.get(_LIMIT)),
            max_refusals_per_s=header_values.parse_float(values.get(_BRITTLE)),
            server_name=values.get(_SERVER_NAME, b"").decode("latin-1"),
        )

    def response_headers(
        self, headers: Sequence[facts.Header]
    ) -> list[facts.Header]:
        """Builds the headers to send to a client, without those for framing."""
        dropped = (
            header_values.CONNECTION_HEADERS
            | _SERVER_ONLY_HEADERS
            | header_values.connection_options(headers, _END_TO_END)
        )
        return [header for header in headers if header[0] not in dropped]

    def request_id_header(self, request_id: str) -> facts.Header:
        """Builds the header that states the request's id in an answer."""
        return _REQUEST_ID, request_id.encode("latin-1")

    def migration_request(
        self, request_id: str, target: str, final: bool
    ) -> tuple[bytes, bytes, bytes]:
        """Builds the call that copies an execution's KV cache.

        Returns:
            Method, path and body.
        """
        body = {"id": request_id, "target": target, "final": final}
        return b"POST", b"/turmericcroft/kv-move", json.dumps(body).encode()

    def read_migration_response(self, body: bytes) -> facts.MigrationResponse:
        """Parses the answer to a call from `migration_request`."""
        try:
            raw = json.loads(body)
        except errors.DECODING_FAULTS:
            raw = None
        if not isinstance(raw, dict):
            raw = {}
        created = raw.get("created", 0)
        return facts.MigrationResponse(
            handle=reports.header_text(raw.get("transferHandle")),
            events=created if isinstance(created, int) else 0,
        )

    def report_request(self) -> tuple[bytes, bytes]:
        """Builds method and path of the call for an engine's state."""
        return b"GET", b"/turmericcroft/report"

    def read_report(self, body: bytes) -> facts.EngineReport:
        """Parses an engine's report; what is malformed counts as not stated."""
        try:
            raw = json.loads(body)
            rows = raw.get("runs", ())
            events = {str(run): int(made) for run, _, made, *_ in rows}
        except errors.DECODING_FAULTS:
            return facts.EngineReport()
        started_at_ms = raw.get("born")
        return facts.EngineReport(
            started_at_ms if type(started_at_ms) is int else None,
            reports.seconds(raw.get("leaves_ms")),
            events,
        )

    def cache_list_request(self) -> tuple[bytes, bytes]:
        """Builds method and path of the call that lists all cached parts."""
        return b"GET", b"/turmericcroft/kv-list"

    def read_cache_list(self, body: bytes) -> tuple[facts.CachedPart, ...]:
        """Parses the answer to the call from `cache_list_request`.

        Each row holds an empty string, a part's content id, its number of
        tokens and its model.

        Returns:
            The cached parts; empty if the answer is malformed.
        """
        try:
            rows = json.loads(body)["held"]
            return reports.read_each(
                rows,
                lambda row: facts.CachedPart(
                    reports.text(row[3]),
                    reports.text(row[1]),
                    reports.count(row[2]),
                ),
            )
        except errors.DECODING_FAULTS:
            return ()

    def kv_cache_source(self, address: str, handle: str) -> str:
        """Builds the location that a migrated KV cache is fetched from."""
        return f"{address}/{handle}"
