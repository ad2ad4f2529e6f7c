"""Releases during a soak: engines change versions while clients return.

Two software versions serve side by side; engines are replaced one after the
other. Clients leave streams midway and take them up at other daemons. No stream
may hold events of two versions.
"""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Awaitable
from collections.abc import Callable

from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import stream_checks

_PATH = "/stream/again/"
VERSIONS = ("v1", "v1.1")
_EVENT_COUNT = 5
_LEAVE_AFTER_EVENTS = 2
_MAX_TRIES = 4
# Clients wait as long as a refusal states, up to a third of their deadline.
_MAX_WAIT_S = 1.0
_CLIENT_COUNT = 2
_REQUEST_INTERVAL_S = 0.05
_RELEASE_INTERVAL_S = (0.5, 2.0)
# Daemons know a server's version within this time.
_CONTACT_S = 3.0
_FINAL_STREAMS = 16
_MIN_TAKEN_UP_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Stream:
    """A stream over all tries of its client.

    Attributes:
        request_ids: Ids of the tries.
        events: The events received, in order.
        faults: What was no event, and ends as complete that came too early.
    """

    request_ids: tuple[str, ...]
    events: tuple[stream_checks.Event, ...]
    faults: tuple[str, ...]

    @property
    def is_whole(self) -> bool:
        """Whether its client has got all of its events."""
        return len(self.events) == _EVENT_COUNT

    @property
    def is_taken_up(self) -> bool:
        """Whether it went on for its client in a later try."""
        return len({event.request_id for event in self.events}) > 1


# Returns the daemon that a client asks in its first, second or later try.
Choose = Callable[[int], Awaitable[str]]


async def run(
    fleet: fleets.Fleet,
    seed: int,
    streams: list[Stream],
    faults: list[str],
    end_s: float,
) -> None:
    """Replaces engines while clients return, until a time.

    Args:
        fleet: The fleet.
        seed: Seed of the draws, which are its own.
        streams: The streams that clients read are added to it.
        faults: What is done is added to it.
        end_s: Monotonic time of the end.
    """
    async with asyncio.TaskGroup() as group:
        rng = random.Random(f"{seed}/releases")
        group.create_task(release_forever(fleet, rng, faults, end_s))
        for number in range(_CLIENT_COUNT):
            rng = random.Random(f"{seed}/returns/{number}")
            group.create_task(
                run_client(fleet, rng, f"s{number}", streams, end_s)
            )


async def release_forever(
    fleet: fleets.Fleet, rng: random.Random, faults: list[str], end_s: float
) -> None:
    """Replaces one engine after the other by one of another version."""
    while asyncio.get_running_loop().time() < end_s:
        await asyncio.sleep(rng.uniform(*_RELEASE_INTERVAL_S))
        name = rng.choice(
            [n for n, s in fleet.backends.items() if s.service == "engines"]
        )
        if name in fleet.crashed:
            continue
        version = rng.choice(VERSIONS)
        faults.append(f"release {name} {version}")
        await replace(fleet, name, version)


async def replace(fleet: fleets.Fleet, name: str, version: str) -> None:
    """Drains a server and starts another one in its place."""
    fleet.crashed.add(name)
    fleet.register(fleet.backends[name], state="draining")
    await asyncio.sleep(_CONTACT_S)
    await fleet.replace(name, version)
    fleet.crashed.discard(name)


async def run_client(
    fleet: fleets.Fleet,
    rng: random.Random,
    client: str,
    streams: list[Stream],
    end_s: float,
) -> None:
    """Begins streams and takes them up at other daemons."""
    number = 0
    while asyncio.get_running_loop().time() < end_s:
        number += 1
        streams.append(
            await read_stream(
                fleet, _any_daemon(fleet, rng), _PATH, f"{client}-{number}"
            )
        )
        await asyncio.sleep(_REQUEST_INTERVAL_S)


def _any_daemon(fleet: fleets.Fleet, rng: random.Random) -> Choose:
    async def choose(_: int) -> str:
        return rng.choice(sorted(fleet.daemons))

    return choose


async def read_stream(
    fleet: fleets.Fleet, choose: Choose, path: str, name: str
) -> Stream:
    """Reads one stream, in several tries if it breaks or the client leaves.

    A refused client waits before it comes back, maybe at the same daemon.

    Args:
        fleet: The fleet.
        choose: Returns the daemon of each try.
        path: Path of the stream's route.
        name: Name of the stream.
    """
    request_ids: list[str] = []
    events: list[stream_checks.Event] = []
    faults: list[str] = []
    began_by = ""
    for number in range(_MAX_TRIES):
        request_id = f"{name}-{number}"
        daemon = await choose(number)
        resumption = None
        if events:
            resumption = fleets.Resumption(began_by, events[-1].position)
        answer = await fleets.exchange(
            fleet.daemons[daemon].ports[0],
            "POST",
            f"{path}{name}",
            request_id,
            b"x",
            resumption=resumption,
            leave_after_events=None if events else _LEAVE_AFTER_EVENTS,
        )
        request_ids.append(request_id)
        if answer.status == 200:
            received, found = stream_checks.parse(answer.body)
            events += received
            faults += found
            began_by = began_by or (request_id if received else "")
            if answer.complete and len(events) < _EVENT_COUNT:
                faults.append(f"complete after {len(events)} events")
        if answer.complete and len(events) >= _EVENT_COUNT:
            break
        await asyncio.sleep(min(answer.retry_after_s, _MAX_WAIT_S))
    return Stream(tuple(request_ids), tuple(events), tuple(faults))


def find_violations(streams: list[Stream]) -> list[str]:
    """Finds streams with events of two versions, missing or repeated ones."""
    violations = []
    for stream in streams:
        name = stream.request_ids[0]
        versions = {event.version for event in stream.events}
        if len(versions) > 1:
            violations.append(f"{name}: events of {sorted(versions)}")
        faults = stream.faults + tuple(
            stream_checks.find_event_faults(
                stream.events, stream_checks.Expected(True, False)
            )
        )
        violations += [f"{name}: {fault}" for fault in faults]
    return violations


async def find_lost(
    fleet: fleets.Fleet, rng: random.Random, streams: list[Stream]
) -> list[str]:
    """Takes streams up while all is well and two versions serve.

    Args:
        fleet: The fleet.
        rng: Source of the draws.
        streams: These streams are added to it.

    Returns:
        A violation if too few of them go on.
    """
    engines = [s for s in fleet.backends.values() if s.service == "engines"]
    for server, version in zip(
        engines, itertools.cycle(VERSIONS), strict=False
    ):
        await fleet.replace(server.name, version)
    await asyncio.sleep(_CONTACT_S)
    taken_up = [
        await read_stream(
            fleet, _any_daemon(fleet, rng), _PATH, f"final-{number}"
        )
        for number in range(_FINAL_STREAMS)
    ]
    streams += taken_up
    whole = sum(stream.is_whole for stream in taken_up)
    if whole >= _MIN_TAKEN_UP_SHARE * len(taken_up):
        return []
    return [f"{whole} of {len(taken_up)} streams were taken up"]
