"""What a daemon knows of the rollouts of all services.

Load pattern: each daemon hears the same notes from up to 64 others, several
times a second, in any order and some of them late.
"""

import dataclasses
from collections.abc import Iterable

from turmericcroft.fleet import positions
from turmericcroft.rollouts import notes

# Ended rollouts of a service that are kept besides the latest. Each excludes
# versions whose servers may still run; servers of earlier ones have ended.
_MAX_ENDED = 6
# Fencing numbers and counts of decisions stay below it.
_MAX_NUMBER = 2**53


@dataclasses.dataclass(frozen=True)
class _Known:
    """A note, and its times on this daemon's clock.

    Attributes:
        note: The note as it was told; its ages are those of then.
        first_seen_s: Monotonic time when the order was first seen.
        decided_at_s: Monotonic time of the decision.
    """

    note: notes.RolloutNote
    first_seen_s: float
    decided_at_s: float

    @property
    def position(self) -> positions.StorePosition:
        """Position of the order."""
        return positions.StorePosition(self.note.era, self.note.revision)

    @property
    def is_final(self) -> bool:
        """Whether the rollout has ended."""
        return notes.read_phase(self.note).is_final

    @property
    def precedence(self) -> tuple[bool, int, int]:
        """What decides between two notes on one order."""
        return self.is_final, self.note.token, self.note.step

    def at(self, now_s: float) -> notes.RolloutNote:
        """Returns the note with its ages at some time."""
        return dataclasses.replace(
            self.note,
            age_s=round(max(0.0, now_s - self.first_seen_s), 3),
            decided_age_s=round(max(0.0, now_s - self.decided_at_s), 3),
        )


def _can_be_followed(note: notes.RolloutNote) -> bool:
    """Returns whether a later order and a later decision can exist."""
    position = positions.StorePosition(note.era, note.revision)
    return (
        position.is_reachable()
        and 0 <= note.token <= _MAX_NUMBER
        and 0 <= note.step <= _MAX_NUMBER
    )


class RolloutView:
    """The latest note of each service's rollout, and those that ended before.

    Without an order, nothing here changes which servers a request may take.

    Example:
        >>> view = RolloutView()
        >>> note = notes.RolloutNote("pool", "v2", 60.0, 1, 5, "rolled_back", 0)
        >>> view.merge([note], now_s=10.0)
        >>> view.latest("pool", now_s=12.5).decided_age_s
        2.5
        >>> sorted(view.excluded_versions("pool"))
        ['v2']
    """

    def __init__(self) -> None:
        self._latest: dict[str, _Known] = {}
        self._ended: dict[str, dict[positions.StorePosition, _Known]] = {}
        self._excluded: dict[str, frozenset[str]] = {}
        # Order and reason for which this daemon sends the target nothing.
        self._held: dict[str, tuple[positions.StorePosition, str]] = {}

    def make_notes(self, now_s: float) -> tuple[notes.RolloutNote, ...]:
        """Returns the notes to tell other daemons."""
        told = [
            known.at(now_s)
            for ended in self._ended.values()
            for known in ended.values()
        ]
        for known in self._latest.values():
            note = known.at(now_s)
            reason = self._hold_reason(known)
            if reason is not None:
                note = dataclasses.replace(note, reason=f"held: {reason}")
            told.append(note)
        return tuple(told)

    def merge(self, told: Iterable[notes.RolloutNote], now_s: float) -> None:
        """Applies notes that another daemon told."""
        for note in told:
            if _can_be_followed(note):
                self.record(note, now_s)

    def record(self, note: notes.RolloutNote, now_s: float) -> bool:
        """Applies one note, of this daemon or of another one.

        Returns:
            Whether it takes precedence over what was known of the service.
        """
        known = _Known(note, now_s - note.age_s, now_s - note.decided_age_s)
        latest = self._latest.get(note.service)
        if latest is None or latest.position < known.position:
            if latest is not None:
                self._end(latest)
            self._latest[note.service] = known
            self._excluded.pop(note.service, None)
            return True
        if known.position < latest.position:
            self._end(known)
            return False
        joined = _join(latest, known)
        self._latest[note.service] = joined
        if (joined.note.phase, joined.note.replaced) != (
            latest.note.phase,
            latest.note.replaced,
        ):
            self._excluded.pop(note.service, None)
        return joined.precedence > latest.precedence

    def latest(self, service: str, now_s: float) -> notes.RolloutNote | None:
        """Returns a service's rollout with its ages now; None if none.

        While `hold` applies, it is in the trial with a share of 0.
        """
        known = self._latest.get(service)
        if known is None:
            return None
        reason = self._hold_reason(known)
        if reason is None:
            return known.at(now_s)
        return dataclasses.replace(
            known.at(now_s),
            phase=notes.Phase.TRIAL.value,
            share=0.0,
            reason=f"held: {reason}",
        )

    def decided(self, service: str, now_s: float) -> notes.RolloutNote | None:
        """Returns the same note without regard to `hold`, for the decider."""
        known = self._latest.get(service)
        return None if known is None else known.at(now_s)

    def services(self) -> tuple[str, ...]:
        """Returns the services that have a note, by name."""
        return tuple(sorted(self._latest))

    def identify(self, order: notes.Order) -> notes.Order:
        """Returns an order that was read from the store as it is known here.

        A store that continues from an older copy has the orders of that copy
        in another era. They are the orders that are known already, and are not
        carried out again.
        """
        known_notes = list(self._ended.get(order.service, {}).values())
        if order.service in self._latest:
            known_notes.append(self._latest[order.service])
        for known in known_notes:
            if (
                known.note.target == order.target
                and known.note.duration_s == order.duration_s
                and known.note.revision == order.position.revision
                and known.note.era < order.position.era
            ):
                return dataclasses.replace(order, position=known.position)
        return order

    def hold(self, service: str, reason: str) -> None:
        """Stops sending to the target version of the present order.

        For a daemon that sees BAD in the fleet's counts before the decider
        told so. The told note has the reason, but the same phase: the verdict
        is the decider's. Ends with the order.
        """
        known = self._latest.get(service)
        if known is not None and not known.is_final:
            self._held[service] = known.position, reason

    def excluded_versions(self, service: str) -> frozenset[str]:
        """Returns the versions that ended rollouts exclude.

        These are the targets of those that were rolled back, replaced or
        withdrawn, and the replaced versions of completed ones, unless a newer
        order has them as its target.
        """
        found = self._excluded.get(service)
        if found is None:
            found = self._excluded[service] = self._find_excluded(service)
        return found

    def _find_excluded(self, service: str) -> frozenset[str]:
        ended = self._ended.get(service, {})
        excluded: set[str] = set()
        known_notes = [ended[position] for position in sorted(ended)]
        latest = self._latest.get(service)
        for known in (*known_notes, *([latest] if latest else [])):
            excluded.discard(known.note.target)
            phase = notes.read_phase(known.note)
            if phase is notes.Phase.COMPLETED:
                excluded.update(known.note.replaced)
            elif phase is notes.Phase.ROLLED_BACK or known is not latest:
                # A rollout that was replaced before its end was not found good.
                excluded.add(known.note.target)
        # An order that can't be read has no target.
        return frozenset(excluded - {""})

    def _end(self, known: _Known) -> None:
        """Keeps a rollout that a newer order replaced.

        Its note stays as it was, so that its end, if it had one that this
        daemon hears of later, takes precedence.
        """
        ended = self._ended.setdefault(known.note.service, {})
        before = ended.get(known.position)
        ended[known.position] = _join(before, known) if before else known
        for position in sorted(ended)[:-_MAX_ENDED]:
            del ended[position]
        self._excluded.pop(known.note.service, None)

    def _hold_reason(self, known: _Known) -> str | None:
        held = self._held.get(known.note.service)
        if held is None or known.is_final or held[0] != known.position:
            return None
        return held[1]


def _join(before: _Known, told: _Known) -> _Known:
    """Returns the note that takes precedence, with the earliest times.

    The same decision arrives on several ways, of which the slowest know its age
    worst: they take it for younger than it is.
    """
    first_seen_s = min(before.first_seen_s, told.first_seen_s)
    if told.precedence > before.precedence:
        return dataclasses.replace(told, first_seen_s=first_seen_s)
    decided_at_s = before.decided_at_s
    if told.precedence == before.precedence:
        decided_at_s = min(decided_at_s, told.decided_at_s)
    return _Known(before.note, first_seen_s, decided_at_s)
