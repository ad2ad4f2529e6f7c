"""A small deployment on loopback addresses: stand-ins and gateway processes.

Only the standard library is used. The stand-ins speak what PROTOCOL.md says;
where it is silent they behave like a sound server, client or platform.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "app.example"
API_KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "north"
MODEL = "m"

# Figures of hanbit-shared in SYSTEM.md and DEPLOY.md.
BOUNDS = {
    "seedLagS": 3, "addressReuseS": 2, "contactMs": 3000,
    "acknowledgeMs": 4000, "catchUpS": 4, "drainTimeoutMs": 2000,
    "gracePeriodS": 8, "lossSlackMs": 200, "configPropagationMs": 2000,
    "rollbackSlackMs": 250, "partitionBoundMs": 5000,
    "revocationStrict": False, "revocationMs": 5000,
    "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryAllowance": 56,
    "quotaWindowS": 8, "quotaOverage": 0.1, "quotaTolerance": 190000,
    "fencingEnforced": False, "leaseDurationMs": 3000, "thawSlackMs": 300,
    "usageWindowS": 5, "usageTolerance": 0.05, "usageDelayS": 10,
    "recoveryS": 12, "deliverySlackMs": 120, "cacheReuseS": 10,
}


class Record:
    """Lines for record.txt, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self._started:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


# Below the ports that the system gives to outgoing connections, any of which
# could take a port before a daemon opens it. Each script has a block of its own.
FIRST_PORT, PORTS, BLOCK = 12_000, 20_000, 64
_candidates = itertools.count((os.getpid() * BLOCK) % PORTS)


def free_ports(count):
    """Returns ports that are free now."""
    ports = []
    for number in itertools.islice(_candidates, PORTS):
        port = FIRST_PORT + number % PORTS
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


# --- HTTP -----------------------------------------------------------------


async def read_message(reader):
    """Reads a request or response; returns its first line, headers, body.

    Returns None at the end of the connection. The body of a response without a
    length lasts until the close; chunks are joined.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].split(b"\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers.append((name.strip().lower().decode(), value.strip().decode("latin-1")))
    fields = dict(headers)
    body = b""
    if "chunked" in fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += part[:-2]
    elif int(fields.get("content-length", 0)):
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0].decode("latin-1"), headers, body


def response(status, headers=(), body=b""):
    """Encodes a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# --- the platform's store -------------------------------------------------


class Store:
    """The store: items, leases, watches and conditional writes."""

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.revision = 10
        self.history = []
        self.address = ""
        self._changed = asyncio.Event()
        self._lease_ids = 70_000

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 24)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self._expiry = asyncio.create_task(self._expire_forever())

    def put(self, key, value, lease=0):
        """Writes an item; returns the revision."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": self.revision, "created": created, "lease": lease,
        }
        self._note(self.items[key])
        return self.revision

    def remove(self, key):
        """Removes an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event):
        self.history.append(dict(event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_forever(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [i for i, (_, at) in self.leases.items() if at < now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return True

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                status, body = await self._handle(*message)
                writer.write(response(
                    status, [("Content-Type", "application/json")],
                    json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, line, headers, body):
        from urllib.parse import parse_qs, urlsplit
        method, target, _ = line.split(" ")
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        call, _, rest = parts.path.removeprefix("/turmericcroft/").partition("/")
        raw = json.loads(body) if body else {}
        if call == "kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"at": self.revision}) if item else (404, {})
        if call == "kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"entries": [self.items[k] for k in keys[:500]],
                         "hasMore": len(keys) > 500, "at": self.revision}
        if call == "kv-watch":
            prefix, after = query.get("pathPrefix", ""), int(query["after"])
            until = time.monotonic() + int(query["waitTimeoutMs"]) / 1000
            while True:
                found = [e for e in self.history
                         if e["revision"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "at": self.revision}
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if call == "kv-txn":
            for row in raw.get("expected", ()):
                current = self.items.get(row["key"], {}).get("revision", 0)
                if current != row["revision"]:
                    return 412, {"entries": [
                        self.items[r["key"]] for r in raw["expected"] if r["key"] in self.items]}
            for row in raw.get("write", ()):
                if row.get("lease") and row["lease"] not in self.leases:
                    return 404, {}
            for row in raw.get("write", ()):
                self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for key in raw.get("remove", ()):
                self.remove(key)
            return 200, {"revision": self.revision}
        if call == "kv-lease":
            self._lease_ids += 1
            ttl = max(1000, int(raw["ttlMs"]))
            self.leases[self._lease_ids] = ttl, time.monotonic() + ttl / 1000
            return 200, {"lease": self._lease_ids, "ttlMs": ttl}
        if call == "kv-keep":
            if int(rest) not in self.leases:
                return 404, {}
            ttl = self.leases[int(rest)][0]
            self.leases[int(rest)] = ttl, time.monotonic() + ttl / 1000
            return 200, {"ttlMs": ttl}
        if call == "kv-lease-end":
            return (200, {}) if self._end_lease(int(rest)) else (404, {})
        return 400, {}


# --- the platform's API ---------------------------------------------------


class Cloud:
    """The API for duties; keeps the calls that arrived."""

    def __init__(self):
        self.calls = []
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            line, headers, body = message
            fields = dict(headers)
            self.calls.append((
                time.monotonic(), line.split(" ")[1], fields.get("x-duty-holder"),
                int(fields.get("x-fencing-token", 0)), json.loads(body)))
            writer.write(response(200))
        writer.close()


# --- backend servers ------------------------------------------------------


class Server:
    """A plain server that answers at once, and writes its own entry."""

    def __init__(self, name, service, zone, store, record):
        self.name, self.service, self.zone = name, service, zone
        self.store, self.record = store, record
        self.runs = []
        self.sequence = 1
        self.state = "ready"
        self.version = "v1"
        self.slots = 6
        self.address = ""
        self.work_s = 0.02
        self.born = int(time.time() * 1000)

    async def start(self):
        self._listener = await asyncio.start_server(self._accept, "127.0.0.1", 0, limit=1 << 24)
        self.address = "127.0.0.1:%d" % self._listener.sockets[0].getsockname()[1]
        self.write_entry()

    def write_entry(self, **changes):
        self.sequence += 1
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born,
        } | changes
        return self.store.put(f"servers/{self.name}", entry)

    async def _accept(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                await self.handle(writer, *message)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, writer, line, headers, body):
        """Answers one request."""
        method, target, _ = line.split(" ")
        fields = dict(headers)
        if target == "/healthz":
            writer.write(response(200, [("X-Instance-Id", self.name)]))
        elif target == "/turmericcroft/report":
            writer.write(response(200, [], json.dumps({"born": self.born}).encode()))
        elif fields.get("x-expect-instance", self.name) != self.name:
            writer.write(response(421, [("X-Instance-Id", self.name)]))
        else:
            await self.run(writer, method, target, fields, body)

    async def run(self, writer, method, target, fields, body):
        """Runs a client's request and answers it."""
        request_id = fields["x-request-id"]
        self.runs.append((request_id, method, target, body, fields))
        self.record.write(f"{self.name} ran {request_id}: {method} {target}, "
                          f"body of {len(body)} bytes {body[:60]!r}")
        await asyncio.sleep(self.work_s)
        writer.write(response(200, [
            ("X-Request-Id", request_id), ("X-Server-Signature", f"{self.name}.{request_id}"),
        ], f"{self.name} did {request_id}".encode()))


# --- gateway processes ----------------------------------------------------


def render(template, fields):
    """Fills in a template as DEPLOY.md says."""
    def look_up(name, scopes):
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    break
            else:
                return value
        return None

    def fill(text, scopes):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def expand(match):
            value = look_up(match[2], scopes)
            present = value is not None and value is not False
            if (match[1] == "#") != present:
                return ""
            return fill(match[3], [value, *scopes])

        text = section.sub(expand, text)

        def place(match):
            name, _, form = match[1].partition("|")
            value = look_up(name, scopes)
            if form == "json":
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.]+(?:\|json)?)\}\}", place, text)

    return fill(template, [fields])


class Gateway:
    """One daemon, started as the deploy file says."""

    def __init__(self, deployment, number, zone):
        self.deployment, self.zone = deployment, zone
        self.name = f"edge-{zone}-{number}"
        self.ports = free_ports(6)
        self.process = None
        self.starts = 0

    @property
    def address(self):
        return "127.0.0.1", self.ports[0]

    async def start(self):
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        front, ready, control, mesh, tunnels, metrics = self.ports
        host = "127.0.0.1"
        fields = {
            "nodeName": self.name, "zone": self.zone, "region": "kr-central",
            "ipAddress": host, "bootstrap": self.starts == 0,
            "internalPortRange": [mesh, tunnels],
            "listenAddresses": {
                "frontend": f"{host}:{front}", "ready": f"{host}:{ready}",
                "controlPlane": f"{host}:{control}"},
            "limits": {"linkMbps": 1000.0, "memoryMb": 300},
            "platform": {"address": self.deployment.store.address},
            "cloudApi": {"address": self.deployment.cloud.address,
                         "duties": ["usage", "scaling"]},
            "seedNodes": [], "bounds": BOUNDS,
        }
        text = render((REPOSITORY / role["template"]).read_text(), fields)
        # All daemons share one address here, so each has a metrics port.
        text = re.sub(r"(?m)^metrics = \d+$", f"metrics = {metrics}", text)
        settings = self.deployment.folder / f"{self.name}.toml"
        settings.write_text(text)
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment |= role.get("env", {})
        environment["TURMERICCROFT_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        self.starts += 1
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(role["run"]), cwd=REPOSITORY, env=environment,
            stdout=log, stderr=log)
        log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[1])
            writer.write(b"GET /turmericcroft/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b" 200 " in line

    async def wait_until_ready(self, within_s=20.0):
        until = time.monotonic() + within_s
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f"{self.name} is not ready after {within_s} s")
            await asyncio.sleep(0.1)

    def send_signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)


class CannotRun(Exception):
    """The case can't run here."""


class Deployment:
    """Store, API, servers and gateways of one case."""

    def __init__(self, case):
        self.record = Record(pathlib.Path(case) / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.store, self.cloud = Store(), Cloud()
        self.servers, self.gateways = {}, []
        self.config = {
            "version": 7, "routes": [],
            "services": [],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [API_KEY], "priority": 1}],
        }

    def add_route(self, name, service, kind, **changes):
        self.config["routes"].append({
            "name": name, "host": HOST_NAME, "pathPrefix": f"/{name}/",
            "kind": kind, "timeoutMs": 2500, "targetLatencyMs": 150,
            "priority": 1, "service": service, "maxAttempts": 1,
            "anonymous": False} | changes)

    def add_service(self, name, **changes):
        self.config["services"].append({
            "name": name, "healthPath": "/healthz", "connectionLimit": 110,
            "protocol": "h1", "tls": False} | changes)

    async def start(self, servers, zones):
        if not (REPOSITORY / "target/deps").is_dir():
            raise CannotRun("target/deps is missing; run the build line first")
        await self.store.start()
        await self.cloud.start()
        self.store.put("op/config", self.config)
        for server in servers:
            self.servers[server.name] = server
            await server.start()
        self._beats = asyncio.create_task(self._beat_forever())
        for number, zone in enumerate(zones):
            self.gateways.append(Gateway(self, number + 1, zone))
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()
        # Daemons know of each other and of all servers before traffic starts.
        await asyncio.sleep(2.0)

    async def _beat_forever(self):
        while True:
            await asyncio.sleep(1.2)
            for server in self.servers.values():
                if server.state != "gone":
                    server.write_entry()

    async def stop(self):
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.send_signal(signal.SIGCONT)
                gateway.process.kill()
                await gateway.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for path in self.folder.glob("*.log"):
                pathlib.Path(os.environ["KEEP_LOGS"], path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


def play(case, scenario):
    """Runs a scenario and exits: 0 rule held, 1 broken, 2 can't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        deployment = Deployment(case)
        try:
            faults = await asyncio.wait_for(scenario(deployment, trouble), 110.0)
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            deployment.record.write(f"the case could not run: {error!r}")
            return 2
        finally:
            await deployment.stop()
        for fault in faults:
            deployment.record.write(f"BROKEN: {fault}")
        deployment.record.write("the rule was broken" if faults else "the rule held")
        return 1 if faults else 0

    code = asyncio.run(whole())
    raise SystemExit(code)
