"""Values of other writers: each is decoded or fails alone, in bounded time."""

import json
import math
import time
import tracemalloc

import hypothesis
import logbook
import pytest
from hypothesis import strategies

from testing.gateway import conftest
from turmericcroft import errors
from turmericcroft.fleet import positions
from turmericcroft.fleet import stored_records
from turmericcroft.gateway import member_entries
from turmericcroft.platform import dialect
from turmericcroft.platform import records
from turmericcroft.platform import store

# The largest value that the store accepts.
MAX_VALUE_BYTES = 1_048_576
# A change of the declaration must be in force within 2 s, and no value may hold
# the daemon up for longer.
MAX_DECODE_S = 2.0
# The smallest VMs have 200 MB, and a daemon needs half of them.
MAX_DECODE_BYTES = 64 * MAX_VALUE_BYTES

ENTRY = {
    "service": "plain",
    "address": "127.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "sequence": 1,
    "born": 1_700_000_000_000,
    "leaves_ms": 5,
}
ODD = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(10**400), 10**400),
    strategies.floats(),
    strategies.text(),
    strategies.sampled_from(["a:\u00b2", "a:9" + "9" * 400, "\ud800", ":"]),
    strategies.recursive(
        strategies.none(), lambda x: strategies.lists(x, max_size=3)
    ),
)
CALLS = dialect.Dialect()
SCHEMA = records.StoreSchema()
DECODERS = {
    "server": lambda data: SCHEMA.decode_server("i-1", data),
    "declaration": SCHEMA.decode_declaration,
    "order": lambda d: SCHEMA.decode_rollout("plain", d, positions.START),
    "status": SCHEMA.decode_rollout_status,
    "member": member_entries.decode_member,
    "usage": stored_records.decode_counts,
    "versions": stored_records.decode_history,
    "quarantine": lambda data: stored_records.decode_quarantine(data, 1.0),
    "migration": CALLS.read_migration_response,
    "report": CALLS.read_report,
    "cached parts": CALLS.read_cache_list,
    "store": store._parse_body,
}
EXPECTED = (*errors.DECODING_FAULTS, errors.TurmericcroftError)


def decode(kind, data):
    try:
        return DECODERS[kind](data)
    except EXPECTED:
        return None


@pytest.mark.parametrize("kind", DECODERS)
@pytest.mark.parametrize(
    "data",
    [
        b"[" * MAX_VALUE_BYTES,
        b'{"a":' * (MAX_VALUE_BYTES // 5),
        b"9" * MAX_VALUE_BYTES,
        b'"' + b"x" * (MAX_VALUE_BYTES - 2) + b'"',
        b"[" + b"0," * (MAX_VALUE_BYTES // 2 - 2) + b"0]",
        bytes(MAX_VALUE_BYTES),
    ],
    ids=["lists", "objects", "digits", "text", "numbers", "zeros"],
)
def test_the_largest_values_are_decoded_in_bounded_time_and_memory(kind, data):
    began_s = time.process_time()
    decode(kind, data)
    took_s = time.process_time() - began_s
    assert took_s < MAX_DECODE_S
    tracemalloc.start()
    decode(kind, data)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < MAX_DECODE_BYTES


@pytest.mark.parametrize("kind", DECODERS)
@hypothesis.given(data=strategies.binary() | ODD.map(json.dumps))
def test_any_value_is_decoded_or_fails_in_a_way_that_callers_handle(kind, data):
    decode(kind, data if isinstance(data, bytes) else data.encode())


@hypothesis.given(
    field=strategies.sampled_from(sorted(ENTRY)), value=ODD | strategies.just(0)
)
def test_a_server_with_an_odd_field_can_be_calculated_with(field, value):
    server = decode("server", json.dumps(ENTRY | {field: value}).encode())
    if server is not None and server.is_within_bounds():
        assert 0.0 < 1.0 / server.slots <= 1.0
        assert math.isfinite(server.sequence * 1.0)
        assert math.isfinite(server.leaves_in_s or 0.0)
        server.software_version.encode()


# Guards against fields of another type that count as not stated, such as a time
# to leave: such an entry names no server to use.
@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("leaves_ms", "5"),
        ("leaves_ms", None),
        ("spotInstances", "true"),
        ("spotInstances", 1),
        ("born", 1.5),
        ("born", True),
        ("slots", 0),
        ("slots", -8),
        ("slots", "8"),
        ("sequence", None),
        ("state", ""),
        ("zone", None),
        ("version", 1),
    ],
)
def test_an_entry_with_a_field_of_another_type_names_no_server(field, value):
    assert decode("server", json.dumps(ENTRY).encode()) is not None
    entry = json.dumps(ENTRY | {field: value}).encode()
    assert decode("server", entry) is None


# Guards against an entry that stops all daemons that start (review case 3,
# RECOVER): none got through its first listing of the store.
@pytest.mark.parametrize(
    "raw",
    [
        b"[" * 100_000,
        json.dumps(ENTRY | {"address": "127.0.0.1:\u00b2"}).encode(),
        json.dumps(ENTRY | {"leaves_ms": 10**400}).encode(),
        json.dumps(ENTRY | {"slots": 10**400}).encode(),
        json.dumps(ENTRY | {"version": "\ud800"}).encode(),
        b"",
    ],
    ids=["depth", "digit", "leave time", "slots", "text", "empty"],
)
async def test_an_entry_that_cannot_be_read_takes_no_other_with_it(raw):
    world = conftest.World()
    handler = logbook.TestHandler()
    handler.push_application()
    try:
        await world.store.start()
        await world.cloud.start()
        world.store.write("op/config", conftest.declaration())
        world.store.write("servers/i-0", raw)
        await world.add_backend("plain")
        daemon = await world.add_daemon()
        client = await world.client()
        await world.until(lambda: daemon.state.directory.usable("plain"), 3.0)
        assert (await client.call("GET", "/read/1", "r1")).status == 200
        # Also as a change, to a daemon that runs.
        world.store.write("servers/i-9", raw)
        await world.add_backend("plain")
        await world.until(
            lambda: len(daemon.state.directory.usable("plain")) == 2, 3.0
        )
        # One line for an entry, however often its writer repeats it.
        world.store.write("servers/i-9", raw)
        await world.add_backend("plain")
        await world.until(
            lambda: len(daemon.state.directory.usable("plain")) == 3, 3.0
        )
        keys = [
            record.kwargs["key"]
            for record in handler.records
            if record.msg.startswith("cannot decode a server's entry")
        ]
        assert sorted(keys) == ["servers/i-0", "servers/i-9"]
    finally:
        await world.close()
        handler.pop_application()
