"""Moves of streams during a soak, while something else goes wrong.

Engines announce that they leave while streams of seconds run, so that daemons
move these. Meanwhile the target is killed, the source is restarted in place,
daemons are paused or killed, or the target leaves too. Clients take up streams
that may be resumed.
"""

import asyncio
import random
import signal
from collections.abc import Callable

from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import runs
from turmericcroft_lab.hosted import server_process
from turmericcroft_lab.hosted import soak_checks
from turmericcroft_lab.hosted import soak_handles
from turmericcroft_lab.hosted import soak_processes
from turmericcroft_lab.hosted import stream_checks

_ENGINE_COUNT = 4
_CLIENT_COUNT = 24
_MAX_TRIES = 3
_REQUEST_INTERVAL_S = 0.02
_MOVE_INTERVAL_S = (0.1, 0.4)
_MAX_LEAVING = 2
# Daemons order moves 0.7 s before an engine leaves.
_LEAVES_S = (0.6, 1.2)
# The transfers of a dozen streams follow one another within the second for
# which daemons wait for the answer.
_COPY_S = (0.0, 0.02)
_MOVE_ANSWER_S = (0.0, 0.25)
_FIRST_MOVE_ANSWER_S = 0.15
_REPEAT_INTERVAL_S = (0.0, 0.3)
_DISRUPTION_DELAY_S = (0.0, 0.15)
_DISRUPTION_TIMEOUT_S = 1.5
# Includes the start of the successor's process.
_COPY_TIMEOUT_S = 5.0
_PAUSE_S = (0.05, 1.0)
_POLL_S = 0.002
_KINDS = (
    "leave",
    "lose target",
    "replace target",
    "restart source",
    "pause daemons",
    "kill daemon",
    "move twice",
)
_PATHS = (("/stream/fixed", False), ("/stream/again", True))


class Moves:
    """The engines that leave during one soak, and the clients' streams.

    Attributes:
        engines: The engines.
        others: Further engines in processes of their own.
        own_ids: Ids of the requests that were sent to engines directly.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        seed: int,
        others: soak_processes.Processes,
    ) -> None:
        self.fleet = fleet
        self.seed = seed
        self.engines = soak_processes.Processes(fleet, seed)
        self.others = others
        self.own_ids: set[str] = set()

    @property
    def all(self) -> list[server_process.ServerProcess]:
        """All processes that were started."""
        return self.engines.all

    async def start(self, is_wanted: bool) -> None:
        """Starts the engines, if they are wanted."""
        await self.engines.start(
            _ENGINE_COUNT if is_wanted else 0,
            "m",
            move_answer_s=_FIRST_MOVE_ANSWER_S,
        )

    async def close(self) -> None:
        """Kills the engines."""
        await self.engines.close()

    async def run(
        self,
        results: list[soak_checks.RequestResult],
        faults: list[str],
        end_s: float,
    ) -> None:
        """Lets engines leave and reads streams until a time.

        Args:
            results: Results of the requests are added to it.
            faults: What is done is added to it.
            end_s: Monotonic time of the end.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._inject(faults, end_s))
            group.create_task(self._repeat_handles(faults, end_s))
            for number in range(_CLIENT_COUNT):
                group.create_task(self._run_client(number, results, end_s))

    async def _inject(self, faults: list[str], end_s: float) -> None:
        rng = random.Random(f"{self.seed}/moves")
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end_s:
                await asyncio.sleep(rng.uniform(*_MOVE_INTERVAL_S))
                port = rng.choice(sorted(self.engines.current))
                kind = rng.choice(_KINDS)
                draws = [random.Random(rng.random()) for _ in range(2)]
                faulty = self.engines.faulty
                if port not in faulty and len(faulty) < _MAX_LEAVING:
                    name = self.engines.current[port].options.name
                    faults.append(f"{kind} {name}")
                    # A second successor would wait for the port forever.
                    faulty.add(port)
                    group.create_task(self._leave(port, draws[0]))
                    group.create_task(self._disrupt(port, kind, draws[1]))

    async def _leave(self, port: int, rng: random.Random) -> None:
        """Lets an engine leave, and its successor take its place."""
        self.engines.faulty.add(port)
        process = self.engines.current[port]
        successor = await self.engines.launch_successor(
            process,
            copy_s=rng.uniform(*_COPY_S),
            move_answer_s=rng.uniform(*_MOVE_ANSWER_S),
        )
        left_s = rng.uniform(*_LEAVES_S)
        self.engines.register(
            process, state="draining", leaves_ms=int(left_s * 1_000)
        )
        await asyncio.sleep(left_s)
        process.send_signal(signal.SIGTERM)
        await successor.is_listening.wait()
        self.engines.register(successor)
        self.engines.faulty.discard(port)

    async def _disrupt(self, port: int, kind: str, rng: random.Random) -> None:
        """Injects another fault once a stream's move has begun."""
        source = self.engines.current[port]
        find_target = self._watch_copies(port)
        needs_copy = kind in ("lose target", "replace target", "move twice")
        if not await _wait_until(
            (lambda: find_target() is not None)
            if needs_copy
            else (lambda: bool(source.migration_orders))
        ):
            return
        await asyncio.sleep(rng.uniform(*_DISRUPTION_DELAY_S))
        match kind:
            case "lose target" | "replace target" | "move twice":
                target = find_target()
                assert target is not None
                await self._disrupt_target(target, kind, rng)
            case "restart source":
                source.send_signal(signal.SIGKILL)
            case "pause daemons":
                await self._pause_daemons(rng)
            case "kill daemon":
                name = rng.choice(sorted(self.fleet.daemons))
                daemon = self.fleet.daemons[name]
                if daemon.process.returncode is None:
                    daemon.process.kill()
                await daemon.process.wait()
                await self.fleet.restart(daemon, name)

    def _watch_copies(
        self, port: int
    ) -> Callable[[], server_process.ServerProcess | None]:
        """Returns what finds a process that got a copy from now on."""
        known = {process: len(process.copies) for process in self._current()}
        start = f"127.0.0.1:{port}/"

        def find_target() -> server_process.ServerProcess | None:
            for process, count in known.items():
                copies = process.copies[count:]
                if any(location.startswith(start) for location in copies):
                    return process
            return None

        return find_target

    async def _repeat_handles(self, faults: list[str], end_s: float) -> None:
        """Restarts sources whose successors give their handles again.

        The draws are its own, so that recorded seeds keep theirs.
        """
        rng = random.Random(f"{self.seed}/handles")
        while asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(rng.uniform(*_REPEAT_INTERVAL_S))
            pauses_daemons = rng.random() < 0.5
            own_rng = random.Random(rng.random())
            # One that ran more requests is likelier to run a stream.
            source = max(
                (
                    process
                    for port, process in sorted(self.engines.current.items())
                    if port not in self.engines.faulty
                    and process.options.move_answer_s
                    >= soak_handles.MIN_MOVE_ANSWER_S
                ),
                key=lambda process: len(process.executed),
                default=None,
            )
            if source is None:
                continue
            faults.append(f"repeat handles {source.options.name}")
            self.engines.faulty.add(source.options.port)
            async with asyncio.TaskGroup() as group:
                leaving = group.create_task(
                    self._leave(source.options.port, own_rng)
                )
                await self._restart_source(source, leaving, pauses_daemons)

    async def _restart_source(
        self,
        source: server_process.ServerProcess,
        leaving: asyncio.Task[None],
        pauses_daemons: bool,
    ) -> None:
        """Restarts a source that leaves, once its first copy has arrived."""
        port = source.options.port
        find_target = self._watch_copies(port)
        has_copy = await _wait_until(
            lambda: leaving.done() or find_target() is not None,
            _COPY_TIMEOUT_S,
        )
        if has_copy and not leaving.done():
            restart = soak_handles.Restart(
                source,
                self.engines.find_last(port),
                self._current(),
                [daemon.process for daemon in self.fleet.daemons.values()],
                pauses_daemons,
            )
            await soak_handles.run(restart, self.own_ids)

    async def _disrupt_target(
        self,
        target: server_process.ServerProcess,
        kind: str,
        rng: random.Random,
    ) -> None:
        port = target.options.port
        for processes in (self.engines, self.others):
            if (
                processes.current.get(port) is not target
                or port in processes.faulty
            ):
                continue
            if kind == "move twice" and processes is self.engines:
                await self._leave(port, rng)
            else:
                processes.faulty.add(port)
                fault = "replace" if kind == "replace target" else "kill"
                await processes.fail(port, fault, rng)

    async def _pause_daemons(self, rng: random.Random) -> None:
        names = sorted(self.fleet.daemons)
        daemons = [
            self.fleet.daemons[name]
            for name in rng.sample(names, rng.randint(1, len(names)))
        ]
        for number in (signal.SIGSTOP, signal.SIGCONT):
            for daemon in daemons:
                if daemon.process.returncode is None:
                    daemon.process.send_signal(number)
            if number == signal.SIGSTOP:
                await asyncio.sleep(rng.uniform(*_PAUSE_S))

    def _current(self) -> list[server_process.ServerProcess]:
        return [
            *self.engines.current.values(),
            *self.others.current.values(),
        ]

    async def _run_client(
        self,
        client: int,
        results: list[soak_checks.RequestResult],
        end_s: float,
    ) -> None:
        rng = random.Random(f"{self.seed}/moves/{client}")
        number = 0
        while asyncio.get_running_loop().time() < end_s:
            number += 1
            route, retryable = rng.choice(_PATHS)
            path = f"{route}{runs.LONG_PATH}"
            await self._read_stream(
                rng, f"v{client}-{number}", path, retryable, results
            )
            await asyncio.sleep(_REQUEST_INTERVAL_S)

    async def _read_stream(
        self,
        rng: random.Random,
        name: str,
        path: str,
        retryable: bool,
        results: list[soak_checks.RequestResult],
    ) -> None:
        """Reads one stream, and takes it up where it may be resumed."""
        last: stream_checks.Event | None = None
        began_by = ""
        for number in range(_MAX_TRIES if retryable else 1):
            request_id = f"{name}-{number}"
            position = 0 if last is None else last.position
            daemon = self.fleet.daemons[rng.choice(sorted(self.fleet.daemons))]
            status, body, complete = await fleets.call(
                daemon.ports[0],
                "POST",
                f"{path}{name}",
                request_id,
                b"x",
                resumption=(
                    fleets.Resumption(began_by, position) if began_by else None
                ),
            )
            results.append(
                soak_checks.RequestResult(
                    request_id,
                    path,
                    retryable,
                    status,
                    body,
                    complete,
                    position,
                )
            )
            events, _ = stream_checks.parse(body)
            if status == 200 and events:
                last = events[-1]
                began_by = began_by or request_id
            if last is not None and last.position == last.last_position:
                return


async def _wait_until(
    condition: Callable[[], bool], timeout_s: float = _DISRUPTION_TIMEOUT_S
) -> bool:
    try:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(_POLL_S)
    except TimeoutError:
        return False
    return True
