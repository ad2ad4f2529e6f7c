"""Fetches declaration, servers and members from other daemons.

A daemon does so when it has missed updates: because the store is unavailable
to it, or because it does not poll the store, as most daemons of a large fleet.
"""

import asyncio
import zlib
from collections.abc import Awaitable
from collections.abc import Callable

import logbook

from turmericcroft import errors
from turmericcroft.fleet import positions
from turmericcroft.gateway import messages
from turmericcroft.gateway import store_view as store_views
from turmericcroft.stream_lookup import missed_streams
from turmericcroft.stream_lookup import telling

_LOG = logbook.Logger("fetching")

# Size of a decompressed declaration above which it is rejected.
_MAX_DECLARATION_BYTES = 33_554_432

MeshCall = Callable[[messages.Member, object], Awaitable[object]]
MemberCallback = Callable[[messages.Member], None]


class Fetcher:
    """Calls other daemons and applies their replies.

    Attributes:
        store_view: Local view of the store.
        on_member: Called with each daemon that a reply lists.
        request: Calls a daemon and returns its reply; raises errors.MeshError.
        missed_streams: Fetches streams that were told in missed messages.
    """

    def __init__(
        self,
        store_view: store_views.StoreView,
        on_member: MemberCallback,
        request: MeshCall,
    ) -> None:
        self.store_view = store_view
        self.on_member = on_member
        self.request = request
        self.missed_streams = missed_streams.MissedStreams(self.fetch_streams)

    async def fetch_declaration(
        self, member: messages.Member, version: int = 0
    ) -> bool:
        """Fetches a declaration; returns False without a reply.

        Args:
            member: Daemon to call.
            version: Version that it has in force; 0 if that is not known.
        """
        reply = await self.call(
            member, messages.FetchDeclaration(accepts_deflate=True)
        )
        match reply:
            case messages.DeclarationReply(raw, revision, deflated):
                if deflated:
                    raw = _inflate(deflated, member.name)
                if raw:
                    self.store_view.apply_declaration(
                        raw, revision, f"peer {member.name}"
                    )
                active = self.store_view.state.declaration
                if raw == active.rejected:
                    active.rejected_version = version
                    active.rejected_at_s = asyncio.get_running_loop().time()
        return reply is not None

    async def fetch_servers(
        self, member: messages.Member, since: positions.StorePosition
    ) -> None:
        """Fetches the servers' entries that changed since a position.

        Args:
            member: Daemon to call.
            since: Position that the local view has reached; START fetches
                all entries.
        """
        message = messages.FetchServers(since.revision, since.era)
        match await self.call(member, message):
            case messages.ServersReply() as reply if _is_reachable(reply):
                self.store_view.apply_reply(reply, f"peer {member.name}")
            case messages.ServersReply():
                _LOG.warning(
                    "a daemon states positions that the store can't be at",
                    member=member.name,
                )

    async def fetch_streams(
        self, member: messages.Member, confirms: bool
    ) -> messages.HeadsReply | None:
        """Fetches what a daemon knows of streams and software versions.

        It is applied to this daemon's state.

        Args:
            member: Daemon to call.
            confirms: Whether it is to confirm its view by the store first.

        Returns:
            The reply; None without one.
        """
        message = messages.FetchHeads(streams_only=True, confirms=confirms)
        match await self.call(member, message):
            case messages.HeadsReply(_, notes, versions) as reply:
                now_s = asyncio.get_running_loop().time()
                telling.merge_notes(
                    self.store_view.state, notes, versions, now_s
                )
                return reply
        return None

    async def fetch_members(self, member: messages.Member) -> None:
        """Fetches the other daemons that a daemon lists."""
        match await self.call(member, messages.FetchMembers()):
            case messages.MembersReply(found):
                for listed in found:
                    self.on_member(listed)

    async def call(self, member: messages.Member, message: object) -> object:
        """Calls a daemon; logs a failed call and returns None."""
        try:
            return await self.request(member, message)
        except errors.MeshError as error:
            _LOG.warning(
                "call to another daemon failed",
                member=member.name,
                asked=type(message).__name__,
                error=str(error),
            )
            return None


def _is_reachable(reply: messages.ServersReply) -> bool:
    """Returns whether the store can be at all positions of a reply."""
    revisions = [
        reply.revision,
        *(entry.revision for entry in reply.entries),
        *(revision for _, revision in reply.removed),
    ]
    return all(
        positions.StorePosition(reply.era, revision).is_reachable()
        for revision in revisions
    )


def _inflate(deflated: bytes, sender: str) -> bytes:
    """Decompresses a declaration; logs a damaged one and returns b""."""
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(deflated, _MAX_DECLARATION_BYTES)
    except zlib.error as error:
        _LOG.warning(
            "cannot decompress declaration", member=sender, error=str(error)
        )
        return b""
    if not decompressor.eof:
        _LOG.warning("declaration is incomplete or too large", member=sender)
        return b""
    return raw
