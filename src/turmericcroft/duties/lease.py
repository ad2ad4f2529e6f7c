"""Validity of the lease whose holder performs the duties.

All times come from a clock that also advances while the VM is suspended. The
store counts the lease from the arrival of a renewal, and this daemon from
before it sends the renewal, so the lease expires here first.
"""

import dataclasses
import math

from turmericcroft.fleet import positions

# Time that a call may take to reach the cloud API after the check of the lease.
SEND_MARGIN_S = 0.5
# A new holder waits for calls of the previous holder that are in transit.
TAKEOVER_DELAY_S = 0.4


def fencing_number(position: positions.StorePosition) -> int:
    """Returns the fencing token of a holder.

    The store gives out a revision once in each era, so neither the number of
    another holder nor a lower one than an earlier holder's can result.

    Args:
        position: Position of the key that names the holder.

    Example:
        >>> first = fencing_number(positions.StorePosition(0, 90))
        >>> first, fencing_number(positions.StorePosition(1, 40)) > first
        (90, True)
    """
    return (position.era << positions.REVISION_BITS) + position.revision


@dataclasses.dataclass
class HeldLease:
    """The lease that this daemon holds.

    Attributes:
        lease_id: ID of the lease in the store.
        token: Fencing token, see `fencing_number`.
        ttl_s: How long the lease lasts after a renewal.
        valid_until_s: Time from which no call is made without a renewal.
        usable_from_s: Time from which calls are made.
        era: Era of the store in which the lease is valid.
        position: Position of the key that names this daemon.
    """

    lease_id: int
    token: int
    ttl_s: float
    valid_until_s: float = -math.inf
    usable_from_s: float = math.inf
    era: int = 0
    position: positions.StorePosition = positions.START

    def record_renewal(self, sent_at_s: float) -> None:
        """Extends the lease by a renewal that was sent at a time."""
        self.valid_until_s = sent_at_s + self.ttl_s - SEND_MARGIN_S

    def may_act(self, now_s: float) -> bool:
        """Returns whether calls may be made now.

        Example:
            >>> held = HeldLease(1, 7, ttl_s=3.0, usable_from_s=0.0)
            >>> held.record_renewal(sent_at_s=10.0)
            >>> held.may_act(12.4), held.may_act(12.6)
            (True, False)
        """
        return self.usable_from_s <= now_s < self.valid_until_s
