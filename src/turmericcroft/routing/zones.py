"""Notices availability zones that this daemon can't reach.

Load pattern: a zone is cut off from the others while clients still reach it.
Connections to all servers of the other zones fail, most of them by a timeout,
and a request that tries several such servers is used up before it comes to one
of its own zone. Each server would have to fail by itself before it is avoided,
and at most half of them may be ejected.
"""

import dataclasses

# Servers of a zone that must have failed, without a response from any server of
# the zone in between. One alone may have crashed.
_MIN_FAILED_SERVERS = 2
# Failures further apart than this don't belong together.
_FAILURE_WINDOW_S = 4.0
# A zone is tried again after this time, which doubles with each further
# failure.
_INITIAL_AVOIDANCE_S = 0.5
_MAX_AVOIDANCE_S = 2.0


@dataclasses.dataclass
class _Failures:
    """Connections to a zone that failed since its last response.

    Attributes:
        servers: Names of the servers.
        last_at_s: Monotonic time of the last failure.
        avoided_until_s: Monotonic time until which the zone is avoided.
        avoidance_s: Duration of the latest avoidance.
    """

    servers: set[str]
    last_at_s: float
    avoided_until_s: float = 0.0
    avoidance_s: float = 0.0


class ZoneReachability:
    """Zones that this daemon recently could not reach.

    Example:
        >>> zones = ZoneReachability()
        >>> for server in ("i-1", "i-2"):
        ...     zones.record_failure("north", server, now_s=1.0)
        >>> zones.is_avoided("north", 1.1), zones.is_avoided("north", 2.0)
        (True, False)
    """

    def __init__(self) -> None:
        self._failures: dict[str, _Failures] = {}

    def record_failure(self, zone: str, server: str, now_s: float) -> None:
        """Records that no connection to a server could be opened."""
        found = self._failures.get(zone)
        if found is None or now_s - found.last_at_s > _FAILURE_WINDOW_S:
            found = _Failures(set(), now_s)
            self._failures[zone] = found
        found.servers.add(server)
        found.last_at_s = now_s
        if (
            len(found.servers) >= _MIN_FAILED_SERVERS
            and now_s >= found.avoided_until_s
        ):
            found.avoidance_s = min(
                _MAX_AVOIDANCE_S,
                max(_INITIAL_AVOIDANCE_S, 2 * found.avoidance_s),
            )
            found.avoided_until_s = now_s + found.avoidance_s

    def record_response(self, zone: str) -> None:
        """Records that a server of the zone responded."""
        self._failures.pop(zone, None)

    def forgive(self) -> None:
        """Forgets all failures."""
        self._failures.clear()

    def is_avoided(self, zone: str, now_s: float) -> bool:
        """Returns whether servers of other zones are to be preferred."""
        found = self._failures.get(zone)
        return found is not None and now_s < found.avoided_until_s
