"""Prompts with a part on which engines crash, during a soak."""

import asyncio
import random

from turmericcroft_lab.hosted import fleet as fleets
from turmericcroft_lab.hosted import soak_checks

_CRASHING_PART = "bad"
_PROMPT_INTERVAL_S = 0.2
_FINAL_PROMPTS = 12


async def run(
    fleet: fleets.Fleet,
    rng: random.Random,
    results: list[soak_checks.RequestResult],
    end_s: float,
) -> None:
    """Sends requests with a part on which engines crash, and sound ones."""
    for server in fleet.backends.values():
        server.crashing_parts = frozenset({_CRASHING_PART})
    number = 0
    while asyncio.get_running_loop().time() < end_s:
        number += 1
        part = rng.choice((_CRASHING_PART, f"topic-{number % 5}"))
        name = rng.choice(sorted(fleet.daemons))
        results.append(await _send_prompt(fleet, name, f"p-{number}", part))
        await asyncio.sleep(_PROMPT_INTERVAL_S)


async def _send_prompt(
    fleet: fleets.Fleet, daemon: str, request_id: str, part: str
) -> soak_checks.RequestResult:
    path = "/stream/fixed/"
    status, body, complete = await fleets.call(
        fleet.daemons[daemon].ports[0],
        "POST",
        f"{path}{request_id}",
        request_id,
        b"x",
        ("base", part, request_id),
    )
    return soak_checks.RequestResult(
        request_id, path, False, status, body, complete
    )


async def find_violations(fleet: fleets.Fleet) -> list[str]:
    """Sends requests like those that crashed engines, and sound ones.

    All daemons must refuse the former by now, or after three more crashes if
    there were less than five, and serve the latter.
    """

    def count_crashes() -> int:
        return sum(len(s.crashed_by) for s in fleet.backends.values())

    before = count_crashes()
    answered = 0
    for number in range(_FINAL_PROMPTS):
        name = sorted(fleet.daemons)[number % len(fleet.daemons)]
        await _send_prompt(fleet, name, f"late-{number}", _CRASHING_PART)
        sound = await _send_prompt(fleet, name, f"sound-{number}", "topic-0")
        answered += sound.status == 200 and sound.complete
        await asyncio.sleep(_PROMPT_INTERVAL_S)
    violations = []
    after = count_crashes()
    if after - max(before, 5) > 3:
        violations.append(f"{before} engines had crashed, then {after}")
    if answered < 0.5 * _FINAL_PROMPTS:
        violations.append(f"{answered} of {_FINAL_PROMPTS} sound requests")
    return violations
