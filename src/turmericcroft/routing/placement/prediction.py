"""Predicts what a prompt costs at an engine.

Load pattern: prompts are prefilled between the decoding steps of streams, on
VMs of which some are slowed. A request may be late itself, and it may make the
streams beside it late; both count.
"""

import dataclasses
import typing

from turmericcroft.routing import engines
from turmericcroft.routing.placement import result
from turmericcroft.routing.work import duration
from turmericcroft.routing.work import expected
from turmericcroft.routing.work import table as tables

# Time that an answer which is on time instead of late is worth. Ten late
# answers weigh as much as a first event that comes 10 s later.
_LATE_S = 1.0
# A first event is expected to be on time if it is predicted at this part of the
# target, and late at _LATE_FROM; in between, the probability rises.
_ON_TIME_UNTIL = 0.6
_LATE_FROM = 1.4
# The same for pauses, whose causes on one server are known better.
_SHORT_UNTIL = 0.8
_LONG_FROM = 1.2
# A prefix that no server caches goes to its home servers unless others are
# better by this; each server that caches it as well costs a prefill.
_AWAY_FROM_HOME_S = 0.08
# The way to another zone and back takes a few milliseconds.
_OTHER_ZONE_S = 0.003
# Most prompts have at most 17,000 tokens. Larger ones are so rare that other
# daemons don't send theirs to the same server, so it is not expected to fill.
LARGE_TOKENS = 20_000
# A request occupies its slot and its KV memory for about this time.
_RUN_S = 1.0


@dataclasses.dataclass(frozen=True)
class Request:
    """A request for a generation.

    Attributes:
        prompt: Its prompt.
        target_first_event_s: Time after which its first event is late.
        target_gap_s: Pause between events that makes a stream late; 0 if none
            is declared.
        tokens_per_event: Tokens that an event holds.
        zone: Zone of this daemon.
        kv_cache_tokens: Tokens that a server's KV cache holds; 0 if unknown.
        declared: What the client declares about it, which the expected output
            in the prompt may differ from.
    """

    prompt: engines.Prompt
    target_first_event_s: float
    target_gap_s: float
    tokens_per_event: int
    zone: str
    kv_cache_tokens: int
    declared: expected.Declared | None = None


class Reading(typing.NamedTuple):
    """How a server comes by the prompt's tokens in its KV cache."""

    prefill_tokens: int
    prefill_s: float
    pause_s: float
    fetch_s: float
    charge_s: float
    hot_s: float
    is_large: bool


def read(
    request: Request, table: tables.WorkTable, hot_s: float
) -> tuple[Reading, Reading, Reading, Reading]:
    """Returns how servers read the prompt.

    Returns:
        For a server that caches the prefix, for one that copies it, for one
        that reads it, and the same for one that is no home of it.
    """
    cached = _read_cached(request, table, hot_s)
    missing = _read_missing(request, table)
    away = missing._replace(charge_s=missing.charge_s + _AWAY_FROM_HOME_S)
    return cached, _read_copied(request, cached), missing, away


def _read_cached(
    request: Request, table: tables.WorkTable, hot_s: float
) -> Reading:
    prompt = request.prompt
    return Reading(
        prompt.suffix_tokens,
        duration.prefill_s(
            table.speed, prompt.suffix_tokens, prompt.prefix_tokens
        ),
        duration.prefill_pause_s(
            table.speed,
            prompt.suffix_tokens,
            prompt.prefix_tokens,
            request.tokens_per_event,
        ),
        0.0,
        0.0,
        hot_s,
        prompt.suffix_tokens > LARGE_TOKENS,
    )


def _read_copied(request: Request, cached: Reading) -> Reading:
    tokens = request.prompt.prefix_tokens
    return cached._replace(
        fetch_s=engines.FETCH_S + engines.FETCH_S_PER_TOKEN * tokens,
        charge_s=engines.FETCH_PENALTY_S_PER_TOKEN * tokens,
        hot_s=0.0,
    )


def _read_missing(request: Request, table: tables.WorkTable) -> Reading:
    prompt = request.prompt
    tokens = prompt.prefix_tokens + prompt.suffix_tokens
    return Reading(
        tokens,
        duration.prefill_s(table.speed, tokens, 0),
        duration.prefill_pause_s(
            table.speed, tokens, 0, request.tokens_per_event
        ),
        0.0,
        # Those who come after wait for the prefix as well.
        duration.prefill_s(table.speed, prompt.prefix_tokens, 0),
        0.0,
        tokens > LARGE_TOKENS,
    )


def predict(
    request: Request,
    reading: Reading,
    row: tables.ServerWork,
    table: tables.WorkTable,
    own: engines.EngineLoad,
    is_cached: bool,
) -> result.Figures:
    """Predicts what a request costs at one server."""
    server = row.server
    speed = table.speed
    if reading.is_large:
        running = row.running + table.replaced_running
    else:
        running = max(row.running, table.level_running)
    running += own.running
    backlog_s = max(row.backlog_s, table.level_s) + reading.hot_s
    if own.prefill_tokens:
        backlog_s += duration.prefill_s(speed, own.prefill_tokens, 0)
    step_s = speed.step_time_s(running)
    chunk_s = duration.CHUNK_TOKENS / speed.prefill_tokens_per_s
    work_s = (backlog_s + reading.prefill_s) * (1.0 + step_s / chunk_s)
    wait_s = reading.fetch_s + duration.FIRST_EVENT_EXTRA_S
    excess = running + 1.0 - server.slots
    if excess > 0.0:
        wait_s += _RUN_S * excess / server.slots
    if request.kv_cache_tokens:
        used = running * table.requests.tokens
        prompt = request.prompt
        needed = prompt.prefix_tokens + prompt.suffix_tokens
        needed += prompt.output_tokens
        excess = used + needed - request.kv_cache_tokens
        if excess > 0.0 and used > 0.0:
            wait_s += _RUN_S * excess / used
    # Two cases: the VM runs as usual, or it is slowed.
    slowed, factor = row.slowed_share, row.slowed_factor
    usual_s = (work_s + wait_s) * table.correction
    slowed_s = (work_s * factor + wait_s) * table.correction
    target_s = request.target_first_event_s
    late_share = 0.0
    if target_s > 0.0:
        late_share = (1.0 - slowed) * _late(usual_s / target_s)
        late_share += slowed * _late(slowed_s / target_s)
    paused = 0.0
    gap_s = request.target_gap_s
    if gap_s > 0.0:
        # Streams whose prompt is still being prefilled don't pause.
        streams = running - backlog_s / table.requests.prefill_s
        if streams > 0.0:
            pause_s = reading.pause_s + request.tokens_per_event * step_s
            paused = (1.0 - slowed) * _long(pause_s / gap_s)
            paused += slowed * _long(pause_s * factor / gap_s)
            paused *= streams
    first_event_s = (1.0 - slowed) * usual_s + slowed * slowed_s
    cost_s = first_event_s + _LATE_S * (late_share + paused)
    cost_s += reading.charge_s
    if server.availability_zone != request.zone:
        cost_s += _OTHER_ZONE_S
    return result.Figures(
        server.name,
        cost_s,
        first_event_s,
        late_share,
        paused,
        running,
        row.running + own.running,
        backlog_s,
        slowed,
        row.age_s,
        is_cached,
    )


def _late(ratio: float) -> float:
    """Returns the probability that a first event is late.

    Args:
        ratio: Its predicted time, relative to the target.
    """
    if ratio <= _ON_TIME_UNTIL:
        return 0.0
    return min(1.0, (ratio - _ON_TIME_UNTIL) / (_LATE_FROM - _ON_TIME_UNTIL))


def _long(ratio: float) -> float:
    """Returns the probability that a pause is too long, as _late."""
    if ratio <= _SHORT_UNTIL:
        return 0.0
    return min(1.0, (ratio - _SHORT_UNTIL) / (_LONG_FROM - _SHORT_UNTIL))
