"""What the decider concludes from its counts before it decides.

Load pattern: counts that are up to 1.2 s old, of which a lost digest delays
some; durations from 12 s on, of which booting takes the first 3 or 4.
"""

import dataclasses
import math

from turmericcroft.rollouts import evidence as evidences
from turmericcroft.rollouts import exposure
from turmericcroft.rollouts import notes
from turmericcroft.rollouts import progress
from turmericcroft.rollouts import verdict as verdicts

# Shares of the ramp's stages, each of which needs its own evidence.
STAGE_SHARES = (0.25, 0.5)
# Time to gather a stage's evidence once its share is in use everywhere.
_STAGE_EVIDENCE_S = 1.5
# Interval of decisions.
DECISION_INTERVAL_S = 0.2
# Time before the deadline at which the rollout ends: the status must be written
# by then, also if the answer to the first write is lost.
STATUS_MARGIN_S = 0.7
# Part of the duration that is left for all requests to move and the earlier
# ones to end, and its maximum. The version may still turn bad until then, so
# it is no longer than an outage of the store or of the decider takes.
_FULL_PART = 0.25
_MAX_FULL_PART = 0.4
_MAX_FULL_S = 30.0
# Multiple of the mean time of a request in which nearly all end.
_DRAIN_TIMES = 3.0
# Part of the replaced versions' slots that the target version needs to get all
# requests, unless the time is up.
_MIN_FULL_SLOTS_PART = 0.7
# Tests run one after another for as long as the rollout lasts; this many, and
# one for each interval, share the error rate.
_BASE_LOOKS = 4
_LOOK_INTERVAL_S = 2.0
_MAX_LOOKS = 100
RATE_INTERVAL_S = 0.6
# Bad answers after which the target version must be given up in time.
_MANY_BAD_ANSWERS = 50
_RATE_DECAY = 0.3


@dataclasses.dataclass(frozen=True)
class Facts:
    """What one decision is made from.

    Attributes:
        observation: The observation.
        limits: The deployment's bounds.
        lag: How late counts and decisions are.
        traffic: What the service and the target version got.
        window: Judgement of the present test.
        whole: Judgement of all counts since the order.
        end_s: Monotonic time at which the rollout is ended, so that the status
            is written by the deadline.
        full_at_s: Monotonic time from which all requests may move.
        latest_full_s: Monotonic time up to which they must, for the earlier
            versions' requests to be seen to end.
    """

    observation: progress.Observation
    limits: progress.Limits
    lag: exposure.Delays
    traffic: exposure.Traffic
    window: verdicts.Judgement
    whole: verdicts.Judgement
    end_s: float
    full_at_s: float
    latest_full_s: float

    @property
    def weights(self) -> dict[str, float]:
        """Part of all attempts by route."""
        sent = {
            result.route: result.target.sent + result.replaced.sent
            for result in self.whole.results
        }
        total = sum(sent.values())
        return {route: part / total for route, part in sent.items() if part}

    @property
    def ramp_at_s(self) -> float:
        """Monotonic time from which the ramp may begin.

        A version may turn bad later, so the trial lasts for as long as the
        ramp's stages leave time.
        """
        return self.full_at_s - len(STAGE_SHARES) * self._stage_s

    @property
    def last_stage_at_s(self) -> float:
        """Monotonic time from which there is time for one stage only."""
        return self.full_at_s - self._stage_s

    @property
    def _stage_s(self) -> float:
        return self.lag.total_s + _STAGE_EVIDENCE_S

    @property
    def slots_share(self) -> float:
        """Share that the target's slots bear as the others bear the whole."""
        target = self.observation.target_slots
        return min(1.0, target / max(1, self.observation.replaced_slots))

    @property
    def has_slots_for_all(self) -> bool:
        """Whether the target version's servers can bear the whole load."""
        replaced = self.observation.replaced_slots
        return self.observation.target_slots >= _MIN_FULL_SLOTS_PART * replaced


def settings_for(order: notes.Order) -> verdicts.VerdictSettings:
    """Returns the tests' settings for an order of some duration."""
    looks = 0
    if 0.0 < order.duration_s < math.inf:
        looks = int(min(_MAX_LOOKS, order.duration_s / _LOOK_INTERVAL_S))
    return dataclasses.replace(
        verdicts.DEFAULT_SETTINGS, looks=_BASE_LOOKS + looks
    )


def assess(
    state: progress.RolloutState,
    observation: progress.Observation,
    limits: progress.Limits,
) -> Facts:
    """Judges the counts, and derives the times that the deadline leaves."""
    evidence = observation.evidence
    lag = exposure.delays(observation.daemons)
    duration_s = state.order.duration_s
    settings = settings_for(state.order)
    end_s = state.deadline_s - STATUS_MARGIN_S
    settle_s = lag.total_s + DECISION_INTERVAL_S
    # By Little's law, the requests in flight show how long each takes.
    replaced_rate_per_s = (1.0 - state.share) * (state.rate_per_s or 0.0)
    usual_s = observation.replaced_in_flight / max(1.0, replaced_rate_per_s)
    reserve_s = max(
        settle_s + 2.0 * DECISION_INTERVAL_S,
        min(
            _MAX_FULL_PART * duration_s,
            settle_s + DECISION_INTERVAL_S + _DRAIN_TIMES * usual_s,
        ),
        min(_MAX_FULL_S, _FULL_PART * duration_s),
    )
    base = state.base or evidences.NO_EVIDENCE
    return Facts(
        observation,
        limits,
        lag,
        exposure.Traffic(
            evidence.requests,
            evidence.target_total.sent,
            _unseen(state, lag, observation.now_s),
            state.rate_per_s or 0.0,
            state.deadline_s - observation.now_s,
        ),
        verdicts.judge(evidence.target_since(base), settings),
        verdicts.judge(evidence, settings),
        end_s,
        end_s - reserve_s,
        end_s - settle_s,
    )


def count(
    state: progress.RolloutState,
    observation: progress.Observation,
) -> progress.RolloutState:
    """Updates what the state keeps of the counts."""
    now_s = observation.now_s
    evidence = observation.evidence
    if state.base is None:
        state = dataclasses.replace(state, base=evidence)
    state = dataclasses.replace(state, granted=_grant(state, observation))
    if (
        state.many_bad_since_s is None
        and evidence.target_total.bad >= _MANY_BAD_ANSWERS
    ):
        state = dataclasses.replace(state, many_bad_since_s=now_s)
    if state.counted_requests is None:
        return dataclasses.replace(
            state, counted_at_s=now_s, counted_requests=evidence.requests
        )
    elapsed_s = now_s - state.counted_at_s
    if elapsed_s < RATE_INTERVAL_S:
        return state
    rate_per_s = max(0.0, evidence.requests - state.counted_requests)
    rate_per_s /= elapsed_s
    known_per_s = state.rate_per_s
    if known_per_s is not None and rate_per_s < known_per_s:
        # Lost digests look like a pause.
        rate_per_s = known_per_s + _RATE_DECAY * (rate_per_s - known_per_s)
    return dataclasses.replace(
        state,
        rate_per_s=rate_per_s,
        counted_at_s=now_s,
        counted_requests=evidence.requests,
    )


def _unseen(
    state: progress.RolloutState, lag: exposure.Delays, now_s: float
) -> float:
    """Returns the attempts that were allowed and are likely not counted yet.

    Some of a decision's attempts are in the counts after the shorter delay,
    all of them after both.
    """
    first_s = min(lag.counts_s, lag.decision_s) / 2.0
    return sum(
        amount
        * min(1.0, (lag.total_s - (now_s - time_s)) / (lag.total_s - first_s))
        for time_s, amount in state.granted
        if now_s - time_s < lag.total_s
    )


def _grant(
    state: progress.RolloutState, observation: progress.Observation
) -> tuple[tuple[float, float], ...]:
    """Returns what decisions allowed that the counts may not show yet."""
    now_s = observation.now_s
    since_s = now_s - exposure.delays(observation.daemons).total_s
    rate_per_s = state.rate_per_s or 0.0
    amount = state.share * rate_per_s * max(0.0, now_s - state.decided_at_s)
    recent = tuple(grant for grant in state.granted if grant[0] > since_s)
    return (*recent, (now_s, amount)) if amount else recent
