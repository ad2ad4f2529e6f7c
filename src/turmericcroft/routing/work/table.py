"""Remaining work of all servers of a service at one time.

Load pattern: a decision among hundreds of servers must not cost more than one
among thirty, so what is the same for many requests is worked out once.
"""

import bisect
import dataclasses
import itertools
import typing
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

import xxhash

from turmericcroft.fleet import directory
from turmericcroft.routing import engine_speed

# Prefill time of a request, mean and mean square, before any was sent.
_ASSUMED_PREFILL_S = 0.15
_ASSUMED_PREFILL_S2 = 0.04
_ASSUMED_TOKENS = 8_000.0
# Points of a server on the ring of home servers.
_RING_POINTS = 4


class ServerWork(typing.NamedTuple):
    """Work that other daemons gave a server.

    A named tuple, because it is made for each server many times a second.

    Attributes:
        server: The server.
        running: Estimated requests of other daemons that were told and still
            run there.
        backlog_s: Estimated time to prefill what they sent, at the usual speed.
        slowed_share: Probability that its VM is slowed.
        slowed_factor: Factor by which work takes longer then.
        age_s: Age of the newest information on it, at most 60 s.
    """

    server: directory.Server
    running: float
    backlog_s: float
    slowed_share: float
    slowed_factor: float
    age_s: float


@dataclasses.dataclass(frozen=True)
class Requests:
    """Usual requests of a service.

    Attributes:
        prefill_s: Mean time to prefill a prompt.
        prefill_s2: Mean square of that time.
        tokens: Mean tokens of prompt and output, which the KV cache holds.
    """

    prefill_s: float = _ASSUMED_PREFILL_S
    prefill_s2: float = _ASSUMED_PREFILL_S2
    tokens: float = _ASSUMED_TOKENS

    @property
    def residual_s(self) -> float:
        """Mean time left of the prompt that a server prefills."""
        return self.prefill_s2 / (2.0 * self.prefill_s)


@dataclasses.dataclass(frozen=True)
class WorkTable:
    """Remaining work of all servers of a service at one time.

    Attributes:
        made_at_s: Monotonic time.
        servers: The servers.
        speed: Speed of the engines.
        correction: Factor between seen and predicted first events.
        requests: Usual requests.
        rows: Work by server name.
        caches: Prefixes that each server is assumed to cache, by hash.
        open_rows: Servers that are expected to get what the fleet sends now.
        quiet_rows: The servers that run the fewest requests.
        preferred: Names of the servers that this daemon prefers while it knows
            of no prompt of its own there.
        level_s: Least backlog that a server is expected to have, with what
            other daemons send but have not told yet.
        level_running: The same for running requests.
        replaced_running: Requests that came in the place of those that ended,
            the mean over all servers.
        utilisation: Part of the servers' time that the fleet's work takes.
        digest_age_s: Age of the other daemons' loads.
        ring: Points of the servers and their names, in order.
    """

    made_at_s: float
    servers: Sequence[directory.Server]
    speed: engine_speed.EngineSpeed
    correction: float
    requests: Requests
    rows: dict[str, ServerWork]
    caches: tuple[Mapping[int, tuple[int, float]], ...]
    open_rows: tuple[ServerWork, ...]
    quiet_rows: tuple[ServerWork, ...]
    preferred: tuple[str, ...]
    level_s: float
    level_running: float
    replaced_running: float
    utilisation: float
    digest_age_s: float
    ring: tuple[tuple[int, str], ...]

    def homes(self, prefix: int) -> Iterator[str]:
        """Lists servers in the order in which all daemons prefer them."""
        start = bisect.bisect(self.ring, (prefix, ""))
        return itertools.islice(
            (
                self.ring[place % len(self.ring)][1]
                for place in range(start, start + len(self.ring))
            ),
            2 * _RING_POINTS,
        )


def make_ring(names: Iterable[str]) -> tuple[tuple[int, str], ...]:
    """Returns the points of servers on a ring, in order."""
    return tuple(
        sorted(
            (xxhash.xxh3_64_intdigest(f"{point}\0{name}".encode()), name)
            for name in names
            for point in range(_RING_POINTS)
        )
    )
