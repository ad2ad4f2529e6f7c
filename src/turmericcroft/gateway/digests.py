"""Creates digests, and applies the digests and summaries of other daemons.

A digest is the state that a daemon sends to the others; a summary is the sum
of a zone's digests, made by the zone's relay.
"""

import asyncio
import time

from turmericcroft.duties import scaling
from turmericcroft.fleet import counters
from turmericcroft.gateway import messages
from turmericcroft.gateway import server_statements
from turmericcroft.gateway import state as states
from turmericcroft.gateway import store_view as store_views
from turmericcroft.routing import engines
from turmericcroft.stream_lookup import telling


def make_digest(
    state: states.State,
    store_view: store_views.StoreView,
    own: messages.Member,
    number: int,
    prefix_repeat_s: float,
) -> messages.Digest:
    """Creates this daemon's digest.

    Args:
        state: State of this daemon.
        store_view: Local view of the store.
        own: Description of this daemon.
        number: Number of the digest.
        prefix_repeat_s: How long digests repeat a prefix after it was sent to
            a server, and a stream after it began.
    """
    now_s = asyncio.get_running_loop().time()
    work = {
        name: (
            load.in_flight,
            state.engine_loads.own.get(name, engines.NO_LOAD).prefill_tokens,
        )
        for name, load in state.loads.servers.items()
        if load.in_flight
    }
    state.told_in_flight = {
        name: in_flight for name, (in_flight, _) in work.items()
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
        crashes={},
        demand=state.demand,
        heads=_recent_prefixes(state, prefix_repeat_s),
        leaving=tuple(
            server.incarnation for server in state.directory.said_leaving(now_s)
        ),
        recorded=state.recorded_windows.newest(),
        crash_notes=state.crash_ledger.notes(now_s),
        limit_notes=state.server_limits.notes(now_s),
        stream_notes=telling.make_notes(state, prefix_repeat_s, now_s),
        versions=telling.make_history(state, now_s),
        brittle=state.brittle.notes(now_s),
        counters=dict(state.counters.own),
        rollouts=state.rollouts.make_notes(now_s),
        statements=state.statements.make_notes(now_s),
    )


def apply_digest(
    state: states.State, digest: messages.Digest, now_s: float
) -> None:
    """Applies the digest of another daemon to this daemon's state."""
    member = digest.member
    state.median_clock.update_peer(member.name, digest.wall_s, time.time())
    state.engine_loads.update_peer(
        member.name,
        {name: engines.EngineLoad(*work) for name, work in digest.work.items()},
    )
    _update_server_loads(state, now_s)
    for account, total in digest.quota_totals.items():
        bucket = state.quotas.get(account)
        if bucket is not None:
            offered = digest.counters.get(f"quota/{account}/offered", 0.0)
            bucket.update_peer(member.key, total, now_s, offered)
    state.usage.update_peer(member.key, digest.usage)
    state.peer_demand[member.key] = digest.demand
    for note in digest.heads:
        incarnation = note.server, note.started_at_ms
        state.cached_prefixes.record(incarnation, note.head, note.tokens, now_s)
    state.crashes.merge(digest.crash_notes, now_s)
    source = f"peer {member.name}"
    server_statements.merge_limits(state, digest.limit_notes, source, now_s)
    telling.merge_notes(state, digest.stream_notes, digest.versions, now_s)
    server_statements.merge_brittle(state, digest.brittle, source, now_s)
    state.counters.update_peer(member.key, digest.counters)
    state.rollouts.merge(digest.rollouts, now_s)
    state.statements.merge(digest.statements, now_s)
    for window, counts in digest.recorded.items():
        state.recorded_windows.keep(window, counts)
    for leaving in digest.leaving:
        server_statements.record_leaving(state, leaving, source, now_s)


def apply_summary(
    state: states.State,
    summary: messages.Summary,
    included: messages.Digest | None,
    first_included: messages.Digest | None,
    now_s: float,
) -> None:
    """Applies a zone's summary, less this daemon's own part in it.

    Quota units and demand count from the first included digest on, because the
    relay's sums leave out what a daemon counted before that.

    Args:
        state: State of this daemon.
        summary: The summary.
        included: This daemon's digest that the summary includes, if any.
        first_included: This daemon's first digest that the relay included.
        now_s: Monotonic time.
    """
    key = summary.relay.key
    state.median_clock.update_peer(
        summary.relay.name, summary.wall_s, time.time()
    )
    own_work = included.work if included is not None else {}
    work: dict[str, engines.EngineLoad] = {}
    for server, (running, prefill_tokens) in summary.work.items():
        own_running, own_prefill_tokens = own_work.get(server, (0, 0))
        others = engines.EngineLoad(
            running - own_running, max(0, prefill_tokens - own_prefill_tokens)
        )
        if others.running > 0:
            work[server] = others
    state.engine_loads.update_peer(key, work)
    _update_server_loads(state, now_s)
    own_counts = _counters(included)
    if first_included is not None:
        own_counts = counters.subtract(own_counts, first_included.counters)
    zone_counts = counters.subtract(summary.counters, own_counts)
    for account, total in summary.quota_totals.items():
        bucket = state.quotas.get(account)
        if bucket is not None:
            counted = _admitted_units(included, account) - _admitted_units(
                first_included, account
            )
            offered = zone_counts.get(f"quota/{account}/offered", 0.0)
            bucket.update_peer(key, total - counted, now_s, offered)
    state.peer_demand[key] = {
        service: totals.plus(
            _service_demand(first_included, service).usual_s
            - _service_demand(included, service).usual_s,
            _service_demand(first_included, service).actual_s
            - _service_demand(included, service).actual_s,
        )
        for service, totals in summary.demand.items()
    }
    for server, started_at_ms, prefix, tokens in summary.heads:
        state.cached_prefixes.record(
            (server, started_at_ms), prefix, tokens, now_s
        )
    state.crashes.merge(summary.crash_notes, now_s)
    source = f"peer {summary.relay.name}"
    server_statements.merge_limits(state, summary.limit_notes, source, now_s)
    telling.merge_notes(state, summary.stream_notes, summary.versions, now_s)
    server_statements.merge_brittle(state, summary.brittle, source, now_s)
    state.counters.update_peer(key, zone_counts)
    state.rollouts.merge(summary.rollouts, now_s)
    state.statements.merge(summary.statements, now_s)
    for window, counts in summary.recorded.items():
        state.recorded_windows.keep(window, counts)
    for leaving in summary.leaving:
        server_statements.record_leaving(state, leaving, source, now_s)


def _counters(digest: messages.Digest | None) -> counters.Totals:
    return digest.counters if digest is not None else {}


def _admitted_units(digest: messages.Digest | None, account: str) -> float:
    return digest.quota_totals.get(account, 0.0) if digest is not None else 0.0


def _service_demand(
    digest: messages.Digest | None, service: str
) -> scaling.DemandTotals:
    if digest is None:
        return scaling.DemandTotals()
    return digest.demand.get(service, scaling.DemandTotals())


def _recent_prefixes(
    state: states.State, prefix_repeat_s: float
) -> tuple[messages.HeadNote, ...]:
    """Lists the prefixes sent to servers recently, each once."""
    now_s = asyncio.get_running_loop().time()
    sent = state.sent_prefixes
    while sent and now_s - sent[0][0] > prefix_repeat_s:
        sent.popleft()
    return tuple({note: None for _, note in sent})


def _update_server_loads(state: states.State, now_s: float) -> None:
    """Updates each server's load to the in-flight requests of all daemons."""
    state.engine_loads.reported_at_s = now_s
    for name, load in state.loads.servers.items():
        others = sum(
            work[name].running
            for work in state.engine_loads.peers.values()
            if name in work
        )
        state.loads.record_report(name, load.in_flight + others, now_s)
