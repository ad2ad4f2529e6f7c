"""Admission of requests by the declaration in force.

Finds route and client account of a request, checks quarantine and quota, and
chooses the service. Whatever is refused here has not been sent to a server.
"""

import dataclasses
import random

from turmericcroft.gateway import client
from turmericcroft.gateway import facts
from turmericcroft.gateway import state as states
from turmericcroft.resumption import decision
from turmericcroft.resumption import origins
from turmericcroft.routing import declaration
from turmericcroft.routing import final_refusals
from turmericcroft.routing import poison

# A daemon that starts gets its declaration from the store or a peer, normally
# within tens of ms.
_NO_DECLARATION_RETRY_S = 0.5
# A retry reaches another daemon, which may know the newest declaration.
_UNCONFIRMED_RETRY_S = 0.3
# A fault of the declaration lasts until an operator declares the next version.
_UNUSABLE_RETRY_S = 5.0
# A client that takes up a stream which is unknown here reaches another daemon.
_UNKNOWN_STREAM_RETRY_S = 0.2
# A request that crashes servers is not expected to succeed within minutes.
QUARANTINE_RETRY_S = 60.0
# Jitter of the retry delay, as a fraction of it, so that refused clients do not
# retry at the same time.
_RETRY_JITTER = 0.3


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A request that may be sent to a server.

    Attributes:
        route: Route that the request matched.
        service: Service chosen by the weights of the route's shares.
        account: Name of the client account; empty without accounts.
        priority: Priority; 0 is the most urgent.
        deadline_at_s: When the response must be complete, monotonic.
        quota_units: Units taken from the account's quota.
        traits: What may make the request crash servers: a hash of path and
            query, account and body, and the shared parts of its prompt.
        declaration_version: Version of the declaration that was applied.
        origin: What began the stream that the client takes up; None if it
            takes up none.
        keyless: Why the request needs no API key; empty with an account.
    """

    route: declaration.Route
    service: declaration.Service
    account: str
    priority: int
    deadline_at_s: float
    quota_units: float
    traits: tuple[str, ...]
    declaration_version: int
    origin: origins.Origin | None = None
    keyless: str = ""


@dataclasses.dataclass(frozen=True)
class _Caller:
    """Who sends a request, and where to.

    Attributes:
        account: None if the request needs no API key.
        keyless: Why it needs none; empty with an account.
    """

    route: declaration.Route
    account: declaration.Account | None
    keyless: str = ""


@dataclasses.dataclass(frozen=True)
class TakesUp:
    """A request that takes up a stream; what began it is to be found first.

    Attributes:
        question: The stream.
    """

    question: decision.Question


@dataclasses.dataclass(frozen=True)
class Unconfirmed:
    """A request that an old declaration does not allow, and a newer one may.

    Attributes:
        refusal: Its refusal by the declaration in force.
    """

    refusal: client.Refusal


def admit(
    request: client.Request,
    request_facts: facts.RequestFacts,
    state: states.State,
    now_s: float,
    found: decision.Known | decision.Unknown | None = None,
    was_asked: bool = False,
) -> Admitted | client.Refusal | TakesUp | Unconfirmed:
    """Admits or refuses a request by the declaration in force.

    Args:
        request: The request.
        request_facts: Information from its headers.
        state: The daemon's state.
        now_s: Monotonic time.
        found: What began the stream that the request takes up; None if that
            was not looked for yet.
        was_asked: Whether the store was asked for a newer declaration since the
            request came.
    """
    table = state.declaration.table
    if table is None:
        return client.Refusal(
            503,
            "no_declaration",
            "this daemon knows no routes yet; come back",
            add_jitter(_NO_DECLARATION_RETRY_S),
        )
    if request_facts.fault or not request_facts.request_id:
        fault = request_facts.fault or "expected a request id, found none"
        return client.Refusal(400, "invalid_headers", fault)
    caller = _identify(table, request, request_facts)
    match caller:
        case client.Refusal(status=503):
            return caller
        case client.Refusal():
            return _refuse_for_good(caller, state, was_asked, now_s)
    route, account = caller.route, caller.account
    name = account.name if account else ""
    origin = None
    if route.streaming and request_facts.resume_after:
        if found is None:
            return TakesUp(
                decision.Question(
                    request_facts.resumed_request or "",
                    route.name,
                    _services(route),
                    _choose_share(route),
                )
            )
        origin = _find_origin(route, found)
        if origin is None:
            return client.Refusal(
                503,
                "unknown_stream",
                "this daemon does not know where the stream began",
                add_jitter(_UNKNOWN_STREAM_RETRY_S),
                route=route.name,
                account=name,
            )
    outcome = _admit_on_route(
        request, request_facts, state, caller, origin, now_s
    )
    if isinstance(outcome, client.Refusal):
        return dataclasses.replace(outcome, route=route.name, account=name)
    return outcome


def _identify(
    table: declaration.RouteTable,
    request: client.Request,
    request_facts: facts.RequestFacts,
) -> _Caller | client.Refusal:
    """Finds route and account of a request; a 401 or 404 is not confirmed."""
    match table.match(request.host, request.path):
        case None:
            return client.Refusal(404, "no_route", "no route for host and path")
        case declaration.UnusableRoute(fault=fault):
            return _refuse_unusable("route", fault)
        case declaration.Route() as route:
            name = route.name
    match table.identify(route, request_facts.api_key):
        case declaration.Account() as account:
            return _Caller(route, account)
        case declaration.Keyless(reason):
            return _Caller(route, None, reason)
        case declaration.UnusableAccount(name=account_name, fault=fault):
            return _refuse_unusable("account", fault, name, account_name)
    return client.Refusal(
        401, "invalid_api_key", "API key is not known", route=name
    )


def _refuse_unusable(
    part: str, fault: str, route: str = "", account: str = ""
) -> client.Refusal:
    """Refuses a request whose route or account is declared with a fault."""
    return client.Refusal(
        503,
        f"unusable_{part}",
        f"the declaration of the {part} has a fault",
        add_jitter(_UNUSABLE_RETRY_S),
        route=route,
        account=account,
        detail=fault,
    )


def _refuse_for_good(
    refusal: client.Refusal, state: states.State, was_asked: bool, now_s: float
) -> client.Refusal | Unconfirmed:
    """Refuses a request for good if the declaration is known to be the newest.

    Its client does not come back; one that is told when to come back reaches
    another daemon.
    """
    active = state.declaration
    view = active.recency.view(
        state.settings.bounds.propagation_ms / 1000,
        was_asked,
        state.daemons > 1 and len(state.live_daemons) <= 1,
        now_s,
    )
    described = f"version {active.version}, confirmed {view.age_s:.3f} s ago"
    match final_refusals.judge(view):
        case final_refusals.Judgement.REFUSE:
            return dataclasses.replace(refusal, detail=described)
        case final_refusals.Judgement.ASK:
            return Unconfirmed(refusal)
    return client.Refusal(
        503,
        "declaration_unconfirmed",
        f"not known whether this still holds: {refusal.message}",
        add_jitter(_UNCONFIRMED_RETRY_S),
        route=refusal.route,
        detail=described,
    )


def add_jitter(retry_after_s: float) -> float:
    """Lengthens a retry delay by a random part of it."""
    return retry_after_s * random.uniform(1.0, 1.0 + _RETRY_JITTER)


def _admit_on_route(
    request: client.Request,
    request_facts: facts.RequestFacts,
    state: states.State,
    caller: _Caller,
    origin: origins.Origin | None,
    now_s: float,
) -> Admitted | client.Refusal:
    table = state.declaration.table
    assert table is not None
    route, account = caller.route, caller.account
    name = account.name if account else ""
    traits = _traits(request, request_facts, name)
    cause = state.crash_ledger.find_cause(traits)
    if cause is not None and not state.crashes.try_start_trial(cause, now_s):
        return client.Refusal(
            503,
            "quarantined",
            "requests like this one crashed servers",
            add_jitter(QUARANTINE_RETRY_S),
            detail=f"{', '.join(sorted(cause.traits))}: "
            f"{len(cause.crashes)} crashes",
        )
    service_name = origin.service if origin else _choose_share(route)
    service = table.declaration.services.get(service_name)
    if service is None:
        return client.Refusal(503, "no_service", "service is not declared", 1.0)
    if route.resumable and state.may_use_forgotten_servers(now_s):
        return client.Refusal(
            503,
            "outdated_view",
            "this daemon has not heard of the servers for too long",
            add_jitter(_UNCONFIRMED_RETRY_S),
            detail=f"{now_s - state.fleet_confirmed_at_s:.1f} s",
        )
    units = 0.0
    bucket = state.quota_bucket(account, now_s) if account else None
    if bucket is not None:
        units = _quota_units(bucket.quota, request_facts.generation)
        state.counters.add(f"quota/{name}/offered", units)
        if not bucket.try_acquire(units, now_s):
            return client.Refusal(
                429,
                "over_quota",
                "the account is over its quota",
                bucket.retry_after_s(units, now_s),
                detail=f"{units:.0f} units requested, {bucket.describe()}",
            )
    limit_s = route.timeout_s
    if request_facts.deadline_s is not None:
        limit_s = min(limit_s, request_facts.deadline_s)
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
        traits=traits,
        declaration_version=table.declaration.version,
        origin=origin,
        keyless=caller.keyless,
    )


def _quota_units(
    quota: declaration.Quota, generation: facts.Generation | None
) -> float:
    if not quota.in_tokens:
        return 1.0
    if generation is None:
        return float(quota.default_tokens)
    return float(generation.prompt_tokens + generation.max_output_tokens)


def _find_origin(
    route: declaration.Route, found: decision.Known | decision.Unknown
) -> origins.Origin | None:
    """Returns what began a stream, if the route still leads there."""
    match found:
        case decision.Known(origin) if origin.service in _services(route):
            return origin
    return None


def _services(route: declaration.Route) -> tuple[str, ...]:
    return tuple(share.service for share in route.weighted_services)


def _choose_share(route: declaration.Route) -> str:
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    weights = [share.weight for share in route.weighted_services]
    if sum(weights) <= 0:
        return route.weighted_services[0].service
    return random.choices(route.weighted_services, weights)[0].service


def _traits(
    request: client.Request, request_facts: facts.RequestFacts, account: str
) -> tuple[str, ...]:
    fingerprint = poison.request_hash(
        request.target, account.encode(), request.body
    )
    generation = request_facts.generation
    shared = generation.parts[:-1] if generation is not None else ()
    return poison.request_traits(
        fingerprint, (part.content_id for part in shared)
    )
