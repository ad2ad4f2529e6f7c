"""Calls to plain services run at most once, and errors say if they ran."""

import asyncio

import pytest

from turmericcroft_lab import caller
from turmericcroft_lab import keyvalue
from turmericcroft_lab import service

PATH = "/v1/services/booking/bookings/visit-7"


def book(built, index, key, body=None, account="north"):
    return built.post(
        index, PATH, body or {"crew": 1}, account, **{"Idempotency-Key": key}
    )


async def test_copies_of_a_call_at_several_daemons_run_once(small_world):
    key = caller.new_idempotency_key()
    replies = await asyncio.gather(
        *(book(small_world, n % 2, key) for n in range(10))
    )
    bodies = [await reply.json() for reply in replies]
    assert small_world.world.executions["visit-7"] == 1
    assert bodies == [{"reference": "visit-7", "run": 1}] * 10
    assert {reply.status for reply in replies} == {201}


async def test_a_retry_with_the_same_key_gets_the_same_answer(small_world):
    key = caller.new_idempotency_key()
    first = await (await book(small_world, 0, key)).json()
    second = await (await book(small_world, 1, key)).json()
    assert first == second
    assert small_world.world.executions["visit-7"] == 1


async def test_a_key_used_for_a_different_call_is_refused(small_world):
    key = caller.new_idempotency_key()
    await book(small_world, 0, key)
    reply = await book(small_world, 1, key, {"crew": 2})
    assert reply.status == 422
    assert (await reply.json())["error"]["code"] == "idempotency_key_reused"


async def test_accounts_may_use_the_same_key(small_world):
    key = caller.new_idempotency_key()
    await book(small_world, 0, key)
    reply = await book(small_world, 1, key, {"crew": 2}, account="east")
    assert reply.status == 201
    assert small_world.world.executions["visit-7"] == 2


async def test_a_key_older_than_the_retention_is_refused_as_unknown(
    small_world,
):
    old = "01890a5d-ac96-774b-bcce-b302099a8057"
    error = (await (await book(small_world, 0, old)).json())["error"]
    assert error["code"] == "outcome_unknown"
    assert error["ran"] == "unknown"
    assert small_world.world.executions["visit-7"] == 0


@pytest.mark.parametrize("crash", list(service.Crash)[1:])
async def test_a_call_is_not_sent_again_after_its_service_crashed(
    small_world, crash
):
    for running in small_world.world.servers.values():
        if not running.plan.is_model:
            running.backend.crash = crash
    key = caller.new_idempotency_key()
    for index in (0, 1, 0):
        error = (await (await book(small_world, index, key)).json())["error"]
        assert error["ran"] == "unknown"
    assert small_world.world.executions["visit-7"] == (crash.value != "before")


async def test_a_call_goes_to_another_server_when_the_connection_is_refused(
    small_world,
):
    for name, running in small_world.world.servers.items():
        if name == "booking-a1":
            await running.backend.stop()
    reply = await book(small_world, 0, caller.new_idempotency_key())
    assert reply.status == 201
    assert small_world.world.executions["visit-7"] == 1


@pytest.mark.parametrize(
    "fault", [keyvalue.Fault.UNAVAILABLE, keyvalue.Fault.DROP_BEFORE]
)
async def test_nothing_is_sent_during_an_outage_of_the_key_value_service(
    small_world, fault
):
    small_world.world.key_value.store.set_fault(fault, -1, 0.0)
    key = caller.new_idempotency_key()
    reply = await book(small_world, 0, key)
    error = (await reply.json())["error"]
    assert (error["code"], error["ran"]) == ("ledger_unavailable", "no")
    assert small_world.world.executions["visit-7"] == 0
    small_world.world.key_value.store.set_fault(keyvalue.Fault.NONE, 0, 0.0)
    async with asyncio.timeout(30):
        while (await book(small_world, 1, key)).status != 201:
            await asyncio.sleep(0.1)
    assert small_world.world.executions["visit-7"] == 1


async def test_a_call_is_sent_after_the_reply_to_its_append_is_lost(
    small_world,
):
    small_world.world.key_value.store.set_fault(
        keyvalue.Fault.DROP_AFTER, 1, 0.0
    )
    reply = await book(small_world, 0, caller.new_idempotency_key())
    assert reply.status == 201
    assert small_world.world.executions["visit-7"] == 1


async def test_a_call_continues_after_its_caller_times_out(small_world):
    for running in small_world.world.servers.values():
        if not running.plan.is_model:
            running.backend.processing_s = 0.3
    key = caller.new_idempotency_key()
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(book(small_world, 0, key), 0.1)
    reply = await book(small_world, 1, key)
    assert reply.status == 201
    assert small_world.world.executions["visit-7"] == 1


async def test_a_planned_stop_waits_for_open_calls(small_world):
    for running in small_world.world.servers.values():
        if not running.plan.is_model:
            running.backend.processing_s = 0.4
    key = caller.new_idempotency_key()
    pending = asyncio.create_task(book(small_world, 0, key))
    await asyncio.sleep(0.15)
    await small_world.daemons[0].stop()
    assert (await pending).status == 201
    assert (await book(small_world, 1, key)).status == 201
    assert small_world.world.executions["visit-7"] == 1


async def test_a_call_of_a_crashed_daemon_is_unknown_and_not_sent_again(
    small_world,
):
    for running in small_world.world.servers.values():
        if not running.plan.is_model:
            running.backend.processing_s = 0.5
    key = caller.new_idempotency_key()
    pending = asyncio.create_task(book(small_world, 0, key))
    await asyncio.sleep(0.2)
    crashed = small_world.daemons[0]
    crashed.board.stopping = True
    for task in tuple(crashed.service_calls.open_calls):
        task.cancel()
    crashed.ledger.end = lambda *_: None
    await crashed.abort()
    error = (await (await book(small_world, 1, key)).json())["error"]
    assert error["ran"] == "unknown"
    await asyncio.sleep(0.5)
    assert small_world.world.executions["visit-7"] <= 1
    pending.cancel()
