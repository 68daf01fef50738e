"""Late-binding scheduler: tasks wait until an agent has granted a start credit."""

import random
from typing import TYPE_CHECKING
from typing import Final

from endivetally_policy.ejection import EjectionSettings
from endivetally_policy.ejection import ServiceHealth
from endivetally_policy.estimates import RunTimeEstimates
from endivetally_policy.scheduling.demand import DemandSettings
from endivetally_policy.scheduling.interface import AgentView
from endivetally_policy.scheduling.interface import Binding
from endivetally_policy.scheduling.interface import CreditDemand
from endivetally_policy.scheduling.interface import PendingTask
from endivetally_policy.scheduling.interface import Scheduler
from endivetally_policy.scheduling.pool import ServicePool
from endivetally_policy.scheduling.ranking import TrackedAgent

if TYPE_CHECKING:
    from endivetally_core.joining import AgentIdentity

_MS_PER_S: Final = 1000.0


class CreditScheduler(Scheduler):
    """Queues tasks at the entry until an agent has a slot for them.

    :param data_centre: data centre of the entry; its agents are tried first.
    :param estimates: learned run times, updated from the outcomes of tasks.
    :param seed: seed of the order of agents with equal rank.
    """

    def __init__(
        self,
        data_centre: str,
        estimates: RunTimeEstimates | None = None,
        demand_settings: DemandSettings | None = None,
        ejection_settings: EjectionSettings | None = None,
        seed: int = 0,
    ) -> None:
        self._data_centre = data_centre
        self._estimates = estimates or RunTimeEstimates()
        self._demand_settings = demand_settings or DemandSettings()
        self._ejection_settings = ejection_settings or EjectionSettings()
        self._random = random.Random(seed)
        self._pools: dict[str, ServicePool] = {}
        self._agents: dict[str, TrackedAgent] = {}
        self._admitted: set[str] = set()

    @property
    def estimates(self) -> RunTimeEstimates:
        """Run times learned from the outcomes of tasks."""
        return self._estimates

    def submit(self, task: PendingTask, now: float) -> None:
        """Queue a task until a target is available."""
        self._pool(task.target_pool).submit(task, now)

    def withdraw_request(self, owner: str, sequence: int) -> list[PendingTask]:
        """Remove and return the queued tasks of one request."""
        withdrawn = []
        for pool in self._pools.values():
            withdrawn.extend(pool.queue.withdraw_request(owner, sequence))
        return withdrawn

    def add_agent(self, identity: 'AgentIdentity', now: float) -> None:
        """Add an agent that accepts tasks and has granted no credits yet."""
        self.remove_agent(identity.incarnation, now)
        remote = identity.data_centre != self._data_centre
        agent = TrackedAgent(identity, remote, self._random.random())
        agent.admitted = identity.incarnation in self._admitted
        self._agents[identity.incarnation] = agent
        self._pool(identity.service).add_agent(agent)

    def remove_agent(self, incarnation: str, now: float) -> None:
        """Remove an agent and its credits."""
        agent = self._agents.pop(incarnation, None)
        if agent is not None:
            self._pool(agent.identity.service).remove_agent(agent)

    def update_agent(
        self,
        incarnation: str,
        state: str,
        running: int,
        now: float,
    ) -> None:
        """Apply a state report; an agent that is not open loses its credits.

        :param running: tasks at the target.
        """
        agent = self._agents.get(incarnation)
        if agent is not None:
            self._pool(agent.identity.service).update_state(agent, state, running)

    def admit_agents(self, incarnations: frozenset[str]) -> None:
        """Allow exclusive tasks on agents whose admission is durable in the journal."""
        self._admitted |= incarnations
        for incarnation in incarnations:
            agent = self._agents.get(incarnation)
            if agent is not None:
                agent.admitted = True
                self._pool(agent.identity.service).update_ranking(agent)

    def add_credits(self, incarnation: str, count: int, now: float) -> None:
        """Add start credits that an agent granted."""
        agent = self._agents.get(incarnation)
        if agent is not None and agent.is_open:
            self._pool(agent.identity.service).add_credits(agent, count)

    def revoke_credits(self, incarnation: str, count: int) -> int:
        """Give back unused credits, at most ``count``; return how many."""
        agent = self._agents.get(incarnation)
        if agent is None:
            return 0
        returned = min(count, agent.credits)
        self._pool(agent.identity.service).add_credits(agent, -returned)
        return returned

    def update_other_load(self, incarnation: str, used_slots: int, now: float) -> None:
        """Record how many slots of an agent the tasks of other entries use."""
        agent = self._agents.get(incarnation)
        if agent is not None:
            agent.slots_used_by_others = used_slots
            agent.reported_at = now
            self._pool(agent.identity.service).update_ranking(agent)

    def record_outcome(
        self,
        incarnation: str,
        service: str,
        status: str,
        run_ms: float,
        now: float,
    ) -> None:
        """Record how the task of a binding ended.

        :param status: status of its `Outcome` message.
        """
        if status == 'done':
            self._estimates.observe(service, run_ms)
        agent = self._agents.get(incarnation)
        if agent is not None:
            run_s = run_ms / _MS_PER_S
            if status == 'done' and agent.identity.service != service:
                self._estimates.observe(agent.identity.service, run_ms)
            self._pool(agent.identity.service).record_outcome(agent, status, run_s, now)

    def bind_tasks(self, now: float) -> list[Binding]:
        """Bind queued tasks to agents; each binding uses a credit or a free slot."""
        bindings = []
        for pool in self._pools.values():
            bindings.extend(pool.bind_tasks(now))
        return bindings

    def collect_demands(self, now: float) -> list[CreditDemand]:
        """Return the credit demands that are due, and count them as sent."""
        demands = []
        for pool in self._pools.values():
            demands.extend(pool.collect_demands(now))
        return demands

    def pop_expired(self, now: float) -> list[PendingTask]:
        """Remove and return the queued tasks whose deadline has passed."""
        expired = []
        for pool in self._pools.values():
            expired.extend(pool.queue.pop_expired(now))
        return expired

    def count_waiting(self, pool: str) -> int:
        """Return the number of queued tasks of a pool."""
        known = self._pools.get(pool)
        return 0 if known is None else len(known.queue)

    def count_ahead(
        self,
        pool: str,
        priority: int,
        team: str,
        weight: int,
        count: int,
    ) -> int:
        """Return how many queued tasks would start before the last new one."""
        known = self._pools.get(pool)
        if known is None:
            return 0
        return known.queue.count_ahead(priority, team, weight, count)

    def count_outstanding(self, pool: str) -> int:
        """Return the number of bound tasks that have not ended."""
        known = self._pools.get(pool)
        return 0 if known is None else known.outstanding

    def capacity(self, pool: str) -> int:
        """Return the slots of open agents that are not ejected."""
        known = self._pools.get(pool)
        return 0 if known is None else known.capacity

    def available_capacity(self, pool: str) -> int:
        """Return the part of the capacity that tasks of other entries do not use."""
        known = self._pools.get(pool)
        return 0 if known is None else known.available_capacity

    def list_agents(self, pool: str) -> list[AgentView]:
        """Return the state of the agents of a pool."""
        known = self._pools.get(pool)
        return [] if known is None else known.list_agents()

    def next_wakeup_at(self, now: float) -> float | None:
        """Return when `collect_demands` or `pop_expired` may next return something."""
        times = []
        for pool in self._pools.values():
            times.append(pool.next_demand_at())
            times.append(pool.queue.earliest_deadline())
        return min((time for time in times if time is not None), default=None)

    def _pool(self, name: str) -> ServicePool:
        if name not in self._pools:
            self._pools[name] = ServicePool(
                name,
                self._estimates.estimate_for(name),
                ServiceHealth(self._ejection_settings),
                self._demand_settings,
            )
        return self._pools[name]
