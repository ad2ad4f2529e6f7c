"""Streams that are told in digests which another daemon misses."""

import asyncio
import dataclasses

import pytest

from testing.gateway import test_confirmed_versions as confirmed
from testing.gateway import test_software_versions as versions
from turmericcroft import errors
from turmericcroft.gateway import members
from turmericcroft.gateway import messages
from turmericcroft_lab.hosted import proxy

# Time for which a stream is told.
TOLD_S = members.DIGEST_INTERVAL_S * 3


# Guards against clients that are refused until their deadline: a daemon numbers
# no digest while its only peer does not reply, so that a missed one left no gap
# in the numbers, while a stream was told for 0.6 s.
@pytest.mark.parametrize("pause_s", [0.0, 0.3, 1.0])
async def test_a_stream_of_a_missed_digest_is_known_to_the_other_daemon(
    world, monkeypatch, pause_s
):
    _, link = await confirmed.start(world)
    first, _ = world.daemons
    (server,) = await versions.add_engines(world, "v2")
    server.event_count, server.event_interval_s = 200, 0.03
    await world.until(
        lambda: all(
            server.name in d.state.directory.records for d in world.daemons
        )
    )
    # Without records it can't know what began a stream.
    link.partition(proxy.Partition.HANGING)
    lost_at_s = []
    send = first.members._send_digest
    loop = asyncio.get_running_loop()

    async def lose(peer, digest):
        if not digest.stream_notes or lost_at_s:
            await send(peer, digest)
            return
        lost_at_s.append(loop.time())
        first.members._pending_sends.add(peer.member.name)
        await asyncio.sleep(pause_s)
        first.members._pending_sends.discard(peer.member.name)

    monkeypatch.setattr(first.members, "_send_digest", lose)
    await confirmed.begin_at(world, server)
    await world.until(lambda: lost_at_s)
    await asyncio.sleep(pause_s + TOLD_S)
    response = await versions.resume(world, 1, "r2", "r1")
    assert response.status == 200
    assert confirmed.count_versions(world, "r2") <= {"v2"}


# Guards against clients that are refused until streams are told again: the
# call for the streams of a missed digest was made once, and lost with the
# connection that had been cut.
async def test_streams_of_a_missed_digest_are_asked_for_until_a_reply(
    world, monkeypatch
):
    links = await confirmed.start(world)
    first, second = world.daemons
    (server,) = await versions.add_engines(world, "v2")
    server.event_count, server.event_interval_s = 200, 0.03
    await world.until(
        lambda: all(
            server.name in d.state.directory.records for d in world.daemons
        )
    )
    # Without records it can't know what began a stream.
    links[1].partition(proxy.Partition.HANGING)
    apply, request = (
        second.members._apply_digest,
        second.members.fetcher.request,
    )
    missed, calls = [], []

    def miss(digest):
        if digest.member.name == first.members.own.name and len(missed) < 4:
            missed.append(digest.number)
        else:
            apply(digest)

    async def lose(member, message):
        if isinstance(message, messages.FetchHeads) and missed:
            calls.append(message)
            if len(calls) < 3:
                raise errors.MeshError("no reply to another call in time")
        return await request(member, message)

    monkeypatch.setattr(second.members, "_apply_digest", miss)
    monkeypatch.setattr(second.members.fetcher, "request", lose)
    await confirmed.begin_at(world, server)
    await world.until(lambda: len(calls) == 3)
    await world.until(lambda: second.state.stream_origins.find("r1", 0.0))
    response = await versions.resume(world, 1, "r2", "r1")
    assert response.status == 200
    assert confirmed.count_versions(world, "r2") <= {"v2"}


# Digests that were sent soon enough after one another repeat all streams.
@pytest.mark.parametrize(
    ("numbers", "elapsed_s", "fetches"),
    [
        ((5, 6), 5.0, False),
        ((5, 7), 0.4, False),
        ((5, 7), 0.7, True),
        ((5, 9), 0.4, True),
    ],
    ids=["none missed", "repeated", "late", "three missed"],
)
async def test_streams_are_fetched_if_a_digest_with_them_was_missed(
    world, monkeypatch, numbers, elapsed_s, fetches
):
    await confirmed.start(world)
    _, second = world.daemons
    known = second.members.others["edge-1"]
    digest = known.digest
    asked = []

    async def fetch(member):
        asked.append(member.name)

    monkeypatch.setattr(second.members.fetcher.missed_streams, "fetch", fetch)
    before, after = (digest.number + 1_000 + number for number in numbers)
    replace = dataclasses.replace
    second.members._apply_digest(replace(digest, number=before))
    await asyncio.sleep(0)
    asked.clear()
    wall_s = digest.wall_s + elapsed_s
    second.members._apply_digest(replace(digest, number=after, wall_s=wall_s))
    await asyncio.sleep(0)
    assert bool(asked) is fetches
