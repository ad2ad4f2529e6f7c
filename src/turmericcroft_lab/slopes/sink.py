"""A lean caller of many streams; prints what it received as JSON."""

import asyncio
import json
import random
import sys
import time
import typing

import fire
import uvloop
from hdrh import histogram

_MARK = b"\nid: "
_MAX_GAP_US = 60_000_000


class SinkProtocol(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, request: bytes, tally: "Tally") -> None:
        self._request = request
        self._tally = tally
        self._last_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request."""
        typing.cast("asyncio.Transport", transport).write(self._request)

    def data_received(self, data: bytes) -> None:
        """Counts events and the gaps between reads."""
        tally = self._tally
        if not tally.counting:
            return
        events = data.count(_MARK)
        now_s = time.perf_counter()
        tally.reads += 1
        tally.events += events
        if events and self._last_s:
            gap_us = int((now_s - self._last_s) * 1e6)
            tally.gaps.record_value(min(gap_us, _MAX_GAP_US))
        if events:
            self._last_s = now_s

    def connection_lost(self, exc: Exception | None) -> None:
        """Counts connections that were lost."""
        del exc
        self._tally.lost += 1


class Tally:
    """Counts over all connections."""

    def __init__(self) -> None:
        self.counting = False
        self.events = 0
        self.reads = 0
        self.lost = 0
        self.gaps = histogram.HdrHistogram(1, _MAX_GAP_US, 3)


def run(ports: str, streams: int, warm_s: float, count_s: float) -> None:
    """Opens streams, counts for a while and prints the tally.

    Args:
        ports: Ports to connect to, separated by '+'.
        streams: Streams in all.
        warm_s: Time over which the streams are opened.
        count_s: Time that is counted.
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
    tally = Tally()
    loop = asyncio.get_running_loop()
    rng = random.Random(streams)
    for index in range(streams):
        await loop.create_connection(
            lambda: SinkProtocol(request, tally),
            "127.0.0.1",
            ports[index % len(ports)],
        )
        await asyncio.sleep(rng.uniform(0.5, 1.5) * warm_s / streams)
    await asyncio.sleep(1.0)
    sys.stdout.write("counting\n")
    sys.stdout.flush()
    tally.counting = True
    await asyncio.sleep(count_s)
    tally.counting = False
    result = {
        "events": tally.events,
        "reads": tally.reads,
        "lost": tally.lost,
        "gap_p50_ms": tally.gaps.get_value_at_percentile(50) / 1e3,
        "gap_p95_ms": tally.gaps.get_value_at_percentile(95) / 1e3,
        "gap_p99_ms": tally.gaps.get_value_at_percentile(99) / 1e3,
    }
    sys.stdout.write(json.dumps(result) + "\n")


if __name__ == "__main__":
    fire.Fire(run, name=sys.argv[0])
