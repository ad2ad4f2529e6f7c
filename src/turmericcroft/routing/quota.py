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
# How often the parts are noted. The sides of a cut must agree on them, so they
# go by what both knew before it.
_NOTE_INTERVAL_S = 0.2
_NOTES_KEPT_S = 5.0
# A daemon that was silent for so long was replaced or is down. It covers the
# longest cut that the deployments describe.
FORGOTTEN_AFTER_S = 15.0
# Part of the fleet's tolerance that the bucket grants on top of the burst, so
# that delays between daemons refuse nothing that is within the quota.
_TOLERANCE_USED = 0.3
# Weight of a daemon that admitted nothing, relative to the mean.
_MIN_WEIGHT = 0.25
_USE_DECAY_PER_S = 0.2


@dataclasses.dataclass
class PeerUse:
    """What another daemon admitted for an account.

    Attributes:
        total: Its running total, in quota units.
        heard_at_s: When it was last heard of, monotonic.
        recent: Decayed recent use, for its share.
        set_aside: Its part of the rate while it is silent; 0 else.
    """

    total: float
    heard_at_s: float
    recent: float = 0.0
    set_aside: float = 0.0


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
        self.peers: dict[str, PeerUse] = {}
        self.silent_after_s = SILENT_AFTER_S
        self._own_recent = 0.0
        self._updated_at_s = now_s
        self._notes: collections.deque[tuple[float, dict[str, float]]] = (
            collections.deque()
        )

    def change(self, quota: declaration.Quota, now_s: float) -> None:
        """Puts another limit in force."""
        self._advance(now_s)
        self.quota = quota
        self.level = min(self.level, self._capacity())

    def take(self, units: float, now_s: float) -> bool:
        """Admits a request if the quota allows it."""
        self._advance(now_s)
        if self.level < units:
            return False
        self.level -= units
        self.admitted += units
        self._own_recent += units
        return True

    def give_back(self, units: float) -> None:
        """Returns the units of a request that did not run."""
        self.level = min(self._capacity(), self.level + units)
        self.admitted -= units

    def wait_s(self, units: float, now_s: float) -> float:
        """Tells how long it takes until the units are there."""
        self._advance(now_s)
        rate = self.quota.rate_per_s * self._own_side()
        return max(0.0, (units - self.level) / max(rate, 1e-9))

    def hear(self, daemon: str, total: float, now_s: float) -> None:
        """Takes in the running total of another daemon."""
        self._advance(now_s)
        peer = self.peers.get(daemon)
        if peer is None:
            self.peers[daemon] = PeerUse(total, now_s)
            return
        used = total - peer.total
        peer.total = total
        peer.heard_at_s = now_s
        peer.recent = max(0.0, peer.recent + used)
        peer.set_aside = 0.0
        self.level = min(self._capacity(), self.level - used)

    def describe(self) -> str:
        """Says what decides, for the log."""
        silent = sum(peer.set_aside > 0 for peer in self.peers.values())
        return (
            f"{self.level:.0f} left of {self._capacity():.0f} at "
            f"{self.quota.rate_per_s:.0f} a second, {silent} of "
            f"{len(self.peers)} daemons silent, {self._own_side():.2f} of the "
            "rate is this side's"
        )

    def forget(self, daemon: str) -> None:
        """Drops a daemon that said that it stopped."""
        self.peers.pop(daemon, None)

    def _capacity(self) -> float:
        return self.quota.burst + _TOLERANCE_USED * self.tolerance

    def _own_side(self) -> float:
        away = sum(peer.set_aside for peer in self.peers.values())
        return max(0.0, 1.0 - away)

    def _parts(self) -> dict[str, float]:
        """Parts of the rate by recent use; this daemon's own is ""."""
        recent = {name: peer.recent for name, peer in self.peers.items()}
        recent[""] = self._own_recent
        floor = _MIN_WEIGHT * sum(recent.values()) / len(recent) or 1.0
        weights = {name: max(floor, use) for name, use in recent.items()}
        whole = sum(weights.values())
        return {name: weight / whole for name, weight in weights.items()}

    def _parts_at(self, at_s: float) -> dict[str, float]:
        """Parts as they were noted last before a time."""
        earlier = [parts for noted_s, parts in self._notes if noted_s <= at_s]
        return earlier[-1] if earlier else self._parts()

    def _note_parts(self, now_s: float) -> None:
        if self._notes and now_s - self._notes[-1][0] < _NOTE_INTERVAL_S:
            return
        self._notes.append((now_s, self._parts()))
        while now_s - self._notes[0][0] > _NOTES_KEPT_S:
            self._notes.popleft()

    def _advance(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        if elapsed_s == 0.0:
            return
        self._updated_at_s = now_s
        before = self._own_side()
        for name, peer in list(self.peers.items()):
            silence_s = now_s - peer.heard_at_s
            if silence_s > FORGOTTEN_AFTER_S:
                del self.peers[name]
            elif silence_s > self.silent_after_s and not peer.set_aside:
                parts = self._parts_at(peer.heard_at_s - _NOTE_INTERVAL_S)
                peer.set_aside = parts.get(name, 1.0 / (len(self.peers) + 1))
        side = self._own_side()
        if side < before:
            self.level *= side / before
        keep = max(0.0, 1.0 - _USE_DECAY_PER_S * elapsed_s)
        self._own_recent *= keep
        for peer in self.peers.values():
            if not peer.set_aside:
                peer.recent *= keep
        rate = self.quota.rate_per_s * side
        self.level = min(self._capacity(), self.level + rate * elapsed_s)
        self._note_parts(now_s)
