"""Tests that a leaving backend server gets no new work.

The first sign may be the VM list or a refused connection.
"""

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
        self.fails = False

    async def fetch(self):
        if self.fails:
            raise errors.PlatformError("down")
        return self.vms


@pytest.fixture
async def fleet_task(timeline):
    plan = dataclasses.make_dataclass(
        "Plan", [("key_value_port", int, 1), ("cloud_port", int, 1)]
    )()
    config = conftest.make_settings("entry-a1", "zone-a", plan)
    built = fleet_tasks.FleetTask(config, boards.Board(), timeline)
    built.client = FakeVmList(make_vm("a"), make_vm("b"))
    await built.refresh()
    return built


def usable_servers(fleet_task):
    return set(fleet_task.board.fleet.servers)


async def test_a_server_with_a_reclaim_notice_is_removed(fleet_task):
    fleet_task.client.vms = (make_vm("a"), make_vm("b", LEAVING))
    await fleet_task.refresh()
    assert usable_servers(fleet_task) == {"a"}
    assert fleet_task.board.leaving == {"b"}


async def test_a_refused_connection_removes_a_server_before_the_list(
    fleet_task,
):
    fleet_task.remove_server(
        fleet_task.board.fleet.servers["b"], "refused connection"
    )
    assert usable_servers(fleet_task) == {"a"}
    await fleet_task.refresh()
    assert usable_servers(fleet_task) == {"a"}


async def test_a_replaced_server_is_usable_with_its_new_boot_id(fleet_task):
    fleet_task.remove_server(
        fleet_task.board.fleet.servers["b"], "refused connection"
    )
    fleet_task.client.vms = (make_vm("a"), make_vm("b", boot="2"))
    await fleet_task.refresh()
    assert usable_servers(fleet_task) == {"a", "b"}


async def test_the_previous_list_stays_in_use_while_polls_fail(fleet_task):
    fleet_task.client.fails = True
    await fleet_task.refresh()
    assert usable_servers(fleet_task) == {"a", "b"}
    fleet_task.remove_server(
        fleet_task.board.fleet.servers["b"], "refused connection"
    )
    assert usable_servers(fleet_task) == {"a"}


async def test_a_server_stays_leaving_after_the_list_drops_the_vm(
    fleet_task,
):
    fleet_task.client.vms = (make_vm("a"), make_vm("b", LEAVING))
    await fleet_task.refresh()
    fleet_task.client.vms = (make_vm("a"),)
    await fleet_task.refresh()
    assert fleet_task.board.leaving == {"b"}
    fleet_task.client.vms = (make_vm("a"), make_vm("b", boot="2"))
    await fleet_task.refresh()
    assert fleet_task.board.leaving == frozenset()


async def test_a_leaving_server_receives_no_new_requests(small_world):
    await asyncio.gather(
        *(post_prompt(small_world, index) for index in range(8))
    )
    leaving = {"engine-a1", "engine-b1"}
    for name in leaving:
        small_world.world.servers[name].state = "leaving"
    await conftest.eventually(
        lambda: all(d.board.leaving == leaving for d in small_world.daemons)
    )
    before = prompt_tokens(small_world, leaving)
    await asyncio.gather(
        *(post_prompt(small_world, index) for index in range(40))
    )
    assert prompt_tokens(small_world, leaving) == before


async def post_prompt(built, index):
    body = PROMPT | {"prompt": f"roof {index}" * 20}
    reply = await built.post(index % 2, "/v1/completions", body)
    assert reply.status == 200


def prompt_tokens(built, names):
    return sum(built.engine(n).counts.prompt_tokens for n in names)
