"""Choice of the daemons that do something on behalf of all of them.

By rendezvous hashing all daemons that know the same ones choose the same, and a
daemon that comes or goes changes few choices.
"""

from collections.abc import Iterable

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Orders daemons by their preference for a key.

    Example:
        >>> rank("i-1", ["edge-1", "edge-2"]) == rank(
        ...     "i-1", ["edge-2", "edge-1"]
        ... )
        True
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()),
    )


def choose(key: str, names: Iterable[str]) -> str:
    """Returns the preferred daemon; there must be at least one."""
    return rank(key, names)[0]
