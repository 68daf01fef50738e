"""Slots that other entries left free, according to recent reports of the agents."""

import heapq
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from endivetally_policy.scheduling.interface import PendingTask
    from endivetally_policy.scheduling.ranking import TrackedAgent

# Seconds for which a report is valid if only the required number of slots was free,
# and additional seconds for each further free slot.
BASE_VALIDITY_S: Final = 0.01
VALIDITY_PER_SLOT_S: Final = 0.05
_Key = tuple[bool, int, float]


class SpareSlots:
    """Agents that recently reported free slots, the best first.

    The more slots were free, the longer a report is valid.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[_Key, str, int, TrackedAgent]] = []

    def update(self, agent: 'TrackedAgent') -> None:
        """Rank an agent after a change that increased its `rank_version`."""
        if agent.free_slots > 0:
            key = (agent.remote, -agent.free_slots, agent.tie_breaker)
            entry = (key, agent.incarnation, agent.rank_version, agent)
            heapq.heappush(self._heap, entry)

    def find_best(
        self, task: 'PendingTask', now: float, *, min_free: int
    ) -> 'TrackedAgent | None':
        """Return the best agent that probably has free slots for a task.

        :param min_free: slots that must be free.
        """
        skipped = []
        agent = self._best_fresh(now)
        while agent and not _is_usable(agent, task, now, min_free):
            skipped.append(heapq.heappop(self._heap))
            agent = self._best_fresh(now)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return agent

    def _best_fresh(self, now: float) -> 'TrackedAgent | None':
        while self._heap:
            _, _, version, agent = self._heap[0]
            if version == agent.rank_version and _is_fresh(agent, now, 1):
                return agent
            heapq.heappop(self._heap)
        return None


def _is_usable(
    agent: 'TrackedAgent', task: 'PendingTask', now: float, min_free: int
) -> bool:
    allowed = agent.admitted or not task.exclusive
    avoided = agent.incarnation in task.avoided_agents
    return allowed and not avoided and _is_fresh(agent, now, min_free)


def _is_fresh(agent: 'TrackedAgent', now: float, min_free: int) -> bool:
    if agent.free_slots < min_free:
        return False
    valid_s = BASE_VALIDITY_S + (agent.free_slots - min_free) * VALIDITY_PER_SLOT_S
    return now <= agent.reported_at + valid_s
