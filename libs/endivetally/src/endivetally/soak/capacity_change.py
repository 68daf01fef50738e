"""Targets whose capacity changes while they run, in a soak test."""

import asyncio
import random
from typing import Final

from endivetally_policy.held import Resources

from endivetally.soak.deployment import TARGET_CAPACITY
from endivetally.soak.deployment import SoakDeployment
from endivetally.soak.faults import DURATION_RANGE_S
from endivetally.soak.faults import Fault

# Capacities that targets shrink or grow to, relative to their usual one.
CAPACITY_SHARES: Final = (0, 0.15, 0.5, 1.5)


class CapacityChange(Fault):
    """The capacity of a target shrinks or grows while it runs, and returns."""

    name = 'target_capacity'

    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """Change the capacity of a random target for some seconds."""
        worker = rng.choice(deployment.agents).worker
        if worker is None:
            return
        share = rng.choice(CAPACITY_SHARES)
        changed = Resources(int(TARGET_CAPACITY.cpu * share), TARGET_CAPACITY.memory_mb)
        worker.instance.change_capacity(changed)
        await asyncio.sleep(rng.uniform(*DURATION_RANGE_S) * 2)
        # A restarted target has the capacity of the former instance.
        worker.instance.change_capacity(TARGET_CAPACITY)
