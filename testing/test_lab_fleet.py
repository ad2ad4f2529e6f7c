"""The fleet of real processes that the soak plays with."""

import asyncio

from turmericcroft_lab.hosted import fleet as fleets


async def test_a_daemon_that_two_faults_ended_is_started_once(
    tmp_path, monkeypatch
):
    # Both faults waited for its end and started it; one of the two processes
    # was lost sight of and outlived the soak.
    fleet = fleets.Fleet(tmp_path)
    started = []

    async def start(name):
        await asyncio.sleep(0.01)
        started.append(name)
        fleet.daemons[name] = object.__new__(fleets.DaemonProcess)

    monkeypatch.setattr(fleet, "start_daemon", start)
    await start("edge-0")
    ended = fleet.daemons["edge-0"]
    await asyncio.gather(
        fleet.restart(ended, "edge-0"), fleet.restart(ended, "edge-0")
    )
    assert started == ["edge-0", "edge-0"]
