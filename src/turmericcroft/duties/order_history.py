"""Decides when an order of servers is sent, and when it is repeated.

Calls to the cloud are charged. An order is repeated if its servers are overdue
or if there is a new reason to expect more of them, not at each plan.
"""

import dataclasses
import math

# Service, availability zone, and whether the servers are reclaimable.
OrderKey = tuple[str, str, bool]


@dataclasses.dataclass(frozen=True)
class Standing:
    """Servers in a zone when an order is considered.

    Attributes:
        present: Servers of the ordered kind that accept new requests.
        others: Other servers that count towards the zone's maximum.
        maximum: Maximum number of servers in the zone.
    """

    present: int
    others: int
    maximum: int


@dataclasses.dataclass(frozen=True)
class Knowledge:
    """What is known of a service's VMs.

    Attributes:
        shared: Whether its servers share their VMs with others.
    """

    shared: bool


class OrderHistory:
    """The orders that this lease holder has sent."""

    def __init__(self) -> None:
        self._ordered: dict[OrderKey, int] = {}
        self._not_before_s: dict[OrderKey, float] = {}
        self._others: dict[OrderKey, int] = {}

    def ordered(self, key: OrderKey) -> int | None:
        """Returns the count of the last accepted order; None without one."""
        return self._ordered.get(key)

    def is_due(
        self,
        key: OrderKey,
        count: int,
        standing: Standing,
        known: Knowledge,
        now_s: float,
    ) -> bool:
        """Returns whether to order a count of servers now."""
        ordered = self.ordered(key)
        may_repeat = now_s >= self._not_before_s.get(key, -math.inf)
        if ordered is None:
            # Servers that run may not have registered yet; an order of those
            # that have would release the others.
            if known.shared and not key[2] and count == standing.present:
                return False
            return may_repeat
        if ordered != count:
            return True
        has_more_room = known.shared and self._has_more_room(key, standing)
        return standing.present < count and (may_repeat or has_more_room)

    def _has_more_room(self, key: OrderKey, standing: Standing) -> bool:
        """Returns whether an order was cut to the maximum, and has room now."""
        others = self._others[key]
        was_cut = self._ordered[key] + others > standing.maximum
        return was_cut and standing.others < others

    def record_accepted(
        self, key: OrderKey, count: int, standing: Standing, overdue_at_s: float
    ) -> None:
        """Records an accepted order, whose servers are overdue at a time."""
        self._ordered[key] = count
        self._others[key] = standing.others
        self._not_before_s[key] = overdue_at_s

    def record_rejected(self, key: OrderKey, retry_at_s: float | None) -> None:
        """Records an order that brought no servers.

        Args:
            key: What was ordered.
            retry_at_s: When to order again; None if not before the servers of
                the last accepted order are overdue.
        """
        self._ordered.pop(key, None)
        if retry_at_s is not None:
            self._not_before_s[key] = retry_at_s

    def allow_repeat(self, key: OrderKey) -> None:
        """Lets an order be repeated before its servers are overdue."""
        self._not_before_s.pop(key, None)
