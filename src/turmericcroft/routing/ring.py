"""Consistent-hash ring, on which all daemons find the same preferred servers.

A ring is built when the set of servers changes and searched once per request.
The sorted points make the time of a search logarithmic in the number of
servers.
"""

import bisect
import dataclasses
from collections.abc import Iterable
from collections.abc import Iterator

import xxhash

POINTS_PER_SERVER = 48


@dataclasses.dataclass(frozen=True)
class Ring:
    """Points of servers on a circle of 64-bit hashes.

    Attributes:
        points: Hashes in ascending order.
        owners: Server of each point.
        servers: All servers on the ring.
    """

    points: tuple[int, ...]
    owners: tuple[str, ...]
    servers: frozenset[str]

    def walk(self, key: int) -> Iterator[str]:
        """Yields every server once, in order of preference for the key.

        Example:
            >>> ring = build(["a", "b", "c"])
            >>> sorted(ring.walk(7))
            ['a', 'b', 'c']
        """
        start = bisect.bisect_left(self.points, key)
        seen: set[str] = set()
        count = len(self.points)
        for offset in range(count):
            owner = self.owners[(start + offset) % count]
            if owner in seen:
                continue
            seen.add(owner)
            yield owner
            if len(seen) == len(self.servers):
                return


def build(servers: Iterable[str]) -> Ring:
    """Builds the ring of a set of servers."""
    unique = frozenset(servers)
    pairs = sorted(
        (xxhash.xxh3_64_intdigest(f"{server}#{index}".encode()), server)
        for server in unique
        for index in range(POINTS_PER_SERVER)
    )
    points = tuple(point for point, _ in pairs)
    owners = tuple(owner for _, owner in pairs)
    return Ring(points, owners, unique)


def affinity_key(
    account: str, deployment: str, prompt: str, prefix_chars: int
) -> int:
    """Hashes account, deployment and prompt prefix of a request.

    The account is part of the hash so that accounts with the same prompt do
    not share a prompt cache: its response times would reveal one account's
    prompts to another.

    Args:
        account: Client account.
        deployment: Key of the deployment.
        prompt: The whole prompt.
        prefix_chars: Number of characters of the prompt that are hashed.

    Returns:
        A 64-bit hash.
    """
    text = f"{account}\0{deployment}\0{prompt[:prefix_chars]}"
    return xxhash.xxh3_64_intdigest(text.encode())
