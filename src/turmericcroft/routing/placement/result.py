"""Where a request is placed, and what the decision was made from."""

import dataclasses
import typing

from turmericcroft.fleet import directory
from turmericcroft.routing import engines
from turmericcroft.routing.work import expected


class Figures(typing.NamedTuple):
    """What was predicted for a request at one server.

    A decision makes dozens, and a named tuple is made in a fifth of the time of
    a frozen data class.

    Attributes:
        server: Name of the server.
        cost_s: Time that the request costs: its first event, the late answers
            that are expected, and what is charged for prefixes.
        first_event_s: Expected time to the first event.
        late_share: Probability that the first event is late.
        paused_streams: Streams there that are expected to pause too long.
        running: Estimated requests there.
        told_running: Those of them that are known, and not only expected.
        backlog_s: Estimated time of the work that precedes this request.
        slowed_share: Probability that the VM is slowed.
        age_s: Age of the newest information on the server.
        is_cached: Whether the server is assumed to cache the prefix.
    """

    server: str
    cost_s: float
    first_event_s: float
    late_share: float
    paused_streams: float
    running: float
    told_running: float
    backlog_s: float
    slowed_share: float
    age_s: float
    is_cached: bool


@dataclasses.dataclass(frozen=True)
class Placement:
    """The server chosen for a request, and why.

    Attributes:
        server: The server.
        chosen: What was predicted for it.
        compared: What was predicted for all servers that were compared.
        candidates: Number of servers that might have been chosen.
        digest_age_s: Age of the other daemons' loads.
        utilisation: Part of the servers' time that the fleet's work takes.
        correction: Factor between seen and predicted first events.
        first_event_s: Predicted time to the first event, or to the response.
        prefill_tokens: Tokens that the server is expected to prefill.
        fetch_from: Server to copy the prefix from; None if it is not copied.
        load: Load of the server before the request, as far as it is known.
        declared: What the client declares about a generation; None if the
            request is for a plain service.
        output_tokens: Expected output of a generation.
        route: Route of a request to a plain service.
        work_s: Expected time of a request to a plain service.
    """

    server: directory.Server
    chosen: Figures
    compared: tuple[Figures, ...]
    candidates: int
    digest_age_s: float
    utilisation: float
    correction: float
    first_event_s: float
    prefill_tokens: int = 0
    fetch_from: directory.Server | None = None
    load: engines.EngineLoad = engines.NO_LOAD
    declared: expected.Declared | None = None
    output_tokens: int = 0
    route: str = ""
    work_s: float = 0.0
