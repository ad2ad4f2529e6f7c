"""Quota of a client account over all daemons.

Each daemon has a replica of the account's token bucket and takes from it the
units that it admitted itself and those that other daemons report. A daemon
that stops reporting may still admit requests, so its share of the rate is
reserved: the sides of a network partition together admit no more than the
quota.
"""

import collections
import dataclasses

from turmericcroft.routing import declaration

# The share of a daemon that has not reported for this time is reserved; three
# digests were due by then.
SILENT_AFTER_S = 0.6
# The sides of a network partition must agree on the shares, so they use a
# snapshot from before it.
_SNAPSHOT_INTERVAL_S = 0.2
_SNAPSHOT_RETENTION_S = 5.0
# A daemon that has not reported for this time was replaced or is down. Covers
# the longest network partition that the deployments describe.
PEER_REMOVED_AFTER_S = 15.0
# Fraction of the fleet's tolerance that is added to the burst, so that delays
# between daemons do not cause refusals of requests within the quota.
_TOLERANCE_FRACTION = 0.3
# Weight of a daemon that admitted nothing, relative to the mean of all.
_MIN_RELATIVE_WEIGHT = 0.25
_USAGE_DECAY_PER_S = 0.2


@dataclasses.dataclass
class PeerUsage:
    """Units that another daemon admitted for an account.

    Attributes:
        admitted: Running total that the daemon reported, in quota units.
        last_report_at_s: Monotonic time of its last report.
        recent_units: Recently admitted units, decaying, which determine its
            share of the rate.
        reserved_share: Share of the rate reserved for it while it does not
            report; 0 otherwise.
    """

    admitted: float
    last_report_at_s: float
    recent_units: float = 0.0
    reserved_share: float = 0.0


class FleetBucket:
    """This daemon's replica of the token bucket of an account.

    Attributes:
        quota: The quota in force.
        tolerance: Units by which the fleet may exceed the quota.
        level: Units that may be admitted now.
        admitted: Running total of this daemon, reported to the others.
        peers: Usage by other daemons, by daemon incarnation.
        silent_after_s: Time without a report after which a daemon's share is
            reserved.
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
        """Replaces the quota in force."""
        self._advance(now_s)
        self.quota = quota
        self.level = min(self.level, self._capacity())

    def try_acquire(self, units: float, now_s: float) -> bool:
        """Takes the units of a request if the quota allows it."""
        self._advance(now_s)
        if self.level < units:
            return False
        self.level -= units
        self.admitted += units
        self._own_recent_units += units
        return True

    def refund(self, units: float) -> None:
        """Returns the units of a request that did not execute."""
        self.level = min(self._capacity(), self.level + units)
        self.admitted -= units

    def wait_s(self, units: float, now_s: float) -> float:
        """Returns the time until the units are available."""
        self._advance(now_s)
        rate = self.quota.rate_per_s * self._unreserved_share()
        return max(0.0, (units - self.level) / max(rate, 1e-9))

    def update_peer(self, daemon: str, admitted: float, now_s: float) -> None:
        """Applies the running total that another daemon reported."""
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
        """Describes the state that the decision depends on, for the log."""
        silent = sum(peer.reserved_share > 0 for peer in self.peers.values())
        return (
            f"{self.level:.0f} of {self._capacity():.0f} units left, "
            f"{self.quota.rate_per_s:.0f} units per second, {silent} of "
            f"{len(self.peers)} daemons silent, "
            f"{self._unreserved_share():.2f} of the rate not reserved for them"
        )

    def remove_peer(self, daemon: str) -> None:
        """Removes a daemon that announced its stop."""
        self.peers.pop(daemon, None)

    def _capacity(self) -> float:
        return self.quota.burst + _TOLERANCE_FRACTION * self.tolerance

    def _unreserved_share(self) -> float:
        reserved = sum(peer.reserved_share for peer in self.peers.values())
        return max(0.0, 1.0 - reserved)

    def _shares(self) -> dict[str, float]:
        """Shares of the rate by recent usage; this daemon's own is ""."""
        recent = {name: peer.recent_units for name, peer in self.peers.items()}
        recent[""] = self._own_recent_units
        floor = _MIN_RELATIVE_WEIGHT * sum(recent.values()) / len(recent) or 1.0
        weights = {name: max(floor, use) for name, use in recent.items()}
        total_weight = sum(weights.values())
        return {name: weight / total_weight for name, weight in weights.items()}

    def _shares_at(self, before_s: float) -> dict[str, float]:
        """Returns the last snapshot of the shares before a time."""
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
