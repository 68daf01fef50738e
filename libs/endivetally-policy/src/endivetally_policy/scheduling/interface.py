"""Interface by which an entry binds waiting tasks to targets."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from endivetally_config.text import ServiceKind
    from endivetally_core.joining import AgentIdentity
    from endivetally_core.messages import AttemptId


@dataclass(frozen=True, slots=True)
class PendingTask:
    """One binding that waits for a target.

    :param priority: lower numbers are bound first.
    :param weight: share of the team relative to other teams.
    :param deadline: monotonic seconds.
    :param enqueued_at: monotonic seconds.
    :param exclusive: bind only to admitted agents.
    :param avoid: incarnations of agents that refused or failed the task.
    :param pool: pool of targets; empty when it is named as the service.
    """

    name: 'AttemptId'
    team: str
    service: str
    kind: 'ServiceKind'
    priority: int
    weight: int
    deadline: float
    enqueued_at: float
    exclusive: bool = False
    avoid: frozenset[str] = frozenset()
    pool: str = ''

    @property
    def target_pool(self) -> str:
        """Pool of targets that may run it."""
        return self.pool or self.service


@dataclass(frozen=True, slots=True)
class Binding:
    """A task and the incarnation of the agent that it goes to.

    :param borrowed: it uses no credit, but a slot that others leave free.
    """

    task: PendingTask
    agent: str
    borrowed: bool = False


@dataclass(frozen=True, slots=True)
class CreditDemand:
    """Request to one agent for start credits."""

    agent: str
    service: str
    waiting: int


@dataclass(frozen=True, slots=True)
class AgentView:
    """What a scheduler knows of one agent.

    :param running: tasks at the target as last reported.
    :param outstanding: tasks that this entry bound to it and that have not ended.
    :param admitted: exclusive tasks may be bound to it.
    :param slow: tried after the others because its tasks take long.
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
    """Decides which waiting task starts where and when.

    All times are monotonic seconds that the caller passes in.
    """

    @abstractmethod
    def submit(self, task: PendingTask, now: float) -> None:
        """Add a task that waits for a target."""

    @abstractmethod
    def withdraw_request(self, owner: str, sequence: int) -> list[PendingTask]:
        """Remove and return the waiting tasks of one request."""

    @abstractmethod
    def add_agent(self, identity: 'AgentIdentity', now: float) -> None:
        """Add an agent, open and without credits."""

    @abstractmethod
    def remove_agent(self, incarnation: str, now: float) -> None:
        """Forget an agent and its credits."""

    @abstractmethod
    def update_agent(
        self,
        incarnation: str,
        state: str,
        running: int,
        now: float,
    ) -> None:
        """Take in a state report; an agent that is not open loses its credits."""

    @abstractmethod
    def admit_agents(self, incarnations: frozenset[str]) -> None:
        """Allow exclusive tasks at agents that are durable in the journal."""

    @abstractmethod
    def add_credits(self, incarnation: str, count: int, now: float) -> None:
        """Add start credits of an agent."""

    @abstractmethod
    def revoke_credits(self, incarnation: str, count: int) -> int:
        """Give up unused credits; return how many."""

    @abstractmethod
    def update_other_load(self, incarnation: str, others: int, now: float) -> None:
        """Take in how many slots the tasks of other entries use at an agent."""

    @abstractmethod
    def record_outcome(
        self,
        incarnation: str,
        service: str,
        status: str,
        run_ms: float,
        now: float,
    ) -> None:
        """Take in the outcome of a binding, with the status of its message."""

    @abstractmethod
    def bind_tasks(self, now: float) -> list[Binding]:
        """Bind waiting tasks; each binding consumes a credit."""

    @abstractmethod
    def collect_demands(self, now: float) -> list[CreditDemand]:
        """Return the credit demands that are due."""

    @abstractmethod
    def pop_expired(self, now: float) -> list[PendingTask]:
        """Remove and return tasks that cannot start before their deadline."""

    @abstractmethod
    def count_waiting(self, pool: str) -> int:
        """Return the number of waiting tasks of a pool."""

    @abstractmethod
    def count_ahead(
        self,
        pool: str,
        priority: int,
        team: str,
        weight: int,
        count: int,
    ) -> int:
        """Return how many waiting tasks start before the last of new ones.

        :param weight: share of the team relative to other teams.
        :param count: number of the new tasks of the team.
        """

    @abstractmethod
    def count_outstanding(self, pool: str) -> int:
        """Return the number of bound tasks that have not ended."""

    @abstractmethod
    def capacity(self, pool: str) -> int:
        """Return the slots of open agents that are not ejected."""

    @abstractmethod
    def available_capacity(self, pool: str) -> int:
        """Return the part of the capacity that other entries' tasks leave."""

    @abstractmethod
    def list_agents(self, pool: str) -> list[AgentView]:
        """Return what is known of the agents of a pool."""

    @abstractmethod
    def next_wakeup_at(self, now: float) -> float | None:
        """Return when `demands` or `expired` may next have something."""
