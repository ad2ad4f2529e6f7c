"""Memory of one daemon while many streams send events that never end.

No case: see REPORT-2.md. Run it after the build line of deploy/system.toml with
the number of streams; it prints the daemon's peak memory in MB.
"""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import deployment as lib  # noqa: E402

STREAMS = int(sys.argv[1]) if len(sys.argv) > 1 else 150
# A daemon accepts 65,536 bytes between two numbered events, and keeps them.
UNNUMBERED = b"data\n\n" * 10_000
# It accepts events of up to 1,048,576 bytes.
UNFINISHED_BYTES = 1_000_000


class Engine(lib.Server):
    """Sends events without a number, and then one that never ends."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.slots = 64

    async def run(self, writer, method, target, fields, body):
        request_id = fields["x-request-id"]
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {request_id}\r\nX-Server-Signature: {self.name}.{request_id}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())

        def send(data):
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))

        send(UNNUMBERED)
        send(b"id: 1\ndata: a\n\n")
        send(UNNUMBERED)
        send(b"id: 2\ndata: ")
        for _ in range(UNFINISHED_BYTES // 20_000):
            send(b"x" * 20_000)
            await writer.drain()
            await asyncio.sleep(0.01)
        while True:
            send(b"x")
            await writer.drain()
            await asyncio.sleep(0.5)

    async def handle(self, writer, line, headers, body):
        if line.split(" ")[1].startswith("/turmericcroft/kv-list"):
            answer = {"epoch": 1, "next": 1, "held": []}
            writer.write(lib.response(200, [], json.dumps(answer).encode()))
        else:
            await super().handle(writer, line, headers, body)


async def ask(gateway, number):
    reader, writer = await asyncio.open_connection(*gateway.address)
    writer.write((
        f"POST /note/a HTTP/1.1\r\nHost: {lib.HOST_NAME}\r\nX-Request-Id: note{number:04d}\r\n"
        f"X-Deadline-Ms: 12000\r\nX-Credential: {lib.API_KEY}\r\nX-Model: {lib.MODEL}\r\n"
        f"X-Token-Usage: 1000,52\r\nX-Prompt-Prefix: aa:500,{number:04x}:500\r\n"
        "Content-Length: 2\r\n\r\n{}").encode())
    while await reader.read(65_536):
        pass
    writer.close()


def peak_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) // 1024
    return 0


async def scenario(deployment, trouble):
    deployment.add_service("pool", connectionLimit=370, inferenceEngine={
        "slots": 64, "kvCacheTokens": 580_968, "stride": 2, "handleTtlS": 5.0,
        "models": [{"name": lib.MODEL}]})
    deployment.add_route(
        "note", "pool", "streaming", timeoutMs=15_000, targetLatencyMs=800,
        sessionAffinity=True, itlTargetMs=400)
    engines = [Engine(f"i-{n}", "pool", "seoul-a", deployment.store, deployment.record)
               for n in range(6)]
    await deployment.start(engines, ["seoul-a"])
    gateway = deployment.gateways[0]
    deployment.record.write(f"before: {peak_mb(gateway.process.pid)} MB")
    asked = [asyncio.create_task(ask(gateway, n)) for n in range(STREAMS)]
    await asyncio.sleep(11.0)
    deployment.record.write(f"{STREAMS} streams: {peak_mb(gateway.process.pid)} MB")
    await asyncio.gather(*asked)
    return []


lib.play(sys.argv[2] if len(sys.argv) > 2 else FOLDER, scenario)
