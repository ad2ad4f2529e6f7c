"""A new version of the configuration takes the last tenant's keys away."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib-2"))

import deployment as lib  # noqa: E402

# configPropagationMs; requests are sent this long after the acknowledgement.
PROPAGATION_S = 2.0
NEVER_HELD = "zzzz0000nobodyheldthis"


async def ask(deployment, gateway, request_id, key):
    """Sends one request; returns the status of its answer."""
    reader, writer = await asyncio.open_connection(*gateway.address)
    writer.write((
        f"POST /book/crew HTTP/1.1\r\nHost: {lib.HOST_NAME}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 2500\r\n"
        f"X-Credential: {key}\r\nContent-Length: 2\r\n\r\n{{}}").encode())
    answer = await asyncio.wait_for(lib.read_message(reader), 5.0)
    writer.close()
    status = int(answer[0].split(" ")[1])
    deployment.record.write(
        f"client sent {request_id} with key {key} to {gateway.name}, got {status}")
    return status


async def scenario(deployment, trouble):
    deployment.add_service("booking-app")
    deployment.add_route("book", "booking-app", "non_idempotent")
    if not trouble:
        deployment.config["tenants"].append(
            {"name": "south", "apiKeys": ["south-key-0001"], "priority": 1})
    await deployment.start(
        [lib.Server(f"i-{n}", "booking-app", zone, deployment.store, deployment.record)
         for n, zone in enumerate(("seoul-a", "seoul-b"))],
        ["seoul-a", "seoul-b"])
    faults = []
    for number, gateway in enumerate(deployment.gateways):
        if await ask(deployment, gateway, f"before{number}", lib.API_KEY) != 200:
            raise lib.CannotRun("the tenant is not served before its keys are taken away")
        if await ask(deployment, gateway, f"stranger{number}", NEVER_HELD) != 401:
            raise lib.CannotRun("a key that was never held is not refused at first")
    deployment.config["version"] = 9
    deployment.config["tenants"] = [
        tenant for tenant in deployment.config["tenants"] if tenant["name"] != lib.TENANT]
    deployment.store.put("op/config", deployment.config)
    deployment.record.write(
        f"the store acknowledged version 9, tenants {deployment.config['tenants']}")
    await asyncio.sleep(PROPAGATION_S + 1.0)
    for number, gateway in enumerate(deployment.gateways):
        await ask(deployment, gateway, f"dropped{number}", lib.API_KEY)
        await ask(deployment, gateway, f"never{number}", NEVER_HELD)
    for server in deployment.servers.values():
        for request_id, _, _, _, fields in server.runs:
            tenant = fields.get("x-tenant")
            if request_id.startswith("never"):
                faults.append(f"ROUTE: {server.name} ran {request_id}, whose key no "
                              f"configuration ever held (X-Tenant {tenant})")
            if request_id.startswith("dropped"):
                faults.append(f"CONFIG: {server.name} ran {request_id} with a dropped "
                              f"key (X-Tenant {tenant})")
    return faults


lib.play(CASE, scenario)
