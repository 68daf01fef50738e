"""Attempts at tasks, as an agent keeps them."""

import enum
from dataclasses import dataclass
from typing import Final

from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd

from endivetally_held.jobs import TaskKey

# A run that shows no progress for this time, and for this many times its
# expected run time, stands still.
STALL_FLOOR_S: Final = 0.5
STALL_FACTOR: Final = 1.5
# A run is moved when what is left of it here takes this many times a whole run
# elsewhere.
MOVE_FACTOR: Final = 2.0
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


def stands_still(run: Run, now: float) -> bool:
    """Return whether a run had better go elsewhere."""
    still_s = now - run.moved_at
    if still_s > max(STALL_FLOOR_S, run.expected_s * STALL_FACTOR):
        return True
    elapsed_s = now - run.asked_at
    if run.percent <= 0 or elapsed_s < max(STALL_FLOOR_S, run.expected_s):
        return False
    left_s = elapsed_s * (WHOLE - run.percent) / run.percent
    return left_s > run.expected_s * MOVE_FACTOR
