"""Random histories of one server and the registry, against a plain model.

The registry writes, copies and restores; the directory hears of all, some or
none of it. The model keeps only the server's own words in order.
"""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from turmericcroft.fleet import directory
from turmericcroft.fleet import positions

DRAIN_S = 2.0


def make_server(sequence, draining):
    return directory.Server(
        "i-1",
        "plain",
        "10.0.0.1",
        80,
        "zone-a",
        8,
        draining=draining,
        started_at_ms=5,
        sequence=sequence,
    )


class RestoredRegistry(stateful.RuleBasedStateMachine):
    """A registry with one server, restored from copies at any time."""

    def __init__(self):
        super().__init__()
        self.directory = directory.Directory(DRAIN_S)
        self.now_s = 0.0
        self.era, self.revision, self.sequence = 1, 10, 0
        self.entry = None
        self.copy = (self.revision, None)
        # Sequence after which the directory was told that the server left.
        self.told_left_after = None
        self.told_leaving_in_answer = False

    def position(self):
        return positions.StorePosition(self.era, self.revision)

    @stateful.rule(draining=strategies.booleans())
    def server_writes(self, draining):
        self.sequence += 1
        self.revision += 1
        self.entry = (self.revision, make_server(self.sequence, draining))

    @stateful.precondition(lambda self: self.entry is not None)
    @stateful.rule()
    def entry_is_written_again(self):
        self.revision += 1
        self.entry = (self.revision, self.entry[1])

    @stateful.precondition(lambda self: self.entry is not None)
    @stateful.rule()
    def entry_is_removed(self):
        self.revision += 1
        self.entry = None
        change = self.directory.remove("i-1", self.position(), self.now_s)
        if change is not None:
            self.told_left_after = self.sequence

    @stateful.precondition(lambda self: self.entry is not None)
    @stateful.rule()
    def change_is_delivered(self):
        revision, server = self.entry
        entry = directory.RegistryEntry(
            positions.StorePosition(self.era, revision), server
        )
        self.directory.put("i-1", entry, self.now_s)
        self.note_delivery(server)

    @stateful.rule()
    def listing_is_delivered(self):
        listed = {}
        if self.entry is not None:
            revision, server = self.entry
            listed["i-1"] = directory.RegistryEntry(
                positions.StorePosition(self.era, revision), server
            )
        changes = self.directory.replace_all(
            listed, self.position(), self.now_s
        )
        if self.entry is not None:
            self.note_delivery(self.entry[1])
        elif changes:
            self.told_left_after = self.sequence

    @stateful.rule()
    def server_says_in_an_answer_that_it_leaves(self):
        record = self.directory.records.get("i-1")
        if record is not None:
            self.directory.record_leaving(record.server.incarnation, self.now_s)
            self.told_leaving_in_answer = True

    @stateful.rule()
    def registry_is_copied(self):
        self.copy = (self.revision, self.entry)

    @stateful.rule()
    def registry_continues_from_the_copy(self):
        self.era += 1
        self.revision, self.entry = self.copy

    def note_delivery(self, server):
        record = self.directory.records["i-1"]
        if record.server.sequence != server.sequence:
            return
        if server.draining:
            self.told_left_after = server.sequence

    @stateful.invariant()
    def a_server_that_left_is_not_used(self):
        usable = self.directory.usable("plain")
        if self.told_leaving_in_answer:
            assert not usable
        if usable and self.told_left_after is not None:
            assert usable[0].sequence > self.told_left_after


RestoredRegistry.TestCase.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)
TestRestoredRegistry = RestoredRegistry.TestCase


def list_server(known, era, revision, server):
    entry = directory.RegistryEntry(
        positions.StorePosition(era, revision), server
    )
    known.replace_all(
        {"i-1": entry}, positions.StorePosition(era, revision), 0.0
    )
    return [found.sequence for found in known.usable("plain")]


def test_an_entry_that_was_removed_unseen_is_not_used_after_a_restore():
    # The change to sequence 2 and the removal were delivered as one, so the
    # copy holds a later entry than the last one that was seen.
    known = directory.Directory(DRAIN_S)
    assert list_server(known, 1, 10, make_server(1, False)) == [1]
    known.remove("i-1", positions.StorePosition(1, 12), 0.0)
    assert list_server(known, 2, 11, make_server(2, False)) == []
    assert list_server(known, 2, 12, make_server(2, False)) == []
    assert list_server(known, 2, 13, make_server(3, False)) == [3]


def test_an_entry_of_an_earlier_start_is_not_used_after_a_restore():
    known = directory.Directory(DRAIN_S)
    later = dataclasses.replace(make_server(1, True), started_at_ms=9)
    assert list_server(known, 1, 10, later) == []
    assert list_server(known, 2, 9, make_server(40, False)) == []
