"""A claimed call is sent at most once under random interleavings.

Several owners append to one shard concurrently. Calls to the key-value
service wait for a seeded scheduler, which completes them in any order and
may refuse one, lose its reply, or drop it before it is applied. A claimant
sends its call when the claim is granted; the tests count these sends.
"""

import asyncio
import collections
import random

import pytest

from turmericcroft import errors
from turmericcroft.answers import ledger
from turmericcroft.clients import keyvalue
from turmericcroft.daemon import shard as shards

SEEDS = range(120)
VARIANT_SEEDS = range(600)
FAR_MS = 2**53
KEYS = ("k1", "k2")


class GatedKeyValue:
    """Key-value service whose calls wait for the scheduler."""

    def __init__(self, store, gates, ignores_conditions=False):
        self.store = store
        self.gates = gates
        self.ignores_conditions = ignores_conditions

    async def _gate(self):
        gate = asyncio.get_running_loop().create_future()
        self.gates.append(gate)
        return await gate

    async def list_prefix(self, prefix):
        if await self._gate() != "apply":
            raise errors.KeyValueUnavailableError("refused")
        return tuple(
            keyvalue.Entry(key, *self.store[key])
            for key in sorted(self.store)
            if key.startswith(prefix)
        )

    async def get(self, key):
        if await self._gate() != "apply":
            raise errors.KeyValueUnavailableError("refused")
        found = self.store.get(key)
        return None if found is None else keyvalue.Entry(key, *found)

    async def commit(self, conditions, operations):
        outcome = await self._gate()
        if outcome == "refuse":
            raise errors.KeyValueUnavailableError("refused")
        if outcome == "cut":
            raise errors.KeyValueOutcomeUnknownError("cut")
        succeeds = self.ignores_conditions or all(
            self.store.get(condition.key, (b"", 0))[1] == condition.mod_revision
            for condition in conditions
        )
        for put in operations if succeeds else ():
            revision = 1 + max((r for _, r in self.store.values()), default=0)
            self.store[put.key] = (put.value, revision)
        if outcome == "lose":
            raise errors.KeyValueOutcomeUnknownError("lost")
        return succeeds


class AssumesSuccess(shards.Shard):
    """Faulty variant: treats an append with a lost reply as successful."""

    async def _read_back(self, key, batch):
        return True


class AssumesFailure(shards.Shard):
    """Variant: treats an append with a lost reply as failed and retries."""

    async def _read_back(self, key, batch):
        return False


class GrantsBeforeAppend(shards.Shard):
    """Faulty variant: grants claims before the append has succeeded."""

    async def _append(self, index, to_append):
        for pending in to_append:
            shards._resolve([pending], ledger.Verdict.GRANTED)
        return await super()._append(index, to_append)


async def claim_and_send(rng, owners, number, sends):
    """Claims a call at two owners in turn and counts it if granted.

    Like a daemon, it tries the second owner only if the first one is
    unavailable.
    """
    key = rng.choice(KEYS)
    claim = ledger.ClaimRecord(key, "b", f"d{number}", f"c{number}", FAR_MS)
    for owner in rng.sample(owners, 2):
        decision = await owner.submit(claim)
        if decision.verdict is ledger.Verdict.GRANTED:
            sends[key] += 1
            end = ledger.EndRecord(
                key, claim.claim_id, ledger.Outcome.RAN, 201, "", b"", FAR_MS
            )
            await owner.submit(end)
            return
        if decision.verdict is not ledger.Verdict.UNAVAILABLE:
            return


async def schedule(rng, gates, tasks):
    """Completes waiting calls one at a time until all tasks are done.

    After 200 steps every call succeeds, so that the tasks terminate.
    """
    for step in range(4_000):
        for _ in range(8):
            await asyncio.sleep(0)
        if all(task.done() for task in tasks):
            return
        if gates:
            gate = gates.pop(rng.randrange(len(gates)))
            outcomes = ["apply"] * 6 + ["lose", "cut", "refuse", "lose"]
            gate.set_result(rng.choice(outcomes) if step < 200 else "apply")
    pytest.fail("expected a reply to every claimant, found one still waiting")


async def run_schedule(seed, make_shard=shards.Shard, ignores_conditions=False):
    """Runs one schedule and returns how often each key's call was sent."""
    rng = random.Random(seed)
    store, gates, sends = {}, [], collections.Counter()
    owners = [
        make_shard(0, GatedKeyValue(store, gates, ignores_conditions))
        for _ in range(3)
    ]
    tasks = [
        asyncio.create_task(claim_and_send(rng, owners, number, sends))
        for number in range(6)
    ]
    await schedule(rng, gates, tasks)
    for gate in gates:
        gate.cancel()
    for owner in owners:
        await owner.close()
    return sends


@pytest.fixture(autouse=True)
def without_pauses(monkeypatch):
    monkeypatch.setattr(shards, "APPEND_INTERVAL_S", 0.0)
    monkeypatch.setattr(shards, "_READ_BACK_PAUSE_S", 0.0)


async def test_a_call_runs_at_most_once_under_random_schedules():
    total = collections.Counter()
    for seed in SEEDS:
        sends = await run_schedule(seed)
        assert all(count <= 1 for count in sends.values()), seed
        total.update(sends)
    assert all(total[key] > len(SEEDS) / 4 for key in KEYS)


@pytest.mark.parametrize(
    "variant",
    [
        pytest.param({"ignores_conditions": True}, id="no compare"),
        pytest.param({"make_shard": AssumesSuccess}, id="no read-back"),
        pytest.param({"make_shard": GrantsBeforeAppend}, id="grant first"),
    ],
)
async def test_schedules_detect_a_faulty_variant(variant):
    for seed in VARIANT_SEEDS:
        sends = await run_schedule(seed, **variant)
        if any(count > 1 for count in sends.values()):
            return
    pytest.fail("expected a call that was sent twice, found none")


async def test_retrying_an_append_with_a_lost_reply_is_safe():
    # Without the read-back, the claim is found by its id when the index is
    # loaded again. The read-back only saves an append.
    for seed in SEEDS:
        sends = await run_schedule(seed, make_shard=AssumesFailure)
        assert all(count <= 1 for count in sends.values()), seed
