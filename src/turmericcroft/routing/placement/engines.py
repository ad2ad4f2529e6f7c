"""Places prompts on model engines whose VMs are shared with others.

Load pattern: the first event of 8 in 100 requests comes late at 80 engines, and
2.5 in 100 streams pause too long, 8.6 in 100 on a slowed VM. Two things cause
this: many daemons choose the same server from the same old view, and prompts
are prefilled between the decoding steps of streams. A placement therefore
weighs what the request and the streams on the server lose, and chooses at
random among the servers that are nearly equal.
"""

import itertools
import operator
import random
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

from turmericcroft.fleet import directory
from turmericcroft.routing import engines
from turmericcroft.routing.placement import prediction
from turmericcroft.routing.placement import result
from turmericcroft.routing.work import table as tables

# Servers that are compared; more would cost more time than the better server
# saves. With fewer candidates all are compared.
_COMPARED = 12
_COMPARED_OPEN = 4
_COMPARED_ANY = 1
_COMPARED_HOLDERS = 3
_COMPARED_IDLE = 2
_HOMES = 2
# Costs within this of the lowest are equal: predictions are less exact.
_TOLERANCE_S = 0.05
# With digests up to this old, the less loaded of two random servers is chosen.
# With older ones, many daemons find the same servers the less loaded. Simulated
# with relays, 9.8 answers in 100 were late with one random choice, 11.5 with
# the better of two and 12.7 with the best of three.
#
# With older digests, a daemon also prefers a few servers that few others
# prefer, while none of its own prompts waits there: of these it knows most of
# the load itself.
_TWO_CHOICES_AGE_S = 0.3


def find_holders(
    table: tables.WorkTable,
    leaving: Sequence[directory.Server],
    cached: engines.CachedPrefixes,
    prefix: int,
    now_s: float,
) -> list[directory.Server]:
    """Lists the servers that are assumed to cache a prefix."""
    if not prefix:
        return []
    # A loop in Python would take most of the time of a decision among 500.
    caches = map(operator.contains, table.caches, itertools.repeat(prefix))
    found = [*itertools.compress(table.servers, caches), *leaving]
    return [
        server
        for server in found
        if cached.holds(server.incarnation, prefix, now_s)
    ]


def choose(
    request: prediction.Request,
    candidates: Sequence[directory.Server],
    table: tables.WorkTable,
    own: Mapping[str, engines.EngineLoad],
    holders: Sequence[directory.Server],
    hot_s: float,
    rng: random.Random,
) -> result.Placement | None:
    """Places a prompt on an engine.

    Args:
        request: The request.
        candidates: Engines that may be chosen, all of them in the table.
        table: Remaining work of the service's engines.
        own: This daemon's load of the engines, by name.
        holders: Servers that cache the prefix and can be reached; they need
            not be candidates.
        hot_s: Unseen backlog that the prefix brings to each of them.
        rng: Source of random choices.

    Returns:
        The placement; None if there are no candidates.
    """
    if not candidates:
        return None
    sources: dict[str, directory.Server] = {}
    for holder in rng.sample(holders, len(holders)):
        sources.setdefault(holder.software_version, holder)
    holder_names = dict.fromkeys(holder.name for holder in holders)
    names: Collection[str] = table.rows
    if len(candidates) < len(names):
        names = {server.name for server in candidates}
    homes = _find_homes(request.prompt.prefix, holders, names, table)
    preferred = homes or [name for name in holder_names if name in names]
    if len(preferred) > _COMPARED_HOLDERS:
        preferred = rng.sample(sorted(preferred), _COMPARED_HOLDERS)
    idle = _list_idle(names, table, own, rng)
    readings = prediction.read(request, table, hot_s)
    compared = []
    preferred = [*preferred, *idle]
    for row in _shortlist(request, candidates, names, table, preferred, rng):
        name = row.server.name
        is_cached = name in holder_names
        can_copy = row.server.software_version in sources
        reading = readings[0 if is_cached else 1 if can_copy else 2]
        if homes and name not in homes:
            reading = readings[3]
        load = own.get(name, engines.NO_LOAD)
        compared.append(
            prediction.predict(request, reading, row, table, load, is_cached)
        )
    chosen = _choose_near_best(compared, idle, table.digest_age_s, rng)
    server = table.rows[chosen.server].server
    source = None
    if not chosen.is_cached:
        source = sources.get(server.software_version)
    is_read = chosen.is_cached or source is not None
    return result.Placement(
        server=server,
        chosen=chosen,
        compared=tuple(compared),
        candidates=len(candidates),
        digest_age_s=table.digest_age_s,
        utilisation=table.utilisation,
        correction=table.correction,
        first_event_s=chosen.first_event_s,
        prefill_tokens=readings[0 if is_read else 2].prefill_tokens,
        fetch_from=source,
        load=_known_load(server.name, chosen, table, own),
        declared=request.declared,
        output_tokens=request.prompt.output_tokens,
    )


def _known_load(
    name: str,
    chosen: result.Figures,
    table: tables.WorkTable,
    own: Mapping[str, engines.EngineLoad],
) -> engines.EngineLoad:
    """Returns a server's load without what others may have sent meanwhile."""
    tokens = table.rows[name].backlog_s * table.speed.prefill_tokens_per_s
    load = own.get(name, engines.NO_LOAD)
    return engines.EngineLoad(
        round(chosen.running), round(tokens) + load.prefill_tokens
    )


def _find_homes(
    prefix: int,
    holders: Sequence[directory.Server],
    names: Collection[str],
    table: tables.WorkTable,
) -> list[str]:
    """Lists where a prefix goes that no server caches."""
    if not prefix or holders:
        return []
    found = dict.fromkeys(name for name in table.homes(prefix) if name in names)
    return list(found)[:_HOMES]


def _shortlist(
    request: prediction.Request,
    candidates: Sequence[directory.Server],
    names: Collection[str],
    table: tables.WorkTable,
    preferred: Sequence[str],
    rng: random.Random,
) -> list[tables.ServerWork]:
    """Lists the servers to compare.

    Most of them are drawn at random from those that are expected to get the
    fleet's next requests, so that daemons with the same view compare others.
    """
    rows = table.rows
    if len(candidates) <= _COMPARED:
        return [rows[server.name] for server in candidates]
    found = dict.fromkeys(preferred)

    def draw(source: Sequence[tables.ServerWork], count: int) -> None:
        if len(names) < len(rows):
            source = [row for row in source if row.server.name in names]
        for row in rng.sample(source, min(count, len(source))):
            found[row.server.name] = None

    draw(table.open_rows, _COMPARED_OPEN)
    if request.prompt.suffix_tokens > prediction.LARGE_TOKENS:
        draw(table.quiet_rows, len(table.quiet_rows))
    for server in rng.sample(candidates, _COMPARED_ANY):
        found[server.name] = None
    return [rows[name] for name in found]


def _list_idle(
    names: Collection[str],
    table: tables.WorkTable,
    own: Mapping[str, engines.EngineLoad],
    rng: random.Random,
) -> list[str]:
    """Lists preferred servers on which no prompt of this daemon waits."""
    if table.digest_age_s <= _TWO_CHOICES_AGE_S:
        return []
    idle = [
        name
        for name in table.preferred
        if name in names and not own.get(name, engines.NO_LOAD).prefill_tokens
    ]
    return (
        idle
        if len(idle) <= _COMPARED_IDLE
        else rng.sample(idle, _COMPARED_IDLE)
    )


def _choose_near_best(
    compared: Sequence[result.Figures],
    idle: Sequence[str],
    digest_age_s: float,
    rng: random.Random,
) -> result.Figures:
    """Chooses among nearly equal servers."""
    limit_s = min(figures.cost_s for figures in compared) + _TOLERANCE_S
    near = [figures for figures in compared if figures.cost_s <= limit_s]
    # Copies are charged, so none is made for less than the tolerance once there
    # are enough servers that cache the prefix to spread over.
    caching = [figures for figures in near if figures.is_cached]
    if len(caching) >= _COMPARED_HOLDERS:
        near = caching
    if len(near) == 1 or digest_age_s > _TWO_CHOICES_AGE_S:
        preferred = [figures for figures in near if figures.server in idle]
        return rng.choice(preferred or near)
    first, second = rng.sample(near, 2)
    return min(first, second, key=lambda figures: figures.told_running)
