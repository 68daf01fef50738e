"""Baseline scheduler: a random target at once, whatever its state."""

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
    """Binds every task at once to a random agent of its service.

    It ignores credits, states and failures, and keeps only the rule that
    exclusive tasks go to admitted agents.

    :param seed: seed of the choice.
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._queues: dict[str, FairQueue] = {}
        self._agents: dict[str, dict[str, AgentIdentity]] = {}
        self._services: dict[str, str] = {}
        self._admitted: set[str] = set()

    def submit(self, task: PendingTask, now: float) -> None:
        """Add a task that waits for a target."""
        self._queues.setdefault(task.target_pool, FairQueue()).push(task)

    def withdraw_request(self, owner: str, sequence: int) -> list[PendingTask]:
        """Remove and return the waiting tasks of one request."""
        withdrawn = []
        for queue in self._queues.values():
            withdrawn.extend(queue.withdraw_request(owner, sequence))
        return withdrawn

    def add_agent(self, identity: 'AgentIdentity', now: float) -> None:
        """Add an agent."""
        self._services[identity.incarnation] = identity.service
        known = self._agents.setdefault(identity.service, {})
        known[identity.incarnation] = identity

    def remove_agent(self, incarnation: str, now: float) -> None:
        """Forget an agent."""
        service = self._services.pop(incarnation, None)
        if service is not None:
            self._agents[service].pop(incarnation)

    def update_agent(
        self,
        incarnation: str,
        state: str,
        running: int,
        now: float,
    ) -> None:
        """Ignore the report."""

    def admit_agents(self, incarnations: frozenset[str]) -> None:
        """Allow exclusive tasks at agents that are durable in the journal."""
        self._admitted |= incarnations

    def add_credits(self, incarnation: str, count: int, now: float) -> None:
        """Ignore the credits."""

    def revoke_credits(self, incarnation: str, count: int) -> int:
        """Give back nothing: no credit is kept."""
        return 0

    def update_other_load(self, incarnation: str, others: int, now: float) -> None:
        """Do nothing: load is ignored."""

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
        """Bind every waiting task of a service that has an agent."""
        bindings = []
        for service, queue in self._queues.items():
            bindings.extend(self._bind_service(service, queue))
        return bindings

    def collect_demands(self, now: float) -> list[CreditDemand]:
        """Return nothing: credits are not used."""
        return []

    def pop_expired(self, now: float) -> list[PendingTask]:
        """Remove and return tasks that cannot start before their deadline."""
        expired = []
        for queue in self._queues.values():
            expired.extend(queue.pop_until_deadline(now))
        return expired

    def count_waiting(self, pool: str) -> int:
        """Return the number of waiting tasks of a pool."""
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
        """Return 0: nothing is kept back."""
        return 0

    def count_outstanding(self, pool: str) -> int:
        """Return 0: outcomes are ignored."""
        return 0

    def capacity(self, pool: str) -> int:
        """Return the slots of all agents."""
        identities = self._agents.get(pool, {}).values()
        return sum(identity.slots for identity in identities)

    def available_capacity(self, pool: str) -> int:
        """Return the slots of all agents."""
        return self.capacity(pool)

    def list_agents(self, pool: str) -> list[AgentView]:
        """Return the agents of a pool."""
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
        """Return the earliest deadline of a waiting task."""
        times = [queue.first_deadline() for queue in self._queues.values()]
        return min((time for time in times if time is not None), default=None)

    def _bind_service(self, service: str, queue: FairQueue) -> list[Binding]:
        known = list(self._agents.get(service, ()))
        admitted = [agent for agent in known if agent in self._admitted]
        bindings = []
        passed = []
        while queue:
            task = queue.pop()
            choices = admitted if task.exclusive else known
            if choices:
                bindings.append(Binding(task, self._random.choice(choices)))
            else:
                passed.append(task)
        for task in reversed(passed):
            queue.restore(task)
        return bindings
