"""Decides whether a software version is good, by sequential tests.

Load pattern: some tens of answers of the target version, on a few routes, of
which up to 14 in 100 are bad with the replaced versions too. A fixed number of
answers would have to be that of the hardest case; the sequential probability
ratio test ends after 3 to 7 answers if half of them or more are bad.
"""

import dataclasses
import enum
import math
from collections.abc import Mapping

from turmericcroft.rollouts import evidence as evidences


class Verdict(enum.Enum):
    """What the evidence says of a version.

    Attributes:
        GOOD: Not worse than the replaced versions, on each route.
        BAD: Worse on some route.
        UNDECIDED: There is too little evidence.
    """

    GOOD = "good"
    BAD = "bad"
    UNDECIDED = "undecided"


@dataclasses.dataclass(frozen=True)
class VerdictSettings:
    """Error rates and effect size of the tests.

    Attributes:
        false_bad: Probability that a good version is found bad.
        false_good: Probability that a bad version is found good.
        lift: Part of the otherwise good answers that a bad version turns bad.
        looks: Tests that a rollout runs one after another, which share
            `false_bad`.
        min_route_share: Routes with a smaller part of the attempts need not
            reach the limit for GOOD; they must not lean towards BAD.
        min_judged_share: Part of the attempts that must have been judged for
            GOOD. Slow answers are judged later than good ones.
    """

    false_bad: float = 0.001
    false_good: float = 0.001
    lift: float = 0.3
    looks: int = 4
    min_route_share: float = 0.05
    min_judged_share: float = 0.5


DEFAULT_SETTINGS = VerdictSettings()
# Bad answers that are assumed before any was seen: as if this many answers of
# the replaced versions, with this proportion of bad ones, had been seen.
_PRIOR_ANSWERS = 5.0
_PRIOR_PROPORTION = 0.02
# Standard errors by which the proportion of the replaced versions is taken to
# be higher than seen, so that chance in their counts is not held against the
# target version.
_MARGIN_ERRORS = 1.2
# Part of the error rate that the limit for GOOD is set to. With the margin, a
# version that is bad by exactly the lift was found good in 9 and 11 of 6,000
# sequences (usual proportions of 0.005 and 0.14); with this part, in 3 and 4.
_MARGIN_CORRECTION = 0.4
_MIN_PROPORTION = 0.01
# Answers from which on a single bad one is about as likely by chance.
_MIN_CHANCE_ANSWERS = 4.0
_MAX_PROPORTION = 0.9


@dataclasses.dataclass(frozen=True)
class RouteResult:
    """Test of one route.

    Attributes:
        route: Name of the route.
        ratio: Natural logarithm of the likelihood ratio of bad to good.
        target: Counts of the target version.
        replaced: Counts of the replaced versions.
        is_major: Whether it has enough of the attempts to be needed for GOOD.
    """

    route: str
    ratio: float
    target: evidences.Counts
    replaced: evidences.Counts
    is_major: bool = True

    @property
    def is_chance(self) -> bool:
        """Whether a single bad answer among several may be chance."""
        target = self.target
        return target.bad <= 1.0 and target.answered >= _MIN_CHANCE_ANSWERS

    def explain(self) -> str:
        """Returns the counts, for operators."""
        return (
            f"route {self.route}: {self.target.bad:g} of "
            f"{self.target.answered:g} answers bad, before "
            f"{self.replaced.bad:g} of {self.replaced.answered:g}, "
            f"log ratio {self.ratio:.1f}"
        )


@dataclasses.dataclass(frozen=True)
class Judgement:
    """Result of all tests.

    Attributes:
        verdict: The verdict.
        route: The route that decided: the one that leans most towards BAD;
            empty without any evidence.
        results: The test of each route, by name.
    """

    verdict: Verdict
    route: str = ""
    results: tuple[RouteResult, ...] = ()

    @property
    def worst_ratio(self) -> float:
        """Highest log-likelihood ratio of the routes that decide.

        These are the major routes, also those without answers yet, whose ratio
        is 0, and minor ones that lean towards BAD. It is 0 without evidence.
        """
        return max(
            (
                result.ratio
                for result in self.results
                if result.is_major or result.ratio > 0.0
            ),
            default=0.0,
        )

    @property
    def leans_good(self) -> bool:
        """Whether there are answers, and they are rather good.

        Of several routes with answers any may be the bad one, so each is
        allowed odds of their number to 1. One bad answer among several of a
        route is taken for chance: a good version with 20 answers has one in a
        third of all rollouts.
        """
        ratios = [
            min(0.0, result.ratio) if result.is_chance else result.ratio
            for result in self.results
            if result.target.answered
        ]
        return sum(ratios) < 0.0 and max(ratios) <= math.log(len(ratios))

    def explain(self) -> str:
        """Returns the counts of the deciding route, for operators."""
        for result in self.results:
            if result.route == self.route:
                return result.explain()
        return "no answers"


def judge(
    evidence: evidences.Evidence,
    settings: VerdictSettings = DEFAULT_SETTINGS,
) -> Judgement:
    """Tests the target version against the replaced ones, route by route.

    Example:
        >>> def count(answered, bad):
        ...     counts = evidences.Counts(answered, answered, bad)
        ...     return {("chat", "small"): counts}
        >>> judge(evidences.Evidence(count(30, 0), count(300, 2))).verdict
        <Verdict.GOOD: 'good'>
        >>> judge(evidences.Evidence(count(9, 5), count(300, 2))).verdict
        <Verdict.BAD: 'bad'>
    """
    target = _by_route(evidence.target)
    replaced = _by_route(evidence.replaced)
    routes = sorted(target.keys() | replaced.keys())
    if not routes:
        return Judgement(Verdict.UNDECIDED)
    sent = evidences.sum_counts([*target.values(), *replaced.values()]).sent
    usual = evidences.sum_counts(list(replaced.values()))
    results = tuple(
        _test(
            route,
            target.get(route, evidences.NO_COUNTS),
            replaced.get(route, evidences.NO_COUNTS),
            usual,
            sent,
            settings,
        )
        for route in routes
    )
    worst = max(results, key=lambda result: result.ratio)
    # Any one of the routes' tests can find a good version bad, so they share
    # the error rate. A bad version is found good only if the test of its bad
    # route errs, so that rate is not shared.
    bad_limit = math.log(settings.looks * len(results) / settings.false_bad)
    good_limit = math.log(_MARGIN_CORRECTION * settings.false_good)
    if worst.ratio >= bad_limit:
        verdict = Verdict.BAD
    elif all(
        _is_proved(result, good_limit, settings)
        if result.is_major
        else result.ratio <= 0.0
        for result in results
    ):
        verdict = Verdict.GOOD
    else:
        verdict = Verdict.UNDECIDED
    return Judgement(verdict, worst.route, results)


def _test(
    route: str,
    target: evidences.Counts,
    replaced: evidences.Counts,
    usual: evidences.Counts,
    sent: float,
    settings: VerdictSettings,
) -> RouteResult:
    """Tests one route.

    Args:
        route: Name of the route.
        target: Counts of the target version there.
        replaced: Counts of the replaced versions there.
        usual: Counts of the replaced versions on all routes, which stand for
            a route on which they have few.
        sent: Attempts on all routes at all versions.
        settings: Settings of the test.
    """
    prior = (usual.bad + _PRIOR_ANSWERS * _PRIOR_PROPORTION) / (
        usual.answered + _PRIOR_ANSWERS
    )
    answers = replaced.answered + _PRIOR_ANSWERS
    seen = (replaced.bad + _PRIOR_ANSWERS * prior) / answers
    seen = min(_MAX_PROPORTION, seen)
    error = math.sqrt(seen * (1.0 - seen) / answers)
    good = seen + _MARGIN_ERRORS * error
    good = min(_MAX_PROPORTION, max(_MIN_PROPORTION, good))
    bad = good + settings.lift * (1.0 - good)
    answered_well = max(0.0, target.answered - target.bad)
    ratio = target.bad * math.log(bad / good) + answered_well * math.log(
        (1.0 - bad) / (1.0 - good)
    )
    part = (target.sent + replaced.sent) / sent if sent else 0.0
    is_major = part >= settings.min_route_share
    return RouteResult(route, ratio, target, replaced, is_major)


def _is_proved(
    result: RouteResult, good_limit: float, settings: VerdictSettings
) -> bool:
    judged_share = result.target.answered / max(1.0, result.target.sent)
    return (
        result.ratio <= good_limit and judged_share >= settings.min_judged_share
    )


def _by_route(
    counts: Mapping[tuple[str, str], evidences.Counts],
) -> dict[str, evidences.Counts]:
    found: dict[str, evidences.Counts] = {}
    for (route, _), part in counts.items():
        found[route] = found.get(route, evidences.NO_COUNTS).plus(part)
    return found
