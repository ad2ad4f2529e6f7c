"""Explanations of requests from log lines, and the command that prints them."""

import asyncio
import json

import pytest

from turmericcroft.ctl import main as ctl
from turmericcroft.eventlog import reading
from turmericcroft.routing import loadview
from turmericcroft_lab.hosted import backend

Behaviour = backend.Behaviour


def parsed_lines(world):
    text = [json.dumps(line) for line in world.read_log()]
    return reading.parse_lines(text)


async def test_explain_a_request_whose_server_did_not_respond(world):
    await world.start(plain=1)
    world.servers_of("plain")[0].plan = [Behaviour.MUTE]
    client = await world.client()
    response = await client.call(
        "POST", "/book/1", "r1", b"x", X_Deadline_Ms="400"
    )
    assert response.status == 504
    server = world.servers_of("plain")[0].name
    reasons = reading.explain(parsed_lines(world), "r1")
    assert f"{server} gave no complete answer: deadline" in reasons[0]
    assert "may have run" in reasons[-1]


async def test_explain_a_refusal_without_available_servers(world):
    await world.start(engines=1)
    world.servers_of("engines")[0].plan = [Behaviour.REFUSE] * 4
    client = await world.client()
    response = await client.call("POST", "/stream/fixed/1", "r1", b"x")
    assert response.status == 503
    reasons = reading.explain(parsed_lines(world), "r1")
    assert "did not execute it (503: stated)" in reasons[0]
    assert "refused 503 all_servers_tried" in reasons[-1]
    assert "1 server(s) known" in reasons[-1]
    assert "retry after" in reasons[-1]


async def test_explain_a_stream_broken_off_by_a_server_crash(world):
    await world.start(engines=1)
    server = world.servers_of("engines")[0]
    server.event_count = 500
    clients = [await world.client() for _ in range(3)]
    for number, client in enumerate(clients):
        client.send("POST", "/stream/fixed/1", f"r{number}", b"x")
    await world.until(lambda: len(server.executed) == 3)
    world.store.write(
        f"servers/{server.name}",
        server.registry_entry(state="draining", sequence=2),
    )
    await world.until(lambda: world.daemons[0].state.directory.leaving(), 2.0)
    await server.close()
    for client in clients:
        assert not (await client.receive()).complete
    reasons = reading.explain(parsed_lines(world), "r1")
    assert f"{server.name} gave no complete answer: reset" in reasons[0]
    assert "it was leaving (source: store)" in reasons[0]
    assert "lost 2 other answer(s) at that time" in reasons[0]
    assert reasons[-1].startswith("broken off")


async def test_a_crash_is_logged_with_the_prompt_parts_of_the_lost_request(
    world,
):
    await world.start(engines=1)
    server = world.servers_of("engines")[0]
    server.event_count = 500
    client = await world.client()
    client.send(
        "POST",
        "/stream/fixed/1",
        "r1",
        b"x",
        X_Model="m",
        X_Token_Usage="700,80",
        X_Prompt_Prefix="5c1e07a2:400,91bd3f06:200,e4402b7d:100",
    )
    await world.until(lambda: "r1" in server.executed)
    await server.close()
    response = await client.receive()
    # 502 if the server crashed before its first event.
    assert response.status == 502 or not response.complete
    lines = []

    def is_logged():
        lines.extend(world.read_log())
        return any(x["event"] == "ServerCrashed" for x in lines)

    await world.until(is_logged, 2.0)
    line = next(x for x in lines if x["event"] == "ServerCrashed")
    assert (line["requests"], line["server"]) == (["r1"], server.name)
    parts = [s for s in line["suspects"] if s.startswith("part")]
    assert parts == ["part 5c1e07a2", "part 91bd3f06"]
    assert line["crashes"] == 1
    assert not line["announced"]
    reasons = reading.explain(
        reading.parse_lines(json.dumps(line) for line in lines), "r1"
    )
    assert "it crashed; it lost no other answer" in reasons[0]


async def test_a_limit_that_a_server_states_is_logged_when_it_changes(world):
    await world.start(plain=1)
    (server,) = world.servers_of("plain")
    client = await world.client()
    for number, limit in enumerate(["1.5", "1.5", "4", None]):
        server.headers = {"Server-Limit": limit} if limit else {}
        await client.call("GET", "/read/1", f"r{number}")
        await asyncio.sleep(0.8)
    lines = [x for x in world.read_log() if x["event"] == "ServerLimited"]
    assert [x["limit_per_s"] for x in lines] == [1.5, 4.0, None]
    assert {x["server"] for x in lines} == {server.name}


async def test_ejection_and_readmission_of_a_server_are_logged(
    world, monkeypatch
):
    monkeypatch.setattr(loadview, "_EJECTION_BASE_S", 0.3)
    await world.start(plain=3)
    client = await world.client()
    failing = world.servers_of("plain")[0]
    others = [s for s in world.servers_of("plain") if s is not failing]
    for server in others:
        world.daemons[0].state.loads.record_report(server.name, 8, 1e9)
    failing.plan = [Behaviour.FAIL] * 2
    for number in range(2):
        response = await client.call("POST", "/book/1", f"r{number}", b"x")
        assert response.status == 500
    await world.until(
        lambda: (
            not world.daemons[0]
            .state.loads.servers[failing.name]
            .ejected_until_s
        )
    )
    lines = [x for x in world.read_log() if x.get("failures")]
    assert [(x["event"], x["server"], x["failures"]) for x in lines] == [
        ("ServerEjected", failing.name, 2),
        ("ServerLetBack", failing.name, 2),
    ]
    assert lines[0]["cause"] == "status 500"
    assert lines[0]["pause_s"] == 0.3


async def test_a_leaving_server_is_logged_with_the_number_of_its_kind_left(
    world,
):
    await world.start(engines=0)
    pair = [
        await world.add_backend("engines", spotInstances=True) for _ in range(2)
    ]
    usable = world.daemons[0].state.directory.usable
    await world.until(lambda: len(usable("engines")) == 2)
    for left, server in zip((1, 0), pair, strict=True):
        world.store.write(
            f"servers/{server.name}",
            server.registry_entry(
                state="draining", sequence=2, spotInstances=True
            ),
        )
        await world.until(lambda n=left: len(usable("engines")) == n)
    leaving = [x for x in world.read_log() if x.get("after") == "leaving"]
    assert [(x["reclaimable"], x["kind_left"]) for x in leaving] == [
        (True, 1),
        (True, 0),
    ]


async def test_the_logs_command_prints_the_explanation_and_the_lines(
    world, tmp_path, capsys
):
    await world.start(plain=1)
    world.servers_of("plain")[0].plan = [Behaviour.RESET]
    client = await world.client()
    await client.call("POST", "/book/1", "r1", b"x")
    path = tmp_path / "edge-1.log"
    lines = world.read_log()
    path.write_text("\n".join(f"12.5 edge-1 {json.dumps(x)}" for x in lines))
    ctl.Commands().logs(str(path), request="r1")
    output = capsys.readouterr().out
    assert output.startswith("* i-1 gave no complete answer: reset")
    assert "RequestFailed" in output
    ctl.Commands(json=True).logs(str(path), account="north")
    body = json.loads(capsys.readouterr().out)
    assert {line["event"] for line in body["lines"]} >= {"RequestFailed"}


def test_the_logs_command_names_an_unreadable_file(capsys):
    with pytest.raises(SystemExit):
        ctl.Commands().logs("/no/such/file")
    assert "/no/such/file" in capsys.readouterr().err


async def test_explain_a_refusal_over_quota(world):
    await world.start()
    fields = json.loads(world.daemons[0].state.declaration.raw)
    fields["version"] = 2
    fields["tenants"][0] |= {"ratePerS": 0.5, "burst": 1}
    world.store.write("op/config", fields)
    await world.until(lambda: world.daemons[0].state.declaration.version == 2)
    client = await world.client()
    statuses = [
        (await client.call("GET", "/read/1", f"r{number}")).status
        for number in range(4)
    ]
    assert statuses[-1] == 429
    (reason,) = reading.explain(parsed_lines(world), "r3")
    assert "refused 429 over_quota" in reason
    assert "0 of 0 daemons silent" in reason


async def test_explain_an_accepted_and_a_refused_api_key(world):
    await world.start()
    client = await world.client()
    await client.call("GET", "/read/1", "key")
    await client.call("GET", "/read/1", "stranger", X_Credential="unknown")
    fields = json.loads(world.daemons[0].state.declaration.raw)
    del fields["tenants"]
    world.store.write("op/config", fields | {"version": 2})
    await world.until(lambda: world.daemons[0].state.declaration.version == 2)
    await client.call("GET", "/read/1", "open", X_Credential=None)
    lines = parsed_lines(world)
    (reason,) = reading.explain(lines, "key")
    assert reason.startswith("answered 200")
    (reason,) = reading.explain(lines, "stranger")
    assert "refused 401 invalid_api_key" in reason
    reason, end = reading.explain(lines, "open")
    assert reason == "admitted without an API key: no accounts declared"
    assert end.startswith("answered 200")
