"""Attempts at tasks, as an agent keeps them."""

import enum
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from endivetally_policy.held import SLOW_LOG_ODDS
from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd
from endivetally_policy.held import slow_log_odds

from endivetally_held.jobs import TaskKey

# A run that shows no progress for this time, and for this many times its
# expected run time, stands still.
STALL_FLOOR_S: Final = 0.5
STALL_FACTOR: Final = 1.5
# Progress from which a run time can be told.
TELLING_PERCENT: Final = 5
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
    # Progress is told in whole percents, rounded down.
    share = (run.percent + 1) / WHOLE
    return (now - run.settled_at) / share / max(run.expected_s, 0.001)


def find_slowed(runs: Iterable[Run], now: float) -> list[Run]:
    """Return the runs to move away from a slow target."""
    stretches = {run: stretch_of(run, now) for run in runs}
    known = {run: stretch for run, stretch in stretches.items() if stretch}
    by_job: defaultdict[str, list[float]] = defaultdict(list)
    for telling in known:
        by_job[telling.task.job].append(known[telling])
    if slow_log_odds(by_job.values()) < SLOW_LOG_ODDS:
        return []
    return [
        run
        for run, stretch in known.items()
        if stretch * (1 - run.percent / WHOLE) > MOVE_FACTOR
    ]
