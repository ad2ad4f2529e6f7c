"""A software version is inferred only from a view that misses nothing."""

import asyncio

import pytest

from testing.gateway import conftest
from testing.gateway import test_software_versions as versions
from turmericcroft import errors
from turmericcroft.gateway import members
from turmericcroft.gateway import relaying
from turmericcroft_lab.hosted import proxy
from turmericcroft_lab.hosted import store

_COVERAGE_KEY = "turmericcroft/coverage"


async def start(world, daemons=2, engines=("v1", "v1")):
    """Starts daemons, each with a link of its own to the store."""
    await world.start(daemons=0, engines=0)
    await versions.add_engines(world, *engines)
    links = []
    for _ in range(daemons):
        links.append(proxy.Link(world.store.address))
        await links[-1].start()
        world.links[f"store {len(links)}"] = {"store": links[-1]}
        await world.add_daemon(
            first_start=True, store_address=links[-1].address
        )
    await world.until(lambda: all(d.is_ready() for d in world.daemons))
    await world.until(
        lambda: all(
            len(d.members.alive()) == daemons - 1 for d in world.daemons
        )
    )
    if len(set(engines)) == 1:
        await conftest.wait_for_sole_version(world)
    return links


def cut_from_peers(daemon, monkeypatch):
    """Drops all messages between a daemon and the others."""

    async def fail(*_):
        raise errors.MeshError("cut off")

    monkeypatch.setattr(daemon.members, "call", fail)
    monkeypatch.setattr(daemon.members.fetcher, "request", fail)
    monkeypatch.setattr(daemon.members, "_apply_digest", lambda _: None)


async def begin_at(world, server, request_id="r1"):
    """Begins a stream at a server through the first daemon, and leaves it."""
    others = [x for x in world.servers_of("engines") if x is not server]
    versions.load_servers(world, *others)
    client = await versions.start_stream(world, server, request_id=request_id)
    client.close()


def count_versions(world, request_id):
    """Returns the versions at which a request was executed."""
    return {
        server.version
        for server in world.servers_of("engines")
        if request_id in server.executed
    }


# Guards against streams of v2 that go on at v1 (issue 54): a daemon that was
# cut off took v1 for the only version, by a view of less than two drain times.
@pytest.mark.parametrize("gap_s", [0.6, 1.2, 3.0])
@pytest.mark.parametrize("partition", list(proxy.Partition))
async def test_a_daemon_that_is_cut_off_infers_no_version(
    world, monkeypatch, gap_s, partition
):
    _, link = await start(world)
    link.partition(partition)
    cut_from_peers(world.daemons[1], monkeypatch)
    server = await world.add_backend("engines", version="v2")
    server.version, server.event_count = "v2", 20
    server.event_interval_s = 0.03
    await world.until(
        lambda: server.name in world.daemons[0].state.directory.records
    )
    await begin_at(world, server)
    await asyncio.sleep(gap_s)
    began_s = asyncio.get_running_loop().time()
    response = await versions.resume(world, 1, "r2", "r1")
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0.0
    assert asyncio.get_running_loop().time() - began_s < 1.5
    assert count_versions(world, "r2") == set()


# The store's answer to an earlier call may reach the daemon after the client.
async def test_a_late_answer_of_the_store_confirms_nothing(world, monkeypatch):
    _, link = await start(world)
    cut_from_peers(world.daemons[1], monkeypatch)
    link.set_fault(proxy.LinkFault.CUT_FROM_TARGET)
    await asyncio.sleep(2.2)
    server = await world.add_backend("engines", version="v2")
    server.version = "v2"
    server.event_count, server.event_interval_s = 20, 0.03
    await world.until(
        lambda: server.name in world.daemons[0].state.directory.records
    )
    await begin_at(world, server)
    link.set_fault(proxy.LinkFault.NONE)
    response = await versions.resume(world, 1, "r2", "r1")
    assert response.status == 503
    assert count_versions(world, "r2") == set()


# Guards against a version that nobody knows because its servers joined and left
# between two polls of the store.
async def test_a_server_that_joins_and_leaves_between_polls_is_known(world):
    await start(world, daemons=1)
    server = await world.add_backend("engines", version="v2")
    world.store.remove(f"servers/{server.name}")
    response = await versions.resume(world, 0, "r2", "never-seen")
    assert response.status == 503
    assert count_versions(world, "r2") == set()


# Guards against a version that was there only while changes were discarded.
async def test_a_listing_after_discarded_changes_proves_nothing(world):
    await start(world, daemons=1)
    world.store.fault = store.Fault.BUSY
    server = await world.add_backend("engines", version="v2")
    world.store.remove(f"servers/{server.name}")
    world.store.compact_history()
    world.store.fault = store.Fault.NONE
    await asyncio.sleep(2.5)
    response = await versions.resume(world, 0, "r2", "never-seen")
    assert response.status == 503
    assert count_versions(world, "r2") == set()


# Guards against a daemon on a new VM that takes itself for the first of its
# fleet.
async def test_a_daemon_on_a_new_vm_knows_nothing_of_the_time_before(world):
    await world.start(daemons=0, engines=0)
    old, *_ = await versions.add_engines(world, "v2", "v1")
    world.store.remove(f"servers/{old.name}")
    world.store.compact_history()
    await world.add_daemon(first_start=True)
    await world.until(lambda: world.daemons[0].is_ready())
    await asyncio.sleep(2.5)
    response = await versions.resume(world, 0, "r2", "never-seen")
    assert response.status == 503
    assert count_versions(world, "r2") == set()


# Guards against a record of versions that is read after its writer was late.
@pytest.mark.parametrize("is_discarded", [False, True])
async def test_a_record_of_versions_says_nothing_of_the_time_after_it(
    world, is_discarded
):
    await world.start(daemons=0, engines=0)
    await versions.add_engines(world, "v1", "v1")
    await world.add_daemon(first_start=True, lease_ms=1_000)
    await world.until(lambda: world.daemons[0].is_ready())
    await conftest.wait_for_sole_version(world)
    await world.until(lambda: _COVERAGE_KEY in world.store.items)
    await world.daemons.pop().close()
    server = await world.add_backend("engines", version="v2")
    world.store.remove(f"servers/{server.name}")
    if is_discarded:
        world.store.compact_history()
    await world.add_daemon()
    await world.until(lambda: world.daemons[0].is_ready())
    await asyncio.sleep(1.0)
    response = await versions.resume(world, 0, "r2", "never-seen")
    assert response.status == 503
    assert count_versions(world, "r2") == set()


# Guards against refusals of clients that return before the record of their
# stream is told, within one digest interval.
@pytest.mark.parametrize("version", ["v1", "v2"])
async def test_clients_that_return_at_once_are_served(world, version):
    await start(world, engines=("v1", "v2"))
    (server,) = (x for x in world.servers_of("engines") if x.version == version)
    await begin_at(world, server)
    # The other server would be preferred.
    versions.load_servers(world, server, server, server)
    response = await versions.resume(world, 1, "r2", "r1")
    assert response.complete
    assert count_versions(world, "r2") == {version}


# Guards against streams that are told only once their daemon has heard of the
# other version.
async def test_streams_are_told_before_another_version_joins(world):
    link, _ = await start(world)
    first = world.servers_of("engines")[0]
    first.event_count = 200
    await begin_at(world, first)
    await asyncio.sleep(0.5)
    link.partition(proxy.Partition.HANGING)
    server = await world.add_backend("engines", version="v2")
    server.version = "v2"
    await world.until(
        lambda: server.name in world.daemons[1].state.directory.records
    )
    response = await versions.resume(world, 1, "r2", "r1")
    assert response.status == 200
    assert count_versions(world, "r2") == {"v1"}


# Guards against streams that stay unknown for 15 s at a daemon that was cut off
# while others told them.
async def test_a_daemon_learns_of_streams_that_it_was_not_told(
    world, monkeypatch
):
    await start(world, engines=("v1", "v2"))
    second = world.servers_of("engines")[1]
    second.event_count = 200
    with monkeypatch.context() as patch:
        cut_from_peers(world.daemons[1], patch)
        others = [world.servers_of("engines")[0]]
        versions.load_servers(world, *others)
        await versions.start_stream(world, second)
        await asyncio.sleep(1.5)
    await asyncio.sleep(1.0)
    response = await versions.resume(world, 1, "r2", "r1")
    assert response.status == 200
    assert count_versions(world, "r2") == {"v2"}


# A daemon that doesn't reach the store asks others that do.
async def test_a_daemon_that_is_cut_off_from_the_store_asks_others(world):
    _, link = await start(world)
    link.partition(proxy.Partition.RESETTING)
    await asyncio.sleep(0.5)
    response = await versions.resume(world, 1, "r2", "never-seen")
    assert response.complete
    assert versions.positions(response.body) == list(range(3, 21))


# Most daemons of a large fleet follow no changes of the store themselves.
async def test_a_version_is_inferred_in_each_zone_of_a_large_fleet(
    world, monkeypatch
):
    monkeypatch.setattr(members, "_MAX_DIRECT_DAEMONS", 2)
    monkeypatch.setattr(relaying, "INTERVAL_S", 0.1)
    await world.start(daemons=0, engines=0)
    await versions.add_engines(world, "v1", "v1")
    for zone in ("a", "a", "b", "b", "c"):
        await world.add_daemon(zone=zone)
    await world.until(lambda: all(d.is_ready() for d in world.daemons))
    await world.until(
        lambda: all(d.members.is_large_fleet() for d in world.daemons)
    )
    await conftest.wait_for_sole_version(world)
    assert sum(not d.members.polls_store() for d in world.daemons) == 2
    for number in range(5):
        response = await versions.resume(
            world, number, f"r{number}", "never-seen"
        )
        assert response.complete
    server = await world.add_backend("engines", version="v2")
    world.store.remove(f"servers/{server.name}")
    for number in range(5):
        response = await versions.resume(
            world, number, f"again-{number}", "never-seen-either"
        )
        assert response.status == 503


# Guards against streams that no daemon can infer nor was told of, while the
# store is away: the first refusal lets others tell what began there.
async def test_streams_are_told_once_the_store_does_not_answer(world):
    await start(world)
    server = world.servers_of("engines")[0]
    server.event_count = 200
    await begin_at(world, server)
    world.store.fault = store.Fault.SILENT
    response = await versions.resume(world, 1, "r2", "r1")
    if response.status == 503:
        await asyncio.sleep(1.0)
        response = await versions.resume(world, 1, "r3", "r1")
    assert response.status == 200


async def test_clients_that_return_together_share_a_call(world):
    await start(world, daemons=1)
    for server in world.servers_of("engines"):
        server.event_count = 4
    before = world.daemons[0].store.calls
    responses = await asyncio.gather(
        *(
            versions.resume(world, 0, f"r{number}", "never-seen")
            for number in range(20)
        )
    )
    assert all(response.complete for response in responses)
    # Two shared confirmations of two calls each, and polls and renewals.
    assert world.daemons[0].store.calls - before <= 10


async def test_clients_are_refused_soon_while_the_store_is_silent(world):
    await start(world)
    world.store.fault = store.Fault.SILENT
    loop = asyncio.get_running_loop()
    for number in range(3):
        began_s = loop.time()
        response = await versions.resume(world, 0, f"r{number}", "never-seen")
        assert response.status == 503
        assert loop.time() - began_s < 1.0


# A route that was moved may have streams at the service that it left, also if
# the daemon never had that declaration in force.
async def test_services_of_skipped_declarations_are_known(world):
    await start(world, daemons=1)
    daemon = world.daemons[0]
    world.store.fault = store.Fault.BUSY
    moved = conftest.declaration(version=2)
    for route in moved["routes"]:
        if route["pathPrefix"].startswith("/stream/again"):
            route["service"] = "plain"
    world.store.write("op/config", moved)
    world.store.write("op/config", conftest.declaration(version=3))
    world.store.fault = store.Fault.NONE
    await world.until(lambda: daemon.state.declaration.version == 3)
    response = await versions.resume(world, 0, "r2", "never-seen")
    assert response.status == 503


# Guards against calls that can't help: a daemon that has a gap infers nothing,
# whatever the store says, and is not worth asking for others either.
async def test_a_daemon_with_a_gap_does_not_ask_the_store(world):
    await world.start(daemons=0, engines=0)
    await versions.add_engines(world, "v1", "v1")
    world.store.compact_history()
    await world.add_daemon()
    daemon = world.daemons[0]
    await world.until(lambda: daemon.is_ready())
    await world.until(lambda: daemon.state.directory.records)
    # Other tasks list their keys once at the start.
    await asyncio.sleep(0.5)
    listings = world.store.calls["kv-range"]
    response = await versions.resume(world, 0, "r2", "never-seen")
    assert response.status == 503
    assert await daemon.members.confirm_view() is None
    assert world.store.calls["kv-range"] == listings
