"""API keys across versions of the declaration, also of odd ones.

A field that is missing, one that is empty and one of another type are three
different things, and what can't be read opens no route.
"""

import json

import pytest

from testing.gateway import conftest
from turmericcroft.eventlog import events
from turmericcroft.gateway import state as states
from turmericcroft_lab.hosted import proxy

# Keys that no version holds. None sends no header; a text in the place of a
# list of keys has "s" as a letter.
NEVER_HELD = ["zzzz0000nobodyheldthis", None, "", "s"]
# Time after which a version must be in force (bounds.propagation_ms).
PROPAGATION_S = 2.0


async def ask(world, api_key, daemon=0, path="/read/1"):
    """Sends a request on a new connection; returns its status."""
    client = await world.client(daemon)
    request_id = f"r{len(world._clients)}"
    response = await client.call(
        "GET", path, request_id, X_Credential=api_key, X_Tenant="north"
    )
    client.close()
    if response.status != 200:
        assert world.count_executions(request_id) == 0
    return response.status


async def declare(world, version=2, **changes):
    """Writes a version; waits until each daemon uses it or rejects it."""
    declared = conftest.declaration(version, **changes)
    world.store.write("op/config", declared)
    raw = json.dumps(declared).encode()

    def is_read(active):
        return active.version == version or (
            active.rejected is not None
            and json.loads(active.rejected) == json.loads(raw)
        )

    await world.until(
        lambda: all(is_read(d.state.declaration) for d in world.daemons),
        PROPAGATION_S,
    )


def events_of(world, kind, daemon=0):
    name = kind.__name__
    return [line for line in world.read_log(daemon) if line["event"] == name]


# Guards against review case 10 (ROUTE, CONFIG): taking away the last account
# opened all routes to requests with any key, and with none.
async def test_no_key_is_accepted_once_the_last_account_is_taken_away(world):
    await world.start(daemons=2)
    await declare(world, tenants=[])
    for daemon in range(2):
        assert world.daemons[daemon].state.declaration.version == 2
        for key in [conftest.API_KEY, "east-key", *NEVER_HELD]:
            assert await ask(world, key, daemon) == 401
    # A daemon that starts then, without another one to ask.
    for running in world.daemons:
        await running.close()
    daemon = await world.add_daemon()
    await world.until(lambda: daemon.state.directory.usable("plain"))
    for key in [conftest.API_KEY, *NEVER_HELD]:
        assert await ask(world, key, 2) == 401
    (line,) = events_of(world, events.DeclarationInForce, 2)
    assert line["requires_api_keys"] is True
    assert line["accounts"] == 0


# Guards against a value of another type in the place of the accounts that
# opened all routes, as an empty list did.
@pytest.mark.parametrize("tenants", [None, {}, False, "", 0, True, "north"])
async def test_accounts_of_another_type_leave_the_ones_in_force(world, tenants):
    await world.start(daemons=2)
    await declare(world, tenants=tenants)
    for daemon in range(2):
        for key in NEVER_HELD:
            assert await ask(world, key, daemon) == 401
        assert await ask(world, conftest.API_KEY, daemon) == 200
        # Each 401 may ask the store again; the version is logged once.
        (line,) = events_of(world, events.DeclarationRejected, daemon)
        assert line["in_force"] == 1
        (fault,) = line["first_faults"]
        assert fault.startswith("tenants: expected `array`, found ")
        body, _ = world.daemons[daemon].render_metrics()
        counter = b'turmericcroft_undecoded_values_total{kind="declaration"} 1'
        assert counter in body
    # A daemon that starts learns the version in force from another one.
    joined = await world.add_daemon()
    await world.until(lambda: joined.state.declaration.version == 1)
    await world.until(lambda: joined.state.directory.usable("plain"))
    assert await ask(world, conftest.API_KEY, 2) == 200
    assert await ask(world, None, 2) == 401
    # Without another daemon there is no version to serve by.
    for running in world.daemons:
        await running.close()
    daemon = await world.add_daemon()
    await world.until(lambda: daemon.state.directory.usable("plain"))
    for key in [conftest.API_KEY, *NEVER_HELD]:
        assert await ask(world, key, 3) == 503
    # The next version that can be read takes effect.
    world.store.write("op/config", conftest.declaration(3, tenants=[]))
    await world.until(lambda: daemon.state.declaration.version == 3)
    assert await ask(world, conftest.API_KEY, 3) == 401


async def test_without_accounts_no_key_is_asked_for(world):
    await world.start()
    declared = conftest.declaration(2)
    del declared["tenants"]
    world.store.write("op/config", declared)
    daemon = world.daemons[0]
    await world.until(lambda: daemon.state.declaration.version == 2)
    world.read_log()
    assert await ask(world, None) == 200
    (line,) = events_of(world, events.RequestReceived)
    assert (line["account"], line["keyless"]) == ("", "no accounts declared")


KEYS = ["secret", "north-2"]


# Guards against odd accounts: each letter of a text was a key, an empty text
# was the key of requests without one, and an odd limit was no limit.
@pytest.mark.parametrize(
    ("account", "statuses"),
    [
        ({"apiKeys": "secret"}, (401, 401)),
        ({"apiKeys": {"secret": 1}}, (401, 401)),
        ({"apiKeys": None}, (401, 401)),
        ({"apiKeys": []}, (401, 401)),
        ({"apiKeys": ["", "north-2"]}, (401, 200)),
        ({"apiKeys": [5, None, ["s"], "north-2"]}, (401, 200)),
        ({"apiKeys": KEYS, "ratePerS": -1}, (503, 503)),
        ({"apiKeys": KEYS, "ratePerS": ""}, (503, 503)),
        ({"apiKeys": KEYS, "ratePerS": 5, "unit": "bytes"}, (503, 503)),
        ({"apiKeys": KEYS, "ratePerS": 5, "unit": "tokens"}, (503, 503)),
        ({"apiKeys": KEYS, "priority": "0"}, (503, 503)),
        ({"apiKeys": KEYS, "name": ""}, (503, 503)),
        ({"apiKeys": KEYS, "name": "north\r\nX-Added: 1"}, (503, 503)),
        ({"apiKeys": KEYS, "name": "east"}, (503, 503)),
        ({"apiKeys": KEYS, "ratePerS": 0, "unit": "tokens"}, (200, 200)),
    ],
    ids=str,
)
async def test_an_odd_account_is_refused_alone(world, account, statuses):
    await world.start()
    east = {"name": "east", "apiKeys": ["east-key"]}
    sound = {"name": "south", "apiKeys": ["south-key"]}
    await declare(world, tenants=[{"name": "north"} | account, east, sound])
    assert world.daemons[0].state.declaration.version == 2
    for key in NEVER_HELD:
        assert await ask(world, key) == 401
    assert (await ask(world, KEYS[0]), await ask(world, KEYS[1])) == statuses
    # The key that this version takes away, and that of another account.
    assert await ask(world, conftest.API_KEY) == 401
    assert await ask(world, "south-key") == 200


# Guards against requests that a server runs for another account than the one
# that holds their key (UNASKED): the last of several got them.
async def test_a_key_of_two_accounts_is_refused(world):
    await world.start()
    first = {"name": "north", "apiKeys": ["both", "north-2"]}
    second = {"name": "east", "apiKeys": ["both", "east-key"]}
    await declare(world, tenants=[first, second])
    assert await ask(world, "both") == 503
    assert await ask(world, "north-2") == 200
    assert await ask(world, "east-key") == 200
    lines = world.read_log()
    (fault,) = next(
        line["first_faults"]
        for line in lines
        if line["event"] == "DeclarationInForce" and line["version"] == 2
    )
    assert "east, north" in fault
    assert "both" not in json.dumps(lines)


ODD_ROUTES = {
    "anonymous text": {"anonymous": "false"},
    "anonymous number": {"anonymous": 1},
    "anonymous null": {"anonymous": None},
    "kind": {"kind": "cached"},
    "resumption": {"streamResumption": "false"},
    "no service": {"service": ""},
    "empty split": {"trafficSplit": []},
    "split of zeros": {"trafficSplit": [{"service": "plain", "weight": 0}]},
    "attempts": {"maxAttempts": 0},
    "prefix without slash": {"pathPrefix": "/read/odd"},
    "time-out": {"timeoutMs": "3000"},
}


# Guards against a route that an odd field opens to all, and against requests of
# a route that is left out: they went where the route of the shorter path leads.
@pytest.mark.parametrize("odd", ODD_ROUTES)
async def test_an_odd_route_is_refused_alone(world, odd):
    await world.start()
    sound = conftest.route("read", "plain", "idempotent")
    odd_route = conftest.route("read/odd", "plain", "idempotent")
    south = {"name": "south", "apiKeys": ["south-key"]}
    await declare(
        world, routes=[sound, odd_route | ODD_ROUTES[odd]], tenants=[south]
    )
    for key in [*NEVER_HELD, "south-key"]:
        assert await ask(world, key, path="/read/odd/1") == 503
        expected = 200 if key == "south-key" else 401
        assert await ask(world, key, path="/read/1") == expected
    # The rest of the version holds, such as the key that it takes away.
    assert await ask(world, conftest.API_KEY) == 401
    refused = events_of(world, events.RequestRefused)
    details = {
        line["detail"] for line in refused if line["reason"] == "unusable_route"
    }
    (detail,) = details
    assert detail.startswith("routes[1]")


async def test_an_anonymous_route_is_served_without_accounts(world):
    await world.start()
    route = conftest.route("read", "plain", "idempotent", anonymous=True)
    await declare(world, routes=[route], tenants=[])
    world.read_log()
    assert await ask(world, None) == 200
    (line,) = events_of(world, events.RequestReceived)
    assert (line["account"], line["keyless"]) == ("", "anonymous route")


async def test_an_open_connection_is_refused_once_its_key_is_taken_away(world):
    await world.start()
    client = await world.client()
    assert (await client.call("GET", "/read/1", "r1")).status == 200
    await declare(world, tenants=[])
    for number in range(3):
        response = await client.call("GET", "/read/1", f"after{number}")
        assert response.status == 401
        assert world.count_executions(f"after{number}") == 0


async def test_the_stream_of_an_account_that_is_gone_is_not_taken_up(world):
    await world.start()
    client = await world.client()
    client.send("GET", "/stream/again/1", "s1")
    # What began goes on; its client does not come back for it.
    response = await client.receive()
    assert response.status == 200
    await declare(world, tenants=[])
    again = await client.call(
        "GET", "/stream/again/1", "s2", Last_Event_Id="1", Resumes="s1"
    )
    assert again.status == 401
    assert world.count_executions("s2") == 0


# A daemon that the store does not reach learns from another one that the last
# account is gone.
async def test_a_daemon_without_the_store_refuses_the_last_key(world):
    await world.start()
    link = proxy.Link(world.store.address)
    await link.start()
    world.links["store"] = {"store": link}
    cut = await world.add_daemon(store_address=link.address)
    await world.until(cut.is_ready)
    await world.until(lambda: cut.state.directory.usable("plain"))
    link.partition(proxy.Partition.HANGING)
    await declare(world, tenants=[])
    assert cut.state.declaration.version == 2
    for key in [conftest.API_KEY, *NEVER_HELD]:
        # It can't know whether a newer version holds the key.
        assert await ask(world, key, 1) in (401, 503)


# Guards against fetching a version without end that a daemon of another build
# has in force and that this build rejects.
async def test_a_rejected_version_is_not_fetched_again_and_again(world):
    await world.start(daemons=2)
    other, daemon = world.daemons
    asked = []
    fetch = daemon.members.fetcher.fetch_declaration

    async def count(member, version):
        asked.append(version)
        return await fetch(member, version)

    daemon.members.fetcher.fetch_declaration = count
    raw = json.dumps(conftest.declaration(2, tenants=None)).encode()
    # The other daemon uses what this one rejects.
    other.state.declaration.raw = raw
    table = other.state.declaration.table
    declared = type(table.declaration)(
        **{
            **vars(table.declaration),
            "version": 2,
        }
    )
    other.state.declaration.table = type(table)(declared)
    await world.until(lambda: daemon.state.declaration.rejected == raw)
    before = len(asked)
    number = daemon.members.others["edge-1"].digest.number
    await world.until(
        lambda: daemon.members.others["edge-1"].digest.number > number + 5
    )
    assert len(asked) == before == 1
    assert await ask(world, None, 1) == 401


# Guards against a daemon that starts beside one of another build: once that one
# had sent a version that is rejected, the one before was not fetched either.
def test_only_the_rejected_version_is_not_fetched_again():
    active = states.ActiveDeclaration(rejected_version=9, rejected_at_s=100.0)
    assert not active.lacks(9, 101.0)
    assert active.lacks(8, 101.0)
    assert active.lacks(10, 101.0)
    assert active.lacks(9, 200.0)
