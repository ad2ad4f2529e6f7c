"""Collects, in a large fleet, what daemons counted for the usage reports."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence

from turmericcroft.duties import usage
from turmericcroft.gateway import fetching
from turmericcroft.gateway import messages


async def collect(
    counts: usage.UsageCounts,
    own_key: str,
    gathered: Mapping[str, usage.Counts],
    relays: Sequence[messages.Member],
    fetcher: fetching.Fetcher,
) -> set[str]:
    """Takes in what relays gathered.

    Args:
        counts: What this daemon counted and heard so far.
        own_key: Identity of this daemon; its own counts are not heard.
        gathered: What this daemon gathered as a relay, by daemon.
        relays: The other relays.
        fetcher: Asks them.

    Returns:
        Availability zones of the relays that answered.
    """
    answered: set[str] = set()
    told = [gathered]
    replies = await asyncio.gather(
        *(fetcher.call(relay, messages.FetchUsage()) for relay in relays)
    )
    for relay, reply in zip(relays, replies, strict=True):
        match reply:
            case messages.UsageReply(by_daemon):
                answered.add(relay.availability_zone)
                told.append(by_daemon)
    for tally in told:
        for daemon, windows in tally.items():
            if daemon != own_key:
                counts.hear(daemon, windows)
    return answered
