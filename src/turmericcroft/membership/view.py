"""Failure detection and membership, as seen by one daemon.

Each daemon exchanges heartbeats with a few neighbours only. It declares a
silent neighbour dead and spreads this as a rumour (gossip) with its
heartbeats. A live member that receives a rumour of its own death refutes it
with a higher incarnation number.
"""

import dataclasses
import enum
from collections.abc import Iterable

import xxhash

SUSPECT_AFTER_S = 3.0
DEAD_AFTER_S = 8.0
RUMOUR_LIFETIME_S = 30.0
MAX_RUMOURS_PER_HEARTBEAT = 24


class Health(enum.Enum):
    """Health of a member in the local view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclasses.dataclass(frozen=True)
class Member:
    """A daemon's description of itself.

    Attributes:
        name: Name of its entry VM.
        incarnation: Start time in ms, raised to refute rumours of its death.
        availability_zone: Its availability zone.
        host: Host of its mesh address.
        port: Port of its mesh address.
    """

    name: str
    incarnation: int
    availability_zone: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True)
class Rumour:
    """A change of a member's health, spread with heartbeats."""

    name: str
    incarnation: int
    health: Health


@dataclasses.dataclass
class Observation:
    """This daemon's local state of another member.

    Attributes:
        member: The member's description of itself.
        last_heard_s: Monotonic time of the last heartbeat.
        is_neighbour: Whether this daemon exchanges heartbeats with it.
        health: Last health from heartbeats, their absence or a rumour.
        config_number: Highest configuration number that it reported.
    """

    member: Member
    last_heard_s: float
    is_neighbour: bool = False
    health: Health = Health.ALIVE
    config_number: int = 0


class View:
    """Members known to this daemon, without itself.

    Attributes:
        own: This daemon's description of itself.
        observations: Local state of the other members by name.
        leaving: Whether this daemon leaves, so that rumours of it are true.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.observations: dict[str, Observation] = {}
        self.leaving = False
        self._rumours: dict[str, tuple[float, Rumour]] = {}

    def add_listed(
        self, members: Iterable[Member], now_s: float
    ) -> list[Member]:
        """Adds members from the key-value service or from a peer's reply.

        A listing does not change the health of a known member, unless it
        has a higher incarnation.

        Returns:
            Members that are new or have a higher incarnation.
        """
        return [member for member in members if self._add_member(member, now_s)]

    def record_heartbeat(
        self, member: Member, leaving: bool, config_number: int, now_s: float
    ) -> None:
        """Updates a member from its heartbeat.

        A heartbeat of an older incarnation is ignored.
        """
        self._add_member(member, now_s)
        observation = self.observations.get(member.name)
        if observation is None or observation.member != member:
            return
        observation.last_heard_s = now_s
        observation.config_number = max(
            observation.config_number, config_number
        )
        if leaving:
            self._set_health(observation, Health.LEFT, now_s)
        elif observation.health is not Health.LEFT:
            self._set_health(observation, Health.ALIVE, now_s)

    def update_health(self, now_s: float) -> list[tuple[Member, Health]]:
        """Updates the health of neighbours by the age of their heartbeats.

        Returns:
            Members whose health changed, with the new health.
        """
        changed = []
        for observation in self.observations.values():
            if (
                not observation.is_neighbour
                or observation.health is Health.LEFT
            ):
                continue
            silent_s = now_s - observation.last_heard_s
            health = Health.ALIVE
            if silent_s > DEAD_AFTER_S:
                health = Health.DEAD
            elif silent_s > SUSPECT_AFTER_S:
                health = Health.SUSPECT
            if self._set_health(observation, health, now_s):
                changed.append((observation.member, health))
        return changed

    def merge_rumours(self, rumours: Iterable[Rumour], now_s: float) -> None:
        """Merges rumours that a peer sent.

        For neighbours, own observations take precedence over rumours of
        the same incarnation, except a rumour that the member left.
        """
        for rumour in rumours:
            if rumour.name == self.own.name:
                self._refute(rumour, now_s)
                continue
            observation = self.observations.get(rumour.name)
            if observation is None:
                continue
            incarnation = observation.member.incarnation
            if rumour.incarnation < incarnation:
                continue
            if rumour.incarnation > incarnation:
                observation.member = dataclasses.replace(
                    observation.member, incarnation=rumour.incarnation
                )
            elif observation.is_neighbour and rumour.health is not Health.LEFT:
                continue
            self._set_health(observation, rumour.health, now_s)

    def recent_rumours(self, now_s: float) -> tuple[Rumour, ...]:
        """Returns the newest rumours to send with a heartbeat."""
        self._rumours = {
            name: (recorded_at_s, rumour)
            for name, (recorded_at_s, rumour) in self._rumours.items()
            if now_s - recorded_at_s < RUMOUR_LIFETIME_S
        }
        newest = sorted(self._rumours.values(), key=lambda item: -item[0])
        return tuple(r for _, r in newest[:MAX_RUMOURS_PER_HEARTBEAT])

    def health(self, name: str) -> Health:
        """Returns the health of a member; an unknown member is dead.

        Example:
            >>> View(Member("a", 1, "z", "127.0.0.1", 1)).health("b")
            <Health.DEAD: 'dead'>
        """
        observation = self.observations.get(name)
        return Health.DEAD if observation is None else observation.health

    def alive(self) -> tuple[Member, ...]:
        """Returns the members that are alive or suspect, sorted by name."""
        return tuple(
            self.observations[name].member
            for name in sorted(self.observations)
            if self.health(name) in (Health.ALIVE, Health.SUSPECT)
        )

    def dead(self) -> tuple[Member, ...]:
        """Returns the members declared dead, sorted by name."""
        return tuple(
            self.observations[name].member
            for name in sorted(self.observations)
            if self.health(name) is Health.DEAD
        )

    def remove_gone(self, listed: Iterable[str]) -> None:
        """Removes members that died or left and are no longer listed."""
        keep = set(listed)
        gone = [
            name
            for name in self.observations
            if name not in keep
            and self.health(name) in (Health.DEAD, Health.LEFT)
        ]
        for name in gone:
            del self.observations[name]

    def neighbours(self, now_s: float) -> tuple[Member, ...]:
        """Selects the members to exchange heartbeats with.

        The members form a ring sorted by name. Neighbours are those at
        distances 1, 2, 4 and so on in both directions. The overlay is sparse
        and symmetric, and a rumour reaches every member in a number of hops
        that is logarithmic in the number of members.

        A member that becomes a neighbour counts as heard from now, so that
        it has time to send its first heartbeat.
        """
        others = self.alive()
        names = sorted([m.name for m in others] + [self.own.name])
        position = names.index(self.own.name)
        chosen = {
            names[(position + step) % len(names)]
            for distance in _powers_of_two(len(names) // 2)
            for step in (distance, -distance)
        } - {self.own.name}
        for name, observation in self.observations.items():
            if name in chosen and not observation.is_neighbour:
                observation.last_heard_s = now_s
            observation.is_neighbour = name in chosen
        return tuple(self.observations[name].member for name in sorted(chosen))

    def _add_member(self, member: Member, now_s: float) -> bool:
        if member.name == self.own.name:
            return False
        known = self.observations.get(member.name)
        if known and known.member.incarnation >= member.incarnation:
            return False
        is_neighbour = known is not None and known.is_neighbour
        self.observations[member.name] = Observation(
            member, now_s, is_neighbour
        )
        return True

    def _set_health(
        self, observation: Observation, health: Health, now_s: float
    ) -> bool:
        if observation.health is health:
            return False
        observation.health = health
        if health is not Health.SUSPECT:
            member = observation.member
            rumour = Rumour(member.name, member.incarnation, health)
            self._rumours[member.name] = (now_s, rumour)
        return True

    def _refute(self, rumour: Rumour, now_s: float) -> None:
        if rumour.health is Health.ALIVE or self.leaving:
            return
        if rumour.incarnation < self.own.incarnation:
            return
        self.own = dataclasses.replace(
            self.own, incarnation=rumour.incarnation + 1
        )
        alive = Rumour(self.own.name, self.own.incarnation, Health.ALIVE)
        self._rumours[self.own.name] = (now_s, alive)


def rank(key: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Sorts members by rendezvous hash for a key; the first is the owner."""
    return tuple(
        sorted(
            members,
            key=lambda m: xxhash.xxh3_64_intdigest(f"{key}\0{m.name}".encode()),
        )
    )


def rank_other_zones_first(
    key: str, members: Iterable[Member], zone: str
) -> tuple[Member, ...]:
    """Ranks members for a key, with members of the given zone last.

    All VMs of a zone can be reclaimed at once, so a copy should be in another
    zone.
    """
    ranked = rank(key, members)
    return tuple(sorted(ranked, key=lambda m: m.availability_zone == zone))


def _powers_of_two(limit: int) -> list[int]:
    return [1 << exponent for exponent in range(limit.bit_length())]
