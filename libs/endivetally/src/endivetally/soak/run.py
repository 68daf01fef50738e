"""Plays the faults of a seed against a deployment."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from endivetally.soak.deployment import Stage
from endivetally.soak.faults import FAULTS
from endivetally.soak.faults import Fault
from endivetally.soak.guarantees import Promises
from endivetally.soak.guarantees import steady_now
from endivetally.soak.report import SoakReport
from endivetally.soak.traffic import Traffic

# Mean pause between faults; each lasts up to six seconds, so they overlap.
MEAN_GAP_S: Final = 1.2
# One fault in five comes as a series, in quick succession.
SERIES_SHARE: Final = 0.2
SERIES_LENGTH: Final = 4
SERIES_GAP_S: Final = 0.4
# After the last fault the system has the time of the rules to come back; what
# is sent then has to be served.
RECOVERY_S: Final = 12.0
CALM_S: Final = 4.0


@dataclass(frozen=True, slots=True)
class SoakSize:
    """How large a soak is.

    :param fault_s: seconds in which faults strike.
    :param rate: jobs a second.
    """

    entries: int = 3
    agents: int = 5
    fault_s: float = 30
    rate: float = 15


async def run_soak(seed: int, size: SoakSize, folder: Path) -> SoakReport:
    """Play the faults of one seed and return what was found.

    :param folder: receives settings and logs.
    """
    rng = random.Random(seed)
    async with Stage(rng, folder) as stage:
        await _populate(stage, size)
        promises = Promises(stage)
        traffic = Traffic(stage, promises, random.Random(seed + 1), size.rate)
        async with traffic:
            played = await _play_faults(stage, rng, size.fault_s)
            await asyncio.sleep(RECOVERY_S)
            calm_since = steady_now()
            await asyncio.sleep(CALM_S)
        promises.judge_recovery(
            [call for call in traffic.calls if call.sent_at >= calm_since]
        )
        violations = promises.judge_rest()
    return SoakReport(
        [seed],
        dict(played),
        dict(promises.ends),
        [f'seed {seed}: {text}' for text in violations],
    )


async def _populate(stage: Stage, size: SoakSize) -> None:
    entries = [stage.add('entry') for _ in range(size.entries)]
    agents = [stage.add('agent') for _ in range(size.agents)]
    await asyncio.gather(*entries, *agents)


async def _play_faults(
    stage: Stage, rng: random.Random, fault_s: float
) -> Counter[str]:
    """Start faults for a time and wait for their ends."""
    played: Counter[str] = Counter()
    ends_at = steady_now() + fault_s
    striking: list[asyncio.Task[None]] = []
    while steady_now() < ends_at:
        fault = rng.choice(FAULTS)
        repeated = SERIES_LENGTH if rng.random() < SERIES_SHARE else 1
        played[fault.name] += repeated
        striking.append(asyncio.ensure_future(_strike(fault, stage, rng, repeated)))
        await asyncio.sleep(rng.expovariate(1 / MEAN_GAP_S))
    await asyncio.gather(*striking)
    return played


async def _strike(
    fault: Fault, stage: Stage, rng: random.Random, repeated: int
) -> None:
    for _ in range(repeated):
        await fault.strike(stage, rng)
        await asyncio.sleep(rng.uniform(0, SERIES_GAP_S))
