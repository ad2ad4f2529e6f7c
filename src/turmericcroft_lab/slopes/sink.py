"""Minimal client of many streams; prints counts of what it received as JSON.

It counts events without parsing them, so that it uses little CPU time.
"""

import asyncio
import json
import random
import sys
import time
import typing

import fire
import uvloop
from hdrh import histogram

_EVENT_START = b"\nid: "
_MAX_GAP_US = 60_000_000


class SinkProtocol(asyncio.Protocol):
    """Connection that receives one stream."""

    def __init__(self, request: bytes, counters: "Counters") -> None:
        self._request = request
        self._counters = counters
        self._last_event_at_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request."""
        typing.cast("asyncio.Transport", transport).write(self._request)

    def data_received(self, data: bytes) -> None:
        """Counts events and the gaps between reads."""
        counters = self._counters
        if not counters.is_counting:
            return
        events = data.count(_EVENT_START)
        now_s = time.perf_counter()
        counters.reads += 1
        counters.events += events
        if events and self._last_event_at_s:
            gap_us = int((now_s - self._last_event_at_s) * 1e6)
            counters.gaps.record_value(min(gap_us, _MAX_GAP_US))
        if events:
            self._last_event_at_s = now_s

    def connection_lost(self, exc: Exception | None) -> None:
        """Counts the connection as lost."""
        del exc
        self._counters.lost += 1


class Counters:
    """Counts of all connections.

    Attributes:
        is_counting: Whether received data is counted.
        events: Received events.
        reads: Reads that received data.
        lost: Lost connections.
        gaps: Histogram of the time between reads with events on a connection,
            in microseconds.
    """

    def __init__(self) -> None:
        self.is_counting = False
        self.events = 0
        self.reads = 0
        self.lost = 0
        self.gaps = histogram.HdrHistogram(1, _MAX_GAP_US, 3)


def run(ports: str, streams: int, warm_s: float, count_s: float) -> None:
    """Opens streams, counts what they receive and prints the counters.

    Args:
        ports: Ports to connect to, separated by '+'.
        streams: Number of streams over all ports.
        warm_s: Time over which the streams are opened.
        count_s: Time during which received data is counted.
    """
    targets = [int(port) for port in str(ports).split("+")]
    uvloop.run(_measure(targets, streams, warm_s, count_s))


async def _measure(
    ports: list[int], streams: int, warm_s: float, count_s: float
) -> None:
    body = json.dumps(
        {
            "model": "survey",
            "prompt": "roof " * 40,
            "max_tokens": 10_000,
            "stream": True,
        }
    ).encode()
    request = (
        b"POST /v1/completions HTTP/1.1\r\nHost: sink\r\n"
        b"Authorization: Bearer north-key\r\n"
        b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
    ) % (len(body), body)
    counters = Counters()
    loop = asyncio.get_running_loop()
    rng = random.Random(streams)
    for index in range(streams):
        await loop.create_connection(
            lambda: SinkProtocol(request, counters),
            "127.0.0.1",
            ports[index % len(ports)],
        )
        await asyncio.sleep(rng.uniform(0.5, 1.5) * warm_s / streams)
    await asyncio.sleep(1.0)
    sys.stdout.write("counting\n")
    sys.stdout.flush()
    counters.is_counting = True
    await asyncio.sleep(count_s)
    counters.is_counting = False
    result = {
        "events": counters.events,
        "reads": counters.reads,
        "lost": counters.lost,
        "gap_p50_ms": counters.gaps.get_value_at_percentile(50) / 1e3,
        "gap_p95_ms": counters.gaps.get_value_at_percentile(95) / 1e3,
        "gap_p99_ms": counters.gaps.get_value_at_percentile(99) / 1e3,
    }
    sys.stdout.write(json.dumps(result) + "\n")


if __name__ == "__main__":
    fire.Fire(run, name=sys.argv[0])
