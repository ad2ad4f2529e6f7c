"""Measures costs of routing, membership and configuration without sockets.

The largest sizes are at least those of the target deployment in ``target.py``.
"""

import dataclasses
import itertools
import json
import random
from collections.abc import Iterator

import cattrs
import xxhash

from turmericcroft.daemon import board as boards
from turmericcroft.daemon import membership
from turmericcroft.fleet import directory
from turmericcroft.intent import document
from turmericcroft.intent import part
from turmericcroft.membership import view
from turmericcroft.mesh import codec
from turmericcroft.mesh import message as messages
from turmericcroft.routing import choice
from turmericcroft.routing import engine_speed
from turmericcroft.routing import engines
from turmericcroft.routing import fleet
from turmericcroft.routing import loadview
from turmericcroft.routing.placement import engines as placement
from turmericcroft.routing.placement import prediction
from turmericcroft.routing.work import remaining
from turmericcroft.routing.work import statements
from turmericcroft.timeline import clock
from turmericcroft_lab import keyvalue
from turmericcroft_lab.slopes import series

SERVERS = (10, 30, 100, 300, 1_000, 3_000, 5_000)
MEMBERS = (8, 16, 32, 64, 128, 256, 410)
ENGINES = (10, 30, 70, 150, 300, 500)
ROWS = (10, 30, 100, 300, 1_000, 3_000, 10_000)
_CALLS = 2_000


def measure_all() -> list[series.Series]:
    """Measures every series of this module."""
    return [
        series.measure("route", "us", "servers", SERVERS, _route_us),
        series.measure(
            "route by rendezvous", "us", "servers", SERVERS, _rendezvous_us
        ),
        *measure_placement(),
        series.measure(
            "build rings", "us", "servers", SERVERS, _build_rings_us
        ),
        series.measure(
            "rebuild one ring", "us", "servers", SERVERS, _rebuild_ring_us
        ),
        series.measure(
            "load report", "us", "servers", SERVERS, _load_report_us
        ),
        series.measure(
            "load view", "bytes", "servers", SERVERS, _load_view_bytes
        ),
        series.measure(
            "heartbeats", "us/s", "members", MEMBERS, _heartbeats_us
        ),
        series.measure(
            "heartbeats sent", "bytes/s", "members", MEMBERS, _heartbeats_bytes
        ),
        series.measure(
            "member view", "bytes", "members", MEMBERS, _member_view_bytes
        ),
        series.measure(
            "member listing", "bytes", "members", MEMBERS, _member_listing_bytes
        ),
        series.measure("VM list", "bytes", "servers", SERVERS, _vm_list_bytes),
        series.measure("put in force", "us", "rows", ROWS, _put_in_force_us),
        series.measure(
            "first put in force", "us", "rows", ROWS, _first_in_force_us
        ),
        series.measure("change", "bytes", "rows", ROWS, _change_bytes),
        series.measure(
            "configuration", "bytes", "rows", ROWS, _configuration_bytes
        ),
    ]


def measure_placement() -> list[series.Series]:
    """Measures the choice of a model engine, by digests and by work."""
    return [
        series.measure(
            "choose an engine", "us", "engines", ENGINES, _choose_engine_us
        ),
        series.measure(
            "place a prompt", "us", "engines", ENGINES, _place_prompt_us
        ),
        series.measure(
            "renew the work", "us", "engines", ENGINES, _renew_work_us
        ),
    ]


def _make_known(count: int) -> remaining.Inputs:
    """Makes what a daemon knows of engines, told by four relays."""
    rng = random.Random(count)
    servers = tuple(
        directory.Server(f"engine-{n}", "pool", "127.0.0.1", n, f"z{n % 4}", 64)
        for n in range(count)
    )
    loads, cached = engines.EngineLoads(), engines.CachedPrefixes()
    stated = statements.ServerStatements()
    for relay in range(4):
        work = {
            server.name: engines.EngineLoad(
                rng.randrange(1, 4), rng.randrange(8_000)
            )
            for server in servers
            if rng.random() < 0.7
        }
        loads.update_peer(f"relay-{relay}", work)
    loads.reported_at_s = 0.0
    for server in servers:
        load = statements.ServerStatement(
            server.name, 0, "pool", 3, 0, 1.0, age_s=rng.random()
        )
        stated.record(load, 0.0)
        for _ in range(8):
            cached.record(server.incarnation, rng.getrandbits(60), 4_000, 0.0)
    for server in servers[:6]:
        cached.record(server.incarnation, 1, 4_000, 0.0)
    return remaining.Inputs(
        servers,
        loads,
        stated,
        cached,
        engine_speed.ASSUMED_SPEED,
        uses_relays=True,
        daemons=64,
        place=1,
        fleet_work_s=0.0,
    )


_PROMPT = engines.Prompt(1, 4_000, 4_000, 100)


def _choose_engine_us(size: float) -> float:
    known = _make_known(int(size))
    servers = known.servers
    return series.cpu_us(
        lambda: engines.choose(
            _PROMPT, servers, known.loads, known.cached, 0.1, servers
        ),
        200,
    )


def _place_prompt_us(size: float) -> float:
    known = _make_known(int(size))
    table = remaining.ServiceWork().renew(known, 0.1)
    request = prediction.Request(_PROMPT, 0.8, 0.5, 4, "z0", 400_000)
    rng = random.Random(1)

    def place() -> None:
        holders = placement.find_holders(
            table, (), known.cached, _PROMPT.prefix, 0.1
        )
        placement.choose(
            request, known.servers, table, known.loads.own, holders, 0.0, rng
        )

    return series.cpu_us(place, 500)


def _renew_work_us(size: float) -> float:
    """Measures the estimate of all servers' work, made ten times a second."""
    known = _make_known(int(size))
    work = remaining.ServiceWork()
    return series.cpu_us(lambda: work.renew(known, 0.1), 50)


def _make_servers(count: int) -> list[fleet.Server]:
    return [
        fleet.Server(
            f"engine-{index}",
            f"zone-{index % 7}",
            f"http://127.0.0.1:{index + 1}",
            ("survey",),
            True,
            16,
            1.0,
            f"boot-{index}",
        )
        for index in range(count)
    ]


def _make_load_view(count: int) -> loadview.LoadView:
    loads = loadview.LoadView()
    rng = random.Random(count)
    for server in _make_servers(count):
        loads.add(server.name, server.slots)
        loads.record_report(server.name, rng.randrange(12), 0.0)
    return loads


def _route_us(size: float) -> float:
    count = int(size)
    servers = fleet.build(_make_servers(count))
    loads = _make_load_view(count)
    keys = iter(_affinity_keys())

    def route() -> None:
        query = choice.RoutingQuery(
            "survey", next(keys), "zone-0", frozenset(), 1.25, 0.9
        )
        choice.choose(query, servers, loads, 0.5)

    return series.cpu_us(route, _CALLS)


def _rendezvous_us(size: float) -> float:
    names = [server.name for server in _make_servers(int(size))]
    keys = iter(_affinity_keys())

    def route() -> None:
        key = next(keys)
        max(names, key=lambda n: xxhash.xxh3_64_intdigest(n.encode(), key))

    return series.cpu_us(route, max(20, 20_000 // int(size)))


def _build_rings_us(size: float) -> float:
    servers = _make_servers(int(size))
    return series.cpu_us(lambda: fleet.build(servers), 3)


def _rebuild_ring_us(size: float) -> float:
    """Measures the rebuild of the rings of one zone after a server left."""
    servers = _make_servers(int(size))
    before = fleet.build(servers)
    return series.cpu_us(lambda: fleet.build(servers[1:], before), 3)


def _load_report_us(size: float) -> float:
    loads = _make_load_view(int(size))
    names = itertools.cycle(loads.servers)
    return series.cpu_us(
        lambda: loads.record_report(next(names), 5, 1.0), _CALLS
    )


def _load_view_bytes(size: float) -> float:
    return series.allocated_bytes(lambda: _make_load_view(int(size)))


def _make_member_view(count: int) -> view.View:
    members = [
        view.Member(
            f"entry-{index:04d}", 1, f"zone-{index % 7}", "10.0.0.1", 8_082
        )
        for index in range(count)
    ]
    member_view = view.View(members[0])
    member_view.add_listed(members[1:], 0.0)
    member_view.neighbours(0.0)
    return member_view


def _make_heartbeat(member_view: view.View) -> messages.Heartbeat:
    return messages.Heartbeat(
        member_view.own,
        False,
        77,
        clock.Stamp(1, 0),
        member_view.recent_rumours(1.0),
    )


def _heartbeats_us(size: float) -> float:
    """Measures a second of heartbeats: two round trips with each neighbour."""
    member_view = _make_member_view(int(size))

    def one_second() -> None:
        for _ in member_view.neighbours(1.0):
            for _ in range(4):
                data = messages.CODEC.encode(
                    codec.Envelope(1, _make_heartbeat(member_view))
                )
                decoded = messages.CODEC.decode(data).message
                assert isinstance(decoded, messages.Heartbeat)
        member_view.update_health(1.0)

    return series.cpu_us(one_second, 20)


def _apply_message(member_view: view.View, message: messages.Message) -> None:
    match message:
        case messages.Heartbeat(rumours=rumours):
            member_view.merge_rumours(rumours, 1.0)


def _heartbeats_bytes(size: float) -> float:
    member_view = _make_member_view(int(size))
    data = messages.CODEC.encode(
        codec.Envelope(1, _make_heartbeat(member_view))
    )
    # For each neighbour, one heartbeat and one response to its heartbeat.
    return 2.0 * len(data) * len(member_view.neighbours(1.0))


def _member_listing_bytes(size: float) -> float:
    """Returns the size of the key-value service's listing of all members."""
    store = keyvalue.Store(lambda: 0.0)
    for member in _make_member_view(int(size)).alive():
        value = json.dumps(cattrs.unstructure(member)).encode()
        store.put((membership.PREFIX + member.name).encode(), value, 7_000)
    prefix = membership.PREFIX.encode()
    return float(len(json.dumps(store.range(prefix, prefix + b"\xff"))))


def _vm_list_bytes(size: float) -> float:
    """Returns the size of the VM list."""
    listed = [
        {
            "name": server.name,
            "role": "model",
            "availability_zone": server.availability_zone,
            "url": server.url,
            "runs": list(server.public_names),
            "state": "live",
            "price_per_h": server.price_per_h,
            "slots": server.slots,
            "boot_id": server.boot_id,
        }
        for server in _make_servers(int(size))
    ]
    return float(len(json.dumps({"vms": listed})))


def _member_view_bytes(size: float) -> float:
    return series.allocated_bytes(lambda: _make_member_view(int(size)))


def _make_document(rows: int) -> document.Document:
    deployments = [
        document.Deployment(
            document.Kind.MODEL,
            f"model-{index}",
            "adapter",
            "2026-11-01",
            ("north", "east"),
            ("zone-a", "zone-b", "zone-c"),
            index % 9 + 1,
            4,
            910,
            50,
            16_384,
        )
        for index in range(rows)
    ]
    return document.Document(
        {row.key: row for row in deployments},
        {
            name: document.Account(name, ("0" * 64,))
            for name in ("north", "east")
        },
        document.Policy(),
    )


def _make_head(parts: "dict[str, bytes]") -> part.Head:
    return part.Head(1, tuple(parts), "a", "m", 0.0)


def _put_in_force_us(size: float) -> float:
    """Measures decoding a document with one row changed since the last."""
    current = _make_document(int(size))
    before = dict(part.split(current))
    in_force = boards.decode_in_force(_make_head(before), before)
    after = dict(part.split(_change_a_row(current)))
    head = _make_head(after)
    return series.cpu_us(
        lambda: boards.decode_in_force(head, after, in_force), 3
    )


def _first_in_force_us(size: float) -> float:
    """Measures decoding a daemon's first document."""
    parts = dict(part.split(_make_document(int(size))))
    head = _make_head(parts)
    return series.cpu_us(lambda: boards.decode_in_force(head, parts), 2)


def _change_a_row(current: document.Document) -> document.Document:
    rows = dict(current.deployments)
    key = next(iter(rows))
    rows[key] = dataclasses.replace(rows[key], priority=9)
    return dataclasses.replace(current, deployments=rows)


def _change_bytes(size: float) -> float:
    """Returns the bytes that a daemon fetches when one row has changed."""
    current = _make_document(int(size))
    before = part.split(current)
    after = part.split(_change_a_row(current))
    fetched = sum(
        len(data) for digest, data in after.items() if digest not in before
    )
    return float(fetched + len(part.encode_head(_make_head(dict(after)))))


def _configuration_bytes(size: float) -> float:
    parts = dict(part.split(_make_document(int(size))))
    head = _make_head(parts)
    return series.allocated_bytes(lambda: boards.decode_in_force(head, parts))


def _affinity_keys() -> Iterator[int]:
    rng = random.Random(1)
    while True:
        yield rng.getrandbits(64)
