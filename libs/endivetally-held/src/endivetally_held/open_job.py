"""State of a held job that an entry has not answered yet."""

import asyncio
import enum
from dataclasses import dataclass
from dataclasses import field

from endivetally_config.operator_config import Service
from endivetally_policy.held import Competition
from endivetally_policy.held import QueuedJob
from endivetally_policy.held import RunTimePredictor
from endivetally_policy.held import WaitingJob
from endivetally_policy.held import Work

from endivetally_held.jobs import HeldJob
from endivetally_held.jobs import JobResponse
from endivetally_held.jobs import Step
from endivetally_held.jobs import TaskKey


class TaskState(enum.Enum):
    """Progress of a task as the entry knows it."""

    WAITING = enum.auto()
    SENT = enum.auto()
    DONE = enum.auto()


@dataclass(slots=True, eq=False)
class HeldTask:
    """A task of a held job.

    :param run_number: number of the newest run, from 1.
    :param failure_count: number of runs that ended because the task itself failed.
    :param not_before: monotonic time in seconds before which the task is not sent.
    :param agent: agent that the newest run was sent to.
    :param avoided_agents: agents where the task failed or that refused it.
    :param required_agent: agent where an earlier run of the task has not ended, so that
        it must not run elsewhere; empty if there is none.
    :param rate: rate of the target that the newest run was sent to.
    """

    key: TaskKey
    step: Step
    run_number: int = 1
    failure_count: int = 0
    state: TaskState = TaskState.WAITING
    not_before: float = 0
    agent: str = ''
    avoided_agents: set[str] = field(default_factory=set)
    required_agent: str = ''
    rate: float = 1.0


class OpenJob:
    """A held job that has no response yet, and its tasks.

    :param predictor: predicts run times from the declared ones.
    :param arrived_at: monotonic time of the arrival in seconds.
    :param competition: ranks the job where services of different priorities compete.
    :ivar objective_s: response time objective; grows with the critical path.
    :ivar slack_s: seconds that the job may be queued and still meet the objective.
    :ivar total_core_s: expected work of all tasks in core-seconds.
    :ivar waiting_count: number of tasks that are not sent to an agent.
    """

    def __init__(
        self,
        job: HeldJob,
        service: Service,
        predictor: RunTimePredictor,
        arrived_at: float,
        competition: Competition,
    ) -> None:
        self.job = job
        self.service = service
        self.arrived_at = arrived_at
        self.response: asyncio.Future[JobResponse] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiter_count = 0
        # Runs that may have started: sent to an agent and not refused since.
        self.possible_run_count = 0
        # Whether an agent has refused a task because an earlier run of it is there, or
        # a target has crashed under one.
        self.has_former_run = False
        self._expected_run_s = [
            predictor.predict(service.name, step.estimate_s) for step in job.steps
        ]
        self._path_lengths_s = self._compute_path_lengths()
        self.critical_path_s = max(self._path_lengths_s)
        objective_s = service.objective.response_ms / 1000
        self.objective_s = service.stretch * self.critical_path_s + objective_s
        self.slack_s = self.objective_s - self.critical_path_s
        self.latest_start_at = arrived_at + self.slack_s
        self.deadline_at = arrived_at + job.timeout_s
        self.tasks = {
            task.key: task
            for number, step in enumerate(job.steps)
            for task in _create_tasks(job, number, step)
        }
        self._waiting_counts = [step.count for step in job.steps]
        self.waiting_count = sum(self._waiting_counts)
        self._unfinished_counts = [step.count for step in job.steps]
        self._running_cpu: float = 0
        self._competition = competition
        self.total_core_s = self.waiting_work.core_s
        # Computed once, since each arrival and dispatch compares the open jobs.
        self._cost = competition.cost(service.name, self.total_core_s)

    @property
    def has_started(self) -> bool:
        """Whether a task may have run for this copy of the job."""
        return bool(self.possible_run_count)

    @property
    def may_have_run(self) -> bool:
        """Whether a task may have run, also for an earlier copy at another entry."""
        return self.has_started or self.has_former_run

    @property
    def waiting_job(self) -> WaitingJob:
        """The part of the state that determines the position in the queue."""
        return WaitingJob(self.has_started, self.latest_start_at, self.rank or 0)

    @property
    def queued_job(self) -> QueuedJob:
        """The part of the state that determines whether the job is displaced."""
        return QueuedJob(
            self.job.identifier, self.rank or 0, self.latest_start_at, self.waiting_work
        )

    @property
    def rank(self) -> float | None:
        """Rank of the job, or ``None`` where services do not compete.

        A new configuration changes the ranks of the jobs that arrive after it.
        """
        if self._cost is None:
            return None
        underserved = self._competition.is_underserved(self.service.name)
        return -1 / self._cost if underserved else self._cost

    @property
    def order(self) -> tuple[float, float]:
        """Sort key among the queued jobs that have not started."""
        return (self.rank or 0, self.latest_start_at)

    @property
    def is_complete(self) -> bool:
        """Whether every task is done."""
        return not any(self._unfinished_counts)

    @property
    def waiting_work(self) -> Work:
        """Cores and core seconds that the waiting tasks need."""
        cores: float = 0
        core_s: float = 0
        for number, count in enumerate(self._waiting_counts):
            step_cores = count * self.job.steps[number].need.cpu / 1000
            cores += step_cores
            core_s += step_cores * self._expected_run_s[number]
        return Work(cores, core_s)

    @property
    def running_cores(self) -> float:
        """Cores of the tasks that are sent to agents and have not ended, by rate."""
        return self._running_cpu / 1000

    def core_s(self, task: HeldTask) -> float:
        """Return the predicted work of a task in core-seconds."""
        return task.step.need.cpu / 1000 * self.expected_run_s(task)

    def end_by(self, task: HeldTask) -> float:
        """Return the time by which a task must end for the job to be in time."""
        return self.latest_start_at + self._path_lengths_s[task.key.step]

    def expected_run_s(self, task: HeldTask) -> float:
        """Return the predicted run time of a task in seconds."""
        return self._expected_run_s[task.key.step]

    def find_ready_tasks(self, now: float) -> list[HeldTask]:
        """Return the waiting tasks whose steps and retry delays allow a run now."""
        return [
            task
            for task in self.tasks.values()
            if task.state is TaskState.WAITING
            and task.not_before <= now
            and not any(
                self._unfinished_counts[index] for index in task.step.depends_on
            )
        ]

    def record_sent(self, task: HeldTask, agent: str, rate: float = 1) -> None:
        """Record that a run of a task was sent to an agent.

        :param rate: rate of the agent's target.
        """
        task.state = TaskState.SENT
        task.agent = agent
        task.rate = rate
        task.required_agent = ''
        self.possible_run_count += 1
        self._waiting_counts[task.key.step] -= 1
        self.waiting_count -= 1
        self._running_cpu += task.step.need.cpu / task.rate

    def record_requeued(self, task: HeldTask) -> None:
        """Record that a run has ended and the task has to run again."""
        task.state = TaskState.WAITING
        self._waiting_counts[task.key.step] += 1
        self.waiting_count += 1
        self._running_cpu -= task.step.need.cpu / task.rate

    def record_lost_agent(self, agent: str, runs_end_by: float) -> None:
        """Let the tasks that must wait for an agent's runs run elsewhere later.

        :param runs_end_by: time by which the runs at the lost agent have ended.
        """
        for task in self.tasks.values():
            if task.required_agent == agent:
                task.required_agent = ''
                task.not_before = runs_end_by

    def record_done(self, task: HeldTask) -> None:
        """Record that a task is done."""
        task.state = TaskState.DONE
        self._unfinished_counts[task.key.step] -= 1
        self._running_cpu -= task.step.need.cpu / task.rate

    def _compute_path_lengths(self) -> list[float]:
        path_lengths_s: list[float] = []
        for run_s, step in zip(self._expected_run_s, self.job.steps, strict=True):
            before_s = max(
                (path_lengths_s[index] for index in step.depends_on), default=0
            )
            path_lengths_s.append(run_s + before_s)
        return path_lengths_s


def _create_tasks(job: HeldJob, step_number: int, step: Step) -> list[HeldTask]:
    return [
        HeldTask(TaskKey(job.identifier, step_number, task_number), step)
        for task_number in range(step.count)
    ]
