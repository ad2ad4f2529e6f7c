"""Streams that begin at a server that started again with another version.

Guards against pieces of two software versions in one stream (rule ORDER): until
the new process has registered, its entry states the version of the former one,
which was taken for the version that began the stream.
"""

import asyncio

import pytest

from testing.gateway import test_restarts_in_place as restarts
from testing.gateway import test_software_versions as versions
from turmericcroft.gateway import calls
from turmericcroft.gateway import sending
from turmericcroft.gateway import server_selection
from turmericcroft.gateway import upstream

WHOLE = list(range(1, 21))


async def begin_at_new_process(world, daemons=1, fleet=("v1", "v1")):
    """Begins a stream at a process of v2 whose entry states v1.

    Returns:
        The client, the server that started again, and the others.
    """
    await world.start(daemons=daemons, engines=0)
    source, *others = await versions.add_engines(world, *fleet)
    await source.restart("v2")
    client = await restarts.start_at(world, source, others)
    return client, source, others


def assert_one_version(response, others):
    """Asserts that nothing of another version than v2 follows."""
    assert restarts.versions_in(response.body) <= {"v2"}
    assert not any(server.executed for server in others)


# Its process is asked at the return, also if the entry has told of it since.
@pytest.mark.parametrize("is_registered", [False, True])
async def test_a_client_returns_to_the_daemon_that_began_its_stream(
    world, is_registered
):
    client, source, others = await begin_at_new_process(world)
    client.close()
    if is_registered:
        world.register(source, sequence=2)
        await world.until(
            lambda: (
                world.daemons[0]
                .state.directory.records[source.name]
                .server.software_version
                == "v2"
            )
        )
    response = await versions.resume(world, 0, "r2", "r1")
    assert_one_version(response, others)
    assert response.status == 503
    assert 0.0 < float(response.headers["retry-after"]) < 1.0


# Several versions serve, so that other daemons go by the record of the stream.
@pytest.mark.parametrize("is_registered", [False, True])
async def test_a_client_returns_to_another_daemon(world, is_registered):
    client, source, others = await begin_at_new_process(
        world, daemons=2, fleet=("v1", "v1", "v1.1")
    )
    await asyncio.sleep(0.5)
    client.close()
    if is_registered:
        world.register(source, sequence=2)
        await world.until(
            lambda: all(
                daemon.state.directory.records[
                    source.name
                ].server.software_version
                == "v2"
                for daemon in world.daemons
            )
        )
    response = await versions.resume(world, 1, "r2", "r1")
    assert_one_version(response, others)
    assert response.status == 503


async def test_a_stalled_stream_does_not_go_on_at_the_version_of_the_entry(
    world, monkeypatch
):
    monkeypatch.setattr(sending, "_MIN_STALL_TIMEOUT_S", 0.3)
    client, source, others = await begin_at_new_process(world)
    source.event_interval_s = 4.0
    response = await client.receive()
    assert not response.complete
    assert_one_version(response, others)


# The server that began it was not started again: a check that can fail both
# ways must let these streams go on.
async def test_streams_of_a_server_that_did_not_start_again_go_on(world):
    await world.start(engines=0)
    source, other = await versions.add_engines(world, "v1", "v1")
    client = await restarts.start_at(world, source, [other])
    client.close()
    response = await versions.resume(world, 0, "r2", "r1")
    assert response.complete
    assert versions.positions(response.body) == WHOLE[2:]


# A new process with the version of the former one went on with the same work.
async def test_streams_go_on_if_the_server_started_again_with_its_version(
    world,
):
    await world.start(engines=0)
    source, other = await versions.add_engines(world, "v1", "v1")
    client = await restarts.start_at(world, source, [other])
    client.close()
    await source.restart("v1")
    world.register(source, sequence=2)
    directory = world.daemons[0].state.directory
    await world.until(
        lambda: (
            directory.records[source.name].server.started_at_ms
            == source.started_at_ms
        )
    )
    response = await versions.resume(world, 0, "r2", "r1")
    assert response.complete
    assert versions.positions(response.body) == WHOLE[2:]


async def move(world, source, target_version="v1"):
    """Announces that a server leaves, by the entry of its former process."""
    world.store.write(
        f"servers/{source.name}",
        source.registry_entry(
            version=target_version,
            state="draining",
            leaves_ms=900,
            sequence=2,
            born=1_700_000_000_000,
        ),
    )


# The source's new process takes the order that was meant for the former one.
async def test_a_run_of_a_new_process_is_not_migrated_to_the_former_version(
    world,
):
    await world.start(engines=0)
    source, target = await versions.add_engines(world, "v1", "v1")
    source.event_count = target.event_count = 85
    await source.restart("v2")
    versions.load_servers(world, target)
    client = await versions.start_stream(world, source, "/stream/fixed/1")
    await move(world, source)
    response = await client.receive()
    assert response.complete
    assert versions.positions(response.body) == list(range(1, 86))
    assert restarts.versions_in(response.body) == {"v2"}


# The target's new process holds the copy, which the former version made.
async def test_a_run_does_not_go_on_at_a_target_that_started_again(world):
    await world.start(engines=0)
    source, target = await versions.add_engines(world, "v1", "v1")
    source.event_count = target.event_count = 85
    versions.load_servers(world, target)
    client = await versions.start_stream(world, source, "/stream/fixed/1")
    await target.restart("v2")
    await move(world, source)
    response = await client.receive()
    assert response.complete
    assert versions.positions(response.body) == list(range(1, 86))
    assert restarts.versions_in(response.body) == {"v1"}


# Guards against a send by a check that a pause of the daemon made old, and
# against one on a connection that ended after its check, which nothing answers.
@pytest.mark.parametrize("is_checked", [False, True])
async def test_a_server_starts_again_while_the_daemon_stands_still(
    world, monkeypatch, is_checked
):
    acquire = upstream.ConnectionPool.acquire
    call_on = calls.call_on
    restarted = []

    async def restart():
        if not restarted:
            restarted.append(target)
            await target.restart("v2")

    async def acquire_late(pool, server, *args, **kwargs):
        connection = await acquire(pool, server, *args, **kwargs)
        if server.name == target.name and not is_checked:
            await restart()
        return connection

    async def call_late(state, server, *args):
        response = await call_on(state, server, *args)
        if server.name == target.name and is_checked:
            await restart()
            await asyncio.sleep(0.02)
        return response

    await world.start(engines=0)
    source, target = await versions.add_engines(world, "v1", "v1")
    client = await restarts.start_at(world, source, [target])
    monkeypatch.setattr(upstream.ConnectionPool, "acquire", acquire_late)
    monkeypatch.setattr(calls, "call_on", call_late)
    source.restart_s = 5.0
    source.crash()
    response = await client.receive()
    assert restarted
    assert not target.executed
    assert restarts.versions_in(response.body) == {"v1"}


# Servers close connections at times, also after a report.
async def test_a_stream_goes_on_at_a_server_that_closes_after_its_report(world):
    await world.start(engines=0)
    source, target = await versions.add_engines(world, "v1", "v1")
    client = await restarts.start_at(world, source, [target])
    answer_report = target._report

    def close_once():
        target.headers = {"Connection": "close"}
        target._report = answer_report
        asyncio.get_running_loop().call_soon(target.headers.clear)
        return answer_report()

    target._report = close_once
    source.restart_s = 5.0
    source.crash()
    response = await client.receive()
    assert response.complete
    assert versions.positions(response.body) == WHOLE
    assert target.executed == ["r1"]


# Guards against a record of prompts for each process that a server ever had,
# and against the loss of what other daemons told of the new one.
async def test_cached_prefixes_of_a_former_process_are_forgotten(world):
    await world.start(engines=0)
    (server,) = await versions.add_engines(world, "v1")
    state = world.daemons[0].state
    prefixes = state.cached_prefixes
    former = state.directory.records[server.name].server.incarnation
    now_s = asyncio.get_running_loop().time()
    prefixes.record(former, 1, 100, now_s)
    await server.restart("v1")
    present = server.name, server.started_at_ms
    prefixes.record(present, 2, 100, now_s)
    world.register(server, sequence=2)
    await world.until(
        lambda: (
            state.directory.records[server.name].server.incarnation == present
        )
    )
    assert prefixes.all_prefixes() == [(present, 2, 100)]


# Guards against the failures and the load of a former process in the place of
# the new one's: losses may be read after the new entry.
async def test_a_new_process_does_not_answer_for_the_former_one(world):
    await world.start(engines=0)
    (server,) = await versions.add_engines(world, "v1")
    state = world.daemons[0].state
    former = state.directory.records[server.name].server
    now_s = asyncio.get_running_loop().time()
    selection = server_selection.Selection(former, 0.0, 10, 0, 0, 0, 0, 1)
    attempt = server_selection.AttemptLoad(state, selection, True, now_s)
    await server.restart("v1")
    world.register(server, sequence=2)
    await world.until(
        lambda: (
            state.directory.records[server.name].server.started_at_ms
            == server.started_at_ms
        )
    )
    state.loads.start(server.name)
    attempt.end()
    assert state.loads.servers[server.name].in_flight == 1
    for _ in range(20):
        state.record_failure(former, "reset", now_s)
    assert not state.loads.is_ejected(server.name, now_s)
