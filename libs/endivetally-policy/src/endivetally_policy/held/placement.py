"""Chooses the target of a task from the last reports of the agents."""

from collections.abc import Container
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from endivetally_policy.held.resources import Resources

# Tasks that may be queued at an agent beyond its free capacity, as a share of its
# capacity: about one task of 1.6 cores on 16. A freed core then has work at once,
# while the entry still decides the order of nearly the whole queue.
LOOKAHEAD_SHARE: Final = 0.1
# Targets with at least this slowdown are used only when no faster one is free.
SLOWDOWN_LIMIT: Final = 2.5

# A free core in the entry's own data centre counts as much as one and a half in
# another: a message takes 0.1 ms within a data centre and 1.4 ms between two, a
# task 120 ms and more. The bonus prefers the entry's own data centre also when no core
# is free.
LOCAL_FACTOR: Final = 1.5
LOCAL_BONUS: Final = 0.01


@dataclass(slots=True)
class AgentLoad:
    """Load of one target and its agent, as known to an entry.

    :param free: free capacity as last reported, less the tasks sent since.
    :param backlog_cpu: thousandths of a core that the tasks queued at the agent
        need, including those sent since the last report.
    :param slowdown: run times relative to the expected ones.
    :param accepting: whether the agent accepts tasks.
    """

    name: str
    data_centre: str
    capacity: Resources
    free: Resources
    backlog_cpu: int
    slowdown: float
    accepting: bool

    def can_start(self, need: Resources) -> bool:
        """Return whether a task would start immediately."""
        return self.accepting and self.free.covers(need)

    def can_queue(self, need: Resources) -> bool:
        """Return whether a task may be queued at the agent."""
        if not self.accepting or not self.capacity.covers(need):
            return False
        return self.backlog_cpu + need.cpu <= self.capacity.cpu * LOOKAHEAD_SHARE


def choose_agent(
    agents: Iterable[AgentLoad],
    need: Resources,
    data_centre: str,
    avoid: Container[str] = (),
) -> AgentLoad | None:
    """Return the best target for a task, or ``None`` if none can take it now.

    Agents outside of ``avoid`` come first, then targets where the task starts
    immediately, then those that are not slow, then those with the largest free
    share of their capacity. Targets in the entry's own data centre are preferred
    unless others have more than one and a half times their free share.

    :param data_centre: data centre of the entry.
    :param avoid: names of agents where the task failed or was refused.
    """
    candidates = [
        agent for agent in agents if agent.can_start(need) or agent.can_queue(need)
    ]
    if not candidates:
        return None

    return max(candidates, key=lambda agent: _rank(agent, need, data_centre, avoid))


def _rank(
    agent: AgentLoad, need: Resources, data_centre: str, avoid: Container[str]
) -> tuple[float, ...]:
    capacity_cpu = max(agent.capacity.cpu, 1)
    free_share = agent.free.cpu / capacity_cpu
    if agent.data_centre == data_centre:
        free_share = free_share * LOCAL_FACTOR + LOCAL_BONUS
    return (
        agent.name not in avoid,
        agent.can_start(need),
        agent.slowdown < SLOWDOWN_LIMIT,
        free_share - agent.backlog_cpu / capacity_cpu,
    )
