"""Recovery, after a start, of which engines have which prompt prefixes cached.

Load pattern: all daemons restart at once while the engines keep running.
Without recovery each prefix would be prefilled again, most of them at other
engines than before.
"""

import asyncio

from turmericcroft import errors
from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
from turmericcroft.fleet import rendezvous
from turmericcroft.gateway import calls
from turmericcroft.gateway import members
from turmericcroft.gateway import messages
from turmericcroft.gateway import state as states
from turmericcroft.routing import engines

_POLL_INTERVAL_S = 0.05
# Digests of the running daemons arrive within this time.
_DIGEST_WAIT_S = 0.25
# A daemon that started this long before this one knows most prefixes in use.
_MIN_UPTIME_MS = 5_000
# The engines are asked instead after this many daemons did not answer.
_MAX_DAEMONS_ASKED = 3


async def recover_prefixes(
    state: states.State, fleet_members: members.Members
) -> None:
    """Fetches cached prefixes from an older daemon, or else from engines."""
    while not _usable_engines(state):
        await asyncio.sleep(_POLL_INTERVAL_S)
    await asyncio.sleep(_DIGEST_WAIT_S)
    asked = 0
    for member in fleet_members.alive():
        age_ms = fleet_members.own.incarnation - member.incarnation
        if age_ms < _MIN_UPTIME_MS or asked >= _MAX_DAEMONS_ASKED:
            continue
        asked += 1
        if await _fetch_from_daemon(state, fleet_members, member):
            return
    if state.settings.first_start:
        return
    names = [
        fleet_members.own.name,
        *(member.name for member in fleet_members.alive()),
    ]
    own = [
        s
        for s in _usable_engines(state)
        # Only one daemon asks each engine, because the query delays its work.
        if rendezvous.choose(s.name, names) == fleet_members.own.name
    ]
    await asyncio.gather(*(_fetch_from_engine(state, server) for server in own))


def _usable_engines(state: states.State) -> list[directory.Server]:
    table = state.declaration.table
    if table is None:
        return []
    return [
        server
        for service in table.declaration.services.values()
        if service.engine is not None
        for server in state.directory.usable(service.name)
    ]


async def _fetch_from_daemon(
    state: states.State, fleet_members: members.Members, member: messages.Member
) -> bool:
    try:
        reply = await fleet_members.call(member, messages.FetchHeads())
    except errors.MeshError as error:
        _log(state, member.name, 0, str(error))
        return False
    if not isinstance(reply, messages.HeadsReply):
        return False
    now_s = asyncio.get_running_loop().time()
    for entry in reply.heads:
        state.cached_prefixes.merge(
            (entry.server, entry.started_at_ms),
            [(entry.head, entry.tokens)],
            now_s,
        )
    state.stream_origins.merge(reply.stream_notes, now_s)
    _log(state, member.name, len(reply.heads), "told by a daemon")
    return True


async def _fetch_from_engine(
    state: states.State, server: directory.Server
) -> None:
    method, path = state.dialect.cache_list_request()
    try:
        response = await calls.call_server(state, server, method, path, b"")
    except (errors.BackendError, TimeoutError) as error:
        _log(state, server.name, 0, repr(error))
        return
    now_s = asyncio.get_running_loop().time()
    prefixes = [
        (engines.prefix_hash(part.model, part.content_id), part.tokens)
        for part in state.dialect.read_cache_list(response.body)
    ]
    state.cached_prefixes.merge(server.incarnation, prefixes, now_s)
    for prefix, tokens in prefixes:
        entry = messages.HeadNote(*server.incarnation, prefix, tokens)
        state.sent_prefixes.append((now_s, entry))
    _log(state, server.name, len(prefixes), str(response.status))


def _log(state: states.State, source: str, prefixes: int, outcome: str) -> None:
    state.log.write(events.HeadsRecalled(source, prefixes, outcome))
