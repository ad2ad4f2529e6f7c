"""A server is emptied, and the answers to some moves of memory are lost."""

import asyncio
import sys

import engines
import standins

STREAMS = 60
START_INTERVAL_S = 0.01
DRAIN_AFTER_S = 0.4
EXTRA_S = 0.5
# garble, unframed, with x = 0.05: one of 20 answers has no length. These streams
# all begin within a second.
UNFRAMED_OF_20 = (5,)
# answer_lost with x = 0.4, on one of three servers and for 4 s: of its answers
# to moves, that on a stream without a length is lost, and one of four others.
LOST_OF_OTHERS = 4
LOST_FOR_S = 4.0


async def case(record: standins.Record) -> int:
    platform = standins.Platform(record)
    servers = [engines.Engine(f"i-{n}", "pool", record) for n in range(3)]
    results = []
    try:
        platform.store.write(
            "op/config",
            {
                "version": 7,
                "routes": [
                    {
                        "name": "draft",
                        "host": standins.HOST,
                        "pathPrefix": "/draft/",
                        "service": "pool",
                        "kind": "streaming",
                        "streamResumption": False,
                        "timeoutMs": 15000,
                        "targetLatencyMs": 1200,
                        "itlTargetMs": 400,
                        "priority": 1,
                        "maxAttempts": 1,
                        "sessionAffinity": True,
                    }
                ],
                "services": [
                    {
                        "name": "pool",
                        "healthPath": "/healthz",
                        "inferenceEngine": {
                            "slots": 64,
                            "kvCacheTokens": 580968,
                            "migrations": True,
                            "handleTtlS": 5,
                            "stride": 2,
                        },
                    }
                ],
                "limits": {},
                "tenants": [
                    {"name": standins.TENANT, "apiKeys": [standins.API_KEY]}
                ],
            },
        )
        for server in servers:
            server.unframed_of_20 = UNFRAMED_OF_20
            server.events = 80
            await server.start()
            platform.store.write(f"servers/{server.name}", server.entry())
        for server in servers:
            server.peers = {s.address: s for s in servers}
        await platform.start(2)

        async def send(number: int) -> None:
            request_id = f"s{number}"
            machine = platform.machines[number % len(platform.machines)]
            status, _, body, complete = await standins.call(
                machine.frontend,
                "POST",
                f"/draft/{number}",
                standins.client_headers(request_id, 15000)
                | engines.prompt_headers(number),
                b"prompt",
            )
            found = engines.events_in(body)
            record.note(
                f"{request_id} answered {status}, {len(found)} events, "
                f"{'complete' if complete else 'broken off'}"
            )
            results.append((request_id, status, found, complete))

        tasks = []
        for number in range(STREAMS):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(START_INTERVAL_S)
        await asyncio.sleep(DRAIN_AFTER_S)
        leaving = max(
            servers, key=lambda s: (bool(s.unframed & s.runs.keys()), len(s.runs))
        )
        others = 0
        began_s = record.now_s()

        def loses(request_id: str) -> bool:
            nonlocal others
            if record.now_s() - began_s >= LOST_FOR_S:
                return False
            if request_id in leaving.unframed:
                return True
            others += 1
            return others % LOST_OF_OTHERS == 0

        if standins.TROUBLE:
            leaving.loses = loses
        drain_s = standins.BOUNDS["drainTimeoutMs"] / 1000
        leaving.leaves_at_s = record.now_s() + drain_s
        platform.store.write(
            f"servers/{leaving.name}", leaving.entry(state="draining")
        )
        record.note(
            f"{leaving.name}: draining, with {len(leaving.runs)} streams, "
            f"without a length: {sorted(leaving.unframed & leaving.runs.keys())}"
        )
        await asyncio.sleep(drain_s + EXTRA_S)
        platform.store.remove(f"servers/{leaving.name}")
        record.note(f"{leaving.name}: ends with {len(leaving.runs)} streams")
        await leaving.close()
        await asyncio.gather(*tasks)
        broken = [
            (request_id, len(found))
            for request_id, status, found, complete in results
            if status == 200
            and complete
            and found != list(range(1, leaving.events + 1))
        ]
        whole = sum(
            complete and len(found) == leaving.events
            for _, _, found, complete in results
        )
        record.note(
            f"{whole} of {len(results)} streams are whole; complete by their "
            f"framing but with events missing: {broken}"
        )
        if broken:
            return standins.BROKEN
        return standins.HELD if whole else standins.NOT_RUN
    finally:
        await platform.close()
        for server in servers:
            await server.close()


if __name__ == "__main__":
    standins.run_case(sys.path[0], case)
