"""Which requests a stopping daemon still sends to a server.

Load: a process is killed a few seconds after its stop signal. A request that is
read late or takes long is still open then, and would be cut without an answer.
Other daemons serve it at once, so it is refused before it is sent.
"""

import collections

# Durations that are kept of each route. The longest of them is exceeded by
# about one request in as many; a single slow one is forgotten soon.
_KEPT_DURATIONS = 32


class Durations:
    """Times that the latest answered requests of each route took."""

    def __init__(self) -> None:
        self._by_route: dict[str, collections.deque[float]] = {}

    def record(self, route: str, took_s: float) -> None:
        """Records the time from a request's receipt to its answer's end."""
        kept = self._by_route.setdefault(
            route, collections.deque(maxlen=_KEPT_DURATIONS)
        )
        kept.append(took_s)

    def expect_s(self, route: str) -> float:
        """Returns the longest time to expect; infinite without any answer.

        Example:
            >>> durations = Durations()
            >>> durations.record("read", 0.2)
            >>> durations.expect_s("read"), durations.expect_s("book")
            (0.2, inf)
        """
        return max(self._by_route.get(route, ()), default=float("inf"))


def can_end(
    expected_s: float, deadline_at_s: float, now_s: float, ends_at_s: float
) -> bool:
    """Returns whether a request that is sent now ends before its daemon does.

    Args:
        expected_s: Longest time to expect for it.
        deadline_at_s: When its deadline passes, by which it ends in any case.
        now_s: Current time.
        ends_at_s: When the daemon ends its open requests; infinite unless it
            stops.

    Example:
        >>> can_end(2.0, 20.0, 10.0, 13.0), can_end(4.0, 20.0, 10.0, 13.0)
        (True, False)
    """
    return min(now_s + expected_s, deadline_at_s) <= ends_at_s
