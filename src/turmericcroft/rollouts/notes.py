"""Orders of rollouts, and how far each has come, as daemons tell each other.

Names of classes and fields are on the wire.
"""

import dataclasses
import enum

from turmericcroft.fleet import ages
from turmericcroft.fleet import positions


class Phase(enum.Enum):
    """Phase of a rollout.

    Attributes:
        WAITING: No server of the target version is ready.
        TRIAL: A bounded share of the requests goes to the target version, to
            compare it with the versions that it replaces.
        RAMP: The share rises in steps.
        FULL: All new requests go to the target version; earlier ones end.
        COMPLETED: The earlier versions are used no more.
        ROLLED_BACK: The target version is used no more.
    """

    WAITING = "waiting"
    TRIAL = "trial"
    RAMP = "ramp"
    FULL = "full"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether the rollout has ended."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)


@dataclasses.dataclass(frozen=True)
class Order:
    """An operator's order to move a service to a software version.

    Attributes:
        service: Name of the service.
        target: The software version.
        duration_s: Time from the order within which the rollout must end; NaN
            if the order states none that can be read.
        position: Position in the store of the order's last change, which
            identifies it: an order written again is another order.
    """

    service: str
    target: str
    duration_s: float
    position: positions.StorePosition


@dataclasses.dataclass(frozen=True)
class RolloutNote:
    """How far a rollout has come.

    Attributes:
        service: Name of the service.
        target: The software version that it is moved to.
        duration_s: Time from the order within which it must end.
        era: Era of the store of the order's position.
        revision: Revision of the order's position.
        phase: Value of its phase.
        share: Part of the new requests that goes to the target version.
        replaced: Software versions that the service had when it was ordered.
        token: Fencing number of the daemon that decided; 0 if none has.
        step: Increases with each decision of that daemon.
        age_s: Time since the order was first seen.
        decided_age_s: Time since the decision.
        reason: Why, for operators.
        route_shares: Routes whose share differs from `share`, and their shares.
    """

    service: str
    target: str
    duration_s: float
    era: int
    revision: int
    phase: str
    share: float
    replaced: tuple[str, ...] = ()
    token: int = 0
    step: int = 0
    age_s: ages.Age = 0.0
    decided_age_s: ages.Age = 0.0
    reason: str = ""
    route_shares: tuple[tuple[str, float], ...] = ()


def read_phase(note: RolloutNote) -> Phase:
    """Returns a note's phase; WAITING for one that only newer builds know."""
    try:
        return Phase(note.phase)
    except ValueError:
        return Phase.WAITING


def was_withdrawn(order: Order, read_at: positions.StorePosition) -> bool:
    """Returns whether an order's absence means that it was withdrawn.

    A store that continues from an older copy may have lost the order; that is
    no withdrawal, and the rollout goes on to its end.

    Args:
        order: The order.
        read_at: Position of the store when the order's key was absent.
    """
    return (
        read_at.era == order.position.era
        and read_at.revision > order.position.revision
    )
