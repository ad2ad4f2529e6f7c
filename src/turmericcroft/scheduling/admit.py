"""Whether one request is served or refused while capacity is short.

Load: offered work at 1.24 of the capacity for 12 s made all answers late while
nothing was refused. A late answer is worth a tenth of one on time, so refusing
a quarter keeps the others on time.

Requests don't wait at the daemon: a wait that is short enough for the caller is
shorter than the time in which daemons learn that there is room, and servers
have queues of their own. A refused caller that returns in time is admitted
before new requests instead.
"""

import dataclasses
import random

from turmericcroft.scheduling import occupancy
from turmericcroft.scheduling import offered
from turmericcroft.scheduling import shares

# Probability of a request whose first event is expected after the target,
# relative to others. At least half, because long prompts are late most often,
# and are to be served at least half as often.
_LATE_RELATIVE = 0.6
# Least probability of a new request relative to the mean of its flow, however
# many refused ones return.
_MIN_NEW_RELATIVE = 0.5
# Reports cover this time; before, a daemon that just started admits all.
MIN_OBSERVED_S = 1.0
# Bounds of Retry-After, in seconds. Daemons learn of room within the former; no
# caller is asked to stay away longer than a server takes to boot.
_MIN_RETRY_S = 0.5
_MAX_RETRY_S = 4.0


@dataclasses.dataclass(frozen=True)
class Question:
    """A request about to be sent.

    Attributes:
        flow: Its urgency and account.
        work_s: Server seconds that it is expected to need.
        first_event_s: Predicted time to its first event.
        target_s: Time to the first event that its route aims for.
        remaining_s: Time until its deadline.
        is_return: Whether it was refused and came back in time.
    """

    flow: offered.Flow
    work_s: float
    first_event_s: float
    target_s: float
    remaining_s: float
    is_return: bool = False


@dataclasses.dataclass(frozen=True)
class Situation:
    """What a decision is based on.

    Attributes:
        rates: Offered work.
        room: How full the servers are.
        shares: Admission probabilities.
        return_share: Part of the requests that are returning ones.
    """

    rates: offered.Rates
    room: occupancy.Occupancy
    shares: shares.Shares
    return_share: float = 0.0

    def describe(self) -> str:
        """Describes the inputs of the decision and their age, for the log."""
        scaled = " scaled from own" if self.rates.is_scaled else ""
        return (
            f"offered {self.shares.demand:.1f}{scaled} of "
            f"{self.shares.capacity:.1f} server seconds per second, "
            f"reports {self.rates.report_age_s:.1f} s old; "
            f"{self.room.taken:.0f} of {self.room.slots} slots taken, "
            f"{self.room.waiting} waiting on {self.room.servers} servers, "
            f"statements {self.room.age_s:.1f} s old"
        )


@dataclasses.dataclass(frozen=True)
class Admit:
    """The request is to be sent.

    Attributes:
        probability: Probability with which it was admitted.
    """

    probability: float


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The request is refused; it has not run.

    Attributes:
        reason: Code of the refusal.
        retry_after_s: When there is expected to be room; differs by caller.
        probability: Probability with which it would have been admitted.
        detail: Inputs of the decision.
    """

    reason: str
    retry_after_s: float
    probability: float
    detail: str


Decision = Admit | Refuse


def decide(
    question: Question, situation: Situation, generator: random.Random
) -> Decision:
    """Decides whether a request is served.

    Args:
        question: The request.
        situation: What is known of the service.
        generator: Seeded source of randomness.
    """
    if situation.room.has_room:
        return Admit(1.0)
    if question.first_event_s > question.remaining_s:
        detail = (
            f"first event expected after {question.first_event_s:.2f} s, "
            f"{question.remaining_s:.2f} s left; {situation.describe()}"
        )
        retry_s = _retry_after_s(situation, generator)
        return Refuse("too_late", retry_s, 0.0, detail)
    if situation.rates.observed_s < MIN_OBSERVED_S:
        return Admit(1.0)
    probability = _probability(question, situation)
    if generator.random() < probability:
        return Admit(probability)
    return Refuse(
        "overloaded",
        _retry_after_s(situation, generator),
        probability,
        f"admitted with probability {probability:.2f}; {situation.describe()}",
    )


def _probability(question: Question, situation: Situation) -> float:
    mean = situation.shares.probability(question.flow)
    if mean >= 1.0:
        return 1.0
    returning = situation.return_share
    probability = min(1.0, mean / max(returning, mean))
    if not question.is_return:
        left = mean - returning * probability
        probability = left / max(1.0 - returning, 1e-9)
        probability = max(_MIN_NEW_RELATIVE * mean, probability)
    if question.first_event_s > question.target_s:
        probability *= _LATE_RELATIVE
    return probability


def _retry_after_s(situation: Situation, generator: random.Random) -> float:
    """Returns when there is room, by how much offered work exceeds it."""
    excess = situation.shares.demand / max(situation.shares.capacity, 1e-9)
    expected_s = min(_MAX_RETRY_S / 2, max(_MIN_RETRY_S, excess - 0.5))
    return expected_s * generator.uniform(1.0, 2.0)
