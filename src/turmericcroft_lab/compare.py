"""Compares routing policies with real daemons and simulated engines.

The load is open-loop, with Poisson arrivals that depend only on the seed, so
that every policy gets the same arrivals. The time to the first token starts
when a request was due, not when it was sent, so that a delayed load generator
does not hide a slow system.
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
_FIRST_TOKEN_TARGET_S = 0.91
_ROUTING_SETTING = 'routing = "{policy}"\n'


@dataclasses.dataclass(frozen=True)
class Profile:
    """A load and the engines that serve it.

    Attributes:
        prefixes: Number of different long prompt prefixes.
        prefix_chars: Length of a prefix.
        requests_per_s: Mean rate of arrivals.
        duration_s: Time over which requests arrive.
        engine_parameters: Speeds and sizes of the engines.
        reclaim_at_s: Time after the start when a zone is reclaimed; 0 for
            never.
    """

    prefixes: int
    prefix_chars: int
    requests_per_s: float
    duration_s: float
    engine_parameters: engine.EngineParameters
    reclaim_at_s: float = 0.0


_ZADRUGA = Profile(
    prefixes=24,
    prefix_chars=8_000,
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
class PolicyResult:
    """Result of one policy with one seed.

    Attributes:
        policy: The routing policy.
        seed: Seed of the arrivals.
        asked: Requests sent.
        answered: Requests with a complete answer.
        refused: Requests refused.
        within_target: Complete answers whose first token met the target.
        first_token_p50_s: Median time to first token.
        first_token_p95_s: Its 95th percentile.
        recomputed_share: Prompt tokens that the cache of their engine did not
            hold, as a share of all prompt tokens.
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
    """Compares all policies and writes the results as JSON.

    Args:
        profile: Name of a profile.
        seeds: Number of seeds for each policy.
        out: File for the results.
    """
    results = []
    schedule = [
        (policy, seed)
        for seed in range(seeds)
        for policy in document.RoutingPolicy
    ]
    for policy, seed in rich.progress.track(schedule, profile):
        with tempfile.TemporaryDirectory() as folder:
            results.append(
                asyncio.run(
                    _measure_policy(
                        PROFILES[profile], policy, seed, pathlib.Path(folder)
                    )
                )
            )
    text = json.dumps([dataclasses.asdict(item) for item in results], indent=1)
    pathlib.Path(out).write_text(text + "\n", "utf-8")
    rich.console.Console().print(summarise(results), markup=False)


def summarise(results: list[PolicyResult]) -> str:
    """Returns the medians and ranges over the seeds as a Markdown table."""
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
    for policy in sorted({item.policy for item in results}):
        cells = []
        for field in fields:
            values = [
                float(getattr(result, field))
                for result in results
                if result.policy == policy
            ]
            cells.append(
                f"{statistics.median(values):.4g} "
                f"({min(values):.4g} to {max(values):.4g})"
            )
        lines.append(f"| {policy} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


async def _measure_policy(
    profile: Profile,
    policy: document.RoutingPolicy,
    seed: int,
    folder: pathlib.Path,
) -> PolicyResult:
    plan = cluster.ClusterPlan(engine_parameters=profile.engine_parameters)
    text = (demo.EXAMPLES / "corrections.toml").read_text("utf-8")
    corrections = folder / "corrections.toml"
    line = _ROUTING_SETTING.format(policy=policy.value)
    corrections.write_text(
        text.replace("[policy]\n", "[policy]\n" + line), "utf-8"
    )
    async with cluster.running(plan, folder) as lab:
        await demo.apply_examples(lab, corrections)
        await lab.wait_for("/readyz")
        client = caller.Caller(
            [daemon.callers_url for daemon in lab.daemons], demo.API_KEY
        )
        try:
            outcomes = await _send_load(profile, lab, client, seed)
        finally:
            await client.close()
        counts = await _fetch_counts(lab)
    return _make_result(policy, seed, outcomes, counts)


async def _send_load(
    profile: Profile,
    lab: cluster.Cluster,
    client: caller.Caller,
    seed: int,
) -> list[caller.Outcome]:
    rng = random.Random(seed)
    prefixes = [
        "".join(rng.choices("abcdefgh ", k=profile.prefix_chars))
        for _ in range(profile.prefixes)
    ]
    tasks: list[asyncio.Task[caller.Outcome]] = []
    due_s = 0.0
    while (due_s := due_s + rng.expovariate(profile.requests_per_s)) < (
        profile.duration_s
    ):
        prompt = f"{rng.choice(prefixes)} question {len(tasks)}"
        request = caller.CompletionRequest(
            "survey", prompt, _MAX_TOKENS, seed=len(tasks)
        )
        tasks.append(asyncio.create_task(_send_at(client, request, due_s)))
    if profile.reclaim_at_s:
        await asyncio.sleep(profile.reclaim_at_s)
        zone = lab.plan.zones[-1]
        await lab.platform.reclaim_zone(zone, 1.0, replace=False)
    return await asyncio.gather(*tasks)


async def _send_at(
    client: caller.Caller, request: caller.CompletionRequest, delay_s: float
) -> caller.Outcome:
    loop = asyncio.get_running_loop()
    due_s = loop.time() + delay_s
    await asyncio.sleep(delay_s)
    late_s = loop.time() - due_s
    outcome = await client.complete(request)
    return dataclasses.replace(
        outcome, first_token_s=outcome.first_token_s + late_s
    )


async def _fetch_counts(lab: cluster.Cluster) -> dict[str, float]:
    url = f"http://{cluster.HOST}:{lab.platform.plan.cloud_port}/lab/counts"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        body = await response.json()
    counts = {"spent": float(body["spent"])}
    for name in ("prompt_tokens", "computed_tokens"):
        counts[name] = float(sum(e[name] for e in body["engines"].values()))
    return counts


def _make_result(
    policy: document.RoutingPolicy,
    seed: int,
    outcomes: list[caller.Outcome],
    counts: dict[str, float],
) -> PolicyResult:
    complete = [outcome for outcome in outcomes if outcome.is_complete]
    first_token_times_s = sorted(outcome.first_token_s for outcome in complete)
    within_target = sum(
        first_token_s <= _FIRST_TOKEN_TARGET_S
        for first_token_s in first_token_times_s
    )
    return PolicyResult(
        policy=policy.value,
        seed=seed,
        asked=len(outcomes),
        answered=len(complete),
        refused=sum(bool(outcome.refusal) for outcome in outcomes),
        within_target=within_target,
        first_token_p50_s=first_token_times_s[len(first_token_times_s) // 2],
        first_token_p95_s=first_token_times_s[
            int(len(first_token_times_s) * 0.95)
        ],
        recomputed_share=counts["computed_tokens"] / counts["prompt_tokens"],
        cost_per_1000=counts["spent"] / max(1, within_target) * 1_000,
    )
