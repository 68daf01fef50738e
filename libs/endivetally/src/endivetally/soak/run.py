"""Runs the soak test of one seed: random faults and traffic against a deployment."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from endivetally.soak.capacity_change import CapacityChange
from endivetally.soak.deployment import SoakDeployment
from endivetally.soak.evacuation import Evacuation
from endivetally.soak.faults import FAULTS
from endivetally.soak.faults import HELD_COMMANDS
from endivetally.soak.faults import LARGE_FAULTS
from endivetally.soak.faults import Fault
from endivetally.soak.foreign_rows import ForeignRows
from endivetally.soak.guarantees import GuaranteeChecker
from endivetally.soak.guarantees import get_loop_time
from endivetally.soak.report import SoakReport
from endivetally.soak.target_restart import TargetRestart
from endivetally.soak.traffic import JobTraffic

# Mean time between faults. A fault lasts up to six seconds, so faults overlap.
MEAN_FAULT_INTERVAL_S: Final = 1.2
# Mean time between evacuations, so that a data centre is in use most of the time.
EVACUATION_INTERVAL_S: Final = 12.0
# Mean time between rows of another writer.
FOREIGN_ROWS_INTERVAL_S: Final = 4.0
# One fault in five is injected several times in quick succession.
REPEATED_SHARE: Final = 0.2
SERIES_LENGTH: Final = 4
MAX_SERIES_PAUSE_S: Final = 0.4
# Time that the guarantees allow the system to recover after the last fault. Calls that
# are sent later must be served.
RECOVERY_S: Final = 12.0
# How long jobs are sent after the recovery, to check that they are served.
FAULT_FREE_S: Final = 4.0


@dataclass(frozen=True, slots=True)
class SoakSize:
    """Size of a soak test.

    :param entries: number of entry processes.
    :param agents: number of agent processes.
    :param fault_time_s: seconds during which faults are injected.
    :param jobs_per_s: mean rate at which callers send jobs.
    :param large: whether the configuration is large and the links to the store are
        slow, with the faults that come with size.
    """

    entries: int = 3
    agents: int = 5
    fault_time_s: float = 30
    jobs_per_s: float = 15
    large: bool = False

    @property
    def faults(self) -> tuple[Fault, ...]:
        """Faults from which one is drawn at a time."""
        return LARGE_FAULTS if self.large else FAULTS


async def run_soak(seed: int, size: SoakSize, directory: Path) -> SoakReport:
    """Run the soak test with one seed and return its report.

    :param directory: directory that receives settings and logs.
    """
    rng = random.Random(seed)
    async with SoakDeployment(rng, directory, large=size.large) as deployment:
        await _add_machines(deployment, size)
        checker = GuaranteeChecker(deployment)
        traffic = JobTraffic(
            deployment, checker, random.Random(seed + 1), size.jobs_per_s
        )
        async with traffic:
            fault_counts = await _inject_all_faults(deployment, seed, rng, size)
            await asyncio.sleep(RECOVERY_S)
            recovered_at = get_loop_time()
            await asyncio.sleep(FAULT_FREE_S)
        checker.check_recovery(
            [call for call in traffic.calls if call.sent_at >= recovered_at]
        )
        violations = checker.collect_violations()
    return SoakReport(
        [seed],
        dict(fault_counts),
        dict(checker.result_counts),
        [f'seed {seed}: {text}' for text in violations],
    )


async def _add_machines(deployment: SoakDeployment, size: SoakSize) -> None:
    entries = [deployment.add_machine('entry') for _ in range(size.entries)]
    agents = [deployment.add_machine('agent') for _ in range(size.agents)]
    await asyncio.gather(*entries, *agents)


async def _inject_all_faults(
    deployment: SoakDeployment, seed: int, rng: random.Random, size: SoakSize
) -> Counter[str]:
    """Inject the faults of a size, and those of targets, operators and other writers.

    Each of the latter has a generator of its own, so that the others remain those of
    the seed. Return the number of each fault.
    """
    counts = await asyncio.gather(
        _inject_faults(deployment, rng, size.faults, size.fault_time_s),
        _inject_faults(
            deployment, random.Random(seed + 2), (HELD_COMMANDS,), size.fault_time_s
        ),
        _inject_faults(
            deployment, random.Random(seed + 3), (TargetRestart(),), size.fault_time_s
        ),
        _inject_faults(
            deployment,
            random.Random(seed + 4),
            (Evacuation(),),
            size.fault_time_s,
            EVACUATION_INTERVAL_S,
        ),
        _inject_faults(
            deployment, random.Random(seed + 5), (CapacityChange(),), size.fault_time_s
        ),
        _inject_faults(
            deployment,
            random.Random(seed + 6),
            (ForeignRows(),),
            size.fault_time_s,
            FOREIGN_ROWS_INTERVAL_S,
        ),
    )
    return sum(counts, start=Counter())


async def _inject_faults(
    deployment: SoakDeployment,
    rng: random.Random,
    faults: Sequence[Fault],
    duration_s: float,
    mean_interval_s: float = MEAN_FAULT_INTERVAL_S,
) -> Counter[str]:
    """Start random faults for some time, wait until all are over and count them."""
    fault_counts: Counter[str] = Counter()
    ends_at = get_loop_time() + duration_s
    injections: list[asyncio.Task[None]] = []
    while get_loop_time() < ends_at:
        fault = rng.choice(faults)
        repetitions = SERIES_LENGTH if rng.random() < REPEATED_SHARE else 1
        fault_counts[fault.name] += repetitions
        injections.append(
            asyncio.ensure_future(_inject_series(fault, deployment, rng, repetitions))
        )
        await asyncio.sleep(rng.expovariate(1 / mean_interval_s))
    await asyncio.gather(*injections)
    return fault_counts


async def _inject_series(
    fault: Fault, deployment: SoakDeployment, rng: random.Random, repetitions: int
) -> None:
    for _ in range(repetitions):
        await fault.inject(deployment, rng)
        await asyncio.sleep(rng.uniform(0, MAX_SERIES_PAUSE_S))
