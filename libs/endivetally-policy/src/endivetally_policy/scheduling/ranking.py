"""Order in which the agents of a service are tried."""

import heapq
from typing import TYPE_CHECKING

from endivetally_policy.ejection import HealthState

if TYPE_CHECKING:
    from collections.abc import Collection

    from endivetally_core.joining import AgentIdentity

_Rank = tuple[int, bool, bool, int, int, int, float]


class TrackedAgent:
    """An agent as one entry tracks it.

    :param remote: the agent is in another data centre.
    :param jitter: breaks ties between equal agents.
    """

    __slots__ = (
        'admitted',
        'credits',
        'identity',
        'jitter',
        'others',
        'outstanding',
        'rank_version',
        'remote',
        'reported_at',
        'running',
        'state',
    )

    def __init__(self, identity: 'AgentIdentity', remote: bool, jitter: float) -> None:
        self.identity = identity
        self.remote = remote
        self.jitter = jitter
        self.state = 'open'
        self.running = 0
        self.credits = 0
        self.outstanding = 0
        self.admitted = False
        self.others = 0
        self.reported_at = float('-inf')
        self.rank_version = 0

    @property
    def incarnation(self) -> str:
        """Incarnation of the agent."""
        return self.identity.incarnation

    @property
    def free(self) -> int:
        """Slots that no task used at the last report, less own tasks since."""
        return self.identity.slots - self.others - self.outstanding

    @property
    def is_open(self) -> bool:
        """Whether the agent takes new work."""
        return self.state == 'open'


class AgentRanking:
    """Agents with unused credits, the best first.

    A heap holds one current entry for each agent; entries from before the
    agent's last change are dropped when they come to the top.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[_Rank, str, int, TrackedAgent]] = []

    def update(
        self,
        agent: TrackedAgent,
        standing: HealthState,
        rack_outstanding: int,
    ) -> None:
        """Put an agent in its place after its `rank_version` was raised."""
        rank = (
            int(standing),
            agent.free <= 0,
            agent.remote,
            -agent.credits,
            agent.outstanding,
            rack_outstanding,
            agent.jitter,
        )
        entry = (rank, agent.incarnation, agent.rank_version, agent)
        heapq.heappush(self._heap, entry)

    def best(self, avoid: 'Collection[str]') -> TrackedAgent | None:
        """Return the best agent that is not to be avoided."""
        skipped = []
        found = None
        while self._heap and found is None:
            _, incarnation, version, agent = self._heap[0]
            current = version == agent.rank_version
            if current and incarnation not in avoid:
                found = agent
                continue
            entry = heapq.heappop(self._heap)
            if current:
                skipped.append(entry)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return found
