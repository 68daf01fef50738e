"""Detects runs that a target lists although their end was reported."""

from collections.abc import Callable
from typing import Final

from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_policy.held import RunEnd

from endivetally_held.jobs import TaskKey
from endivetally_held.runs import EndEvidence
from endivetally_held.runs import Run

# Number of ended runs that are remembered.
REMEMBERED_RUNS: Final = 256


class ReappearanceDetector:
    """Remembers the runs whose end a target has not listed, and reports their return.

    :param clock: returns local monotonic time in seconds.
    """

    def __init__(self, events: EventLog, clock: Callable[[], float]) -> None:
        self._events = events
        self._clock = clock
        # Runs and the times of their end, by task and run number.
        self._ended: dict[tuple[TaskKey, int], tuple[Run, float]] = {}

    def record_end(self, run: Run) -> None:
        """Remember an ended run, unless the target has listed its end."""
        if run.evidence is EndEvidence.LISTED:
            return
        self._ended[run.task, run.run_number] = (run, self._clock())
        if len(self._ended) > REMEMBERED_RUNS:
            self._ended.pop(next(iter(self._ended)))

    def check(self, task: TaskKey, run_number: int, end: RunEnd | None) -> None:
        """Report a remembered run that the target lists, once.

        The end of a run whose lease has expired is expected.

        :param end: the end that the target lists; ``None`` if the run is active.
        """
        if (task, run_number) not in self._ended:
            return
        run, ended_at = self._ended.pop((task, run_number))
        if end is not None and run.evidence is EndEvidence.LEASE_OVER:
            return
        self._events.emit(
            Event.RUN_REAPPEARED,
            task=str(task),
            run=run_number,
            listed='running' if end is None else end.value,
            entry=run.entry,
            evidence=run.evidence.value,
            ended_ms_ago=int((self._clock() - ended_at) * 1000),
        )
