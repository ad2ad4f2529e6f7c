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

from turmericcroft.resumption import incarnations
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
        processes: Keys of the incarnations that the servers' entries stated, in
            the same order, eight bytes each; `incarnations.NO_KEY` where the
            process was checked. Older builds state none.
    """

    service: str
    version: str
    streams: bytes
    processes: bytes = b""

    def rows(self) -> Iterable[tuple[bytes, bytes]]:
        """Yields each stream with the key of its process."""
        for start in range(0, len(self.streams), _HASH_BYTES):
            key = self.streams[start : start + _HASH_BYTES]
            process = self.processes[start : start + incarnations.KEY_BYTES]
            yield key, process.ljust(incarnations.KEY_BYTES, b"\0")


@dataclasses.dataclass(frozen=True)
class _ToldStream:
    """A stream that another daemon told.

    Attributes:
        origin: What began it; None if daemons told different ones.
        process: As in `OriginNote`.
        told_at_s: Monotonic time when it was last told.
    """

    origin: Origin | None
    process: bytes
    told_at_s: float


@dataclasses.dataclass
class _OwnStream:
    """A stream that this daemon forwards, or did so recently.

    Attributes:
        origin: What began it.
        process: Key of the incarnation that the server's entry stated;
            `incarnations.NO_KEY` if its process was checked.
        ended_at_s: Monotonic time of its end here; None while it runs.
        told_at_s: Monotonic time when other daemons were first told of it;
            None if they were not.
    """

    origin: Origin
    process: bytes
    ended_at_s: float | None = None
    told_at_s: float | None = None


# Streams and the keys of their processes, by what began them.
_Grouped = dict[Origin, list[tuple[bytes, bytes]]]


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
        self._told: dict[bytes, _ToldStream] = {}

    def begin(
        self,
        request_id: str,
        origin: Origin,
        process: bytes = incarnations.NO_KEY,
    ) -> None:
        """Records what began a stream, or that a client takes it up here.

        Args:
            request_id: Id of the request that began the stream.
            origin: What began it.
            process: Key of the incarnation that the server's entry states;
                `incarnations.NO_KEY` if its process was checked. What is known
                of the stream's first part is kept.
        """
        key = _hash(request_id)
        known = self._own.get(key)
        if known is not None and known.origin == origin:
            known.ended_at_s = None
            return
        told = self._told.get(key)
        if told is not None and told.origin == origin:
            process = told.process
        self._own[key] = _OwnStream(origin, process)

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
        if told is None or now_s - told.told_at_s > RETENTION_S:
            return None
        return told.origin

    def find_process(self, request_id: str) -> bytes:
        """Returns the key of the process that is recorded with a stream."""
        key = _hash(request_id)
        found = self._own.get(key) or self._told.get(key)
        return found.process if found is not None else incarnations.NO_KEY

    def prove(self, request_id: str) -> None:
        """Records that the process which began a stream was checked."""
        key = _hash(request_id)
        own, told = self._own.get(key), self._told.get(key)
        if own is not None:
            own.process = incarnations.NO_KEY
        if told is not None:
            self._told[key] = dataclasses.replace(
                told, process=incarnations.NO_KEY
            )

    def notes(
        self, services: Collection[str], repeat_s: float, now_s: float
    ) -> tuple[OriginNote, ...]:
        """Returns this daemon's streams to tell others.

        Args:
            services: Services whose versions can't be told otherwise.
            repeat_s: Time for which a stream is told, in case a note is lost.
            now_s: Monotonic time.
        """
        grouped: _Grouped = collections.defaultdict(list)
        for key, stream in self._own.items():
            if stream.origin.service not in services:
                continue
            if (
                stream.told_at_s is None
                or now_s - stream.told_at_s > 0.5 * RETENTION_S
            ):
                stream.told_at_s = now_s
            if now_s - stream.told_at_s <= repeat_s:
                grouped[stream.origin].append((key, stream.process))
        return _to_notes(grouped)

    def all_notes(self, now_s: float) -> tuple[OriginNote, ...]:
        """Returns all known streams, for a daemon that has started."""
        grouped: _Grouped = collections.defaultdict(list)
        for key, told in self._told.items():
            is_recent = now_s - told.told_at_s <= RETENTION_S
            if told.origin is not None and is_recent:
                grouped[told.origin].append((key, told.process))
        for key, stream in self._own.items():
            grouped[stream.origin].append((key, stream.process))
        return _to_notes(grouped)

    def merge(self, notes: Iterable[OriginNote], now_s: float) -> None:
        """Applies streams that another daemon told."""
        for note in notes:
            origin = Origin(note.service, note.version)
            for key, process in note.rows():
                before = self._told.get(key)
                if before is None or now_s - before.told_at_s > RETENTION_S:
                    self._told[key] = _ToldStream(origin, process, now_s)
                elif before.origin != origin:
                    self._told[key] = _ToldStream(
                        None, incarnations.NO_KEY, now_s
                    )
                else:
                    self._told[key] = dataclasses.replace(
                        before, told_at_s=now_s
                    )

    def expire(self, now_s: float) -> None:
        """Removes streams that no client can take up any more."""
        self._own = {
            key: stream
            for key, stream in self._own.items()
            if stream.ended_at_s is None
            or now_s - stream.ended_at_s <= RETENTION_S
        }
        self._told = {
            key: told
            for key, told in self._told.items()
            if now_s - told.told_at_s <= RETENTION_S
        }


def join_notes(notes: Iterable[OriginNote]) -> tuple[OriginNote, ...]:
    """Joins the notes of several daemons into one for each version."""
    grouped: _Grouped = collections.defaultdict(list)
    for note in notes:
        grouped[Origin(note.service, note.version)].extend(note.rows())
    return _to_notes(grouped)


def _to_notes(grouped: _Grouped) -> tuple[OriginNote, ...]:
    return tuple(
        OriginNote(
            origin.service,
            origin.version,
            b"".join(key for key, _ in rows),
            b"".join(process for _, process in rows),
        )
        for origin, rows in grouped.items()
    )


def _hash(request_id: str) -> bytes:
    return xxhash.xxh3_64_digest(request_id.encode())
