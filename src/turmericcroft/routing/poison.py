"""Finds out which requests crash servers, so that they can be refused.

Load pattern: requests that crash each server that begins to answer them, sent
to any daemon, while other requests share their account, route and most of
their prompt. A request is described by its traits: a hash of the whole request
and the ids of the shared parts of its prompt. Each trait of a request that a
server was about to answer when it crashed may be the cause.

A server that answers a request clears the request's traits of the crashes
known by then, so what is in wide use stays clear. A trait that remains for
several crashes is their cause, and explains them: other traits are judged by
the crashes that remain. Traits that were present at the same crashes can't be
told apart. Then only requests that have all of them are refused, until one
that has a part of them is answered or crashes a server.

Crashes are identified by the incarnation of the server, and numbered in case it
starts again before it is registered anew. Daemons merge what they know as sets,
so a crash counts once, whoever saw it and however often it is told.
"""

import collections
import copy
import dataclasses
import hashlib
from collections.abc import Collection
from collections.abc import Iterable

from turmericcroft.fleet import ages

CRASHES_TO_REFUSE = 3
# The same for traits that servers have answered before: several servers may
# crash at once for another reason while each is about to answer one of these.
_CRASHES_TO_REFUSE_ANSWERED = 5
# Crashes without a cause are kept for this time, causes for the longer one.
_RETENTION_S = 600.0
_CAUSE_RETENTION_S = 3_600.0
_MAX_CRASHES = 200
_MAX_TRAITS_PER_CRASH = 200
# How long digests repeat what changed, in case some of them are lost.
_REPEAT_S = 5.0
_MAX_ANSWERED_TRAITS = 5_000
# A request is let through to find out whether a cause still crashes servers,
# this time after the last crash; doubled by each further crash.
_TRIAL_INTERVAL_S = 60.0

Incarnation = tuple[str, int]
CrashId = tuple[str, int, int]


@dataclasses.dataclass(frozen=True)
class CrashNote:
    """What a daemon knows of a crash, as sent to the others and stored.

    Attributes:
        server: Name of the server.
        started_at_ms: Start of its incarnation, in Unix milliseconds.
        suspects: Traits that may have caused the crash.
        cleared: Traits that did not.
        number: Number of crashes of the same incarnation before this one.
        age_s: Time since the crash was first noticed.
    """

    server: str
    started_at_ms: int
    suspects: tuple[str, ...]
    cleared: tuple[str, ...] = ()
    number: int = 0
    age_s: ages.Age = 0.0

    @property
    def crash_id(self) -> CrashId:
        """Identifies the crash."""
        return self.server, self.started_at_ms, self.number


@dataclasses.dataclass(frozen=True)
class Cause:
    """The cause of several crashes.

    Attributes:
        traits: A request that has all of them is refused.
        crashes: The crashes that it explains.
        last_crash_at_s: Monotonic time at which the last crash was noticed.
    """

    traits: frozenset[str]
    crashes: frozenset[CrashId]
    last_crash_at_s: float

    @property
    def key(self) -> str:
        """Identifies the traits, among daemons and in the store."""
        return request_hash(*sorted(trait.encode() for trait in self.traits))


@dataclasses.dataclass
class _Crash:
    suspects: set[str]
    cleared: set[str]
    noticed_at_s: float
    changed_at_s: float


def request_hash(*contents: bytes) -> str:
    """Hashes the contents that identify a request.

    Example:
        >>> request_hash(b"a", b"bc") == request_hash(b"ab", b"c")
        False
    """
    digest = hashlib.blake2b(digest_size=9)
    for content in contents:
        digest.update(b"%d:" % len(content))
        digest.update(content)
    return digest.hexdigest()


def request_traits(
    fingerprint: str, shared_parts: Iterable[str]
) -> tuple[str, ...]:
    """Lists the traits of a request.

    Args:
        fingerprint: Hash of the whole request.
        shared_parts: Ids of the parts of its prompt that other requests may
            have as well.

    Example:
        >>> request_traits("f00d", ["5c1e", "91bd"])
        ('request f00d', 'part 5c1e', 'part 91bd')
    """
    parts = (f"part {content_id}" for content_id in shared_parts)
    return (f"request {fingerprint}", *parts)


class CrashLedger:
    """Crashes, their suspects and their causes.

    Attributes:
        crashes: Crashes by their id.
        causes: Causes of crashes; requests that have the traits of one are
            refused.
    """

    def __init__(self) -> None:
        self.crashes: dict[CrashId, _Crash] = {}
        self.causes: tuple[Cause, ...] = ()
        self._answered: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # Crashes that each trait may have caused.
        self._suspected: dict[str, frozenset[CrashId]] = {}
        self._tried_at_s: dict[frozenset[str], float] = {}

    def record_crash(
        self,
        crashed: Incarnation,
        suspects: Collection[str],
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Records that a server crashed when it was about to answer requests.

        Args:
            crashed: The server.
            suspects: All traits of these requests.
            sent_at_s: Monotonic time at which the last of them was sent. A
                crash of this incarnation that was known before is another one.
            now_s: Monotonic time.
        """
        number = 0
        while (
            known := self.crashes.get((*crashed, number))
        ) is not None and known.noticed_at_s < sent_at_s:
            number += 1
        note = CrashNote(*crashed, tuple(suspects), number=number)
        self.merge(note, now_s)

    def record_answer(self, traits: Collection[str], now_s: float) -> None:
        """Clears the traits of a request that a server has answered."""
        for trait in traits:
            self._answered[trait] = None
            self._answered.move_to_end(trait)
        while len(self._answered) > _MAX_ANSWERED_TRAITS:
            self._answered.popitem(last=False)
        self.clear(traits, now_s)

    def merge(self, note: CrashNote, now_s: float) -> None:
        """Merges what another daemon or the store knows of a crash."""
        crash = self.crashes.get(note.crash_id)
        if crash is None:
            # Otherwise daemons would go on to tell each other old crashes.
            if not note.suspects or note.age_s > _CAUSE_RETENTION_S:
                return
            crash = _Crash(set(), set(), now_s - note.age_s, now_s)
            self.crashes[note.crash_id] = crash
            self._evict()
        cleared = crash.cleared.union(note.cleared)
        if len(cleared) > _MAX_TRAITS_PER_CRASH:
            cleared = crash.cleared
        suspects = crash.suspects.union(note.suspects) - cleared
        if len(suspects) > _MAX_TRAITS_PER_CRASH:
            suspects = set(sorted(suspects)[:_MAX_TRAITS_PER_CRASH])
        if cleared == crash.cleared and suspects == crash.suspects:
            return
        crash.suspects, crash.cleared = suspects, cleared
        crash.changed_at_s = now_s
        self._find_causes()

    def clear(self, traits: Collection[str], now_s: float) -> None:
        """Clears traits, because of an answer or by an operator's decision."""
        suspected = [trait for trait in traits if trait in self._suspected]
        for trait in suspected:
            for crash_id in self._suspected[trait]:
                crash = self.crashes[crash_id]
                crash.suspects.discard(trait)
                crash.cleared.add(trait)
                crash.changed_at_s = now_s
        if suspected:
            self._find_causes()

    def find_cause(self, traits: Collection[str]) -> Cause | None:
        """Returns the cause of crashes whose traits a request has, if any."""
        if not self.causes:
            return None
        found = frozenset(traits)
        return next((c for c in self.causes if c.traits <= found), None)

    def try_start_trial(self, cause: Cause, now_s: float) -> bool:
        """Lets one request through if the last crash was long ago.

        Only one daemon may call this for a cause, so that a cause that still
        crashes servers crashes one of them.
        """
        doublings = max(0, len(cause.crashes) - CRASHES_TO_REFUSE)
        interval_s = _TRIAL_INTERVAL_S * 2.0**doublings
        tried_at_s = self._tried_at_s.get(cause.traits, float("-inf"))
        if now_s - max(cause.last_crash_at_s, tried_at_s) < interval_s:
            return False
        self._tried_at_s[cause.traits] = now_s
        return True

    def copy(self) -> "CrashLedger":
        """Returns a copy in which trials can start without starting here."""
        other = copy.copy(self)
        other._tried_at_s = dict(self._tried_at_s)
        return other

    def crash_count(self, trait: str) -> int:
        """Returns the number of crashes that a trait may have caused."""
        return len(self._suspected.get(trait, ()))

    def notes(self, now_s: float) -> tuple[CrashNote, ...]:
        """Returns what the other daemons may not know yet.

        These are the recent changes and, for daemons that have just started,
        the evidence of the causes.
        """
        notes = {
            crash_id: CrashNote(
                crash_id[0],
                crash_id[1],
                tuple(sorted(crash.suspects)),
                tuple(sorted(crash.cleared)),
                crash_id[2],
                now_s - crash.noticed_at_s,
            )
            for crash_id, crash in self.crashes.items()
            if now_s - crash.changed_at_s < _REPEAT_S
        }
        for cause in self.causes:
            for note in self.evidence(cause, now_s):
                notes.setdefault(note.crash_id, note)
        return tuple(notes.values())

    def evidence(self, cause: Cause, now_s: float) -> tuple[CrashNote, ...]:
        """Returns the notes from which a cause can be found again."""
        traits = tuple(sorted(cause.traits))
        return tuple(
            CrashNote(
                server,
                started_at_ms,
                traits,
                number=number,
                age_s=now_s
                - self.crashes[server, started_at_ms, number].noticed_at_s,
            )
            for server, started_at_ms, number in sorted(cause.crashes)
        )

    def is_suspected(self, note: CrashNote) -> bool:
        """Returns whether a suspect of a note still is one."""
        crash = self.crashes.get(note.crash_id)
        if crash is None:
            return False
        return not crash.suspects.isdisjoint(note.suspects)

    def expire(self, now_s: float) -> None:
        """Removes crashes after their retention time."""
        explained = {i for cause in self.causes for i in cause.crashes}
        old = [
            crash_id
            for crash_id, crash in self.crashes.items()
            if now_s - crash.noticed_at_s
            > (_CAUSE_RETENTION_S if crash_id in explained else _RETENTION_S)
        ]
        for crash_id in old:
            del self.crashes[crash_id]
        if old:
            self._find_causes()

    def _evict(self) -> None:
        """Removes the oldest crash beyond the limit that has no cause."""
        if len(self.crashes) <= _MAX_CRASHES:
            return
        explained = {i for cause in self.causes for i in cause.crashes}
        oldest = next((i for i in self.crashes if i not in explained), None)
        del self.crashes[oldest or next(iter(self.crashes))]
        self._find_causes()

    def _find_causes(self) -> None:
        """Finds the traits that explain most crashes, and what remains."""
        found: dict[str, set[CrashId]] = {}
        for crash_id, crash in self.crashes.items():
            for trait in crash.suspects:
                found.setdefault(trait, set()).add(crash_id)
        present = {trait: frozenset(ids) for trait, ids in found.items()}
        self._suspected = present
        causes = []
        while True:
            enough = [
                trait
                for trait, crashes in present.items()
                if len(crashes) >= self._crashes_to_refuse(trait)
            ]
            if not enough:
                break
            # The name decides between equals, so that all daemons agree.
            chosen = max(enough, key=lambda t: (len(present[t]), t))
            explained = present[chosen]
            traits = frozenset(
                trait
                for trait, crashes in present.items()
                if crashes == explained
            )
            last_at_s = max(self.crashes[i].noticed_at_s for i in explained)
            causes.append(Cause(traits, explained, last_at_s))
            present = {
                trait: crashes - explained
                for trait, crashes in present.items()
                if not crashes <= explained
            }
        self.causes = tuple(causes)

    def _crashes_to_refuse(self, trait: str) -> int:
        if trait in self._answered:
            return _CRASHES_TO_REFUSE_ANSWERED
        return CRASHES_TO_REFUSE
