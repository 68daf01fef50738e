"""Work that was admitted lately, as the slots that it keeps occupied."""

import math
from dataclasses import dataclass
from typing import Final

REMEMBERED_S: Final = 2.0


@dataclass(slots=True)
class _Rate:
    """Decaying sum of run times.

    :param slots: slots that the work occupies on average.
    :param updated_at: monotonic seconds.
    """

    slots: float = 0
    updated_at: float = 0

    def at(self, now: float) -> float:
        age_s = max(0, now - self.updated_at)
        return self.slots * math.exp(-age_s / REMEMBERED_S)


class AdmittedLoad:
    """Rates by pool and priority."""

    def __init__(self) -> None:
        self._rates: dict[str, dict[int, _Rate]] = {}

    def add(self, pool: str, priority: int, work_s: float, now: float) -> None:
        """Take in admitted work.

        :param work_s: expected run time of all its tasks together.
        """
        rates = self._rates.setdefault(pool, {})
        rate = rates.setdefault(priority, _Rate())
        rate.slots = rate.at(now) + work_s / REMEMBERED_S
        rate.updated_at = now

    def before(self, pool: str, priority: int, now: float) -> float:
        """Return the slots that work of higher priorities occupies.

        >>> rates = AdmittedLoad()
        >>> rates.add('front', 0, 6.0, now=1)
        >>> rates.before('front', 1, now=1), rates.before('front', 0, now=1)
        (3.0, 0.0)
        """
        rates = self._rates.get(pool, {})
        higher = (rate.at(now) for level, rate in rates.items() if level < priority)
        return sum(higher, start=float(0))
