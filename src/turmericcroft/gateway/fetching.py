"""Fetches from another daemon what it knows and this one does not."""

from collections.abc import Awaitable
from collections.abc import Callable

import logbook

from turmericcroft import errors
from turmericcroft.gateway import beliefs as belief_keeping
from turmericcroft.gateway import messages

_LOG = logbook.Logger("fetching")

Ask = Callable[[messages.Member, object], Awaitable[object]]
Learn = Callable[[messages.Member], None]


class Fetcher:
    """Asks other daemons, and takes in what they answer.

    Attributes:
        beliefs: What this daemon knows from the store.
        learn: Takes in a daemon.
        ask: Makes a call to a daemon; raises errors.MeshError.
    """

    def __init__(
        self, beliefs: belief_keeping.Beliefs, learn: Learn, ask: Ask
    ) -> None:
        self.beliefs = beliefs
        self.learn = learn
        self.ask = ask

    async def declaration(self, member: messages.Member) -> bool:
        """Fetches the declaration; False if there was no answer."""
        reply = await self.call(member, messages.FetchDeclaration())
        match reply:
            case messages.DeclarationReply(raw, revision) if raw:
                self.beliefs.declare(raw, revision, f"peer {member.name}")
        return reply is not None

    async def servers(self, member: messages.Member, since: int) -> None:
        """Fetches the servers' entries that changed since a revision.

        Args:
            member: Whom to ask.
            since: Store revision that is known; 0 fetches all entries.
        """
        match await self.call(member, messages.FetchServers(since)):
            case messages.ServersReply() as reply:
                self.beliefs.take_reply(reply, f"peer {member.name}")

    async def members(self, member: messages.Member) -> None:
        """Fetches the daemons that a daemon knows."""
        match await self.call(member, messages.FetchMembers()):
            case messages.MembersReply(found):
                for one in found:
                    self.learn(one)

    async def call(self, member: messages.Member, message: object) -> object:
        """Makes a call; None, and a log line, if there was no answer."""
        try:
            return await self.ask(member, message)
        except errors.MeshError as error:
            _LOG.warning(
                "not answered",
                member=member.name,
                asked=type(message).__name__,
                error=str(error),
            )
            return None
