"""Orders of rollouts and their status, as this daemon last read the store.

After a failure the store may continue from an older copy. An order that it
brings back then has a new position, but is the same order, or an earlier one.
"""

import dataclasses
import json

import logbook

from turmericcroft import errors
from turmericcroft.fleet import positions
from turmericcroft.gateway import following
from turmericcroft.gateway import ports
from turmericcroft.rollouts import notes

_LOG = logbook.Logger("rollouts")
_TIME_PREFIX = following.GATEWAY_PREFIX + "rollouts/"


@dataclasses.dataclass(frozen=True)
class StoredStatus:
    """A status key of the store.

    Attributes:
        position: Position of its last change.
        status: What it states; None if it is malformed.
    """

    position: positions.StorePosition
    status: ports.RolloutStatus | None

    def ended(self, order: notes.Order) -> notes.Phase | None:
        """Returns how an order ended; None if this does not state an end.

        A status that was written before the order is that of another one, also
        if both have the same target. Writes depend on the order's key, so that
        none of them is later than the next order.
        """
        if (
            self.status is None
            or self.status[0] != order.target
            or self.position < order.position
            or self.position.era != order.position.era
        ):
            return None
        ended = self.status[1]
        return ended if ended is not None and ended.is_final else None


class StoreOrders:
    """What the store holds of rollouts.

    Attributes:
        orders: Orders by service.
        statuses: Status keys by service.
        times: Position of the order that the record of a service is on, and
            the time of day at which it was given, in Unix seconds.
        position: Position of the store up to which these are known.
    """

    def __init__(self, schema: ports.StoreSchema) -> None:
        self.schema = schema
        self.orders: dict[str, notes.Order] = {}
        self.statuses: dict[str, StoredStatus] = {}
        self.times: dict[str, tuple[positions.StorePosition, float]] = {}
        self.position = positions.START

    def apply(
        self, listing: ports.Listing, is_whole: bool
    ) -> tuple[notes.Order, ...]:
        """Applies keys that the store holds, or that changed.

        Args:
            listing: The keys; others are ignored.
            is_whole: Whether these are all keys.

        Returns:
            The orders that were written.
        """
        if is_whole:
            self.orders, self.statuses = {}, {}
        self.position = max(self.position, listing.position)
        written: dict[str, notes.Order] = {}
        for item in listing.items:
            order_of = _service(item.key, self.schema.rollout_prefix)
            status_of = _service(item.key, self.schema.rollout_status_prefix)
            timed = _service(item.key, _TIME_PREFIX)
            if timed and item.value is not None:
                self._apply_time(timed, item.value)
            elif status_of:
                self.apply_status(status_of, item)
            elif order_of and item.value is None:
                self.orders.pop(order_of, None)
                written.pop(order_of, None)
            elif order_of and item.value is not None:
                order = self.schema.decode_rollout(
                    order_of, item.value, item.position
                )
                self.orders[order_of] = written[order_of] = order
        return tuple(written.values())

    def _apply_time(self, service: str, value: bytes) -> None:
        try:
            raw = json.loads(value)
            position = positions.StorePosition(raw["era"], raw["revision"])
            self.times[service] = position, float(raw["wall_s"])
        except errors.DECODING_FAULTS as error:
            _LOG.error("cannot decode an order's time", error=repr(error))

    def ordered_at_s(self, order: notes.Order) -> float | None:
        """Returns when an order was given, in Unix seconds; None if unknown."""
        position, wall_s = self.times.get(order.service, (None, 0.0))
        return wall_s if position == order.position else None

    def apply_status(
        self, service: str, item: ports.Item | None, is_current: bool = False
    ) -> None:
        """Applies a status key.

        Args:
            service: Name of the service.
            item: The key; None if it does not exist.
            is_current: Whether it was just read or written. Otherwise it may be
                a change that was overtaken.
        """
        if item is None or item.value is None:
            self.statuses.pop(service, None)
            return
        known = self.statuses.get(service)
        if is_current or known is None or known.position <= item.position:
            status = self.schema.decode_rollout_status(item.value)
            self.statuses[service] = StoredStatus(item.position, status)


def time_record(order: notes.Order, wall_s: float) -> ports.Write:
    """Builds the record of when an order was given.

    With it the deadline stays the same if all daemons restart.

    Args:
        order: The order.
        wall_s: Time of day, in Unix seconds.
    """
    record = {
        "era": order.position.era,
        "revision": order.position.revision,
        "wall_s": wall_s,
    }
    value = json.dumps(record).encode()
    return ports.Write(_TIME_PREFIX + order.service, value)


def is_same(one: notes.Order, other: notes.Order) -> bool:
    """Returns whether two orders ask for the same, whenever they were given."""
    return (one.service, one.target, one.duration_s) == (
        other.service,
        other.target,
        other.duration_s,
    )


def _service(key: str, prefix: str) -> str:
    """Returns the service that a key names; empty if it has another prefix."""
    return key.removeprefix(prefix) if key.startswith(prefix) else ""
