"""Attempts that wait at an agent for room, the most urgent first."""

from collections.abc import Callable
from collections.abc import Iterator

from endivetally_held.jobs import TaskKey
from endivetally_held.runs import Run


class Backlog:
    """Waiting attempts in the order of their latest starts."""

    def __init__(self) -> None:
        self.cpu = 0
        self._runs: list[Run] = []

    def __len__(self) -> int:
        """Return the number of waiting attempts."""
        return len(self._runs)

    def __iter__(self) -> Iterator[Run]:
        """Iterate over a copy, which allows to remove."""
        return iter(tuple(self._runs))

    def holds(self, task: TaskKey) -> bool:
        """Return whether an attempt at a task waits."""
        return any(run.task == task for run in self._runs)

    def add(self, run: Run) -> None:
        """Insert an attempt."""
        self._runs.append(run)
        self._runs.sort(key=_start_by)
        self.cpu += run.need.cpu

    def remove(self, run: Run) -> None:
        """Take an attempt out."""
        self._runs.remove(run)
        self.cpu -= run.need.cpu

    def take(self, wanted: Callable[[Run], bool]) -> list[Run]:
        """Take out and return the attempts for which a condition holds."""
        taken = [run for run in self if wanted(run)]
        for run in taken:
            self.remove(run)
        return taken

    def take_excess(self, limit_cpu: float) -> list[Run]:
        """Take out the least urgent attempts beyond a limit.

        :param limit_cpu: thousandths of cores that may wait.
        """
        taken = []
        while self._runs and self.cpu > limit_cpu:
            taken.append(self._runs[-1])
            self.remove(self._runs[-1])
        return taken


def _start_by(run: Run) -> float:
    return run.start_by
