"""Whether a request is taken at all, by the declaration in force."""

import dataclasses
import hashlib
import random

from turmericcroft.gateway import client
from turmericcroft.gateway import facts
from turmericcroft.gateway import state as states
from turmericcroft.routing import declaration

# A daemon without a declaration has one as soon as the store or a peer
# answers, which takes tens of ms in normal times.
_NO_DECLARATION_RETRY_S = 0.5
# A request that crashes servers is no better off within minutes.
_QUARANTINE_RETRY_S = 60.0
# Spread of the time to come back, so that refused clients do not return
# together.
_RETRY_SPREAD = 0.3


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A request that may be sent.

    Attributes:
        route: Its route.
        service: The service chosen among the route's shares.
        account: Name of the client account; empty without accounts.
        priority: Its rank; 0 is the most urgent.
        deadline_at_s: When it must have ended, monotonic.
        quota_units: Units taken from the account's quota.
        fingerprint: Identifies path, account and body.
        version: Version of the declaration that decided.
    """

    route: declaration.Route
    service: declaration.Service
    account: str
    priority: int
    deadline_at_s: float
    quota_units: float
    fingerprint: str
    version: int


def admit(
    request: client.Request,
    found: facts.RequestFacts,
    state: states.State,
    now_s: float,
) -> Admitted | client.Refusal:
    """Judges a request by the declaration in force."""
    table = state.declaration.table
    if table is None:
        return client.Refusal(
            503,
            "no_declaration",
            "this daemon knows no routes yet; come back",
            spread(_NO_DECLARATION_RETRY_S),
        )
    if found.fault or not found.request_id:
        fault = found.fault or "expected a request id, found none"
        return client.Refusal(400, "invalid_headers", fault)
    route = table.match(request.host, request.path)
    if route is None:
        return client.Refusal(404, "no_route", "no route for host and path")
    account = table.accounts.get(found.api_key or "")
    if account is None and table.needs_key(route):
        return client.Refusal(
            401, "invalid_api_key", "API key is not known", route=route.name
        )
    if route.anonymous:
        account = None
    judged = _admit_on(request, found, state, route, account, now_s)
    if isinstance(judged, client.Refusal):
        name = account.name if account else ""
        return dataclasses.replace(judged, route=route.name, account=name)
    return judged


def spread(retry_after_s: float) -> float:
    """Spreads the time to come back."""
    return retry_after_s * random.uniform(1.0, 1.0 + _RETRY_SPREAD)


def _admit_on(
    request: client.Request,
    found: facts.RequestFacts,
    state: states.State,
    route: declaration.Route,
    account: declaration.Account | None,
    now_s: float,
) -> Admitted | client.Refusal:
    table = state.declaration.table
    assert table is not None
    name = account.name if account else ""
    fingerprint = _fingerprint(request, name)
    if state.crash_ledger.is_refused(fingerprint):
        return client.Refusal(
            503,
            "quarantined",
            "this request crashed servers",
            _QUARANTINE_RETRY_S,
        )
    service = table.declaration.services.get(_choose_share(route))
    if service is None:
        return client.Refusal(503, "no_service", "service is not declared", 1.0)
    units = 0.0
    bucket = state.quota_bucket(account, now_s) if account else None
    if bucket is not None:
        units = _units(bucket.quota, found.generation)
        if not bucket.take(units, now_s):
            return client.Refusal(
                429,
                "over_quota",
                "the account is over its quota",
                spread(bucket.wait_s(units, now_s)),
                detail=f"{units:.0f} units asked, {bucket.describe()}",
            )
    limit_s = route.timeout_s
    if found.deadline_s is not None:
        limit_s = min(limit_s, found.deadline_s)
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return Admitted(
        route=route,
        service=service,
        account=name,
        priority=priority,
        deadline_at_s=request.received_at_s + limit_s,
        quota_units=units,
        fingerprint=fingerprint,
        version=table.declaration.version,
    )


def _units(
    quota: declaration.Quota, generation: facts.Generation | None
) -> float:
    if not quota.in_tokens:
        return 1.0
    if generation is None:
        return float(quota.default_tokens)
    return float(generation.prompt_tokens + generation.max_output_tokens)


def _choose_share(route: declaration.Route) -> str:
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].service
    return random.choices(route.shares, weights)[0].service


def _fingerprint(request: client.Request, account: str) -> str:
    digest = hashlib.blake2b(request.target, digest_size=9)
    digest.update(account.encode())
    digest.update(request.body)
    return digest.hexdigest()
