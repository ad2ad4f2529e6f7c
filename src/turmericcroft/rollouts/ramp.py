"""Decides how far a rollout goes, and which share of the requests it gets.

Load pattern: orders of 12 s and more, 20 to 200 requests/s of the service over
8 to 85 daemons, whose counts are up to 1.2 s old and which hear of a decision
within 1.5 s. The lease holder decides every 0.2 s.
"""

import dataclasses
import math

from turmericcroft.charts import chart as charts
from turmericcroft.rollouts import assessment
from turmericcroft.rollouts import evidence as evidences
from turmericcroft.rollouts import exposure
from turmericcroft.rollouts import notes
from turmericcroft.rollouts import progress
from turmericcroft.rollouts import verdict as verdicts

# Time for the declaration to name a service that was ordered with it.
_SERVICE_GRACE_S = 1.5
# Highest share of a trial: the replaced versions must be seen at the same time.
_MAX_TRIAL_SHARE = 0.8
# Log-likelihood ratio by which a good answer lowers that of its route, and the
# answers that a route is assumed to need at least.
_GOOD_ANSWER_RATIO = 0.36
_MIN_ROUTE_ANSWERS = 4.0
# Log-likelihood ratios of the worst route up to which a rollout goes on without
# the full evidence: at the time for the next phase, and when no time is left
# (odds of 33 and 3 to 1).
_EARLY_RATIO = -3.5
_PRESSED_RATIO = -1.0
# Log-likelihood ratio of the present test up to which a version that was good
# before still counts as good: that of one bad answer by chance.
_FINE_RATIO = 2.5
# Log-likelihood ratio of the present test from which on a version that was good
# before counts as bad when the time is up: odds of 100 to 1. One test after
# another is begun, so by chance some have a ratio above 0 at that time.
_BAD_LATELY_RATIO = 4.6

Limits = progress.Limits
Observation = progress.Observation
RolloutState = progress.RolloutState
begin = progress.begin
resume = progress.resume
make_note = progress.make_note


def decide(
    state: RolloutState, observation: Observation, limits: Limits
) -> RolloutState:
    """Returns the next state of a rollout; a final state stays as it is.

    Each decision counts as a step, also one that changes nothing: daemons stop
    sending to the target version when the last decision is 2 s old.
    """
    if state.phase.is_final:
        return state
    now_s = observation.now_s
    state = dataclasses.replace(
        assessment.count(state, observation),
        step=state.step + 1,
        decided_at_s=now_s,
    )
    moved = _end_by_order(state, observation)
    if moved is not None:
        return moved
    if state.phase is notes.Phase.WAITING:
        state = _start_trial(state, observation)
        if state.phase is not notes.Phase.TRIAL:
            return state
    facts = assessment.assess(state, observation, limits)
    moved = _end_by_evidence(state, facts)
    if moved is not None:
        return moved
    if facts.window.verdict is verdicts.Verdict.GOOD:
        state = dataclasses.replace(
            state, base=observation.evidence, proofs=state.proofs + 1
        )
    elif (
        not state.is_settled
        and now_s - state.phase_since_s >= facts.lag.total_s
        and _is_fine(facts)
    ):
        state = dataclasses.replace(
            state, base=observation.evidence, is_settled=True, proofs=0
        )
    match state.phase:
        case notes.Phase.TRIAL:
            return _go_on_with_trial(state, facts)
        case notes.Phase.RAMP:
            return _go_on_with_ramp(state, facts)
        case _:
            return _go_on_with_full(state, facts)


def find_fault(order: notes.Order, evidence: evidences.Evidence) -> str | None:
    """Returns why the target version is bad by all counts; None if it isn't.

    For daemons that don't decide: one that sees it stops sending at once.
    """
    judged = verdicts.judge(evidence, assessment.settings_for(order))
    return judged.explain() if judged.verdict is verdicts.Verdict.BAD else None


def _end_by_order(
    state: RolloutState, observation: Observation
) -> RolloutState | None:
    """Ends rollouts whose order can't be carried out."""
    order = state.order
    now_s = observation.now_s
    is_first = state.phase is notes.Phase.WAITING
    if (
        is_first
        and observation.target_slots > 0
        and observation.replaced_slots == 0
        and not state.replaced
    ):
        # Whatever else is wrong with the order: at a roll-back, the service
        # would lose its only servers.
        return _move(state, now_s, "already_only", "already the only version")
    if observation.is_withdrawn:
        return _move(state, now_s, "order_ended", "order withdrawn")
    if not (math.isfinite(order.duration_s) and order.duration_s > 0.0):
        reason = f"expected a duration above 0 s, found {order.duration_s} s"
        return _move(state, now_s, "order_ended", reason)
    known_for_s = now_s - state.first_seen_s
    if (
        is_first
        and not observation.is_service_known
        and known_for_s >= _SERVICE_GRACE_S
    ):
        return _move(state, now_s, "order_ended", "unknown service")
    if now_s < state.deadline_s - assessment.STATUS_MARGIN_S:
        return None
    if is_first:
        reason = "no server of the target version was ready"
        return _move(state, now_s, "time_up_bad", reason)
    if observation.target_slots == 0:
        reason = "no server of the target version is left"
        return _move(state, now_s, "time_up_bad", reason)
    return None


def _start_trial(state: RolloutState, observation: Observation) -> RolloutState:
    if not state.replaced:
        # Servers of the earlier versions may have appeared after the order.
        versions = set(observation.versions) - {state.order.target}
        state = dataclasses.replace(state, replaced=tuple(sorted(versions)))
    if observation.target_slots == 0:
        reason = "no server of the target version is ready"
        return dataclasses.replace(state, reason=reason)
    return _move(state, observation.now_s, "target_ready", "target ready")


def _end_by_evidence(
    state: RolloutState, facts: assessment.Facts
) -> RolloutState | None:
    """Ends rollouts of bad versions, and all of them when the time is up."""
    now_s = facts.observation.now_s
    if facts.window.verdict is verdicts.Verdict.BAD:
        return _move(state, now_s, "found_bad", facts.window.explain())
    if facts.whole.verdict is verdicts.Verdict.BAD:
        return _move(state, now_s, "found_bad", facts.whole.explain())
    if state.many_bad_since_s is not None and facts.whole.worst_ratio > 0.0:
        known_for_s = now_s - state.many_bad_since_s + facts.lag.total_s
        if (
            known_for_s
            >= facts.limits.rollback_timeout_s - assessment.STATUS_MARGIN_S
        ):
            reason = f"many bad answers; {facts.whole.explain()}"
            return _move(state, now_s, "found_bad", reason)
    if now_s < facts.end_s:
        return None
    is_bad_lately = facts.window.worst_ratio > _BAD_LATELY_RATIO
    if facts.whole.leans_good and not is_bad_lately:
        reason = f"time is up; {facts.whole.explain()}"
        return _move(state, now_s, "time_up_good", reason)
    judged = facts.window if is_bad_lately else facts.whole
    reason = f"time is up; {judged.explain()}"
    return _move(state, now_s, "time_up_bad", reason)


def _go_on_with_trial(
    state: RolloutState, facts: assessment.Facts
) -> RolloutState:
    now_s = facts.observation.now_s
    if state.proofs and now_s >= facts.ramp_at_s and _is_fine(facts):
        return _move(state, now_s, "found_good", facts.whole.explain(), facts)
    reason = f"little time is left; {facts.whole.explain()}"
    if _may_press_full(facts):
        return _move(state, now_s, "pressed", reason, facts)
    if _may_press(facts, facts.last_stage_at_s, facts.full_at_s):
        return _move(state, now_s, "found_good", reason, facts)
    limits = facts.limits
    share = exposure.trial_share(
        facts.traffic, limits.exposure_share, limits.exposure_tolerance
    )
    if (
        now_s - state.first_seen_s
        < facts.lag.total_s + assessment.RATE_INTERVAL_S
    ):
        # Not all daemons count the requests yet, so the rate isn't known.
        share = 0.0
    elif state.rate_per_s is None:
        share = min(share, state.share)
    share = min(share, _MAX_TRIAL_SHARE, facts.slots_share)
    return _set_share(state, facts, share)


def _go_on_with_ramp(
    state: RolloutState, facts: assessment.Facts
) -> RolloutState:
    now_s = facts.observation.now_s
    is_last = state.stage == len(assessment.STAGE_SHARES) - 1
    is_proved = state.proofs > 0 and state.is_settled and _is_fine(facts)
    if (
        is_proved
        and is_last
        and now_s >= facts.full_at_s
        and facts.has_slots_for_all
    ):
        return _move(state, now_s, "found_good", facts.whole.explain(), facts)
    is_due = now_s >= facts.full_at_s and facts.has_slots_for_all
    if (is_due and state.proofs and _is_fine(facts)) or _may_press_full(facts):
        reason = f"little time is left; {facts.whole.explain()}"
        return _move(state, now_s, "pressed", reason, facts)
    if is_proved and not is_last:
        state = _restart_stage(state, now_s, facts)
        state = dataclasses.replace(state, stage=state.stage + 1)
    limits = facts.limits
    share = exposure.ramp_share(
        facts.traffic,
        facts.lag,
        limits.exposure_share,
        limits.exposure_tolerance,
    )
    if state.rate_per_s is None:
        share = min(share, state.share)
    share = min(share, assessment.STAGE_SHARES[state.stage], facts.slots_share)
    return _set_share(state, facts, share)


def _set_share(
    state: RolloutState, facts: assessment.Facts, share: float
) -> RolloutState:
    """Divides a share of all requests by what the routes' tests still need."""
    weights = facts.weights
    needs = {
        result.route: max(
            _MIN_ROUTE_ANSWERS,
            (result.ratio - math.log(verdicts.DEFAULT_SETTINGS.false_good))
            / _GOOD_ANSWER_RATIO
            - (result.target.sent - result.target.answered),
        )
        for result in facts.window.results
    }
    shares = exposure.divide_share(share, weights, needs, _MAX_TRIAL_SHARE)
    return dataclasses.replace(
        state,
        share=sum(shares[route] * weights[route] for route in shares),
        route_shares=tuple(sorted(shares.items())),
        reason=facts.window.explain(),
    )


def _go_on_with_full(
    state: RolloutState, facts: assessment.Facts
) -> RolloutState:
    observation = facts.observation
    now_s = observation.now_s
    if observation.target_slots == 0:
        reason = "no server of the target version is left"
        return _move(state, now_s, "target_lost", reason, facts)
    settle_s = facts.lag.total_s + assessment.DECISION_INTERVAL_S
    if (
        now_s - state.phase_since_s >= settle_s
        and observation.replaced_in_flight == 0
        and _is_fine(facts)
        and facts.whole.leans_good
        and (state.proofs or facts.whole.verdict is verdicts.Verdict.GOOD)
    ):
        return _move(state, now_s, "drained", facts.whole.explain())
    reason = (
        f"{observation.replaced_in_flight} requests on the replaced versions; "
        f"{facts.window.explain()}"
    )
    return dataclasses.replace(state, share=1.0, reason=reason)


def _is_fine(facts: assessment.Facts) -> bool:
    """Returns whether the present test doesn't lean towards BAD."""
    return facts.window.worst_ratio <= _FINE_RATIO


def _may_press_full(facts: assessment.Facts) -> bool:
    """Returns whether all requests should move without the full evidence."""
    now_s = facts.observation.now_s
    if not facts.has_slots_for_all and now_s < facts.latest_full_s:
        return False
    return _may_press(facts, facts.full_at_s, facts.latest_full_s)


def _may_press(facts: assessment.Facts, due_s: float, last_s: float) -> bool:
    """Returns whether to go on although more could be tested.

    Args:
        facts: The facts.
        due_s: Monotonic time from which on it is considered.
        last_s: Monotonic time at which the least evidence suffices.
    """
    now_s = facts.observation.now_s
    if now_s < due_s or facts.observation.target_slots == 0:
        return False
    if not (_is_fine(facts) and facts.whole.leans_good):
        return False
    limits = facts.limits
    if exposure.fits_whole(
        facts.traffic, limits.exposure_share, limits.exposure_tolerance
    ):
        return True
    left = max(0.0, (last_s - now_s) / max(0.1, last_s - due_s))
    needed = _PRESSED_RATIO + left * (_EARLY_RATIO - _PRESSED_RATIO)
    return facts.whole.worst_ratio <= needed


def _restart_stage(
    state: RolloutState, now_s: float, facts: assessment.Facts
) -> RolloutState:
    """Begins a new test for evidence at another share."""
    return dataclasses.replace(
        state,
        phase_since_s=now_s,
        base=facts.observation.evidence,
        is_settled=False,
        proofs=0,
    )


def _move(
    state: RolloutState,
    now_s: float,
    event: str,
    reason: str,
    facts: assessment.Facts | None = None,
) -> RolloutState:
    """Moves to the phase that follows an event.

    Raises:
        errors.ChartError: The chart has no such transition.
    """
    chart = charts.load("rollout")
    phase = notes.Phase(chart.next_state(state.phase.value, event))
    if facts is not None:
        state = _restart_stage(state, now_s, facts)
    match phase:
        case notes.Phase.FULL | notes.Phase.COMPLETED:
            share = 1.0
        case notes.Phase.RAMP if event != "target_lost":
            share = state.share
        case _:
            share = 0.0
    return dataclasses.replace(
        state,
        phase=phase,
        share=share,
        stage=0,
        route_shares=(),
        phase_since_s=now_s,
        reason=reason,
    )
