"""Runs all measurements and writes raw results, plots and a table."""

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
_RELAY_DURATION_S = 4.0
_IDLE_DURATION_S = 5.0
_SHORT_INTERVAL_MS = 25.0
_INTERVAL_MS = 50.0


def run(folder: str) -> None:
    """Runs all measurements, which takes a few minutes.

    Args:
        folder: Folder for ``slopes.json``, ``slopes.png`` and ``TARGET.md``.
    """
    out = pathlib.Path(folder)
    out.mkdir(parents=True, exist_ok=True)
    console = rich.console.Console()
    all_series = [*decisions.measure_all(), *requests.measure_all()]
    measurements, idle = asyncio.run(_measure_relays())
    results = target.Results(tuple(all_series), tuple(measurements), idle)
    raw = {
        "series": [
            dataclasses.asdict(item) | {"fit": dataclasses.asdict(item.fit())}
            for item in all_series
        ],
        "relay": [
            dataclasses.asdict(measurement) for measurement in measurements
        ],
        "rest": dataclasses.asdict(idle),
    }
    text = json.dumps(raw, indent=1)
    (out / "slopes.json").write_text(text + "\n", "utf-8")
    series.plot(all_series, str(out / "slopes.png"))
    (out / "TARGET.md").write_text(target.render(results), "utf-8")
    console.print(target.render(results), markup=False)


async def _measure_relays() -> tuple[
    list[relay.RelayMeasurement], relay.IdleMeasurement
]:
    measurements = []
    plan = [(count, _INTERVAL_MS) for count in STREAMS]
    plan.append((STREAMS[-2], _SHORT_INTERVAL_MS))
    with tempfile.TemporaryDirectory() as scratch_name:
        scratch = pathlib.Path(scratch_name)
        for streams, interval_ms in rich.progress.track(plan, "relay"):
            measurements.append(
                await relay.measure_floor(
                    streams, interval_ms, _RELAY_DURATION_S
                )
            )
            measurements.append(
                await relay.measure_daemon(
                    streams, interval_ms, _RELAY_DURATION_S, scratch
                )
            )
        idle = await relay.measure_idle_daemon(scratch, _IDLE_DURATION_S)
    return measurements, idle
