"""Any order of events: a stream goes on only at the version that began it.

A model of the store holds all that happened. Daemons follow it, miss parts of
it, read answers late, list it again, start anew, and tell each other what they
have seen. Streams begin at any server, and their clients return at any daemon.
"""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from turmericcroft.fleet import positions
from turmericcroft.resumption import coverage
from turmericcroft.resumption import decision
from turmericcroft.resumption import origins

SERVICE = "pool"
ROUTE = "chat"
DAEMONS = 3
VERSIONS = ("v1", "v2", "v3")
# Clients take a stream up within this time, and servers go on for so long after
# their entries were removed.
STREAM_S = 15.0
LINGER_S = 10.0
daemon_numbers = strategies.integers(0, DAEMONS - 1)


@dataclasses.dataclass
class Change:
    """A change of an entry; without a version it was removed."""

    at: positions.StorePosition
    name: str
    version: str | None


class Daemon:
    """What a daemon does with the store's answers, without the calls."""

    def __init__(self, at, servers, first_era, now_s):
        self.versions = coverage.VersionCoverage()
        self.versions.routes.record_stream(ROUTE, SERVICE, now_s)
        self.known = {}
        if first_era:
            self.versions.begin_with_the_store(at.era)
        self.list(at, servers, now_s)

    def list(self, at, servers, now_s):
        self.known = dict(servers)
        self.position = at
        self.see(servers.values(), now_s)
        self.versions.begin(at, at, now_s)

    def see(self, versions, now_s):
        self.versions.record([(SERVICE, v) for v in versions], now_s)

    def apply(self, after, changes, at, now_s):
        self.see([c.version for c in changes if c.version], now_s)
        for change in changes:
            if change.at <= self.position:
                continue
            if change.version is None:
                self.known.pop(change.name, None)
            else:
                self.known[change.name] = change.version
        self.position = max(self.position, at)
        self.see(self.known.values(), now_s)
        self.versions.extend(after, at)


class StreamsOfReleases(stateful.RuleBasedStateMachine):
    """Events of the store, of daemons and of clients, in any order."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.at = positions.StorePosition(1, 10)
        self.discarded = positions.StorePosition(1, 0)
        self.changes = []
        self.servers = {}
        self.copy = None
        # Version and time until which a server answers, by name.
        self.answering = {}
        # Version, and time at which it began, of each stream.
        self.streams = []
        self.answers = []
        self.messages = []
        self.join("v1")
        self.daemons = [self.start() for _ in range(DAEMONS)]

    def start(self):
        return Daemon(self.at, self.servers, self.at.era == 1, self.now_s)

    def write(self, name, version):
        self.at = positions.StorePosition(self.at.era, self.at.revision + 1)
        self.changes.append(Change(self.at, name, version))

    @stateful.rule(version=strategies.sampled_from(VERSIONS))
    def join(self, version):
        name = f"i-{len(self.changes)}-{self.at.era}"
        self.servers[name] = version
        self.answering[name] = version, float("inf")
        self.write(name, version)

    @stateful.precondition(lambda self: self.servers)
    @stateful.rule(data=strategies.data())
    def leave(self, data):
        name = data.draw(strategies.sampled_from(sorted(self.servers)))
        version = self.servers.pop(name)
        self.answering[name] = version, self.now_s + LINGER_S
        self.write(name, None)

    @stateful.rule(
        version=strategies.sampled_from(VERSIONS),
        is_missed=strategies.booleans(),
    )
    def a_server_comes_and_goes(self, version, is_missed):
        name = f"i-{len(self.changes)}-{self.at.era}"
        self.write(name, version)
        self.streams.append((version, self.now_s))
        self.write(name, None)
        if is_missed:
            self.discarded = self.at

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 6.0, 31.0]))
    def wait(self, seconds):
        self.now_s += seconds

    @stateful.rule()
    def be_quiet_until_all_daemons_know_all(self):
        for _ in range(2):
            for daemon in self.daemons:
                self.follow(daemon)
            self.now_s += 31.0

    def ask(self, daemon):
        """Returns the store's answer; None if it has discarded the changes."""
        after = daemon.versions.follow_from(daemon.position)
        if after.era != self.at.era or after < self.discarded:
            return None
        later = [c for c in self.changes if c.at > after]
        return daemon, after, later, self.at

    def deliver(self, answer):
        daemon, after, changes, at = answer
        daemon.apply(after, changes, at, self.now_s)

    def follow(self, daemon):
        answer = self.ask(daemon)
        if answer is not None:
            self.deliver(answer)
            return True
        after = daemon.versions.follow_from(daemon.position)
        if after < daemon.position and after.era == self.at.era:
            daemon.versions.drop(after)
            return False
        daemon.list(self.at, self.servers, self.now_s)
        return False

    @stateful.rule(number=daemon_numbers)
    def poll(self, number):
        self.follow(self.daemons[number])

    @stateful.rule(number=daemon_numbers)
    def send_an_answer_that_is_read_late(self, number):
        answer = self.ask(self.daemons[number])
        if answer is not None:
            self.answers.append(answer)

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(data=strategies.data())
    def read_a_late_answer(self, data):
        index = data.draw(strategies.integers(0, len(self.answers) - 1))
        answer = self.answers.pop(index)
        if answer[3].era == self.at.era:
            self.deliver(answer)

    @stateful.rule()
    def discard_history(self):
        self.discarded = self.at

    @stateful.rule()
    def make_a_copy_of_the_store(self):
        self.copy = self.at, dict(self.servers), list(self.changes)

    @stateful.precondition(lambda self: self.copy is not None)
    @stateful.rule()
    def go_on_from_the_copy(self):
        at, servers, changes = self.copy
        self.copy = None
        self.at = positions.StorePosition(self.at.era + 1, at.revision)
        self.changes = [
            dataclasses.replace(
                c, at=positions.StorePosition(self.at.era, c.at.revision)
            )
            for c in changes
        ]
        self.discarded = positions.StorePosition(self.at.era, 0)
        for name, version in self.servers.items():
            if name not in servers:
                # It registers again, or is gone; it answers for a while.
                self.answering[name] = version, self.now_s + LINGER_S
        self.servers = dict(servers)
        for name in servers:
            self.answering[name] = servers[name], float("inf")

    @stateful.rule(number=daemon_numbers)
    def restart(self, number):
        self.daemons[number] = self.start()

    @stateful.rule(number=daemon_numbers)
    def tell(self, number):
        daemon = self.daemons[number]
        daemon.see(daemon.known.values(), self.now_s)
        self.messages.append(daemon.versions.history(self.now_s))

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(data=strategies.data(), number=daemon_numbers)
    def hear(self, data, number):
        index = data.draw(strategies.integers(0, len(self.messages) - 1))
        self.daemons[number].versions.merge(self.messages[index], self.now_s)

    @stateful.rule(data=strategies.data())
    def begin_a_stream(self, data):
        answering = sorted(
            name
            for name, (_, until_s) in self.answering.items()
            if self.now_s <= until_s
        )
        if answering:
            name = data.draw(strategies.sampled_from(answering))
            self.streams.append((self.answering[name][0], self.now_s))

    @stateful.precondition(lambda self: self.streams)
    @stateful.rule(
        data=strategies.data(),
        number=daemon_numbers,
        store=strategies.sampled_from(["away", "deaf", "well"]),
    )
    def take_a_stream_up(self, data, number, store):
        lately = [s for s in self.streams if self.now_s - s[1] <= STREAM_S]
        if not lately:
            return
        version, _ = data.draw(strategies.sampled_from(lately))
        daemon = self.daemons[number]
        daemon.see(daemon.known.values(), self.now_s)
        question = decision.Question("r1", ROUTE, (SERVICE,), SERVICE)
        means = decision.Means(None, True, False)
        records = origins.StreamOrigins()
        found = decision.decide(
            question, records, daemon.versions, means, self.now_s
        )
        assert not isinstance(found, decision.Known)
        if isinstance(found, decision.Confirm):
            confirmed = self.at if store != "away" else None
            if store == "well":
                self.follow(daemon)
            means = decision.Means(confirmed, False, False)
            found = decision.decide(
                question, records, daemon.versions, means, self.now_s
            )
        if isinstance(found, decision.Known):
            hypothesis.event("taken up")
            assert found.origin == origins.Origin(SERVICE, version)


TestStreamsOfReleases = StreamsOfReleases.TestCase
TestStreamsOfReleases.settings = hypothesis.settings(
    max_examples=1_000, stateful_step_count=50, deadline=None
)
