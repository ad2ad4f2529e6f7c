"""Checks of the events of streams, as clients received them.

Events name their run, which tells whether a stream joins pieces of several.
"""

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True)
class Event:
    """An event of an emulated engine.

    Attributes:
        position: Its position by its id.
        run: Name of its run, which begins with the request's id.
        sent_position: Its position by its data.
        last_position: Position of the run's last event.
        server: Id of the server that sent it.
        process: The server's process.
        version: Version of the server's software.
    """

    position: int
    run: str
    sent_position: int
    last_position: int
    server: str
    process: str
    version: str

    @property
    def request_id(self) -> str:
        """Id of the request that the run was started for."""
        return self.run.rpartition("#")[0]


@dataclasses.dataclass(frozen=True)
class Expected:
    """What a stream is to be.

    Attributes:
        is_resumable: Whether a new run may go on where another one ended.
        is_complete: Whether it ended as complete.
        resume_after: Position after which the client takes it up.
        request_id: The request, if all events must be of runs of it.
    """

    is_resumable: bool
    is_complete: bool
    resume_after: int = 0
    request_id: str | None = None


def parse(body: bytes) -> tuple[list[Event], list[str]]:
    """Parses a stream; returns its whole events, and faults of others."""
    events = []
    faults = []
    for piece in body.split(b"\n\n")[:-1]:
        try:
            events.append(_parse_event(piece))
        except ValueError:
            faults.append(f"no event: {piece[:80]!r}")
    return events, faults


def _parse_event(piece: bytes) -> Event:
    # A first line may state another version of the weights.
    *_, id_line, data_line = piece.decode().split("\n")
    server, process, run, positions, version = data_line.split(" ")[1:]
    sent, _, last = positions.partition("/")
    return Event(
        int(id_line.removeprefix("id: ")),
        run,
        int(sent),
        int(last),
        server,
        process,
        version,
    )


def find_faults(body: bytes, expected: Expected) -> list[str]:
    """Finds what is wrong with a stream, complete or not."""
    events, faults = parse(body)
    if expected.is_complete and not body.endswith(b"\n\n"):
        faults.append("ended as complete within an event")
    return faults + find_event_faults(events, expected)


def find_event_faults(events: Sequence[Event], expected: Expected) -> list[str]:
    """Finds events that are missing, repeated or of a run that doesn't belong.

    Args:
        events: The events of the stream, over all tries of its client.
        expected: What the stream is to be.
    """
    faults: list[str] = []
    position = expected.resume_after
    runs: list[str] = []
    for event in events:
        position += 1
        if (event.position, event.sent_position) != (position, position):
            faults.append(f"expected event {position}, found {event}")
            break
        if not runs or event.run != runs[-1]:
            if event.run in runs:
                faults.append(f"goes back to an earlier run at {event}")
            elif runs and not expected.is_resumable:
                faults.append(f"joined with run {runs[-1]}: {event}")
            runs.append(event.run)
        if expected.request_id not in (None, event.request_id):
            faults.append(f"expected {expected.request_id}, found {event}")
    is_whole = bool(events) and position == events[-1].last_position
    if expected.is_complete and not is_whole:
        faults.append(f"ended as complete after event {position}")
    return faults


def find_positions(body: bytes) -> list[int]:
    """Returns the positions of a stream's events.

    Raises:
        ValueError: The stream is wrong on any route.
    """
    events, faults = parse(body)
    after = events[0].position - 1 if events else 0
    faults += find_event_faults(events, Expected(True, False, after))
    if faults:
        raise ValueError("; ".join(faults))
    return [event.position for event in events]
