"""Daemons and a simulated platform, all in the event loop of the test."""

import asyncio
import contextlib
import dataclasses
import hashlib

import aiohttp
import pytest

from turmericcroft import settings
from turmericcroft.daemon import acceptance
from turmericcroft.daemon import daemon as daemons
from turmericcroft.intent import document
from turmericcroft_lab import cluster
from turmericcroft_lab import engine
from turmericcroft_lab import world
from turmericcroft_lab.hosted import loopback

FAST_MODEL = engine.EngineParameters(
    token_s=0.002, prefill_s_per_token=0.000_01
)
API_KEYS = {"north": "north-key", "east": "east-key"}


@dataclasses.dataclass
class SmallWorld:
    """The simulated platform and the daemons under test.

    Attributes:
        world: The simulated platform with its backend servers.
        daemons: Daemons by index.
        sessions: HTTP client sessions by account.
    """

    world: world.SimulatedPlatform
    daemons: list
    sessions: dict

    def engine(self, name):
        return self.world.servers[name].backend

    def url(self, index, path):
        port = self.daemons[index].settings.callers.port
        return f"http://127.0.0.1:{port}{path}"

    def post(self, index, path, body, account="north", **headers):
        return self.sessions[account].post(
            self.url(index, path), json=body, headers=headers
        )

    def get(self, index, path, account="north", **headers):
        return self.sessions[account].get(
            self.url(index, path), headers=headers
        )

    def states(self, request_id):
        """Returns the states of a request at all daemons, oldest first."""
        events = [
            (stamped.stamp, stamped.event.state)
            for daemon in self.daemons
            for stamped in daemon.timeline._events
            if getattr(stamped.event, "request_id", "") == request_id
            and hasattr(stamped.event, "state")
        ]
        return [state for _, state in sorted(events)]


def make_document():
    common = {
        "adapter": "",
        "version": "1",
        "accounts": ("east", "north"),
        "availability_zones": ("zone-a", "zone-b"),
        "priority": 1,
        "replicas": 1,
        "first_token_ms": 910,
        "between_tokens_ms": 50,
        "max_context_tokens": 4_096,
    }
    rows = [
        document.Deployment(document.Kind.MODEL, "survey", **common),
        document.Deployment(document.Kind.SERVICE, "booking", **common),
    ]
    accounts = {
        name: document.Account(
            name,
            (hashlib.sha256(key.encode()).hexdigest(),),
            requests_per_s=1_000.0,
            burst=1_000,
        )
        for name, key in API_KEYS.items()
    }
    policy = document.Policy(reconnect_grace_s=0.3)
    return document.Document({row.key: row for row in rows}, accounts, policy)


def make_settings(name, zone, plan):
    return settings.Settings(
        daemon=settings.Identity(name, "region-1", zone),
        callers=settings.Callers("127.0.0.1", loopback.free_port()),
        operators=settings.Operators("127.0.0.1", loopback.free_port()),
        mesh=settings.Mesh(
            "127.0.0.1",
            loopback.free_port(),
            "secret",
            heartbeat_interval_s=0.1,
        ),
        platform=settings.Platform(
            f"http://127.0.0.1:{plan.key_value_port}",
            f"http://127.0.0.1:{plan.cloud_port}",
            vm_list_interval_s=0.05,
        ),
        stopping=settings.Stopping(drain_s=0.05, hand_over_s=2.0),
    )


@pytest.fixture
async def small_world():
    """Yields two zones, each with two engines, a plain service and a daemon."""
    zones = ("zone-a", "zone-b")
    plan = cluster.ClusterPlan(
        zones, 2, 1, 1, models=("survey",), engine_parameters=FAST_MODEL
    )
    world_plan = world.PlatformPlan(
        "127.0.0.1",
        loopback.free_port(),
        loopback.free_port(),
        cluster._server_plans(plan),
        list_lag_s=0.02,
        replace_s=0.2,
    )
    async with contextlib.AsyncExitStack() as stack:
        simulated = world.SimulatedPlatform(world_plan)
        await simulated.start()
        stack.push_async_callback(simulated.close)
        started = []
        for zone in zones:
            name = f"entry-{zone[-1]}1"
            daemon = daemons.Daemon(make_settings(name, zone, world_plan))
            await daemon.start()
            stack.push_async_callback(abort_unless_stopped, daemon)
            started.append(daemon)
        sessions = {}
        for account, key in API_KEYS.items():
            sessions[account] = await stack.enter_async_context(
                aiohttp.ClientSession(
                    headers={"Authorization": f"Bearer {key}"}
                )
            )
        built = SmallWorld(simulated, started, sessions)
        await apply_document(built)
        yield built


async def apply_document(built):
    """Applies the test document and waits until all daemons are ready."""
    first = built.daemons[0]
    proposal = acceptance.Proposal(make_document(), 0, "tester", "")
    await acceptance.Acceptance(
        first.board, first.members, first.key_value
    ).apply(proposal)
    await eventually(lambda: all(d.is_ready() for d in built.daemons))
    await eventually(
        lambda: all(
            len(d.members.alive()) == len(built.daemons) - 1
            for d in built.daemons
        )
    )


async def abort_unless_stopped(daemon):
    if not daemon.board.stopping:
        daemon.board.stopping = True
        await daemon.abort()


async def eventually(condition):
    """Waits up to 20 s until a condition is true."""
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.01)
