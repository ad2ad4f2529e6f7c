"""Backend servers whose sockets a test controls, byte by byte.

They answer while a request is still being sent, leave the rest of it unread,
and reset or close the connection, which no stream writer does.
"""

import asyncio
import dataclasses
import json
import re
import socket
import struct

_REQUEST_ID = re.compile(rb"x-request-id: ([^\r]*)\r\n", re.IGNORECASE)
_LENGTH = re.compile(rb"content-length: (\d+)\r\n", re.IGNORECASE)
_READ_BYTES = 65_536
# A linger time of zero: closing the socket resets the connection.
_RESETTING_LINGER = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class Incoming:
    """A request whose head was read.

    Attributes:
        sock: The connection.
        request_id: Id of the request.
        head: Its head.
        unread: Bytes of the body that were not read.
    """

    sock: socket.socket
    request_id: str
    head: bytes
    unread: int

    async def read(self, count):
        """Reads and drops up to a number of bytes of the body."""
        loop = asyncio.get_running_loop()
        end = self.unread - min(count, self.unread)
        while self.unread > end:
            size = min(_READ_BYTES, self.unread - end)
            data = await loop.sock_recv(self.sock, size)
            if not data:
                raise ConnectionError("the daemon closed the connection")
            self.unread -= len(data)

    def send_now(self, data):
        """Sends all bytes before any other task of the loop runs."""
        assert self.sock.send(data) == len(data)

    def reset(self):
        """Resets the connection, so that the daemon receives a RST."""
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESETTING_LINGER
        )
        self.sock.close()

    def close(self):
        """Closes the connection; the kernel resets it if input is unread."""
        self.sock.close()


class RawServer:
    """Takes the place and the entry of an emulated server.

    Calls of the daemons, which state no request id, are answered as by a server
    that lives.

    Attributes:
        requests: Ids of the requests received.
        connections: Number of connections that carried requests.
        behaviours: What to do with the next requests, in order.
    """

    def __init__(self, replaced, behaviours):
        self.replaced = replaced
        self.requests = []
        self.connections = 0
        self.behaviours = behaviours
        self._listener = None
        self._tasks = set()

    async def start(self):
        """Takes the address of the emulated server, which is closed."""
        await self.replaced.close()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", self.replaced.port))
        self._listener.listen()
        self._listener.setblocking(False)
        self._start_task(self._accept())

    async def close(self):
        """Closes all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._listener.close()

    def _start_task(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            sock.setblocking(False)
            self._start_task(self._serve(sock))

    async def _serve(self, sock):
        carried = False
        try:
            while (incoming := await self._read_head(sock)) is not None:
                if not incoming.request_id:
                    await incoming.read(incoming.unread)
                    incoming.send_now(self._encode_report())
                    continue
                self.requests.append(incoming.request_id)
                self.connections += not carried
                carried = True
                await self.behaviours.pop(0)(incoming)
                if sock.fileno() < 0:
                    return
        except ConnectionError:
            pass
        finally:
            sock.close()

    async def _read_head(self, sock):
        """Reads a head and nothing that follows it."""
        loop = asyncio.get_running_loop()
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            data = await loop.sock_recv(sock, 1)
            if not data:
                return None
            head += data
        found = _REQUEST_ID.search(head)
        length = _LENGTH.search(head)
        return Incoming(
            sock,
            found.group(1).decode() if found else "",
            head,
            int(length.group(1)) if length else 0,
        )

    def _encode_report(self):
        body = json.dumps({"born": self.replaced.started_at_ms, "runs": []})
        return (
            f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.replaced.name}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()


async def replace(world, service, behaviours):
    """Replaces all servers of a service; returns those in their place."""
    found = []
    for server in world.servers_of(service):
        found.append(RawServer(server, behaviours))
        await found[-1].start()
    return found


def head(incoming, *lines, status="200 OK", media_type="text/plain"):
    """Encodes the head of a signed response."""
    return "\r\n".join(
        (
            f"HTTP/1.1 {status}",
            f"X-Request-Id: {incoming.request_id}",
            "X-Server-Signature: sig",
            f"Content-Type: {media_type}",
            *lines,
            "\r\n",
        )
    ).encode()
