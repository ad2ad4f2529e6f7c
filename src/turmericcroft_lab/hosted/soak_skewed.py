"""Releases during a soak that single daemons don't hear of in time.

Daemons are paused, or cut off from the store and all other daemons, while
servers of a new software version join a service and the old ones begin to drain
or the new ones vanish again. Clients begin streams elsewhere, and take them up
within milliseconds of the end at a daemon that was out of step. No stream may
hold events of two versions.

Each release is that of another service until all had one, because daemons that
have seen several versions lately infer nothing.
"""

import asyncio
import dataclasses
import random
import signal

from turmericcroft_lab.hosted import backend
from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import soak_releases

SERVICES = 8
# Builds that infer from old views do so only 2 s after the start of a fleet.
_SETTLING_S = 2.5
_SERVERS_PER_SERVICE = 2
_CLIENT_COUNT = 8
_PAUSE_S = (0.2, 0.8)
# Time from the start of a fault to the join of the new version.
_JOIN_AFTER_S = (0.0, 0.3)
# Time from there to the first streams.
_BEGIN_AFTER_S = (0.2, 0.6)
# The same if all streams are to begin at the new version.
_KNOWN_AFTER_S = 1.5
# Time from there to the end of the fault.
_HEAL_AFTER_S = (0.2, 2.0)
_RETURN_AFTER_S = (0.0, 0.02)
_VANISHING_SHARE = 0.25
_CONTACT_S = 3.0
_STOP = "STOP"
_FAULTS = (_STOP, *fleets.Isolation)
_MIN_TAKEN_UP_SHARE = 0.5


@dataclasses.dataclass
class _Service:
    """A service whose servers have one software version between releases.

    Attributes:
        name: Its name.
        version: Number of the version.
        servers: Servers of that version.
    """

    name: str
    version: int
    servers: list[backend.Backend]


class Skew:
    """Releases beside daemons that are out of step.

    Attributes:
        fleet: The fleet, whose daemons can be isolated.
        streams: Streams that clients read.
        faults: What was done.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        seed: int,
        streams: list[soak_releases.Stream],
        faults: list[str],
    ) -> None:
        self.fleet = fleet
        self.streams = streams
        self.faults = faults
        self._random = random.Random(f"{seed}/skewed")
        self._services: list[_Service] = []
        self._idle: list[_Service] = []
        self._in_step: set[str] = set()
        self._releases = 0

    async def start(self, enabled: bool) -> None:
        """Adds the servers of the services; called once the daemons run.

        Args:
            enabled: Whether releases are to be played at all.
        """
        for number in range(SERVICES if enabled else 0):
            service = _Service(fleets.skewed_service(number), 1, [])
            await self._add_servers(service)
            self._services.append(service)
        self._idle = list(self._services)
        self._in_step = set(self.fleet.daemons)
        if enabled:
            await asyncio.sleep(_SETTLING_S)

    async def run(self, end_s: float) -> None:
        """Plays releases that overlap, until a monotonic time."""
        async with asyncio.TaskGroup() as group:
            while self._services and asyncio.get_running_loop().time() < end_s:
                await asyncio.sleep(self._random.uniform(*_PAUSE_S))
                if len(self._in_step) > 1 and self._idle:
                    group.create_task(self._play(self._idle.pop(0)))

    async def find_violations(self) -> list[str]:
        """Plays one release while all else is well.

        Returns:
            A violation if too few of its streams go on.
        """
        if not self._services:
            return []
        begun = len(self.streams)
        await self._play(self._idle.pop(0), is_last=True)
        played = self.streams[begun:]
        whole = sum(stream.is_whole for stream in played)
        if whole >= _MIN_TAKEN_UP_SHARE * len(played):
            return []
        return [f"{whole} of {len(played)} streams of a release were taken up"]

    async def _play(self, service: _Service, is_last: bool = False) -> None:
        """Plays a release while daemons are out of step.

        Args:
            service: The service.
            is_last: Whether all of its streams can be whole.
        """
        rng = random.Random(f"{self._random.random()}")
        names = rng.sample(
            sorted(self._in_step), rng.randint(1, len(self._in_step) - 1)
        )
        fault = rng.choice(_FAULTS)
        vanishes = not is_last and rng.random() < _VANISHING_SHARE
        label = fault if isinstance(fault, str) else fault.value
        self.faults.append(
            f"skew {label} {' '.join(names)}, release {service.name}"
            f"{', vanishes' if vanishes else ''}"
        )
        self._in_step.difference_update(names)
        for name in names:
            await self._begin(name, fault)
        await asyncio.sleep(rng.uniform(*_JOIN_AFTER_S))
        old = list(service.servers)
        service.version += 1
        await self._add_servers(service)
        for server in old:
            self.fleet.register(server, state="draining")
        await asyncio.sleep(
            _KNOWN_AFTER_S if is_last else rng.uniform(*_BEGIN_AFTER_S)
        )
        healed = asyncio.Event()
        self._releases += 1
        async with asyncio.TaskGroup() as group:
            for number in range(_CLIENT_COUNT):
                client = f"k{self._releases}-{number}"
                returning = _Returning(
                    random.Random(f"{rng.random()}"),
                    self.fleet,
                    sorted(self._in_step),
                    names,
                    healed,
                )
                group.create_task(self._read(returning, service.name, client))
            await asyncio.sleep(rng.uniform(*_HEAL_AFTER_S))
            if vanishes:
                self._swap(service, old)
            for name in names:
                await self._end(name, fault)
            self.faults.append(f"heal {' '.join(names)}")
            healed.set()
        self._in_step.update(names)
        await asyncio.sleep(_CONTACT_S)
        for server in [] if vanishes else old:
            self.fleet.stop_backend(server)
            service.servers.remove(server)
        self._idle.append(service)

    async def _read(
        self, returning: "_Returning", service: str, client: str
    ) -> None:
        self.streams.append(
            await soak_releases.read_stream(
                self.fleet, returning.choose, f"/stream/{service}/", client
            )
        )

    def _swap(self, service: _Service, old: list[backend.Backend]) -> None:
        """Removes the servers of the new version and takes back the old."""
        for server in service.servers:
            if server not in old:
                self.fleet.stop_backend(server)
        for server in old:
            self.fleet.register(server)
        service.servers = old

    async def _add_servers(self, service: _Service) -> None:
        for _ in range(_SERVERS_PER_SERVICE):
            service.servers.append(
                await self.fleet.add_backend(
                    service.name, f"v{service.version}"
                )
            )

    async def _begin(self, name: str, fault: str | fleets.Isolation) -> None:
        match fault:
            case fleets.Isolation():
                await self.fleet.isolate(name, fault)
            case _:
                self._signal(name, signal.SIGSTOP)

    async def _end(self, name: str, fault: str | fleets.Isolation) -> None:
        match fault:
            case fleets.Isolation():
                await self.fleet.isolate(name, None)
            case _:
                self._signal(name, signal.SIGCONT)

    def _signal(self, name: str, number: signal.Signals) -> None:
        process = self.fleet.daemons[name].process
        if process.returncode is None:
            process.send_signal(number)


@dataclasses.dataclass
class _Returning:
    """A client that begins a stream and returns where a fault has ended.

    Attributes:
        rng: Source of its draws.
        fleet: The fleet.
        in_step: Daemons at which it may begin.
        healed_daemons: Daemons that are out of step until the heal.
        healed: Set at the heal.
    """

    rng: random.Random
    fleet: fleets.Fleet
    in_step: list[str]
    healed_daemons: list[str]
    healed: asyncio.Event

    async def choose(self, number: int) -> str:
        """Returns the daemon of a try; waits for the heal before the second."""
        if number == 0:
            return self.rng.choice(self.in_step)
        await self.healed.wait()
        if number == 1:
            await asyncio.sleep(self.rng.uniform(*_RETURN_AFTER_S))
        return self.rng.choice(self.healed_daemons)
