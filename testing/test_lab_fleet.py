"""Tests of the fleet of real gateway processes that the soak runs."""

import asyncio

from turmericcroft_lab.hosted import fleet as fleets


async def test_daemon_ended_by_two_faults_is_restarted_once(
    tmp_path, monkeypatch
):
    # Two faults can wait for the same process to end. If both restarted the
    # daemon, the fleet would lose track of one process, which would outlive it.
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
