"""Chooses the target of a task from the last reports of the agents."""

import math
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
# A target is suitable for a task if a run of this many times the expected run time
# ends in time: two thirds of the runs take less, with a standard deviation of 0.45 of
# their logarithm. See docs/design/target-rates.md for other factors.
SUITABILITY_FACTOR: Final = 1.2
# Expected end of a queued task relative to one that starts at once: the queue holds
# work for this part of a run. It is the same for each target, so that targets of one
# rate are all suitable or none.
QUEUED_FACTOR: Final = 1 + LOOKAHEAD_SHARE

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
    :param rate: run time to expect relative to a target of rate 1.
    """

    name: str
    data_centre: str
    capacity: Resources
    free: Resources
    backlog_cpu: int
    slowdown: float
    accepting: bool
    rate: float = 1.0

    def can_start(self, need: Resources) -> bool:
        """Return whether a task would start immediately."""
        return self.accepting and self.free.covers(need)

    def can_queue(self, need: Resources) -> bool:
        """Return whether a task may be queued at the agent."""
        if not self.accepting or not self.capacity.covers(need):
            return False
        return self.backlog_cpu + need.cpu <= self.capacity.cpu * LOOKAHEAD_SHARE


def find_suitable_rate(expected_run_s: float, left_s: float) -> float:
    """Return the highest rate of a target at which a task ends in time.

    :param expected_run_s: expected run time on a target of rate 1.
    :param left_s: seconds until the task must have ended.

    >>> find_suitable_rate(1.0, 2.4)
    2.0
    """
    return left_s / (max(expected_run_s, 0.001) * SUITABILITY_FACTOR)


def choose_agent(
    agents: Iterable[AgentLoad],
    need: Resources,
    data_centre: str,
    avoid: Container[str] = (),
    suitable_rate: float = math.inf,
) -> AgentLoad | None:
    """Return the best target for a task, or ``None`` if none can take it now.

    Agents outside of ``avoid`` come first, then targets where the task is expected to
    end in time, then those where it starts immediately, then those that are not slow,
    then those with the largest free share of their capacity. Targets in the entry's
    own data centre are preferred unless others have more than one and a half times
    their free share.

    :param data_centre: data centre of the entry.
    :param avoid: names of agents where the task failed or was refused.
    :param suitable_rate: highest rate at which the task ends in time.
    """
    best: AgentLoad | None = None
    best_rank: tuple[float, ...] = ()
    for agent in agents:
        can_start = agent.can_start(need)
        if can_start or agent.can_queue(need):
            rank = _rank(agent, can_start, data_centre, avoid, suitable_rate)
            if rank > best_rank:
                best = agent
                best_rank = rank
    return best


def _rank(
    agent: AgentLoad,
    can_start: bool,
    data_centre: str,
    avoid: Container[str],
    suitable_rate: float,
) -> tuple[float, ...]:
    capacity_cpu = max(agent.capacity.cpu, 1)
    free_share = agent.free.cpu / capacity_cpu
    if agent.data_centre == data_centre:
        free_share = free_share * LOCAL_FACTOR + LOCAL_BONUS
    rate = agent.rate if can_start else agent.rate * QUEUED_FACTOR
    return (
        agent.name not in avoid,
        rate <= suitable_rate,
        can_start,
        agent.slowdown < SLOWDOWN_LIMIT,
        free_share - agent.backlog_cpu / capacity_cpu,
    )
