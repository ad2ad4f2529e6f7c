"""Recent incarnations of servers, in the order in which they registered.

Load pattern: a release starts hundreds of servers again under their ids, while
their former processes' streams are taken up by clients. A stream is recorded
with the process that the server's entry stated; until the next process has
registered, the stream may have begun at that one.
"""

import dataclasses

import xxhash

from turmericcroft.fleet import directory
from turmericcroft.resumption import route_services

KEY_BYTES = 8
# Stands for a process that needs no further check.
NO_KEY = bytes(KEY_BYTES)


@dataclasses.dataclass
class _Incarnation:
    """An incarnation that registered.

    Attributes:
        server: Its entry when it became known.
        ended_at_s: Monotonic time when another one took its name, or when the
            directory removed it; None before that.
    """

    server: directory.Server
    ended_at_s: float | None = None


class Incarnations:
    """Incarnations of servers by the key that stands for them in messages.

    Example:
        >>> def server(started_at_ms, version):
        ...     return directory.Server(
        ...         "x",
        ...         "pool",
        ...         "",
        ...         1,
        ...         "a",
        ...         4,
        ...         False,
        ...         False,
        ...         None,
        ...         started_at_ms,
        ...         version,
        ...     )
        >>> seen = Incarnations()
        >>> for started_at_ms, version in (1, "v1"), (2, "v2"), (3, "v1"):
        ...     seen.record(server(started_at_ms, version), now_s=0.0)
        >>> [s.software_version for s in seen.since(key(server(2, "v2")))]
        ['v2', 'v1']
        >>> seen.expire(now_s=31.0)
        >>> [s.started_at_ms for s in seen.since(key(server(3, "v1")))]
        [3]
    """

    def __init__(self) -> None:
        # By name, the oldest first.
        self._by_name: dict[str, list[_Incarnation]] = {}
        self._names: dict[bytes, str] = {}
        # Names of which an incarnation has ended.
        self._ended: set[str] = set()

    def record(self, server: directory.Server, now_s: float) -> None:
        """Records an incarnation whose entry is in use."""
        known = self._by_name.setdefault(server.name, [])
        if known and known[-1].server.incarnation == server.incarnation:
            known[-1].ended_at_s = None
            return
        if known and known[-1].ended_at_s is None:
            known[-1].ended_at_s = now_s
            self._ended.add(server.name)
        known.append(_Incarnation(server))
        self._names[key(server)] = server.name

    def remove(self, server: directory.Server, now_s: float) -> None:
        """Records that the directory has removed a server."""
        for known in self._by_name.get(server.name, []):
            if known.ended_at_s is None:
                known.ended_at_s = now_s
                self._ended.add(server.name)

    def since(self, process: bytes) -> list[directory.Server]:
        """Returns an incarnation and those that took its name after it.

        Args:
            process: Key of the incarnation.

        Returns:
            The entries, the oldest first; none if the incarnation is unknown.
        """
        known = self._by_name.get(self._names.get(process, ""), [])
        keys = [key(incarnation.server) for incarnation in known]
        if process not in keys:
            return []
        return [found.server for found in known[keys.index(process) :]]

    def expire(self, now_s: float) -> None:
        """Forgets incarnations whose streams no client can take up."""
        for name in list(self._ended):
            known = self._by_name[name]
            kept = [
                found
                for found in known
                if found.ended_at_s is None
                or now_s - found.ended_at_s <= route_services.RETENTION_S
            ]
            kept_keys = {key(found.server) for found in kept}
            for process in {key(found.server) for found in known} - kept_keys:
                self._names.pop(process, None)
            self._by_name[name] = kept
            if not kept:
                del self._by_name[name]
            if all(found.ended_at_s is None for found in kept):
                self._ended.discard(name)


def key(server: directory.Server) -> bytes:
    """Returns what stands for a server's incarnation in messages.

    Returns:
        Eight bytes; `NO_KEY` if its entry states no start, as its processes
        can't be told apart.
    """
    if not server.started_at_ms:
        return NO_KEY
    text = f"{server.started_at_ms}/{server.name}"
    return xxhash.xxh3_64_digest(text.encode())
