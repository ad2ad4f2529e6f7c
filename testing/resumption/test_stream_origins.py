"""Records of streams, as daemons tell each other.

Guards against a client that goes on by a record whose process was lost on the
way: that of a relay, or of a daemon that took the stream up in between.
"""

from turmericcroft.fleet import directory
from turmericcroft.resumption import incarnations
from turmericcroft.resumption import origins

_ORIGIN = origins.Origin("pool", "v1")


def make_key(name, started_at_ms=1):
    return incarnations.key(
        directory.Server(
            name,
            "pool",
            "127.0.0.1",
            1,
            "a",
            4,
            started_at_ms=started_at_ms,
            software_version="v1",
        )
    )


def tell(daemon, now_s=0.0):
    return daemon.notes(["pool"], repeat_s=1.0, now_s=now_s)


def test_relays_keep_the_process_of_each_stream():
    daemons = [origins.StreamOrigins() for _ in range(3)]
    for number, daemon in enumerate(daemons):
        for stream in range(number + 1):
            key = make_key(f"i-{number}-{stream}")
            daemon.begin(f"r-{number}-{stream}", _ORIGIN, key)
    notes = origins.join_notes(
        note for daemon in daemons for note in tell(daemon)
    )
    assert len(notes) == 1
    other = origins.StreamOrigins()
    other.merge(notes, 0.1)
    for number in range(3):
        for stream in range(number + 1):
            found = other.find_process(f"r-{number}-{stream}")
            assert found == make_key(f"i-{number}-{stream}")
    later = origins.StreamOrigins()
    later.merge(other.all_notes(0.2), 0.2)
    assert later.find_process("r-2-1") == make_key("i-2-1")


# A fleet of two builds: those before state no processes.
def test_records_of_older_builds_are_kept():
    older = origins.StreamOrigins()
    older.begin("r1", _ORIGIN, make_key("x"))
    (note,) = tell(older)
    plain = origins.OriginNote(note.service, note.version, note.streams)
    newer = origins.StreamOrigins()
    newer.begin("r2", _ORIGIN, make_key("y"))
    joined = origins.join_notes([plain, *tell(newer)])
    other = origins.StreamOrigins()
    other.merge(joined, 0.1)
    assert other.find("r1", 0.2) == _ORIGIN
    assert other.find_process("r1") == incarnations.NO_KEY
    assert other.find_process("r2") == make_key("y")


# What is known of its first part holds also after it has gone on elsewhere.
def test_a_daemon_that_takes_a_stream_up_keeps_the_process_of_its_beginning():
    first, second = origins.StreamOrigins(), origins.StreamOrigins()
    first.begin("r1", _ORIGIN, make_key("x"))
    second.merge(tell(first), 0.1)
    second.begin("r1", _ORIGIN)
    assert second.find_process("r1") == make_key("x")
    second.begin("r1", _ORIGIN, make_key("y"))
    assert second.find_process("r1") == make_key("x")
    second.prove("r1")
    assert second.find_process("r1") == incarnations.NO_KEY


# A server may return to an earlier entry if the store continues from a copy.
def test_incarnations_that_came_back_are_kept_in_order():
    def server(started_at_ms, version):
        return directory.Server(
            "x",
            "pool",
            "127.0.0.1",
            1,
            "a",
            4,
            started_at_ms=started_at_ms,
            software_version=version,
        )

    seen = incarnations.Incarnations()
    first, second = server(1, "v1"), server(2, "v2")
    seen.record(first, 0.0)
    seen.record(second, 1.0)
    seen.record(first, 2.0)
    versions = [
        found.software_version for found in seen.since(incarnations.key(first))
    ]
    assert versions == ["v1", "v2", "v1"]
    seen.expire(40.0)
    assert seen.since(incarnations.key(first)) == [first]
    assert seen.since(incarnations.key(second)) == []
    seen.remove(first, 41.0)
    seen.expire(80.0)
    assert seen.since(incarnations.key(first)) == []
