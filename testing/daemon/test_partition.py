"""Tests of zones that are partitioned from each other or the platform."""

import dataclasses

import pytest

from testing.daemon import conftest
from turmericcroft import errors
from turmericcroft.daemon import acceptance
from turmericcroft.daemon import peers as peer_links
from turmericcroft.membership import view
from turmericcroft_lab import keyvalue

PROMPT = {"model": "survey", "prompt": "roof", "max_tokens": 5}


@pytest.fixture
def toggle_partition(monkeypatch):
    """Returns a function that starts or ends a partition of all daemons."""
    is_partitioned = []
    call = peer_links.Peers.call

    async def call_unless_partitioned(self, member, message, timeout_s):
        if is_partitioned:
            raise errors.MeshError("partitioned")
        return await call(self, member, message, timeout_s)

    monkeypatch.setattr(peer_links.Peers, "call", call_unless_partitioned)
    monkeypatch.setattr(view, "SUSPECT_AFTER_S", 0.3)
    monkeypatch.setattr(view, "DEAD_AFTER_S", 0.6)

    def toggle():
        if is_partitioned:
            is_partitioned.clear()
        else:
            is_partitioned.append(True)

    return toggle


async def test_both_sides_of_a_partition_serve_and_reconnect(
    small_world, toggle_partition
):
    store = small_world.world.key_value.store
    toggle_partition()
    store.set_fault(keyvalue.Fault.UNAVAILABLE, -1, 0.0)
    await conftest.eventually(
        lambda: all(not d.members.alive() for d in small_world.daemons)
    )
    for index in (0, 1):
        reply = await small_world.post(index, "/v1/completions", PROMPT)
        assert reply.status == 200
    toggle_partition()
    await conftest.eventually(
        lambda: all(len(d.members.alive()) == 1 for d in small_world.daemons)
    )


async def test_a_configuration_accepted_in_a_partition_reaches_both_sides(
    small_world, toggle_partition
):
    toggle_partition()
    await conftest.eventually(
        lambda: all(not d.members.alive() for d in small_world.daemons)
    )
    await apply_priority(small_world.daemons[0], 4)
    toggle_partition()
    await conftest.eventually(
        lambda: all(d.board.config_number == 2 for d in small_world.daemons)
    )


async def apply_priority(daemon, priority):
    content = daemon.board.in_force.content
    rows = {
        key: dataclasses.replace(row, priority=priority)
        for key, row in content.deployments.items()
    }
    changed = dataclasses.replace(content, deployments=rows)
    await acceptance.Acceptance(
        daemon.board, daemon.members, daemon.key_value
    ).apply(acceptance.Proposal(changed, 1, "tester", ""))
