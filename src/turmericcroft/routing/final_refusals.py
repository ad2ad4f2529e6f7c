"""Decides whether a request may be refused for good.

Load pattern: port scanners send hundreds of requests a second for routes that
don't exist, at daemons that are in step, and these must cost the store next to
nothing. At a daemon that stood still or was cut off, clients arrive at the same
moment whose key or route was added meanwhile. They never come back after 401 or
404. So the declaration in force allows such a refusal only if the store was
asked recently and had no newer one. The time counts from when it was asked: its
answer may have been sent long before a process that stood still reads it.
"""

import dataclasses
import enum
import math

# Time for which the store has not answered, after which clients are refused by
# the declaration in force. The longest deadline of a client is 15.8 s: whoever
# came with a new key as it began has reached another daemon or given up.
_LONG_OUTAGE_S = 16.0
# Longest time between two calls that are not answered within one outage; a call
# that waits for changes counts as unanswered after 3 s. In a longer one this
# process stood still, and the store may have answered others.
_MAX_GAP_S = 5.0
# A declaration counts as the newest for this part of the time that a new one
# may take. The rest is for changes that the store returns late.
_IN_STEP_SHARE = 0.5


class Judgement(enum.Enum):
    """What to do with a request that no route or API key allows.

    Attributes:
        REFUSE: It is refused for good.
        ASK: The store is asked for a newer declaration first.
        COME_BACK: It can't be known; another daemon may know.
    """

    REFUSE = "refuse"
    ASK = "ask"
    COME_BACK = "come back"


@dataclasses.dataclass(frozen=True)
class View:
    """How well a daemon knows which declaration is the newest.

    Attributes:
        age_s: Time since it asked the store, which had no newer one.
        max_age_s: Age up to which it is in step.
        was_asked: Whether the store was asked since the request came.
        outage_s: Time for which the store has not answered; 0 if it does.
        is_cut_off: Whether there are other daemons, and none is heard.
    """

    age_s: float
    max_age_s: float
    was_asked: bool
    outage_s: float
    is_cut_off: bool


@dataclasses.dataclass
class Recency:
    """When a declaration was known to be the newest one.

    Attributes:
        confirmed_at_s: When the store was last asked that had no newer one,
            monotonic; not when its answer was read.
        unanswered_since_s: When the store first did not answer after that.
        unanswered_at_s: When it last did not answer.
    """

    confirmed_at_s: float = -math.inf
    unanswered_since_s: float = -math.inf
    unanswered_at_s: float = -math.inf

    def confirm(self, asked_at_s: float) -> None:
        """Records that there was no newer one when the store was asked."""
        self.confirmed_at_s = max(self.confirmed_at_s, asked_at_s)

    def record_unanswered(self, now_s: float) -> None:
        """Records that the store did not answer."""
        if (
            self.unanswered_since_s <= self.confirmed_at_s
            or now_s - self.unanswered_at_s > _MAX_GAP_S
        ):
            self.unanswered_since_s = now_s
        self.unanswered_at_s = now_s

    def view(
        self,
        propagation_s: float,
        was_asked: bool,
        is_cut_off: bool,
        now_s: float,
    ) -> View:
        """Returns how well the newest declaration is known.

        Args:
            propagation_s: Time after which a new declaration must be in force.
            was_asked: Whether the store was asked since the request came.
            is_cut_off: Whether there are other daemons, and none is heard.
            now_s: Monotonic time.

        Example:
            >>> recency = Recency(confirmed_at_s=10.0)
            >>> recency.record_unanswered(12.0)
            >>> recency.record_unanswered(13.0)
            >>> recency.view(2.0, True, False, 14.0).outage_s
            2.0
            >>> recency.confirm(13.5)
            >>> recency.view(2.0, True, False, 14.0).outage_s
            0.0
        """
        answers = self.unanswered_since_s <= self.confirmed_at_s
        return View(
            age_s=now_s - self.confirmed_at_s,
            max_age_s=_IN_STEP_SHARE * propagation_s,
            was_asked=was_asked,
            outage_s=0.0 if answers else now_s - self.unanswered_since_s,
            is_cut_off=is_cut_off,
        )


def judge(view: View) -> Judgement:
    """Decides what to do with a request that no route or API key allows.

    A retry reaches another daemon. So one that is cut off never refuses for
    good: the client learns from the others what holds. Daemons that hear each
    other have the newest declaration that any of them has, so that after a long
    outage of the store a client with a wrong key is told so.

    Example:
        >>> in_step = View(0.5, 1.0, False, 0.0, False)
        >>> judge(in_step).value
        'refuse'
        >>> judge(dataclasses.replace(in_step, age_s=1.5)).value
        'ask'
    """
    if view.age_s <= view.max_age_s:
        return Judgement.REFUSE
    if not view.was_asked:
        return Judgement.ASK
    if view.is_cut_off or view.outage_s < _LONG_OUTAGE_S:
        return Judgement.COME_BACK
    return Judgement.REFUSE
