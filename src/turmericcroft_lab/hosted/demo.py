"""Demo of the gateway: sends requests to daemons and kills one of them.

The daemons run in processes of their own, against an emulated platform.
"""

import asyncio
import collections
import pathlib
import sys
import tempfile

from turmericcroft_lab.hosted import fleet as fleets

_REQUEST_COUNT = 60
_PATHS = ("/read/1", "/book/1", "/stream/again/1")


def run(keep: bool) -> int:
    """Runs the demo.

    Args:
        keep: Whether to keep everything running at the end until interrupted.

    Returns:
        The exit code; 0 if all requests succeeded.
    """
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_demo(pathlib.Path(folder), keep))


async def _demo(folder: pathlib.Path, keep: bool) -> int:
    fleet = fleets.Fleet(folder)
    outcomes: collections.Counter[str] = collections.Counter()
    try:
        await fleet.start(daemons=3, plain=2, engines=3)
        for number in range(_REQUEST_COUNT):
            if number == _REQUEST_COUNT // 2:
                _print_line("edge-0 is killed")
                fleet.daemons.pop("edge-0").process.kill()
            name = sorted(fleet.daemons)[number % len(fleet.daemons)]
            path = _PATHS[number % len(_PATHS)]
            status, _, complete = await fleets.call(
                fleet.daemons[name].ports[0], "POST", path, f"r{number}"
            )
            outcomes[f"{status}{'' if complete else ' incomplete'}"] += 1
        for outcome, count in outcomes.items():
            _print_line(f"{count} of {_REQUEST_COUNT} requests: {outcome}")
        _print_line(f"usage reports and orders: {len(fleet.cloud.calls)}")
        if keep:
            for name, daemon in fleet.daemons.items():
                _print_line(
                    f"{name}: http://127.0.0.1:{daemon.ports[0]}/read/1"
                )
                _print_line(
                    f"  Host: app.example, X-Credential: {fleets.API_KEY}"
                )
                _print_line(f"  log: {daemon.log}")
            await asyncio.Event().wait()
    finally:
        await fleet.close()
    return 0 if outcomes["200"] == _REQUEST_COUNT else 1


def _print_line(text: str) -> None:
    sys.stdout.write(text + "\n")
