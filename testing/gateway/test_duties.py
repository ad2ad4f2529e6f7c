"""Duties: one lease holder, each window's counts fixed, calls fenced."""

import asyncio
import json

from testing.gateway import conftest
from turmericcroft import errors
from turmericcroft.fleet import positions
from turmericcroft.gateway import duty
from turmericcroft.gateway import following
from turmericcroft.gateway import ports
from turmericcroft_lab.hosted import store

SCALED = {
    "minimum": 1,
    "maximum": 3,
    "bootTimeS": 1.0,
    "spotPrice": 0.15,
    "zonePrices": {"zone-a": 1.0},
}


def lease_holder(world):
    return next((d for d in world.daemons if d.duty.held_lease), None)


def usage_calls(world):
    return [call for call in world.cloud.calls if call.path == "/usage"]


async def start(world, daemons=2, **bounds):
    await world.start(daemons=0)
    for _ in range(daemons):
        await world.add_daemon(lease_ms=1_000, usage_window_s=1.0, **bounds)


async def test_a_holder_that_cannot_renew_its_lease_stops_calling(world):
    await start(world)
    await world.until(lambda: usage_calls(world))
    world.store.fault = store.Fault.BUSY
    await world.until(lambda: lease_holder(world) is None)
    count = len(world.cloud.calls)
    await asyncio.sleep(0.6)
    assert len(world.cloud.calls) == count


async def test_fencing_tokens_never_decrease_when_the_holder_changes(world):
    await start(world)
    await world.until(lambda: usage_calls(world))
    first = lease_holder(world)
    await first.stop()
    world.daemons.remove(first)
    count = len(usage_calls(world))
    await world.until(lambda: len(usage_calls(world)) > count + 1, 9.0)
    tokens = [call.token for call in world.cloud.calls]
    assert tokens == sorted(tokens)
    assert len({call.holder for call in world.cloud.calls}) == 2


async def test_a_holder_makes_no_call_after_its_vm_was_suspended(
    world, monkeypatch
):
    await start(world, daemons=1)
    await world.until(lambda: lease_holder(world))
    daemon = lease_holder(world)
    await world.until(lambda: daemon.duty.fencing_token() is not None)
    resumed_at_s = duty.boot_time_s() + 60.0
    monkeypatch.setattr(duty, "boot_time_s", lambda: resumed_at_s)
    assert daemon.duty.fencing_token() is None


async def test_a_window_is_reported_with_the_same_counts_by_all_holders(world):
    await start(world)
    await world.until(lambda: usage_calls(world))
    first = lease_holder(world)
    client = await world.client(world.daemons.index(first))
    for number in range(3):
        await client.call("GET", "/read/1", f"r{number}")
    await asyncio.sleep(1.0)
    await first.stop()
    world.daemons.remove(first)
    await world.until(
        lambda: len({call.holder for call in usage_calls(world)}) == 2, 9.0
    )
    await asyncio.sleep(1.5)
    counts = {}
    for call in usage_calls(world):
        window = call.body["windowNumber"]
        assert (
            counts.setdefault(window, call.body["counts"])
            == (call.body["counts"])
        )


async def test_after_a_lost_response_the_token_is_read_from_the_store(world):
    await world.start(daemons=0)
    daemon = await world.add_daemon(lease_ms=1_000)
    task = daemon.duty
    await world.until(lambda: daemon.follower.listed.is_set())
    own = daemon.members.own.key
    await world.until(lambda: task.held_lease)
    held_lease = task.held_lease
    lease = ports.Lease(held_lease.lease_id, held_lease.era)
    revision = world.store.items[following.DUTY_KEY].revision
    assert await task._read_back(own, lease) == positions.StorePosition(
        world.store.era, revision
    )
    assert await task._read_back("someone/else", lease) is None
    earlier = ports.Lease(lease.lease_id - 1, lease.era)
    assert await task._read_back(own, earlier) is None


# Guards against a hold whose key is bound to the lease of an earlier attempt
# (review case 1, ONE): the key is removed with that lease, and another daemon
# acquires it while this one goes on to act.
async def test_a_late_write_of_an_earlier_attempt_is_not_taken_for_a_hold(
    world,
):
    await world.start(daemons=0)
    daemon = await world.add_daemon(lease_ms=2_000)
    task = daemon.duty
    held = []

    def hold(lease, position, sent_at_s):
        item = world.store.items.get(following.DUTY_KEY)
        held.append((lease.lease_id, item.lease if item else None))
        original_hold(lease, position, sent_at_s)

    original_hold, task._hold = task._hold, hold
    commit = daemon.store.commit
    sent = []

    async def commit_first_write_late(conditions, writes, removals=()):
        if writes[0].key != following.DUTY_KEY or len(sent) == 2:
            return await commit(conditions, writes, removals)
        sent.append((conditions, writes))
        if len(sent) == 2:
            assert await commit(*sent[0]) is not None
            assert await commit(conditions, writes) is None
        raise errors.KeyValueOutcomeUnknownError("response lost")

    # The first attempt's lease must live on, as if it could not be ended.
    async def end_no_lease(lease):
        raise errors.KeyValueOutcomeUnknownError("response lost")

    daemon.store.commit = commit_first_write_late
    daemon.store.end_lease = end_no_lease
    await world.until(lambda: held)
    assert all(lease == bound for lease, bound in held)


async def test_an_attempt_without_an_effect_blocks_no_other_daemon(world):
    await world.start(daemons=0)
    world.store.fault, world.store.late_s = store.Fault.LATE, 1.0
    daemon = await world.add_daemon(first_start=True, lease_ms=30_000)
    await world.until(lambda: world.store.calls.get("kv-lease-end"))
    world.store.fault = store.Fault.NONE
    daemon.duty.state.stopping = True
    await asyncio.sleep(1.2)
    assert following.DUTY_KEY not in world.store.items


async def test_a_holder_whose_key_was_removed_stops_calling(world):
    await start(world, daemons=1)
    await world.until(lambda: lease_holder(world))
    held_lease = lease_holder(world).duty.held_lease
    world.store.remove(following.DUTY_KEY)
    await world.until(
        lambda: world.daemons[0].duty.held_lease is not held_lease, 1.5
    )
    assert any(
        line["event"] == "DutyChanged" and line["cause"] == "key removed"
        for line in world.read_log()
    )


async def test_servers_are_ordered_within_the_bounds_of_scaling(world):
    await world.store.start()
    await world.cloud.start()
    fields = conftest.declaration()
    fields["services"][1]["scaling"] = SCALED
    world.store.write("op/config", fields)
    await world.add_backend("engines")
    await world.add_daemon(lease_ms=1_000)
    await world.until(
        lambda: any(call.path == "/scaling" for call in world.cloud.calls), 9.0
    )
    for call in world.cloud.calls:
        if call.path == "/scaling":
            assert call.body["service"] == "engines"
            assert 0 <= call.body["desiredCount"] <= 3


async def test_a_lost_response_to_a_recorded_window_changes_no_counts(world):
    await start(world, daemons=1)
    await world.until(lambda: usage_calls(world))
    daemon = world.daemons[0]
    commit = daemon.store.commit
    recorded_at_s = []

    async def commit_and_lose_response(*args, **kwargs):
        await commit(*args, **kwargs)
        # Requests counted between the record and the report must not be added.
        daemon.state.usage.record(
            "north", daemon.state.corrected_time_s() - 1.5
        )
        recorded_at_s.append(daemon.state.corrected_time_s())
        raise errors.KeyValueOutcomeUnknownError("response lost")

    daemon.store.commit = commit_and_lose_response
    await world.until(lambda: recorded_at_s)
    daemon.store.commit = commit
    await world.until(
        lambda: any(
            call.body["windowNumber"] >= int(recorded_at_s[0]) - 1
            for call in usage_calls(world)
        )
    )
    counts = {}
    for call in usage_calls(world):
        window = call.body["windowNumber"]
        recorded = world.store.items.get(f"{following.USAGE_PREFIX}{window}")
        assert (
            recorded is None
            or json.loads(recorded.value) == call.body["counts"]
        )
        assert (
            counts.setdefault(window, call.body["counts"])
            == (call.body["counts"])
        )
