"""Slots that other entries leave free, by fresh reports of the agents."""

import heapq
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from endivetally_policy.scheduling.interface import PendingTask
    from endivetally_policy.scheduling.ranking import TrackedAgent

FIRST_SLOT_S: Final = 0.01
FURTHER_SLOT_S: Final = 0.05
_Key = tuple[bool, int, float]


class SpareSlots:
    """Agents that reported free slots a moment ago, the best first.

    The more slots were free, the longer the report is believed.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[_Key, str, int, TrackedAgent]] = []

    def update(self, agent: 'TrackedAgent') -> None:
        """Put an agent in its place after its `rank_version` was raised."""
        if agent.free > 0:
            key = (agent.remote, -agent.free, agent.jitter)
            entry = (key, agent.incarnation, agent.rank_version, agent)
            heapq.heappush(self._heap, entry)

    def best(
        self, task: 'PendingTask', now: float, *, least: int
    ) -> 'TrackedAgent | None':
        """Return the best agent that likely has free slots for a task.

        :param least: slots that must be free.
        """
        skipped = []
        agent = self._first(now)
        while agent and not _is_usable(agent, task, now, least):
            skipped.append(heapq.heappop(self._heap))
            agent = self._first(now)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return agent

    def _first(self, now: float) -> 'TrackedAgent | None':
        while self._heap:
            _, _, version, agent = self._heap[0]
            if version == agent.rank_version and _is_fresh(agent, now, 1):
                return agent
            heapq.heappop(self._heap)
        return None


def _is_usable(
    agent: 'TrackedAgent', task: 'PendingTask', now: float, least: int
) -> bool:
    allowed = agent.admitted or not task.exclusive
    avoided = agent.incarnation in task.avoid
    return allowed and not avoided and _is_fresh(agent, now, least)


def _is_fresh(agent: 'TrackedAgent', now: float, least: int) -> bool:
    if agent.free < least:
        return False
    believed_s = FIRST_SLOT_S + (agent.free - least) * FURTHER_SLOT_S
    return now <= agent.reported_at + believed_s
