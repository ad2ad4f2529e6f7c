"""Calls for streams that another daemon told in missed messages."""

import asyncio

from turmericcroft.gateway import messages
from turmericcroft.stream_lookup import missed_streams

MEMBER = messages.Member("edge-1", 1, "a", "127.0.0.1", 1)


# A call that was answered before the second miss does not count for it.
async def test_a_miss_during_a_call_is_asked_for_again():
    calls = []

    async def fetch(member, confirms):
        assert (member, confirms) == (MEMBER, False)
        calls.append(asyncio.get_running_loop().create_future())
        return await calls[-1]

    missed = missed_streams.MissedStreams(fetch)
    first = asyncio.create_task(missed.fetch(MEMBER))
    await asyncio.sleep(0)
    await missed.fetch(MEMBER)
    assert len(calls) == 1
    calls[0].set_result(messages.HeadsReply(()))
    await asyncio.sleep(0.01)
    assert len(calls) == 2
    calls[1].set_result(messages.HeadsReply(()))
    await first
    assert len(calls) == 2


async def test_calls_without_a_reply_end(monkeypatch):
    monkeypatch.setattr(missed_streams, "_RETRY_INTERVAL_S", 0.01)
    monkeypatch.setattr(missed_streams, "_RETRY_FOR_S", 0.1)
    calls = []

    async def fetch(member, confirms):
        calls.append((member, confirms))

    missed = missed_streams.MissedStreams(fetch)
    await missed.fetch(MEMBER)
    assert len(calls) > 1
    # The next miss begins anew.
    calls.clear()
    await missed.fetch(MEMBER)
    assert len(calls) > 1
