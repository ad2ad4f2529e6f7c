"""A leaving backend server gets no new work, whatever sign comes first."""

import asyncio
import dataclasses

import pytest

from testing.daemon import conftest
from turmericcroft import errors
from turmericcroft.clients import vmlist
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import fleet as fleet_tasks

LIVE, LEAVING = vmlist.VmState.LIVE, vmlist.VmState.LEAVING
PROMPT = {"model": "survey", "prompt": "roof", "max_tokens": 2}


def make_vm(name, state=LIVE, boot="1"):
    return vmlist.Vm(
        name,
        vmlist.VmRole.MODEL,
        "zone-a",
        f"http://{name}",
        ("survey",),
        state,
        1.0,
        8,
        f"{name}-{boot}",
    )


class FakeVmList:
    def __init__(self, *vms):
        self.vms = vms
        self.down = False

    async def fetch(self):
        if self.down:
            raise errors.PlatformError("down")
        return self.vms


@pytest.fixture
async def task(timeline):
    plan = dataclasses.make_dataclass(
        "Plan", [("key_value_port", int, 1), ("cloud_port", int, 1)]
    )()
    config = conftest.make_settings("entry-a1", "zone-a", plan)
    built = fleet_tasks.FleetTask(config, boards.Board(), timeline)
    built.client = FakeVmList(make_vm("a"), make_vm("b"))
    await built.refresh()
    return built


def taking_work(task):
    return set(task.board.fleet.servers)


async def test_a_notice_takes_a_server_off(task):
    task.client.vms = (make_vm("a"), make_vm("b", LEAVING))
    await task.refresh()
    assert taking_work(task) == {"a"}
    assert task.board.leaving == {"b"}


async def test_a_refused_connection_takes_a_server_off_before_the_list(task):
    task.remove_server(task.board.fleet.servers["b"], "refused connection")
    assert taking_work(task) == {"a"}
    await task.refresh()
    assert taking_work(task) == {"a"}


async def test_a_replaced_server_comes_back_by_its_new_boot(task):
    task.remove_server(task.board.fleet.servers["b"], "refused connection")
    task.client.vms = (make_vm("a"), make_vm("b", boot="2"))
    await task.refresh()
    assert taking_work(task) == {"a", "b"}


async def test_the_last_list_stays_in_use_while_the_list_is_down(task):
    task.client.down = True
    await task.refresh()
    assert taking_work(task) == {"a", "b"}
    task.remove_server(task.board.fleet.servers["b"], "refused connection")
    assert taking_work(task) == {"a"}


async def test_an_announcement_is_remembered_after_the_list_drops_the_vm(
    task,
):
    task.client.vms = (make_vm("a"), make_vm("b", LEAVING))
    await task.refresh()
    task.client.vms = (make_vm("a"),)
    await task.refresh()
    assert task.board.leaving == {"b"}
    task.client.vms = (make_vm("a"), make_vm("b", boot="2"))
    await task.refresh()
    assert task.board.leaving == frozenset()


async def test_a_leaving_server_is_sent_nothing_more(small_world):
    await asyncio.gather(*(ask(small_world, index) for index in range(8)))
    leaving = {"engine-a1", "engine-b1"}
    for name in leaving:
        small_world.world.servers[name].state = "leaving"
    await conftest.eventually(
        lambda: all(d.board.leaving == leaving for d in small_world.daemons)
    )
    before = prompts(small_world, leaving)
    await asyncio.gather(*(ask(small_world, index) for index in range(40)))
    assert prompts(small_world, leaving) == before


async def ask(built, index):
    body = PROMPT | {"prompt": f"roof {index}" * 20}
    reply = await built.post(index % 2, "/v1/completions", body)
    assert reply.status == 200


def prompts(built, names):
    return sum(built.engine(n).counts.prompt_tokens for n in names)
