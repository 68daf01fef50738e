"""Order in which the agents of a pool are tried."""

import heapq
from typing import TYPE_CHECKING

from endivetally_policy.ejection import EjectionState

if TYPE_CHECKING:
    from collections.abc import Collection

    from endivetally_core.joining import AgentIdentity

_Rank = tuple[int, bool, bool, int, int, int, float]


class TrackedAgent:
    """State of an agent as one entry tracks it.

    :param remote: whether the agent is in another data centre.
    :param tie_breaker: random number that orders agents of equal rank.
    """

    __slots__ = (
        'admitted',
        'credits',
        'identity',
        'outstanding',
        'rank_version',
        'remote',
        'reported_at',
        'running',
        'slots_used_by_others',
        'state',
        'tie_breaker',
    )

    def __init__(
        self, identity: 'AgentIdentity', remote: bool, tie_breaker: float
    ) -> None:
        self.identity = identity
        self.remote = remote
        self.tie_breaker = tie_breaker
        self.state = 'open'
        self.running = 0
        self.credits = 0
        self.outstanding = 0
        self.admitted = False
        self.slots_used_by_others = 0
        self.reported_at = float('-inf')
        self.rank_version = 0

    @property
    def incarnation(self) -> str:
        """Incarnation of the agent."""
        return self.identity.incarnation

    @property
    def free_slots(self) -> int:
        """Slots not used by other entries, as last reported, nor by this one."""
        return self.identity.slots - self.slots_used_by_others - self.outstanding

    @property
    def is_open(self) -> bool:
        """Whether the agent accepts tasks."""
        return self.state == 'open'


class AgentRanking:
    """Agents with unused credits, the best first.

    The heap holds one current entry for each agent. Entries from before the last
    change of their agent are dropped when they reach the top.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[_Rank, str, int, TrackedAgent]] = []

    def update(
        self,
        agent: TrackedAgent,
        state: EjectionState,
        rack_outstanding: int,
    ) -> None:
        """Rank an agent after a change that increased its `rank_version`.

        :param rack_outstanding: bound tasks that have not ended in its rack.
        """
        rank = (
            int(state),
            agent.free_slots <= 0,
            agent.remote,
            -agent.credits,
            agent.outstanding,
            rack_outstanding,
            agent.tie_breaker,
        )
        entry = (rank, agent.incarnation, agent.rank_version, agent)
        heapq.heappush(self._heap, entry)

    def find_best(self, avoid: 'Collection[str]') -> TrackedAgent | None:
        """Return the best agent that is not in ``avoid``."""
        skipped = []
        best_agent = None
        while self._heap and best_agent is None:
            _, incarnation, version, agent = self._heap[0]
            current = version == agent.rank_version
            if current and incarnation not in avoid:
                best_agent = agent
                continue
            entry = heapq.heappop(self._heap)
            if current:
                skipped.append(entry)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return best_agent
