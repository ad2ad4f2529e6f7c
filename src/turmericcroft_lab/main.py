"""Entry point of the lab's command-line tool."""

import fire

from turmericcroft_lab import compare
from turmericcroft_lab import demo
from turmericcroft_lab.slopes import run


class Commands:
    """Stand-ins, demo and measurements."""

    def demo(self, keep: bool = False) -> None:
        """Runs daemons before stand-ins, reclaims a zone, sums up.

        Args:
            keep: Keep everything running at the end, until interrupted.
        """
        raise SystemExit(demo.run(keep))

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
