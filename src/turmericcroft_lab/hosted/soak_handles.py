"""Handles that a new process of an engine gives again, during a soak.

A handle names a KV cache within one process. A source is killed once it has
copied the runs that daemons moved, and the process that takes its port moves
runs of its own to the same targets, under the same handles. Meanwhile either
the daemons are paused, which hold the handles of the former process, or the
targets are, which have lost the copies and refuse the requests that go on from
them, so that these go on at the source's address.
"""

import asyncio
import dataclasses
import signal
from collections.abc import Callable
from collections.abc import Sequence

from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import moves
from turmericcroft_lab.hosted import runs
from turmericcroft_lab.hosted import server_process

# A source that answers orders later than this is paused before its answer.
MIN_MOVE_ANSWER_S = 0.1
# Time for further orders of the same moment.
_ORDERS_S = 0.03
# Time for answers to reach the daemons, and for their requests.
_DELIVERY_S = 0.05
_LISTEN_TIMEOUT_S = 0.5
_POLL_S = 0.002
# Position of the own runs: most moved streams have made fewer events.
_OWN_EVENTS = 20
_NOWHERE = "127.0.0.1:1"


@dataclasses.dataclass(frozen=True)
class Restart:
    """A source that is killed while the handles that it gave are in use.

    Attributes:
        source: The process that is killed.
        successor: The process that takes its port.
        targets: Processes of all engines.
        daemons: Processes of the daemons.
        pauses_daemons: Whether the daemons are paused meanwhile; if not, the
            targets lose the copies and are paused.
    """

    source: server_process.ServerProcess
    successor: server_process.ServerProcess
    targets: Sequence[server_process.ServerProcess]
    daemons: Sequence[asyncio.subprocess.Process]
    pauses_daemons: bool


async def run(restart: Restart, own_ids: set[str]) -> None:
    """Restarts a source, whose first copy has arrived, and repeats its handles.

    Args:
        restart: What is restarted.
        own_ids: Ids of the requests that are sent to the new process are added
            to it.
    """
    paused: list[asyncio.subprocess.Process] = []
    tasks: list[asyncio.Task[object]] = []
    try:
        if restart.pauses_daemons:
            paused = list(restart.daemons)
        else:
            await asyncio.sleep(_ORDERS_S)
            paused = await _free_copies(restart)
        _send(paused, signal.SIGSTOP)
        await asyncio.sleep(
            restart.source.options.copy_s
            + restart.source.options.move_answer_s
            + _DELIVERY_S
        )
        restart.source.send_signal(signal.SIGKILL)
        async with asyncio.timeout(_LISTEN_TIMEOUT_S):
            await restart.successor.is_listening.wait()
            await _move_own_runs(restart, own_ids, tasks)
    except TimeoutError:
        # The busy machine started no other process in time.
        pass
    finally:
        _send(paused, signal.SIGCONT)
        await asyncio.gather(*tasks)


async def _free_copies(
    restart: Restart,
) -> list[asyncio.subprocess.Process]:
    """Frees the source's copies at their targets; returns the processes."""
    start = f"127.0.0.1:{restart.source.options.port}/"
    found = []
    for target in restart.targets:
        locations = [c for c in target.copies if c.startswith(start)]
        if locations and target is not restart.source:
            found.append(target.process)
        for location in locations:
            await moves.call(
                f"127.0.0.1:{target.options.port}",
                "DELETE",
                f"/turmericcroft/kv-handle/{location.partition('/')[2]}",
                {"location": location},
            )
    return found


async def _move_own_runs(
    restart: Restart, own_ids: set[str], tasks: list[asyncio.Task[object]]
) -> None:
    """Lets the new process move a run for each order of the former one."""
    successor = restart.successor
    port = successor.options.port
    for number, order in enumerate(restart.source.migration_orders):
        own_id = f"own-{port}-{successor.options.started_at_ms}-{number}"
        own_ids.add(own_id)
        stream = fleets.call(
            port,
            "POST",
            f"/stream/again{runs.LONG_PATH}own",
            own_id,
            resumption=fleets.Resumption("", _OWN_EVENTS),
        )
        tasks.append(asyncio.create_task(stream))
        await _until(lambda own_id=own_id: own_id in successor.executed)  # type: ignore[misc]
        target = order["target"] if restart.pauses_daemons else _NOWHERE
        fields = {"id": own_id, "target": target, "final": True}
        move = moves.call(
            f"127.0.0.1:{port}", "POST", "/turmericcroft/kv-move", fields
        )
        tasks.append(asyncio.create_task(move))
        # Handles are given in the order of the calls.
        await _until(
            lambda number=number: len(successor.migration_orders) > number  # type: ignore[misc]
        )
    await asyncio.sleep(successor.options.copy_s + _DELIVERY_S)


async def _until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(_POLL_S)


def _send(
    processes: Sequence[asyncio.subprocess.Process], number: signal.Signals
) -> None:
    for process in processes:
        if process.returncode is None:
            process.send_signal(number)
