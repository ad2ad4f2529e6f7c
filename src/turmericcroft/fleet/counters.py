"""Counters that all daemons add to, and their sums over the fleet.

Each daemon tells the others its own totals with its digests. Totals only grow
within one start of a daemon, so a later digest makes up for a lost one. Keys
are paths, such as "rollout/4.812/v2/answered"; the module that counts owns the
first part of its keys.
"""

from collections.abc import Mapping

Totals = dict[str, float]


class FleetCounters:
    """This daemon's totals, and those that the other daemons told.

    Attributes:
        own: This daemon's totals.

    Example:
        >>> counters = FleetCounters()
        >>> counters.add("a/seen", 2.0)
        >>> counters.update_peer("relay/1", {"a/seen": 5.0})
        >>> counters.update_peer("relay/1", {"a/seen": 4.0})
        >>> counters.total("a/seen"), counters.totals("a/")
        (7.0, {'a/seen': 7.0})
    """

    def __init__(self) -> None:
        self.own: Totals = {}
        self._told: dict[str, Totals] = {}
        self._sums: Totals = {}

    def add(self, key: str, amount: float = 1.0) -> None:
        """Adds to one of this daemon's totals."""
        self.own[key] = self.own.get(key, 0.0) + amount

    def update_peer(self, peer: str, totals: Mapping[str, float]) -> None:
        """Applies totals that another daemon told.

        A total that is lower than before is a relay's that began anew; what it
        had counted stays in the sums.

        Args:
            peer: Identity of one start of the daemon.
            totals: Its totals, or those of its zone less this daemon's own.
        """
        if peer not in self._told and not self._begin(peer):
            return
        known = self._told.get(peer, {})
        for key, total in totals.items():
            added = total - known.get(key, 0.0)
            if added > 0.0:
                self._sums[key] = self._sums.get(key, 0.0) + added
        self._told[peer] = dict(totals)

    def _begin(self, peer: str) -> bool:
        """Forgets earlier starts of a daemon that tells its first totals.

        Returns:
            Whether this is its latest start; totals of an ended one come late.
        """
        daemon, _, start = peer.rpartition("/")
        starts = [key for key in self._told if key.rpartition("/")[0] == daemon]
        if not daemon or not start.isdecimal():
            return True
        if any(int(key.rpartition("/")[2]) > int(start) for key in starts):
            return False
        for key in starts:
            del self._told[key]
        return True

    def total(self, key: str) -> float:
        """Returns a total over all daemons."""
        return self.own.get(key, 0.0) + self._sums.get(key, 0.0)

    def totals(self, prefix: str) -> Totals:
        """Returns all totals over the fleet whose keys start with a prefix."""
        keys = self.own.keys() | self._sums.keys()
        return {
            key: self.total(key)
            for key in sorted(keys)
            if key.startswith(prefix)
        }

    def remove(self, prefix: str) -> None:
        """Forgets all totals with a prefix, whose subject has ended."""
        for store in (self.own, self._sums):
            for key in [key for key in store if key.startswith(prefix)]:
                del store[key]


def add_increments(
    sums: Totals, before: Mapping[str, float], after: Mapping[str, float]
) -> None:
    """Adds to sums by how much totals have grown."""
    for key, total in after.items():
        added = total - before.get(key, 0.0)
        if added > 0.0:
            sums[key] = sums.get(key, 0.0) + added


def subtract(totals: Mapping[str, float], part: Mapping[str, float]) -> Totals:
    """Returns totals less a part that they include."""
    return {
        key: max(0.0, total - part.get(key, 0.0))
        for key, total in totals.items()
    }
