"""Runs of tasks as an agent tracks them."""

import enum
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any
from typing import Final

from endivetally_policy.held import SLOW_LOG_ODDS
from endivetally_policy.held import SUSPECT_INTERVAL_S
from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd
from endivetally_policy.held import slow_log_odds

from endivetally_held.jobs import TaskKey
from endivetally_held.target_client import PollResult

# A run without progress for this many seconds, and for this many times its expected
# run time, has stalled.
MIN_STALL_S: Final = 0.5
STALL_FACTOR: Final = 1.5
# At less progress the run time can't be extrapolated.
MIN_PROGRESS_PERCENT: Final = 5
# A run is moved when its remaining time here is expected to take this many times a
# whole run on a healthy target.
MOVE_THRESHOLD: Final = 1.5
FULL_PROGRESS_PERCENT: Final = 100


class RunState(enum.Enum):
    """Lifecycle of a run."""

    WAITING = enum.auto()
    STARTING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()
    ENDED = enum.auto()


class EndEvidence(enum.StrEnum):
    """What an agent concluded the end of a run from.

    ``LISTED``: the target listed the end. ``START_REFUSED``: the target refused the
    start. ``ABSENT_AFTER_START``, ``ABSENT_AFTER_STOP``, ``ABSENT_AFTER_DEADLINE``: a
    poll did not list the run, after an accepted start, an accepted stop, or the time
    from which the target refuses the start. ``LEASE_OVER``: the lease has expired
    without a response of the target. ``SESSION_LOST``: the target instance has ended
    or rejects this agent's commands. ``INSTANCE_ENDED``: the target instance that had
    listed the run has ended. ``ABSENT_AT_NEXT_INSTANCE``: a later session with the
    target did not list the run, and its token fences the start. ``WAIT_OVER``: the
    start can't be carried out any more.
    """

    LISTED = 'listed'
    START_REFUSED = 'start_refused'
    ABSENT_AFTER_START = 'absent_after_start'
    ABSENT_AFTER_STOP = 'absent_after_stop'
    ABSENT_AFTER_DEADLINE = 'absent_after_deadline'
    LEASE_OVER = 'lease_over'
    SESSION_LOST = 'session_lost'
    INSTANCE_ENDED = 'instance_ended'
    ABSENT_AT_NEXT_INSTANCE = 'absent_at_next_instance'
    WAIT_OVER = 'wait_over'


@dataclass(slots=True, eq=False)
class Run:
    """One attempt to run a task; all times are monotonic, in seconds.

    :param entry: incarnation of the entry that requested the run.
    :param latest_start_at: a later start misses the job's response time objective;
        runs with lower values start first.
    :param expires_at: time from which the run must not start any more.
    :param start_sent_at: time of the start command.
    :param start_expires_at_ms: time on the target's clock from which it refuses the
        start command.
    :param settled_at: time since which a run that the target does not list can't start
        any more; 0 while it can.
    :param rate: rate by which the run time is judged.
    :param evidence: what the end was concluded from, or would be if the next poll did
        not list the run.
    :param observed: whether the target accepted the run or listed it.
    :param listed: whether the target listed it, and so has carried out its start.
    :param end_if_stopped: end to report once the run has stopped.
    :param progressed_at: time of the last increase of the progress.
    :param stop_overdue_at: time from which the lease is not renewed unless the target
        has accepted the stop that the entry requested.
    :param rank: position among the waiting runs, before the latest start; 0 where
        services do not compete.
    :param job_started: whether another task of the job has started before.
    :param service: name of the service of the job.
    :param suspect: whether the run may crash the target.
    """

    task: TaskKey
    run_number: int
    entry: str
    payload: str
    need: Resources
    expected_run_s: float
    latest_start_at: float
    expires_at: float
    state: RunState = RunState.WAITING
    start_sent_at: float = 0
    start_expires_at_ms: int = 0
    settled_at: float = 0
    evidence: EndEvidence = EndEvidence.ABSENT_AFTER_DEADLINE
    observed: bool = False
    listed: bool = False
    end_if_stopped: RunEnd = RunEnd.STOPPED
    progress_percent: int = 0
    progressed_at: float = 0
    stop_overdue_at: float = math.inf
    rank: float = 0
    job_started: bool = False
    rate: float = 1.0
    service: str = ''
    suspect: bool = False

    @property
    def expected_here_s(self) -> float:
        """Expected run time on this target, in seconds."""
        return self.expected_run_s * self.rate

    def confirm_start(self, now: float) -> bool:
        """Record that the target has started the run.

        Return ``False`` if it is being stopped, so that the stop decides.
        """
        if self.state is not RunState.STARTING:
            return False
        self.settle(now, EndEvidence.ABSENT_AFTER_START)
        self.state = RunState.RUNNING
        return True

    def settle(self, now: float, evidence: EndEvidence) -> None:
        """Record that the run has started, or can't start any more.

        An end that was reported keeps what it was concluded from.

        :param evidence: what tells this.
        """
        self.settled_at = now
        if self.state is not RunState.ENDED:
            self.evidence = evidence


def may_never_have_started(run: Run) -> bool:
    """Return whether a run may never have started although it was commanded.

    The target never lists the end of such a run.
    """
    return bool(run.settled_at) and not run.observed


def settle_expired_starts(runs: Iterable[Run], clock_ms: int, now: float) -> None:
    """Settle the runs whose start the target refuses from now on.

    :param clock_ms: the target's clock, in its newest response.
    """
    for run in runs:
        if not run.settled_at and run.start_expires_at_ms < clock_ms:
            run.settle(now, EndEvidence.ABSENT_AFTER_DEADLINE)


def record_unread_rows(runs: Iterable[Run], poll_result: PollResult) -> None:
    """Count all runs as observed after a poll with rows that were not understood.

    Any run may be the one of such a row.
    """
    if not (poll_result.complete and poll_result.ends_complete):
        for run in runs:
            run.observed = True


def has_recent_suspect(runs: Iterable[Run], now: float) -> bool:
    """Return whether one of the runs may still crash the target, so no other begins."""
    since = now - SUSPECT_INTERVAL_S
    return any(run.suspect and run.start_sent_at > since for run in runs)


def is_stop_overdue(run: Run, now: float, *, entry_silent: bool = False) -> bool:
    """Return whether the lease of a run must expire for the run to end in time.

    :param entry_silent: whether the entry may have been killed without a sign of it.
    """
    accepted = run.evidence is EndEvidence.ABSENT_AFTER_STOP
    return (entry_silent or run.stop_overdue_at <= now) and not accepted


def describe_command(run: Run, took_s: float) -> dict[str, Any]:
    """Return the fields of an event about a command.

    :param took_s: seconds since the command was sent.
    """
    return {
        'task': str(run.task),
        'run': run.run_number,
        'took_ms': int(took_s * 1000),
    }


def is_stalled(run: Run, now: float) -> bool:
    """Return whether a run has made no progress for too long."""
    return now - run.progressed_at > max(
        MIN_STALL_S, run.expected_here_s * STALL_FACTOR
    )


def estimate_slowdown(run: Run, now: float) -> float | None:
    """Return the ratio of the extrapolated run time to the expected one.

    ``None`` means that the progress is too low for an estimate.
    """
    if run.progress_percent < MIN_PROGRESS_PERCENT:
        return None
    # Targets report progress in whole percent, rounded down.
    progress = (run.progress_percent + 1) / FULL_PROGRESS_PERCENT
    return (now - run.settled_at) / progress / max(run.expected_here_s, 0.001)


def find_slow_runs(runs: Iterable[Run], now: float) -> list[Run]:
    """Return the runs to move to another target; empty if this one is not slow."""
    estimates = {run: estimate_slowdown(run, now) for run in runs}
    slowdowns = {run: slowdown for run, slowdown in estimates.items() if slowdown}
    by_job: defaultdict[str, list[float]] = defaultdict(list)
    for run_of_job in slowdowns:
        by_job[run_of_job.task.job].append(slowdowns[run_of_job])
    if slow_log_odds(by_job.values()) < SLOW_LOG_ODDS:
        return []
    return [
        run
        for run, slowdown in slowdowns.items()
        if slowdown * (1 - run.progress_percent / FULL_PROGRESS_PERCENT)
        > MOVE_THRESHOLD
    ]
