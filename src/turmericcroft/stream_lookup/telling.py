"""What daemons tell each other of streams and software versions."""

from collections.abc import Iterable

from turmericcroft.gateway import state as states
from turmericcroft.resumption import coverage
from turmericcroft.resumption import origins

# Oldest view of the servers by which other daemons are not told of streams, in
# times that a leaving server goes on.
_MAX_VIEW_AGE_DRAINS = 2.0
_REFRESH_INTERVAL_S = 0.1


def record_versions(state: states.State, now_s: float) -> None:
    """Records that all known servers are still there.

    Their versions were recorded when their entries were read. The call costs as
    much as there are servers, so that those who return together share it.
    """
    versions = state.software_versions
    if now_s - versions.refreshed_at_s < _REFRESH_INTERVAL_S:
        return
    versions.refreshed_at_s = now_s
    versions.record(
        (
            (record.server.service, record.server.software_version)
            for record in state.directory.records.values()
        ),
        now_s,
    )


def find_unclear(state: states.State, now_s: float) -> set[str]:
    """Returns the services whose streams other daemons must be told of.

    They can't infer what began a stream of a service if several versions serve,
    or if they lack a part of what happened; nor while the store is away. Any of
    this may be known to others first, so that they are told of all streams in a
    small fleet, where sixteen bytes for each stream are little.
    """
    record_versions(state, now_s)
    services = {r.server.service for r in state.directory.records.values()}
    versions = state.software_versions
    max_age_s = _MAX_VIEW_AGE_DRAINS * state.directory.drain_s
    if (
        not state.uses_relays
        or now_s - state.fleet_confirmed_at_s > max_age_s
        or versions.needs_notes(now_s)
        or not versions.covers(coverage.ANY_POSITION, now_s)
    ):
        return services
    unclear = {s for s in services if len(versions.recent(s, now_s)) != 1}
    return unclear | versions.routes.find_unclear(now_s)


def make_notes(
    state: states.State, repeat_s: float, now_s: float
) -> tuple[origins.OriginNote, ...]:
    """Returns the streams to tell other daemons, if their origin is unclear.

    Args:
        state: The daemon's state.
        repeat_s: Time for which a stream is told.
        now_s: Monotonic time.
    """
    unclear = find_unclear(state, now_s)
    return state.stream_origins.notes(unclear, repeat_s, now_s)


def make_history(state: states.State, now_s: float) -> coverage.VersionHistory:
    """Returns what this daemon has seen of software versions, to be told."""
    record_versions(state, now_s)
    return state.software_versions.history(now_s)


def merge_notes(
    state: states.State,
    notes: Iterable[origins.OriginNote],
    history: coverage.VersionHistory,
    now_s: float,
    is_member: bool = False,
) -> None:
    """Applies what another daemon knows of streams and versions.

    Args:
        state: The daemon's state.
        notes: Streams.
        history: Versions.
        now_s: Monotonic time.
        is_member: Whether this daemon is the relay of the other one.
    """
    state.stream_origins.merge(notes, now_s)
    state.software_versions.merge(history, now_s, is_member)
    state.stream_notes_merged.set()
    state.stream_notes_merged.clear()
