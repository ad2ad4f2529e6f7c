"""Admission control of the services whose capacity is uncertain.

It keeps what decisions need from one request to the next: sampled totals, the
usual load of accounts, and refused requests that may return. Decisions
themselves are pure.
"""

import collections
import copy
import dataclasses
import math
import random
from collections.abc import Callable
from collections.abc import Iterable

from turmericcroft.fleet import counters
from turmericcroft.scheduling import admit
from turmericcroft.scheduling import occupancy
from turmericcroft.scheduling import offered
from turmericcroft.scheduling import shares

# Interval at which probabilities are computed anew. A service has up to 4,700
# servers, too many to look at for each request.
_INTERVAL_S = 0.1
# Time over which the usual load of accounts is learned. It is not learned while
# the service is overloaded, so that a burst does not become usual.
_USUAL_S = 30.0
# A flow with a lower usual load, in server seconds per second, is forgotten.
_MIN_USUAL = 1e-6
# Refused requests that are remembered, and for how long after they may return.
_MAX_REFUSED = 10_000
_RETURN_WITHIN_S = 5.0
# A request that returns earlier than this before its delay is over keeps no
# place; clocks and links differ by less.
_EARLY_S = 0.1
# Weight of one request in the share of returning ones.
_RETURN_WEIGHT = 0.02

Rooms = Callable[[], Iterable[occupancy.ServerRoom]]


class _RefusedRequests:
    """Requests that were refused and may return, the oldest first."""

    def __init__(self) -> None:
        self._due: collections.OrderedDict[tuple[str, ...], float] = (
            collections.OrderedDict()
        )

    def copy(self) -> "_RefusedRequests":
        """Returns a copy."""
        other = _RefusedRequests()
        other._due = self._due.copy()
        return other

    def add(self, identity: tuple[str, ...], due_at_s: float) -> None:
        """Remembers a refused request."""
        self._due[identity] = due_at_s
        self._due.move_to_end(identity)
        while len(self._due) > _MAX_REFUSED:
            self._due.popitem(last=False)

    def take(self, identity: tuple[str, ...], now_s: float) -> bool:
        """Returns whether a request was refused and comes back in time."""
        due_at_s = self._due.get(identity)
        if due_at_s is None or now_s < due_at_s - _EARLY_S:
            # An equal request of the same account; the refused one may return.
            return False
        del self._due[identity]
        return due_at_s - _EARLY_S <= now_s <= due_at_s + _RETURN_WITHIN_S


class _ServiceScheduler:
    """State of one service.

    Attributes:
        situation: Inputs of decisions, as of the last refresh.
    """

    def __init__(self, service: str, now_s: float) -> None:
        self.work = offered.OfferedWork(service, now_s)
        self.situation = admit.Situation(
            offered.Rates({}, 0.0, 0.0),
            occupancy.summarize([]),
            shares.divide(0.0, {}, {}),
        )
        self.usual: dict[offered.Flow, float] = {}
        self.refused = _RefusedRequests()
        self._refreshed_at_s = float("-inf")

    def copy(self) -> "_ServiceScheduler":
        """Returns a copy that decides alike."""
        other = copy.copy(self)
        other.work = self.work.copy()
        other.usual = dict(self.usual)
        other.refused = self.refused.copy()
        return other

    def refresh(
        self,
        totals: counters.FleetCounters,
        rooms: Rooms,
        now_s: float,
        reported_at_s: float,
    ) -> None:
        """Computes the probabilities anew if they are not recent."""
        elapsed_s = now_s - self._refreshed_at_s
        if elapsed_s < _INTERVAL_S:
            return
        self._refreshed_at_s = now_s
        self.work.sample(totals, now_s, reported_at_s)
        rates = self.work.rates(now_s)
        room = occupancy.summarize(rooms())
        is_known = rates.observed_s >= offered.RATE_WINDOW_S
        if is_known and (rates.total <= room.capacity or not self.usual):
            self._learn_usual(rates, min(elapsed_s, 1.0))
        self.situation = dataclasses.replace(
            self.situation,
            rates=rates,
            room=room,
            shares=shares.divide(room.capacity, rates.offered, self.usual),
        )

    def count_return(self, is_return: bool) -> None:
        """Updates the share of returning requests."""
        share = self.situation.return_share
        share += _RETURN_WEIGHT * (float(is_return) - share)
        self.situation = dataclasses.replace(self.situation, return_share=share)

    def _learn_usual(self, rates: offered.Rates, elapsed_s: float) -> None:
        weight = min(1.0, elapsed_s / _USUAL_S) if self.usual else 1.0
        for flow in rates.offered.keys() | self.usual.keys():
            rate = rates.offered.get(flow, 0.0)
            usual = self.usual.get(flow, rate)
            self.usual[flow] = usual + weight * (rate - usual)
            if self.usual[flow] < _MIN_USUAL:
                del self.usual[flow]


class Scheduler:
    """Admission control of all services of a daemon."""

    def __init__(
        self, totals: counters.FleetCounters, generator: random.Random
    ) -> None:
        self._totals = totals
        self._random = generator
        self._services: dict[str, _ServiceScheduler] = {}

    def copy(self, totals: counters.FleetCounters) -> "Scheduler":
        """Returns a copy that decides alike and counts in other totals."""
        other = copy.copy(self)
        other._totals = totals
        other._random = copy.deepcopy(self._random)
        other._services = {n: s.copy() for n, s in self._services.items()}
        return other

    def decide(
        self,
        service: str,
        question: admit.Question,
        identity: tuple[str, ...],
        rooms: Rooms,
        now_s: float,
        reported_at_s: float = -math.inf,
    ) -> admit.Decision:
        """Decides whether a request is served, and counts its work.

        Args:
            service: Name of the service.
            question: The request; whether it returns is found out here.
            identity: What a repeated request has in common with the first.
            rooms: Lists the usable servers of the service.
            now_s: Monotonic time.
            reported_at_s: When another daemon last reported; minus infinity if
                not known.
        """
        state = self._services.get(service)
        if state is None:
            state = _ServiceScheduler(service, now_s)
            self._services[service] = state
        state.refresh(self._totals, rooms, now_s, reported_at_s)
        is_return = state.refused.take(identity, now_s)
        state.count_return(is_return)
        question = dataclasses.replace(question, is_return=is_return)
        work_s, flow = question.work_s, question.flow
        self._totals.add(offered.key("offered", service, flow), work_s)
        decision = admit.decide(question, state.situation, self._random)
        match decision:
            case admit.Admit():
                self._totals.add(offered.key("admitted", service, flow), work_s)
            case admit.Refuse(retry_after_s=retry_after_s):
                self._totals.add(f"refused/{service}", work_s)
                state.refused.add(identity, now_s + retry_after_s)
        return decision

    def situations(self) -> dict[str, admit.Situation]:
        """Returns the latest inputs of decisions, by service."""
        return {name: s.situation for name, s in self._services.items()}
