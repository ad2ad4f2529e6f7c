"""Entry point of the lab's command-line tool."""

import random
import sys

import fire

from turmericcroft_lab import compare
from turmericcroft_lab import demo
from turmericcroft_lab.hosted import demo as hosted_demo
from turmericcroft_lab.hosted import logcost
from turmericcroft_lab.hosted import soak as hosted_soak
from turmericcroft_lab.slopes import run


class Commands:
    """Stand-ins, demo and measurements."""

    def demo(self, keep: bool = False) -> None:
        """Runs daemons before stand-ins, reclaims a zone, sums up.

        Args:
            keep: Keep everything running at the end, until interrupted.
        """
        raise SystemExit(demo.run(keep))

    def gateway(self, keep: bool = False) -> None:
        """Runs gateway daemons before stand-ins, and kills one.

        Args:
            keep: Keep everything running at the end, until interrupted.
        """
        raise SystemExit(hosted_demo.run(keep))

    def soak(
        self, seed: int = 0, seeds: int = 1, seconds: float = 20.0
    ) -> None:
        """Soaks real gateway processes in faults, and checks promises.

        Args:
            seed: The first seed; 0 draws a fresh one.
            seeds: How many seeds to play, one after the other.
            seconds: How long faults are injected.
        """
        first = seed or random.SystemRandom().randrange(1_000, 1_000_000)
        failed = False
        for number in range(first, first + seeds):
            report = hosted_soak.run(number, seconds)
            failed |= bool(report.violations)
            sys.stdout.write(
                f"seed {report.seed}: {report.succeeded} of {report.requests} "
                f"answered, {len(report.faults)} faults, "
                f"{len(report.violations)} broken\n"
            )
            for line in (*report.violations, *report.faults) * bool(
                report.violations
            ):
                sys.stdout.write(f"  {line}\n")
        raise SystemExit(int(failed))

    def logcost(self, requests: int = 600) -> None:
        """Measures the part of a request's processor time that logs take.

        Args:
            requests: Requests to make.
        """
        cost = logcost.run(requests)
        sys.stdout.write(
            f"{cost.requests} requests, {cost.lines} lines: "
            f"{cost.request_s * 1e6:.0f} us a request, "
            f"{cost.log_s * 1e6:.0f} us of it for log lines "
            f"({cost.share:.1%})\n"
        )

    def compare(
        self,
        profile: str = "zadruga",
        seeds: int = 5,
        out: str = "docs/capacity/routing.json",
    ) -> None:
        """Compares routing policies on real daemons, by seed.

        Args:
            profile: zadruga or zadruga-wave.
            seeds: Seeds for each policy.
            out: File for the raw results.
        """
        compare.run(profile, seeds, out)

    def slopes(self, folder: str = "docs/capacity") -> None:
        """Measures what docs/CAPACITY.md is worked out from.

        Args:
            folder: Where raw results, plots and the table go.
        """
        run.run(folder)


def main() -> None:
    """Runs the command line."""
    fire.Fire(Commands, name="turmericcroft-lab")
