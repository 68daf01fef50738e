"""Slots that other entries leave free, by fresh reports of the agents."""

import heapq
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Collection

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
        self,
        avoid: 'Collection[str]',
        now: float,
        *,
        admitted: bool,
    ) -> 'TrackedAgent | None':
        """Return the best agent that likely has a free slot.

        :param admitted: only agents that are durable in the journal.
        """
        skipped = []
        agent = self._first(now)
        while agent and not _is_usable(agent, avoid, admitted=admitted):
            skipped.append(heapq.heappop(self._heap))
            agent = self._first(now)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return agent

    def _first(self, now: float) -> 'TrackedAgent | None':
        while self._heap:
            _, _, version, agent = self._heap[0]
            if version == agent.rank_version and _is_fresh(agent, now):
                return agent
            heapq.heappop(self._heap)
        return None


def _is_usable(
    agent: 'TrackedAgent', avoid: 'Collection[str]', *, admitted: bool
) -> bool:
    return agent.incarnation not in avoid and (agent.admitted or not admitted)


def _is_fresh(agent: 'TrackedAgent', now: float) -> bool:
    believed_s = FIRST_SLOT_S + (agent.free - 1) * FURTHER_SLOT_S
    return now <= agent.reported_at + believed_s
