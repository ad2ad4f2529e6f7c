"""Recalls, after a start, which prompt heads the engines hold.

Load pattern: all daemons restart at once while the engines live on. Without
this every head would be read anew, most at other servers than before.
"""

import asyncio

import xxhash

from turmericcroft import errors
from turmericcroft.eventlog import events
from turmericcroft.fleet import directory
from turmericcroft.gateway import members
from turmericcroft.gateway import messages
from turmericcroft.gateway import moving
from turmericcroft.gateway import state as states
from turmericcroft.routing import engines

_POLL_S = 0.05
# Digests of the daemons that are alive arrive within this time.
_SETTLE_S = 0.25
# A daemon that has run for so long knows most heads in use.
_EXPERIENCED_MS = 5_000
# The engines themselves are asked when so many daemons did not answer.
_MOST_ASKED = 3


async def recall_heads(state: states.State, view: members.Members) -> None:
    """Asks a daemon that ran before, or else the engines themselves."""
    while not _engines(state):
        await asyncio.sleep(_POLL_S)
    await asyncio.sleep(_SETTLE_S)
    asked = 0
    for member in view.alive():
        age_ms = view.own.incarnation - member.incarnation
        if age_ms < _EXPERIENCED_MS or asked >= _MOST_ASKED:
            continue
        asked += 1
        if await _ask_daemon(state, view, member):
            return
    if state.settings.first_start:
        return
    names = [view.own.name, *(member.name for member in view.alive())]
    own = [s for s in _engines(state) if _owner(s, names) == view.own.name]
    await asyncio.gather(*(_ask_engine(state, server) for server in own))


def _engines(state: states.State) -> list[directory.Server]:
    table = state.declaration.table
    if table is None:
        return []
    return [
        server
        for service in table.declaration.services.values()
        if service.engine is not None
        for server in state.directory.usable(service.name)
    ]


def _owner(server: directory.Server, names: list[str]) -> str:
    """The daemon that asks an engine for all; asking delays its work."""
    return min(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(
            f"{server.name}\0{name}".encode()
        ),
    )


async def _ask_daemon(
    state: states.State, view: members.Members, member: messages.Member
) -> bool:
    try:
        reply = await view.ask(member, messages.FetchHeads())
    except errors.MeshError as error:
        _log(state, member.name, 0, str(error))
        return False
    if not isinstance(reply, messages.HeadsReply):
        return False
    now_s = asyncio.get_running_loop().time()
    for note in reply.heads:
        state.cached_prefixes.load(
            (note.server, note.started_at_ms), [(note.head, note.tokens)], now_s
        )
    _log(state, member.name, len(reply.heads), "told by a daemon")
    return True


async def _ask_engine(state: states.State, server: directory.Server) -> None:
    method, path = state.dialect.list_cache()
    try:
        whole = await moving.call(state, server, method, path, b"")
    except (errors.BackendError, TimeoutError) as error:
        _log(state, server.name, 0, repr(error))
        return
    now_s = asyncio.get_running_loop().time()
    heads = [
        (engines.head_key(part.model, part.content_id), part.tokens)
        for part in state.dialect.read_cache(whole.body)
    ]
    state.cached_prefixes.load(server.incarnation, heads, now_s)
    for head, tokens in heads:
        note = messages.HeadNote(*server.incarnation, head, tokens)
        state.sent_prefixes.append((now_s, note))
    _log(state, server.name, len(heads), str(whole.status))


def _log(state: states.State, source: str, heads: int, outcome: str) -> None:
    state.log.write(events.HeadsRecalled(source, heads, outcome))
