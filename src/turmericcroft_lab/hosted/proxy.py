"""Loopback proxy that spoils the connections to one address."""

import asyncio
import enum

from turmericcroft_lab.hosted import loopback

_DELAY_S = 0.2
_READ_BYTES = 65_536
_POLL_S = 0.02


class LinkFault(enum.Enum):
    """What happens on the way.

    Attributes:
        NONE: Bytes pass.
        DELAYED: Bytes pass later.
        RESET: Open connections are reset, and so are new ones.
        CUT_TO_TARGET: Bytes to the target are held until the cut ends.
        CUT_FROM_TARGET: Bytes from the target are held until the cut ends.
        SILENCED: Open connections pass nothing any more, for good; new ones
            work.
    """

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"
    CUT_TO_TARGET = "cut there"
    CUT_FROM_TARGET = "cut back"
    SILENCED = "silenced"


class Link:
    """The way to one address.

    Attributes:
        fault: What happens on it.
    """

    def __init__(self, target: str) -> None:
        self.fault = LinkFault.NONE
        host, _, port = target.rpartition(":")
        self._host, self._port = host, int(port)
        self._server: asyncio.Server | None = None
        self._address = ""
        self._ways: set[asyncio.Task[None]] = set()
        self._silenced: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        return self._address

    async def start(self) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", loopback.free_port()
        )
        port = self._server.sockets[0].getsockname()[1]
        self._address = f"127.0.0.1:{port}"

    def set_fault(self, fault: LinkFault) -> None:
        """Puts a fault in force."""
        self.fault = fault
        match fault:
            case LinkFault.RESET:
                for way in list(self._ways):
                    way.cancel()
            case LinkFault.SILENCED:
                self._silenced |= self._ways

    async def close(self) -> None:
        """Closes everything."""
        if self._server is not None:
            self._server.close()
        for way in list(self._ways):
            way.cancel()
        await asyncio.gather(*self._ways, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.RESET:
            loopback.reset(writer)
            return
        way = asyncio.current_task()
        assert way is not None
        self._ways.add(way)
        target: asyncio.StreamWriter | None = None
        try:
            back, target = await asyncio.open_connection(self._host, self._port)
            async with asyncio.TaskGroup() as group:
                there = LinkFault.CUT_TO_TARGET
                group.create_task(self._pass(way, reader, target, there))
                group.create_task(
                    self._pass(way, back, writer, LinkFault.CUT_FROM_TARGET)
                )
        except (OSError, asyncio.CancelledError, ExceptionGroup):
            # One end was reset, or the link; so is the other end.
            loopback.reset(writer)
        finally:
            self._ways.discard(way)
            self._silenced.discard(way)
            writer.close()
            if target is not None:
                target.transport.abort()

    async def _pass(
        self,
        way: asyncio.Task[None],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: LinkFault,
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            if self.fault is LinkFault.DELAYED:
                await asyncio.sleep(_DELAY_S)
            while self.fault is cut or way in self._silenced:
                await asyncio.sleep(_POLL_S)
            writer.write(data)
            await writer.drain()
        if way not in self._silenced and writer.can_write_eof():
            writer.write_eof()
