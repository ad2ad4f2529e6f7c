"""Which service and software version began a stream, as daemons tell it.

Load pattern: during a release servers of two software versions serve side by
side, and some end while streams run on them. Clients take these streams up at
other daemons, which must send them to the version that began them, because
servers don't check it.
"""

import collections
import dataclasses
from collections.abc import Collection
from collections.abc import Iterable

import xxhash

from turmericcroft.resumption import route_services

RETENTION_S = route_services.RETENTION_S
_HASH_BYTES = 8


@dataclasses.dataclass(frozen=True)
class Origin:
    """What began a stream, and alone can go on with it.

    Attributes:
        service: Name of the service.
        version: Version of the server's software.
    """

    service: str
    version: str


@dataclasses.dataclass(frozen=True)
class OriginNote:
    """Streams that began at one version, as sent to other daemons.

    Attributes:
        service: Name of the service.
        version: Version of the servers' software.
        streams: Hashes of the ids of the requests that began them, eight bytes
            each.
    """

    service: str
    version: str
    streams: bytes


@dataclasses.dataclass
class _OwnStream:
    """A stream that this daemon forwards, or did so recently.

    Attributes:
        origin: What began it.
        ended_at_s: Monotonic time of its end here; None while it runs.
        told_at_s: Monotonic time when other daemons were first told of it;
            None if they were not.
    """

    origin: Origin
    ended_at_s: float | None = None
    told_at_s: float | None = None


class StreamOrigins:
    """Origins of recent streams of all daemons, by the request that began them.

    Example:
        >>> first, second = StreamOrigins(), StreamOrigins()
        >>> first.begin("r1", Origin("pool", "v1"))
        >>> second.merge(first.notes(["pool"], repeat_s=1.0, now_s=0.0), 0.1)
        >>> second.find("r1", now_s=0.2)
        Origin(service='pool', version='v1')
        >>> first.notes(["pool"], repeat_s=1.0, now_s=1.5)
        ()
    """

    def __init__(self) -> None:
        self._own: dict[bytes, _OwnStream] = {}
        # Origins that other daemons told, and when they last did; None if they
        # told different ones.
        self._told: dict[bytes, tuple[Origin | None, float]] = {}

    def begin(self, request_id: str, origin: Origin) -> None:
        """Records what began a stream, or that a client takes it up here."""
        key = _hash(request_id)
        known = self._own.get(key)
        if known is None or known.origin != origin:
            self._own[key] = _OwnStream(origin)
        else:
            known.ended_at_s = None

    def end(self, request_id: str, now_s: float) -> None:
        """Records that a stream ended here; its client may not have all."""
        known = self._own.get(_hash(request_id))
        if known is not None:
            known.ended_at_s = now_s

    def find(self, request_id: str, now_s: float) -> Origin | None:
        """Returns what began a stream; None if it is not known."""
        key = _hash(request_id)
        own = self._own.get(key)
        if own is not None:
            return own.origin
        told = self._told.get(key)
        if told is None or now_s - told[1] > RETENTION_S:
            return None
        return told[0]

    def notes(
        self, services: Collection[str], repeat_s: float, now_s: float
    ) -> tuple[OriginNote, ...]:
        """Returns this daemon's streams to tell others.

        Args:
            services: Services whose versions can't be told otherwise.
            repeat_s: Time for which a stream is told, in case a note is lost.
            now_s: Monotonic time.
        """
        grouped: dict[Origin, list[bytes]] = collections.defaultdict(list)
        for key, stream in self._own.items():
            if stream.origin.service not in services:
                continue
            if (
                stream.told_at_s is None
                or now_s - stream.told_at_s > 0.5 * RETENTION_S
            ):
                stream.told_at_s = now_s
            if now_s - stream.told_at_s <= repeat_s:
                grouped[stream.origin].append(key)
        return _to_notes(grouped)

    def all_notes(self, now_s: float) -> tuple[OriginNote, ...]:
        """Returns all known streams, for a daemon that has started."""
        grouped: dict[Origin, list[bytes]] = collections.defaultdict(list)
        for key, (origin, told_at_s) in self._told.items():
            if origin is not None and now_s - told_at_s <= RETENTION_S:
                grouped[origin].append(key)
        for key, stream in self._own.items():
            grouped[stream.origin].append(key)
        return _to_notes(grouped)

    def merge(self, notes: Iterable[OriginNote], now_s: float) -> None:
        """Applies streams that another daemon told."""
        for note in notes:
            origin = Origin(note.service, note.version)
            for start in range(0, len(note.streams), _HASH_BYTES):
                key = note.streams[start : start + _HASH_BYTES]
                before, told_at_s = self._told.get(key, (origin, now_s))
                if before != origin and now_s - told_at_s <= RETENTION_S:
                    self._told[key] = None, now_s
                else:
                    self._told[key] = origin, now_s

    def expire(self, now_s: float) -> None:
        """Removes streams that no client can take up any more."""
        self._own = {
            key: stream
            for key, stream in self._own.items()
            if stream.ended_at_s is None
            or now_s - stream.ended_at_s <= RETENTION_S
        }
        self._told = {
            key: (origin, told_at_s)
            for key, (origin, told_at_s) in self._told.items()
            if now_s - told_at_s <= RETENTION_S
        }


def join_notes(notes: Iterable[OriginNote]) -> tuple[OriginNote, ...]:
    """Joins the notes of several daemons into one for each version."""
    grouped: dict[Origin, list[bytes]] = collections.defaultdict(list)
    for note in notes:
        grouped[Origin(note.service, note.version)].append(note.streams)
    return _to_notes(grouped)


def _to_notes(
    grouped: dict[Origin, list[bytes]],
) -> tuple[OriginNote, ...]:
    return tuple(
        OriginNote(origin.service, origin.version, b"".join(streams))
        for origin, streams in grouped.items()
    )


def _hash(request_id: str) -> bytes:
    return xxhash.xxh3_64_digest(request_id.encode())
