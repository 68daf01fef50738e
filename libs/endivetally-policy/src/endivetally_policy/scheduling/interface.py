"""Interface of the schedulers, which bind queued tasks to agents."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from endivetally_config.operator_config import ServiceKind
    from endivetally_core.joining import AgentIdentity
    from endivetally_core.messages import AttemptId


@dataclass(frozen=True, slots=True)
class PendingTask:
    """One queued attempt at a task.

    :param priority: lower numbers are bound first.
    :param weight: share of the team relative to other teams.
    :param deadline: monotonic seconds.
    :param enqueued_at: monotonic seconds.
    :param exclusive: whether the task may be bound only to admitted agents.
    :param avoided_agents: incarnations of agents where the task failed or was refused.
    :param pool: pool of targets; empty if it has the same name as the service.
    """

    attempt_id: 'AttemptId'
    team: str
    service: str
    kind: 'ServiceKind'
    priority: int
    weight: int
    deadline: float
    enqueued_at: float
    exclusive: bool = False
    avoided_agents: frozenset[str] = frozenset()
    pool: str = ''

    @property
    def target_pool(self) -> str:
        """Name of the pool of targets that may run the task."""
        return self.pool or self.service


@dataclass(frozen=True, slots=True)
class Binding:
    """A task and the agent that it is sent to.

    :param agent: incarnation of the agent.
    :param borrowed: whether the task uses, instead of a credit, a slot that other
        entries left free.
    """

    task: PendingTask
    agent: str
    borrowed: bool = False


@dataclass(frozen=True, slots=True)
class CreditDemand:
    """Request to one agent for start credits.

    :param agent: incarnation of the agent.
    :param waiting: number of queued tasks, divided by the number of agents asked.
    """

    agent: str
    service: str
    waiting: int


@dataclass(frozen=True, slots=True)
class AgentView:
    """State of one agent as known to a scheduler.

    :param credits: start credits that this entry has not used yet.
    :param running: tasks at the target as last reported.
    :param outstanding: tasks that this entry bound to it and that have not ended.
    :param admitted: whether exclusive tasks may be bound to it.
    :param ejected: whether it receives only probes because its tasks failed.
    :param slow: whether it is tried after the others because its tasks take long.
    """

    identity: 'AgentIdentity'
    state: str
    credits: int
    running: int
    outstanding: int
    admitted: bool
    ejected: bool
    slow: bool


class Scheduler(ABC):
    """Decides which queued task is sent to which agent, and when.

    All times are monotonic seconds that the caller passes in.
    """

    @abstractmethod
    def submit(self, task: PendingTask, now: float) -> None:
        """Queue a task until a target is available."""

    @abstractmethod
    def withdraw_request(self, owner: str, sequence: int) -> list[PendingTask]:
        """Remove and return the queued tasks of one request."""

    @abstractmethod
    def add_agent(self, identity: 'AgentIdentity', now: float) -> None:
        """Add an agent that accepts tasks and has granted no credits yet."""

    @abstractmethod
    def remove_agent(self, incarnation: str, now: float) -> None:
        """Remove an agent and its credits."""

    @abstractmethod
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

    @abstractmethod
    def admit_agents(self, incarnations: frozenset[str]) -> None:
        """Allow exclusive tasks on agents whose admission is durable in the journal."""

    @abstractmethod
    def add_credits(self, incarnation: str, count: int, now: float) -> None:
        """Add start credits that an agent granted."""

    @abstractmethod
    def revoke_credits(self, incarnation: str, count: int) -> int:
        """Give back unused credits, at most ``count``; return how many."""

    @abstractmethod
    def update_other_load(self, incarnation: str, used_slots: int, now: float) -> None:
        """Record how many slots of an agent the tasks of other entries use."""

    @abstractmethod
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

    @abstractmethod
    def bind_tasks(self, now: float) -> list[Binding]:
        """Bind queued tasks to agents; each binding uses a credit or a free slot."""

    @abstractmethod
    def collect_demands(self, now: float) -> list[CreditDemand]:
        """Return the credit demands that are due, and count them as sent."""

    @abstractmethod
    def pop_expired(self, now: float) -> list[PendingTask]:
        """Remove and return the queued tasks whose deadline has passed."""

    @abstractmethod
    def count_waiting(self, pool: str) -> int:
        """Return the number of queued tasks of a pool."""

    @abstractmethod
    def count_ahead(
        self,
        pool: str,
        priority: int,
        team: str,
        weight: int,
        count: int,
    ) -> int:
        """Return how many queued tasks would start before the last new one.

        :param weight: share of the team relative to other teams.
        :param count: number of new tasks of the team.
        """

    @abstractmethod
    def count_outstanding(self, pool: str) -> int:
        """Return the number of bound tasks that have not ended."""

    @abstractmethod
    def capacity(self, pool: str) -> int:
        """Return the slots of open agents that are not ejected."""

    @abstractmethod
    def available_capacity(self, pool: str) -> int:
        """Return the part of the capacity that tasks of other entries do not use."""

    @abstractmethod
    def list_agents(self, pool: str) -> list[AgentView]:
        """Return the state of the agents of a pool."""

    @abstractmethod
    def next_wakeup_at(self, now: float) -> float | None:
        """Return when `collect_demands` or `pop_expired` may next return something."""
