"""Rollouts during a soak: a good and a bad version, with and without faults.

Requests are sent until the deadline: the bound on what a bad version gets is a
part of all that reach the service by then. While faults are injected, a good
version may look bad, so that either end is right for it; a bad one must never
be completed. Both must end by the deadline, when the faults have ended.
"""

import asyncio
import random

from turmericcroft.control import process_delays
from turmericcroft.eventlog import reading
from turmericcroft_lab.hosted import backend
from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import rollouts
from turmericcroft_lab.hosted import soak_checks

_GOOD, _BAD = "plain", "engines"
_SERVER_COUNT = 3
# Time after the last fault by which rollouts under faults must end.
_RECOVERY_S = 9.0
_DURATION_S = 12.0
_RATE_PER_S = 60.0
# Time that requests of the good version and of those before it take. Several
# times as long is more than the delays of the process that all servers share.
_PROCESSING_S = 0.1
_EXPLAINED_LINES = 12
_FAULTS = (
    backend.VersionFault(failing_share=0.7),
    backend.VersionFault(failing_share=0.7, after_s=3.0),
    backend.VersionFault(slow_share=0.7, slow_factor=8.0),
    backend.VersionFault(failing_share=0.8, path="/stream/again/"),
)
_CALLS = (
    ("GET", "/read/"),
    ("POST", "/book/"),
    ("POST", "/stream/again/"),
    ("POST", "/stream/fixed/"),
)


class Rolling:
    """Rolls out a good and a bad version while faults are injected."""

    def __init__(self, fleet: fleets.Fleet, seed: int) -> None:
        self.fleet = fleet
        self.seed = seed
        self.delays = process_delays.ProcessDelays()
        self._loads: list[rollouts.Load] = []
        self._task: asyncio.Task[list[rollouts.Rollout]] | None = None

    def start(self, is_wanted: bool, faults: list[str], end_s: float) -> None:
        """Begins the rollouts if they are wanted.

        Args:
            is_wanted: Whether the soak has rollouts.
            faults: What is done is added to it.
            end_s: Monotonic time at which the faults end.
        """
        if not is_wanted:
            return
        for server in self.fleet.backends.values():
            server.processing_s = _PROCESSING_S
        now_s = asyncio.get_running_loop().time()
        duration_s = end_s - now_s + _RECOVERY_S
        rng = random.Random(f"{self.seed}/rollouts")
        self._task = asyncio.create_task(
            self._roll_out(rng, faults, "v2", duration_s)
        )

    def cancel(self) -> None:
        """Stops acting on the rollouts."""
        if self._task is not None:
            self._task.cancel()

    async def find_violations(
        self, results: list[soak_checks.RequestResult]
    ) -> list[str]:
        """Checks the rollouts under faults, and two more without any.

        Args:
            results: Results of the requests are added to it.
        """
        if self._task is None:
            return []
        good, bad = await self._task
        violations = self._check(bad, "rolled_back")
        violations += self._check(good, good.ended or "completed")
        rng = random.Random(f"{self.seed}/final rollouts")
        loop = asyncio.get_running_loop()
        self.delays.keep_measuring(loop.time(), 2.0 * _DURATION_S)
        good, bad = await self._roll_out(rng, [], "v3", _DURATION_S)
        violations += self._check(bad, "rolled_back")
        violations += self._check(good, "completed")
        violations += [f"{name}: broken off" for name in self._loads[-1].broken]
        for load in self._loads:
            results += load.results
        return violations

    def _check(self, rollout: rollouts.Rollout, expected: str) -> list[str]:
        """Finds what a rollout did not keep, with the daemons' reasons.

        The store, the servers and the clients run in this process, so its own
        delays in the final round are stated, too.
        """
        violations = rollout.find_violations(expected)
        if not violations:
            return []
        lines = reading.parse_lines(
            line
            for daemon in self.fleet.daemons.values()
            for line in daemon.log.read_text("utf-8", "replace").splitlines()
        )
        reasons = [
            reason
            for reason in reading.explain_rollout(lines, rollout.service)
            if rollout.target in reason
        ]
        delayed_s = self.delays.total_s(asyncio.get_running_loop().time())
        shown = " | ".join(reasons[-_EXPLAINED_LINES:])
        return [
            f"{violation} (this process did not run for {delayed_s:.2f} s, "
            f"{self.delays.longest_s:.2f} s at most): {shown}"
            for violation in violations
        ]

    async def _roll_out(
        self,
        rng: random.Random,
        faults: list[str],
        target: str,
        duration_s: float,
    ) -> list[rollouts.Rollout]:
        """Rolls a good and a bad version out under load; returns both."""
        load = rollouts.Load()
        self._loads.append(load)
        task = asyncio.create_task(
            load.run(
                lambda: [d.ports[0] for d in self.fleet.daemons.values()],
                _CALLS,
                _RATE_PER_S,
                f"{self.seed}-{target}",
            )
        )
        try:
            return await _roll_out(self.fleet, rng, faults, target, duration_s)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


async def _roll_out(
    fleet: fleets.Fleet,
    rng: random.Random,
    faults: list[str],
    target: str,
    duration_s: float,
) -> list[rollouts.Rollout]:
    """Rolls a good and a bad version out at once; returns both."""
    fault = rng.choice(_FAULTS)
    for service in (_GOOD, _BAD):
        for _ in range(_SERVER_COUNT):
            server = await fleet.add_backend(service, target)
            server.processing_s = _PROCESSING_S
            server.version_fault = fault if service == _BAD else None
    faults.append(f"roll out {target}, bad by {fault}")
    return await asyncio.gather(
        *(
            rollouts.run(
                fleet.store,
                service,
                target,
                duration_s,
                fleet.backends,
                fleet.register,
                fleet.stop_backend,
            )
            for service in (_GOOD, _BAD)
        )
    )
