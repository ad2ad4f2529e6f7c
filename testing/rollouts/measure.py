"""Counts what seeded rollouts miss of the bounds of docs/design/hard-load.md.

By hand: python -m testing.rollouts.measure ROLLOUTS RATE DAEMONS DURATION_S
[KIND ...], from the repository's root with src on PYTHONPATH.
"""

import collections
import sys

from testing.rollouts import population
from turmericcroft.rollouts import notes


def find_misses(rollout):
    """Returns which bounds a rollout missed.

    verdict: A good version must be completed by the deadline, a bad one rolled
        back. false verdict: The same, by a test and not by the deadline.
    drained: No request runs on the earlier version at the end.
    exposure, timeout: Bounds on what a bad version gets.
    """
    limits, kind = population.LIMITS, rollout.kind
    misses = []
    good, bad = notes.Phase.COMPLETED, notes.Phase.ROLLED_BACK
    if rollout.state.phase is not (bad if kind.is_bad else good):
        misses.append("verdict")
        if not rollout.state.reason.startswith("time is up"):
            misses.append("false verdict")
    if rollout.state.phase is good and rollout.left_running:
        misses.append("drained")
    if kind.is_bad:
        bound = limits.exposure_share * rollout.requests
        if rollout.sent > bound + limits.exposure_tolerance:
            misses.append("exposure")
        if rollout.many_bad_s is not None and (
            rollout.last_s > rollout.many_bad_s + limits.rollback_timeout_s
        ):
            misses.append("timeout")
    return misses


def measure(name, seeds, rate, daemons, duration_s):
    """Returns the seeds that missed each bound, and the mean end in s."""
    missed, ends_s = collections.defaultdict(list), []
    for seed in seeds:
        kind = population.KINDS[name]
        rollout = population.Rollout(kind, seed, rate, daemons, duration_s)
        for miss in find_misses(rollout.run()):
            missed[miss].append(seed)
        ends_s.append(rollout.ended_s)
    return dict(missed), sum(ends_s) / len(ends_s)


if __name__ == "__main__":
    count, rate, daemons, duration_s = map(float, sys.argv[1:5])
    for name in sys.argv[5:] or population.KINDS:
        missed, end_s = measure(
            name, range(int(count)), rate, int(daemons), duration_s
        )
        counts = {miss: (len(s), s[:5]) for miss, s in sorted(missed.items())}
        print(f"{name}: ends at {end_s:.1f} s, missed {counts}", flush=True)  # noqa: T201
