"""How far a rollout has come, as its decider knows it.

Load pattern: the lease holder decides every 0.2 s, and another one continues
from the notes when it is lost.
"""

import dataclasses
from collections.abc import Collection

from turmericcroft.fleet import positions
from turmericcroft.rollouts import evidence as evidences
from turmericcroft.rollouts import notes


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds that the deployment states.

    Attributes:
        exposure_share: Part of the service's requests, between the order and
            its deadline, that a bad version may get.
        exposure_tolerance: Requests that it may get besides these.
        rollback_timeout_s: Time after its 50th bad answer from which it may
            get nothing.
    """

    exposure_share: float = 0.1
    exposure_tolerance: float = 50.0
    rollback_timeout_s: float = 5.0


@dataclasses.dataclass(frozen=True)
class Observation:
    """What the decider knows at one moment.

    Attributes:
        now_s: Monotonic time.
        target_slots: Slots of the usable servers of the target version.
        replaced_slots: Slots of the usable servers of all other versions.
        replaced_in_flight: Requests and streams that run on servers of other
            versions, of all daemons.
        evidence: Counts of the fleet since the order.
        daemons: Daemons of the fleet, this one included.
        is_service_known: Whether the declaration has the service. If not, the
            order ends, so a decider without a declaration doesn't decide yet.
        versions: Software versions of the service's usable servers.
        is_withdrawn: Whether the order's key was removed.
    """

    now_s: float
    target_slots: int
    replaced_slots: int
    replaced_in_flight: int
    evidence: evidences.Evidence
    daemons: int
    is_service_known: bool
    versions: tuple[str, ...] = ()
    is_withdrawn: bool = False


@dataclasses.dataclass(frozen=True)
class RolloutState:
    """A rollout as its decider knows it.

    Attributes:
        order: The order.
        phase: Its phase.
        share: Part of the new requests that goes to the target version.
        replaced: Software versions that the service had when it was ordered.
        step: Increases with each decision.
        first_seen_s: Monotonic time at which the order was first seen, by any
            daemon.
        decided_at_s: Monotonic time of the last decision.
        reason: Why, for operators.
        phase_since_s: Monotonic time at which this decider entered the phase
            or its present stage, or took the rollout over.
        stage: Index of the ramp's present stage.
        base: Counts from which on the present test counts; None for a decider
            that has just taken over.
        is_settled: Whether all that the test counts was sent at the present
            stage's share.
        proofs: Tests of the present stage that found the version good.
        many_bad_since_s: Monotonic time at which the target version's 50th bad
            answer was seen; None before.
        rate_per_s: Requests per second that reach the service; None before it
            is known.
        counted_at_s: Monotonic time of the count that the rate started from.
        counted_requests: Requests at that time; None before the first count.
        granted: Monotonic times of recent decisions, and the attempts at the
            target version that each allowed until the next.
        route_shares: Routes whose share differs from `share`, and their shares.
    """

    order: notes.Order
    phase: notes.Phase
    share: float
    replaced: tuple[str, ...]
    step: int
    first_seen_s: float
    decided_at_s: float
    reason: str
    phase_since_s: float = 0.0
    stage: int = 0
    base: evidences.Evidence | None = evidences.NO_EVIDENCE
    is_settled: bool = True
    proofs: int = 0
    many_bad_since_s: float | None = None
    rate_per_s: float | None = None
    counted_at_s: float = 0.0
    counted_requests: float | None = None
    granted: tuple[tuple[float, float], ...] = ()
    route_shares: tuple[tuple[str, float], ...] = ()

    @property
    def deadline_s(self) -> float:
        """Monotonic time by which the rollout must have ended."""
        return self.first_seen_s + self.order.duration_s


def begin(
    order: notes.Order, versions: Collection[str], now_s: float
) -> RolloutState:
    """Returns the state of an order that no daemon told of yet.

    Args:
        order: The order.
        versions: Software versions of the service's servers, also of those
            that are leaving.
        now_s: Monotonic time.
    """
    replaced = tuple(sorted(set(versions) - {order.target}))
    return RolloutState(
        order,
        notes.Phase.WAITING,
        0.0,
        replaced,
        0,
        now_s,
        now_s,
        "ordered",
        phase_since_s=now_s,
    )


def resume(note: notes.RolloutNote, now_s: float) -> RolloutState:
    """Returns the state from which a new decider continues.

    A ramp's present stage begins anew, because its evidence is not in the note;
    a trial continues with all counts since the order. Phases that a newer build
    may have written and this one doesn't know count as WAITING.
    """
    phase = notes.read_phase(note)
    position = positions.StorePosition(note.era, note.revision)
    in_trial = phase in (notes.Phase.WAITING, notes.Phase.TRIAL)
    return RolloutState(
        notes.Order(note.service, note.target, note.duration_s, position),
        phase,
        note.share,
        tuple(note.replaced),
        note.step,
        now_s - note.age_s,
        now_s - note.decided_age_s,
        note.reason,
        phase_since_s=now_s,
        base=evidences.NO_EVIDENCE if in_trial else None,
        is_settled=in_trial,
    )


def make_note(
    state: RolloutState, token: int, now_s: float
) -> notes.RolloutNote:
    """Returns what to tell other daemons.

    Args:
        state: The state.
        token: Fencing number of the decider; 0 for a daemon that only saw the
            order.
        now_s: Monotonic time.
    """
    order = state.order
    return notes.RolloutNote(
        order.service,
        order.target,
        order.duration_s,
        order.position.era,
        order.position.revision,
        state.phase.value,
        round(state.share, 4),
        state.replaced,
        token,
        state.step,
        round(now_s - state.first_seen_s, 3),
        round(now_s - state.decided_at_s, 3),
        state.reason,
        state.route_shares,
    )
