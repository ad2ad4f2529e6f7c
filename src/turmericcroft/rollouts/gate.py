"""Decides which servers may take one request while a version is rolled out.

Load pattern: 64 daemons with a request a second each. If every daemon sent its
tenth request to the version under trial, it would get none for ten seconds, so
each starts its count at random.
"""

import copy
import dataclasses
import functools
import random
from collections.abc import Collection

import xxhash

from turmericcroft.fleet import directory
from turmericcroft.rollouts import notes

# Age of the last decision from which on a daemon doesn't rely on it. Decisions
# reach all daemons within 1.5 s.
MAX_NOTE_AGE_S = 2.0
# Highest credit: what a route couldn't use while no server of the target
# version was usable is not made up for at once.
_MAX_CREDIT = 2.0

Servers = tuple[directory.Server, ...]


@dataclasses.dataclass(frozen=True)
class _Parts:
    """A service's servers by what a rollout allows.

    Attributes:
        all: All that no earlier rollout excludes.
        others: Those of other versions than the target.
        target: Those of the target version.
        current: Those of other versions than the replaced ones.
    """

    all: Servers
    others: Servers
    target: Servers
    current: Servers


class VersionGate:
    """Which versions one daemon's requests may use.

    A request gets the servers of one side: the target version's if its route's
    credit has reached 1, else the others. In a trial and a ramp, it gets only
    as few servers of the target version as are loaded like the others then, so
    that faults under load show.

    Example:
        >>> def server(name, version):
        ...     return directory.Server(
        ...         name, "pool", "", 1, "a", 4, software_version=version
        ...     )
        >>> servers = server("x", "v1"), server("y", "v2")
        >>> note = notes.RolloutNote("pool", "v2", 60.0, 1, 5, "trial", 0.5)
        >>> gate = VersionGate(random.Random(1))
        >>> for _ in range(4):
        ...     print(gate.usable(servers, "chat", None, note, 0.1)[0].name)
        x
        y
        x
        y
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        # Credit by service and route.
        self._credits: dict[tuple[str, str], float] = {}
        # By service, the latest division and what it was made from.
        self._divided: dict[
            str, tuple[Servers, str, tuple[str, ...], Collection[str], _Parts]
        ] = {}

    def copy(self) -> "VersionGate":
        """Returns a copy that decides alike and takes no credit here."""
        other = copy.copy(self)
        other._random = copy.deepcopy(self._random)
        other._credits = dict(self._credits)
        other._divided = dict(self._divided)
        return other

    def usable(
        self,
        servers: Servers,
        route: str,
        bound_version: str | None,
        note: notes.RolloutNote | None,
        note_age_s: float,
        is_retry: bool = False,
        excluded: Collection[str] = (),
    ) -> Servers:
        """Returns the servers that a request may be sent to.

        Args:
            servers: The service's usable servers.
            route: Name of the route.
            bound_version: Version that began the request's stream; None if
                none has. Such a request takes no credit.
            note: The service's rollout, as `RolloutView.latest` returns it;
                None without an order.
            note_age_s: Time since its last decision.
            is_retry: Whether the request had an attempt already. A retry takes
                no credit and avoids the target version under trial. Use it
                also for a request whose credit led to servers that are all
                held off.
            excluded: `RolloutView.excluded_versions` of the service.
        """
        if note is None and not excluded:
            parts = _Parts(servers, servers, (), servers)
        else:
            parts = self._divide(servers, note, excluded)
        if bound_version is not None:
            if _is_ended(bound_version, note):
                return ()
            return tuple(
                server
                for server in parts.all
                if server.software_version == bound_version
            )
        if note is None:
            return parts.all
        is_stale = note_age_s > MAX_NOTE_AGE_S
        match notes.read_phase(note):
            case notes.Phase.COMPLETED:
                return parts.current
            case notes.Phase.FULL if is_stale:
                return parts.others or parts.target
            case notes.Phase.FULL:
                return parts.target or parts.others
            case notes.Phase.TRIAL | notes.Phase.RAMP if not is_stale:
                is_untried = bool(parts.target) and not is_retry
                if is_untried and self._take_credit(note, route):
                    return _loaded_alike(parts.target, parts.others, note.share)
        return parts.others

    def may_use(
        self,
        server: directory.Server,
        note: notes.RolloutNote | None,
        note_age_s: float,
        excluded: Collection[str] = (),
    ) -> bool:
        """Returns whether any new request may go to a server now.

        Takes no credit; for checks just before sending.
        """
        version = server.software_version
        if version in excluded or _is_ended(version, note):
            return False
        if note is None or version != note.target:
            return True
        match notes.read_phase(note):
            case notes.Phase.COMPLETED | notes.Phase.FULL:
                return True
            case notes.Phase.TRIAL | notes.Phase.RAMP:
                return note.share > 0.0 and note_age_s <= MAX_NOTE_AGE_S
        return False

    def _divide(
        self,
        servers: Servers,
        note: notes.RolloutNote | None,
        excluded: Collection[str],
    ) -> "_Parts":
        """Divides a service's servers by what a rollout allows.

        The directory returns the same tuple until a server changes, so that
        500 servers are not gone through for each request.
        """
        service = note.service if note is not None else ""
        target = note.target if note is not None else ""
        replaced = note.replaced if note is not None else ()
        known = self._divided.get(service)
        if (
            known is not None
            and known[0] is servers
            and known[1:4] == (target, replaced, excluded)
        ):
            return known[4]
        allowed = tuple(
            server
            for server in servers
            if server.software_version not in excluded
        )
        parts = _Parts(
            allowed,
            tuple(s for s in allowed if s.software_version != target),
            tuple(s for s in allowed if s.software_version == target),
            tuple(s for s in allowed if s.software_version not in replaced),
        )
        self._divided[service] = servers, target, replaced, excluded, parts
        return parts

    def _take_credit(self, note: notes.RolloutNote, route: str) -> bool:
        """Adds a request's share to its route's credit, and takes 1 if it has.

        A route's first request finds its credit at random in [0, 1), so it
        goes to the target version with a probability of the share.
        """
        key = note.service, route
        credit = self._credits.get(key)
        if credit is None:
            credit = self._random.random()
        share = note.share
        for name, route_share in note.route_shares:
            if name == route:
                share = route_share
        credit = min(_MAX_CREDIT, credit + share)
        is_taken = credit >= 1.0 and share > 0.0
        self._credits[key] = credit - is_taken
        return is_taken


def _is_ended(version: str, note: notes.RolloutNote | None) -> bool:
    """Returns whether the end of a rollout excludes a version."""
    if note is None:
        return False
    match notes.read_phase(note):
        case notes.Phase.COMPLETED:
            return version in note.replaced
        case notes.Phase.ROLLED_BACK:
            return version == note.target
    return False


@functools.lru_cache(maxsize=16_384)
def _hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _loaded_alike(target: Servers, others: Servers, share: float) -> Servers:
    """Returns as many target servers as bear the share like the others theirs.

    All daemons choose the same ones: in the order of the hash of their names,
    which has nothing to do with their zones.
    """
    if share >= 1.0 or not others:
        return target
    needed = share / (1.0 - share) * sum(server.slots for server in others)
    chosen: list[directory.Server] = []
    for server in sorted(target, key=lambda server: _hash(server.name)):
        # The last one is taken if it gets at least half of the others' load.
        if chosen and needed < 0.5 * server.slots:
            break
        chosen.append(server)
        needed -= server.slots
    return tuple(chosen)
