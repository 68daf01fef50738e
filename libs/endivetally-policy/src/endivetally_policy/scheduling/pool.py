"""Agents and queued tasks of one pool."""

import heapq
from collections import Counter
from typing import TYPE_CHECKING
from typing import Final

from endivetally_policy.ejection import EjectionState
from endivetally_policy.ejection import ServiceHealth
from endivetally_policy.scheduling.demand import DemandSettings
from endivetally_policy.scheduling.demand import DemandTimer
from endivetally_policy.scheduling.fair_queue import FairQueue
from endivetally_policy.scheduling.interface import AgentView
from endivetally_policy.scheduling.interface import Binding
from endivetally_policy.scheduling.interface import CreditDemand
from endivetally_policy.scheduling.priority_reserve import PriorityReserve
from endivetally_policy.scheduling.ranking import AgentRanking
from endivetally_policy.scheduling.ranking import TrackedAgent
from endivetally_policy.scheduling.spare_slots import SpareSlots

if TYPE_CHECKING:
    from endivetally_policy.estimates import RunTimeEstimate
    from endivetally_policy.scheduling.interface import PendingTask

# Maximum number of queued tasks that one pass skips because they must avoid the
# agents that have credits.
_MAX_SKIPPED_TASKS: Final = 16
# Minimum time in seconds between two searches for agents to reinstate.
_REINSTATE_INTERVAL_S: Final = 1.0


class ServicePool:
    """Binds the tasks of one pool to its agents.

    :param name: name of the pool.
    :param estimate: learned run time of the pool's tasks.
    :param health: ejection state of the pool's agents.
    """

    def __init__(
        self,
        name: str,
        estimate: 'RunTimeEstimate',
        health: ServiceHealth,
        demand_settings: DemandSettings,
    ) -> None:
        self.queue = FairQueue()
        self._name = name
        self._estimate = estimate
        self._health = health
        self._fan_out = demand_settings.fan_out
        self._demand_timer = DemandTimer(demand_settings)
        self._agents: dict[str, TrackedAgent] = {}
        self._ranking = AgentRanking()
        self._admitted_ranking = AgentRanking()
        self._spare_slots = SpareSlots()
        self._outstanding_by_rack: Counter[str] = Counter()
        self._outstanding = 0
        self._credits = 0
        self._reserve = PriorityReserve()
        self._running = 0
        self._capacity: int | None = None
        self._reinstated_at = float('-inf')

    @property
    def outstanding(self) -> int:
        """Bound tasks that have not ended."""
        return self._outstanding

    @property
    def capacity(self) -> int:
        """Slots of open agents that are not ejected."""
        if self._capacity is None:
            ejected = self._health.ejected
            self._capacity = sum(
                agent.identity.slots
                for incarnation, agent in self._agents.items()
                if agent.is_open and incarnation not in ejected
            )
        return self._capacity

    @property
    def available_capacity(self) -> int:
        """Part of the capacity that tasks of other entries do not use."""
        others_running = max(0, self._running - self._outstanding)
        return max(0, self.capacity - others_running)

    def list_agents(self) -> list[AgentView]:
        """Return the state of each agent."""
        return [self._view(agent) for agent in self._agents.values()]

    def submit(self, task: 'PendingTask', now: float) -> None:
        """Queue a task until a target is available."""
        self._reserve.record_submission(task.priority, now)
        self.queue.push(task)

    def add_credits(self, agent: TrackedAgent, count: int) -> None:
        """Add start credits of an agent; a negative count removes them."""
        agent.credits += count
        self._credits += count
        self.update_ranking(agent)

    def add_agent(self, agent: TrackedAgent) -> None:
        """Add an agent, which counts as healthy at first."""
        self._agents[agent.incarnation] = agent
        self._health.add_agent(agent.incarnation)
        self._capacity = None

    def remove_agent(self, agent: TrackedAgent) -> None:
        """Remove an agent; its tasks no longer count as outstanding."""
        agent.state = 'closed'
        self.add_credits(agent, -agent.credits)
        self._running -= agent.running
        self._add_outstanding(agent, -agent.outstanding)
        self.update_ranking(agent)
        self._agents.pop(agent.incarnation, None)
        self._health.remove_agent(agent.incarnation)
        self._capacity = None

    def update_ranking(self, agent: TrackedAgent) -> None:
        """Update the rank of an agent after a change of its state."""
        agent.rank_version += 1
        ejection_state = self._health.state_of(agent.incarnation)
        if not agent.is_open or ejection_state is EjectionState.EJECTED:
            return
        if ejection_state is EjectionState.HEALTHY:
            self._spare_slots.update(agent)
        if agent.credits == 0:
            return
        rack_outstanding = self._outstanding_by_rack[agent.identity.rack]
        self._ranking.update(agent, ejection_state, rack_outstanding)
        if agent.admitted:
            self._admitted_ranking.update(agent, ejection_state, rack_outstanding)

    def update_state(self, agent: TrackedAgent, state: str, running: int) -> None:
        """Apply a state report of an agent.

        :param running: tasks at the target.
        """
        self._running += running - agent.running
        agent.running = running
        if state == agent.state:
            return
        agent.state = state
        if not agent.is_open:
            self.add_credits(agent, -agent.credits)
        self._capacity = None
        self.update_ranking(agent)

    def record_outcome(
        self, agent: TrackedAgent, status: str, run_s: float, now: float
    ) -> None:
        """Record how the task of a binding ended."""
        if agent.outstanding:
            self._add_outstanding(agent, -1)
        self._update_health(agent.incarnation, status, run_s, now)
        self.update_ranking(agent)

    def bind_tasks(self, now: float) -> list[Binding]:
        """Bind queued tasks to agents with credits or free slots."""
        self._reinstate(now)
        bindings = []
        skipped: list[PendingTask] = []
        task = self.queue.peek()
        while task is not None and len(skipped) < _MAX_SKIPPED_TASKS:
            binding = self._bind_one(task, now)
            if binding is None and not task.avoided_agents:
                break
            self.queue.pop()
            if binding is None:
                skipped.append(task)
            else:
                bindings.append(binding)
            task = self.queue.peek()
        for skipped_task in reversed(skipped):
            self.queue.push_front(skipped_task)
        self._demand_timer.earn(len(bindings))
        return bindings

    def collect_demands(self, now: float) -> list[CreditDemand]:
        """Return the credit demands that are due, and count them as sent."""
        demand_at = self.next_demand_at()
        if demand_at is None or now < demand_at:
            return []
        waiting = len(self.queue)
        agents = self._agents_to_ask(min(self._fan_out, waiting))
        self._demand_timer.record_sent(len(agents), now)
        return [
            CreditDemand(agent.incarnation, self._name, -(-waiting // len(agents)))
            for agent in agents
        ]

    def next_demand_at(self) -> float | None:
        """Return when the next demand is due, if there are queued tasks and agents."""
        head = self.queue.peek()
        if head is None or not self._agents:
            return None
        return self._demand_timer.due_at(
            head.enqueued_at,
            self._estimate.mean_s,
            self._outstanding,
        )

    def _bind_one(self, task: 'PendingTask', now: float) -> Binding | None:
        agent = self._choose_agent(task, now)
        if agent is not None:
            return self._create_binding(task, agent, borrowed=False)
        # Lower priorities leave one slot of each agent to the highest.
        min_free = 1 if self._reserve.is_highest(task.priority, now) else 2
        agent = self._spare_slots.find_best(task, now, min_free=min_free)
        if agent is not None:
            return self._create_binding(task, agent, borrowed=True)
        return None

    def _is_reserved(self, task: 'PendingTask', now: float) -> bool:
        total = self._credits + self._outstanding
        return self._credits <= self._reserve.reserved_credits(
            task.priority, total, now
        )

    def _choose_agent(self, task: 'PendingTask', now: float) -> TrackedAgent | None:
        if self._is_reserved(task, now):
            return None
        if not task.exclusive:
            probe_agent = self._choose_probe_agent(task, now)
            if probe_agent is not None:
                return probe_agent
        ranking = self._admitted_ranking if task.exclusive else self._ranking
        agent = ranking.find_best(task.avoided_agents)
        if agent is None and task.avoided_agents and self._must_avoid_all(task):
            return ranking.find_best(())
        return agent

    def _choose_probe_agent(
        self, task: 'PendingTask', now: float
    ) -> TrackedAgent | None:
        incarnation = self._health.find_probe_candidate(now)
        if incarnation is None or incarnation in task.avoided_agents:
            return None
        agent = self._agents[incarnation]
        if agent.credits == 0 or not agent.is_open:
            return None
        self._health.start_probe(incarnation)
        return agent

    def _must_avoid_all(self, task: 'PendingTask') -> bool:
        ejected = self._health.ejected
        return all(
            incarnation in task.avoided_agents or incarnation in ejected
            for incarnation, agent in self._agents.items()
            if agent.is_open and (agent.admitted or not task.exclusive)
        )

    def _create_binding(
        self,
        task: 'PendingTask',
        agent: TrackedAgent,
        *,
        borrowed: bool,
    ) -> Binding:
        self._add_outstanding(agent, 1)
        self.add_credits(agent, 0 if borrowed else -1)
        return Binding(task, agent.incarnation, borrowed)

    def _add_outstanding(self, agent: TrackedAgent, count: int) -> None:
        agent.outstanding += count
        self._outstanding += count
        self._outstanding_by_rack[agent.identity.rack] += count

    def _update_health(
        self, incarnation: str, status: str, run_s: float, now: float
    ) -> None:
        before = self._health.state_of(incarnation)
        if status == 'done':
            median_s = self._estimate.p50_s
            self._health.record_success(incarnation, run_s, median_s, now)
        elif status == 'failed':
            self._health.record_failure(incarnation, now)
        else:
            self._health.end_probe(incarnation)
        if self._health.state_of(incarnation) is not before:
            self._capacity = None

    def _reinstate(self, now: float) -> None:
        if now < self._reinstated_at + _REINSTATE_INTERVAL_S:
            return
        self._reinstated_at = now
        for incarnation in self._health.reinstate_expired(now):
            self._capacity = None
            self.update_ranking(self._agents[incarnation])

    def _agents_to_ask(self, count: int) -> list[TrackedAgent]:
        head = self.queue.peek()
        exclusive = head is not None and head.exclusive
        ejected = self._health.ejected
        candidates = [
            agent
            for incarnation, agent in self._agents.items()
            if agent.is_open
            and incarnation not in ejected
            and (agent.admitted or not exclusive)
        ]
        avoid = frozenset() if head is None else head.avoided_agents
        preferred = [agent for agent in candidates if agent.incarnation not in avoid]
        return heapq.nsmallest(count, preferred or candidates, key=_demand_rank)

    def _view(self, agent: TrackedAgent) -> AgentView:
        ejection_state = self._health.state_of(agent.incarnation)
        return AgentView(
            identity=agent.identity,
            state=agent.state,
            credits=agent.credits,
            running=agent.running,
            outstanding=agent.outstanding,
            admitted=agent.admitted,
            ejected=ejection_state is EjectionState.EJECTED,
            slow=ejection_state is EjectionState.SLOW,
        )


def _demand_rank(agent: TrackedAgent) -> tuple[bool, int, float]:
    busy = max(agent.running, agent.outstanding)
    return (agent.remote, busy - agent.identity.slots, agent.tie_breaker)
