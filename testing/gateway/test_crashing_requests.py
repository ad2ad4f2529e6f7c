"""Requests that crash the servers that begin to answer them."""

import asyncio

import pytest

from turmericcroft.fleet import positions
from turmericcroft.gateway import following
from turmericcroft.gateway import ports
from turmericcroft.gateway import quarantine
from turmericcroft.routing import poison
from turmericcroft_lab.hosted import backend


def prompt(*parts):
    return {
        "X_Model": "m",
        "X_Token_Usage": f"{100 * len(parts)},10",
        "X_Prompt_Prefix": ",".join(f"{part}:100" for part in parts),
    }


async def ask(world, daemon, request_id, *parts, path="/stream/fixed/1"):
    client = await world.client(daemon)
    response = await client.call(
        "POST", path, request_id, request_id.encode(), **prompt(*parts)
    )
    client.close()
    return response


@pytest.fixture
async def fleet(world):
    """Three daemons that know each other and six engines."""
    await world.start(daemons=3, engines=6)
    for daemon in world.daemons:
        await world.until(lambda d=daemon: len(d.members.alive()) == 2)
    for server in world.servers_of("engines"):
        server.crashing_parts = frozenset({"bad"})
    return world


def count_crashes(world):
    return sum(len(s.crashed_by) for s in world.servers_of("engines"))


# Guards against crashes that are counted by whole requests only: those that
# share one part of their prompt crashed one server after the other.
async def test_requests_with_a_crashing_prompt_part_are_refused(fleet):
    number = 0
    while count_crashes(fleet) < 5 and number < 12:
        await ask(
            fleet, number % 3, f"bad-{number}", "base", "bad", f"{number}"
        )
        number += 1
    await asyncio.sleep(1.0)
    for late in range(9):
        response = await ask(
            fleet, late % 3, f"late-{late}", "base", "bad", f"late-{late}"
        )
        assert response.status == 503, late
        assert float(response.headers["retry-after"]) > 0
        assert fleet.count_executions(f"late-{late}") == 0
        sound = await ask(
            fleet, late % 3, f"sound-{late}", "base", f"topic-{late % 2}", "end"
        )
        assert (sound.status, sound.complete) == (200, True), late


async def crash_five(fleet):
    number = 0
    while count_crashes(fleet) < 5 and number < 12:
        request_id = f"bad-{number}"
        await ask(fleet, number % 3, request_id, "base", "bad", request_id)
        number += 1


async def test_a_cause_of_crashes_outlives_all_daemons(fleet):
    await crash_five(fleet)
    await fleet.until(lambda: fleet.daemons[0].follower.quarantines, 5.0)
    for daemon in list(fleet.daemons):
        await daemon.close()
    crashes = count_crashes(fleet)
    await fleet.add_daemon()
    await fleet.until(fleet.daemons[-1].is_ready)
    response = await ask(fleet, -1, "late", "base", "bad", "late")
    assert (response.status, count_crashes(fleet)) == (503, crashes)
    sound = await ask(fleet, -1, "sound", "base", "topic", "end")
    assert sound.status == 200


async def test_a_cause_that_expired_is_removed_from_the_store(fleet):
    await crash_five(fleet)
    await fleet.until(lambda: fleet.daemons[0].follower.quarantines, 5.0)
    for daemon in fleet.daemons:
        for crash in daemon.state.crash_ledger.crashes.values():
            crash.noticed_at_s -= 3_700.0
    await fleet.until(
        lambda: (
            not any(
                key.startswith(following.QUARANTINE_PREFIX)
                for key in fleet.store.items
            )
        ),
        5.0,
    )


# Its requests may have crashed servers again since the evidence expired.
async def test_the_removal_of_an_expired_cause_releases_no_later_crashes(fleet):
    follower = fleet.daemons[0].follower
    ledger = fleet.daemons[0].state.crash_ledger
    expired = poison.CrashNote("i-old", 1, ("part bad",))
    follower.quarantines["key"] = (expired,)
    now_s = asyncio.get_running_loop().time()
    for number in range(3):
        ledger.record_crash((f"i-{number}", 9), ["part bad"], now_s, now_s)
    key = following.QUARANTINE_PREFIX + "key"
    follower.apply_own_key(ports.Item(key, None, positions.START))
    assert ledger.find_cause(["part bad"]) is not None


async def test_a_daemon_that_starts_learns_causes_from_the_others(
    fleet, monkeypatch
):
    async def write_nothing(_):
        return

    keeper = quarantine.QuarantineKeeper
    monkeypatch.setattr(keeper, "_write_missing", write_nothing)
    await crash_five(fleet)
    await asyncio.sleep(0.5)
    crashes = count_crashes(fleet)
    await fleet.add_daemon()
    await fleet.until(fleet.daemons[-1].is_ready)
    await asyncio.sleep(0.5)
    response = await ask(fleet, -1, "late", "base", "bad", "late")
    assert (response.status, count_crashes(fleet)) == (503, crashes)
    assert not fleet.daemons[-1].follower.quarantines


async def test_an_operator_releases_requests_by_removing_the_key(fleet):
    await crash_five(fleet)
    await fleet.until(lambda: fleet.daemons[0].follower.quarantines, 5.0)
    for server in fleet.servers_of("engines"):
        server.crashing_parts = frozenset()
    for key in list(fleet.store.items):
        if key.startswith(following.QUARANTINE_PREFIX):
            fleet.store.remove(key)
    for daemon in fleet.daemons:
        await fleet.until(lambda d=daemon: not d.state.crash_ledger.causes)
    response = await ask(fleet, 0, "released", "base", "bad", "released")
    assert response.status == 200
    assert not any(
        key.startswith(following.QUARANTINE_PREFIX) for key in fleet.store.items
    )


# Guards against the same cause where the request may be sent again.
async def test_a_request_that_may_run_again_is_not_sent_to_every_server(fleet):
    for number in range(4):
        await ask(
            fleet,
            0,
            f"bad-{number}",
            "base",
            "bad",
            f"{number}",
            path="/stream/again/1",
        )
        await asyncio.sleep(0.3)
    assert count_crashes(fleet) <= 5
    response = await ask(
        fleet, 0, "late", "base", "bad", "late", path="/stream/again/1"
    )
    assert response.status == 503


async def test_a_request_found_to_be_a_cause_before_it_ran_may_come_back(
    fleet, monkeypatch
):
    for server in fleet.servers_of("engines"):
        server.plan = [backend.Behaviour.REFUSE]
    ledger = fleet.daemons[0].state.crash_ledger
    cause = poison.Cause(frozenset(), frozenset(), 0.0)
    found = iter([None, cause])
    monkeypatch.setattr(ledger, "find_cause", lambda _: next(found))
    response = await ask(fleet, 0, "r1", "base", "topic", "end")
    assert response.status == 503
    assert "quarantined" in response.body.decode()
    assert float(response.headers["retry-after"]) > 0
    assert fleet.count_executions("r1") == 0


async def test_crashes_of_servers_that_leave_accuse_no_request(fleet):
    server = fleet.servers_of("engines")[0]
    for other in fleet.servers_of("engines")[1:]:
        fleet.register(other, state="draining", sequence=2)
    server.event_count = 500
    await fleet.until(
        lambda: len(fleet.daemons[0].state.directory.usable("engines")) == 1
    )
    client = await fleet.client()
    client.send(
        "POST", "/stream/fixed/1", "r1", b"x", **prompt("base", "topic", "end")
    )
    await fleet.until(lambda: "r1" in server.executed)
    fleet.register(server, state="draining", sequence=2)
    await fleet.until(
        lambda: not fleet.daemons[0].state.directory.usable("engines")
    )
    await server.close()
    assert not (await client.receive()).complete
    await asyncio.sleep(0.2)
    assert not fleet.daemons[0].state.crash_ledger.crashes
