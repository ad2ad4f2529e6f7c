"""Messages between daemons.

The names of the classes and of their fields are part of the wire format.
"""

import dataclasses
import typing

from turmericcroft.answers import ledger
from turmericcroft.answers import request as requests
from turmericcroft.membership import view
from turmericcroft.mesh import codec
from turmericcroft.timeline import clock

# Holds the events of the longest answer, and a request of the longest body.
_MAX_BYTES = 33_554_432


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """Periodic report of a daemon that it is alive.

    Attributes:
        member: The sender.
        leaving: Whether the sender is stopping.
        config_number: Number of the configuration that the sender has in force.
        stamp: Time of the sender's clock.
        rumours: Membership updates to spread.
    """

    member: view.Member
    leaving: bool
    config_number: int
    stamp: clock.Stamp
    rumours: tuple[view.Rumour, ...]


@dataclasses.dataclass(frozen=True)
class FetchMembers:
    """Asks for the members that the peer regards as alive."""


@dataclasses.dataclass(frozen=True)
class MembersReply:
    """Members that are alive, including the sender."""

    members: tuple[view.Member, ...]


@dataclasses.dataclass(frozen=True)
class FetchHead:
    """Asks for the encoded head of the configuration in force."""


@dataclasses.dataclass(frozen=True)
class HeadReply:
    """The encoded head; empty if no configuration is in force."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class FetchPart:
    """Asks for a part of the configuration by its content hash."""

    digest: str


@dataclasses.dataclass(frozen=True)
class PartReply:
    """The encoded part; empty if the peer does not have it."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class KeepRequest:
    """Asks the backup daemon to store a copy of an accepted request."""

    request: requests.ModelRequest
    origin: str


@dataclasses.dataclass(frozen=True)
class HandOver:
    """Hands an open answer over, with all events emitted so far."""

    request: requests.ModelRequest
    events: bytes
    finished: bool


@dataclasses.dataclass(frozen=True)
class Follow:
    """Asks for a stream of an answer's events after a position."""

    request_id: str
    account: str
    position: int


@dataclasses.dataclass(frozen=True)
class Events:
    """Events of an answer that a peer follows.

    The first message may contain no events. It already tells the receiver, by
    ``chat`` and ``stream``, how to send the answer to its caller.

    Attributes:
        data: Encoded events.
        chat: Whether the answer is a chat completion.
        stream: Whether the caller asked for a stream of events.
    """

    data: bytes
    chat: bool
    stream: bool


@dataclasses.dataclass(frozen=True)
class Held:
    """The peer stored what it was sent."""


@dataclasses.dataclass(frozen=True)
class NotHeld:
    """The peer does not have what was asked for."""


@dataclasses.dataclass(frozen=True)
class Claim:
    """Asks the owner of a shard to record a call before it is sent."""

    shard: int
    claim: ledger.ClaimRecord


@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """The shard owner's reply to a claim.

    Attributes:
        verdict: Whether the call may be sent, or why not.
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
    """Reports the outcome of a claimed call to the owner of its shard."""

    shard: int
    end: ledger.EndRecord


@dataclasses.dataclass(frozen=True)
class Quarantine:
    """Reports a request whose execution crashed servers, or its release."""

    fingerprint: str
    crashes: int
    quarantined: bool


@dataclasses.dataclass(frozen=True)
class FetchTimeline:
    """Asks for events of the peer's time line that match the given fields."""

    request_id: str
    server: str
    account: str
    since_ms: int


@dataclasses.dataclass(frozen=True)
class TimelineReply:
    """Events of a time line as JSON lines."""

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

CODEC = codec.Codec(typing.get_args(Message), _MAX_BYTES)
