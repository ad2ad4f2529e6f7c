"""Requests that crash the servers that begin to answer them."""

import asyncio

import pytest


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
