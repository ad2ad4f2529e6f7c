"""The store continues from a copy that is some seconds old, in another era."""

import asyncio
import json

from testing.gateway import conftest
from turmericcroft.fleet import directory
from turmericcroft.fleet import positions
from turmericcroft.gateway import duty
from turmericcroft.gateway import following
from turmericcroft.gateway import messages
from turmericcroft.gateway import ports


def declare(world, version, **changes):
    world.store.write(
        "op/config", conftest.declaration(version=version, **changes)
    )


def is_ready(daemon, server):
    record = daemon.state.directory.records.get(server.name)
    return record and record.state is directory.ServerState.READY


async def test_changes_after_a_restore_are_followed_with_lower_revisions(
    world,
):
    await world.start()
    daemon = world.daemons[0]
    copy = world.store.copy()
    for number in range(20):
        world.store.write(f"servers/forged-{number}", b"{}")
    await world.until(lambda: "forged-19" in daemon.store_view.entries)
    before = daemon.store_view.fleet_position
    world.store.restore(copy)
    declare(world, 3)
    added = await world.add_backend("plain")
    await world.until(lambda: daemon.state.declaration.version == 3, 4.0)
    await world.until(lambda: is_ready(daemon, added), 4.0)
    after = daemon.store_view.fleet_position
    assert after > before
    assert after.revision < before.revision


async def test_a_restore_brings_back_no_server_and_no_key(world):
    await world.start()
    daemon = world.daemons[0]
    left, gone = world.servers_of("plain")
    for server in (left, gone):
        world.store.write(
            f"servers/{server.name}", server.registry_entry(sequence=5)
        )
    await asyncio.sleep(0.3)
    copy = world.store.copy()
    world.store.write(
        f"servers/{left.name}",
        left.registry_entry(sequence=6, state="draining"),
    )
    world.store.remove(f"servers/{gone.name}")
    declare(world, 3, tenants=[{"name": "north", "apiKeys": ["newer"]}])
    await world.until(lambda: daemon.state.declaration.version == 3)
    await world.until(lambda: not daemon.state.directory.usable("plain"))
    world.store.restore(copy)
    await world.until(lambda: daemon.store_view.fleet_position.era == 2, 4.0)
    await asyncio.sleep(0.3)
    assert not daemon.state.directory.usable("plain")
    assert daemon.state.declaration.version == 3
    assert "north-key" not in daemon.state.declaration.table.accounts
    world.store.write(f"servers/{gone.name}", gone.registry_entry(sequence=7))
    await world.until(lambda: is_ready(daemon, gone), 4.0)


async def test_a_server_that_the_copy_lacks_stays_in_use_for_a_while(world):
    await world.start()
    daemon = world.daemons[0]
    copy = world.store.copy()
    alive = await world.add_backend("plain")
    ended = await world.add_backend("plain")
    await world.until(
        lambda: is_ready(daemon, alive) and is_ready(daemon, ended)
    )
    world.store.restore(copy)
    await world.until(lambda: daemon.store_view.fleet_position.era == 2, 4.0)
    names = {s.name for s in daemon.state.directory.usable("plain")}
    assert {alive.name, ended.name} <= names
    world.store.write(f"servers/{alive.name}", alive.registry_entry(sequence=9))
    await world.until(
        lambda: (
            ended.name
            not in {s.name for s in daemon.state.directory.usable("plain")}
        ),
        4.0,
    )
    assert is_ready(daemon, alive)


# Its first listing is of the new era then, so nothing looks restored to it.
async def test_a_daemon_registers_again_if_its_first_listing_is_restored(
    world, monkeypatch
):
    restored = asyncio.Event()
    list_all = following.Follower._list_all

    async def list_after_restore(follower):
        await restored.wait()
        await list_all(follower)

    monkeypatch.setattr(following.Follower, "_list_all", list_after_restore)
    await world.start(daemons=0)
    copy = world.store.copy()
    await world.add_daemon()
    key = following.MEMBER_PREFIX + "edge-1"
    await world.until(lambda: key in world.store.items)
    world.store.restore(copy)
    restored.set()
    await world.until(lambda: key in world.store.items, 6.0)


async def test_daemons_register_again_after_a_restore(world):
    await world.start(daemons=0)
    copy = world.store.copy()
    await world.add_daemon()
    await world.add_daemon()
    names = ("edge-1", "edge-2")
    keys = [following.MEMBER_PREFIX + name for name in names]
    await world.until(lambda: all(key in world.store.items for key in keys))
    world.store.restore(copy)
    assert not any(key in world.store.items for key in keys)
    await world.until(
        lambda: all(key in world.store.items for key in keys), 6.0
    )


async def test_a_lease_of_an_earlier_era_is_neither_renewed_nor_ended(world):
    await world.start()
    client = world.daemons[0].store
    copy = world.store.copy()
    lost = await client.grant_lease(5.0)
    world.store.restore(copy)
    reused = await client.grant_lease(5.0)
    assert reused.lease_id == lost.lease_id
    assert not await client.keep_lease(lost)
    await client.end_lease(lost)
    assert await client.keep_lease(reused)


async def test_the_duties_continue_with_higher_tokens_and_the_same_counts(
    world,
):
    await world.start(daemons=0)
    for _ in range(2):
        await world.add_daemon(lease_ms=1_000, usage_window_s=1.0)
    await asyncio.sleep(0.2)
    copy = world.store.copy()

    def usage():
        return [call for call in world.cloud.calls if call.path == "/usage"]

    await world.until(lambda: len(usage()) >= 2, 9.0)
    first = len(world.cloud.calls)
    world.store.restore(copy)
    await world.until(lambda: len(usage()) >= 6, 14.0)
    tokens = [call.token for call in world.cloud.calls]
    assert tokens == sorted(tokens)
    assert tokens[-1] > tokens[first - 1]
    holders = {}
    for call in world.cloud.calls:
        assert holders.setdefault(call.token, call.holder) == call.holder
    counts = {}
    for call in usage():
        window = call.body["windowNumber"]
        assert (
            counts.setdefault(window, call.body["counts"])
            == call.body["counts"]
        )


async def test_a_holder_makes_no_call_once_it_has_seen_another_era(world):
    await world.start(daemons=0)
    daemon = await world.add_daemon(lease_ms=1_000)
    await world.until(lambda: daemon.duty.fencing_token() is not None, 6.0)
    copy = world.store.copy()
    world.store.restore(copy)
    await daemon.store.get("turmericcroft/duties")
    assert daemon.duty.fencing_token() is None


async def test_counts_whose_record_was_lost_are_reported_as_before(world):
    # A window was recorded and reported; then the store lost the record. The
    # next holder knows it because it followed the store.
    await world.start(daemons=0)
    daemon = await world.add_daemon(lease_ms=1_000, usage_window_s=1.0)
    await world.until(lambda: daemon.duty.fencing_token() is not None, 6.0)
    window = 77
    daemon.state.recorded_windows.keep(window, {"north": 4})
    await daemon.duty._load_recorded_windows()
    assert await daemon.duty._record_window(window) == {"north": 4}
    stored = world.store.items[f"{following.USAGE_PREFIX}{window}"]
    assert json.loads(stored.value) == {"north": 4}


async def test_a_peer_in_an_earlier_era_takes_no_view_back(world):
    await world.start()
    view = world.daemons[0].store_view
    server = world.servers_of("plain")[0]
    raw = json.dumps(server.registry_entry(state="draining")).encode()
    stale = messages.ServerEntry(server.name, raw, 10_000)
    copy = world.store.copy()
    world.store.restore(copy)
    await world.until(lambda: view.fleet_position.era == 2, 4.0)
    for is_whole in (True, False):
        view.apply_reply(
            messages.ServersReply((stale,), 10_000, 0.0, is_whole, era=1),
            "peer edge-9",
        )
        # A daemon of the previous version of the protocol states no era.
        view.apply_reply(
            messages.ServersReply((stale,), 10_000, 0.0, is_whole),
            "peer edge-9",
        )
    assert is_ready(world.daemons[0], server)
    whole = view.make_reply(positions.StorePosition(1, 10_000))
    assert whole.is_whole
    assert whole.era == 2


async def test_a_late_answer_of_an_earlier_era_is_dropped(world):
    await world.start()
    daemon = world.daemons[0]
    late = ports.Item("servers/late", b"{}", positions.StorePosition(0, 10_000))
    position = daemon.store_view.fleet_position
    daemon.store_view.apply_changes([late], late.position)
    assert "late" not in daemon.store_view.entries
    assert daemon.store_view.fleet_position == position


async def test_unreadable_keys_of_daemons_do_not_end_the_follower(world):
    await world.start()
    daemon = world.daemons[0]
    world.store.write("turmericcroft/duties", b"\xff\xfe")
    world.store.write("turmericcroft/members/a", b"\xff")
    world.store.write("turmericcroft/members/b", {"name": 7, "port": "x"})
    world.store.write("turmericcroft/members/c", [1])
    world.store.write("turmericcroft/usage/\u00b2", b"{}")
    world.store.write("turmericcroft/usage/12", b"no counts")
    declare(world, 4)
    await world.until(lambda: daemon.state.declaration.version == 4, 4.0)
    await daemon.duty._load_recorded_windows()
    assert 12 not in daemon.state.recorded_windows.counts


async def test_recorded_counts_reach_the_others_before_they_are_reported(
    world,
):
    # Found by soak seeds 4108 and 4109: the store lost a record, and the holder
    # ended, before any other daemon had read it from the store.
    await world.start(daemons=0)
    for _ in range(2):
        await world.add_daemon(lease_ms=1_000, usage_window_s=1.0)
    await world.until(lambda: len(world.cloud.calls) >= 2, 9.0)
    seen = []
    holder = next(d for d in world.daemons if d.duty.held_lease)
    other = next(d for d in world.daemons if d is not holder)
    other.follower.apply_own_key = lambda _item: None
    report = holder.cloud.report_usage

    async def check_and_report(window, counts, token):
        seen.append(other.state.recorded_windows.counts.get(window) == counts)
        return await report(window, counts, token)

    holder.cloud.report_usage = check_and_report
    await world.until(lambda: len(seen) >= 3, 9.0)
    assert all(seen)


async def test_a_window_whose_record_may_be_lost_is_not_counted_anew(world):
    await world.start(daemons=0)
    daemon = await world.add_daemon(lease_ms=1_000, usage_window_s=1.0)
    await world.until(lambda: daemon.duty.fencing_token() is not None, 6.0)
    task = daemon.duty
    current = daemon.state.usage.window_at(daemon.state.corrected_time_s())
    daemon.state.recorded_windows.counts.clear()
    task._next_window = current - 3
    task._era_changed_at_s = duty.boot_time_s()
    task._skip_unknown_windows(current)
    assert task._next_window >= current - 2
    daemon.state.recorded_windows.keep(current - 3, {"north": 1})
    task._next_window = current - 3
    task._era_changed_at_s = float("-inf")
    task._skip_unknown_windows(current)
    assert task._next_window == current - 3
