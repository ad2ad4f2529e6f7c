"""Messages between daemons."""

import dataclasses
import typing

from turmericcroft.answers import ledger
from turmericcroft.answers import request as requests
from turmericcroft.membership import view
from turmericcroft.mesh import codec
from turmericcroft.timeline import clock


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A sign of life, with the news that travels along.

    Attributes:
        member: The sender.
        leaving: Whether it is stopping.
        config_number: The configuration that it has in force.
        stamp: Its clock.
        rumours: News about members.
    """

    member: view.Member
    leaving: bool
    config_number: int
    stamp: clock.Stamp
    rumours: tuple[view.Rumour, ...]


@dataclasses.dataclass(frozen=True)
class FetchMembers:
    """Asks for the members that a daemon knows to be alive."""


@dataclasses.dataclass(frozen=True)
class MembersReply:
    """Members that are alive, the sender among them."""

    members: tuple[view.Member, ...]


@dataclasses.dataclass(frozen=True)
class FetchHead:
    """Asks for the encoded head in force."""


@dataclasses.dataclass(frozen=True)
class HeadReply:
    """The encoded head; empty if none is in force."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class FetchPart:
    """Asks for a configuration part by content hash."""

    digest: str


@dataclasses.dataclass(frozen=True)
class PartReply:
    """The encoded part; empty if the peer does not hold it."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class KeepRequest:
    """Asks the buddy to remember a request that was accepted."""

    request: requests.ModelRequest
    origin: str


@dataclasses.dataclass(frozen=True)
class HandOver:
    """Moves an open answer with everything emitted so far."""

    request: requests.ModelRequest
    events: bytes
    finished: bool


@dataclasses.dataclass(frozen=True)
class Follow:
    """Asks for the events of an answer after a position, as a stream."""

    request_id: str
    account: str
    position: int


@dataclasses.dataclass(frozen=True)
class Events:
    """Some events of a followed answer; the first tells how it streams."""

    data: bytes
    chat: bool
    stream: bool


@dataclasses.dataclass(frozen=True)
class Held:
    """The peer holds from now on what it was given."""


@dataclasses.dataclass(frozen=True)
class NotHeld:
    """The peer does not hold what was asked for."""


@dataclasses.dataclass(frozen=True)
class Claim:
    """Asks a shard's owner to record that a call is about to be sent."""

    shard: int
    claim: ledger.ClaimRecord


@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """The owner's verdict on a claim.

    Attributes:
        verdict: The verdict.
        status: HTTP status of a completed call.
        content_type: Media type of a completed call.
        body: Body of a completed call.
    """

    verdict: ledger.Verdict
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class End:
    """Tells the shard's owner how a claimed call ended."""

    shard: int
    end: ledger.EndRecord


@dataclasses.dataclass(frozen=True)
class Quarantine:
    """Tells of a request whose runs crashed servers, or of its release."""

    fingerprint: str
    crashes: int
    quarantined: bool


@dataclasses.dataclass(frozen=True)
class FetchTimeline:
    """Asks for a daemon's events."""

    request_id: str
    server: str
    account: str
    since_ms: int


@dataclasses.dataclass(frozen=True)
class TimelineReply:
    """Events as JSON lines."""

    data: bytes


Message = (
    Heartbeat
    | FetchMembers
    | MembersReply
    | FetchHead
    | HeadReply
    | FetchPart
    | PartReply
    | KeepRequest
    | HandOver
    | Follow
    | Events
    | Held
    | NotHeld
    | Claim
    | ClaimReply
    | End
    | Quarantine
    | FetchTimeline
    | TimelineReply
)

CODEC = codec.Codec(typing.get_args(Message))
