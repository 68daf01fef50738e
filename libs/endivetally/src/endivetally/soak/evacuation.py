"""Data centres that operators empty during a soak test."""

import asyncio
import random
from typing import Final

from endivetally.soak.deployment import DATA_CENTRES
from endivetally.soak.deployment import SoakDeployment
from endivetally.soak.faults import Fault

# Shortest and longest time for which a data centre is emptied.
EMPTIED_RANGE_S: Final = (0.5, 6.0)
# Share of the evacuations that empty all data centres.
ALL_EMPTIED_SHARE: Final = 0.1


class Evacuation(Fault):
    """Operators empty one data centre, or all of them, for some seconds."""

    name = 'evacuation'

    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """Empty data centres and use them again."""
        all_emptied = rng.random() < ALL_EMPTIED_SHARE
        chosen = DATA_CENTRES if all_emptied else [rng.choice(DATA_CENTRES)]
        for data_centre in chosen:
            await deployment.set_evacuated(data_centre, evacuated=True)
        await asyncio.sleep(rng.uniform(*EMPTIED_RANGE_S))
        for emptied in chosen:
            await deployment.set_evacuated(emptied, evacuated=False)
