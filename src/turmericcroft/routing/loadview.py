"""This daemon's view of the load and failures of the backend servers.

The load of a server is the number of this daemon's requests in flight there,
which is exact, plus the other daemons' requests as of the last report, which
becomes stale. A server without recent reports is not assumed to be idle: the
estimate decays from its last report to the mean of all servers, not to zero.
"""

import dataclasses
import math
from collections.abc import Iterable

REPORT_HALF_LIFE_S = 2.0
_SERVICE_TIME_WEIGHT = 0.1
_INITIAL_SERVICE_TIME_S = 2.0
_EJECTION_BASE_S = 2.0
_EJECTION_MAX_S = 30.0
_FAILURES_TO_EJECT = 2
_MAX_EJECTED_SHARE = 0.5


@dataclasses.dataclass
class ServerLoad:
    """Load of one backend server.

    Attributes:
        slots: Requests that it batches at once.
        in_flight: Requests of this daemon on it.
        peer_requests: Requests of other daemons, as of the last report.
        reported_at_s: Monotonic time of the last report.
        service_time_s: Moving average of the time that a request takes.
        failures: Consecutive failures.
        ejected_until_s: Monotonic time until which the server gets no new
            requests; 0 if it is not ejected.
        paused_until_s: Monotonic time until which the server asked this daemon
            to send it nothing; 0 if it did not.
    """

    slots: int
    in_flight: int = 0
    peer_requests: float = 0.0
    reported_at_s: float = -math.inf
    service_time_s: float = _INITIAL_SERVICE_TIME_S
    failures: int = 0
    ejected_until_s: float = 0.0
    paused_until_s: float = 0.0


class LoadView:
    """Loads of all backend servers that this daemon tracks.

    Attributes:
        servers: Loads by server name.
        total_in_flight: Requests of this daemon on all servers.
        total_slots: Slots of all servers.
        total_peer_requests: Other daemons' requests, as of the last reports.
    """

    def __init__(self) -> None:
        self.servers: dict[str, ServerLoad] = {}
        self.total_in_flight = 0
        self.total_slots = 0
        self.total_peer_requests = 0.0

    def add(self, server: str, slots: int) -> None:
        """Starts to track a server; does nothing if it is tracked already."""
        if server in self.servers:
            return
        self.servers[server] = ServerLoad(max(1, slots))
        self.total_slots += max(1, slots)

    def remove(self, server: str) -> None:
        """Stops tracking a server."""
        load = self.servers.pop(server, None)
        if load is not None:
            self.total_slots -= load.slots
            self.total_in_flight -= load.in_flight
            self.total_peer_requests -= load.peer_requests

    def start(self, server: str) -> None:
        """Counts a request that is sent to the server."""
        load = self.servers.get(server)
        if load is not None:
            load.in_flight += 1
            self.total_in_flight += 1

    def finish(self, server: str) -> None:
        """Counts a request that ended on the server, with any outcome."""
        load = self.servers.get(server)
        if load is not None and load.in_flight > 0:
            load.in_flight -= 1
            self.total_in_flight -= 1

    def record_success(self, server: str, took_s: float) -> None:
        """Updates the service time and resets the failure count."""
        load = self.servers.get(server)
        if load is not None:
            error_s = took_s - load.service_time_s
            load.service_time_s += _SERVICE_TIME_WEIGHT * error_s
            load.failures = 0

    def record_failure(self, server: str, now_s: float) -> float:
        """Counts a failure and ejects the server after consecutive ones.

        At most half of the servers are ejected at a time, so that a fault
        that all servers share does not eject them all.

        Returns:
            Duration of the ejection; 0 if the server is not ejected.
        """
        load = self.servers.get(server)
        if load is None:
            return 0.0
        load.failures += 1
        if load.failures < _FAILURES_TO_EJECT:
            return 0.0
        ejected = sum(
            other.ejected_until_s > now_s for other in self.servers.values()
        )
        if ejected + 1 > _MAX_EJECTED_SHARE * len(self.servers):
            return 0.0
        doublings = min(load.failures - _FAILURES_TO_EJECT, 8)
        pause_s: float = _EJECTION_BASE_S * 2**doublings
        pause_s = min(_EJECTION_MAX_S, pause_s)
        load.ejected_until_s = now_s + pause_s
        return pause_s

    def readmit_expired(self, now_s: float) -> list[str]:
        """Readmits and returns the servers whose ejection has ended.

        Example:
            >>> view = LoadView()
            >>> for name in ("a", "b"):
            ...     view.add(name, 8)
            >>> [view.record_failure("a", now_s) for now_s in (0.0, 0.0)]
            [0.0, 2.0]
            >>> view.readmit_expired(now_s=1.0), view.readmit_expired(now_s=2.0)
            ([], ['a'])
        """
        names = [
            name
            for name, load in self.servers.items()
            if 0.0 < load.ejected_until_s <= now_s
        ]
        for name in names:
            self.servers[name].ejected_until_s = 0.0
        return names

    def forgive(self, servers: Iterable[str], now_s: float) -> None:
        """Forgets failures of some servers and ends their ejections."""
        for name in servers:
            load = self.servers.get(name)
            if load is None:
                continue
            load.failures = 0
            if load.ejected_until_s > now_s:
                load.ejected_until_s = now_s

    def record_report(
        self, server: str, open_requests: int, now_s: float
    ) -> None:
        """Applies a report of the open requests on a server.

        Args:
            server: The server.
            open_requests: Running and waiting requests of all daemons.
            now_s: Monotonic time.
        """
        load = self.servers.get(server)
        if load is None:
            return
        peer_requests = max(0.0, float(open_requests - load.in_flight))
        self.total_peer_requests += peer_requests - load.peer_requests
        load.peer_requests = peer_requests
        load.reported_at_s = now_s

    def pause(self, server: str, until_s: float) -> None:
        """Records that a full server asked to be sent nothing for a while."""
        load = self.servers.get(server)
        if load is not None:
            load.paused_until_s = max(load.paused_until_s, until_s)

    def paused_s(self, server: str, now_s: float) -> float:
        """Returns how much longer a server is to be sent nothing.

        Example:
            >>> view = LoadView()
            >>> view.add("a", 8)
            >>> view.pause("a", until_s=3.0)
            >>> view.paused_s("a", now_s=1.0), view.paused_s("a", now_s=4.0)
            (2.0, 0.0)
        """
        load = self.servers.get(server)
        return max(0.0, load.paused_until_s - now_s) if load else 0.0

    def is_ejected(self, server: str, now_s: float) -> bool:
        """Returns whether the server is ejected or not tracked."""
        load = self.servers.get(server)
        return load is None or load.ejected_until_s > now_s

    def estimate(self, server: str, now_s: float) -> float:
        """Estimates the open requests of all daemons on a server.

        Example:
            >>> view = LoadView()
            >>> view.add("a", 8)
            >>> view.start("a")
            >>> view.estimate("a", now_s=0.0)
            1.0
        """
        load = self.servers[server]
        age_s = max(0.0, now_s - load.reported_at_s)
        report_weight = math.pow(0.5, age_s / REPORT_HALF_LIFE_S)
        mean_peer_requests = self.total_peer_requests / max(
            1, len(self.servers)
        )
        peer_requests = (
            report_weight * load.peer_requests
            + (1.0 - report_weight) * mean_peer_requests
        )
        return load.in_flight + peer_requests

    def mean_utilisation(self) -> float:
        """Estimates the open requests per slot over all servers."""
        total = self.total_in_flight + self.total_peer_requests
        return total / max(1, self.total_slots)

    def predicted_wait_s(self, server: str, now_s: float) -> float:
        """Predicts the time that one more request would wait for a slot."""
        load = self.servers[server]
        excess = self.estimate(server, now_s) + 1.0 - load.slots
        if excess <= 0:
            return 0.0
        return excess * load.service_time_s / load.slots
