"""Writes the status of rollouts to the store.

A write depends on the status that was read last and on the order, so that
neither a late write of an earlier holder nor one on an earlier order replaces
what is there.
"""

import asyncio
import dataclasses
from collections.abc import Callable

import logbook

from turmericcroft import errors
from turmericcroft.control import rollout_orders
from turmericcroft.eventlog import events
from turmericcroft.fleet import positions
from turmericcroft.gateway import ports
from turmericcroft.gateway import state as states
from turmericcroft.rollouts import notes
from turmericcroft.rollouts import ramp

_LOG = logbook.Logger("rollouts")
# Statuses that are written at the same time. Thousands of calls at once would
# keep the process from all else, and time out.
_WRITES_AT_ONCE = 32


@dataclasses.dataclass
class Rollout:
    """What this daemon keeps of the rollout of a service.

    Attributes:
        order: The order.
        state: State of the last decision; None while it does not decide.
        token: Fencing number with which it decided.
        completing: The final state whose status is being written; None if none
            is.
        writing: The task that writes the status; None if none does.
        is_unsettled: Whether a write may or may not have had an effect.
        is_stored: Whether the store took its final status.
        logged: Phase and share that were logged last.
        logged_at_s: Monotonic time of that line.
        is_held: Whether it holds requests back from the target version.
        ended_at_s: When the final phase was first seen; None before.
    """

    order: notes.Order
    state: ramp.RolloutState | None = None
    token: int = 0
    completing: ramp.RolloutState | None = None
    writing: asyncio.Task[None] | None = None
    is_unsettled: bool = False
    is_stored: bool = False
    logged: tuple[notes.Phase, float] | None = None
    logged_at_s: float = 0.0
    is_held: bool = False
    ended_at_s: float | None = None


class StatusWriter:
    """Writes statuses while this daemon holds the duties lease."""

    def __init__(
        self,
        state: states.State,
        store: ports.Store,
        stored: rollout_orders.StoreOrders,
        find_token: Callable[[], int | None],
        on_read: Callable[[str], None],
    ) -> None:
        """Initializes the writer.

        Args:
            state: The daemon's state.
            store: The store.
            stored: What is known of the store; it is kept up to date.
            find_token: Returns this daemon's fencing number; None if it may not
                write.
            on_read: Called with the service whose status was read or written.
        """
        self.state = state
        self.store = store
        self.stored = stored
        self.schema = stored.schema
        self._find_token = find_token
        self._on_read = on_read
        self._writes = asyncio.Semaphore(_WRITES_AT_ONCE)

    def ensure(
        self,
        rollout: Rollout,
        ended: notes.Phase | None,
        reason: str,
        age_s: float,
    ) -> None:
        """Begins to write the status unless the store holds it."""
        order = rollout.order
        if rollout.writing is not None:
            if not rollout.writing.done():
                return
            rollout.writing = None
        stored = self.stored.statuses.get(order.service)
        if (
            stored is not None
            and stored.status == (order.target, ended)
            and stored.position >= order.position
            and not rollout.is_unsettled
        ):
            rollout.is_stored = rollout.is_stored or ended is not None
            return
        current = self.stored.orders.get(order.service)
        if current is not None and current.position != order.position:
            # Another order's status is next.
            return
        if current is None and (
            rollout.is_stored
            or not notes.was_withdrawn(order, self.stored.position)
        ):
            # Its operator removed a status that was read, or an older copy of
            # the store lacks the order, or it isn't read yet.
            return
        rollout.writing = asyncio.create_task(
            self.write(rollout, ended, reason, age_s)
        )

    async def write(
        self,
        rollout: Rollout,
        ended: notes.Phase | None,
        reason: str,
        age_s: float,
    ) -> None:
        """Writes the status if neither it nor the order changed meanwhile."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        async with self._writes:
            age_s += loop.time() - began_s
            await self._write_now(rollout, ended, reason, age_s)

    async def _write_now(
        self,
        rollout: Rollout,
        ended: notes.Phase | None,
        reason: str,
        age_s: float,
    ) -> None:
        order = rollout.order
        token = self._find_token()
        if token is None:
            return
        key = self.schema.rollout_status_prefix + order.service
        status = (order.target, ended)
        try:
            if rollout.is_unsettled and not await self._settle(rollout, status):
                return
            current = self.stored.orders.get(order.service)
            if current is not None and current.position != order.position:
                # Replaced while this waited; the condition would hold.
                return
            if not self._holds(order, status):
                write = ports.Write(
                    key, self.schema.encode_rollout_status(status)
                )
                position = await self._commit(rollout, write, age_s)
                if position is None:
                    await self._read_back(rollout)
                    rollout.completing = None
                    return
                self._apply_status(
                    rollout,
                    ports.Item(key, write.value, position),
                )
        except errors.KeyValueUnavailableError as error:
            _LOG.info("cannot write a status; retrying", error=str(error))
            if not rollout.is_unsettled:
                rollout.completing = None
            return
        except errors.PlatformError as error:
            _LOG.info("a status may be written", error=str(error))
            rollout.is_unsettled = True
            return
        if ended is not None:
            self.state.log.write(
                events.RolloutEnded(
                    service=order.service,
                    target=order.target,
                    state=ended.value,
                    reason=reason,
                    token=token,
                    age_s=age_s,
                    duration_s=order.duration_s,
                )
            )

    async def _commit(
        self, rollout: Rollout, write: ports.Write, age_s: float
    ) -> positions.StorePosition | None:
        """Writes a status if neither it nor its order has changed."""
        order = rollout.order
        stored = self.stored.statuses.get(order.service)
        current = self.stored.orders.get(order.service)
        time_record = rollout_orders.time_record(
            order, self.state.corrected_time_s() - age_s
        )
        return await self.store.commit(
            (
                ports.Condition(
                    write.key, stored.position.revision if stored else 0
                ),
                ports.Condition(
                    self.schema.rollout_prefix + order.service,
                    current.position.revision if current else 0,
                ),
            ),
            # The position that it returns is that of the last write.
            (time_record, write),
        )

    def _holds(self, order: notes.Order, status: ports.RolloutStatus) -> bool:
        """Returns whether the store holds a status of an order."""
        found = self.stored.statuses.get(order.service)
        return (
            found is not None
            and found.status == status
            and found.position >= order.position
        )

    async def _settle(
        self, rollout: Rollout, status: ports.RolloutStatus
    ) -> bool:
        """Finds out whether a write had an effect.

        Returns:
            Whether to go on with the status. If the end that was to be written
            is not there, the version may have turned bad since, so it is
            decided again.
        """
        await self._read_back(rollout)
        if rollout.completing is None or self._holds(rollout.order, status):
            return True
        rollout.completing = None
        return False

    async def _read_back(self, rollout: Rollout) -> None:
        """Reads the status to find out which write took effect."""
        service = rollout.order.service
        item = await self.store.get(self.schema.rollout_status_prefix + service)
        rollout.is_unsettled = False
        self._apply_status(rollout, item)

    def _apply_status(self, rollout: Rollout, item: ports.Item | None) -> None:
        service = rollout.order.service
        self.stored.apply_status(service, item, is_current=True)
        self._on_read(service)
