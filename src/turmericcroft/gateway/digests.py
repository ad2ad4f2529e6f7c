"""What daemons tell each other of themselves, and what it teaches."""

import asyncio
import time

from turmericcroft.duties import scaling
from turmericcroft.gateway import messages
from turmericcroft.gateway import state as states
from turmericcroft.gateway import store_view as store_views
from turmericcroft.routing import engines


def make(
    state: states.State,
    store_view: store_views.StoreView,
    own: messages.Member,
    number: int,
    heads_for_s: float,
) -> messages.Digest:
    """Makes this daemon's digest.

    Args:
        state: What it knows.
        store_view: Local view of the store.
        own: Its own description.
        number: Number of the digest.
        heads_for_s: How long a head is told again.
    """
    work = {
        name: (
            load.in_flight,
            state.engine_loads.own.get(name, engines.NO_LOAD).prefill_tokens,
        )
        for name, load in state.loads.servers.items()
        if load.in_flight
    }
    return messages.Digest(
        member=own,
        number=number,
        wall_s=time.time(),
        version=state.declaration.version,
        fleet_age_s=store_view.fleet_age_s,
        work=work,
        quota_totals={
            name: bucket.admitted for name, bucket in state.quotas.items()
        },
        usage=state.usage.own,
        crashes=state.crash_ledger.own,
        demand=state.demand,
        heads=_recent_heads(state, heads_for_s),
    )


def take_in(state: states.State, digest: messages.Digest, now_s: float) -> None:
    """Learns from another daemon's digest."""
    member = digest.member
    state.median_clock.update_peer(member.name, digest.wall_s, time.time())
    state.engine_loads.update_peer(
        member.name,
        {name: engines.EngineLoad(*work) for name, work in digest.work.items()},
    )
    _sum_loads(state, now_s)
    for account, total in digest.quota_totals.items():
        bucket = state.quotas.get(account)
        if bucket is not None:
            bucket.update_peer(member.key, total, now_s)
    state.usage.update_peer(member.key, digest.usage)
    state.peer_demand[member.key] = digest.demand
    for note in digest.heads:
        incarnation = note.server, note.started_at_ms
        state.cached_prefixes.record(incarnation, note.head, note.tokens, now_s)
    state.crash_ledger.update_peer(member.key, digest.crashes, now_s)


def take_in_summary(
    state: states.State,
    summary: messages.Summary,
    own_key: str,
    own: messages.Digest | None,
    first: messages.Digest | None,
    now_s: float,
) -> None:
    """Learns from a zone's summary.

    Args:
        state: What this daemon knows.
        summary: The summary.
        own_key: Identity of this daemon.
        own: This daemon's digest that the summary includes, if any.
        first: This daemon's first digest that the relay included.
        now_s: Monotonic time.
    """
    key = summary.relay.key
    state.median_clock.update_peer(
        summary.relay.name, summary.wall_s, time.time()
    )
    own_work = own.work if own is not None else {}
    work: dict[str, engines.EngineLoad] = {}
    for server, (runs, unread) in summary.work.items():
        own_runs, own_unread = own_work.get(server, (0, 0))
        others = engines.EngineLoad(
            runs - own_runs, max(0, unread - own_unread)
        )
        if others.running > 0:
            work[server] = others
    state.engine_loads.update_peer(key, work)
    _sum_loads(state, now_s)
    for account, total in summary.quota_totals.items():
        bucket = state.quotas.get(account)
        if bucket is not None:
            counted = _own_units(own, account) - _own_units(first, account)
            bucket.update_peer(key, total - counted, now_s)
    state.peer_demand[key] = {
        service: asked.plus(
            _own_demand(first, service).usual_s
            - _own_demand(own, service).usual_s,
            _own_demand(first, service).actual_s
            - _own_demand(own, service).actual_s,
        )
        for service, asked in summary.demand.items()
    }
    for server, started_at_ms, head, tokens in summary.heads:
        state.cached_prefixes.record(
            (server, started_at_ms), head, tokens, now_s
        )
    for daemon, crashes in summary.crashes.items():
        if daemon != own_key:
            state.crash_ledger.update_peer(daemon, crashes, now_s)


def _own_units(digest: messages.Digest | None, account: str) -> float:
    return digest.quota_totals.get(account, 0.0) if digest is not None else 0.0


def _own_demand(
    digest: messages.Digest | None, service: str
) -> scaling.DemandTotals:
    if digest is None:
        return scaling.DemandTotals()
    return digest.demand.get(service, scaling.DemandTotals())


def _recent_heads(
    state: states.State, heads_for_s: float
) -> tuple[messages.HeadNote, ...]:
    """Heads sent lately, each once."""
    now_s = asyncio.get_running_loop().time()
    notes = state.sent_prefixes
    while notes and now_s - notes[0][0] > heads_for_s:
        notes.popleft()
    return tuple({note: None for _, note in notes})


def _sum_loads(state: states.State, now_s: float) -> None:
    """Brings the load view in step with what all daemons have open."""
    for name, load in state.loads.servers.items():
        others = sum(
            work[name].running
            for work in state.engine_loads.peers.values()
            if name in work
        )
        state.loads.record_report(name, load.in_flight + others, now_s)
