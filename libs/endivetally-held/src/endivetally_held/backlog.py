"""Runs that wait at an agent for free capacity, the most urgent first."""

from collections.abc import Callable
from collections.abc import Iterator

from endivetally_held.jobs import TaskKey
from endivetally_held.runs import Run


class Backlog:
    """Waiting runs, in the order of the entries' queues.

    Where services compete, runs of started jobs go first, then those of lower ranks.
    Otherwise the order is by the latest start that is in time.
    """

    def __init__(self) -> None:
        self.waiting_cpu = 0
        self._runs: list[Run] = []

    def __len__(self) -> int:
        """Return the number of waiting runs."""
        return len(self._runs)

    def __iter__(self) -> Iterator[Run]:
        """Iterate over a copy, so that runs can be removed during the iteration."""
        return iter(tuple(self._runs))

    def contains(self, task: TaskKey) -> bool:
        """Return whether a run of a task waits."""
        return any(run.task == task for run in self._runs)

    def add(self, run: Run) -> None:
        """Insert a run at its place in the order."""
        self._runs.append(run)
        self._runs.sort(key=_get_order)
        self.waiting_cpu += run.need.cpu

    def remove(self, run: Run) -> None:
        """Remove a run.

        :raises ValueError: when the run does not wait.
        """
        self._runs.remove(run)
        self.waiting_cpu -= run.need.cpu

    def remove_matching(self, predicate: Callable[[Run], bool]) -> list[Run]:
        """Remove and return the runs for which a predicate holds."""
        removed = [run for run in self if predicate(run)]
        for run in removed:
            self.remove(run)
        return removed

    def remove_excess(self, limit_cpu: float) -> list[Run]:
        """Remove and return the least urgent runs until the rest is within a limit.

        :param limit_cpu: thousandths of a core that may wait.
        """
        removed = []
        while self._runs and self.waiting_cpu > limit_cpu:
            removed.append(self._runs[-1])
            self.remove(self._runs[-1])
        return removed


def _get_order(run: Run) -> tuple[bool, float, float]:
    return (not run.job_started, run.rank, run.latest_start_at)
