"""Processor time that log lines take, as a part of a request's."""

import asyncio
import dataclasses
import os
import pathlib
import tempfile
import time

from turmericcroft.eventlog import reading
from turmericcroft.eventlog import writer
from turmericcroft_lab.hosted import fleet as fleets

# Replays of the same lines, so that the clock's resolution does not show.
_REPLAYS = 20
_PATHS = ("/read/1", "/book/1", "/stream/again/1")
# Below the rates at which lines are left out.
_REQUESTS_PER_S = 60.0


@dataclasses.dataclass(frozen=True)
class Cost:
    """What one daemon spent.

    Attributes:
        requests: Requests answered.
        lines: Log lines written meanwhile.
        request_s: Processor time a request, log lines included.
        log_s: Processor time of the log lines of a request.
    """

    requests: int
    lines: int
    request_s: float
    log_s: float

    @property
    def share(self) -> float:
        """Part of a request's processor time that goes into log lines."""
        return self.log_s / self.request_s


def run(requests: int) -> Cost:
    """Measures one daemon before stand-ins."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_measure(pathlib.Path(folder), requests))


async def _measure(folder: pathlib.Path, requests: int) -> Cost:
    fleet = fleets.Fleet(folder)
    try:
        await fleet.start(daemons=1, plain=2, engines=2)
        daemon = fleet.daemons["edge-0"]
        logged_before = daemon.log.stat().st_size
        before_s = _processor_s(daemon.process.pid)
        for number in range(requests):
            path = _PATHS[number % len(_PATHS)]
            status, _, complete = await fleets.call(
                daemon.ports[0], "POST", path, f"r{number}"
            )
            assert status == 200, f"expected 200, found {status}"
            assert complete, f"expected a whole answer to r{number}"
            await asyncio.sleep(1.0 / _REQUESTS_PER_S)
        await asyncio.sleep(0.3)
        spent_s = _processor_s(daemon.process.pid) - before_s
        text = daemon.log.read_bytes()[logged_before:].decode()
    finally:
        await fleet.close()
    lines = reading.parse_lines(text.splitlines())
    log_s = _replay(lines)
    return Cost(requests, len(lines), spent_s / requests, log_s / requests)


def _replay(lines: list[reading.Line]) -> float:
    """Writes the same lines again; returns the processor time they take."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    clock_s = 0.0
    # A clock that runs ahead, so that no line is left out.
    output = writer.Writer("edge-0", descriptor, now_s=lambda: clock_s)
    began_s = time.process_time()
    for _ in range(_REPLAYS):
        for line in lines:
            if line.event is not None:
                output.write(line.event)
            clock_s += 1.0
            output.flush()
    spent_s = time.process_time() - began_s
    os.close(descriptor)
    return spent_s / _REPLAYS


def _processor_s(pid: int) -> float:
    """Processor time of a process so far, user and system."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
