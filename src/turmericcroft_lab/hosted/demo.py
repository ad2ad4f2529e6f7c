"""Gateway daemons before stand-ins: requests answered, one daemon killed."""

import asyncio
import collections
import pathlib
import sys
import tempfile

from turmericcroft_lab.hosted import fleet as fleets

_REQUESTS = 60
_PATHS = ("/read/1", "/book/1", "/stream/again/1")


def run(keep: bool) -> int:
    """Runs the demo; returns the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_demo(pathlib.Path(folder), keep))


async def _demo(folder: pathlib.Path, keep: bool) -> int:
    fleet = fleets.Fleet(folder)
    outcomes: collections.Counter[str] = collections.Counter()
    try:
        await fleet.start(daemons=3, plain=2, engines=3)
        for number in range(_REQUESTS):
            if number == _REQUESTS // 2:
                _say("edge-0 is killed")
                fleet.daemons.pop("edge-0").process.kill()
            name = sorted(fleet.daemons)[number % len(fleet.daemons)]
            path = _PATHS[number % len(_PATHS)]
            status, _, complete = await fleets.call(
                fleet.daemons[name].ports[0], "POST", path, f"r{number}"
            )
            outcomes[f"{status}{'' if complete else ' incomplete'}"] += 1
        for outcome, count in outcomes.items():
            _say(f"{count} of {_REQUESTS} requests: {outcome}")
        _say(f"usage reports and orders: {len(fleet.cloud.calls)}")
        if keep:
            for name, daemon in fleet.daemons.items():
                _say(f"{name}: http://127.0.0.1:{daemon.ports[0]}/read/1")
                _say(f"  Host: app.example, X-Credential: {fleets.API_KEY}")
                _say(f"  log: {daemon.log}")
            await asyncio.Event().wait()
    finally:
        await fleet.close()
    return 0 if outcomes["200"] == _REQUESTS else 1


def _say(text: str) -> None:
    sys.stdout.write(text + "\n")
