"""Explains where a request would go now, without sending it.

The gateway's own functions decide, on a copy of what they change. The copy
draws the same random numbers as the next real request, so the explanation
holds for that request if nothing else happens before it.
"""

import asyncio
import copy
import dataclasses
import random
import typing
import urllib.parse
from collections.abc import Coroutine

import orjson

from turmericcroft.control import rollout_choice
from turmericcroft.eventlog import writer
from turmericcroft.fleet import directory
from turmericcroft.gateway import admission
from turmericcroft.gateway import client
from turmericcroft.gateway import dispatch
from turmericcroft.gateway import metrics
from turmericcroft.gateway import progress as progresses
from turmericcroft.gateway import server_statements
from turmericcroft.gateway import state as states
from turmericcroft.gateway import upstream
from turmericcroft.resumption import decision
from turmericcroft.routing.placement import result
from turmericcroft.stream_lookup import origin_lookup

HEADERS = [(b"content-type", b"application/json")]
# The copy's log is never written.
_NO_DESCRIPTOR = -1

_Result = typing.TypeVar("_Result")
_Json = dict[str, typing.Any]


class _NoPool(upstream.ConnectionPool):
    """Opens no connection, so that a reservation ends with the decision."""

    async def acquire(
        self,
        server: directory.Server,
        max_idle_s: float,
        connect_timeout_s: float = upstream.CONNECT_TIMEOUT_S,
        request_id: str | None = None,
    ) -> upstream.Connection:
        """Returns a connection that was not opened, without waiting."""
        del server, max_idle_s, connect_timeout_s, request_id
        connection = upstream.Connection(asyncio.get_running_loop(), self)
        # Nothing goes on there.
        connection.is_process_checked = True
        return connection


def respond(
    state: states.State,
    choice: rollout_choice.VersionChoice,
    request: client.Request,
) -> bytes:
    """Explains the request that a request to the metrics port describes.

    Its query has the method, path and host; its body has header lines and,
    after an empty line, the body, as a client would send them.

    Args:
        state: The daemon's state; it is not changed.
        choice: The daemon's choice of versions during rollouts.
        request: The request to the metrics port.

    Returns:
        JSON.
    """
    now_s = asyncio.get_running_loop().time()
    described = _read(request)
    view = _copy_state(state, choice, described)
    # Admission draws from the module's source. Nothing below waits, so no other
    # request sees it before it is restored.
    drawn = random.getstate()
    try:
        explanation = _decide(view, described, now_s)
    finally:
        random.setstate(drawn)
    return orjson.dumps(explanation, default=_encode)


def _read(request: client.Request) -> client.Request:
    query = dict(
        urllib.parse.parse_qsl(
            request.target.partition(b"?")[2].decode("latin-1")
        )
    )
    head, _, body = request.body.partition(b"\r\n\r\n")
    headers = []
    for line in head.split(b"\r\n"):
        name, colon, value = line.partition(b":")
        if colon:
            headers.append((name.strip().lower(), value.strip()))
    if "host" in query:
        headers = [header for header in headers if header[0] != b"host"]
        headers.append((b"host", query["host"].encode()))
    host = dict(headers).get(b"host", b"").decode("latin-1").lower()
    path = query.get("path", "")
    return client.Request(
        method=query.get("method", "GET").encode(),
        target=path.encode(),
        path=path.partition("?")[0],
        host=host.rpartition(":")[0] if ":" in host else host,
        headers=tuple(headers),
        body=body,
        received_at_s=request.received_at_s,
        keep_alive=True,
    )


def _copy_state(
    state: states.State,
    choice: rollout_choice.VersionChoice,
    request: client.Request,
) -> states.State:
    """Copies what decisions change; shares what they only read."""
    view = copy.copy(state)
    view.log = writer.Writer(state.settings.daemon.name, _NO_DESCRIPTOR)
    view.metrics = metrics.Metrics()
    view.pool = _NoPool()
    view.crash_ledger = state.crash_ledger.copy()
    view.crashes = copy.copy(state.crashes)
    view.crashes.state = view
    view.counters = copy.copy(state.counters)
    view.counters.own = dict(state.counters.own)
    view.quotas = dict(state.quotas)
    table = state.declaration.table
    key = state.dialect.read_request(request.headers).api_key
    account = table.accounts.get(key or "") if table is not None else None
    if account is not None and account.name in view.quotas:
        view.quotas[account.name] = copy.deepcopy(view.quotas[account.name])
    view.software_versions = copy.deepcopy(state.software_versions)
    view.server_limits = copy.deepcopy(state.server_limits)
    view.reserved = state.reserved.copy()
    view.engine_speeds = dict(state.engine_speeds)
    view.limit_versions = choice.copy(view).limit
    view.placer = state.placer.copy(view)
    view.scheduler = state.scheduler.copy(view.counters)
    return view


def _decide(view: states.State, request: client.Request, now_s: float) -> _Json:
    facts = view.dialect.read_request(request.headers)
    explanation = _describe_declaration(view)
    admitted = admission.admit(request, facts, view, now_s)
    if isinstance(admitted, admission.TakesUp):
        decided = origin_lookup.decide_now(view, admitted.question, now_s)
        explanation["stream"] = {
            "decision": type(decided).__name__,
            **dataclasses.asdict(decided),
        }
        match decided:
            case decision.Known() | decision.Unknown():
                admitted = admission.admit(request, facts, view, now_s, decided)
            case _:
                # The answer depends on the store, which is not asked here.
                return explanation
        assert not isinstance(admitted, admission.TakesUp)
    if not isinstance(admitted, admission.Admitted):
        return explanation | _describe_refusal(admitted)
    service = admitted.service.name
    progress = progresses.Progress()
    if admitted.origin is not None:
        progress.software_version = admitted.origin.version
    explanation |= {
        "route": admitted.route.name,
        "account": admitted.account,
        "keyless": admitted.keyless,
        "service": service,
        "priority": admitted.priority,
        "quota_units": admitted.quota_units,
        "rollout": view.rollouts.latest(service, now_s),
    }
    found = _run(dispatch.reserve(view, admitted, facts, progress, None))
    situation = view.scheduler.situations().get(service)
    if situation is not None:
        explanation["situation"] = situation.describe()
    if not view.statements.is_shared(service):
        explanation["servers"] = _describe_servers(view, service, now_s)
    match found:
        case dispatch.Reservation(selection=selection, decision=admitting):
            return explanation | {
                "selection": selection,
                "admission": admitting,
            }
        case dispatch.Rejected(reason, retry_after_s):
            if retry_after_s is not None:
                retry_after_s = admission.add_jitter(retry_after_s)
            refusal = client.Refusal(
                503,
                reason,
                "the request did not run",
                retry_after_s,
                detail=progress.refusal_detail,
            )
            return explanation | {"refusal": refusal}
    raise AssertionError(f"expected a decision, found {found!r}")


def _describe_declaration(view: states.State) -> _Json:
    """Describes the declaration in force, and whether it asks for API keys."""
    described: _Json = {
        "daemon": view.settings.daemon.name,
        "declaration_version": view.declaration.version,
    }
    table = view.declaration.table
    if table is not None:
        described |= {
            "requires_api_keys": table.declaration.requires_api_keys,
            "accounts": len(table.declaration.accounts),
            "declaration_faults": table.declaration.faults,
        }
    return described


def _describe_refusal(
    refused: client.Refusal | admission.Unconfirmed,
) -> _Json:
    """Describes a refusal; the store is not asked to confirm it."""
    if isinstance(refused, admission.Unconfirmed):
        return _describe_refusal(refused.refusal) | {"is_confirmed": False}
    return {
        "route": refused.route,
        "account": refused.account,
        "refusal": refused,
    }


def _run(coroutine: Coroutine[typing.Any, typing.Any, _Result]) -> _Result:
    """Runs a coroutine that doesn't wait."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return typing.cast("_Result", end.value)
    coroutine.close()
    raise AssertionError("expected a decision that doesn't wait")


def _describe_servers(
    view: states.State, service: str, now_s: float
) -> list[_Json]:
    """Describes the usable servers as a service that is not shared sees them.

    The age is infinite, which is null in JSON, without a report.
    """
    return [
        {
            "server": server.name,
            "software_version": server.software_version,
            "running": view.loads.estimate(server.name, now_s),
            "wait_s": view.loads.predicted_wait_s(server.name, now_s),
            "age_s": now_s - view.loads.servers[server.name].reported_at_s,
            "held_off_s": server_statements.hold_off_s(view, server, now_s),
            "is_ejected": view.loads.is_ejected(server.name, now_s),
        }
        for server in view.directory.usable(service)
        if server.name in view.loads.servers
    ]


def _encode(value: object) -> _Json:
    """Encodes what orjson can't: figures, which are named tuples."""
    if isinstance(value, result.Figures):
        return value._asdict()
    raise TypeError(f"expected figures, found {type(value).__name__}")
