"""Tests of server plans under growing demand and reclaims of whole zones."""

import pytest

from turmericcroft.duties import scaling
from turmericcroft.routing import declaration

ZONES = {"north": 1.0, "south": 0.8, "east": 1.25, "west": 0.9}


def make_planner(busy=None, maximum=3, reclaimable_price=0.15, now_s=0.0):
    planner = scaling.Planner(
        declaration.Scaling(1, maximum, 4.0, reclaimable_price, ZONES)
    )
    if busy is not None:
        planner.demand.record_total(
            "a", scaling.DemandTotals(0.001, 0.001), now_s - 20.0
        )
        total = scaling.DemandTotals()
        for step in range(80):
            total = total.plus(busy / 4, busy / 4)
            at_s = now_s - 20.0 + (step + 1) / 4
            planner.demand.record_total("a", total, at_s)
    return planner


def present(on_demand=0, reclaimable=1, without=()):
    return {
        zone: scaling.ZoneServers(
            on_demand, 0 if zone in without else reclaimable
        )
        for zone in ZONES
    }


def totals(plan):
    return (
        sum(zone.on_demand for zone in plan.values()),
        sum(zone.reclaimable for zone in plan.values()),
    )


def test_low_demand_needs_one_reclaimable_server_per_zone():
    plan = make_planner(busy=0.5).plan(present(), 0.0)
    assert totals(plan) == (0, 4)


def test_enough_servers_are_left_when_any_one_zone_is_reclaimed():
    plan = make_planner(busy=1.5).plan(present(reclaimable=2), 0.0)
    counts = [zone.reclaimable for zone in plan.values()]
    assert sum(counts) - max(counts) >= 1.5 / scaling.LATENCY_UTILISATION


def test_before_any_demand_extra_reclaimable_servers_are_planned():
    on_demand, reclaimable = totals(make_planner().plan(present(), 0.0))
    assert on_demand == 0
    assert reclaimable >= scaling.INITIAL_FOR_LATENCY


def test_missing_demand_is_not_treated_as_zero_demand():
    planner = make_planner()
    planner.demand.record_total("a", scaling.DemandTotals(), 0.0)
    assert planner.servers_to_keep_up(60.0) == scaling.INITIAL_TO_KEEP_UP


def test_on_demand_servers_replace_reclaimed_ones_in_the_cheapest_zone():
    planner = make_planner(busy=1.1)
    for zone in ("north", "east", "west"):
        planner.record_reclaim(zone, 0.0)
    plan = planner.plan(present(without=("north", "east", "west")), 1.0)
    assert plan["south"].on_demand == 2
    assert totals(plan)[0] == 2


def test_failed_orders_do_not_make_on_demand_servers_oscillate():
    planner = make_planner(busy=1.1)
    on_demand = []
    running = present(on_demand=0, without=tuple(ZONES))
    for step in range(20):
        now_s = step * 0.5
        planner.demand.record_total(
            "a", scaling.DemandTotals(30 + step, 30 + step), now_s
        )
        for zone in ZONES:
            if not planner.has_shortage(zone, now_s):
                planner.record_none_available(zone, now_s)
        on_demand.append(totals(planner.plan(running, now_s))[0])
    assert on_demand == sorted(on_demand)
    assert on_demand[0] >= 2


def test_on_demand_servers_stay_until_reclaimable_ones_run():
    planner = make_planner(busy=1.1)
    for zone in ZONES:
        planner.record_order(zone, 1, 0.0)
    waiting = {z: scaling.ZoneServers(1 if z == "south" else 0) for z in ZONES}
    waiting["west"] = scaling.ZoneServers(1)
    assert totals(planner.plan(waiting, 0.5))[0] == 2
    assert totals(planner.plan(present(on_demand=0), 0.5))[0] == 0


@pytest.mark.parametrize(("age_s", "on_demand"), [(1.0, 0), (8.0, 2)])
def test_ordered_servers_that_do_not_start_are_no_longer_expected(
    age_s, on_demand
):
    planner = make_planner(busy=1.1)
    for zone in ZONES:
        planner.record_order(zone, 1, -age_s)
    none = {zone: scaling.ZoneServers() for zone in ZONES}
    assert totals(planner.plan(none, 0.0))[0] == on_demand


@pytest.mark.parametrize("busy", [0.1, 1.0, 4.0, 40.0])
def test_no_zone_exceeds_its_maximum(busy):
    planner = make_planner(busy=busy)
    for zone in ("north", "east"):
        planner.record_reclaim(zone, 0.0)
    plan = planner.plan(present(without=("north", "east")), 0.0)
    for zone in plan.values():
        assert zone.on_demand + zone.reclaimable <= 3


def test_on_demand_servers_hold_the_minimum_without_reclaimable_ones():
    planner = make_planner(busy=0.1, reclaimable_price=0.0)
    plan = planner.plan({}, 0.0)
    assert totals(plan) == (4, 0)


def test_short_burst_adds_at_most_one_on_demand_server():
    planner = make_planner(busy=0.6)
    before = totals(planner.plan(present(), 0.0))[0]
    planner.demand.record_total("a", scaling.DemandTotals(26.0, 26.0), 0.5)
    assert totals(planner.plan(present(reclaimable=2), 1.0))[0] <= before + 1


def test_service_with_a_high_maximum_starts_with_many_servers():
    planner = make_planner(maximum=36)
    reclaimable = [z.reclaimable for z in planner.plan({}, 0.0).values()]
    assert sum(reclaimable) - max(reclaimable) >= 36


def test_after_two_reclaimed_zones_no_reclaimable_server_is_relied_on():
    planner = make_planner(busy=1.0)
    planner.record_reclaim("north", 0.0)
    left = present(reclaimable=2, without=["north"])
    assert totals(planner.plan(left, 0.1))[0] == 0
    planner.record_reclaim("east", 0.2)
    left = present(reclaimable=2, without=["north", "east"])
    on_demand = totals(planner.plan(left, 0.3))[0]
    assert on_demand >= 1.0 / scaling.KEEP_UP_UTILISATION


def test_high_load_at_the_start_is_planned_for_within_two_seconds():
    planner = make_planner(maximum=20)
    assert planner.servers_for_latency(0.0) == 20
    total = scaling.DemandTotals()
    for step in range(20):
        total = total.plus(1.2, 1.2)
        planner.demand.record_total("a", total, step / 10)
    # The demand keeps twelve servers busy from the first second on.
    assert planner.servers_for_latency(2.0) >= 12 / scaling.LATENCY_UTILISATION


def test_reclaimable_servers_are_ordered_again_after_one_second():
    planner = make_planner(busy=1.0)
    planner.record_none_available("north", 0.0)
    assert not planner.may_order("north", 0.5)
    assert planner.may_order("north", 1.0)
    assert planner.has_shortage("north", 1.0)


def test_restart_of_all_daemons_releases_no_reclaimable_server():
    # A restarted planner has no demand history. It must not release servers
    # that it would order again four seconds later.
    plan = make_planner(maximum=10).plan(present(reclaimable=9), 0.0)
    assert {zone.reclaimable for zone in plan.values()} == {9}
