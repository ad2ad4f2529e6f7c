"""Guarantees that a soak checks, by what clients and servers observed."""

import collections
import dataclasses
from collections.abc import Collection
from collections.abc import Iterable

from turmericcroft_lab.hosted import backend
from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import server_process
from turmericcroft_lab.hosted import stream_checks

_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True)
class RequestResult:
    """A client's request and its result.

    Attributes:
        request_id: Id of the request.
        path: Path without the number of the request.
        retryable: Whether the gateway may execute it more than once.
        status: HTTP status; 0 if no response arrived.
        body: Body of the response.
        complete: Whether the response is complete.
        resume_after: Position after which the client took a stream up.
    """

    request_id: str
    path: str
    retryable: bool
    status: int
    body: bytes
    complete: bool
    resume_after: int = 0


Servers = Iterable[backend.Backend | server_process.ServerProcess]


@dataclasses.dataclass(frozen=True)
class StreamCounts:
    """Streams of a soak.

    Attributes:
        begun: Number of responses that are streams.
        moved: Number of times that a stream went on from a KV cache.
        resumed: Number of responses that hold events of several runs.
        taken_up: Number of times that a stream went on for a client that took
            it up.
    """

    begun: int
    moved: int
    resumed: int
    taken_up: int


def count_streams(
    results: Iterable[RequestResult], servers: Servers
) -> StreamCounts:
    """Counts the streams of a soak and how they went on."""
    streams = [
        (result, stream_checks.parse(result.body)[0])
        for result in results
        if "/stream/" in result.path and result.status == 200
    ]
    return StreamCounts(
        len(streams),
        sum(len(server.continued) for server in servers),
        sum(len({event.run for event in events}) > 1 for _, events in streams),
        sum(
            result.resume_after > 0 and bool(events)
            for result, events in streams
        ),
    )


def find_violations(
    fleet: fleets.Fleet,
    results: list[RequestResult],
    final_results: list[RequestResult],
    other_requests: Collection[str] = (),
    processes: Collection[server_process.ServerProcess] = (),
) -> list[str]:
    """Finds violated guarantees in what clients and servers observed.

    Args:
        fleet: The fleet, with what its backend servers executed.
        results: Results of all requests.
        final_results: Results of the requests sent after all faults had ended.
        other_requests: Ids of the requests that have checks of their own.
        processes: Server processes beside the fleet's servers.
    """
    violations: list[str] = []
    sent = {result.request_id for result in results} | set(other_requests)
    executions: dict[str, int] = {}
    servers: list[backend.Backend | server_process.ServerProcess] = [
        *fleet.backends.values(),
        *processes,
    ]
    for server in servers:
        for request_id in server.executed:
            executions[request_id] = executions.get(request_id, 0) + 1
    continued = collections.Counter(
        request_id for server in servers for request_id in server.continued
    )
    violations += [f"{r}: run unasked" for r in executions if r not in sent]
    violations += [
        f"{request_id}: sent once more for a KV cache that was used"
        for server in servers
        for request_id in server.reused
    ]
    violations += _find_duty_violations(fleet)
    for result in results:
        count = executions.get(result.request_id, 0)
        # What goes on from a KV cache is part of the same run.
        run_count = count - continued[result.request_id]
        if not result.retryable and run_count > 1:
            violations.append(f"{result.request_id}: ran {run_count} times")
        if (
            not result.retryable
            and result.status in _NOT_EXECUTED_STATUSES
            and count
        ):
            violations.append(f"{result.request_id}: {result.status} but ran")
        if result.status == 200:
            violations += [
                f"{result.request_id}: {fault}"
                for fault in _find_answer_faults(result)
            ]
    if final_results and sum(
        result.status == 200 for result in final_results
    ) < 0.9 * len(final_results):
        violations.append("after all faults ended: less than 0.9 are answered")
    return violations


def _find_duty_violations(fleet: fleets.Fleet) -> list[str]:
    """Finds duties that two daemons performed, by the calls to the cloud."""
    violations: list[str] = []
    holders: dict[int, str] = {}
    counts: dict[object, object] = {}
    for call in fleet.cloud.calls:
        if holders.setdefault(call.token, call.holder) != call.holder:
            violations.append(f"token {call.token}: sent by two holders")
        if call.path == "/usage":
            window = call.body["windowNumber"]
            reported = call.body["counts"]
            if counts.setdefault(window, reported) != reported:
                violations.append(f"window {window}: reported differently")
    return violations


def _find_answer_faults(result: RequestResult) -> list[str]:
    """Finds what is wrong with a successful answer."""
    if "/stream/" in result.path:
        return stream_checks.find_faults(
            result.body,
            stream_checks.Expected(
                result.retryable,
                result.complete,
                result.resume_after,
                result.request_id,
            ),
        )
    start = f"answer to {result.request_id} by ".encode()
    if result.complete and not result.body.startswith(start):
        return ["not its own whole answer"]
    return []
