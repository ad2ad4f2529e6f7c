"""Slopes of routing, membership and configuration, without sockets."""

import dataclasses
import itertools
import json
import random
from collections.abc import Iterator

import cattrs
import xxhash

from turmericcroft.daemon import board as boards
from turmericcroft.daemon import membership
from turmericcroft.intent import document
from turmericcroft.intent import part
from turmericcroft.membership import view
from turmericcroft.mesh import codec
from turmericcroft.mesh import message as messages
from turmericcroft.routing import choice
from turmericcroft.routing import fleet
from turmericcroft.routing import loadview
from turmericcroft.timeline import clock
from turmericcroft_lab import keyvalue
from turmericcroft_lab.slopes import series

SERVERS = (10, 30, 100, 300, 1_000, 3_000, 5_000)
MEMBERS = (8, 16, 32, 64, 128, 256, 410)
ROWS = (10, 30, 100, 300, 1_000, 3_000, 10_000)
_TIMES = 2_000


def measure_all() -> list[series.Series]:
    """Measures every series of this module."""
    return [
        series.measure("route", "us", "servers", SERVERS, _route_us),
        series.measure(
            "route by rendezvous", "us", "servers", SERVERS, _rendezvous_us
        ),
        series.measure("build rings", "us", "servers", SERVERS, _build_us),
        series.measure(
            "rebuild one ring", "us", "servers", SERVERS, _rebuild_us
        ),
        series.measure("load report", "us", "servers", SERVERS, _report_us),
        series.measure("load view", "bytes", "servers", SERVERS, _view_bytes),
        series.measure("heartbeats", "us/s", "members", MEMBERS, _beats_us),
        series.measure(
            "heartbeats sent", "bytes/s", "members", MEMBERS, _beats_bytes
        ),
        series.measure(
            "member view", "bytes", "members", MEMBERS, _members_bytes
        ),
        series.measure(
            "member listing", "bytes", "members", MEMBERS, _listing_bytes
        ),
        series.measure("VM list", "bytes", "servers", SERVERS, _vms_bytes),
        series.measure("put in force", "us", "rows", ROWS, _put_in_force_us),
        series.measure(
            "first put in force", "us", "rows", ROWS, _first_in_force_us
        ),
        series.measure("change", "bytes", "rows", ROWS, _change_bytes),
        series.measure("configuration", "bytes", "rows", ROWS, _document_bytes),
    ]


def _servers(count: int) -> list[fleet.Server]:
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


def _loaded_view(count: int) -> loadview.LoadView:
    view_of_load = loadview.LoadView()
    rng = random.Random(count)
    for server in _servers(count):
        view_of_load.add(server.name, server.slots)
        view_of_load.record_report(server.name, rng.randrange(12), 0.0)
    return view_of_load


def _route_us(size: float) -> float:
    count = int(size)
    servers = fleet.build(_servers(count))
    loads = _loaded_view(count)
    keys = iter(_keys())

    def route() -> None:
        question = choice.RoutingQuery(
            "survey", next(keys), "zone-0", frozenset(), 1.25, 0.9
        )
        choice.choose(question, servers, loads, 0.5)

    return series.cpu_us(route, _TIMES)


def _rendezvous_us(size: float) -> float:
    names = [server.name for server in _servers(int(size))]
    keys = iter(_keys())

    def route() -> None:
        key = next(keys)
        max(names, key=lambda n: xxhash.xxh3_64_intdigest(n.encode(), key))

    return series.cpu_us(route, max(20, 20_000 // int(size)))


def _build_us(size: float) -> float:
    servers = _servers(int(size))
    return series.cpu_us(lambda: fleet.build(servers), 3)


def _rebuild_us(size: float) -> float:
    """A server left: the rings of its zone are made anew."""
    servers = _servers(int(size))
    before = fleet.build(servers)
    return series.cpu_us(lambda: fleet.build(servers[1:], before), 3)


def _report_us(size: float) -> float:
    loads = _loaded_view(int(size))
    names = itertools.cycle(loads.servers)
    return series.cpu_us(
        lambda: loads.record_report(next(names), 5, 1.0), _TIMES
    )


def _view_bytes(size: float) -> float:
    return series.held_bytes(lambda: _loaded_view(int(size)))


def _members(count: int) -> view.View:
    members = [
        view.Member(
            f"entry-{index:04d}", 1, f"zone-{index % 7}", "10.0.0.1", 8_082
        )
        for index in range(count)
    ]
    built = view.View(members[0])
    built.add_listed(members[1:], 0.0)
    built.neighbours(0.0)
    return built


def _beat(built: view.View) -> messages.Heartbeat:
    return messages.Heartbeat(
        built.own, False, 77, clock.Stamp(1, 0), built.recent_rumours(1.0)
    )


def _beats_us(size: float) -> float:
    """One second of heartbeats: sent, answered, and the same received."""
    built = _members(int(size))

    def one_second() -> None:
        for _ in built.neighbours(1.0):
            for _ in range(4):
                data = messages.CODEC.encode(codec.Envelope(1, _beat(built)))
                decoded = messages.CODEC.decode(data).message
                assert isinstance(decoded, messages.Heartbeat)
        built.update_health(1.0)

    return series.cpu_us(one_second, 20)


def _take_in(built: view.View, message: messages.Message) -> None:
    match message:
        case messages.Heartbeat(rumours=rumours):
            built.merge_rumours(rumours, 1.0)


def _beats_bytes(size: float) -> float:
    built = _members(int(size))
    data = messages.CODEC.encode(codec.Envelope(1, _beat(built)))
    # A heartbeat sent and an answer to one received, for each neighbour.
    return 2.0 * len(data) * len(built.neighbours(1.0))


def _listing_bytes(size: float) -> float:
    """Bytes of one listing, as the key-value service answers it."""
    store = keyvalue.Store(lambda: 0.0)
    for member in _members(int(size)).alive():
        value = json.dumps(cattrs.unstructure(member)).encode()
        store.put((membership.PREFIX + member.name).encode(), value, 7_000)
    prefix = membership.PREFIX.encode()
    return float(len(json.dumps(store.range(prefix, prefix + b"\xff"))))


def _vms_bytes(size: float) -> float:
    """Bytes of one VM list."""
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
        for server in _servers(int(size))
    ]
    return float(len(json.dumps({"vms": listed})))


def _members_bytes(size: float) -> float:
    return series.held_bytes(lambda: _members(int(size)))


def _document(rows: int) -> document.Document:
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


def _head(parts: "dict[str, bytes]") -> part.Head:
    return part.Head(1, tuple(parts), "a", "m", 0.0)


def _put_in_force_us(size: float) -> float:
    """Puts a document with one changed row in force."""
    whole = _document(int(size))
    before = dict(part.split(whole))
    in_force = boards.decode_in_force(_head(before), before)
    after = dict(part.split(_change_a_row(whole)))
    head = _head(after)
    return series.cpu_us(
        lambda: boards.decode_in_force(head, after, in_force), 3
    )


def _first_in_force_us(size: float) -> float:
    """Puts a document in force on a daemon that has none."""
    parts = dict(part.split(_document(int(size))))
    head = _head(parts)
    return series.cpu_us(lambda: boards.decode_in_force(head, parts), 2)


def _change_a_row(whole: document.Document) -> document.Document:
    rows = dict(whole.deployments)
    key = next(iter(rows))
    rows[key] = dataclasses.replace(rows[key], priority=9)
    return dataclasses.replace(whole, deployments=rows)


def _change_bytes(size: float) -> float:
    """Bytes that a daemon fetches when one row changed."""
    whole = _document(int(size))
    before = part.split(whole)
    after = part.split(_change_a_row(whole))
    fetched = sum(
        len(data) for digest, data in after.items() if digest not in before
    )
    return float(fetched + len(part.encode_head(_head(dict(after)))))


def _document_bytes(size: float) -> float:
    parts = dict(part.split(_document(int(size))))
    head = _head(parts)
    return series.held_bytes(lambda: boards.decode_in_force(head, parts))


def _keys() -> Iterator[int]:
    rng = random.Random(1)
    while True:
        yield rng.getrandbits(64)
