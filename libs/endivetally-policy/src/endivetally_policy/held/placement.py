"""Chooses the target of a task from what its agents last told."""

from collections.abc import Container
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from endivetally_policy.held.resources import Resources

# Tasks that wait at an agent beyond its free room, as a share of the capacity:
# about one task of 1.6 cores on 16, so that a freed place has work at once
# while the order of the queue stays with the entry.
LOOKAHEAD_SHARE: Final = 0.1
# A target this much slower than declared times is used when no other is free.
SLOWDOWN_LIMIT: Final = 2.5

# A free core in the own data centre counts as much as one and a half in another:
# a message takes 0.1 ms there and 1.4 ms across, a task 120 ms and more.
LOCAL_FACTOR: Final = 1.5
LOCAL_BONUS: Final = 0.01


@dataclass(slots=True)
class AgentLoad:
    """What an entry believes of one target.

    :param free: free room less the tasks sent since it was told.
    :param backlog_cpu: processors of the tasks that wait at the agent, with
        those sent since.
    :param slowdown: run times relative to the expected ones.
    """

    name: str
    data_centre: str
    capacity: Resources
    free: Resources
    backlog_cpu: int
    slowdown: float
    accepting: bool

    def can_start(self, need: Resources) -> bool:
        """Return whether a task would start at once."""
        return self.accepting and self.free.covers(need)

    def can_queue(self, need: Resources) -> bool:
        """Return whether a task may wait at the agent."""
        if not self.accepting or not self.capacity.covers(need):
            return False
        return self.backlog_cpu + need.cpu <= self.capacity.cpu * LOOKAHEAD_SHARE


def choose_agent(
    rooms: Iterable[AgentLoad],
    need: Resources,
    data_centre: str,
    avoid: Container[str] = (),
) -> AgentLoad | None:
    """Return the best target for a task, if one can take it now.

    Free room goes before waiting, sound and quick targets before slow ones, the
    own data centre before others unless it has less than half the free share.

    :param avoid: names of agents where the task has failed or was refused.
    """
    able = [room for room in rooms if room.can_start(need) or room.can_queue(need)]
    if not able:
        return None

    return max(able, key=lambda room: _rank(room, need, data_centre, avoid))


def _rank(
    room: AgentLoad, need: Resources, data_centre: str, avoid: Container[str]
) -> tuple[float, ...]:
    capacity_cpu = max(room.capacity.cpu, 1)
    share = room.free.cpu / capacity_cpu
    if room.data_centre == data_centre:
        share = share * LOCAL_FACTOR + LOCAL_BONUS
    return (
        room.name not in avoid,
        room.can_start(need),
        room.slowdown < SLOWDOWN_LIMIT,
        share - room.backlog_cpu / capacity_cpu,
    )
