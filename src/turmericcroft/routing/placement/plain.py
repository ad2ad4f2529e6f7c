"""Places requests on plain services whose VMs are shared with others.

Load pattern: requests of different routes cost a server very different amounts
of work, so that a server with few requests may be the busiest.
"""

import dataclasses
import random
from collections.abc import Mapping
from collections.abc import Sequence

from turmericcroft.fleet import directory
from turmericcroft.routing import engines
from turmericcroft.routing.placement import result
from turmericcroft.routing.work import table as tables

# Servers that are compared, drawn at random.
_COMPARED = 12
# Costs within this of the lowest are equal.
_TOLERANCE_S = 0.005
_OTHER_ZONE_S = 0.002


@dataclasses.dataclass(frozen=True)
class Request:
    """A request to a plain service.

    Attributes:
        work_s: Time that it is expected to take.
        mean_work_s: Time that requests of other daemons take on average.
        zone: Zone of this daemon.
    """

    work_s: float
    mean_work_s: float
    zone: str


def choose(
    request: Request,
    candidates: Sequence[directory.Server],
    table: tables.WorkTable,
    own_work_s: Mapping[str, float],
    rng: random.Random,
) -> result.Placement | None:
    """Places a request on the server with the least expected waiting time.

    Args:
        request: The request.
        candidates: Servers that may be chosen, all of them in the table.
        table: Remaining work of the service's servers.
        own_work_s: Expected work of this daemon's requests, by server name.
        rng: Source of random choices.

    Returns:
        The placement; None if there are no candidates.
    """
    if not candidates:
        return None
    drawn = candidates
    if len(candidates) > _COMPARED:
        drawn = rng.sample(candidates, _COMPARED)
    compared = [
        _predict(
            request,
            table.rows[server.name],
            table,
            own_work_s.get(server.name, 0.0),
        )
        for server in drawn
    ]
    limit_s = min(figures.cost_s for figures in compared) + _TOLERANCE_S
    near = [figures for figures in compared if figures.cost_s <= limit_s]
    chosen = rng.choice(near)
    return result.Placement(
        server=next(s for s in drawn if s.name == chosen.server),
        chosen=chosen,
        compared=tuple(compared),
        candidates=len(candidates),
        digest_age_s=table.digest_age_s,
        utilisation=table.utilisation,
        correction=1.0,
        first_event_s=chosen.first_event_s,
        load=engines.EngineLoad(round(chosen.running), 0),
    )


def _predict(
    request: Request,
    row: tables.ServerWork,
    table: tables.WorkTable,
    own_work_s: float,
) -> result.Figures:
    """Predicts how long a server takes for a request."""
    server = row.server
    slots = max(1, server.slots)
    running = max(row.running, table.level_running)
    backlog_s = running * request.mean_work_s + own_work_s
    own_count = own_work_s / request.mean_work_s
    # The part of the slots that is taken is the probability to wait.
    taken = min(1.0, (running + own_count) / slots)
    wait_s = taken * backlog_s / slots
    slowdown = 1.0 + row.slowed_share * (row.slowed_factor - 1.0)
    took_s = (wait_s + request.work_s) * slowdown
    cost_s = took_s
    if server.availability_zone != request.zone:
        cost_s += _OTHER_ZONE_S
    return result.Figures(
        server.name,
        cost_s,
        took_s,
        0.0,
        0.0,
        running + own_count,
        row.running + own_count,
        backlog_s,
        row.slowed_share,
        row.age_s,
        False,
    )
