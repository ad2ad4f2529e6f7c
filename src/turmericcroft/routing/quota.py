"""Quota of a client account over all daemons.

Each daemon has a replica of the account's token bucket and takes from it the
units that it admitted itself and those that other daemons report. A daemon
that stops reporting may still admit requests, so its share of the rate is
reserved: the sides of a network partition together admit no more than the
quota.

Load: the account jumps to 7.5 times its usual rate, while reports are up to
1.2 s old. Replicas that admitted whatever their level allowed let 7.98 M units
through in 8 s where 6.02 M were allowed: before the first reports, and again
when all levels rose above zero at about the same time. So a daemon admits with
a probability as soon as the units offered to the fleet exceed what is left,
less what the others have probably admitted since they reported.
"""

import collections
import random

from turmericcroft.routing import declaration
from turmericcroft.routing import offered_units
from turmericcroft.routing import quota_history
from turmericcroft.routing import quota_peers

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
# The same for the shares by which a daemon scales its own units to the fleet.
# It gets less than a request a second, so it takes longer to know its share.
_SHARE_DECAY_PER_S = 0.05
# Requests of mean size, to each daemon, that weigh as much as what was seen.
_EVEN_SHARE_REQUESTS = 4.0
# A daemon whose last report is older is left out of the estimate of what the
# account offers; those in touch stand for it.
_FRESH_S = 0.6
# Time in which a level above or below zero is to be used up or made up for.
# Less oscillates, because the effect is reported up to 1.2 s later.
_LEVEL_HORIZON_S = 0.3
# Units of the rate that are always on the way in reports, as time. They are not
# held against a level, or an account below its quota would be refused.
_USUAL_UNSEEN_S = 0.4
# Reports have told of the whole of a rise after this time above this ratio.
_CONFIRMED_AFTER_S = 1.2
_CONFIRMED_RATIO = 1.2
# Computing the probability takes 0.3 ms with 15 peers.
_PROBABILITY_INTERVAL_S = 0.02
# Part of the tolerance by which the level may fall below zero while the
# admission probability governs it.
_DEBT_FRACTION = 0.5


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
        report_delay_s: Usual age of what a report says when it arrives.
        daemons: Daemons that serve the account, of which a relay reports many.
    """

    def __init__(
        self,
        quota: declaration.Quota,
        tolerance: float,
        initial_share: float,
        now_s: float,
        generator: random.Random | None = None,
    ) -> None:
        self.quota = quota
        self.tolerance = tolerance
        self.level = self._capacity() * initial_share
        self.admitted = 0.0
        self.peers: dict[str, quota_peers.PeerUsage] = {}
        self.silent_after_s = SILENT_AFTER_S
        self.report_delay_s = 0.0
        self.daemons = 1
        self._random = generator or random.Random()
        self._own_offered = offered_units.OwnUnits()
        self._alert = offered_units.Alert()
        self._probabilities = quota_history.History()
        self._spent = quota_history.History()
        self._levels = quota_history.History()
        self._unconfirmed_at_s = now_s
        self._own_recent_units = 0.0
        self._own_lasting_units = 0.0
        self._updated_at_s = now_s
        self._snapshots: collections.deque[tuple[float, dict[str, float]]] = (
            collections.deque()
        )

    def set_quota(self, quota: declaration.Quota, now_s: float) -> None:
        """Replaces the quota in force."""
        self._advance(now_s)
        self.quota = quota
        self.level = min(self.level, self._capacity())

    @property
    def offered(self) -> float:
        """Units offered to this daemon so far, reported to the others."""
        return self._own_offered.total

    def try_acquire(self, units: float, now_s: float) -> bool:
        """Takes the units of a request if the quota allows it."""
        self._advance(now_s)
        self._own_offered.add(units, now_s)
        least = units
        if self._live_peers():
            probability = self.admission_probability(now_s)
            if self._random.random() >= probability:
                return False
            if probability < 1.0:
                debt = _DEBT_FRACTION * self.tolerance
                least -= debt * self._unreserved_share()
        elif self.peers:
            # The share of a daemon that is cut off may be less than a request.
            least = min(units, self._capacity() * self._unreserved_share())
        if self.level < least:
            return False
        self._spend(units, now_s)
        self.admitted += units
        self._own_recent_units += units
        self._own_lasting_units += units
        return True

    def admission_probability(self, now_s: float) -> float:
        """Returns the probability that brings the fleet to what is left.

        It is 1 as long as the units offered in the time that reports take are
        covered by the level and by what the rate adds.
        """
        if now_s - self._probabilities.last_at_s() < _PROBABILITY_INTERVAL_S:
            return self._probabilities.last(1.0)
        rate = self.quota.rate_per_s * self._unreserved_share()
        estimate = self._estimate(now_s)
        offered = estimate.by_all
        if offered <= _CONFIRMED_RATIO * rate:
            self._unconfirmed_at_s = now_s
        is_confirmed = now_s - self._unconfirmed_at_s > _CONFIRMED_AFTER_S
        coming = 0.0
        if not is_confirmed:
            coming = offered_units.still_coming(offered, rate)
        unseen = self._unseen(offered + coming, now_s)
        left = self.level - unseen + rate * _USUAL_UNSEEN_S
        room = rate + left / _LEVEL_HORIZON_S
        probability = min(1.0, max(0.0, room / max(offered, 1e-9)))
        is_rise = not is_confirmed or self._alert.is_set(now_s)
        # A rise that the level covers until others tell of it needs no care.
        if is_rise and estimate.by_own * _CONFIRMED_AFTER_S > self.level:
            by_own = offered_units.probability_by_own(
                estimate.by_own / max(rate, 1e-9),
                has_stale_reports=any(
                    now_s - peer.last_report_at_s > _FRESH_S
                    for peer in self.peers.values()
                ),
                is_direct=not self.report_delay_s,
            )
            probability = min(probability, by_own)
        self._probabilities.append(now_s, probability)
        return probability

    def refund(self, units: float) -> None:
        """Returns the units of a request that did not execute."""
        self.level = min(self._limit(), self.level + units)
        self.admitted -= units

    def wait_s(self, units: float, now_s: float) -> float:
        """Returns the time until the units are available."""
        self._advance(now_s)
        rate = self.quota.rate_per_s * self._unreserved_share()
        return max(0.0, (units - self.level) / max(rate, 1e-9))

    def retry_after_s(self, units: float, now_s: float) -> float:
        """Returns when a refused caller may return, spread over callers.

        The units that were offered beyond the rate take time to serve, so the
        callers are spread over it.
        """
        rate = self.quota.rate_per_s * self._unreserved_share()
        excess_s = self._estimate(now_s).by_all / max(rate, 1e-9) - 1.0
        spread_s = offered_units.spread_s(excess_s)
        return self.wait_s(units, now_s) + self._random.uniform(0.0, spread_s)

    def update_peer(
        self, daemon: str, admitted: float, now_s: float, offered: float = 0.0
    ) -> None:
        """Applies the running totals that another daemon reported.

        Args:
            daemon: Incarnation of the daemon, or of the relay of a zone.
            admitted: Units that it admitted.
            now_s: Monotonic time.
            offered: Units that were offered to it; 0 by an older build.
        """
        self._advance(now_s)
        peer = self.peers.get(daemon)
        if peer is None:
            reported = offered_units.ReportedUnits(offered, now_s)
            self.peers[daemon] = quota_peers.PeerUsage(
                admitted, now_s, reported
            )
            return
        units = admitted - peer.admitted
        silence_s = now_s - peer.last_report_at_s
        # What was reserved for a silent daemon is paid for already.
        paid = peer.reserved_share * self.quota.rate_per_s * silence_s
        peer.admitted = admitted
        peer.last_report_at_s = now_s
        peer.recent_units = max(0.0, peer.recent_units + units)
        peer.lasting_units = max(0.0, peer.lasting_units + units)
        peer.reserved_share = 0.0
        peer.offered.report(offered, units, now_s)
        self._spend(max(0.0, units - paid) if paid else units, now_s)
        self.admission_probability(now_s)

    def describe(self) -> str:
        """Describes the state that the decision depends on, for the log."""
        silent = sum(peer.reserved_share > 0 for peer in self.peers.values())
        return (
            f"{self.level:.0f} of {self._capacity():.0f} units left, "
            f"{self.quota.rate_per_s:.0f} units per second, {silent} of "
            f"{len(self.peers)} daemons silent, "
            f"{self._unreserved_share():.2f} of the rate not reserved for "
            f"them, probability {self._probabilities.last(1.0):.2f}, "
            f"last report {self._report_age_s():.1f} s old"
        )

    def remove_peer(self, daemon: str) -> None:
        """Removes a daemon that announced its stop."""
        self.peers.pop(daemon, None)

    def _capacity(self) -> float:
        return self.quota.burst + _TOLERANCE_FRACTION * self.tolerance

    def _limit(self) -> float:
        """Returns the most units that this side of a partition may hold."""
        return self._capacity() * self._unreserved_share()

    def _live_peers(self) -> dict[str, quota_peers.PeerUsage]:
        return {
            name: peer
            for name, peer in self.peers.items()
            if not peer.reserved_share
        }

    def _report_age_s(self) -> float:
        reports = [peer.last_report_at_s for peer in self.peers.values()]
        return self._updated_at_s - max(reports, default=self._updated_at_s)

    def _live_shares(self) -> tuple[float, dict[str, float]]:
        """Returns the shares of this daemon and of those in touch with it."""
        live = self._live_peers()
        total = self._own_lasting_units + sum(
            peer.lasting_units for peer in live.values()
        )
        all_daemons = max(self.daemons, len(self.peers) + 1)
        daemons = max(1.0, all_daemons * self._unreserved_share())
        even = _EVEN_SHARE_REQUESTS * max(self._own_offered.mean, 1e-9)
        own = (self._own_lasting_units + even) / (total + even * daemons)
        others = total - self._own_lasting_units
        return own, {
            name: (1.0 - own)
            * (peer.lasting_units / others if others > 0.0 else 1.0 / len(live))
            for name, peer in live.items()
        }

    def _estimate(self, now_s: float) -> offered_units.Estimate:
        rate = self.quota.rate_per_s * self._unreserved_share()
        own_share, shares = self._live_shares()
        own = offered_units.Observation(
            self._own_offered.recent(now_s),
            offered_units.OWN_WINDOW_S,
            own_share,
        )
        reported = [
            offered_units.Observation(*self.peers[name].offered.recent(), share)
            for name, share in shares.items()
            if now_s - self.peers[name].last_report_at_s <= _FRESH_S
        ]
        offered = offered_units.estimate_rate(
            rate,
            self._own_offered.mean,
            own,
            reported,
            self._alert.is_set(now_s),
        )
        if rate > 0.0:
            fullness = self.level / max(self._capacity(), 1e-9)
            self._alert.observe(offered.by_all / rate, fullness, now_s)
        return offered

    def _unseen(self, offered: float, now_s: float) -> float:
        """Estimates the units that others admitted and have not reported.

        They admit with about the same probability as this daemon.
        """
        unseen = 0.0
        _, shares = self._live_shares()
        for name, share in shares.items():
            since_s = self.peers[name].last_report_at_s - self.report_delay_s
            admitted_s = self._probabilities.integrate(since_s, now_s, 1.0)
            unseen += share * admitted_s * offered
        return unseen

    def _spend(self, units: float, now_s: float) -> None:
        self.level = min(self._limit(), self.level - units)
        self._spent.append(now_s, units)

    def _unreserved_share(self) -> float:
        reserved = sum(peer.reserved_share for peer in self.peers.values())
        return max(0.0, 1.0 - reserved)

    def _shares(self) -> dict[str, float]:
        """Shares of the rate by recent usage; this daemon's own is ""."""
        recent = {name: peer.recent_units for name, peer in self.peers.items()}
        recent[""] = self._own_recent_units
        daemons = max(len(recent), self.daemons)
        floor = _MIN_RELATIVE_WEIGHT * sum(recent.values()) / daemons or 1.0
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
        previous_share = self._unreserved_share()
        silent_since_s = []
        for name, peer in list(self.peers.items()):
            silence_s = now_s - peer.last_report_at_s
            if silence_s > PEER_REMOVED_AFTER_S:
                del self.peers[name]
            elif silence_s > self.silent_after_s and not peer.reserved_share:
                shares = self._shares_at(
                    peer.last_report_at_s - _SNAPSHOT_INTERVAL_S
                )
                silent_since_s.append(peer.last_report_at_s)
                peer.reserved_share = shares.get(
                    name, 1.0 / (len(self.peers) + 1)
                )
        share = self._unreserved_share()
        if share < previous_share:
            replayed = quota_history.replay_level(
                self._levels,
                self._spent,
                self.quota,
                self._capacity(),
                (min(silent_since_s), self._updated_at_s),
                (previous_share, share),
            )
            self.level = min(self.level * share / previous_share, replayed)
        self._updated_at_s = now_s
        decay = max(0.0, 1.0 - _USAGE_DECAY_PER_S * elapsed_s)
        lasting_decay = max(0.0, 1.0 - _SHARE_DECAY_PER_S * elapsed_s)
        self._own_recent_units *= decay
        self._own_lasting_units *= lasting_decay
        for peer in self.peers.values():
            if not peer.reserved_share:
                peer.recent_units *= decay
                peer.lasting_units *= lasting_decay
        rate = self.quota.rate_per_s * share
        self.level = min(self._limit(), self.level + rate * elapsed_s)
        self._levels.append(now_s, self.level)
        self._record_shares(now_s)
