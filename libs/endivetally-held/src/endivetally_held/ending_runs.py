"""Runs that may still be active although the entry has closed their jobs."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from endivetally_held.jobs import TaskKey
from endivetally_held.open_job import OpenJob
from endivetally_held.open_job import TaskState


@dataclass(slots=True)
class _EndingRun:
    """A run whose end is not known.

    :param ends_by: monotonic time by which the run has ended; infinite while its agent
        is connected, as the agent will report the end.
    """

    agent: str
    run_number: int
    ends_by: float


class EndingRuns:
    """Runs of closed jobs until they have ended; their tasks must not run meanwhile.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._runs: dict[TaskKey, _EndingRun] = {}

    def __len__(self) -> int:
        """Return the number of runs whose end is not known."""
        return len(self._runs)

    def __contains__(self, task: TaskKey) -> bool:
        """Return whether a run of a task may still be active."""
        run = self._runs.get(task)
        return run is not None and self._clock() < run.ends_by

    def add_runs_of(self, open_job: OpenJob) -> None:
        """Add the runs that may outlive a job that is being closed."""
        now = self._clock()
        for task in open_job.tasks.values():
            if task.state is TaskState.SENT:
                run = _EndingRun(task.agent, task.run_number, math.inf)
            elif task.state is TaskState.WAITING and task.not_before > now:
                # The number was raised when the former run became unreachable.
                run = _EndingRun(task.agent, task.run_number - 1, task.not_before)
            else:
                continue
            self._runs[task.key] = run

    def record_end(self, task: TaskKey, run_number: int) -> None:
        """Remove a run that has ended."""
        run = self._runs.get(task)
        if run is not None and run.run_number == run_number:
            del self._runs[task]

    def record_lost_agent(self, agent: str, ends_by: float) -> None:
        """Record that the ends of an agent's runs won't be reported.

        :param ends_by: time by which these runs have ended.
        """
        for run in self._runs.values():
            if run.agent == agent:
                run.ends_by = min(run.ends_by, ends_by)

    def remove_expired(self) -> None:
        """Remove the runs of lost agents that have ended by now."""
        now = self._clock()
        expired = [task for task, run in self._runs.items() if run.ends_by <= now]
        for task in expired:
            del self._runs[task]
