"""Demo of ``make run``: sends requests while a zone is reclaimed.

It prints a summary, and fails if an answer was wrong or missing or a booking
ran twice.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import subprocess
import sys
import tempfile

import aiohttp
import rich.console
import rich.table

from turmericcroft_lab import caller
from turmericcroft_lab import cluster
from turmericcroft_lab import engine

EXAMPLES = pathlib.Path("examples")
API_KEY = "north-key"
_REQUESTS = 60
_BOOKINGS = 20
_ARRIVAL_WINDOW_S = 6.0
_RECLAIM_AT_S = 3.0
_RECLAIM_NOTICE_S = 1.0


@dataclasses.dataclass
class Summary:
    """Counts of the demo; the names of the fields are printed."""

    asked: int = 0
    answered: int = 0
    wrong: int = 0
    refused: int = 0
    unanswered: int = 0
    reconnected: int = 0
    booked: int = 0
    booked_twice: int = 0
    resumed: int = 0
    prompt_tokens: int = 0
    recomputed_tokens: int = 0
    spent: float = 0.0

    @property
    def failed(self) -> bool:
        """Whether an answer was wrong or missing, or a booking ran twice."""
        return bool(self.wrong or self.unanswered or self.booked_twice)


def run(keep: bool = False) -> int:
    """Runs the demo.

    Args:
        keep: Whether to keep the cluster running until interrupted.

    Returns:
        The exit code.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with (
        tempfile.TemporaryDirectory() as folder,
        contextlib.suppress(KeyboardInterrupt),
    ):
        return asyncio.run(_run(pathlib.Path(folder), keep))
    return 0


async def _run(folder: pathlib.Path, keep: bool) -> int:
    console = rich.console.Console()
    plan = cluster.ClusterPlan()
    async with cluster.running(plan, folder) as lab:
        console.print(
            f"{len(lab.daemons)} daemons and "
            f"{len(lab.platform.servers)} backend servers in zones "
            f"{', '.join(plan.zones)}"
        )
        await apply_examples(lab)
        await lab.wait_for("/readyz")
        summary = await _run_requests(lab, console)
        console.print(_table(summary))
        if keep:
            await _wait_for_interrupt(lab, console)
    return 1 if summary.failed else 0


async def apply_examples(
    lab: cluster.Cluster, corrections: pathlib.Path | None = None
) -> None:
    """Applies the example sheet with the operators' command-line tool.

    Args:
        lab: Cluster to configure.
        corrections: Corrections file to use instead of the example's.
    """
    arguments = [
        sys.executable,
        "-m",
        "turmericcroft.ctl",
        f"--daemon={lab.daemons[0].operators_url}",
        f"--token={cluster.OPERATOR_TOKEN}",
        "apply",
        str(EXAMPLES / "sheet.csv"),
        str(corrections or EXAMPLES / "corrections.toml"),
        "--base=0",
    ]
    await asyncio.to_thread(subprocess.run, arguments, check=True)


async def _run_requests(
    lab: cluster.Cluster, console: rich.console.Console
) -> Summary:
    rng = random.Random(7)
    urls = [daemon.callers_url for daemon in lab.daemons]
    client = caller.Caller(urls, API_KEY)
    summary = Summary()
    try:
        async with asyncio.TaskGroup() as group:
            for index in range(_REQUESTS):
                delay_s = rng.uniform(0.0, _ARRIVAL_WINDOW_S)
                group.create_task(_complete(client, index, delay_s, summary))
            for index in range(_BOOKINGS):
                delay_s = rng.uniform(0.0, _ARRIVAL_WINDOW_S)
                group.create_task(_book(client, index, delay_s, summary))
            group.create_task(_reclaim(lab, console))
    finally:
        await client.close()
    await _add_counts(lab, summary)
    return summary


async def _complete(
    client: caller.Caller, index: int, delay_s: float, summary: Summary
) -> None:
    await asyncio.sleep(delay_s)
    prompt = f"Survey report {index % 6}: " + "roof tile, " * 40 + str(index)
    request = caller.CompletionRequest("survey", prompt, 60, seed=index)
    summary.asked += 1
    outcome = await client.complete(request)
    summary.reconnected += bool(outcome.reconnects)
    if outcome.refusal:
        summary.refused += 1
    elif not outcome.is_complete:
        summary.unanswered += 1
    elif outcome.text != engine.expected_text(prompt, index, 60):
        summary.wrong += 1
    else:
        summary.answered += 1


async def _book(
    client: caller.Caller, index: int, delay_s: float, summary: Summary
) -> None:
    await asyncio.sleep(delay_s)
    status = await client.book(
        "booking", f"visit-{index}", caller.new_idempotency_key()
    )
    summary.booked += status == 201


async def _reclaim(lab: cluster.Cluster, console: rich.console.Console) -> None:
    zone = lab.plan.zones[-1]
    await asyncio.sleep(_RECLAIM_AT_S)
    console.print(f"{zone} is reclaimed: engines, services and daemons")
    for daemon in lab.daemons:
        if daemon.zone == zone:
            daemon.terminate()
    await lab.platform.reclaim_zone(zone, _RECLAIM_NOTICE_S, replace=False)


async def _add_counts(lab: cluster.Cluster, summary: Summary) -> None:
    url = f"http://{cluster.HOST}:{lab.platform.plan.cloud_port}/lab/counts"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        counts = await response.json()
    for engine_counts in counts["engines"].values():
        summary.resumed += engine_counts["resumed"]
        summary.prompt_tokens += engine_counts["prompt_tokens"]
        summary.recomputed_tokens += engine_counts["recomputed_tokens"]
    summary.booked_twice = sum(n > 1 for n in counts["runs"].values())
    summary.spent = counts["spent"]


def _table(summary: Summary) -> rich.table.Table:
    table = rich.table.Table(title="What happened")
    table.add_column("measure")
    table.add_column("value", justify="right")
    for field in dataclasses.fields(summary):
        value = getattr(summary, field.name)
        text = f"{value:.4f}" if isinstance(value, float) else str(value)
        table.add_row(field.name.replace("_", " "), text)
    return table


async def _wait_for_interrupt(
    lab: cluster.Cluster, console: rich.console.Console
) -> None:
    running = [d for d in lab.daemons if d.process.returncode is None]
    for daemon in running:
        console.print(
            f"{daemon.name}: callers {daemon.callers_url}, "
            f"operators {daemon.operators_url}"
        )
    first = running[0]
    console.print(
        "\nTry:\n"
        f"  curl -N {first.callers_url}/v1/completions -H 'Authorization: "
        f'Bearer {API_KEY}\' -d \'{{"model": "survey", "prompt": '
        '"Roof?", "stream": true}\'\n'
        f"  .venv/bin/turmericctl --daemon={first.operators_url} "
        f"--token={cluster.OPERATOR_TOKEN} status\n"
        f"  .venv/bin/turmericctl --daemon={first.operators_url} "
        f"--token={cluster.OPERATOR_TOKEN} timeline --since=1m\n"
        "Interrupt to stop.",
        markup=False,
        soft_wrap=True,
    )
    await asyncio.Event().wait()
