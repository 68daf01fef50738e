"""Baseline scheduler, which binds tasks immediately to random agents."""

import random
from typing import TYPE_CHECKING

from endivetally_policy.scheduling.fair_queue import FairQueue
from endivetally_policy.scheduling.interface import AgentView
from endivetally_policy.scheduling.interface import Binding
from endivetally_policy.scheduling.interface import CreditDemand
from endivetally_policy.scheduling.interface import PendingTask
from endivetally_policy.scheduling.interface import Scheduler

if TYPE_CHECKING:
    from endivetally_core.joining import AgentIdentity


class NaiveScheduler(Scheduler):
    """Binds every task immediately to a random agent of its pool.

    Credits, states, load and failures are ignored. The only rule is that
    exclusive tasks go to admitted agents.

    :param seed: seed of the random choice.
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._queues: dict[str, FairQueue] = {}
        self._agents: dict[str, dict[str, AgentIdentity]] = {}
        self._pool_names: dict[str, str] = {}
        self._admitted: set[str] = set()

    def submit(self, task: PendingTask, now: float) -> None:
        """Queue a task until a target is available."""
        self._queues.setdefault(task.target_pool, FairQueue()).push(task)

    def withdraw_request(self, owner: str, sequence: int) -> list[PendingTask]:
        """Remove and return the queued tasks of one request."""
        withdrawn = []
        for queue in self._queues.values():
            withdrawn.extend(queue.withdraw_request(owner, sequence))
        return withdrawn

    def add_agent(self, identity: 'AgentIdentity', now: float) -> None:
        """Add an agent."""
        self._pool_names[identity.incarnation] = identity.service
        known = self._agents.setdefault(identity.service, {})
        known[identity.incarnation] = identity

    def remove_agent(self, incarnation: str, now: float) -> None:
        """Remove an agent."""
        pool_name = self._pool_names.pop(incarnation, None)
        if pool_name is not None:
            self._agents[pool_name].pop(incarnation)

    def update_agent(
        self,
        incarnation: str,
        state: str,
        running: int,
        now: float,
    ) -> None:
        """Ignore the report."""

    def admit_agents(self, incarnations: frozenset[str]) -> None:
        """Allow exclusive tasks on agents whose admission is durable in the journal."""
        self._admitted |= incarnations

    def add_credits(self, incarnation: str, count: int, now: float) -> None:
        """Ignore the credits."""

    def revoke_credits(self, incarnation: str, count: int) -> int:
        """Return 0: credits are not used."""
        return 0

    def update_other_load(self, incarnation: str, used_slots: int, now: float) -> None:
        """Ignore the load."""

    def record_outcome(
        self,
        incarnation: str,
        service: str,
        status: str,
        run_ms: float,
        now: float,
    ) -> None:
        """Ignore the outcome."""

    def bind_tasks(self, now: float) -> list[Binding]:
        """Bind every queued task whose pool has a suitable agent."""
        bindings = []
        for pool_name, queue in self._queues.items():
            bindings.extend(self._bind_pool(pool_name, queue))
        return bindings

    def collect_demands(self, now: float) -> list[CreditDemand]:
        """Return an empty list: credits are not used."""
        return []

    def pop_expired(self, now: float) -> list[PendingTask]:
        """Remove and return the queued tasks whose deadline has passed."""
        expired = []
        for queue in self._queues.values():
            expired.extend(queue.pop_expired(now))
        return expired

    def count_waiting(self, pool: str) -> int:
        """Return the number of queued tasks of a pool."""
        queue = self._queues.get(pool)
        return 0 if queue is None else len(queue)

    def count_ahead(
        self,
        pool: str,
        priority: int,
        team: str,
        weight: int,
        count: int,
    ) -> int:
        """Return 0: tasks are bound immediately."""
        return 0

    def count_outstanding(self, pool: str) -> int:
        """Return 0: bound tasks are not tracked."""
        return 0

    def capacity(self, pool: str) -> int:
        """Return the slots of all agents."""
        identities = self._agents.get(pool, {}).values()
        return sum(identity.slots for identity in identities)

    def available_capacity(self, pool: str) -> int:
        """Return the slots of all agents."""
        return self.capacity(pool)

    def list_agents(self, pool: str) -> list[AgentView]:
        """Return the agents of a pool; all are shown as idle, open and healthy."""
        return [
            AgentView(
                identity=identity,
                state='open',
                credits=0,
                running=0,
                outstanding=0,
                admitted=incarnation in self._admitted,
                ejected=False,
                slow=False,
            )
            for incarnation, identity in self._agents.get(pool, {}).items()
        ]

    def next_wakeup_at(self, now: float) -> float | None:
        """Return the earliest deadline of a queued task."""
        times = [queue.earliest_deadline() for queue in self._queues.values()]
        return min((time for time in times if time is not None), default=None)

    def _bind_pool(self, pool_name: str, queue: FairQueue) -> list[Binding]:
        known = list(self._agents.get(pool_name, ()))
        admitted = [agent for agent in known if agent in self._admitted]
        bindings = []
        unbound = []
        while queue:
            task = queue.pop()
            candidates = admitted if task.exclusive else known
            if candidates:
                bindings.append(Binding(task, self._random.choice(candidates)))
            else:
                unbound.append(task)
        for task in reversed(unbound):
            queue.push_front(task)
        return bindings
