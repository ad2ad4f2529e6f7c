"""Explanations agree with what daemons then do, and change nothing."""

import asyncio
import copy
import json
import random
import sys

import pytest

from testing.gateway import conftest
from turmericcroft.control import explaining
from turmericcroft.ctl import client as ctl_client
from turmericcroft.ctl import main
from turmericcroft.ctl import report
from turmericcroft.gateway import client as gateway_client
from turmericcroft.gateway import state as states
from turmericcroft.rollouts import notes
from turmericcroft.routing import poison

world = conftest.world

KEY = conftest.API_KEY
PROMPT = {
    "X-Model": "m",
    "X-Token-Usage": "5000,20",
    "X-Prompt-Prefix": "h:4000,own:1000",
}


def head(request_id="r1", **fields):
    headers = {
        "Host": "app.example",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "3000",
        "X-Credential": KEY,
    } | {name.replace("_", "-"): value for name, value in fields.items()}
    return "".join(f"{name}: {value}\r\n" for name, value in headers.items())


async def explain(world, path, method="GET", body=b"", **fields):
    daemon = world.daemons[0]
    metrics = f"http://127.0.0.1:{daemon.settings.ports.metrics}"
    request = head(**fields).encode() + b"\r\n" + body
    query = {"method": method, "path": path}
    reply = await asyncio.to_thread(ctl_client.explain, metrics, query, request)
    assert reply.status == 200
    assert KEY not in json.dumps(reply.body)
    return reply.body


def sent_to(world):
    sent = [e for e in world.read_log() if e["event"] == "RequestSent"]
    return sent[-1]["server"]


async def share_vms(world, service):
    """Has a service's servers state a slowdown in a first answer."""
    for server in world.servers_of(service):
        server.headers = {"X-Server-Load": "1,0,8,100"}
    client = await world.client()
    path = {"plain": "/read/0", "engines": "/stream/fixed/0"}[service]
    fields = {n.replace("-", "_"): v for n, v in PROMPT.items()}
    await client.call("POST", path, "r0", b"x", **fields)
    state = world.daemons[0].state
    await world.until(lambda: state.statements.is_shared(service))


@pytest.mark.parametrize("is_shared", [False, True])
@pytest.mark.parametrize(
    ("service", "path"), [("plain", "/read/1"), ("engines", "/stream/fixed/1")]
)
async def test_names_the_server_that_the_next_request_gets(
    world, service, path, is_shared
):
    # Guards against an explanation that decides by other rules or draws.
    await world.start(plain=4, engines=4)
    if is_shared:
        await share_vms(world, service)
    client = await world.client()
    fields = {n.replace("-", "_"): v for n, v in PROMPT.items()}
    for number in range(5):
        found = await explain(world, path, "POST", b"x", **fields)
        assert found["service"] == service
        selection = found["selection"]
        assert (selection["placement"] is not None) == is_shared
        assert selection["candidates"] == 4
        await client.call("POST", path, f"r{number}", b"x", **fields)
        assert sent_to(world) == selection["server"]["name"]


async def test_states_whether_a_refusal_is_to_be_confirmed(world):
    # Guards against an explanation that asks the store, or that takes a refusal
    # by an old declaration for what a request would get.
    await world.start()
    # Polls would confirm the declaration.
    for task in world.daemons[0]._tasks:
        task.cancel()
    recency = world.daemons[0].state.declaration.recency
    recency.confirm(asyncio.get_running_loop().time() + 5.0)
    found = await explain(world, "/nowhere/1")
    assert found["refusal"]["code"] == "no_route"
    assert "is_confirmed" not in found
    recency.confirmed_at_s -= 60.0
    reads = world.store.calls.get("kv-key", 0)
    found = await explain(world, "/nowhere/1")
    assert found["refusal"]["code"] == "no_route"
    assert found["is_confirmed"] is False
    assert world.store.calls.get("kv-key", 0) == reads


async def test_states_the_reason_of_a_refusal(world):
    # Guards against a reason that the real refusal doesn't have.
    await world.start()
    tenant = {"name": "north", "apiKeys": [KEY], "priority": 1}
    quota = {"ratePerS": 0.01, "burst": 2}
    world.store.write(
        "op/config",
        conftest.declaration(2, tenants=[tenant | quota]),
    )
    state = world.daemons[0].state
    await world.until(lambda: state.declaration.version == 2)
    client = await world.client()
    for number in range(20):
        response = await client.call("GET", "/read/1", f"q{number}")
        if response.status == 429:
            break
    cases = [
        ("/read/1", {}, 429, "over_quota"),
        ("/read/1", {"X_Credential": "not-known"}, 401, "invalid_api_key"),
        ("/none", {}, 404, "no_route"),
    ]
    for path, fields, status, code in cases:
        found = await explain(world, path, **fields)
        real = await client.call("GET", path, "r1", **fields)
        refusal = found["refusal"]
        assert (refusal["status"], refusal["code"]) == (status, code)
        assert real.status == status
        assert json.loads(real.body)["error"]["code"] == code
        if refusal["retry_after_s"] is not None:
            told_s = float(real.headers["retry-after"])
            # The bucket refills between the two.
            assert refusal["retry_after_s"] == pytest.approx(told_s, abs=0.5)
        assert "not-known" not in json.dumps(found)


async def test_states_that_no_server_is_left(world):
    # Guards against refusals of the dispatch that are taken for admissions.
    await world.start(plain=0)
    found = await explain(world, "/read/1")
    client = await world.client()
    real = await client.call("GET", "/read/1", "r1")
    assert found["refusal"]["code"] == "no_server"
    assert json.loads(real.body)["error"]["code"] == "no_server"


async def test_states_a_quarantine_and_leaves_its_trial_to_requests(world):
    # Guards against explanations that take the trial of a request.
    await world.start()
    state = world.daemons[0].state
    target = b"/read/1"
    fingerprint = poison.request_hash(target, b"north", b"")
    suspects = poison.request_traits(fingerprint, ())
    now_s = asyncio.get_running_loop().time()
    for number, age_s in ((0, 300.0), (1, 300.0), (2, 300.0)):
        note = poison.CrashNote("i-9", 1, suspects, (), number, age_s)
        state.crash_ledger.merge(note, now_s)
    assert state.crash_ledger.causes
    client = await world.client()
    # The first request is the trial; the second comes before the next trial.
    for is_trial in (True, False):
        for _ in range(2):
            found = await explain(world, "/read/1")
            assert ("selection" in found) == is_trial
        if is_trial:
            assert state.crashes.try_start_trial(
                state.crash_ledger.causes[0], now_s
            )
    real = await client.call("GET", "/read/1", "r1")
    assert found["refusal"]["code"] == "quarantined"
    assert json.loads(real.body)["error"]["code"] == "quarantined"


async def test_states_a_refusal_for_want_of_capacity(world):
    # Guards against an explanation that leaves out admission control.
    await world.start(plain=1)
    [server] = world.servers_of("plain")
    server.headers = {"X-Server-Load": "8,400,8,250"}
    client = await world.client()
    await client.call("GET", "/read/1", "r1")
    # Placement reads the statement when it renews its estimates.
    await asyncio.sleep(0.1)
    fields = {"X_Deadline_Ms": "1000"}
    found = await explain(world, "/read/1", **fields)
    real = await client.call("GET", "/read/1", "r9", **fields)
    assert found["refusal"]["code"] == "too_late"
    assert "slots taken" in found["refusal"]["detail"]
    assert json.loads(real.body)["error"]["code"] == "too_late"
    told_s = float(real.headers["retry-after"])
    assert found["refusal"]["retry_after_s"] == pytest.approx(told_s, abs=0.1)


def begin_trial(state, share):
    """Has a new version of the plain service get a share of the requests."""
    note = notes.RolloutNote("plain", "v2", 60.0, 1, 5, "trial", share)
    state.rollouts.record(note, asyncio.get_running_loop().time())


async def test_names_the_version_that_the_next_request_gets(world):
    # Guards against explanations that take or don't see a rollout's credit.
    await world.start(plain=1)
    new = await world.add_backend("plain", version="v2")
    state = world.daemons[0].state
    await world.until(lambda: len(state.directory.usable("plain")) == 2)
    begin_trial(state, 0.4)
    client = await world.client()
    servers = []
    for number in range(10):
        found = await explain(world, "/read/1")
        await explain(world, "/read/1")
        await client.call("GET", "/read/1", f"r{number}")
        servers.append(sent_to(world))
        assert servers[-1] == found["selection"]["server"]["name"]
    assert servers.count(new.name) == 4


async def test_changes_no_state(world):
    # Guards against an explanation that uses up what real requests need.
    await world.start(plain=4)
    await world.add_backend("plain", version="v2")
    tenant = {"name": "north", "apiKeys": [KEY], "priority": 1}
    quota = {"ratePerS": 0.0001, "burst": 50}
    world.store.write(
        "op/config",
        conftest.declaration(2, tenants=[tenant | quota]),
    )
    daemon = world.daemons[0]
    state = daemon.state
    await world.until(lambda: state.declaration.version == 2)
    await share_vms(world, "plain")
    await world.until(lambda: len(state.directory.usable("plain")) == 5)
    begin_trial(state, 0.3)
    client = await world.client()
    await client.call("GET", "/read/1", "r1")
    gate, bucket = daemon.rollouts.choice._gate, state.quotas["north"]
    assert gate._credits

    def observe():
        services = state.scheduler._services
        return copy.deepcopy(
            (
                bucket.level,
                bucket.offered,
                bucket.admitted,
                bucket._random.getstate(),
                state.counters.own,
                gate._credits,
                gate._random.getstate(),
                state.scheduler._random.getstate(),
                {n: s.refused._due for n, s in services.items()},
                {n: s.situation for n, s in services.items()},
                state.placer._rng.getstate(),
                state.placer._mean_plain_s,
                state.reserved,
                state.crash_ledger._tried_at_s,
                state.loads.servers,
            )
        )

    def read_metrics():
        metrics, _ = state.metrics.render(["text/plain"])
        kinds = (b"_requests_total", b"_sends_total", b"_admission_probability")
        names = tuple(b"turmericcroft" + kind for kind in kinds)
        return [x for x in metrics.splitlines() if x.startswith(names)]

    world.read_log()
    state.metrics.admission_probability.set({"service": "plain"}, 0.25)
    before, metrics = observe(), read_metrics()
    assert any(b"_admission_probability" in line for line in metrics)
    for number in range(100):
        found = await explain(world, "/read/1", request_id=f"e{number}")
        assert "selection" in found
    assert observe() == before
    request = gateway_client.Request(
        b"GET", b"/explain?path=/read/1", "/explain", "", (), b"", 0.0, True
    )
    # Without a declaration, the time to return is drawn.
    state.declaration = states.ActiveDeclaration()
    drawn = random.getstate()
    explaining.respond(state, daemon.rollouts.choice, request)
    assert random.getstate() == drawn
    assert read_metrics() == metrics
    lines = [e for e in world.read_log() if e["event"].startswith("Request")]
    assert not lines
    assert not state.open_requests


async def test_command_prints_the_server_and_no_key(
    world, tmp_path, monkeypatch, capsys
):
    # Guards against a command whose output shows the key that it was given.
    await world.start(plain=1)
    daemon = world.daemons[0]
    metrics = f"http://127.0.0.1:{daemon.settings.ports.metrics}"
    headers = tmp_path / "headers"
    headers.write_text(head().replace("\r\n", "\n"))
    [server] = world.servers_of("plain")
    for options in ([], ["--json"]):
        arguments = [
            "turmericctl",
            "explain",
            "/read/1",
            f"--metrics={metrics}",
            f"--headers={headers}",
            *options,
        ]
        monkeypatch.setattr(sys, "argv", arguments)
        await asyncio.to_thread(main.main)
        output = capsys.readouterr()
        assert server.name in output.out
        assert KEY not in output.out + output.err
        if options:
            name = json.loads(output.out)["selection"]["server"]["name"]
            assert name == server.name


# A wrong key, an account that was taken away and an open gateway differ.
@pytest.mark.parametrize(
    ("tenants", "expected"),
    [
        (None, (False, 0, "no accounts declared")),
        ([], (True, 0, None)),
        ([{"name": "north", "apiKeys": [KEY]}, 5], (True, 1, "")),
    ],
    ids=["no list", "empty list", "an odd account"],
)
async def test_states_whether_api_keys_are_asked_for(world, tenants, expected):
    await world.start(plain=1)
    fields = conftest.declaration(2, tenants=tenants)
    if tenants is None:
        del fields["tenants"]
    world.store.write("op/config", fields)
    state = world.daemons[0].state
    await world.until(lambda: state.declaration.version == 2)
    found = await explain(world, "/read/1")
    assert (
        found["requires_api_keys"],
        found["accounts"],
        found.get("keyless"),
    ) == expected
    lines = report.format_explanation(found)
    is_open = "no API key is asked for, none of this request" in lines[1]
    assert is_open is (tenants is None)
    faults = [line for line in lines if line.startswith("fault: ")]
    assert len(faults) == (tenants is not None and 5 in tenants)


# Guards against an explanation that asks the store, or that names a server for
# a stream whose software version is not known.
@pytest.mark.parametrize(
    ("version", "decision"), [("v1", "Confirm"), ("v2", "Unknown")]
)
async def test_states_what_is_known_of_a_stream_that_is_taken_up(
    world, version, decision
):
    await world.start(first_start=True)
    await conftest.wait_for_sole_version(world)
    if version != "v1":
        server = await world.add_backend("engines", version=version)
        records = world.daemons[0].state.directory.records
        await world.until(lambda: server.name in records)
    calls = world.daemons[0].store.calls
    fields = {"Last_Event_Id": "2", "Resumes": "r0"}
    explanation = await explain(world, "/stream/again/1", "POST", **fields)
    assert explanation["stream"]["decision"] == decision
    assert "selection" not in explanation
    assert world.daemons[0].store.calls - calls <= 2
    found = explanation.get("refusal")
    assert (found is not None) == (decision == "Unknown")
