"""What decisions on rollouts are made from, and their log lines."""

from turmericcroft.control import rollout_orders
from turmericcroft.control import rollout_status
from turmericcroft.eventlog import events
from turmericcroft.gateway import state as states
from turmericcroft.rollouts import assessment
from turmericcroft.rollouts import evidence
from turmericcroft.rollouts import notes
from turmericcroft.rollouts import ramp
from turmericcroft.rollouts import verdict

# A share changes with most decisions; it is logged at this interval.
_SHARE_LOG_INTERVAL_S = 1.0
# Routes of which a line has the counts, so that its length is bounded.
_MAX_LOGGED_ROUTES = 8


def find_evidence(
    state: states.State, order: notes.Order, replaced: tuple[str, ...]
) -> evidence.Evidence:
    """Returns what the fleet counted since an order."""
    totals = state.counters.totals(evidence.prefix(order))
    return evidence.read(totals, order, replaced)


def observe(
    state: states.State,
    stored: rollout_orders.StoreOrders,
    order: notes.Order,
    replaced: tuple[str, ...],
    now_s: float,
) -> ramp.Observation:
    """Collects what a decision is made from.

    Args:
        state: The daemon's state.
        stored: What the store holds of rollouts.
        order: The order.
        replaced: Software versions that it replaces.
        now_s: Monotonic time.
    """
    excluded = state.rollouts.excluded_versions(order.service)
    usable = [
        server
        for server in state.directory.usable(order.service)
        if server.software_version not in excluded
    ]
    table = state.declaration.table
    others = [
        record.server
        for record in state.directory.records.values()
        if record.server.service == order.service
        and record.server.software_version != order.target
    ]
    in_flight = 0
    for server in others:
        load = state.loads.servers.get(server.name)
        in_flight += load.in_flight if load is not None else 0
        # Chosen for requests that wait for a connection.
        in_flight += state.reserved[server.name]
        in_flight += sum(
            work[server.name].running
            for work in state.engine_loads.peers.values()
            if server.name in work
        )
    target_slots = sum(
        server.slots
        for server in usable
        if server.software_version == order.target
    )
    return ramp.Observation(
        now_s=now_s,
        target_slots=target_slots,
        replaced_slots=sum(server.slots for server in usable) - target_slots,
        replaced_in_flight=in_flight,
        evidence=find_evidence(state, order, replaced),
        daemons=state.daemons,
        is_service_known=table is not None
        and order.service in table.declaration.services,
        versions=tuple(sorted({server.software_version for server in usable})),
        is_withdrawn=order.service not in stored.orders
        and notes.was_withdrawn(order, stored.position),
    )


def versions_in_use(
    state: states.State, service: str, now_s: float
) -> set[str]:
    """Software versions in use, also those of leaving servers.

    Versions that any daemon saw lately are among them: the listing of a daemon
    that starts lacks servers whose leases expired in an outage of the store,
    and the only version would be completed at once. Versions that an earlier
    rollout replaced are not: their servers stop, and an order for the version
    that replaced them has nothing to replace.
    """
    found = {
        record.server.software_version
        for record in state.directory.records.values()
        if record.server.service == service
    }
    found.update(state.software_versions.recent(service, now_s))
    return found - state.rollouts.excluded_versions(service)


def log_order(
    state: states.State,
    order: notes.Order,
    replaced: tuple[str, ...],
    change: str,
) -> None:
    """Logs an order that was first seen; see events.RolloutOrdered."""
    state.log.write(
        events.RolloutOrdered(
            service=order.service,
            target=order.target,
            duration_s=order.duration_s,
            era=order.position.era,
            revision=order.position.revision,
            replaced=replaced,
            change=change,
            servers=sum(
                server.software_version == order.target
                for server in state.directory.usable(order.service)
            ),
        )
    )


def log_decision(
    state: states.State,
    rollout: rollout_status.Rollout,
    before: ramp.RolloutState,
    decided: ramp.RolloutState,
    observed: ramp.Observation,
    token: int,
) -> None:
    """Logs a decision that changes the phase, or the share after a while."""
    line = decided.phase, round(decided.share, 2)
    if line in (rollout.logged, (before.phase, round(before.share, 2))):
        return
    is_same_phase = (
        rollout.logged is not None and rollout.logged[0] is decided.phase
    )
    if is_same_phase and (
        observed.now_s - rollout.logged_at_s < _SHARE_LOG_INTERVAL_S
    ):
        return
    rollout.logged, rollout.logged_at_s = line, observed.now_s
    counts = observed.evidence.target_total
    present = observed.evidence.target_since(
        before.base or evidence.NO_EVIDENCE
    )
    state.log.write(
        events.RolloutAdvanced(
            service=decided.order.service,
            target=decided.order.target,
            before=before.phase.value,
            phase=decided.phase.value,
            share=decided.share,
            reason=decided.reason,
            token=token,
            age_s=observed.now_s - decided.first_seen_s,
            seen=observed.evidence.requests,
            sent=counts.sent,
            answered=counts.answered,
            bad=counts.bad,
            ready_slots=observed.target_slots,
            old_in_flight=observed.replaced_in_flight,
            left_s=decided.deadline_s - observed.now_s,
            daemons=observed.daemons,
            present_test=_explain(present, decided.order),
            all_counts=_explain(observed.evidence, decided.order),
        )
    )


def _explain(counted: evidence.Evidence, order: notes.Order) -> tuple[str, ...]:
    """Returns the test of each route, those that lean to BAD first."""
    judged = verdict.judge(counted, assessment.settings_for(order))
    results = sorted(judged.results, key=lambda result: -result.ratio)
    return tuple(result.explain() for result in results[:_MAX_LOGGED_ROUTES])
