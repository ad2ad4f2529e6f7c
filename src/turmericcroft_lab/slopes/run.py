"""Runs all measurements and writes raw results, plots and the table."""

import asyncio
import dataclasses
import json
import pathlib
import tempfile

import rich.console
import rich.progress

from turmericcroft_lab.slopes import decisions
from turmericcroft_lab.slopes import relay
from turmericcroft_lab.slopes import requests
from turmericcroft_lab.slopes import series
from turmericcroft_lab.slopes import target

STREAMS = (50, 150, 400, 800, 1_350)
_COUNT_S = 4.0
_REST_S = 5.0
_FAST_INTERVAL_MS = 25.0
_INTERVAL_MS = 50.0


def run(folder: str) -> None:
    """Measures everything; takes a few minutes.

    Args:
        folder: Where ``slopes.json``, ``slopes.png`` and ``TARGET.md`` go.
    """
    out = pathlib.Path(folder)
    out.mkdir(parents=True, exist_ok=True)
    console = rich.console.Console()
    all_series = [*decisions.measure_all(), *requests.measure_all()]
    points, rest = asyncio.run(_relay_points())
    results = target.Results(tuple(all_series), tuple(points), rest)
    raw = {
        "series": [
            dataclasses.asdict(item) | {"fit": dataclasses.asdict(item.fit())}
            for item in all_series
        ],
        "relay": [dataclasses.asdict(point) for point in points],
        "rest": dataclasses.asdict(rest),
    }
    text = json.dumps(raw, indent=1)
    (out / "slopes.json").write_text(text + "\n", "utf-8")
    series.plot(all_series, str(out / "slopes.png"))
    (out / "TARGET.md").write_text(target.render(results), "utf-8")
    console.print(target.render(results), markup=False)


async def _relay_points() -> tuple[list[relay.RelayPoint], relay.RestPoint]:
    points = []
    plan = [(count, _INTERVAL_MS) for count in STREAMS]
    plan.append((STREAMS[-2], _FAST_INTERVAL_MS))
    with tempfile.TemporaryDirectory() as name:
        scratch = pathlib.Path(name)
        for streams, interval_ms in rich.progress.track(plan, "relay"):
            points.append(
                await relay.measure_floor(streams, interval_ms, _COUNT_S)
            )
            points.append(
                await relay.measure_daemon(
                    streams, interval_ms, _COUNT_S, scratch
                )
            )
        rest = await relay.measure_rest(scratch, _REST_S)
    return points, rest
