"""How full the servers of a service are, and what they can serve.

Load: the speeds that daemons learn are off by up to 1.5 times, and VMs are
slowed without notice, so a capacity computed from speeds alone refuses too much
or too little. How full the servers are corrects it.
"""

import dataclasses
from collections.abc import Iterable

from turmericcroft.routing.work import statements

# Share of the slots below which nothing is refused while nothing waits. The
# bound is 0.5; the rest covers that the share is up to 0.1 s old.
FREE_SHARE = 0.55
# Share of the slots at which the computed capacity is taken as it is. Above it,
# answers begin late.
_TARGET_SHARE = 0.8
# Change of the correction with the share of the slots, and its bounds. Speeds
# that are off by 1.45 times then move the occupancy by 0.1 to 0.2.
_CORRECTION_SLOPE = 2.0
_MIN_CORRECTION = 0.6
_MAX_CORRECTION = 1.6
# A statement counts for this time.
STATEMENT_AGE_S = 1.5
# A stated queue counts for this time; requests in flight are known as well.
WAITING_AGE_S = 0.5


@dataclasses.dataclass(frozen=True)
class ServerRoom:
    """What is known of a usable server.

    Attributes:
        slots: Requests that it runs at once.
        in_flight: Requests that daemons have sent to it and that have not
            ended, as far as known.
        running: Requests that it stated to run; 0 if it has not lately.
        waiting: Requests that it stated to wait.
        slowdown: Factor by which it stated to be slowed; 0 if not known.
        age_s: Age of its statement; infinite without one.
    """

    slots: int
    in_flight: float
    running: int = 0
    waiting: int = 0
    slowdown: float = 0.0
    age_s: float = float("inf")


def make_room(
    slots: int, in_flight: float, stated: statements.ServerStatement | None
) -> ServerRoom:
    """Joins what daemons know of a server and what it stated last."""
    if stated is None:
        return ServerRoom(slots, in_flight)
    return ServerRoom(
        slots,
        in_flight,
        stated.running,
        stated.waiting,
        stated.slowdown,
        stated.age_s,
    )


@dataclasses.dataclass(frozen=True)
class Occupancy:
    """How full the servers of a service are.

    Attributes:
        servers: Number of usable servers.
        slots: Their slots.
        taken: Requests that run or wait on them.
        waiting: Requests that wait on them.
        slowdown: Mean factor by which work on them takes longer.
        age_s: Mean age of the statements; infinite if there are none.
    """

    servers: int
    slots: int
    taken: float
    waiting: int
    slowdown: float
    age_s: float

    @property
    def share(self) -> float:
        """Requests per slot, which may exceed 1."""
        return self.taken / max(1, self.slots)

    @property
    def has_room(self) -> bool:
        """Whether no request may be refused for want of capacity."""
        return self.share < FREE_SHARE and self.waiting == 0

    @property
    def capacity(self) -> float:
        """Server seconds per second that may be admitted.

        Example:
            >>> idle = ServerRoom(slots=16, in_flight=0.0)
            >>> full = ServerRoom(16, 16.0, slowdown=2.5, age_s=0.1)
            >>> summarize([idle] * 10).capacity
            16.0
            >>> round(summarize([full] * 10).capacity, 3)
            2.4
        """
        correction = 1.0 + _CORRECTION_SLOPE * (_TARGET_SHARE - self.share)
        correction = min(_MAX_CORRECTION, max(_MIN_CORRECTION, correction))
        return self.servers / self.slowdown * correction


def summarize(servers: Iterable[ServerRoom]) -> Occupancy:
    """Sums up the servers of a service.

    A server has at least the requests that it stated and at least those that
    daemons know of.
    """
    known = list(servers)
    stated = [room for room in known if room.age_s <= STATEMENT_AGE_S]
    slowdowns = [max(1.0, room.slowdown) for room in stated if room.slowdown]
    return Occupancy(
        servers=len(known),
        slots=sum(room.slots for room in known),
        taken=sum(
            max(room.in_flight, float(room.running + room.waiting))
            if room.age_s <= STATEMENT_AGE_S
            else room.in_flight
            for room in known
        ),
        waiting=sum(
            room.waiting for room in stated if room.age_s <= WAITING_AGE_S
        ),
        slowdown=sum(slowdowns) / len(slowdowns) if slowdowns else 1.0,
        age_s=sum(room.age_s for room in stated) / len(stated)
        if stated
        else float("inf"),
    )
