"""Acceptance, merging and distribution of configurations.

No daemon may go back to a configuration with a lower number.
"""

import asyncio
import dataclasses

import pytest

from turmericcroft import errors
from turmericcroft.daemon import acceptance
from turmericcroft.daemon import configuration
from turmericcroft.daemon import daemon as daemons
from turmericcroft_lab import keyvalue

ROW = "model/survey:@1"


@pytest.fixture
def acceptances(small_world):
    """Acceptance objects of two daemons in different zones."""
    return [
        acceptance.Acceptance(d.board, d.members, d.key_value)
        for d in small_world.daemons
    ]


def changed(built, **changes):
    content = built.daemons[0].board.in_force.content
    rows = dict(content.deployments)
    rows[ROW] = dataclasses.replace(rows[ROW], **changes)
    return dataclasses.replace(content, deployments=rows)


def proposal(content, base=1):
    return acceptance.Proposal(content, base, "tester", "")


def row_in_force(daemon):
    return daemon.board.in_force.content.deployments[ROW]


async def until_number(built, number):
    async with asyncio.timeout(20):
        while any(d.board.config_number < number for d in built.daemons):
            await asyncio.sleep(0.01)


def set_fault(built, fault, calls=-1):
    built.world.key_value.store.set_fault(fault, calls, 0.0)


async def test_concurrent_changes_of_two_operators_are_merged(
    small_world, acceptances
):
    heads = await asyncio.gather(
        acceptances[0].apply(proposal(changed(small_world, priority=4))),
        acceptances[1].apply(proposal(changed(small_world, replicas=9))),
    )
    assert sorted(head.number for head in heads) == [2, 3]
    await until_number(small_world, 3)
    for daemon in small_world.daemons:
        row = row_in_force(daemon)
        assert (row.priority, row.replicas) == (4, 9)


async def test_a_conflict_changes_nothing(small_world, acceptances):
    await acceptances[0].apply(proposal(changed(small_world, priority=4)))
    await until_number(small_world, 2)
    conflicting = changed(small_world, priority=5)
    with pytest.raises(errors.MergeConflictError, match="priority"):
        await acceptances[1].apply(proposal(conflicting))
    assert [head.number for head in await acceptances[0].history()] == [1, 2]


async def test_a_swap_whose_reply_is_lost_is_read_back(
    small_world, acceptances
):
    content = changed(small_world, priority=4)
    current = await acceptances[0]._read_current()
    head = await acceptances[0]._write_parts(
        proposal(content), content, current, "apply-1"
    )
    set_fault(small_world, keyvalue.Fault.DROP_AFTER, calls=1)
    assert await acceptances[0]._swap_head(head, current.mod_revision)
    await until_number(small_world, 2)


async def test_nothing_is_accepted_during_an_outage_of_the_key_value_service(
    small_world, acceptances
):
    set_fault(small_world, keyvalue.Fault.UNAVAILABLE)
    with pytest.raises(errors.KeyValueUnavailableError):
        await acceptances[0].apply(proposal(changed(small_world, priority=4)))
    set_fault(small_world, keyvalue.Fault.NONE)
    assert len(await acceptances[0].history()) == 1


async def test_a_rollback_gets_a_new_higher_number(small_world, acceptances):
    await acceptances[0].apply(proposal(changed(small_world, priority=4)))
    await until_number(small_world, 2)
    head = await acceptances[1].rollback(1, "tester", "back")
    assert (head.number, head.rollback_of) == (3, 1)
    await until_number(small_world, 3)
    assert row_in_force(small_world.daemons[0]).priority == 1


async def test_daemons_keep_their_number_when_the_store_is_restored(
    small_world, acceptances
):
    # A restored backup of the key-value service has an older head. Daemons
    # must keep the configuration in force and number the next one above it.
    store = small_world.world.key_value.store
    old = dict(store.records)
    await acceptances[0].apply(proposal(changed(small_world, priority=4)))
    await until_number(small_world, 2)
    for key, record in old.items():
        store.put(key, record.value, 0)
    for daemon in small_world.daemons:
        await daemon.configuration_task._read_head()
        assert daemon.board.config_number == 2
    head = await acceptances[1].apply(
        proposal(changed(small_world, replicas=9), base=2)
    )
    assert head.number == 3
    await until_number(small_world, 3)
    assert row_in_force(small_world.daemons[0]).priority == 4


async def test_a_starting_daemon_uses_the_highest_number_of_its_peers(
    small_world, acceptances
):
    store = small_world.world.key_value.store
    old = dict(store.records)
    await acceptances[0].apply(proposal(changed(small_world, priority=4)))
    await until_number(small_world, 2)
    store.put(
        configuration.HEAD_KEY.encode(),
        old[configuration.HEAD_KEY.encode()].value,
        0,
    )
    async with restarted(small_world, seeds=()) as daemon:
        assert daemon.board.config_number == 2


async def test_a_daemon_started_in_an_outage_gets_its_configuration_from_peers(
    small_world,
):
    set_fault(small_world, keyvalue.Fault.UNAVAILABLE)
    peer = small_world.daemons[1].settings.mesh
    seeds = (f"{peer.host}:{peer.port}",)
    async with restarted(small_world, seeds) as daemon:
        assert daemon.board.config_number == 1
        assert [m.name for m in daemon.members.alive()] == ["entry-b1"]


async def test_a_daemon_that_cannot_get_a_configuration_is_not_ready(
    small_world,
):
    set_fault(small_world, keyvalue.Fault.UNAVAILABLE)
    for stopped in small_world.daemons:
        stopped.board.stopping = True
        await stopped.abort()
    daemon = daemons.Daemon(small_world.daemons[0].settings)
    await daemon.start()
    try:
        await asyncio.wait_for(daemon.member_task.first_round_done.wait(), 20)
        assert not daemon.is_ready()
        reply = await small_world.get(0, "/v1/models")
        assert reply.status == 503
    finally:
        await daemon.abort()


class restarted:  # noqa: N801 - used like a function
    """Replaces the first daemon by one without its state."""

    def __init__(self, built, seeds):
        self.built = built
        self.seeds = seeds

    async def __aenter__(self):
        first = self.built.daemons[0]
        first.board.stopping = True
        await first.abort()
        mesh = dataclasses.replace(first.settings.mesh, seeds=self.seeds)
        config = dataclasses.replace(first.settings, mesh=mesh)
        self.daemon = daemons.Daemon(config)
        await self.daemon.start()
        async with asyncio.timeout(20):
            while not self.daemon.is_ready():
                number = self.daemon.board.config_number
                assert number in (0, 1, 2)
                await asyncio.sleep(0.01)
        return self.daemon

    async def __aexit__(self, *exc):
        await self.daemon.abort()
