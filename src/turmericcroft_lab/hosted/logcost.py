"""Measures the share of a request's CPU time that log lines take."""

import asyncio
import dataclasses
import os
import pathlib
import tempfile
import time

from turmericcroft.eventlog import reading
from turmericcroft.eventlog import writer
from turmericcroft_lab.hosted import fleet as fleets

# One replay is too short for the resolution of the CPU clock.
_REPLAY_COUNT = 20
_PATHS = ("/read/1", "/book/1", "/stream/again/1")
# Below the rates at which the event log leaves lines out.
_REQUESTS_PER_S = 60.0


@dataclasses.dataclass(frozen=True)
class Cost:
    """CPU time that one daemon spent.

    Attributes:
        requests: Number of requests answered.
        lines: Number of log lines written meanwhile.
        request_s: CPU time per request, including its log lines.
        log_s: CPU time for log lines per request.
    """

    requests: int
    lines: int
    request_s: float
    log_s: float

    @property
    def share(self) -> float:
        """Share of a request's CPU time that is spent on log lines."""
        return self.log_s / self.request_s


def run(requests: int) -> Cost:
    """Measures one daemon against an emulated platform."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_measure(pathlib.Path(folder), requests))


async def _measure(folder: pathlib.Path, requests: int) -> Cost:
    fleet = fleets.Fleet(folder)
    try:
        await fleet.start(daemons=1, plain=2, engines=2)
        daemon = fleet.daemons["edge-0"]
        logged_before = daemon.log.stat().st_size
        before_s = _cpu_time_s(daemon.process.pid)
        for number in range(requests):
            path = _PATHS[number % len(_PATHS)]
            status, _, complete = await fleets.call(
                daemon.ports[0], "POST", path, f"r{number}"
            )
            assert status == 200, f"expected 200, found {status}"
            assert complete, f"expected a complete response to r{number}"
            await asyncio.sleep(1.0 / _REQUESTS_PER_S)
        await asyncio.sleep(0.3)
        spent_s = _cpu_time_s(daemon.process.pid) - before_s
        text = daemon.log.read_bytes()[logged_before:].decode()
    finally:
        await fleet.close()
    lines = reading.parse_lines(text.splitlines())
    log_s = _replay(lines)
    return Cost(requests, len(lines), spent_s / requests, log_s / requests)


def _replay(lines: list[reading.Line]) -> float:
    """Writes the lines again and returns the CPU time that this takes."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    clock_s = 0.0
    # The clock advances by 1 s per line, so that no line is left out.
    output = writer.Writer("edge-0", descriptor, now_s=lambda: clock_s)
    began_s = time.process_time()
    for _ in range(_REPLAY_COUNT):
        for line in lines:
            if line.event is not None:
                output.write(line.event)
            clock_s += 1.0
            output.flush()
    spent_s = time.process_time() - began_s
    os.close(descriptor)
    return spent_s / _REPLAY_COUNT


def _cpu_time_s(pid: int) -> float:
    """Returns the user and system CPU time of a process so far."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
