"""Runs of former instances of a target that its next instance may still start."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Final

from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_policy.held import RunEnd

from endivetally_held.jobs import TaskKey
from endivetally_held.runs import EndEvidence
from endivetally_held.runs import Run
from endivetally_held.runs import RunState
from endivetally_held.target_client import ActiveRun
from endivetally_held.target_client import Instance

# Time for which a command that was sent to a target may be carried out late.
LONGEST_COMMAND_S: Final = 15.0


def may_start_elsewhere(run: Run, instance: Instance) -> bool:
    """Return whether the next instance with this identifier may start a run.

    Not if the instance has listed it, and so has carried out its start.
    """
    return instance.born_ms is not None and not run.listed


def find_expired_runs(
    runs: Iterable[Run], instance: Instance, now: float
) -> list[tuple[Run, EndEvidence]]:
    """Return the runs that have ended with the lease, and what tells it.

    The next instance may carry out the start of the others, as it is not too late on
    its clock.

    :param now: monotonic time in seconds.
    """
    ended = [
        (run, EndEvidence.LEASE_OVER)
        for run in runs
        if not may_start_elsewhere(run, instance)
    ]
    ended += [
        (run, EndEvidence.WAIT_OVER)
        for run in runs
        if may_start_elsewhere(run, instance)
        and now - run.start_sent_at > LONGEST_COMMAND_S
    ]
    return ended


class UnconfirmedRuns:
    """Holds the ends of runs back until a target refuses their starts.

    A command carries no start of an instance, so the target's next instance accepts
    one that was meant for the former instance. It does not once it has seen the token
    of a new session.

    :param report_end: reports the end of a run.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        report_end: Callable[[Run, RunEnd, float], None],
        events: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._report_end = report_end
        self._events = events
        self._clock = clock
        # The runs, the times by which their starts can't be carried out any more, and
        # the identifiers of their targets.
        self._runs: dict[TaskKey, tuple[Run, float, str]] = {}

    def __contains__(self, task: TaskKey) -> bool:
        """Return whether a run of a task may still start."""
        return task in self._runs

    def add(self, runs: Iterable[Run], instance: Instance) -> None:
        """Add the runs of an instance that has ended or no longer accepts commands."""
        expires_at = self._clock() + LONGEST_COMMAND_S
        added = {run.task: (run, expires_at, instance.target_id) for run in runs}
        if added:
            self._runs.update(added)
            self._events.emit(
                Event.ENDS_WAITING,
                target=instance.target_id,
                born=instance.born_ms,
                runs=[f'{run.task} {run.run_number}' for run, _, _ in added.values()],
                longest_ms=int(LONGEST_COMMAND_S * 1000),
            )

    def confirm(self, target_id: str, running: Iterable[ActiveRun]) -> None:
        """End the runs that the target does not run now.

        :param target_id: identifier of the target that has answered.
        :param running: runs in an answer to a poll with the token of a new session.
        """
        if not self._runs:
            return
        listed = {(each.task, each.run_number) for each in running}
        for run, _, sent_to in list(self._runs.values()):
            if sent_to == target_id and (run.task, run.run_number) not in listed:
                self._end(run, EndEvidence.ABSENT_AT_NEXT_INSTANCE)

    def end_expired(self) -> None:
        """End the runs whose starts can't be carried out any more."""
        now = self._clock()
        for run, expires_at, _ in list(self._runs.values()):
            if expires_at <= now:
                self._end(run, EndEvidence.WAIT_OVER)

    def _end(self, run: Run, evidence: EndEvidence) -> None:
        del self._runs[run.task]
        # A response to the start may have ended it before its session was closed.
        if run.state is RunState.ENDED:
            return
        run.state = RunState.ENDED
        run.evidence = evidence
        self._report_end(run, RunEnd.LOST, 0)
