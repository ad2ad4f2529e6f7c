"""What backend servers state of their load, as daemons tell each other.

Names of classes and fields are on the wire.
"""

import dataclasses
from collections.abc import Iterable

from turmericcroft.fleet import ages

# Statements are told for this time, so that each reaches all daemons through
# the relays; older ones say nothing of a load that changes within a second.
_TOLD_FOR_S = 1.5
# A stated slowdown lasts about half a second. Its probability falls to the
# usual one within this time.
SLOWDOWN_KNOWN_S = 0.3
# Share of the VMs that are slowed at any moment, and the factor, before
# statements show others.
_ASSUMED_SLOWED_SHARE = 0.15
_ASSUMED_SLOWDOWN = 2.5
# A VM counts as slowed from this factor on.
SLOWED_FROM = 1.2
# Weight of a new statement in the means of its service and of its server.
_SERVICE_WEIGHT = 0.005
_SERVER_WEIGHT = 0.03
# A VM counts as slowed more often than others only beyond this difference. All
# daemons hear the same statements, so that they would all avoid the same
# servers for a difference that is chance.
_SHARE_MARGIN = 0.25
# Each daemon that passes a statement on makes it look newer by the time that
# its digest travels. A statement of the same load that is newer by less than
# this is the same one.
_MAX_TRAVEL_S = 0.1


@dataclasses.dataclass(frozen=True)
class ServerStatement:
    """Load that a server stated in an answer.

    Attributes:
        server: Name of the server.
        started_at_ms: Start of its incarnation, in Unix milliseconds.
        service: Name of its service.
        running: Requests that it ran.
        waiting: Requests that waited there.
        slowdown: Factor by which work took longer on its VM than usual; 0 if
            the server states none.
        age_s: Time since the answer.
    """

    server: str
    started_at_ms: int
    service: str
    running: int
    waiting: int
    slowdown: float
    age_s: ages.Age


@dataclasses.dataclass(frozen=True, slots=True)
class Slowdown:
    """Distribution of the factor by which work takes longer on a VM.

    Attributes:
        share: Probability that the VM is slowed.
        factor: Factor while it is slowed.
    """

    share: float
    factor: float

    @property
    def mean(self) -> float:
        """The mean factor."""
        return 1.0 + self.share * (self.factor - 1.0)


class ServerStatements:
    """The latest statement of each server.

    Attributes:
        shared: Services with a server that stated how much its VM is slowed.

    Example:
        >>> statements = ServerStatements()
        >>> told = ServerStatement("a", 1, "pool", 3, 0, 2.5, age_s=0.2)
        >>> statements.merge([told], now_s=10.0, is_told=True)
        >>> statements.is_shared("pool"), statements.is_shared("app")
        (True, False)
        >>> statements.make_notes(now_s=10.3)[0].age_s
        0.5
        >>> statements.make_notes(now_s=12.0)
        ()
    """

    def __init__(self) -> None:
        self.shared: set[str] = set()
        # The latest statement of each server, and its time.
        self._latest: dict[str, tuple[float, ServerStatement]] = {}
        # Servers whose latest statement is to be told: own ones, and at a relay
        # those of its zone. Others are told by the daemons that heard them.
        self._told: set[str] = set()
        # Share of statements that stated a slowdown, by server, and the usual
        # one and the factor while slowed, by service.
        self._slowed_shares: dict[str, float] = {}
        self._usual: dict[str, Slowdown] = {}

    def is_shared(self, service: str) -> bool:
        """Returns whether a service's servers share their VMs with others.

        The capacity of such a service is uncertain.
        """
        return service in self.shared

    def record(
        self, statement: ServerStatement, now_s: float, is_told: bool = True
    ) -> None:
        """Applies a statement that this daemon heard or was told.

        Args:
            statement: The statement.
            now_s: Monotonic time.
            is_told: Whether to tell it to other daemons.
        """
        stated_at_s = now_s - statement.age_s
        if statement.slowdown > 0.0:
            self.shared.add(statement.service)
        known = self._latest.get(statement.server)
        if known is not None and (
            stated_at_s <= known[0]
            or _is_repeated(statement, stated_at_s, known)
        ):
            return
        self._latest[statement.server] = stated_at_s, statement
        (self._told.add if is_told else self._told.discard)(statement.server)
        if statement.slowdown > 0.0:
            self._learn_slowdown(statement)

    def _learn_slowdown(self, statement: ServerStatement) -> None:
        usual = self.usual_slowdown(statement.service)
        is_slowed = statement.slowdown >= SLOWED_FROM
        factor = usual.factor
        if is_slowed:
            factor += _SERVER_WEIGHT * (statement.slowdown - factor)
        share = usual.share + _SERVICE_WEIGHT * (is_slowed - usual.share)
        self._usual[statement.service] = Slowdown(share, factor)
        own_share = self._slowed_shares.get(statement.server, usual.share)
        own_share += _SERVER_WEIGHT * (is_slowed - own_share)
        self._slowed_shares[statement.server] = own_share

    def usual_slowdown(self, service: str) -> Slowdown:
        """Returns the distribution of the slowdown over a service's VMs."""
        usual = self._usual.get(service)
        if usual is not None:
            return usual
        if service in self.shared:
            return Slowdown(_ASSUMED_SLOWED_SHARE, _ASSUMED_SLOWDOWN)
        return Slowdown(0.0, _ASSUMED_SLOWDOWN)

    def slowdown(
        self, server: str, usual: Slowdown, now_s: float
    ) -> tuple[float, float]:
        """Returns the share and the factor of a VM's slowdown now.

        What the server stated last fades to its usual distribution. They are a
        pair because they are made for each server many times a second.

        Args:
            server: Name of the server.
            usual: Usual slowdown of its service's VMs.
            now_s: Monotonic time.

        Example:
            >>> statements = ServerStatements()
            >>> told = ServerStatement("a", 1, "pool", 3, 0, 2.5, age_s=0.0)
            >>> statements.record(told, now_s=10.0)
            >>> usual = statements.usual_slowdown("pool")
            >>> statements.slowdown("a", usual, now_s=10.0)
            (1.0, 2.5)
            >>> share, factor = statements.slowdown("a", usual, now_s=10.3)
            >>> round(share, 2), factor
            (0.15, 2.5)
        """
        share = self._slowed_shares.get(server, 0.0)
        if share < usual.share + _SHARE_MARGIN:
            share = usual.share
        known = self._latest.get(server)
        if known is None or known[1].slowdown <= 0.0:
            return share, usual.factor
        fresh = 1.0 - (now_s - known[0]) / SLOWDOWN_KNOWN_S
        if fresh <= 0.0:
            return share, usual.factor
        stated = known[1].slowdown
        if stated < SLOWED_FROM:
            return share * (1.0 - fresh), usual.factor
        factor = usual.factor + (stated - usual.factor) * fresh
        return share + (1.0 - share) * fresh, factor

    def remove(self, server: str) -> None:
        """Forgets the statement of a server that ended."""
        self._latest.pop(server, None)
        self._told.discard(server)
        self._slowed_shares.pop(server, None)

    def latest(self, server: str, now_s: float) -> ServerStatement | None:
        """Returns a server's latest statement with its age; None if none."""
        known = self._latest.get(server)
        if known is None:
            return None
        stated_at_s, statement = known
        return dataclasses.replace(
            statement, age_s=round(now_s - stated_at_s, 3)
        )

    def latest_requests(self, server: str) -> tuple[float, int, int] | None:
        """Returns when a server last stated its load, running and waiting."""
        known = self._latest.get(server)
        if known is None:
            return None
        return known[0], known[1].running, known[1].waiting

    def make_notes(self, now_s: float) -> tuple[ServerStatement, ...]:
        """Returns the statements to tell other daemons."""
        notes = []
        for server in sorted(self._told):
            stated_at_s, statement = self._latest[server]
            age_s = round(now_s - stated_at_s, 3)
            if age_s >= _TOLD_FOR_S:
                self._told.discard(server)
            elif statement.service in self.shared:
                notes.append(dataclasses.replace(statement, age_s=age_s))
        return tuple(notes)

    def merge(
        self,
        told: Iterable[ServerStatement],
        now_s: float,
        is_told: bool = False,
    ) -> None:
        """Applies statements that another daemon heard.

        Args:
            told: The statements.
            now_s: Monotonic time.
            is_told: Whether to tell them on, as a relay does those of its zone.
        """
        for statement in told:
            self.record(statement, now_s, is_told)


def _is_repeated(
    statement: ServerStatement,
    stated_at_s: float,
    known: tuple[float, ServerStatement],
) -> bool:
    """Returns whether another daemon told a statement that is known."""
    known_at_s, latest = known
    return (
        statement.age_s > 0.0
        and stated_at_s - known_at_s < _MAX_TRAVEL_S
        and statement.running == latest.running
        and statement.waiting == latest.waiting
        and statement.slowdown == latest.slowdown
    )
