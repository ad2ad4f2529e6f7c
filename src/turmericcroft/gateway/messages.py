"""Messages between gateway daemons, and their codec.

Names of classes and fields are on the wire.
"""

import dataclasses

from turmericcroft.duties import scaling
from turmericcroft.fleet import ages
from turmericcroft.fleet import positions
from turmericcroft.mesh import codec
from turmericcroft.resumption import coverage
from turmericcroft.resumption import origins
from turmericcroft.rollouts import notes as rollout_notes
from turmericcroft.routing import brittle as brittle_services
from turmericcroft.routing import poison
from turmericcroft.routing import server_limits
from turmericcroft.routing.work import statements as load_statements


@dataclasses.dataclass(frozen=True)
class Member:
    """A daemon as it describes itself.

    Attributes:
        name: Name of its VM.
        incarnation: Start of the process, in Unix milliseconds.
        availability_zone: Availability zone of its VM.
        host: IP address of its mesh port.
        port: Its mesh port.
        link_mbps: Bandwidth of its VM's link; 0 if unknown.
        tunnel_port: Port for daemons that reach no server; 0 if it has none.
    """

    name: str
    incarnation: int
    availability_zone: str
    host: str
    port: int
    link_mbps: float = 0.0
    tunnel_port: int = 0

    @property
    def key(self) -> str:
        """Identity of this start of the daemon."""
        return f"{self.name}/{self.incarnation}"


@dataclasses.dataclass(frozen=True)
class HeadNote:
    """A prompt prefix that a server prefills or has cached.

    Attributes:
        server: Name of the server.
        started_at_ms: Start of its incarnation, in Unix milliseconds.
        head: Hash of the prefix.
        tokens: Length of the prefix.
    """

    server: str
    started_at_ms: int
    head: int
    tokens: int


@dataclasses.dataclass(frozen=True)
class Digest:
    """State that a daemon sends to the others several times a second.

    Totals only grow within one incarnation, so the next digest makes up for
    one that is lost.

    Attributes:
        member: The sender.
        number: Increases with each digest of this incarnation.
        wall_s: The sender's time of day.
        version: Version of the declaration that the sender has in force.
        fleet_age_s: Age of the sender's view of the servers.
        work: In-flight requests, and their prompt tokens that are not prefilled
            yet, by server.
        quota_totals: Quota units admitted so far, by account.
        usage: Requests that began to run, by window and account.
        crashes: Empty; daemons of earlier versions expect it.
        demand: Server time needed by requests so far, by service.
        heads: Prompt prefixes recently sent to servers.
        leaving: Name and start of the servers that stated in an answer that
            they leave.
        recorded: Latest recorded usage counts, by window and account.
        crash_notes: Crashes of servers and what may have caused them.
        limit_notes: Limits of requests per second that servers stated.
        stream_notes: Streams that began recently, by software version.
        versions: Versions of the servers' software that were seen recently.
        brittle: Services whose servers state that they are brittle.
        counters: Totals of what is counted over the fleet, by key.
        rollouts: How far the rollouts of services have come.
        statements: Loads that servers stated in answers recently.
    """

    member: Member
    number: int
    wall_s: float
    version: int
    fleet_age_s: ages.Age
    work: dict[str, tuple[int, int]]
    quota_totals: dict[str, float]
    usage: dict[int, dict[str, int]]
    crashes: dict[str, int]
    demand: dict[str, scaling.DemandTotals]
    heads: tuple[HeadNote, ...]
    leaving: tuple[tuple[str, int], ...] = ()
    recorded: dict[int, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    crash_notes: tuple[poison.CrashNote, ...] = ()
    limit_notes: tuple[server_limits.LimitNote, ...] = ()
    stream_notes: tuple[origins.OriginNote, ...] = ()
    versions: coverage.VersionHistory = coverage.NO_HISTORY
    brittle: tuple[brittle_services.BrittleNote, ...] = ()
    counters: dict[str, float] = dataclasses.field(default_factory=dict)
    rollouts: tuple[rollout_notes.RolloutNote, ...] = ()
    statements: tuple[load_statements.ServerStatement, ...] = ()


@dataclasses.dataclass(frozen=True)
class Summary:
    """Digests of a zone's daemons, summed by the zone's relay.

    Sums of quota units and of demand start with the relay's process and only
    grow.

    Attributes:
        relay: The relay that made the summary.
        number: Increases with each summary of this incarnation.
        wall_s: The relay's time of day.
        members: Number of daemons of the whole fleet that the relay knows.
        version: Version of the declaration that the relay has in force.
        servers_revision: Store revision of the latest change of a server's
            entry that the relay applied.
        store_era: Era of the store that the revision belongs to.
        fleet_age_s: Age of the relay's view of the servers.
        work: In-flight requests, and their prompt tokens that are not prefilled
            yet, by server.
        quota_totals: Quota units admitted, by account.
        crashes: Empty; daemons of earlier versions expect it.
        demand: Server time needed by requests, by service.
        heads: Prompt prefixes recently sent to servers, each as the fields of
            a HeadNote.
        leaving: Name and start of the servers that stated in an answer to one
            of the daemons that they leave.
        recorded: Latest recorded usage counts, by window and account.
        crash_notes: Crashes of servers and what may have caused them.
        limit_notes: Limits of requests per second that servers stated.
        stream_notes: Streams that began recently, by software version.
        versions: Versions of the servers' software that were seen recently.
        brittle: Services whose servers state that they are brittle.
        counters: Totals of what is counted over the fleet, by key.
        rollouts: How far the rollouts of services have come.
        statements: Loads that servers stated in answers recently.
    """

    relay: Member
    number: int
    wall_s: float
    members: int
    version: int
    servers_revision: int
    fleet_age_s: ages.Age
    work: dict[str, tuple[int, int]]
    quota_totals: dict[str, float]
    crashes: dict[str, dict[str, int]]
    demand: dict[str, scaling.DemandTotals]
    heads: tuple[tuple[str, int, int, int], ...]
    store_era: int = 0
    leaving: tuple[tuple[str, int], ...] = ()
    recorded: dict[int, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    crash_notes: tuple[poison.CrashNote, ...] = ()
    limit_notes: tuple[server_limits.LimitNote, ...] = ()
    stream_notes: tuple[origins.OriginNote, ...] = ()
    versions: coverage.VersionHistory = coverage.NO_HISTORY
    brittle: tuple[brittle_services.BrittleNote, ...] = ()
    counters: dict[str, float] = dataclasses.field(default_factory=dict)
    rollouts: tuple[rollout_notes.RolloutNote, ...] = ()
    statements: tuple[load_statements.ServerStatement, ...] = ()

    @property
    def servers_position(self) -> positions.StorePosition:
        """Position of the latest change of a server's entry."""
        return positions.StorePosition(self.store_era, self.servers_revision)


@dataclasses.dataclass(frozen=True)
class Encoded:
    """An encoded summary, which relays pass on without encoding it again.

    Attributes:
        relay: Identity of the relay that made it.
        number: Number of the summary.
        data: The encoded summary.
    """

    relay: str
    number: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class Exchange:
    """A daemon's digest, sent to every other daemon of a small fleet."""

    digest: Digest


@dataclasses.dataclass(frozen=True)
class Gather:
    """A daemon's digest, sent to the relay of its zone.

    Attributes:
        digest: The digest.
        known: Numbers of the summaries that the sender holds, by relay.
    """

    digest: Digest
    known: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Gathered:
    """A relay's reply to Gather.

    Attributes:
        included: Number of the caller's digest that the relay's own summary
            includes; 0 if none.
        summaries: Summaries that the caller does not hold.
        version: Version of the declaration that the relay has in force; 0 if it
            is not stated, as by earlier builds.
        declaration_age_s: Time since the store was asked and had no newer one.
    """

    included: int
    summaries: tuple[Encoded, ...]
    version: int = 0
    declaration_age_s: ages.Age = 0.0


@dataclasses.dataclass(frozen=True)
class Declined:
    """Reply to Gather of a daemon that is stopping and collects no digests."""


@dataclasses.dataclass(frozen=True)
class Share:
    """Summaries that one relay sends to another, and the reply to it.

    Attributes:
        sender: Name of the sender's VM.
        summaries: Summaries that the receiver may not hold.
        known: Numbers of the summaries that the sender holds, by relay.
    """

    sender: str
    summaries: tuple[Encoded, ...]
    known: dict[str, int]


@dataclasses.dataclass(frozen=True)
class FetchUsage:
    """Requests the usage that the daemons of a relay's zone counted."""


@dataclasses.dataclass(frozen=True)
class KeepUsage:
    """Usage counts that a stopping daemon hands over to its zone's relay.

    They include the counts that it collected as a relay.

    Attributes:
        counts: Requests that began to run, by daemon, window and account.
    """

    counts: dict[str, dict[int, dict[str, int]]]


@dataclasses.dataclass(frozen=True)
class UsageReply:
    """Reply to FetchUsage.

    Attributes:
        counts: Requests that began to run, by daemon, window and account.
    """

    counts: dict[str, dict[int, dict[str, int]]]


@dataclasses.dataclass(frozen=True)
class FetchDeclaration:
    """Requests the declaration in force.

    Attributes:
        accepts_deflate: Whether the reply may be compressed.
    """

    accepts_deflate: bool = False


@dataclasses.dataclass(frozen=True)
class DeclarationReply:
    """Reply to FetchDeclaration.

    Attributes:
        raw: The declaration's text; empty if none is in force or if the text
            is compressed.
        revision: Store revision of the text.
        deflated: The compressed text; empty if it is not compressed.
    """

    raw: bytes
    revision: int
    deflated: bytes = b""


@dataclasses.dataclass(frozen=True)
class FetchServers:
    """Requests the servers' entries.

    Attributes:
        since: Store revision that the caller has reached; 0 requests all.
        era: Era of the store that the revision belongs to.
    """

    since: int = 0
    era: int = 0

    @property
    def position(self) -> positions.StorePosition:
        """Position that the caller has reached; START requests all."""
        if not self.since:
            return positions.START
        return positions.StorePosition(self.era, self.since)


@dataclasses.dataclass(frozen=True)
class ServerEntry:
    """A server's entry as the store holds it.

    Its revision belongs to the era of the view or the message that holds it.
    """

    name: str
    raw: bytes
    revision: int


@dataclasses.dataclass(frozen=True)
class ServersReply:
    """Reply to FetchServers.

    Attributes:
        entries: All entries, or those that changed.
        revision: Store revision up to which no change is missing.
        age_s: Age of the sender's view of the servers.
        is_whole: Whether these are all entries.
        removed: Names and revisions of removed entries; empty if `is_whole`.
        era: Era of the store that all revisions belong to.
        rollouts: How far the rollouts of services have come, so that no daemon
            learns of a new version's servers without the order for them.
    """

    entries: tuple[ServerEntry, ...]
    revision: int
    age_s: ages.Age
    is_whole: bool = True
    removed: tuple[tuple[str, int], ...] = ()
    era: int = 0
    rollouts: tuple[rollout_notes.RolloutNote, ...] = ()


@dataclasses.dataclass(frozen=True)
class FetchMembers:
    """Requests the descriptions of the daemons that a daemon knows."""


@dataclasses.dataclass(frozen=True)
class MembersReply:
    """Reply to FetchMembers: the daemons that the sender knows, and itself."""

    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True)
class FetchHeads:
    """Requests all prompt prefixes that a daemon expects servers to cache.

    Older builds know neither attribute and reply with all prefixes.

    Attributes:
        streams_only: Whether the streams are requested, and no prefixes.
        confirms: Whether the daemon is to confirm its view by the store first.
    """

    streams_only: bool = False
    confirms: bool = False


@dataclasses.dataclass(frozen=True)
class HeadsReply:
    """Reply to FetchHeads: prefixes that servers are expected to cache.

    Attributes:
        heads: The prefixes.
        stream_notes: All recent streams that the sender knows, by software
            version.
        versions: What the sender has seen of software versions.
        confirmed: Position that the store had reached after the request came,
            and that these include; None if that is not known.
    """

    heads: tuple[HeadNote, ...]
    stream_notes: tuple[origins.OriginNote, ...] = ()
    versions: coverage.VersionHistory = coverage.NO_HISTORY
    confirmed: positions.StorePosition | None = None


CODEC = codec.Codec(
    (
        Digest,
        Summary,
        Exchange,
        Gather,
        Gathered,
        Declined,
        Share,
        FetchUsage,
        KeepUsage,
        UsageReply,
        FetchDeclaration,
        DeclarationReply,
        FetchServers,
        ServersReply,
        FetchMembers,
        MembersReply,
        FetchHeads,
        HeadsReply,
    )
)
