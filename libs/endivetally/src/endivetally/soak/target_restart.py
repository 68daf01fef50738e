"""Restarts of targets under the same identifier in a soak test."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any
from typing import Final

from endivetally.soak.deployment import SoakDeployment
from endivetally.soak.faults import DURATION_RANGE_S
from endivetally.soak.faults import HELD_COMMANDS
from endivetally.soak.faults import Fault
from endivetally.soak.faults import Kill
from endivetally.soak.faults import LinkPartition
from endivetally.soak.faults import MachineFault
from endivetally.soak.faults import TargetFault

# Shortest and longest time from the end of a target to its restart.
RESTART_RANGE_S: Final = (0.05, 3.0)


class TargetRestart(Fault):
    """A target restarts under the same identifier, often beside another fault.

    Its commands are held, its agent's link is cut, its agent is killed, or it has
    announced its end.
    """

    name = 'target_restart'

    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """Restart the target of a random worker."""
        machine = rng.choice(deployment.agents)
        worker = machine.worker
        if worker is None:
            return
        beside = rng.choice(
            (None, HELD_COMMANDS, LinkPartition('agent'), Kill('agent'), 'leave')
        )
        others: list[Coroutine[Any, Any, None]] = []
        if beside == 'leave':
            await worker.announce_end()
        elif isinstance(beside, MachineFault):
            duration_s = rng.uniform(*DURATION_RANGE_S)
            others.append(beside.inject_into(machine, duration_s, rng))
        elif isinstance(beside, TargetFault):
            others.append(beside.inject_into(worker, rng))
        delay_s = rng.uniform(*RESTART_RANGE_S)
        await asyncio.gather(worker.restart(delay_s), *others)
