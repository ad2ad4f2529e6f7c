"""Answers of the store to two attempts at taking the duties' lease are lost."""

import asyncio
import base64
import sys

from aiohttp import web

import standins
from turmericcroft_lab.hosted import cloud
from turmericcroft_lab.hosted import store

DUTY_KEY = "turmericcroft/duties"
# platform_lost, in the variant in which calls take effect late.
LOST_FOR_S = 0.85
LATE_S = 0.8
# Time after the machines are ready; the lease changes hands within it.
RUN_S = 6.0
# As many as the site has.
MACHINES = 8
# The deployment is started anew this often, or until the rule is broken: whether
# both holders call in the second in which they overlap is a matter of chance.
ROUNDS = 5


class ScarceCloud(cloud.HostedCloud):
    """The cloud API, with no reclaimable servers available at the moment."""

    async def _serve(self, request: web.Request) -> web.Response:
        answer = await super()._serve(request)
        if self.calls[-1].body.get("spotInstances"):
            return web.json_response({}, status=409)
        return answer


class LosingStore(store.HostedStore):
    """The store; from the first attempt on it loses answers for a while.

    A write of the duties' key that gets no answer in that time is carried out
    later, if its conditions hold and its lease lives then.
    """

    def __init__(self, record: standins.Record) -> None:
        super().__init__()
        self.record = record
        self.began_s: float | None = None
        self.ended_s = 0.0
        self.answered = self.lost = 0
        self._late: set[asyncio.Task[None]] = set()
        self._sweep: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the port, and ends leases when they are over."""
        await super().start()
        self._sweep = asyncio.create_task(self._end_leases())

    async def close(self) -> None:
        """Closes the port."""
        for task in (*self._late, *([self._sweep] if self._sweep else [])):
            task.cancel()
        await super().close()

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            before = self.items.get(DUTY_KEY)
            self._expire_leases()
            if before is not None and DUTY_KEY not in self.items:
                holder = before.value.decode()
                self.record.note(
                    f"store: lease {before.lease} ended, {DUTY_KEY} of "
                    f"{holder} removed"
                )

    async def _answer(self, call: str, request: web.Request):
        if call == "kv-txn":
            # The base class takes a body that was read before for an empty one.
            return self._commit(await request.json())
        return await super()._answer(call, request)

    async def _respond(self, request: web.Request) -> web.StreamResponse:
        call = request.match_info["call"]
        now_s = self.record.now_s()
        body = {}
        if call == "kv-txn":
            body = await request.json()
        writes = [
            w for w in body.get("write", ()) if w.get("key") == DUTY_KEY
        ]
        if writes and standins.TROUBLE and self.began_s is None:
            self.began_s = now_s
            self.ended_s = now_s + LOST_FOR_S
            self.record.note("store: begins to lose answers")
        is_losing = self.began_s is not None and now_s < self.ended_s
        if writes:
            holder = base64.b64decode(writes[0]["value"]).decode()
            self.record.note(
                f"store: {holder} asks for {DUTY_KEY} with lease "
                f"{writes[0].get('lease')} if at revision "
                f"{body['expected'][0]['revision']}"
                f"{', not answered' if is_losing else ''}"
            )
        if is_losing and writes:
            self.lost += 1
            is_first = self.lost == 1
            task = asyncio.create_task(self._carry_out_late(body, holder))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            if not is_first:
                # No answer, and no sign that there will be none.
                await asyncio.sleep(5.0)
            return self._drop_connection(request)
        if is_losing:
            self.answered += 1
        response = await super()._respond(request)
        if writes:
            self.record.note(f"store: answers {response.status} to {holder}")
        return response

    async def _carry_out_late(self, body, holder: str) -> None:
        await asyncio.sleep(LATE_S)
        self._expire_leases()
        status, answer = self._commit(body)
        revision = answer.get("revision", "")
        self.record.note(
            f"store: late, the write of {holder}: {status} {revision}"
        )


async def case(record: standins.Record) -> int:
    has_calls = False
    for number in range(ROUNDS):
        record.note(f"round {number + 1}")
        calls, broken = await play_round(record)
        if broken:
            return standins.BROKEN
        has_calls = has_calls or calls > 0
    return standins.HELD if has_calls else standins.NOT_RUN


async def play_round(record: standins.Record) -> tuple[int, bool]:
    """Starts the deployment once; returns its calls and if one was stale."""
    platform = standins.Platform(record)
    platform.store = LosingStore(record)
    platform.cloud = ScarceCloud()
    try:
        platform.store.write(
            "op/config",
            {
                "version": 7,
                "routes": [
                    {
                        "name": "lookup",
                        "host": standins.HOST,
                        "pathPrefix": "/lookup/",
                        "service": "booking-app",
                        "kind": "idempotent",
                        "timeoutMs": 1200,
                        "targetLatencyMs": 150,
                        "priority": 2,
                        "maxAttempts": 2,
                    }
                ],
                "services": [
                    {"name": "booking-app", "healthPath": "/healthz"},
                    {
                        "name": "pool",
                        "healthPath": "/healthz",
                        "inferenceEngine": {"slots": 64, "stride": 2},
                        "scaling": {
                            "minimum": 1,
                            "maximum": 6,
                            "bootTimeS": 4,
                            "spotPrice": 0.15,
                            "zonePrices": {"zone-a": 1.0, "zone-b": 0.8},
                        },
                    },
                ],
                "limits": {},
                "tenants": [
                    {"name": standins.TENANT, "apiKeys": [standins.API_KEY]}
                ],
            },
        )
        await platform.start(MACHINES)
        seen = 0
        calls = []
        end_s = record.now_s() + RUN_S
        while record.now_s() < end_s:
            await asyncio.sleep(0.005)
            for found in platform.cloud.calls[seen:]:
                calls.append((record.now_s(), found))
                record.note(
                    f"cloud: {found.path} by {found.holder}, token "
                    f"{found.token}, {found.body}"
                )
            seen = len(platform.cloud.calls)
        for machine in platform.machines:
            for line in platform.read_log(machine):
                if "DutyChanged" in line:
                    record.note(f"log of {machine.name}: {line}")
        # What arrives while the store just was in disruption doesn't count.
        due_s = platform.store.ended_s + standins.BOUNDS["contactMs"] / 1000
        highest: dict[tuple[str, ...], int] = {}
        broken = []
        for at_s, found in calls:
            subject = (
                found.path,
                found.body.get("service", ""),
                found.body.get("zone", ""),
            )
            if found.token < highest.get(subject, 0) and at_s > due_s:
                broken.append(
                    (round(at_s, 3), found.path, found.holder, found.token)
                )
            highest[subject] = max(highest.get(subject, 0), found.token)
        lost = platform.store.lost
        record.note(
            f"store: {lost} calls not answered, {platform.store.answered} "
            f"answered meanwhile, until {platform.store.ended_s:.3f}"
        )
        record.note(f"calls with a lower token than one before: {broken}")
        return len(calls), bool(broken)
    finally:
        await platform.close()


if __name__ == "__main__":
    standins.run_case(sys.path[0], case)
