"""State of the held jobs at an entry."""

import asyncio
import enum
from dataclasses import dataclass
from dataclasses import field

from endivetally_config.operator_config import Service
from endivetally_policy.held import RunTimePredictor
from endivetally_policy.held import WaitingJob
from endivetally_policy.held import Work

from endivetally_held.jobs import HeldJob
from endivetally_held.jobs import JobAnswer
from endivetally_held.jobs import Step
from endivetally_held.jobs import TaskKey


class TaskState(enum.Enum):
    """Where a task stands."""

    WAITING = enum.auto()
    SENT = enum.auto()
    DONE = enum.auto()


@dataclass(slots=True, eq=False)
class HeldTask:
    """A task of a held job.

    :param run: number of the newest attempt, from 1.
    :param failures: attempts that failed by the task's own fault.
    :param not_before: steady time before which it is not sent.
    :param avoid: agents where it failed, or that refused it.
    """

    key: TaskKey
    step: Step
    run: int = 1
    failures: int = 0
    state: TaskState = TaskState.WAITING
    not_before: float = 0
    agent: str = ''
    avoid: set[str] = field(default_factory=set)


class Holding:
    """A held job and its tasks.

    :param arrived_at: steady time of its arrival.
    """

    def __init__(
        self,
        job: HeldJob,
        service: Service,
        expected: RunTimePredictor,
        arrived_at: float,
    ) -> None:
        self.job = job
        self.service = service
        self.arrived_at = arrived_at
        self.answered: asyncio.Future[JobAnswer] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiters = 0
        # Attempts that may have run: sent, and not refused since.
        self.touched = 0
        self._run_s = [
            expected.predict(service.name, step.estimate_s) for step in job.steps
        ]
        self.chain_s = self._longest_chain()
        objective_s = service.objective.response_ms / 1000
        self.objective_s = service.stretch * self.chain_s + objective_s
        self.slack_s = self.objective_s - self.chain_s
        self.start_by = arrived_at + self.slack_s
        self.deadline_at = arrived_at + job.timeout_s
        self.tasks = {
            task.key: task
            for number, step in enumerate(job.steps)
            for task in _tasks_of(job, number, step)
        }
        self._waiting = [step.count for step in job.steps]
        self._left = [step.count for step in job.steps]
        self._running_cpu = 0

    @property
    def begun(self) -> bool:
        """Whether a task may have run."""
        return bool(self.touched)

    @property
    def in_queue(self) -> WaitingJob:
        """What its place in the queue depends on."""
        return WaitingJob(self.begun, self.start_by)

    @property
    def complete(self) -> bool:
        """Whether every task is done."""
        return not any(self._left)

    @property
    def waiting(self) -> int:
        """Tasks that wait here."""
        return sum(self._waiting)

    @property
    def waiting_work(self) -> Work:
        """Work of the tasks that wait here."""
        cores: float = 0
        core_s: float = 0
        for number, count in enumerate(self._waiting):
            of_step = count * self.job.steps[number].need.cpu / 1000
            cores += of_step
            core_s += of_step * self._run_s[number]
        return Work(cores, core_s)

    @property
    def running_cores(self) -> float:
        """Cores of the attempts that are under way."""
        return self._running_cpu / 1000

    def expected_s(self, task: HeldTask) -> float:
        """Return the run time to expect of a task."""
        return self._run_s[task.key.step]

    def ready_tasks(self, now: float) -> list[HeldTask]:
        """Return the tasks that may be sent now."""
        return [
            task
            for task in self.tasks.values()
            if task.state is TaskState.WAITING
            and task.not_before <= now
            and not any(self._left[former] for former in task.step.depends_on)
        ]

    def note_sent(self, task: HeldTask, agent: str) -> None:
        """Take in that an attempt was sent to an agent."""
        task.state = TaskState.SENT
        task.agent = agent
        self.touched += 1
        self._waiting[task.key.step] -= 1
        self._running_cpu += task.step.need.cpu

    def note_waiting(self, task: HeldTask) -> None:
        """Take in that an attempt has ended and another has to follow."""
        task.state = TaskState.WAITING
        self._waiting[task.key.step] += 1
        self._running_cpu -= task.step.need.cpu

    def note_done(self, task: HeldTask) -> None:
        """Take in the end of a task."""
        task.state = TaskState.DONE
        self._left[task.key.step] -= 1
        self._running_cpu -= task.step.need.cpu

    def _longest_chain(self) -> float:
        chains: list[float] = []
        for run_s, step in zip(self._run_s, self.job.steps, strict=True):
            before_s = max((chains[former] for former in step.depends_on), default=0)
            chains.append(run_s + before_s)
        return max(chains)


def _tasks_of(job: HeldJob, number: int, step: Step) -> list[HeldTask]:
    return [
        HeldTask(TaskKey(job.identifier, number, index), step)
        for index in range(step.count)
    ]
