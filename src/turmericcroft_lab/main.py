"""Entry point of the lab's command-line tool."""

import random
import sys

import fire
import rich

from turmericcroft_lab import compare
from turmericcroft_lab import demo
from turmericcroft_lab.hosted import demo as hosted_demo
from turmericcroft_lab.hosted import logcost
from turmericcroft_lab.hosted import soak as hosted_soak
from turmericcroft_lab.slopes import crowd
from turmericcroft_lab.slopes import run


class Commands:
    """Demos, soak test and measurements."""

    def demo(self, keep: bool = False) -> None:
        """Runs daemons on a simulated platform while a zone is reclaimed.

        Args:
            keep: Whether to keep everything running until interrupted.
        """
        raise SystemExit(demo.run(keep))

    def gateway(self, keep: bool = False) -> None:
        """Runs gateway daemons on a simulated platform and kills one.

        Args:
            keep: Whether to keep everything running until interrupted.
        """
        raise SystemExit(hosted_demo.run(keep))

    def soak(
        self,
        seed: int = 0,
        seeds: int = 1,
        seconds: float = 20.0,
        restores: bool = False,
        crashing_part: bool = False,
        limits: bool = False,
        releases: bool = False,
        partitions: bool = False,
        brittle: bool = False,
        rollouts: bool = False,
        stutter: bool = False,
        kills: bool = False,
        moves: bool = False,
        skewed: bool = False,
        keys: bool = False,
        logs: str = "",
        daemons: int = 3,
    ) -> None:
        """Runs gateway processes under random faults and checks guarantees.

        Args:
            seed: First seed; 0 for a random one.
            seeds: Number of consecutive seeds to run.
            seconds: Time over which faults are injected.
            restores: Whether the store also continues from older copies.
            crashing_part: Whether engines crash on a part of some prompts.
            limits: Whether backend servers state limits of requests per second.
            releases: Whether engines change software versions while clients
                take streams up at other daemons.
            partitions: Whether daemons are partitioned from all servers.
            brittle: Whether bursts meet brittle servers at the end.
            rollouts: Whether services are rolled out to good and bad versions.
            stutter: Whether servers fall silent and answer twice, to clients
                that keep their connections.
            kills: Whether engines are processes that are killed and replaced,
                and daemons get series of signals.
            moves: Whether engines leave while long streams run, and the moves
                of these are disturbed.
            skewed: Whether services have releases while daemons are paused, or
                cut off from the store and each other.
            keys: Whether client accounts come and go, the last one too, and
                are declared oddly.
            logs: Folder in which the daemons' logs of a run with violations
                are kept; empty to keep none.
            daemons: Number of gateway daemons.
        """
        options = hosted_soak.Options(
            daemons,
            restores,
            crashing_part,
            limits,
            releases,
            partitions,
            brittle,
            rollouts,
            stutter,
            kills,
            moves,
            skewed,
            keys,
            logs=logs,
        )
        first_seed = seed or random.SystemRandom().randrange(1_000, 1_000_000)
        failed = False
        for number in range(first_seed, first_seed + seeds):
            report = hosted_soak.run(number, seconds, options)
            failed |= bool(report.violations)
            sys.stdout.write(
                f"seed {report.seed}: {report.succeeded} of {report.requests} "
                f"answered, {report.streams.begun} streams, "
                f"{report.streams.moved} moved, "
                f"{report.streams.resumed} resumed, "
                f"{report.streams.taken_up} taken up, "
                f"{len(report.faults)} faults, "
                f"{len(report.violations)} broken\n"
            )
            for line in (*report.violations, *report.faults) * bool(
                report.violations
            ):
                sys.stdout.write(f"  {line}\n")
        raise SystemExit(int(failed))

    def logcost(self, requests: int = 600) -> None:
        """Measures the share of a request's CPU time spent on log lines.

        Args:
            requests: Number of requests to send.
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
        """Compares routing policies with real daemons and simulated engines.

        Args:
            profile: zadruga or zadruga-wave.
            seeds: Number of seeds for each policy.
            out: File for the results.
        """
        compare.run(profile, seeds, out)

    def crowd(
        self, engines: int = 70, seeds: int = 4, relays: bool = True
    ) -> None:
        """Compares placements of prompts by many daemons, simulated.

        Args:
            engines: Number of engines.
            seeds: Number of seeds for each policy.
            relays: Whether digests come by relays.
        """
        load = crowd.Load(engines=engines, uses_relays=relays)
        for policy, outcome in crowd.compare(load, seeds).items():
            rich.print(policy, outcome)

    def slopes(self, folder: str = "docs/capacity") -> None:
        """Measures the figures that docs/CAPACITY.md is calculated from.

        Args:
            folder: Folder for the results, the plots and the table.
        """
        run.run(folder)


def main() -> None:
    """Runs the command line."""
    fire.Fire(Commands, name="turmericcroft-lab")


if __name__ == "__main__":
    main()
