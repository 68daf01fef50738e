"""Simulates a first-come, first-served queue, with which dispatch is compared.

One queue feeds all slots of a pool. Only the tasks and the minimum overhead of a
request take time. A dispatcher could only do better by running shorter tasks
first, but run times are not known in advance.
"""

import heapq
from typing import Final

from endivetally.load.mix import Arrival
from endivetally.load.report import RATIO_SCALE
from endivetally.load.report import Percentiles
from endivetally.load.report import ideal_ms
from endivetally.load.report import new_histogram
from endivetally.load.report import percentiles

_MS_PER_S: Final = 1000


def simulate_fcfs(
    arrivals: list[Arrival],
    slots: int,
    overhead_ms: float,
) -> dict[str, Percentiles]:
    """Return the response ratios of one queue for all slots of a pool, by service.

    :param arrivals: requests of all services of the pool, in order of arrival.
    :param slots: number of slots of the pool.
    :param overhead_ms: minimum overhead of a request, in milliseconds.
    """
    free_at_ms = [float(0) for _ in range(slots)]
    ratios = {arrival.service: new_histogram() for arrival in arrivals}
    for arrival in arrivals:
        ended_ms = _run_tasks(arrival, free_at_ms)
        response_ms = ended_ms - arrival.at_s * _MS_PER_S + overhead_ms
        ratio = response_ms / ideal_ms(arrival, slots, overhead_ms)
        ratios[arrival.service].record_value(round(ratio * RATIO_SCALE))
    return {
        service: percentiles(histogram, RATIO_SCALE)
        for service, histogram in ratios.items()
    }


def _run_tasks(arrival: Arrival, free_at_ms: list[float]) -> float:
    ended_ms = float(0)
    for run_ms in arrival.run_ms:
        started_ms = max(free_at_ms[0], arrival.at_s * _MS_PER_S)
        heapq.heapreplace(free_at_ms, started_ms + run_ms)
        ended_ms = max(ended_ms, started_ms + run_ms)
    return ended_ms
