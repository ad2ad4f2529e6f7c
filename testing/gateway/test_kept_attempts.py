"""Requests whose first server is late, while another one is tried.

The first attempt is kept until another server accepts the request, so that a
refusal there doesn't cost the answer that the first server was about to send.
"""

import asyncio
import dataclasses

import pytest

from testing.gateway import conftest
from turmericcroft.attempts import kept_attempts
from turmericcroft.gateway import answer
from turmericcroft.gateway import facts
from turmericcroft_lab.hosted import backend

Behaviour = backend.Behaviour

_FACTS = facts.ResponseFacts("r1", True, False, False, None, None, None)
_STREAMED, _LOST = answer.StreamCompleted(), answer.ResponseLost("reset", False)
# Longer than the time after which another server is tried.
_LATE_S = 0.7
# Within this time the servers of a request that has ended must stop (GONE).
_STOP_S = 0.5
_READ = ("GET", "/read/1")


async def prefer_first(world, service="plain"):
    """Returns a client and the servers; requests go to the first one first."""
    first, *others = world.servers_of(service)
    state, now_s = world.daemons[0].state, asyncio.get_running_loop().time()
    for server in others:
        state.loads.pause(server.name, now_s + 0.2)
    return await world.client(), first, *others


def make_late(server, late_s=_LATE_S):
    server.processing_s = server.event_interval_s = late_s
    server.event_count = 2


async def until_cancelled(world, server):
    await world.until(lambda: server.received[0].cancelled, _STOP_S)


def count_open(world, server):
    """Attempts that the daemon counts at a server."""
    return world.daemons[0].state.loads.servers[server.name].in_flight


async def until_both_run(world, first, second):
    await world.until(lambda: first.executed and second.executed, 1.0)


# Guards against a 502 though the first server was about to answer: its attempt
# was given up for a server that refused the request as full (issue 48).
async def test_answer_of_a_late_server_is_delivered_if_the_other_refuses(
    world,
):
    await world.start()
    client, late, full = await prefer_first(world)
    make_late(late)
    full.plan = [Behaviour.REFUSE] * 9
    response = await client.call(*_READ, "r1")
    assert response.status == 200
    assert response.complete
    assert late.executed == ["r1"]
    assert len(full.received) == 1
    assert count_open(world, late) == count_open(world, full) == 0
    assert world.daemons[0].state.loads.servers[late.name].failures == 0


# Guards against the same where no connection can be opened to the other.
async def test_answer_of_a_late_server_is_delivered_if_the_other_is_down(
    world,
):
    await world.start()
    client, late, down = await prefer_first(world)
    make_late(late)
    await down.close()
    response = await client.call(*_READ, "r1")
    assert response.status == 200
    assert late.executed == ["r1"]


# Guards against an answer that comes while a connection to the other server is
# opened, and the request is sent there in spite of it.
async def test_late_answer_during_the_connection_is_delivered(
    world, monkeypatch
):
    await world.start()
    client, late, other = await prefer_first(world)
    make_late(late, 0.4)
    loop = asyncio.get_running_loop()
    connect = loop.create_connection

    async def connect_slowly(factory, host, port, **options):
        if port == other.port:
            await asyncio.sleep(0.4)
        return await connect(factory, host, port, **options)

    monkeypatch.setattr(loop, "create_connection", connect_slowly)
    response = await client.call(*_READ, "r1")
    assert response.status == 200
    assert late.executed == ["r1"]
    assert not other.received
    assert world.daemons[0].state.reserved[other.name] == 0
    assert count_open(world, other) == 0


# Guards against two servers that work on a request after one accepted it.
async def test_late_server_is_cancelled_once_the_other_accepts(world):
    await world.start()
    client, late, fast = await prefer_first(world)
    make_late(late, 3.0)
    response = await client.call(*_READ, "r1")
    assert response.status == 200
    assert response.complete
    assert response.headers["x-server-signature"] == f"sig-{fast.name}-r1"
    await until_cancelled(world, late)
    assert count_open(world, late) == count_open(world, fast) == 0


# Guards against a server that goes on although the late one has answered.
async def test_other_server_is_cancelled_once_the_late_one_answers(world):
    await world.start()
    client, late, later = await prefer_first(world)
    make_late(late)
    make_late(later, 3.0)
    response = await client.call(*_READ, "r1")
    assert response.status == 200
    assert response.headers["x-server-signature"] == f"sig-{late.name}-r1"
    await until_cancelled(world, later)
    state = world.daemons[0].state
    assert count_open(world, late) == count_open(world, later) == 0
    assert state.loads.servers[late.name].failures == 0
    assert state.loads.servers[later.name].failures == 0


# Guards against an execution at two engines at once: the one before must not
# still work on it 0.4 s after it was asked for at another one (TWICE).
@pytest.mark.parametrize("headers", [{}, {"Last_Event_Id": "2"}])
async def test_run_of_a_late_engine_ends_when_another_one_is_asked(
    world, headers
):
    await world.start(first_start=True)
    await conftest.wait_for_sole_version(world)
    client, late, silent = await prefer_first(world, "engines")
    make_late(late, 3.0)
    late.event_count = 5
    silent.awake.clear()
    client.send("POST", "/stream/again/1", "r1", **headers)
    await world.until(lambda: silent.received, 1.5)
    await world.until(lambda: late.received[0].cancelled, 0.4)
    client.close()
    silent.awake.set()


# Guards against a 502 that comes though the first server still works: refusals
# of all others use up the attempts.
async def test_late_server_is_awaited_while_all_others_refuse(world):
    await world.start(plain=5)
    client, late, *full = await prefer_first(world)
    make_late(late, 1.2)
    for server in full:
        server.plan = [Behaviour.REFUSE] * 9
    response = await client.call(*_READ, "r1")
    assert response.status == 200
    assert late.executed == ["r1"]
    assert sum(len(server.received) for server in full) == 3


# Guards against a refusal of both that gets another status than 502 or 503, or
# a request that is held until its deadline.
async def test_request_that_both_servers_refuse_fails_at_once(world):
    await world.start()
    client, late, full = await prefer_first(world)
    late.awake.clear()
    late.plan = [Behaviour.REFUSE] * 9
    full.plan = [Behaviour.REFUSE] * 9
    client.send(*_READ, "r1")
    await asyncio.sleep(_LATE_S)
    late.awake.set()
    started_s = asyncio.get_running_loop().time()
    response = await client.receive()
    assert response.status in (502, 503)
    assert asyncio.get_running_loop().time() - started_s < 0.5
    assert world.count_executions("r1") == 0


# Guards against a loss of the kept attempt that ends the request, or that no
# probe follows.
async def test_late_server_is_killed_while_the_other_runs(world):
    await world.start()
    client, late, other = await prefer_first(world)
    make_late(late, 3.0)
    make_late(other)
    late.restart_s = 3.0
    client.send(*_READ, "r1")
    await until_both_run(world, late, other)
    late.crash()
    response = await client.receive()
    assert response.status == 200
    assert world.count_executions("r1") == 2
    await world.until(
        lambda: world.daemons[0].state.crash_ledger.crashes, _STOP_S
    )
    assert count_open(world, late) == count_open(world, other) == 0


# Guards against the same where the kept attempt is lost before the other one's
# refusal, so that none is left.
async def test_late_server_is_killed_after_the_other_refused(world):
    await world.start()
    client, late, full = await prefer_first(world)
    make_late(late, 3.0)
    late.restart_s = 3.0
    full.plan = [Behaviour.REFUSE] * 9
    client.send(*_READ, "r1")
    await world.until(lambda: full.received, 1.0)
    await asyncio.sleep(0.1)
    started_s = asyncio.get_running_loop().time()
    late.crash()
    response = await client.receive()
    assert response.status == 502
    assert asyncio.get_running_loop().time() - started_s < 0.5
    await world.until(
        lambda: world.daemons[0].state.crash_ledger.crashes, _STOP_S
    )


# Guards against an error of one server that is delivered while the other still
# works on the request.
@pytest.mark.parametrize("failing", ["late", "other"])
async def test_error_of_one_server_does_not_end_the_other_attempt(
    world, failing
):
    await world.start()
    client, late, other = await prefer_first(world)
    make_late(late, _LATE_S if failing == "late" else 1.2)
    make_late(other, 1.0 if failing == "late" else 0.1)
    (late if failing == "late" else other).plan = [Behaviour.FAIL]
    response = await client.call(*_READ, "r1")
    assert response.status == 200
    assert world.count_executions("r1") == 2


async def test_error_is_delivered_if_both_servers_fail(world):
    await world.start()
    client, late, other = await prefer_first(world)
    make_late(late)
    make_late(other)
    late.plan, other.plan = [Behaviour.FAIL], [Behaviour.FAIL]
    response = await client.call(*_READ, "r1")
    assert response.status == 500
    assert response.headers["x-server-signature"]
    assert world.count_executions("r1") == 2


# Guards against servers that work on for a client that has left (GONE).
async def test_both_servers_are_cancelled_if_the_client_leaves(world):
    await world.start()
    client, late, later = await prefer_first(world)
    make_late(late, 3.0)
    make_late(later, 3.0)
    client.send(*_READ, "r1")
    await until_both_run(world, late, later)
    client.close()
    await until_cancelled(world, late)
    await until_cancelled(world, later)
    assert count_open(world, late) == count_open(world, later) == 0


# Guards against more executions than the route allows (BUDGET).
@pytest.mark.parametrize("max_attempts", [1, 2, 3])
async def test_no_more_servers_run_a_request_than_its_route_allows(
    world, max_attempts
):
    await world.start(plain=4)
    routes = [
        conftest.route("read", "plain", "idempotent", maxAttempts=max_attempts)
    ]
    world.store.write("op/config", conftest.declaration(2, routes=routes))
    await world.until(lambda: world.daemons[0].state.declaration.version == 2)
    client, *servers = await prefer_first(world)
    for server in servers:
        make_late(server, 1.2)
    response = await client.call(*_READ, "r1")
    assert response.status == 200
    assert world.count_executions("r1") == max_attempts
    assert sum(count_open(world, server) for server in servers) == 0


# Guards against a request that must not run twice and is sent again.
async def test_request_that_must_not_run_twice_has_one_attempt(world):
    await world.start()
    client, late, other = await prefer_first(world)
    make_late(late)
    response = await client.call("POST", "/book/1", "r1", b"x")
    assert response.status == 200
    assert late.executed == ["r1"]
    assert not other.received


# Guards against a retry that the budget does not know of (BUDGET).
async def test_other_server_is_paid_from_the_retry_budget(world):
    await world.start(daemons=0)
    await world.add_daemon(retry_ratio=0.0, retry_allowance=2.0)
    await world.until(
        lambda: len(world.daemons[0].state.directory.records) == 4
    )
    client, late, other = await prefer_first(world)
    make_late(late)
    make_late(other)
    for number in range(3):
        response = await client.call("GET", "/read/1", f"r{number}")
        assert response.status == 200
    runs = [world.count_executions(f"r{number}") for number in range(3)]
    assert sum(runs) == 4


# Guards against a second answer, or none, at the deadline. The servers work on
# beyond it, so that only the closes of their connections stop them.
async def test_deadline_with_two_open_attempts_gives_one_504(
    world, monkeypatch
):
    monkeypatch.setattr(backend, "_find_time_left_s", lambda _: float("inf"))
    await world.start()
    client, late, later = await prefer_first(world)
    make_late(late, 3.0)
    make_late(later, 3.0)
    started_s = asyncio.get_running_loop().time()
    response = await client.call(*_READ, "r1", X_Deadline_Ms="800")
    assert response.status == 504
    assert 0.7 < asyncio.get_running_loop().time() - started_s < 1.3
    await until_cancelled(world, late)
    await until_cancelled(world, later)
    late.processing_s = later.processing_s = 0.0
    assert (await client.call(*_READ, "r2")).body.startswith(b"answer to r2")


# Guards against a silent server that is avoided later than before: its failure
# counts when its time is over, not when its attempt ends.
async def test_silent_server_is_noticed_when_its_time_is_over(world):
    await world.start()
    client, silent, other = await prefer_first(world)
    make_late(silent, 3.0)
    make_late(other, 3.0)
    client.send(*_READ, "r1")
    await until_both_run(world, silent, other)
    loads = world.daemons[0].state.loads
    assert loads.servers[silent.name].failures == 1
    assert loads.servers[other.name].failures == 0
    assert count_open(world, silent) == count_open(world, other) == 1


def make_response(status, proves_not_run=False):
    response_facts = dataclasses.replace(_FACTS, proves_not_run=proves_not_run)
    return answer.CompleteResponse(status, (), response_facts, b"")


@pytest.mark.parametrize(
    "good", [make_response(200), make_response(404), _STREAMED]
)
@pytest.mark.parametrize(
    "failed", [make_response(500), make_response(503, True), _LOST]
)
def test_good_answer_is_handled_before_any_other_end(good, failed):
    is_kept_next = kept_attempts.is_kept_next
    assert is_kept_next(None, good)
    assert is_kept_next(failed, good)
    assert is_kept_next(None, failed)
    assert not is_kept_next(good, good)
    assert not is_kept_next(good, failed)
    assert not is_kept_next(failed, failed)
    assert not is_kept_next(failed, None)
    assert not is_kept_next(None, None)
