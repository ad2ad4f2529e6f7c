"""Carries out rollouts: reads orders, decides, tells the fleet, writes status.

All daemons note the orders that they read, and stop sending to a version that
the fleet's counts show to be bad. The holder of the duties lease alone decides
how far a rollout goes and writes its status.

A completed rollout ends the replaced servers at once, so that it is told only
after the store took the status. A roll-back is told first, because requests
must stop also while the store is away.
"""

import asyncio
import contextlib
import dataclasses
import typing
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence

import aioprometheus
import logbook

from turmericcroft.control import rollout_choice
from turmericcroft.control import rollout_evidence
from turmericcroft.control import rollout_observation
from turmericcroft.control import rollout_orders
from turmericcroft.control import rollout_status
from turmericcroft.duties import lease as leases
from turmericcroft.eventlog import events
from turmericcroft.gateway import duty as duties
from turmericcroft.gateway import following
from turmericcroft.gateway import ports
from turmericcroft.gateway import state as states
from turmericcroft.rollouts import assessment
from turmericcroft.rollouts import evidence
from turmericcroft.rollouts import notes
from turmericcroft.rollouts import ramp
from turmericcroft.rollouts import verdict

_LOG = logbook.Logger("rollouts")
_INTERVAL_S = 0.2
# Rollouts that are decided on before requests are served again. The first
# decision on one takes 0.15 ms, and any writer may add thousands of orders.
_SERVICES_AT_ONCE = 50
# The gate sends nothing to the target after a decision of this age.
_STALE_DECISION_S = 2.0
# Counts of an order are dropped this long after it ended: by then no daemon
# decides by them, and digests are shorter without them.
_COUNTS_KEPT_S = 30.0
# An order may have been written at any time since the store was read last, and
# polls are 0.8 s apart. It counts from then, so that it ends by its deadline.
# After an outage that is far too early, and its operator could hardly write it
# during the outage either.
_MAX_READ_DELAY_S = 2.0
# An order that continues an earlier era's keeps its age; another one is new.
_AGE_TOLERANCE_S = 1.0


class RolloutController:
    """Task that owns the rollouts' state in one daemon."""

    def __init__(
        self,
        state: states.State,
        store: ports.Store,
        follower: following.Follower,
        find_duty: Callable[[], duties.DutyTask | None],
    ) -> None:
        self.state = state
        self.stored = rollout_orders.StoreOrders(follower.store_view.schema)
        self._find_duty = find_duty
        self.writer = rollout_status.StatusWriter(
            state, store, self.stored, self._token, self._adopt_end
        )
        self._rollouts: dict[str, rollout_status.Rollout] = {}
        self._read_at_s: float | None = None
        # Set by new orders, which are decided on at once.
        self._ordered = asyncio.Event()
        self._share = aioprometheus.Gauge(
            "turmericcroft_rollout_share",
            "Part of the requests that the target of a rollout gets.",
            registry=state.metrics.registry,
        )
        follower.on_rollout_keys = self.apply_keys
        self.recorder = rollout_evidence.Recorder(state)
        state.observe_attempt = self.recorder.begin
        self.choice = rollout_choice.VersionChoice(state)
        state.limit_versions = self.choice.limit

    async def run(self) -> None:
        """Observes and decides until cancelled."""
        try:
            while True:
                self._ordered.clear()
                await self._update_all()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_INTERVAL_S):
                        await self._ordered.wait()
        finally:
            for rollout in self._rollouts.values():
                if rollout.writing is not None:
                    rollout.writing.cancel()

    def after_order(
        self, job: Callable[[], Coroutine[typing.Any, typing.Any, None]]
    ) -> Callable[[], Coroutine[typing.Any, typing.Any, None]]:
        """Returns a job that begins with the first order that is known.

        Without an order, a deployment that has no duties needs no lease.
        """

        async def run() -> None:
            while not self.state.rollouts.services():
                await asyncio.sleep(_INTERVAL_S)
            await job()

        return run

    def apply_keys(self, listing: ports.Listing, is_whole: bool) -> None:
        """Applies orders and statuses that were read from the store."""
        now_s = asyncio.get_running_loop().time()
        delay_s = 0.0
        if self._read_at_s is not None:
            delay_s = min(_MAX_READ_DELAY_S, now_s - self._read_at_s)
        self._read_at_s = now_s
        for order in self.stored.apply(listing, is_whole):
            self._note_order(order, delay_s, now_s)
            self._ordered.set()
        for service in self.stored.statuses:
            self._adopt_end(service)

    async def _update_all(self) -> None:
        """Updates all rollouts, and serves requests in between."""
        services = self.state.rollouts.services()
        for first in range(0, len(services), _SERVICES_AT_ONCE):
            self.update(services[first : first + _SERVICES_AT_ONCE])
            await asyncio.sleep(0)

    def update(self, services: Sequence[str] | None = None) -> None:
        """Observes rollouts, and decides if this daemon holds the lease.

        Args:
            services: Their services; None for all.
        """
        now_s, token = asyncio.get_running_loop().time(), self._token()
        if services is None:
            services = self.state.rollouts.services()
        for service in services:
            self._update(service, token, now_s)

    def _update(self, service: str, token: int | None, now_s: float) -> None:
        note = self.state.rollouts.decided(service, now_s)
        if note is None:
            return
        rollout = self._track(note)
        if notes.read_phase(note).is_final:
            self._observe_end(rollout, now_s)
        else:
            self.recorder.delays.keep_measuring(now_s)
            self._watch_counts(rollout, note, now_s)
        if token is None:
            rollout.state = rollout.completing = None
        else:
            self._act(rollout, note, token, now_s)
        self._report(rollout, now_s)

    def _token(self) -> int | None:
        """Returns this daemon's fencing number; None if it may not decide."""
        duty = self._find_duty()
        token = duty.fencing_token() if duty is not None else None
        return token.number if token is not None else None

    def _note_order(
        self, order: notes.Order, delay_s: float, now_s: float
    ) -> None:
        """Tells of an order, unless it is known.

        Args:
            order: The order as it was read.
            delay_s: Longest time since it was written.
            now_s: Monotonic time.
        """
        view = self.state.rollouts
        known = view.decided(order.service, now_s)
        change = "ordered"
        if known is not None:
            known_order = rollout_evidence.order_of(known)
            if order.position <= known_order.position:
                return
            is_known = view.identify(order).position != order.position
            if is_known and not rollout_orders.is_same(order, known_order):
                _LOG.warning(
                    "the store brought back an earlier order; it is ignored",
                    service=order.service,
                    target=order.target,
                )
                return
            change = "replaced"
            if (
                order.position.era > known_order.position.era
                and rollout_orders.is_same(order, known_order)
            ):
                change = "continued"
        if known is not None and change == "continued":
            note = dataclasses.replace(
                known,
                era=order.position.era,
                revision=order.position.revision,
            )
        else:
            began = ramp.begin(
                order,
                rollout_observation.versions_in_use(
                    self.state, order.service, now_s
                ),
                now_s,
            )
            note = ramp.make_note(began, 0, now_s)
            ordered_at_s = self.stored.ordered_at_s(order)
            if ordered_at_s is not None:
                # All daemons may have restarted since.
                delay_s = self.state.corrected_time_s() - ordered_at_s
            note = dataclasses.replace(note, age_s=max(0.0, delay_s))
        view.record(note, now_s)
        self._track(note)
        rollout_observation.log_order(self.state, order, note.replaced, change)
        self._adopt_end(order.service)

    def _track(self, note: notes.RolloutNote) -> rollout_status.Rollout:
        """Finds or begins what this daemon keeps of a rollout."""
        order = rollout_evidence.order_of(note)
        known = self._rollouts.get(order.service)
        if known is not None and known.order.position == order.position:
            return known
        rollout = rollout_status.Rollout(order)
        if known is not None:
            if known.writing is not None:
                known.writing.cancel()
            if (
                known.order.position.era < order.position.era
                and rollout_orders.is_same(known.order, order)
                and note.age_s > _AGE_TOLERANCE_S
            ):
                # The same order goes on, with what was counted for it.
                self._copy_counts(known.order, order)
            self.state.counters.remove(evidence.prefix(known.order))
        self._rollouts[order.service] = rollout
        return rollout

    def _copy_counts(self, before: notes.Order, after: notes.Order) -> None:
        old, new = evidence.prefix(before), evidence.prefix(after)
        for key, total in list(self.state.counters.own.items()):
            if key.startswith(old):
                self.state.counters.add(new + key.removeprefix(old), total)

    def _adopt_end(self, service: str) -> None:
        """Applies the end that the store states, whoever wrote it."""
        now_s = asyncio.get_running_loop().time()
        note = self.state.rollouts.decided(service, now_s)
        stored = self.stored.statuses.get(service)
        if note is None or stored is None:
            return
        ended = stored.ended(rollout_evidence.order_of(note))
        if ended is None:
            return
        self._track(note).is_stored = True
        if note.phase == ended.value:
            return
        is_decided = note.token > 0
        # Its revision is higher than the fencing numbers of all holders that
        # decided before, so it takes precedence over what they still tell.
        ended_note = dataclasses.replace(
            note,
            phase=ended.value,
            share=float(ended is notes.Phase.COMPLETED),
            # A daemon that has just started doesn't know which versions were
            # replaced; those in use now may be of a later release.
            replaced=note.replaced if is_decided else (),
            token=leases.fencing_number(stored.position) if is_decided else 0,
            decided_age_s=0.0,
            reason="status in the store",
        )
        self.state.rollouts.record(ended_note, now_s)

    def _observe_end(
        self, rollout: rollout_status.Rollout, now_s: float
    ) -> None:
        if rollout.ended_at_s is None:
            rollout.ended_at_s = now_s
        if now_s - rollout.ended_at_s > _COUNTS_KEPT_S:
            self.state.counters.remove(evidence.prefix(rollout.order))

    def _watch_counts(
        self,
        rollout: rollout_status.Rollout,
        note: notes.RolloutNote,
        now_s: float,
    ) -> None:
        """Holds requests back if the fleet's counts show a bad version."""
        # With the decider's settings: a daemon that holds requests back from a
        # version that the decider goes on with would keep it from evidence.
        found = verdict.judge(
            rollout_observation.find_evidence(
                self.state, rollout.order, note.replaced
            ),
            assessment.settings_for(rollout.order),
        )
        if found.verdict is verdict.Verdict.BAD:
            reason = f"route {found.route} is bad by the fleet's counts"
            self.state.rollouts.hold(note.service, reason)
        held = self.state.rollouts.latest(note.service, now_s)
        reason = held.reason if held is not None else note.reason
        is_held = found.verdict is verdict.Verdict.BAD
        if note.token and note.decided_age_s > _STALE_DECISION_S:
            is_held, reason = True, "no recent decision is known"
        if is_held != rollout.is_held:
            rollout.is_held = is_held
            self.state.log.write(
                events.RolloutHeld(
                    service=note.service,
                    target=note.target,
                    held=is_held,
                    reason=reason,
                    note_age_s=note.decided_age_s,
                )
            )

    def _act(
        self,
        rollout: rollout_status.Rollout,
        note: notes.RolloutNote,
        token: int,
        now_s: float,
    ) -> None:
        """Makes the decision that is due, or writes the status."""
        order = rollout.order
        if notes.read_phase(note).is_final:
            rollout.state = rollout.completing = None
            self.writer.ensure(
                rollout, notes.read_phase(note), note.reason, note.age_s
            )
            return
        if self.state.declaration.table is None:
            return
        known = rollout.state
        if (
            known is None
            or rollout.token != token
            or (note.token, note.step) > (rollout.token, known.step)
        ):
            known = ramp.resume(note, now_s)
            rollout.token = token
        if rollout.completing is not None:
            self._go_on_completing(
                rollout, known, rollout.completing, token, now_s
            )
            return
        bounds = self.state.settings.bounds
        observed = rollout_observation.observe(
            self.state, self.stored, order, note.replaced, now_s
        )
        decided = ramp.decide(
            known,
            observed,
            ramp.Limits(
                bounds.exposure_share,
                bounds.exposure_tolerance,
                bounds.rollback_timeout_ms / 1000,
            ),
        )
        rollout_observation.log_decision(
            self.state, rollout, known, decided, observed, token
        )
        if decided.phase is notes.Phase.COMPLETED:
            rollout.completing = decided
            self._go_on_completing(rollout, known, decided, token, now_s)
            return
        rollout.state = decided
        self.state.rollouts.record(ramp.make_note(decided, token, now_s), now_s)
        ended = decided.phase if decided.phase.is_final else None
        age_s = now_s - decided.first_seen_s
        self.writer.ensure(rollout, ended, decided.reason, age_s)

    def _go_on_completing(
        self,
        rollout: rollout_status.Rollout,
        known: ramp.RolloutState,
        completing: ramp.RolloutState,
        token: int,
        now_s: float,
    ) -> None:
        """Waits for a final status to be written, in the phase before.

        Until the store has answered, the replaced servers may or may not have
        been told to stop, so nothing else is decided.
        """
        rollout.state = dataclasses.replace(
            known, step=known.step + 1, decided_at_s=now_s
        )
        self.state.rollouts.record(
            ramp.make_note(rollout.state, token, now_s), now_s
        )
        age_s = now_s - known.first_seen_s
        self.writer.ensure(rollout, completing.phase, completing.reason, age_s)

    def _report(self, rollout: rollout_status.Rollout, now_s: float) -> None:
        note = self.state.rollouts.latest(rollout.order.service, now_s)
        if note is not None:
            labels = {"service": note.service, "version": note.target}
            self._share.set(labels, note.share)
