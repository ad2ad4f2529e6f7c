"""Loopback proxy that injects network faults into connections to one address.

It forwards bytes both ways, and can delay or hold them or reset connections.
"""

import asyncio
import enum
import socket

from turmericcroft_lab.hosted import loopback

_DELAY_S = 0.2
_READ_BYTES = 65_536
_POLL_S = 0.02
# Connections that fill a listener's shortest queue.
_QUEUE_FILLERS = 3


class LinkFault(enum.Enum):
    """A network fault between a client and the target.

    Attributes:
        NONE: Bytes are forwarded.
        DELAYED: Bytes are forwarded after a delay.
        RESET: Open connections are reset, and so are new ones.
        CUT_TO_TARGET: Bytes to the target are held until the fault ends.
        CUT_FROM_TARGET: Bytes from the target are held until the fault ends.
        SILENCED: Connections that are open when the fault begins forward
            nothing from then on, even after it ends; new ones work.
    """

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"
    CUT_TO_TARGET = "cut there"
    CUT_FROM_TARGET = "cut back"
    SILENCED = "silenced"


class Partition(enum.Enum):
    """How a partition treats connections to the target.

    Attributes:
        HANGING: Open connections forward nothing any more; new ones hang.
        RESETTING: Open connections are reset; new ones are refused.
        REFUSING: Open connections live on; new ones are refused.
    """

    HANGING = "hanging"
    RESETTING = "resetting"
    REFUSING = "refusing"


class Link:
    """A proxy in front of one address.

    Attributes:
        fault: The fault in force.
        holds: Whether all bytes are held, beside that fault, until this ends.
    """

    def __init__(self, target: str) -> None:
        self.fault = LinkFault.NONE
        self.holds = False
        host, _, port = target.rpartition(":")
        self._host, self._port = host, int(port)
        self._server: asyncio.Server | None = None
        self._address = ""
        self._connections: set[asyncio.Task[None]] = set()
        self._silenced: set[asyncio.Task[None]] = set()
        self._starting = asyncio.Lock()
        # Sockets that make new connections hang.
        self._blockers: list[socket.socket] = []

    @property
    def address(self) -> str:
        """Host and port that the proxy listens on."""
        return self._address

    async def start(self) -> None:
        """Opens the port if it isn't open; after `refuse`, the same one."""
        async with self._starting:
            if self._server is not None and self._server.is_serving():
                return
            while self._blockers:
                self._blockers.pop().close()
            port = int(self._address.rpartition(":")[2] or loopback.free_port())
            self._server = await asyncio.start_server(
                self._serve, "127.0.0.1", port
            )
            self._address = f"127.0.0.1:{port}"

    def refuse(self) -> None:
        """Refuses connections, as the address of a crashed server does."""
        if self._server is not None:
            self._server.close()

    def partition(self, partition: Partition) -> None:
        """Cuts the path to the target; `start` heals it."""
        self.refuse()
        match partition:
            case Partition.RESETTING:
                for connection in list(self._connections):
                    connection.cancel()
            case Partition.HANGING:
                self._silenced |= self._connections
                self._blockers = _block_connections(self._address)

    def set_fault(self, fault: LinkFault) -> None:
        """Starts a fault and ends the one before; ``NONE`` only ends it."""
        self.fault = fault
        match fault:
            case LinkFault.RESET:
                for connection in list(self._connections):
                    connection.cancel()
            case LinkFault.SILENCED:
                self._silenced |= self._connections

    async def close(self) -> None:
        """Closes the port and all connections."""
        if self._server is not None:
            self._server.close()
        while self._blockers:
            self._blockers.pop().close()
        for connection in list(self._connections):
            connection.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.RESET:
            loopback.reset(writer)
            return
        connection = asyncio.current_task()
        assert connection is not None
        self._connections.add(connection)
        target: asyncio.StreamWriter | None = None
        try:
            target_reader, target = await asyncio.open_connection(
                self._host, self._port
            )
            async with asyncio.TaskGroup() as group:
                to_target = LinkFault.CUT_TO_TARGET
                group.create_task(
                    self._forward(connection, reader, target, to_target)
                )
                group.create_task(
                    self._forward(
                        connection,
                        target_reader,
                        writer,
                        LinkFault.CUT_FROM_TARGET,
                    )
                )
        except (OSError, asyncio.CancelledError, ExceptionGroup):
            # One end was reset, or the proxy's fault or close() cancelled the
            # task: reset the client's end, too.
            loopback.reset(writer)
        finally:
            self._connections.discard(connection)
            self._silenced.discard(connection)
            writer.close()
            if target is not None:
                target.transport.abort()

    async def _forward(
        self,
        connection: asyncio.Task[None],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        holding_fault: LinkFault,
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            if self.fault is LinkFault.DELAYED:
                await asyncio.sleep(_DELAY_S)
            while (
                self.holds
                or self.fault is holding_fault
                or connection in self._silenced
            ):
                await asyncio.sleep(_POLL_S)
            writer.write(data)
            await writer.drain()
        if connection not in self._silenced and writer.can_write_eof():
            writer.write_eof()


def _block_connections(address: str) -> list[socket.socket]:
    """Makes connections to a free address hang.

    A listener whose queue is full drops further requests to connect.

    Returns:
        The sockets that have to stay open for this.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(0)
    sockets = [listener]
    for _ in range(_QUEUE_FILLERS):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((host, int(port)))
        sockets.append(filler)
    return sockets
