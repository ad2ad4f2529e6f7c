"""Final refusals by a declaration that may be old.

A client whose key or route was added while its daemon stood still or was cut
off must not get 401 or 404, after which it never comes back.
"""

import asyncio
import json
import signal

import pytest

from testing.gateway import conftest
from turmericcroft import errors
from turmericcroft.gateway import members
from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import proxy
from turmericcroft_lab.hosted import store

# Longest time after its acknowledgement in which a version need not be in force
# (bounds.propagation_ms).
PROPAGATION_S = 2.0
# Time without trouble after which rules with a time bound hold (contactMs).
CONTACT_S = 3.0
# A client gets its refusal, or when to come back, within this time.
ANSWER_S = 0.6
# Requests that clients sent while their daemon stood still.
REQUESTS = 12


def add_route_and_key(fields):
    """Returns a newer declaration that has one more route and one more key."""
    added = conftest.route("added", "plain", "idempotent")
    account = {"name": "south", "apiKeys": ["south-key"]}
    return fields | {
        "version": fields["version"] + 1,
        "routes": [*fields["routes"], added],
        "tenants": [*fields["tenants"], account],
    }


# Path and API key of requests that only the newer declaration allows.
ADDED = [("/added/1", conftest.API_KEY), ("/read/1", "south-key")]


async def start_cuttable(world):
    """Starts a daemon whose connections to the store can be cut."""
    await world.start(daemons=0)
    link = proxy.Link(world.store.address)
    await link.start()
    world.links["store"] = {"store": link}
    daemon = await world.add_daemon(store_address=link.address)
    await world.until(daemon.is_ready)
    await world.until(lambda: len(daemon.state.directory.records) == 4)
    return link


async def send(world, path, api_key, request_id="r"):
    client = await world.client()
    return await client.call("GET", path, request_id, X_Credential=api_key)


# Guards against 401 and 404 for what was added while the daemon could not reach
# the store, and after that by the view from before.
@pytest.mark.parametrize("partition", proxy.Partition)
@pytest.mark.parametrize(("path", "api_key"), ADDED)
async def test_what_was_added_is_not_refused_by_a_cut_daemon(
    world, partition, path, api_key
):
    link = await start_cuttable(world)
    link.partition(partition)
    # One that lives on is cut, too, as the kernel of neither side knows.
    link.set_fault(proxy.LinkFault.SILENCED)
    world.store.write("op/config", add_route_and_key(conftest.declaration()))
    await asyncio.sleep(PROPAGATION_S)
    loop = asyncio.get_running_loop()
    for _ in range(3):
        sent_s = loop.time()
        response = await send(world, path, api_key)
        assert response.status == 503, response
        assert float(response.headers["retry-after"]) < 1.0
        assert loop.time() - sent_s < ANSWER_S
    link.set_fault(proxy.LinkFault.NONE)
    await link.start()
    statuses = []
    while statuses[-1:] != [200] and len(statuses) < 30:
        statuses.append((await send(world, path, api_key)).status)
        await asyncio.sleep(0.1)
    assert set(statuses[:-1]) <= {503}
    assert statuses[-1] == 200


# Guards against a view that counts as current when an answer of the store is
# read: the process stood still, and the answer was sent long before.
@pytest.mark.parametrize("pause_s", [2.2, 4.0])
async def test_what_was_added_is_not_refused_after_a_pause(tmp_path, pause_s):
    fleet = fleets.Fleet(tmp_path)
    try:
        await fleet.start(daemons=1, plain=2, engines=0)
        daemon = fleet.daemons["edge-0"]
        await asyncio.sleep(0.5)
        daemon.process.send_signal(signal.SIGSTOP)
        try:
            calls = [
                asyncio.create_task(
                    fleets.call(
                        daemon.ports[0], "GET", "/added/1", f"r{number}"
                    )
                )
                for number in range(REQUESTS)
            ]
            await asyncio.sleep(0.2)
            added = conftest.route("added", "plain", "idempotent")
            fields = fleets.declaration(2)
            fields["routes"].append(added)
            # The poll is answered by a change that says nothing of it.
            fleet.store.write("turmericcroft/unrelated", b"x")
            await asyncio.sleep(0.2)
            fleet.store.write("op/config", fields)
            await asyncio.sleep(pause_s)
        finally:
            daemon.process.send_signal(signal.SIGCONT)
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        assert set(statuses) <= {200, 503}
        assert 200 in statuses
    finally:
        await fleet.close()


# Guards against calls of the store for each request of a port scanner.
async def test_a_scanner_costs_few_calls(world):
    await world.start()
    calls = world.store.calls
    calls["kv-key"] = 0
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    count = 0
    while loop.time() - began_s < PROPAGATION_S:
        wrong_key = await send(world, "/read/1", "wrong", f"k{count}")
        no_route = await send(
            world, "/nowhere/1", conftest.API_KEY, f"n{count}"
        )
        assert (wrong_key.status, no_route.status) == (401, 404)
        count += 1
    assert count > 20
    # At most one for each half of the time that a version may take.
    assert calls["kv-key"] <= 3


# Guards against a wrong key that is told to come back for as long as the store
# is down.
async def test_a_long_outage_does_not_delay_final_refusals_for_ever(world):
    await world.start()
    world.store.fault = store.Fault.BUSY
    await asyncio.sleep(PROPAGATION_S)
    assert (await send(world, "/read/1", "wrong")).status == 503
    assert (await send(world, "/read/1", conftest.API_KEY)).status == 200
    # As if it had begun before the longest deadline of any client.
    recency = world.daemons[0].state.declaration.recency
    recency.confirmed_at_s -= 16.0
    recency.unanswered_since_s -= 16.0
    assert (await send(world, "/read/1", "wrong")).status == 401
    assert (await send(world, "/nowhere/1", conftest.API_KEY)).status == 404


# Guards against a call whose answer nobody waits for and that changes nothing.
async def test_a_confirmation_puts_the_newer_declaration_in_force(world):
    link = await start_cuttable(world)
    daemon = world.daemons[0]
    link.set_fault(proxy.LinkFault.SILENCED)
    fields = add_route_and_key(json.loads(daemon.state.declaration.raw))
    world.store.write("op/config", fields)
    await asyncio.sleep(PROPAGATION_S / 2)
    link.set_fault(proxy.LinkFault.NONE)
    assert daemon.state.declaration.version == 1
    # The poll stays silent; a call on a new connection is answered.
    for _ in range(10):
        if (await send(world, "/added/1", conftest.API_KEY)).status == 200:
            break
        await asyncio.sleep(0.1)
    assert daemon.state.declaration.version == 2


async def start_large(world, monkeypatch):
    """Starts three daemons that behave as a large fleet; one is the relay."""
    monkeypatch.setattr(members, "_MAX_DIRECT_DAEMONS", 2)
    await world.start(daemons=3)
    await world.until(
        lambda: all(d.members.is_large_fleet() for d in world.daemons)
    )
    await world.until(
        lambda: sum(d.members.is_relay() for d in world.daemons) == 1
    )
    # Until then each daemon polls the store itself.
    await asyncio.sleep(PROPAGATION_S)


# Guards against calls of the store by the daemons that don't poll it, for
# which their relay does.
async def test_a_scanner_costs_few_calls_in_a_large_fleet(world, monkeypatch):
    await start_large(world, monkeypatch)
    calls = world.store.calls
    calls["kv-key"] = 0
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    count = 0
    while loop.time() - began_s < PROPAGATION_S:
        for number in range(3):
            client = await world.client(number)
            response = await client.call("GET", "/nowhere/1", f"n{count}")
            assert response.status == 404
            count += 1
    assert count > 20
    assert calls["kv-key"] <= 3 * len(world.daemons)


# Guards against a declaration that counts as confirmed because a relay answers,
# which itself has not reached the store since.
async def test_a_relay_states_how_old_its_declaration_is(world, monkeypatch):
    await start_large(world, monkeypatch)

    async def refuse(*_args, **_kwargs):
        raise errors.KeyValueUnavailableError("refused")

    for daemon in world.daemons:
        daemon.store.changes = daemon.store.list_prefix = refuse
        daemon.store.get = refuse
    refused_at_s = asyncio.get_running_loop().time()
    await asyncio.sleep(PROPAGATION_S)
    for daemon in world.daemons:
        recency = daemon.state.declaration.recency
        # A poll that was under way may still be answered.
        assert recency.confirmed_at_s <= refused_at_s + 0.1
    for number in range(3):
        client = await world.client(number)
        response = await client.call("GET", "/nowhere/1", f"r{number}")
        assert response.status == 503


# Guards against a view that counts as current when an answer is read: a process
# that stands still reads it long after the store sent it.
async def test_an_answer_that_is_read_late_confirms_no_later_time(world):
    await world.start()
    daemon = world.daemons[0]
    loop = asyncio.get_running_loop()
    changes, asked = daemon.store.changes, []

    async def read_late(prefix, after, _wait_s):
        asked.append(loop.time())
        listing = await changes(prefix, after, 0.0)
        await asyncio.sleep(1.2)
        return listing

    daemon.store.changes = read_late
    await world.until(lambda: len(asked) == 2)
    assert daemon.state.declaration.recency.confirmed_at_s <= asked[0] + 0.01


# Guards against a daemon that starts without the store and refuses for good by
# the declaration of another one, which may itself have stood still.
async def test_a_declaration_of_another_daemon_is_not_confirmed(world):
    await world.start()
    world.store.fault = store.Fault.BUSY
    first, second = world.daemons[0], await world.add_daemon()
    first.members.add_member(second.members.own)
    second.members.add_member(first.members.own)
    await world.until(lambda: second.state.declaration.version == 1)
    client = await world.client(1)
    response = await client.call("GET", "/nowhere/1", "r1")
    assert (response.status, response.headers.get("retry-after") is None) == (
        503,
        False,
    )
    assert (await client.call("GET", "/read/1", "r2")).status == 200


# Guards against a route that is refused because the store continues from a copy
# without it, or holds no declaration, or one that can't be read.
@pytest.mark.parametrize("stored", ["older copy", "none", "unreadable"])
async def test_the_newest_declaration_seen_stays_in_force(world, stored):
    await world.start()
    daemon = world.daemons[0]
    older = world.store.copy()
    fields = add_route_and_key(json.loads(daemon.state.declaration.raw))
    world.store.write("op/config", fields)
    await world.until(lambda: daemon.state.declaration.version == 2)
    match stored:
        case "older copy":
            world.store.restore(older)
        case "none":
            world.store.remove("op/config")
        case "unreadable":
            world.store.write("op/config", b"{torn")
    # Its declaration is read again for the refusals below.
    daemon.state.declaration.recency.confirmed_at_s = float("-inf")
    assert (await send(world, "/nowhere/1", conftest.API_KEY)).status == 404
    assert (await send(world, "/read/1", "wrong")).status == 401
    for path, api_key in ADDED:
        assert (await send(world, path, api_key)).status == 200
    assert daemon.state.declaration.version == 2


# Guards against a key that was taken away, or a route that was dropped, and is
# served for as long as a poll from before the cut waits for its answer. From
# contactMs after the cut, machines are held to the newest declaration.
@pytest.mark.parametrize("cut_s", [0.6, 1.2, 3.5])
async def test_what_was_removed_is_refused_soon_after_a_cut(world, cut_s):
    link = await start_cuttable(world)
    link.partition(proxy.Partition.HANGING)
    link.set_fault(proxy.LinkFault.SILENCED)
    fields = conftest.declaration(2)
    fields["routes"] = [r for r in fields["routes"] if r["name"] != "book"]
    fields["tenants"] = fields["tenants"][1:]
    world.store.write("op/config", fields)
    await asyncio.sleep(cut_s)
    link.set_fault(proxy.LinkFault.NONE)
    await link.start()
    await asyncio.sleep(CONTACT_S)
    assert (await send(world, "/read/1", conftest.API_KEY)).status == 401
    assert (await send(world, "/book/1", "east-key")).status == 404
    assert world.count_executions("r") == 0


# Guards against a final refusal where the other daemons would serve the client.
async def test_a_daemon_that_hears_no_other_never_refuses_for_good(
    world, monkeypatch
):
    await world.start(daemons=2)
    state = world.daemons[0].state
    await world.until(lambda: len(state.live_daemons) == 2)
    monkeypatch.setattr(members, "_SILENT_AFTER_S", -1.0)
    world.store.fault = store.Fault.BUSY
    await asyncio.sleep(PROPAGATION_S)
    assert (await send(world, "/read/1", "wrong")).status == 503
    assert state.live_daemons == ("edge-1",)
    state.declaration.recency.confirmed_at_s -= 99.0
    state.declaration.recency.unanswered_since_s -= 99.0
    assert (await send(world, "/read/1", "wrong")).status == 503
