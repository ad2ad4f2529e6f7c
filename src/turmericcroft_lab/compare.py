"""Compares routing policies on real daemons before stand-ins.

Open-loop Poisson load by seed; each policy meets the same arrivals. Times are
counted from when a request was due, not from when it was sent, so a slow
system cannot hide behind a slow caller.
"""

import asyncio
import dataclasses
import json
import pathlib
import random
import statistics
import tempfile

import aiohttp
import rich.console
import rich.progress

from turmericcroft.intent import document
from turmericcroft_lab import caller
from turmericcroft_lab import cluster
from turmericcroft_lab import demo
from turmericcroft_lab import engine

_MAX_TOKENS = 24
_TARGET_S = 0.91
_CORRECTIONS = 'routing = "{policy}"\n'


@dataclasses.dataclass(frozen=True)
class Profile:
    """A load and the engines that it meets.

    Attributes:
        documents: Different long prompt heads.
        head_chars: Length of a head.
        requests_per_s: Mean rate of arrivals.
        duration_s: How long requests arrive.
        engine_parameters: Speeds and cache of the engines.
        reclaim_at_s: When a zone is reclaimed; 0 for never.
    """

    documents: int
    head_chars: int
    requests_per_s: float
    duration_s: float
    engine_parameters: engine.EngineParameters
    reclaim_at_s: float = 0.0


_ZADRUGA = Profile(
    documents=24,
    head_chars=8_000,
    requests_per_s=25.0,
    duration_s=8.0,
    engine_parameters=engine.EngineParameters(
        slots=8, cache_blocks=1_000, prefill_s_per_token=0.000_2
    ),
)
PROFILES = {
    "zadruga": _ZADRUGA,
    "zadruga-wave": dataclasses.replace(_ZADRUGA, reclaim_at_s=4.0),
}


@dataclasses.dataclass(frozen=True)
class Run:
    """What one run showed.

    Attributes:
        policy: The routing policy.
        seed: Seed of the arrivals.
        asked: Requests.
        answered: Requests answered whole.
        refused: Requests refused.
        within_target: Answers whose first token came in time.
        first_token_p50_s: Median time to first token.
        first_token_p95_s: Its 95th percentile.
        recomputed_share: Prompt tokens computed that some engine's cache
            could have held, as a share of all prompt tokens.
        cost_per_1000: Price of the VMs for 1,000 answers within the target.
    """

    policy: str
    seed: int
    asked: int
    answered: int
    refused: int
    within_target: int
    first_token_p50_s: float
    first_token_p95_s: float
    recomputed_share: float
    cost_per_1000: float


def run(profile: str, seeds: int, out: str) -> None:
    """Compares all policies and writes the runs as JSON.

    Args:
        profile: Name of a profile.
        seeds: Seeds for each policy.
        out: File for the raw results.
    """
    runs = []
    plan = [
        (policy, seed)
        for seed in range(seeds)
        for policy in document.RoutingPolicy
    ]
    for policy, seed in rich.progress.track(plan, profile):
        with tempfile.TemporaryDirectory() as folder:
            runs.append(
                asyncio.run(
                    _run(PROFILES[profile], policy, seed, pathlib.Path(folder))
                )
            )
    text = json.dumps([dataclasses.asdict(item) for item in runs], indent=1)
    pathlib.Path(out).write_text(text + "\n", "utf-8")
    rich.console.Console().print(summarise(runs), markup=False)


def summarise(runs: list[Run]) -> str:
    """Renders medians, and the spread over the seeds, as Markdown."""
    fields = (
        "answered",
        "refused",
        "first_token_p50_s",
        "first_token_p95_s",
        "recomputed_share",
        "cost_per_1000",
    )
    lines = [
        "| policy | " + " | ".join(fields) + " |",
        "|---" * (len(fields) + 1) + "|",
    ]
    for policy in sorted({item.policy for item in runs}):
        cells = []
        for field in fields:
            values = [
                float(getattr(r, field)) for r in runs if r.policy == policy
            ]
            cells.append(
                f"{statistics.median(values):.4g} "
                f"({min(values):.4g} to {max(values):.4g})"
            )
        lines.append(f"| {policy} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


async def _run(
    profile: Profile,
    policy: document.RoutingPolicy,
    seed: int,
    folder: pathlib.Path,
) -> Run:
    plan = cluster.ClusterPlan(engine_parameters=profile.engine_parameters)
    text = (demo.EXAMPLES / "corrections.toml").read_text("utf-8")
    corrections = folder / "corrections.toml"
    setting = _CORRECTIONS.format(policy=policy.value)
    corrections.write_text(
        text.replace("[policy]\n", "[policy]\n" + setting), "utf-8"
    )
    async with cluster.running(plan, folder) as running:
        await demo.apply_examples(running, corrections)
        await running.wait_for("/readyz")
        north = caller.Caller(
            [daemon.callers_url for daemon in running.daemons], demo.API_KEY
        )
        try:
            outcomes = await _play(profile, running, north, seed)
        finally:
            await north.close()
        counts = await _counts(running)
    return _summary(policy, seed, outcomes, counts)


async def _play(
    profile: Profile, running: cluster.Cluster, north: caller.Caller, seed: int
) -> list[caller.Outcome]:
    rng = random.Random(seed)
    heads = [
        "".join(rng.choices("abcdefgh ", k=profile.head_chars))
        for _ in range(profile.documents)
    ]
    tasks: list[asyncio.Task[caller.Outcome]] = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(profile.requests_per_s)) < (
        profile.duration_s
    ):
        prompt = f"{rng.choice(heads)} question {len(tasks)}"
        ask = caller.Ask("survey", prompt, _MAX_TOKENS, seed=len(tasks))
        tasks.append(asyncio.create_task(_ask_at(north, ask, at_s)))
    if profile.reclaim_at_s:
        await asyncio.sleep(profile.reclaim_at_s)
        zone = running.plan.zones[-1]
        await running.platform.reclaim_zone(zone, 1.0, replace=False)
    return await asyncio.gather(*tasks)


async def _ask_at(
    north: caller.Caller, ask: caller.Ask, at_s: float
) -> caller.Outcome:
    loop = asyncio.get_running_loop()
    due_s = loop.time() + at_s
    await asyncio.sleep(at_s)
    late_s = loop.time() - due_s
    outcome = await north.complete(ask)
    return dataclasses.replace(
        outcome, first_token_s=outcome.first_token_s + late_s
    )


async def _counts(running: cluster.Cluster) -> dict[str, float]:
    url = f"http://{cluster.HOST}:{running.platform.plan.cloud_port}/lab/counts"
    async with aiohttp.ClientSession() as session, session.get(url) as reply:
        body = await reply.json()
    found = {"spent": float(body["spent"])}
    for name in ("prompt_tokens", "computed_tokens"):
        found[name] = float(sum(e[name] for e in body["engines"].values()))
    return found


def _summary(
    policy: document.RoutingPolicy,
    seed: int,
    outcomes: list[caller.Outcome],
    counts: dict[str, float],
) -> Run:
    whole = [outcome for outcome in outcomes if outcome.whole]
    times = sorted(outcome.first_token_s for outcome in whole)
    within = sum(time_s <= _TARGET_S for time_s in times)
    return Run(
        policy=policy.value,
        seed=seed,
        asked=len(outcomes),
        answered=len(whole),
        refused=sum(bool(outcome.refusal) for outcome in outcomes),
        within_target=within,
        first_token_p50_s=times[len(times) // 2],
        first_token_p95_s=times[int(len(times) * 0.95)],
        recomputed_share=counts["computed_tokens"] / counts["prompt_tokens"],
        cost_per_1000=counts["spent"] / max(1, within) * 1_000,
    )
