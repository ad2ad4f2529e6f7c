"""The operator's and the platform's part in a rollout, and its checks.

Servers of the new version start beside the old ones. At the status "completed"
the old ones stop at once; at "rolled_back" the new ones drain.
"""

import asyncio
import dataclasses
import json
import random
import typing
from collections.abc import Callable
from collections.abc import Sequence

from turmericcroft_lab.hosted import backend
from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import soak_checks
from turmericcroft_lab.hosted import store as stores

EXPOSURE_SHARE = 0.1
EXPOSURE_TOLERANCE = 50
ROLLBACK_TIMEOUT_S = 5.0
_MANY_BAD_ANSWERS = 50
_POLL_S = 0.02
_DRAIN_S = 2.0
# A rollout that has not ended this long after its deadline is given up.
_PATIENCE_S = 4.0
_RETRYABLE_PATHS = ("/read/", "/stream/again/")
_ORDER_PREFIX = "op/rollout/"
_STATUS_PREFIX = "status/rollout/"


def write_order(
    store: stores.HostedStore, service: str, target: str, duration_s: float
) -> None:
    """Orders a rollout as an operator does."""
    order = {"service": service, "target": target, "durationS": duration_s}
    store.write(_ORDER_PREFIX + service, order)


def withdraw(store: stores.HostedStore, service: str) -> None:
    """Withdraws the order of a service's rollout."""
    store.remove(_ORDER_PREFIX + service)


def read_status(
    store: stores.HostedStore, service: str
) -> tuple[str, str] | None:
    """Returns state and target of a service's status; None without one."""
    item = store.items.get(_STATUS_PREFIX + service)
    if item is None:
        return None
    raw = json.loads(item.value)
    return raw["state"], raw["target"]


@dataclasses.dataclass
class Rollout:
    """One rollout as the platform sees it.

    Attributes:
        service: The service.
        target: The software version.
        duration_s: Time within which it must end.
        old: Servers of the other versions.
        new: Servers of the target version.
        ordered_at_s: Monotonic time of the order.
        executed_before: Requests that each server had executed by then.
        states: States that the status stated, each with the time since the
            order.
        left_streams: Streams that ran on the old servers at "completed".
    """

    service: str
    target: str
    duration_s: float
    old: Sequence[backend.Backend]
    new: Sequence[backend.Backend]
    ordered_at_s: float
    executed_before: dict[str, int]
    states: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    left_streams: list[str] = dataclasses.field(default_factory=list)

    @property
    def ended(self) -> str:
        """The final state; empty before the end."""
        state = self.states[-1][0] if self.states else ""
        return state if state in ("completed", "rolled_back") else ""

    def count(self, servers: Sequence[backend.Backend]) -> int:
        """Counts the requests that servers executed since the order."""
        return sum(
            len(server.executed) - self.executed_before.get(server.name, 0)
            for server in servers
        )

    def find_violations(self, expected: str) -> list[str]:
        """Finds what the rollout did not keep.

        Args:
            expected: State in which it had to end.
        """
        name = f"{self.service} to {self.target}"
        violations = []
        finals = [s for s, _ in self.states if s != "in_progress"]
        if finals != [expected]:
            violations.append(f"{name}: expected {expected}, found {finals}")
        elif self.states[-1][1] > self.duration_s:
            violations.append(f"{name}: ended after {self.states[-1][1]:.2f} s")
        if self.left_streams:
            violations.append(f"{name}: streams {self.left_streams} left")
        if expected == "rolled_back":
            sent = self.count(self.new)
            total = sent + self.count(self.old)
            allowed = EXPOSURE_SHARE * total + EXPOSURE_TOLERANCE
            if sent > allowed:
                violations.append(f"{name}: {sent} of {total} sent to it")
            violations += self._find_late_sends(name)
        return violations

    def _find_late_sends(self, name: str) -> list[str]:
        bad = sorted(at for server in self.new for at in server.bad_answers)
        if len(bad) < _MANY_BAD_ANSWERS:
            return []
        latest_s = bad[-1] - bad[_MANY_BAD_ANSWERS - 1]
        if latest_s <= ROLLBACK_TIMEOUT_S:
            return []
        return [f"{name}: bad answers until {latest_s:.2f} s after the 50th"]


async def run(
    store: stores.HostedStore,
    service: str,
    target: str,
    duration_s: float,
    backends: dict[str, backend.Backend],
    register: Callable[..., None],
    stop: Callable[[backend.Backend], None] | None = None,
) -> Rollout:
    """Orders a rollout, and acts on its status until it ended.

    Args:
        store: The store.
        service: The service.
        target: The software version; its servers run already.
        duration_s: Time within which it must end.
        backends: All backend servers.
        register: Writes the entry of a server, with changes.
        stop: Removes the entry of a server for good; None if removing it from
            the store is enough.
    """
    loop = asyncio.get_running_loop()
    servers = [
        s
        for s in backends.values()
        if s.service == service and f"servers/{s.name}" in store.items
    ]
    rollout = Rollout(
        service,
        target,
        duration_s,
        [s for s in servers if s.version != target],
        [s for s in servers if s.version == target],
        loop.time(),
        {s.name: len(s.executed) for s in servers},
    )
    status_before = store.items.get(_STATUS_PREFIX + service)
    write_order(store, service, target, duration_s)
    end_s = loop.time() + duration_s + _PATIENCE_S
    while not rollout.ended and loop.time() < end_s:
        await asyncio.sleep(_POLL_S)
        status = read_status(store, service)
        if (
            status is None
            or store.items.get(_STATUS_PREFIX + service) is status_before
            or status[1] != target
        ):
            continue
        if not rollout.states or rollout.states[-1][0] != status[0]:
            age_s = loop.time() - rollout.ordered_at_s
            rollout.states.append((status[0], age_s))
    ending: Sequence[backend.Backend] = ()
    if rollout.ended == "completed":
        ending = rollout.old
        for server in ending:
            rollout.left_streams += server.executions
    elif rollout.ended == "rolled_back":
        ending = rollout.new
        for server in ending:
            register(server, state="draining")
        await asyncio.sleep(_DRAIN_S)
    for server in ending:
        if stop is not None:
            stop(server)
        store.remove(f"servers/{server.name}")
        await server.close()
    return rollout


@dataclasses.dataclass
class Load:
    """Requests that clients send, and how they ended.

    Attributes:
        sent: Number of requests sent.
        statuses: Number of answers, by status; 0 if none arrived.
        broken: Ids of the answers of status 200 that are incomplete.
        results: All requests and their answers.
    """

    sent: int = 0
    statuses: dict[int, int] = dataclasses.field(default_factory=dict)
    broken: list[str] = dataclasses.field(default_factory=list)
    results: list[soak_checks.RequestResult] = dataclasses.field(
        default_factory=list
    )

    @property
    def answered_share(self) -> float:
        """Part of the requests that were answered with status 200."""
        return self.statuses.get(200, 0) / max(1, self.sent)

    async def send(
        self, port: int, method: str, path: str, request_id: str
    ) -> None:
        """Sends one request."""
        self.sent += 1
        status, body, complete = await fleets.call(
            port,
            method,
            f"{path}{request_id}",
            request_id,
            b"x" if method == "POST" else b"",
        )
        self.results.append(
            soak_checks.RequestResult(
                request_id,
                path,
                path in _RETRYABLE_PATHS,
                status,
                body,
                complete,
            )
        )
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status == 200 and not complete:
            self.broken.append(request_id)

    async def run(
        self,
        list_ports: Callable[[], Sequence[int]],
        calls: Sequence[tuple[str, str]],
        rate_per_s: float,
        seed: typing.Any,
    ) -> None:
        """Sends requests at random daemons until cancelled.

        Args:
            list_ports: Lists the ports of the daemons that run.
            calls: Methods and paths, which take turns.
            rate_per_s: Mean number of requests per second.
            seed: Seed of the draws.
        """
        rng = random.Random(f"{seed}/load")
        tasks: set[asyncio.Task[None]] = set()
        number = 0
        try:
            while True:
                await asyncio.sleep(rng.expovariate(rate_per_s))
                number += 1
                method, path = calls[number % len(calls)]
                port = rng.choice(list(list_ports()))
                task = asyncio.create_task(
                    self.send(port, method, path, f"{seed}-{number}")
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            await asyncio.gather(*tasks, return_exceptions=True)
