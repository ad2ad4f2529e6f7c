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
    """

    name: str
    incarnation: int
    availability_zone: str
    host: str
    port: int

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
        stopping: Whether it takes no more new clients.
        wall_s: Its time of day.
        version: Version of the declaration that it has in force.
        fleet_revision: Store revision of what it knows of the servers.
        fleet_age_s: How old that is.
        work: Requests at each server, and prompt tokens not yet read there.
        quota_totals: Quota units admitted so far, by account.
        usage: Requests that began to run, by window and account.
        crashes: Crashes seen, by fingerprint of the request.
        demand: Server time asked for so far, by service.
        heads: Prompt heads that servers were lately sent.
    """

    member: Member
    number: int
    stopping: bool
    wall_s: float
    version: int
    fleet_revision: int
    fleet_age_s: float
    work: dict[str, tuple[int, int]]
    quota_totals: dict[str, float]
    usage: dict[int, dict[str, int]]
    crashes: dict[str, int]
    demand: dict[str, scaling.Asked]
    heads: tuple[HeadNote, ...]


@dataclasses.dataclass(frozen=True)
class Relayed:
    """A digest on its way through other daemons.

    Attributes:
        daemon: Identity of its sender, so that a known one is not decoded.
        number: Its number.
        data: The encoded digest.
    """

    daemon: str
    number: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class Exchange:
    """Digests that the receiver may not know; the reply holds others."""

    digests: tuple[Relayed, ...]


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
    """Asks for the servers' entries."""


@dataclasses.dataclass(frozen=True)
class ServerEntry:
    """A server's entry as the store held it."""

    name: str
    raw: bytes
    revision: int


@dataclasses.dataclass(frozen=True)
class ServersReply:
    """All entries, and how old they are."""

    entries: tuple[ServerEntry, ...]
    revision: int
    age_s: float


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
        Exchange,
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
