"""Collection of usage counts, for the usage reports of a large fleet.

The daemon that reports asks the relays of all zones, not every daemon.
"""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence

from turmericcroft.duties import usage
from turmericcroft.gateway import fetching
from turmericcroft.gateway import messages


async def collect(
    counts: usage.UsageCounts,
    own_key: str,
    own_zone_counts: Mapping[str, usage.WindowCounts],
    relays: Sequence[messages.Member],
    fetcher: fetching.Fetcher,
) -> set[str]:
    """Merges the usage counts that the relays collected.

    Args:
        counts: This daemon's counts, and those received from others so far.
        own_key: Key of this daemon; its counts are skipped where others have
            them.
        own_zone_counts: Counts that this daemon collected as its zone's relay,
            by daemon.
        relays: The other relays.
        fetcher: Sends the requests.

    Returns:
        Availability zones of the relays that answered.
    """
    answered: set[str] = set()
    received = [own_zone_counts]
    replies = await asyncio.gather(
        *(fetcher.call(relay, messages.FetchUsage()) for relay in relays)
    )
    for relay, reply in zip(relays, replies, strict=True):
        match reply:
            case messages.UsageReply(by_daemon):
                answered.add(relay.availability_zone)
                received.append(by_daemon)
    for counts_by_daemon in received:
        for daemon, windows in counts_by_daemon.items():
            if daemon != own_key:
                counts.update_peer(daemon, windows)
    return answered
