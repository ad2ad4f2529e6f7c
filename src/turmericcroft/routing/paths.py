"""Whether this daemon has lost its paths to all servers of a service.

Load pattern: a daemon is partitioned from all servers while clients, the store
and the other daemons still reach it. Judged one by one, all servers look
broken, and each request is used up on some of them. A few servers that are
tried at once show whether it is the daemon's own paths that are broken.
"""

import collections
import itertools
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator

from turmericcroft.fleet import directory

# Servers that are tried at once. All of them would have to be down by
# themselves for a wrong result, and then no server is missed by it.
_PROBED_SERVERS = 4


def choose_probes(
    usable: Iterable[directory.Server],
    leaving: Iterable[directory.Server] = (),
) -> list[directory.Server]:
    """Chooses the servers to try, from as many zones as possible.

    Args:
        usable: The service's usable servers. The order decides within a zone,
            so it should differ each time: servers that are down are not missed
            by every trial.
        leaving: Its servers that still serve what they have begun, which are
            chosen if there are too few others.
    """
    chosen = itertools.chain(_by_zones(usable), _by_zones(leaving))
    return list(itertools.islice(chosen, _PROBED_SERVERS))


def _by_zones(
    servers: Iterable[directory.Server],
) -> Iterator[directory.Server]:
    zones: dict[str, list[directory.Server]] = collections.defaultdict(list)
    for server in servers:
        zones[server.availability_zone].append(server)
    return _take_turns(zones.values())


def _take_turns(
    zones: Iterable[list[directory.Server]],
) -> Iterator[directory.Server]:
    for row in itertools.zip_longest(*zones):
        yield from (server for server in row if server is not None)


class ServerPaths:
    """Services of which this daemon reaches no server.

    Example:
        >>> paths = ServerPaths()
        >>> paths.record_trial("pool", reached=["i-1"], missed=["i-2"])
        False
        >>> paths.record_trial("pool", reached=[], missed=["i-1", "i-2"])
        True
        >>> paths.is_isolated("pool"), paths.is_isolated("booking")
        (True, False)

    Attributes:
        isolated: Names of these services.
    """

    def __init__(self) -> None:
        self.isolated: set[str] = set()

    def is_isolated(self, service: str) -> bool:
        """Returns whether no server of a service is reached."""
        return service in self.isolated

    def record_trial(
        self, service: str, reached: Collection[str], missed: Collection[str]
    ) -> bool:
        """Records which servers of a service a trial reached.

        Returns:
            Whether the service is isolated now and was not, or the reverse.
        """
        was_isolated = service in self.isolated
        if reached:
            self.isolated.discard(service)
        elif missed:
            self.isolated.add(service)
        return (service in self.isolated) is not was_isolated
