"""Attempts at tasks, as an agent keeps them."""

import enum
import math
import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd

from endivetally_held.jobs import TaskKey

# A run that shows no progress for this time, and for this many times its
# expected run time, stands still.
STALL_FLOOR_S: Final = 0.5
STALL_FACTOR: Final = 1.5
# Progress from which a run time can be told.
TELLING_PERCENT: Final = 5
# Stretch of the median run from which a target counts as slow, by the number of
# jobs that run there: declared times are off by some tens of percent, and of a
# single job nothing is known.
SLOW_STRETCHES: Final = (math.inf, math.inf, 4.0, 2.0)
# A run is moved when what is left of it here takes this many times a whole run
# elsewhere.
MOVE_FACTOR: Final = 1.5
WHOLE: Final = 100


class RunState(enum.Enum):
    """Where a run stands."""

    WAITING = enum.auto()
    STARTING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()
    ENDED = enum.auto()


@dataclass(slots=True, eq=False)
class Run:
    """One attempt at a task.

    :param owner: incarnation of the entry that ordered it.
    :param start_by: steady time after which a start is late; lower goes first.
    :param give_up_at: steady time after which it must not start.
    :param seen: whether the target accepted it or listed it.
    """

    task: TaskKey
    number: int
    owner: str
    payload: str
    need: Resources
    expected_s: float
    start_by: float
    give_up_at: float
    state: RunState = RunState.WAITING
    asked_at: float = 0
    settled_at: float = 0
    seen: bool = False
    stop_end: RunEnd = RunEnd.STOPPED
    percent: int = 0
    moved_at: float = 0


def lacks_end(run: Run) -> bool:
    """Return whether a stopped run may never have been there to end."""
    return bool(run.settled_at) and not run.seen


def stands_still(run: Run, now: float) -> bool:
    """Return whether a run makes no progress."""
    return now - run.moved_at > max(STALL_FLOOR_S, run.expected_s * STALL_FACTOR)


def stretch_of(run: Run, now: float) -> float | None:
    """Return the run time that progress promises, relative to the expected one."""
    if run.percent < TELLING_PERCENT:
        return None
    return (now - run.asked_at) / run.percent * WHOLE / max(run.expected_s, 0.001)


def find_slowed(runs: Iterable[Run], now: float) -> list[Run]:
    """Return the runs to move away from a slow target.

    One job may be longer than declared. A target is slow when the runs of several
    jobs take long on it.
    """
    stretches = {run: stretch_of(run, now) for run in runs}
    known = {run: stretch for run, stretch in stretches.items() if stretch is not None}
    jobs = len({run.task.job for run in known})
    limit = SLOW_STRETCHES[min(jobs, len(SLOW_STRETCHES) - 1)]
    if not known or statistics.median(known.values()) < limit:
        return []
    return [
        run
        for run, stretch in known.items()
        if stretch * (1 - run.percent / WHOLE) > MOVE_FACTOR
    ]
