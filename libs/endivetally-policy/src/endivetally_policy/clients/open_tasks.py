"""Limit for the tasks of jobs that are open at the same time."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OpenTaskLimit:
    """Bounds the memory and the time that the tasks of open jobs take.

    A job may take half of what is free, so that small jobs are admitted while large
    ones fill the memory.

    :param max_tasks: tasks of all open jobs together.
    """

    max_tasks: int

    def admits(self, open_count: int, task_count: int) -> bool:
        """Return whether a job may be opened.

        :param open_count: tasks of the open jobs.
        :param task_count: tasks of the job.

        >>> limit = OpenTaskLimit(1000)
        >>> limit.admits(0, 500), limit.admits(600, 400), limit.admits(990, 1)
        (True, False, True)
        """
        return task_count * 2 <= self.max_tasks - open_count
