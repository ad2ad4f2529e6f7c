"""Odd values of other writers, servers and daemons, to a daemon that runs."""

import asyncio
import base64
import json

import logbook
import pytest

from testing.gateway import conftest
from testing.gateway import test_members
from turmericcroft import errors
from turmericcroft.gateway import following
from turmericcroft.gateway import messages
from turmericcroft.mesh import codec
from turmericcroft.mesh import link
from turmericcroft.platform import dialect
from turmericcroft.platform import store as store_clients
from turmericcroft_lab.hosted import store


@pytest.fixture
def log():
    handler = logbook.TestHandler()
    handler.push_application()
    yield handler
    handler.pop_application()


# The codec of host names raises a UnicodeError for these, which is no OSError.
@pytest.mark.parametrize("host", ["x" * 70, "a..b", "\u00e9..b"], ids=ascii)
async def test_requests_are_answered_beside_a_host_that_cannot_be_encoded(
    world, log, host
):
    # Each request for the odd server ended with its connection unanswered.
    await world.start(plain=1)
    sound = world.servers_of("plain")[0]
    for number in range(3):
        entry = sound.registry_entry(address=f"{host}:80")
        world.store.write(f"servers/odd-{number}", entry)
    await world.add_backend("plain")
    daemon = world.daemons[0]
    await world.until(lambda: "i-4" in daemon.state.directory.records)
    client = await world.client()
    for number in range(8):
        method, path = ("GET", "/read/1"), ("POST", "/book/1")
        response = await client.call(*(method, path)[number % 2], f"r{number}")
        assert response.status == 200
    assert not daemon.state.reserved.total()
    keys = [
        record.kwargs["key"]
        for record in log.records
        if record.msg.startswith("cannot decode a server's entry")
    ]
    assert sorted(keys) == [f"servers/odd-{n}" for n in range(3)]


ODD_ITEMS = {
    "no key": {"value": "", "revision": 3},
    "key of another type": {"key": 7, "value": "", "revision": 3},
    "no item": [1, 2],
    "no revision": {"key": "servers/odd", "value": ""},
    "fraction": {"key": "servers/odd", "value": "", "revision": 1.5},
    "text": {"key": "servers/\ud800", "value": "", "revision": 3},
}


class OddStore(store.HostedStore):
    """A store whose listings and changes contain an item of another form."""

    def __init__(self):
        super().__init__()
        self.odd = None

    def _range(self, prefix, after):
        page = super()._range(prefix, after)
        if self.odd is not None and prefix == "servers/":
            # At the end, where the next page begins.
            page["entries"].append(self.odd)
        return page

    async def _answer(self, *arguments):
        status, body = await super()._answer(*arguments)
        if self.odd is not None and body.get("events"):
            body["events"].insert(0, self.odd)
        return status, body


# Guards against an item that keeps a daemon from following the store: none of
# the page or of the changes that held it was applied.
@pytest.mark.parametrize("odd", ODD_ITEMS)
async def test_an_odd_item_takes_no_other_with_it(world, log, odd):
    world.store = OddStore()
    world.store.odd = ODD_ITEMS[odd]
    await world.start(daemons=0)
    daemon = await world.add_daemon()
    await world.until(daemon.is_ready)
    await world.until(lambda: len(daemon.state.directory.records) == 4)
    await world.add_backend("plain")
    await world.until(lambda: len(daemon.state.directory.records) == 5, 3.0)
    client = await world.client()
    assert (await client.call("GET", "/read/1", "r1")).status == 200
    found = [r for r in log.records if r.msg.startswith("cannot read an item")]
    assert len(found) == 1
    assert daemon.store.skipped.total() >= 2


async def test_odd_items_between_two_pages_don_t_stop_a_listing():
    pages = {
        None: {
            "entries": [_item("a", 1), {"key": "\ud800", "revision": 2}],
            "hasMore": True,
            "at": 9,
        },
        "a": {"entries": [_item("b", 2)], "hasMore": False, "at": 9},
    }
    client = store_clients.Store("")

    async def call(_method, _path, query):
        return store_clients._Answer(200, pages[query.get("after")], 0)

    client._call = call
    listing = await client.list_prefix("")
    assert [item.key for item in listing.items] == ["a", "b"]


async def test_a_page_of_odd_items_alone_is_no_end_of_a_listing():
    # The servers on the next pages would count as removed.
    client = store_clients.Store("")

    async def call(_method, _path, _query):
        body = {"entries": [{"key": 1}], "hasMore": True, "at": 9}
        return store_clients._Answer(200, body, 0)

    client._call = call
    with pytest.raises(errors.PlatformError):
        await client.list_prefix("")


# Guards against a page without a list of entries that is taken for an empty
# one: all servers would count as removed.
@pytest.mark.parametrize("entries", [None, {}, "", 0])
async def test_a_page_without_a_list_of_items_is_no_empty_page(entries):
    client = store_clients.Store("")

    async def call(_method, _path, _query):
        body = {"entries": entries, "hasMore": False, "at": 9}
        if entries is None:
            del body["entries"]
        return store_clients._Answer(200, body, 0)

    client._call = call
    with pytest.raises(errors.PlatformError):
        await client.list_prefix("")


def _item(key, revision):
    value = base64.b64encode(b"{}").decode()
    return {"key": key, "value": value, "revision": revision}


MEMBER = {
    "name": "edge-0",
    "incarnation": 1,
    "availability_zone": "a",
    "host": "127.0.0.1",
    "port": 1,
    "link_mbps": 1e300,
    "tunnel_port": 1,
}
ODD_MEMBERS = {
    "port": {"port": 70_000},
    "negative port": {"port": -1},
    "huge port": {"port": 10**300},
    "tunnel port": {"tunnel_port": 70_000},
    "host": {"host": "x" * 70},
    "host text": {"host": "\ud800"},
    "name": {"name": "\ud800"},
    "zone": {"availability_zone": "\ud800"},
    "incarnation": {"name": "edge-1", "incarnation": 10**300},
    "link": {"link_mbps": float("nan")},
}


# A call of such a relay raised what no caller expected, so it never counted as
# unreachable, and its zone got no updates; text that can't be encoded ended
# every exchange of members.
@pytest.mark.parametrize("odd", ODD_MEMBERS)
async def test_an_odd_daemon_in_the_store_stops_no_exchange_of_state(
    world, monkeypatch, log, odd
):
    test_members._make_large_fleet(monkeypatch)
    await world.start(daemons=0)
    entry = MEMBER | ODD_MEMBERS[odd]
    world.store.write(following.MEMBER_PREFIX + "edge-0", entry)
    for zone in ("a", "a", "b"):
        await world.add_daemon(zone=zone)
    await world.until(
        lambda: all(len(d.members.others) >= 2 for d in world.daemons)
    )
    server = await world.add_backend("plain")
    for daemon in world.daemons:
        await world.until(
            lambda d=daemon: server.name in d.state.directory.records
        )
        await world.until(
            lambda d=daemon: len(d.members.relay_exchange.summaries) >= 2
        )
    assert not any("job failed" in record.msg for record in log.records)
    for _, known in [
        pair for d in world.daemons for pair in d.members.others.items()
    ]:
        assert known.member.incarnation < 2**63


ODD_RECORDS = {
    "versions/text": ("versions", [["engines", "\ud800"]]),
    "coverage/text": (
        "coverage",
        {
            "complete_for_s": 99.0,
            "seen": [["engines", "\ud800", 0.0]],
            "first": {"era": 1, "revision": 1},
            "last": {"era": 1, "revision": 2},
            "declaration_version": 1,
        },
    ),
    "coverage/positions": (
        "coverage",
        {
            "complete_for_s": 99.0,
            "first": {"era": 2**70, "revision": -1},
            "last": {"era": 2**70, "revision": 2**70},
            "declaration_version": 1,
        },
    ),
    "usage/text": ("usage/5", {"\ud800": 1}),
    "usage/number": ("usage/5", {"north": 10**300}),
    "quarantine/text": (
        "quarantine/q",
        {
            "wall_s": 1.0,
            "notes": [
                {
                    "server": "\ud800",
                    "started_at_ms": 1,
                    "suspects": ["\ud800"],
                    "age_s": 0.0,
                }
            ],
        },
    ),
}


@pytest.mark.parametrize("odd", ODD_RECORDS)
async def test_an_odd_record_keeps_no_digest_from_other_daemons(
    world, log, odd
):
    # Text that can't be encoded was passed on in digests, which failed as a
    # whole: no daemon learned of the others any more.
    await world.start(daemons=2)
    key, value = ODD_RECORDS[odd]
    world.store.write(following.GATEWAY_PREFIX + key, value)
    await asyncio.sleep(1.5)
    for daemon in world.daemons:
        (peer,) = daemon.members.others.values()
        before = peer.digest.number
        await world.until(lambda p=peer, n=before: p.digest.number > n, 2.0)
        messages.CODEC.decode(
            messages.CODEC.encode(codec.Envelope(1, peer.digest))
        )


@pytest.mark.parametrize(
    "port", [70_000, -1, 10**300], ids=["above", "negative", "huge"]
)
async def test_a_call_to_a_port_out_of_range_is_a_failed_call(port):
    connection = link.PeerConnection("127.0.0.1", port, "", messages.CODEC)
    with pytest.raises(errors.MeshError):
        await connection.call(messages.FetchMembers(), 1.0)


async def test_an_odd_summary_takes_no_other_with_it(world, monkeypatch, log):
    # The summaries that a relay passes on come from other daemons.
    test_members._make_large_fleet(monkeypatch)
    await test_members._start_in_zones(world, "a", "b", "c")
    exchange = world.daemons[0].members.relay_exchange
    await world.until(lambda: len(exchange.summaries) == 3)
    sound = next(
        held for key, held in exchange.summaries.items() if "edge-2" in key
    )
    encode = messages.CODEC.encode
    odd = [
        messages.Encoded("odd/1", 1, b"\x00"),
        messages.Encoded("odd/2", 1, b"\x81" * 100_000),
        messages.Encoded("odd/3", 1, encode(codec.Envelope(0, codec.Done()))),
    ]
    del exchange.summaries[sound.encoded.relay]
    share = messages.Share("edge-9", (*odd, sound.encoded), {})
    reply = exchange.handle_share(share)
    assert isinstance(reply, messages.Share)
    assert sound.encoded.relay in exchange.summaries
    assert not any("odd" in key for key in exchange.summaries)
    exchange.run_round()


@pytest.mark.parametrize(
    "changes",
    [
        {"wall_s": float("nan")},
        {"wall_s": float("inf")},
        {"fleet_age_s": float("nan")},
        {"number": 10**300},
        {"version": 10**300},
        {"quota_totals": {"north": float("inf")}},
        {"work": {"i-1": (10**300, 1)}},
    ],
    ids=lambda changes: next(iter(changes)),
)
def test_numbers_out_of_range_are_no_message(changes):
    # A time of day that is no number made each request fail that was counted.
    member = messages.Member("edge-9", 1, "a", "127.0.0.1", 1)
    fields = {
        "member": member,
        "number": 1,
        "wall_s": 1.0,
        "version": 1,
        "fleet_age_s": 0.0,
        "work": {},
        "quota_totals": {},
        "usage": {},
        "crashes": {},
        "demand": {},
        "heads": (),
    }
    digest = messages.Digest(**fields | changes)
    data = messages.CODEC.encode(codec.Envelope(1, messages.Exchange(digest)))
    with pytest.raises(errors.MeshError):
        messages.CODEC.decode(data)


@pytest.mark.parametrize(
    "handle",
    ["h\r\nX-Pin-Ms: 9", "h\r\n\r\nGET / HTTP/1.1", "\ud800", "\u00e9", "h h"],
    ids=ascii,
)
def test_a_handle_that_is_no_header_value_counts_as_not_stated(handle):
    # It is sent to another server in a header, where it could add a request.
    body = json.dumps({"transferHandle": handle}).encode()
    assert dialect.Dialect().read_migration_response(body).handle == ""


@pytest.mark.parametrize(
    "number",
    [10**400, -(10**400), float("inf"), float("nan")],
    ids=["huge", "negative", "infinite", "no number"],
)
def test_a_time_to_leave_out_of_range_counts_as_not_stated(number):
    body = json.dumps({"born": 5, "runs": [], "leaves_ms": number}).encode()
    report = dialect.Dialect().read_report(body)
    assert report.time_left_s is None
    assert report.started_at_ms == 5


@pytest.mark.parametrize(
    "row",
    [["", "\ud800", 5, "m"], ["", "c", 10**300, "m"], ["", "c", -5, "m"], 5],
    ids=["text", "huge", "negative", "no row"],
)
def test_an_odd_cached_part_takes_no_other_with_it(row):
    rows = [["", "c1", 100, "m"], row, ["", "c2", 200, "m"]]
    body = json.dumps({"held": rows}).encode()
    parts = dialect.Dialect().read_cache_list(body)
    assert [part.content_id for part in parts] == ["c1", "c2"]


ROUTE = conftest.route("read", "plain", "idempotent")


@pytest.mark.parametrize(
    "changes",
    [
        {"routes": [ROUTE | {"pathPrefix": 5}]},
        {"routes": [ROUTE | {"timeoutMs": float("nan")}]},
        {"routes": [ROUTE | {"timeoutMs": float("inf")}]},
        {"routes": [ROUTE | {"name": "\ud800"}]},
        {"limits": {"headerTimeoutMs": float("nan")}},
        {"version": 10**300},
    ],
    ids=[
        "prefix",
        "no number",
        "infinite",
        "text",
        "limit",
        "version",
    ],
)
async def test_an_odd_declaration_leaves_the_one_in_force(world, log, changes):
    await world.start()
    daemon = world.daemons[0]
    odd = conftest.declaration(**{"version": 2} | changes)
    world.store.write("op/config", odd)
    await world.add_backend("plain")
    await world.until(lambda: len(daemon.state.directory.records) == 5)
    client = await world.client()
    assert (await client.call("GET", "/read/1", "r1")).status == 200
    assert daemon.state.declaration.version == 1
    # A daemon that starts then serves once a sound version is there.
    other = await world.add_daemon()
    world.store.write("op/config", conftest.declaration(version=3))
    await world.until(lambda: other.state.declaration.version == 3)
    assert not any("job failed" in record.msg for record in log.records)


# A version that is refused for a route keeps in force the keys that it takes
# away, so the route alone is refused.
@pytest.mark.parametrize(
    "changes",
    [{"timeoutMs": -5}, {"service": ["plain"]}],
    ids=["negative", "service"],
)
async def test_an_odd_route_leaves_the_rest_of_its_version_in_force(
    world, log, changes
):
    await world.start()
    daemon = world.daemons[0]
    book = conftest.route("book", "plain", "non_idempotent", maxAttempts=1)
    east = {"name": "east", "apiKeys": ["east-key"]}
    odd = conftest.declaration(
        2, routes=[ROUTE | changes, book], tenants=[east]
    )
    world.store.write("op/config", odd)
    await world.add_backend("plain")
    await world.until(lambda: len(daemon.state.directory.records) == 5)
    await world.until(lambda: daemon.state.declaration.version == 2)
    client = await world.client()
    east_key = {"X_Credential": "east-key"}
    refused = await client.call("GET", "/read/1", "r1", **east_key)
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) > 0.0
    assert world.count_executions("r1") == 0
    served = await client.call("POST", "/book/1", "b1", **east_key)
    assert served.status == 200
    assert (await client.call("POST", "/book/1", "b2")).status == 401
    # A daemon that starts then serves by a sound version once it is there.
    other = await world.add_daemon()
    world.store.write("op/config", conftest.declaration(version=3))
    await world.until(
        lambda: all(d.state.declaration.version == 3 for d in (daemon, other))
    )
    assert (await client.call("GET", "/read/1", "r2")).status == 200
    assert not any("job failed" in record.msg for record in log.records)
