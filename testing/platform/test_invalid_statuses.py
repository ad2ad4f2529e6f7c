"""Answers of the platform whose status HTTP does not have are failed calls."""

import pytest

from testing.daemon import test_invalid_statuses as own_interface
from turmericcroft import errors
from turmericcroft.fleet import positions
from turmericcroft.gateway import ports
from turmericcroft.platform import cloud
from turmericcroft.platform import store

TOKEN = ports.FencingToken("edge-1", 3)
INVALID = own_interface.INVALID


async def report(client):
    return await client.report_usage(1, {"north": 2}, TOKEN)


async def order(client):
    return await client.order_servers("plain", "zone-a", 2, False, TOKEN)


async def call_cloud(function, answer):
    server, url, _ = await own_interface.serve(answer)
    client = cloud.Cloud(url.removeprefix("http://"))
    try:
        return await function(client)
    finally:
        await client.close()
        server.close()


# Guards against a window of usage that is never reported, as its call counted
# as refused for good.
@pytest.mark.parametrize("function", [report, order])
@pytest.mark.parametrize("status", INVALID)
async def test_a_call_to_the_cloud_fails_and_is_not_refused(status, function):
    answer = own_interface.encode(status, b"{}")
    found = await call_cloud(function, answer)
    assert found is ports.CallOutcome.FAILED


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        ("200", ports.CallOutcome.DONE),
        ("409", ports.CallOutcome.NONE_AVAILABLE),
        ("400", ports.CallOutcome.REFUSED),
        ("403", ports.CallOutcome.REFUSED),
        ("503", ports.CallOutcome.FAILED),
    ],
)
async def test_a_call_to_the_cloud_has_the_outcome_of_its_status(
    status, outcome
):
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    answer = interim + own_interface.encode(status, b"{}")
    assert await call_cloud(report, answer) is outcome


async def get(client):
    return await client.get("a")


async def list_keys(client):
    return await client.list_prefix("a")


async def watch(client):
    return await client.changes("a", positions.StorePosition(0, 1), 0.1)


async def commit(client):
    return await client.commit((), (ports.Write("a", b"x"),))


async def grant(client):
    return await client.grant_lease(1.0)


async def keep(client):
    return await client.keep_lease(ports.Lease(5, 0))


async def end(client):
    await client.end_lease(ports.Lease(5, 0))


BODY = (
    b'{"key": "a", "value": "eA==", "revision": 5, "at": 5, "lease": 7, '
    b'"entries": [], "events": []}'
)


# Guards against a write, a lease or a lack of keys that no answer stated.
@pytest.mark.parametrize(
    "function", [get, list_keys, watch, commit, grant, keep, end]
)
@pytest.mark.parametrize("status", INVALID)
async def test_a_call_to_the_store_has_an_unknown_outcome(status, function):
    async def call(answer):
        server, url, _ = await own_interface.serve(answer)
        client = store.Store(url.removeprefix("http://"))
        try:
            return await function(client)
        finally:
            await client.close()
            server.close()

    with pytest.raises(errors.KeyValueOutcomeUnknownError):
        await call(own_interface.encode(status, BODY))
    # The counterpart: the same answer with a valid status counts.
    assert await call(own_interface.encode("200", BODY)) is not False
