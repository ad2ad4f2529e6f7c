"""Messages between gateway daemons."""

import dataclasses

from turmericcroft.duties import scaling
from turmericcroft.mesh import codec


@dataclasses.dataclass(frozen=True)
class Member:
    """A daemon as it describes itself.

    Attributes:
        name: Name of its VM.
        incarnation: Start of the process, in Unix milliseconds.
        availability_zone: Where it is.
        host: Address of its mesh port.
        port: Its mesh port.
        link_mbps: Bandwidth of its VM's link; 0 if unknown.
    """

    name: str
    incarnation: int
    availability_zone: str
    host: str
    port: int
    link_mbps: float = 0.0

    @property
    def key(self) -> str:
        """Identity of this start of the daemon."""
        return f"{self.name}/{self.incarnation}"


@dataclasses.dataclass(frozen=True)
class HeadNote:
    """A prompt's shared head that a server reads or holds.

    Attributes:
        server: Name of the server.
        started_at_ms: Start of its incarnation.
        head: Hash of the head.
        tokens: Length of the head.
    """

    server: str
    started_at_ms: int
    head: int
    tokens: int


@dataclasses.dataclass(frozen=True)
class Digest:
    """What a daemon tells the others several times a second.

    Totals only grow within one incarnation, so a digest that is lost is made
    up for by the next one.

    Attributes:
        member: The sender.
        number: Rises with each digest of this incarnation.
        wall_s: Its time of day.
        version: Version of the declaration that it has in force.
        fleet_age_s: How old its knowledge of the servers is.
        work: Requests at each server, and prompt tokens not yet read there.
        quota_totals: Quota units admitted so far, by account.
        usage: Requests that began to run, by window and account.
        crashes: Crashes seen, by fingerprint of the request.
        demand: Server time asked for so far, by service.
        heads: Prompt heads that servers were lately sent.
    """

    member: Member
    number: int
    wall_s: float
    version: int
    fleet_age_s: float
    work: dict[str, tuple[int, int]]
    quota_totals: dict[str, float]
    usage: dict[int, dict[str, int]]
    crashes: dict[str, int]
    demand: dict[str, scaling.DemandTotals]
    heads: tuple[HeadNote, ...]


@dataclasses.dataclass(frozen=True)
class Summary:
    """Digests of a zone's daemons, summed by the one that gathers them.

    Sums of quota units and of demand are counted from the start of the
    relaying daemon, and only grow.

    Attributes:
        relay: The daemon that gathered them.
        number: Rises with each summary of this incarnation.
        wall_s: Its time of day.
        members: Daemons of the whole fleet that it knows.
        version: Newest version of the declaration that it has in force.
        servers_revision: Store revision of the newest change of a server.
        fleet_age_s: How old its knowledge of the servers is.
        work: Requests at each server, and prompt tokens not yet read there.
        quota_totals: Quota units admitted, by account.
        crashes: Crashes seen, by daemon and fingerprint.
        demand: Server time asked for, by service.
        heads: Prompt heads that servers were lately sent, each as the fields
            of a HeadNote.
    """

    relay: Member
    number: int
    wall_s: float
    members: int
    version: int
    servers_revision: int
    fleet_age_s: float
    work: dict[str, tuple[int, int]]
    quota_totals: dict[str, float]
    crashes: dict[str, dict[str, int]]
    demand: dict[str, scaling.DemandTotals]
    heads: tuple[tuple[str, int, int, int], ...]


@dataclasses.dataclass(frozen=True)
class Encoded:
    """A summary as it travels, so that it is encoded once.

    Attributes:
        relay: Identity of the daemon that made it.
        number: Its number.
        data: The encoded summary.
    """

    relay: str
    number: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class Exchange:
    """A daemon's digest, told directly in a small fleet."""

    digest: Digest


@dataclasses.dataclass(frozen=True)
class Gather:
    """A daemon's digest for the relay of its zone.

    Attributes:
        digest: The digest.
        known: Numbers of the summaries that it holds, by relay.
    """

    digest: Digest
    known: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Gathered:
    """Answer of a relay.

    Attributes:
        included: Number of the caller's digest that the relay's own summary
            includes; 0 if none.
        summaries: Summaries that the caller does not hold.
    """

    included: int
    summaries: tuple[Encoded, ...]


@dataclasses.dataclass(frozen=True)
class Declined:
    """The daemon stops and gathers no digests any more."""


@dataclasses.dataclass(frozen=True)
class Share:
    """Summaries that one relay tells another; the reply holds others.

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
    """Asks a relay for the usage that its daemons counted."""


@dataclasses.dataclass(frozen=True)
class KeepUsage:
    """Counts of a relay that stops, for another one to keep."""

    counts: dict[str, dict[int, dict[str, int]]]


@dataclasses.dataclass(frozen=True)
class UsageReply:
    """Requests that began to run, by daemon, window and account."""

    counts: dict[str, dict[int, dict[str, int]]]


@dataclasses.dataclass(frozen=True)
class FetchDeclaration:
    """Asks for the declaration in force."""


@dataclasses.dataclass(frozen=True)
class DeclarationReply:
    """The declaration's text; empty if none is known."""

    raw: bytes
    revision: int


@dataclasses.dataclass(frozen=True)
class FetchServers:
    """Asks for the servers' entries.

    Attributes:
        since: Store revision that the caller has reached; 0 asks for all.
    """

    since: int = 0


@dataclasses.dataclass(frozen=True)
class ServerEntry:
    """A server's entry as the store held it."""

    name: str
    raw: bytes
    revision: int


@dataclasses.dataclass(frozen=True)
class ServersReply:
    """Entries, and how old they are.

    Attributes:
        entries: All entries, or those that changed.
        revision: Store revision that they have reached.
        age_s: How old they are.
        is_whole: Whether these are all entries.
        removed: Names and revisions of entries that were removed.
    """

    entries: tuple[ServerEntry, ...]
    revision: int
    age_s: float
    is_whole: bool = True
    removed: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True)
class FetchMembers:
    """Asks for the daemons that a daemon knows."""


@dataclasses.dataclass(frozen=True)
class MembersReply:
    """Daemons that the sender knows, itself among them."""

    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True)
class FetchHeads:
    """Asks for all heads that a daemon believes servers to hold."""


@dataclasses.dataclass(frozen=True)
class HeadsReply:
    """Heads that servers are believed to hold."""

    heads: tuple[HeadNote, ...]


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
