"""Connections to the other daemons."""

import asyncio
import contextlib

from turmericcroft import errors
from turmericcroft import settings
from turmericcroft.membership import view
from turmericcroft.mesh import link
from turmericcroft.mesh import message as messages
from turmericcroft.responses import buffers

_BROADCAST_TIMEOUT_S = 1.0


class Peers:
    """Keeps one connection to each peer, opened when it is first used.

    Attributes:
        members: The other daemons.
        links: The connections.
    """

    def __init__(self, config: settings.Settings, members: view.View) -> None:
        self.members = members
        self.links = link.Links(
            config.mesh.secret,
            messages.CODEC,
            buffers.Buffers(buffers.limit_bytes(0.0)),
        )

    def link_to(self, member: view.Member) -> link.PeerConnection:
        """Returns the connection to a member."""
        return self.link_to_address(member.host, member.port)

    def link_to_address(self, host: str, port: int) -> link.PeerConnection:
        """Returns the connection to an address."""
        return self.links.find(host, port)

    async def call(
        self, member: view.Member, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Sends a message to a member and returns its reply.

        Raises:
            errors.MeshError: No reply came in time.
        """
        reply: messages.Message = await self.link_to(member).call(
            message, timeout_s
        )
        return reply

    async def broadcast(self, message: messages.Message) -> int:
        """Sends a message to all live members and waits for their replies.

        Returns:
            The number of members that replied in time.
        """
        replied = await asyncio.gather(
            *(self._send(member, message) for member in self.members.alive())
        )
        return sum(replied)

    async def close(self) -> None:
        """Closes all connections."""
        for peer in self.links.all():
            with contextlib.suppress(errors.MeshError, OSError):
                await peer.close()

    async def _send(
        self, member: view.Member, message: messages.Message
    ) -> bool:
        try:
            await self.call(member, message, _BROADCAST_TIMEOUT_S)
        except errors.MeshError:
            return False
        return True
