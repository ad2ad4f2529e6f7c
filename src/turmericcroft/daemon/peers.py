"""Connections to all peers, by member."""

import asyncio
import contextlib

from turmericcroft import errors
from turmericcroft import settings
from turmericcroft.membership import view
from turmericcroft.mesh import link
from turmericcroft.mesh import message as messages

_TELL_TIMEOUT_S = 1.0


class Peers:
    """Opens one connection to each peer when it is first needed."""

    def __init__(self, config: settings.Settings, members: view.View) -> None:
        self.members = members
        self._secret = config.mesh.secret
        self._links: dict[tuple[str, int], link.PeerConnection] = {}

    def link_to(self, member: view.Member) -> link.PeerConnection:
        """Returns the connection to a member."""
        return self.link_to_address(member.host, member.port)

    def link_to_address(self, host: str, port: int) -> link.PeerConnection:
        """Returns the connection to an address."""
        peer = self._links.get((host, port))
        if peer is None:
            peer = link.PeerConnection(host, port, self._secret, messages.CODEC)
            self._links[host, port] = peer
        return peer

    async def call(
        self, member: view.Member, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Calls one member.

        Raises:
            errors.MeshError: No reply came in time.
        """
        reply: messages.Message = await self.link_to(member).call(
            message, timeout_s
        )
        return reply

    async def tell_all(self, message: messages.Message) -> int:
        """Tells all members that are alive and waits for their word.

        Returns:
            How many acknowledged it in time.
        """
        told = await asyncio.gather(
            *(self._tell(member, message) for member in self.members.alive())
        )
        return sum(told)

    async def close(self) -> None:
        """Closes all connections."""
        for peer in self._links.values():
            with contextlib.suppress(errors.MeshError, OSError):
                await peer.close()

    async def _tell(
        self, member: view.Member, message: messages.Message
    ) -> bool:
        try:
            await self.call(member, message, _TELL_TIMEOUT_S)
        except errors.MeshError:
            return False
        return True
