"""The controller of rollouts under one failure each, against a real store."""

import asyncio
import dataclasses
import os

import pytest

from turmericcroft import settings as common
from turmericcroft.control import rollout_controller
from turmericcroft.duties import order_history
from turmericcroft.duties import scaling
from turmericcroft.eventlog import writer
from turmericcroft.fleet import directory
from turmericcroft.fleet import positions
from turmericcroft.gateway import following
from turmericcroft.gateway import members
from turmericcroft.gateway import metrics
from turmericcroft.gateway import ordering
from turmericcroft.gateway import ports
from turmericcroft.gateway import settings
from turmericcroft.gateway import state as states
from turmericcroft.gateway import store_view
from turmericcroft.platform import dialect
from turmericcroft.platform import records
from turmericcroft.platform import store as store_clients
from turmericcroft.rollouts import notes
from turmericcroft.routing import declaration
from turmericcroft_lab.hosted import declaring
from turmericcroft_lab.hosted import rollouts
from turmericcroft_lab.hosted import store as stores

_DECLARATION = {
    "version": 1,
    "routes": [declaring.route("read", "plain", "idempotent")],
    "services": declaring.services(),
    "limits": {},
}


class FakeDuty:
    """Holds the lease or not, as the test says."""

    def __init__(self, number):
        self.number = number

    def fencing_token(self):
        if self.number is None:
            return None
        return ports.FencingToken("edge", self.number)


class Daemon:
    """A daemon's state, its controller and its view of the store."""

    def __init__(self, address, name, token):
        _, write_end = os.pipe()
        config = settings.Settings(
            common.Identity(name, "region", "zone-a"),
            settings.Ports("127.0.0.1", "127.0.0.1:1", "127.0.0.1:2", "/", 3),
            settings.Surroundings(address),
        )
        self.log = writer.Writer(name, write_end)
        self.events = []
        self.log.write = self.events.append
        self.state = states.State(
            config, dialect.Dialect(), self.log, metrics.Metrics()
        )
        view = store_view.StoreView(self.state, records.StoreSchema())
        self.store = store_clients.Store(address)
        self.duty = FakeDuty(token)
        self.follower = following.Follower(
            self.state,
            self.store,
            view,
            members.Members(self.state, view),
        )
        self.controller = rollout_controller.RolloutController(
            self.state, self.store, self.follower, lambda: self.duty
        )

    def add_servers(self, *versions):
        for number, version in enumerate(versions):
            server = directory.Server(
                f"i-{number}-{version}",
                "plain",
                "127.0.0.1",
                1,
                "zone-a",
                8,
                software_version=version,
            )
            entry = directory.RegistryEntry(
                positions.StorePosition(1, number + 1), server
            )
            now_s = asyncio.get_running_loop().time()
            self.state.directory.put(server.name, entry, now_s)

    async def read(self):
        """Reads the store and lets the controller act on it."""
        await self.follower._list_all()
        self.controller.update()

    def note(self):
        now_s = asyncio.get_running_loop().time()
        return self.state.rollouts.decided("plain", now_s)

    def ends(self):
        return [
            event
            for event in self.events
            if type(event).__name__ == "RolloutEnded"
        ]


@pytest.fixture
async def world():
    store = stores.HostedStore()
    await store.start()
    store.write("op/config", _DECLARATION)
    daemons = []

    def add(name="edge-1", token=7, versions=("v1", "v2")):
        daemon = Daemon(store.address, name, token)
        daemon.add_servers(*versions)
        daemons.append(daemon)
        return daemon

    yield store, add
    for daemon in daemons:
        await daemon.store.close()
    await store.close()


async def until(condition, *daemons):
    async with asyncio.timeout(5.0):
        while not condition():
            for daemon in daemons:
                daemon.controller.update()
            await asyncio.sleep(0.02)


async def test_only_the_holder_writes_the_status(world):
    store, add = world
    daemon = add(token=None)
    rollouts.write_order(store, "plain", "v2", 30.0)
    await daemon.read()
    await asyncio.sleep(0.1)
    assert rollouts.read_status(store, "plain") is None
    assert daemon.note().phase == notes.Phase.WAITING.value
    daemon.duty.number = 7
    await until(lambda: rollouts.read_status(store, "plain"), daemon)
    assert rollouts.read_status(store, "plain") == ("in_progress", "v2")


# A holder whose write was answered by a reset would write and log the end
# twice, or never know that it ended.
async def test_a_lost_answer_is_settled_by_reading_back(world):
    store, add = world
    daemon = add()
    rollouts.write_order(store, "plain", "v2", 0.0)
    await daemon.follower._list_all()
    store.fault = stores.Fault.LOSING
    daemon.controller.update()
    await until(lambda: rollouts.read_status(store, "plain"), daemon)
    revision = store.items["status/rollout/plain"].revision
    store.fault = stores.Fault.NONE
    await until(daemon.ends, daemon)
    await asyncio.sleep(0.3)
    daemon.controller.update()
    assert rollouts.read_status(store, "plain") == ("rolled_back", "v2")
    assert store.items["status/rollout/plain"].revision == revision
    assert len(daemon.ends()) == 1


async def test_a_thawed_holder_keeps_to_a_later_verdict(world):
    # It was paused between its decision and its write.
    store, add = world
    paused, next_holder = add(), add("edge-2", token=None)
    rollouts.write_order(store, "plain", "v2", 30.0)
    await paused.read()
    await until(lambda: rollouts.read_status(store, "plain"), paused)
    await paused.follower._list_all()
    await next_holder.read()
    next_holder.duty.number = 9
    note = dataclasses.replace(
        next_holder.note(), phase="rolled_back", token=9, step=1
    )
    now_s = asyncio.get_running_loop().time()
    next_holder.state.rollouts.record(note, now_s)
    await until(next_holder.ends, next_holder)
    # The paused holder believes that it completed the rollout.
    order = paused.controller._rollouts["plain"]
    await paused.controller.writer.write(
        order, notes.Phase.COMPLETED, "late", 5.0
    )
    assert rollouts.read_status(store, "plain") == ("rolled_back", "v2")
    assert paused.note().phase == "rolled_back"
    assert paused.ends() == []


async def test_an_end_that_the_store_states_is_taken_over(world):
    # All daemons restarted after the end was written.
    store, add = world
    rollouts.write_order(store, "plain", "v2", 30.0)
    status = {"state": "rolled_back", "target": "v2"}
    revision = store.write("status/rollout/plain", status)
    daemon = add()
    await daemon.read()
    assert daemon.note().phase == "rolled_back"
    await asyncio.sleep(0.2)
    assert store.items["status/rollout/plain"].revision == revision


@pytest.mark.parametrize("is_written_again", [False, True])
async def test_an_order_keeps_its_state_when_the_store_is_restored(
    world, is_written_again
):
    # A copy that lacks or holds the order would begin the rollout anew.
    store, add = world
    daemon = add()
    before = store.copy()
    rollouts.write_order(store, "plain", "v2", 30.0)
    copy = before if is_written_again else store.copy()
    await daemon.read()
    await until(lambda: rollouts.read_status(store, "plain"), daemon)
    now_s = asyncio.get_running_loop().time()
    note = dataclasses.replace(
        daemon.note(), phase="rolled_back", token=8, age_s=6.0
    )
    daemon.state.rollouts.record(note, now_s)
    daemon.state.counters.add("rollout/1.11/x", 3.0)
    store.restore(copy)
    with pytest.raises(Exception, match="era"):
        await daemon.follower._fetch_changes()
    await daemon.read()
    if is_written_again:
        store.write("op/config", _DECLARATION)
        rollouts.write_order(store, "plain", "v2", 30.0)
        await daemon.read()
    assert (daemon.note().era, daemon.note().phase) == (2, "rolled_back")
    await until(daemon.ends, daemon)
    assert rollouts.read_status(store, "plain") == ("rolled_back", "v2")


async def test_an_earlier_order_that_a_copy_brings_back_is_ignored(world):
    store, add = world
    daemon = add(versions=("v1", "v2", "v3"))
    rollouts.write_order(store, "plain", "v2", 30.0)
    await daemon.read()
    copy = store.copy()
    rollouts.write_order(store, "plain", "v3", 30.0)
    await daemon.read()
    store.restore(copy)
    with pytest.raises(Exception, match="era"):
        await daemon.follower._fetch_changes()
    await daemon.read()
    assert daemon.note().target == "v3"


async def test_an_outage_of_the_store_does_not_delay_a_roll_back(world):
    store, add = world
    daemon = add()
    rollouts.write_order(store, "plain", "v2", 1.2)
    await daemon.read()
    await until(lambda: rollouts.read_status(store, "plain"), daemon)
    store.fault = stores.Fault.BUSY
    await until(lambda: daemon.note().phase == "rolled_back", daemon)
    assert daemon.ends() == []
    store.fault = stores.Fault.NONE
    await until(daemon.ends, daemon)
    assert rollouts.read_status(store, "plain") == ("rolled_back", "v2")


async def test_the_deadline_stays_when_all_daemons_restart(world):
    store, add = world
    daemon = add()
    rollouts.write_order(store, "plain", "v2", 30.0)
    await daemon.read()
    await asyncio.sleep(0.5)
    await until(lambda: rollouts.read_status(store, "plain"), daemon)
    await asyncio.sleep(0.5)
    later = add("edge-2")
    await later.read()
    assert later.note().age_s == pytest.approx(daemon.note().age_s, abs=0.2)


async def test_an_order_counts_from_when_the_store_was_read_before(world):
    # Rollouts ended up to a poll's interval after their deadline.
    store, add = world
    daemon = add()
    await daemon.read()
    rollouts.write_order(store, "plain", "v2", 30.0)
    await asyncio.sleep(0.6)
    await daemon.follower._fetch_changes()
    assert daemon.note().age_s >= 0.6


class FakeCloud:
    def __init__(self):
        self.counts = []

    async def order_servers(self, service, zone, count, reclaimable, token):
        self.counts.append(count)
        return ports.CallOutcome.DONE


@pytest.mark.parametrize(
    ("phase", "counts"), [("trial", []), ("rolled_back", [2])]
)
async def test_orders_of_servers_do_not_fall_during_a_rollout(
    world, phase, counts
):
    # The plan counts both versions' servers, and would release some of them.
    _, add = world
    daemon = add()
    cloud = FakeCloud()
    orders = ordering.ServerOrders(daemon.state, cloud)
    now_s = asyncio.get_running_loop().time()
    note = notes.RolloutNote("plain", "v2", 30.0, 1, 11, phase, 0.1, ("v1",))
    daemon.state.rollouts.record(note, now_s)
    key = "plain", "zone-a", False
    standing = order_history.Standing(4, 0, 10)
    orders._history.record_accepted(key, 4, standing, now_s)
    planner = scaling.Planner(
        declaration.Scaling(1, 10, 4.0, 0.0, {"zone-a": 1.0})
    )
    planner.demand.record_total("", scaling.DemandTotals(1.0, 1.0), now_s)
    await orders._order(
        key,
        2,
        planner,
        order_history.Knowledge(shared=False),
        {"zone-a": scaling.ZoneServers(4, 0)},
        lambda: ports.FencingToken("edge", 7),
    )
    assert cloud.counts == counts


# Guards against a rollout that completes at once, which stops the servers that
# serve: they may be missing in the listing of a daemon that starts, as leases
# expire in an outage of the store.
async def test_a_version_that_others_saw_lately_is_replaced_too(world):
    store, add = world
    daemon = add(versions=("v2",))
    now_s = asyncio.get_running_loop().time()
    daemon.state.software_versions.record([("plain", "v1")], now_s)
    rollouts.write_order(store, "plain", "v2", 30.0)
    await daemon.read()
    for _ in range(5):
        daemon.controller.update()
        await asyncio.sleep(0.02)
    assert daemon.note().replaced == ("v1",)
    assert daemon.note().phase != notes.Phase.COMPLETED.value
    assert rollouts.read_status(store, "plain") == ("in_progress", "v2")
