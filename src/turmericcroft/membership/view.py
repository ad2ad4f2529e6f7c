"""This daemon's view of the other daemons.

Each daemon exchanges heartbeats with a few neighbours only. A neighbour that
falls silent is declared dead, and the rumour of it travels over the overlay;
a member that hears of its own death refutes it with a higher incarnation.
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
    """What is believed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclasses.dataclass(frozen=True)
class Member:
    """A daemon as it describes itself.

    Attributes:
        name: Name of its entry VM.
        incarnation: Start time in ms, raised to refute rumours of its death.
        availability_zone: Where it is.
        host: Address of its mesh port.
        port: Its mesh port.
    """

    name: str
    incarnation: int
    availability_zone: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True)
class Rumour:
    """News about a member, passed on with heartbeats."""

    name: str
    incarnation: int
    health: Health


@dataclasses.dataclass
class Observation:
    """What this daemon knows of a member.

    Attributes:
        member: Its own description.
        last_heard_s: Monotonic time of the last sign of life.
        is_neighbour: Whether this daemon exchanges heartbeats with it.
        health: What was last concluded or heard by rumour.
        config_number: The configuration that it has in force.
    """

    member: Member
    last_heard_s: float
    is_neighbour: bool = False
    health: Health = Health.ALIVE
    config_number: int = 0


class View:
    """Members known to one daemon, itself not among them.

    Attributes:
        own: This daemon's own description.
        observations: What is known, by member name.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.observations: dict[str, Observation] = {}
        self._rumours: dict[str, tuple[float, Rumour]] = {}

    def add_listed(
        self, members: Iterable[Member], now_s: float
    ) -> list[Member]:
        """Takes in members that the platform's service lists.

        A listing is no sign of life for a member that is known already.

        Returns:
            Members that are new, or new incarnations.
        """
        return [member for member in members if self._admit(member, now_s)]

    def record_heartbeat(
        self, member: Member, leaving: bool, config_number: int, now_s: float
    ) -> None:
        """Takes in a sign of life; older incarnations are ignored."""
        self._admit(member, now_s)
        observation = self.observations.get(member.name)
        if observation is None or observation.member != member:
            return
        observation.last_heard_s = now_s
        observation.config_number = max(
            observation.config_number, config_number
        )
        if leaving:
            self._conclude(observation, Health.LEFT, now_s)
        elif observation.health is not Health.LEFT:
            self._conclude(observation, Health.ALIVE, now_s)

    def update_health(self, now_s: float) -> list[tuple[Member, Health]]:
        """Draws conclusions from the silence of is_neighbour members.

        Returns:
            Members whose health changed.
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
            if self._conclude(observation, health, now_s):
                changed.append((observation.member, health))
        return changed

    def merge_rumours(self, rumours: Iterable[Rumour], now_s: float) -> None:
        """Takes in rumours; first-hand knowledge goes before them."""
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
            self._conclude(observation, rumour.health, now_s)

    def recent_rumours(self, now_s: float) -> tuple[Rumour, ...]:
        """Returns the newest rumours to pass on."""
        self._rumours = {
            name: (told_at_s, rumour)
            for name, (told_at_s, rumour) in self._rumours.items()
            if now_s - told_at_s < RUMOUR_LIFETIME_S
        }
        newest = sorted(self._rumours.values(), key=lambda item: -item[0])
        return tuple(r for _, r in newest[:MAX_RUMOURS_PER_HEARTBEAT])

    def health(self, name: str) -> Health:
        """Tells what is believed of a member; an unknown one is dead.

        Example:
            >>> View(Member("a", 1, "z", "127.0.0.1", 1)).health("b")
            <Health.DEAD: 'dead'>
        """
        observation = self.observations.get(name)
        return Health.DEAD if observation is None else observation.health

    def alive(self) -> tuple[Member, ...]:
        """Members that take work, by name; suspects still count."""
        return tuple(
            self.observations[name].member
            for name in sorted(self.observations)
            if self.health(name) in (Health.ALIVE, Health.SUSPECT)
        )

    def dead(self) -> tuple[Member, ...]:
        """Members believed dead, by name."""
        return tuple(
            self.observations[name].member
            for name in sorted(self.observations)
            if self.health(name) is Health.DEAD
        )

    def remove_gone(self, listed: Iterable[str]) -> None:
        """Drops members that are dead or left and no longer listed."""
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
        """Members to exchange heartbeats with: a sparse, symmetric overlay.

        Members stand in a circle by name; the neighbours are those at
        distances 1, 2, 4 and so on, both ways, so that news reaches all
        within the logarithm of their number.
        """
        others = self.alive()
        names = sorted([m.name for m in others] + [self.own.name])
        place = names.index(self.own.name)
        chosen = {
            names[(place + step) % len(names)]
            for distance in _powers_of_two(len(names) // 2)
            for step in (distance, -distance)
        } - {self.own.name}
        for name, observation in self.observations.items():
            if name in chosen and not observation.is_neighbour:
                observation.last_heard_s = now_s
            observation.is_neighbour = name in chosen
        return tuple(self.observations[name].member for name in sorted(chosen))

    def _admit(self, member: Member, now_s: float) -> bool:
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

    def _conclude(
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
        if rumour.health is Health.ALIVE:
            return
        if rumour.incarnation < self.own.incarnation:
            return
        self.own = dataclasses.replace(
            self.own, incarnation=rumour.incarnation + 1
        )
        alive = Rumour(self.own.name, self.own.incarnation, Health.ALIVE)
        self._rumours[self.own.name] = (now_s, alive)


def rank(key: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Orders members by rendezvous hash for a key, the owner first."""
    return tuple(
        sorted(
            members,
            key=lambda m: xxhash.xxh3_64_intdigest(f"{key}\0{m.name}".encode()),
        )
    )


def rank_other_zones_first(
    key: str, members: Iterable[Member], zone: str
) -> tuple[Member, ...]:
    """Ranks members for a key, those outside a zone before those in it.

    A zone may be reclaimed at once, so a copy belongs in another one.
    """
    ranked = rank(key, members)
    return tuple(sorted(ranked, key=lambda m: m.availability_zone == zone))


def _powers_of_two(limit: int) -> list[int]:
    return [1 << exponent for exponent in range(limit.bit_length())]
