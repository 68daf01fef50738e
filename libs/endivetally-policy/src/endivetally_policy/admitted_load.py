"""Load of recently admitted requests, measured in occupied slots."""

import math
from dataclasses import dataclass
from typing import Final

# Time constant of the exponential decay of admitted work, in seconds.
DECAY_S: Final = 2.0


@dataclass(slots=True)
class _DecayingLoad:
    """Exponentially decaying sum of admitted run times.

    :param slots: slots that the admitted work occupies on average.
    :param updated_at: monotonic seconds of the last addition.
    """

    slots: float = 0
    updated_at: float = 0

    def slots_at(self, now: float) -> float:
        age_s = max(0, now - self.updated_at)
        return self.slots * math.exp(-age_s / DECAY_S)


class AdmittedLoad:
    """Load of recently admitted requests, by pool and priority."""

    def __init__(self) -> None:
        self._loads: dict[str, dict[int, _DecayingLoad]] = {}

    def add(self, pool: str, priority: int, work_s: float, now: float) -> None:
        """Record an admitted request.

        :param work_s: sum of the expected run times of its tasks, in seconds.
        """
        loads = self._loads.setdefault(pool, {})
        load = loads.setdefault(priority, _DecayingLoad())
        load.slots = load.slots_at(now) + work_s / DECAY_S
        load.updated_at = now

    def slots_of_higher_priorities(self, pool: str, priority: int, now: float) -> float:
        """Return the slots that admitted work of higher priorities occupies.

        >>> load = AdmittedLoad()
        >>> load.add('front', 0, 6.0, now=1)
        >>> [load.slots_of_higher_priorities('front', each, now=1) for each in (0, 1)]
        [0.0, 3.0]
        """
        loads = self._loads.get(pool, {})
        higher = (
            load.slots_at(now) for other, load in loads.items() if other < priority
        )
        return sum(higher, start=float(0))
