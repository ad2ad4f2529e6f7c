"""Quota of a client account over all daemons.

Every daemon runs the same token bucket and drains it by what it admitted
itself and by what the others say that they admitted. A daemon that falls
silent may still admit requests, so its part of the rate is set aside: the
sides of a cut together never admit more than the whole.
"""

import collections
import dataclasses

from turmericcroft.routing import declaration

# A silent daemon's part is set aside from here on; three digests were due.
SILENT_AFTER_S = 0.6
# How often the shares are noted. The sides of a cut must agree on them, so they
# go by what both knew before it.
_SNAPSHOT_INTERVAL_S = 0.2
_SNAPSHOT_RETENTION_S = 5.0
# A daemon that was silent for so long was replaced or is down. It covers the
# longest cut that the deployments describe.
PEER_REMOVED_AFTER_S = 15.0
# Part of the fleet's tolerance that the bucket grants on top of the burst, so
# that delays between daemons refuse nothing that is within the quota.
_TOLERANCE_FRACTION = 0.3
# Weight of a daemon that admitted nothing, relative to the mean.
_MIN_RELATIVE_WEIGHT = 0.25
_USAGE_DECAY_PER_S = 0.2


@dataclasses.dataclass
class PeerUsage:
    """What another daemon admitted for an account.

    Attributes:
        admitted: Its running total, in quota units.
        last_report_at_s: When it was last heard of, monotonic.
        recent_units: Decayed recent use, for its share.
        reserved_share: Its part of the rate while it is silent; 0 else.
    """

    admitted: float
    last_report_at_s: float
    recent_units: float = 0.0
    reserved_share: float = 0.0


class FleetBucket:
    """Bucket of one account, as this daemon sees it.

    Attributes:
        quota: The limit in force.
        tolerance: Overrun that the fleet may have.
        level: Units that may be admitted now.
        admitted: Running total of this daemon, told to the others.
        peers: What others admitted, by daemon incarnation.
        silent_after_s: Silence after which a daemon's part is set aside.
    """

    def __init__(
        self,
        quota: declaration.Quota,
        tolerance: float,
        initial_share: float,
        now_s: float,
    ) -> None:
        self.quota = quota
        self.tolerance = tolerance
        self.level = self._capacity() * initial_share
        self.admitted = 0.0
        self.peers: dict[str, PeerUsage] = {}
        self.silent_after_s = SILENT_AFTER_S
        self._own_recent_units = 0.0
        self._updated_at_s = now_s
        self._snapshots: collections.deque[tuple[float, dict[str, float]]] = (
            collections.deque()
        )

    def set_quota(self, quota: declaration.Quota, now_s: float) -> None:
        """Puts another limit in force."""
        self._advance(now_s)
        self.quota = quota
        self.level = min(self.level, self._capacity())

    def try_acquire(self, units: float, now_s: float) -> bool:
        """Admits a request if the quota allows it."""
        self._advance(now_s)
        if self.level < units:
            return False
        self.level -= units
        self.admitted += units
        self._own_recent_units += units
        return True

    def refund(self, units: float) -> None:
        """Returns the units of a request that did not run."""
        self.level = min(self._capacity(), self.level + units)
        self.admitted -= units

    def wait_s(self, units: float, now_s: float) -> float:
        """Tells how long it takes until the units are there."""
        self._advance(now_s)
        rate = self.quota.rate_per_s * self._unreserved_share()
        return max(0.0, (units - self.level) / max(rate, 1e-9))

    def update_peer(self, daemon: str, admitted: float, now_s: float) -> None:
        """Takes in the running total of another daemon."""
        self._advance(now_s)
        peer = self.peers.get(daemon)
        if peer is None:
            self.peers[daemon] = PeerUsage(admitted, now_s)
            return
        units = admitted - peer.admitted
        peer.admitted = admitted
        peer.last_report_at_s = now_s
        peer.recent_units = max(0.0, peer.recent_units + units)
        peer.reserved_share = 0.0
        self.level = min(self._capacity(), self.level - units)

    def describe(self) -> str:
        """Says what decides, for the log."""
        silent = sum(peer.reserved_share > 0 for peer in self.peers.values())
        return (
            f"{self.level:.0f} left of {self._capacity():.0f} at "
            f"{self.quota.rate_per_s:.0f} a second, {silent} of "
            f"{len(self.peers)} daemons silent, "
            f"{self._unreserved_share():.2f} of the rate is this side's"
        )

    def remove_peer(self, daemon: str) -> None:
        """Drops a daemon that said that it stopped."""
        self.peers.pop(daemon, None)

    def _capacity(self) -> float:
        return self.quota.burst + _TOLERANCE_FRACTION * self.tolerance

    def _unreserved_share(self) -> float:
        reserved = sum(peer.reserved_share for peer in self.peers.values())
        return max(0.0, 1.0 - reserved)

    def _shares(self) -> dict[str, float]:
        """Parts of the rate by recent use; this daemon's own is ""."""
        recent = {name: peer.recent_units for name, peer in self.peers.items()}
        recent[""] = self._own_recent_units
        floor = _MIN_RELATIVE_WEIGHT * sum(recent.values()) / len(recent) or 1.0
        weights = {name: max(floor, use) for name, use in recent.items()}
        total_weight = sum(weights.values())
        return {name: weight / total_weight for name, weight in weights.items()}

    def _shares_at(self, before_s: float) -> dict[str, float]:
        """Parts as they were noted last before a time."""
        earlier = [
            shares
            for recorded_at_s, shares in self._snapshots
            if recorded_at_s <= before_s
        ]
        return earlier[-1] if earlier else self._shares()

    def _record_shares(self, now_s: float) -> None:
        if (
            self._snapshots
            and now_s - self._snapshots[-1][0] < _SNAPSHOT_INTERVAL_S
        ):
            return
        self._snapshots.append((now_s, self._shares()))
        while now_s - self._snapshots[0][0] > _SNAPSHOT_RETENTION_S:
            self._snapshots.popleft()

    def _advance(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        if elapsed_s == 0.0:
            return
        self._updated_at_s = now_s
        previous_share = self._unreserved_share()
        for name, peer in list(self.peers.items()):
            silence_s = now_s - peer.last_report_at_s
            if silence_s > PEER_REMOVED_AFTER_S:
                del self.peers[name]
            elif silence_s > self.silent_after_s and not peer.reserved_share:
                shares = self._shares_at(
                    peer.last_report_at_s - _SNAPSHOT_INTERVAL_S
                )
                peer.reserved_share = shares.get(
                    name, 1.0 / (len(self.peers) + 1)
                )
        share = self._unreserved_share()
        if share < previous_share:
            self.level *= share / previous_share
        decay = max(0.0, 1.0 - _USAGE_DECAY_PER_S * elapsed_s)
        self._own_recent_units *= decay
        for peer in self.peers.values():
            if not peer.reserved_share:
                peer.recent_units *= decay
        rate = self.quota.rate_per_s * share
        self.level = min(self._capacity(), self.level + rate * elapsed_s)
        self._record_shares(now_s)
