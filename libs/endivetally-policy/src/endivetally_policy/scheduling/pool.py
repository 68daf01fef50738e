"""Agents and waiting tasks of one service."""

import heapq
from collections import Counter
from typing import TYPE_CHECKING
from typing import Final

from endivetally_policy.ejection import HealthState
from endivetally_policy.ejection import ServiceHealth
from endivetally_policy.scheduling.demand import DemandSettings
from endivetally_policy.scheduling.demand import DemandTimer
from endivetally_policy.scheduling.fair_queue import FairQueue
from endivetally_policy.scheduling.interface import AgentView
from endivetally_policy.scheduling.interface import Binding
from endivetally_policy.scheduling.interface import CreditDemand
from endivetally_policy.scheduling.ranking import AgentRanking
from endivetally_policy.scheduling.ranking import TrackedAgent
from endivetally_policy.scheduling.reserve import PriorityReserve
from endivetally_policy.scheduling.spare import SpareSlots

if TYPE_CHECKING:
    from endivetally_policy.estimates import RunTimeEstimate
    from endivetally_policy.scheduling.interface import PendingTask

_PASSED_TASKS: Final = 16
_REINSTATE_EVERY_S: Final = 1.0


class ServicePool:
    """Binds the tasks of one service to its agents.

    :param service: name of the service.
    :param estimate: learned run time of the service's tasks.
    :param health: standing of the service's agents.
    """

    def __init__(
        self,
        service: str,
        estimate: 'RunTimeEstimate',
        health: ServiceHealth,
        demand_settings: DemandSettings,
    ) -> None:
        self.queue = FairQueue()
        self._service = service
        self._estimate = estimate
        self._health = health
        self._fan_out = demand_settings.fan_out
        self._timer = DemandTimer(demand_settings)
        self._agents: dict[str, TrackedAgent] = {}
        self._all = AgentRanking()
        self._admitted = AgentRanking()
        self._spare = SpareSlots()
        self._racks: Counter[str] = Counter()
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
    def available(self) -> int:
        """Part of the capacity that the tasks of other entries leave."""
        others_running = max(0, self._running - self._outstanding)
        return max(0, self.capacity - others_running)

    def views(self) -> list[AgentView]:
        """Return what is known of each agent."""
        return [self._view(agent) for agent in self._agents.values()]

    def submit(self, task: 'PendingTask', now: float) -> None:
        """Add a task that waits for a target."""
        self._reserve.submitted(task.priority, now)
        self.queue.push(task)

    def add_credits(self, agent: TrackedAgent, count: int) -> None:
        """Add start credits of an agent; a negative count takes them away."""
        agent.credits += count
        self._credits += count
        self.update_ranking(agent)

    def add_agent(self, agent: TrackedAgent) -> None:
        """Add an agent."""
        self._agents[agent.incarnation] = agent
        self._health.add_agent(agent.incarnation)
        self._capacity = None

    def remove_agent(self, agent: TrackedAgent) -> None:
        """Forget an agent; its tasks are no longer outstanding."""
        agent.state = 'closed'
        self.add_credits(agent, -agent.credits)
        self._running -= agent.running
        self._add_outstanding(agent, -agent.outstanding)
        self.update_ranking(agent)
        self._agents.pop(agent.incarnation, None)
        self._health.remove_agent(agent.incarnation)
        self._capacity = None

    def update_ranking(self, agent: TrackedAgent) -> None:
        """Rank an agent afresh after a change."""
        agent.rank_version += 1
        standing = self._health.state_of(agent.incarnation)
        if not agent.is_open or standing is HealthState.EJECTED:
            return
        if standing is HealthState.HEALTHY:
            self._spare.update(agent)
        if agent.credits == 0:
            return
        rack_outstanding = self._racks[agent.identity.rack]
        self._all.update(agent, standing, rack_outstanding)
        if agent.admitted:
            self._admitted.update(agent, standing, rack_outstanding)

    def update_state(self, agent: TrackedAgent, state: str, running: int) -> None:
        """Take in a state report of an agent."""
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
        """Take in the outcome of a binding."""
        if agent.outstanding:
            self._add_outstanding(agent, -1)
        self._judge(agent.incarnation, status, run_s, now)
        self.update_ranking(agent)

    def bind_tasks(self, now: float) -> list[Binding]:
        """Bind waiting tasks to agents with credits."""
        self._reinstate(now)
        bindings = []
        passed: list[PendingTask] = []
        task = self.queue.peek()
        while task is not None and len(passed) < _PASSED_TASKS:
            binding = self._bind_one(task, now)
            if binding is None and not task.avoid:
                break
            self.queue.pop()
            if binding is None:
                passed.append(task)
            else:
                bindings.append(binding)
            task = self.queue.peek()
        for held in reversed(passed):
            self.queue.restore(held)
        self._timer.bound(len(bindings))
        return bindings

    def collect_demands(self, now: float) -> list[CreditDemand]:
        """Return the credit demands that are due."""
        due_at = self.demand_due_at()
        if due_at is None or now < due_at:
            return []
        waiting = len(self.queue)
        asked = self._askable(min(self._fan_out, waiting))
        self._timer.sent(len(asked), now)
        return [
            CreditDemand(agent.incarnation, self._service, -(-waiting // len(asked)))
            for agent in asked
        ]

    def demand_due_at(self) -> float | None:
        """Return when the next demand is due, if a task waits for one."""
        head = self.queue.peek()
        if head is None or not self._agents:
            return None
        return self._timer.due_at(
            head.enqueued_at,
            self._estimate.mean_s,
            self._outstanding,
        )

    def _bind_one(self, task: 'PendingTask', now: float) -> Binding | None:
        agent = self._pick(task, now)
        if agent is not None:
            return self._assign(task, agent, borrowed=False)
        least = 1 if self._reserve.is_first(task.priority, now) else 2
        agent = self._spare.best(task, now, least=least)
        if agent is not None:
            return self._assign(task, agent, borrowed=True)
        return None

    def _is_reserved(self, task: 'PendingTask', now: float) -> bool:
        held = self._credits + self._outstanding
        return self._credits <= self._reserve.size(task.priority, held, now)

    def _pick(self, task: 'PendingTask', now: float) -> TrackedAgent | None:
        if self._is_reserved(task, now):
            return None
        if not task.exclusive:
            probed = self._probe(task, now)
            if probed is not None:
                return probed
        ranking = self._admitted if task.exclusive else self._all
        agent = ranking.best(task.avoid)
        if agent is None and task.avoid and self._avoids_all(task):
            return ranking.best(())
        return agent

    def _probe(self, task: 'PendingTask', now: float) -> TrackedAgent | None:
        incarnation = self._health.probe_candidate(now)
        if incarnation is None or incarnation in task.avoid:
            return None
        agent = self._agents[incarnation]
        if agent.credits == 0 or not agent.is_open:
            return None
        self._health.probe_started(incarnation)
        return agent

    def _avoids_all(self, task: 'PendingTask') -> bool:
        ejected = self._health.ejected
        return all(
            incarnation in task.avoid or incarnation in ejected
            for incarnation, agent in self._agents.items()
            if agent.is_open and (agent.admitted or not task.exclusive)
        )

    def _assign(
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
        self._racks[agent.identity.rack] += count

    def _judge(self, incarnation: str, status: str, run_s: float, now: float) -> None:
        before = self._health.state_of(incarnation)
        if status == 'done':
            median_s = self._estimate.p50_s
            self._health.record_success(incarnation, run_s, median_s, now)
        elif status == 'failed':
            self._health.record_failure(incarnation, now)
        else:
            self._health.probe_ended(incarnation)
        if self._health.state_of(incarnation) is not before:
            self._capacity = None

    def _reinstate(self, now: float) -> None:
        if now < self._reinstated_at + _REINSTATE_EVERY_S:
            return
        self._reinstated_at = now
        for incarnation in self._health.reinstate_due(now):
            self._capacity = None
            self.update_ranking(self._agents[incarnation])

    def _askable(self, count: int) -> list[TrackedAgent]:
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
        avoid = frozenset() if head is None else head.avoid
        useful = [agent for agent in candidates if agent.incarnation not in avoid]
        return heapq.nsmallest(count, useful or candidates, key=_demand_rank)

    def _view(self, agent: TrackedAgent) -> AgentView:
        standing = self._health.state_of(agent.incarnation)
        return AgentView(
            identity=agent.identity,
            state=agent.state,
            credits=agent.credits,
            running=agent.running,
            outstanding=agent.outstanding,
            admitted=agent.admitted,
            ejected=standing is HealthState.EJECTED,
            slow=standing is HealthState.SLOW,
        )


def _demand_rank(agent: TrackedAgent) -> tuple[bool, int, float]:
    busy = max(agent.running, agent.outstanding)
    return (agent.remote, busy - agent.identity.slots, agent.jitter)
