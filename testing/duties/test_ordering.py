"""Tests of the first orders of a lease holder, without a network.

Load: 70 on-demand servers run, some of them have registered, and no request has
come yet.
"""

import asyncio
import collections
import types

import pytest

from turmericcroft import errors
from turmericcroft.duties import scaling
from turmericcroft.fleet import counters
from turmericcroft.fleet import directory
from turmericcroft.gateway import calls
from turmericcroft.gateway import metrics
from turmericcroft.gateway import ordering
from turmericcroft.gateway import ports
from turmericcroft.gateway import settings
from turmericcroft.rollouts import view
from turmericcroft.routing import declaration
from turmericcroft.routing.work import statements

ZONES = {"j": 0.8, "d": 0.9, "g": 1.0, "m": 1.25}
SCALING = declaration.Scaling(1, 35, 4.0, 0.15, ZONES)
SERVICE = declaration.Service("pool", 0, None, SCALING, "/healthz")


class FakeCloud:
    def __init__(self):
        self.counts = collections.defaultdict(list)
        self.outcome = ports.CallOutcome.DONE

    async def order_servers(self, service, zone, count, reclaimable, token):
        self.counts[zone, reclaimable].append(count)
        return self.outcome


class FakeDirectory:
    def __init__(self, servers):
        self.servers = servers

    def usable(self, service):
        return tuple(self.servers)

    def leaving(self):
        return []


def make_orders(servers):
    table = types.SimpleNamespace(
        declaration=types.SimpleNamespace(services={"pool": SERVICE})
    )
    state = types.SimpleNamespace(
        declaration=types.SimpleNamespace(table=table),
        directory=FakeDirectory(servers),
        statements=statements.ServerStatements(),
        counters=counters.FleetCounters(),
        rollouts=view.RolloutView(),
        settings=types.SimpleNamespace(
            surroundings=types.SimpleNamespace(duties=[settings.Duty.SCALING])
        ),
        demand={},
        demand_totals=lambda: {"": state.demand},
        log=types.SimpleNamespace(write=lambda event: None),
        metrics=metrics.Metrics(),
    )
    return ordering.ServerOrders(state, FakeCloud())


def on_demand_servers(count):
    return [
        directory.Server(f"s{n}", "pool", "127.0.0.1", 1, zone, 8)
        for n, zone in zip(range(count), list(ZONES) * count, strict=False)
    ]


def answer_calls(monkeypatch, slowdown):
    """Answers calls with a stated slowdown; fails them if it is None."""
    called = []

    async def call_server(state, server, method, path, body):
        called.append((server.name, method, path))
        await asyncio.sleep(0)
        if slowdown is None:
            raise errors.BackendNotReachedError("no connection")
        now_s = asyncio.get_running_loop().time()
        statement = statements.ServerStatement(
            *server.incarnation, server.service, 0, 0, slowdown, 0.0
        )
        state.statements.record(statement, now_s)
        return types.SimpleNamespace(
            status=200, facts=types.SimpleNamespace(load=None)
        )

    monkeypatch.setattr(calls, "call_server", call_server)
    return called


async def plan(orders, times=1):
    for _ in range(times):
        orders._planned_at_s = float("-inf")
        orders.observe()
        await orders.update(lambda: ports.FencingToken("a", 1))
        await asyncio.sleep(0.01)


async def test_two_servers_are_asked_once_and_the_first_order_is_raised(
    monkeypatch,
):
    called = answer_calls(monkeypatch, 1.0)
    orders = make_orders([])
    await plan(orders, 3)
    assert not called
    orders.state.directory.servers = on_demand_servers(68)
    await plan(orders, 3)
    assert len(called) == 2
    assert {(method, path) for _, method, path in called} == {
        (b"GET", b"/healthz")
    }
    # 17 on-demand servers stand in each zone of 35.
    reclaimable = [orders.cloud.counts[zone, True][-1] for zone in ZONES]
    assert reclaimable == [18, 18, 18, 18]
    # The first plan, before any server is known, is as for other services.
    expected = scaling.Planner(SCALING).plan({}, 0.0)
    on_demand = sum(zone.on_demand for zone in expected.values())
    first = [orders.cloud.counts[zone, False][0] for zone in ZONES]
    assert sum(first) == on_demand


@pytest.mark.parametrize("slowdown", [None, 0.0])
async def test_a_service_that_states_no_slowdown_is_ordered_as_before(
    monkeypatch, slowdown
):
    called = answer_calls(monkeypatch, slowdown)
    orders = make_orders(on_demand_servers(68))
    await plan(orders, 3)
    assert len(called) == 2
    reclaimable = [orders.cloud.counts[zone, True][-1] for zone in ZONES]
    assert sum(reclaimable) == 47
    expected = scaling.Planner(SCALING)
    present = orders._count_servers("pool")
    for zone, target in expected.plan(present, 0.0).items():
        assert orders.cloud.counts[zone, False] == [target.on_demand]


async def test_refused_work_of_a_shared_service_adds_to_the_demand(monkeypatch):
    answer_calls(monkeypatch, 1.0)
    orders = make_orders(on_demand_servers(68))
    await plan(orders, 2)
    planner = orders._planners["pool"]
    before = planner.demand.peak_servers(asyncio.get_running_loop().time())
    orders.state.counters.add("refused/pool", 50.0)
    await plan(orders)
    now_s = asyncio.get_running_loop().time()
    assert planner.demand.peak_servers(now_s) > before


async def test_orders_that_find_none_available_wait_for_a_second(monkeypatch):
    # Calls are charged; both kinds would be ordered at each plan.
    answer_calls(monkeypatch, 1.0)
    orders = make_orders(on_demand_servers(4))
    await plan(orders, 2)
    orders.cloud.counts.clear()
    orders.cloud.outcome = ports.CallOutcome.NONE_AVAILABLE
    orders.state.directory.servers = []
    orders.state.demand["pool"] = scaling.DemandTotals(200.0, 200.0)
    await plan(orders, 5)
    counts = orders.cloud.counts
    assert any(counts[zone, False] for zone in ZONES)
    assert all(len(ordered) <= 1 for ordered in counts.values())
