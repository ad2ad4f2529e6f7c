"""Validity of the lease that makes one daemon the holder of the duties.

The times are those of a clock that goes on while the VM is suspended. The
lease runs in the store from the arrival of a call, so counting from before
the call was sent ends it here first.
"""

import dataclasses
import math

# Time that a call may take on its way to the cloud API after the check.
SEND_MARGIN_S = 0.5
# A new holder waits for calls of the former one that are still on their way.
TAKEOVER_DELAY_S = 0.4


@dataclasses.dataclass
class HeldLease:
    """The lease as this daemon holds it.

    Attributes:
        lease_id: ID of the lease in the store.
        token: Fencing token: revision of the key that names the holder.
        ttl_s: How long the lease runs after a renewal.
        valid_until_s: No call is made from here on, without a renewal.
        usable_from_s: First calls are made from here on.
    """

    lease_id: int
    token: int
    ttl_s: float
    valid_until_s: float = -math.inf
    usable_from_s: float = math.inf

    def record_renewal(self, sent_at_s: float) -> None:
        """Takes in a renewal that was sent at a time."""
        self.valid_until_s = sent_at_s + self.ttl_s - SEND_MARGIN_S

    def may_act(self, now_s: float) -> bool:
        """Tells whether a call may be made now.

        Example:
            >>> held = HeldLease(1, 7, ttl_s=3.0, usable_from_s=0.0)
            >>> held.record_renewal(sent_at_s=10.0)
            >>> held.may_act(12.4), held.may_act(12.6)
            (True, False)
        """
        return self.usable_from_s <= now_s < self.valid_until_s
