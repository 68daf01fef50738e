"""What follows from the way in which a run or an order ended."""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final


class RunEnd(enum.StrEnum):
    """Every way in which an attempt at a task can end."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    LOST = 'lost'
    STALLED = 'stalled'
    REFUSED_ROOM = 'refused_room'
    REFUSED_CLOSED = 'refused_closed'
    REFUSED_PRESENT = 'refused_present'
    REFUSED_RUN = 'refused_run'
    REFUSED_TARGET = 'refused_target'
    REFUSED_ORDER = 'refused_order'
    UNREACHABLE = 'unreachable'


class NextStep(enum.Enum):
    """What the entry does next with a task.

    ``COUNT`` counts against the attempts of the service and runs the task
    elsewhere while some are left; ``ELSEWHERE`` avoids the same target;
    ``AGAIN`` may use the same target after a short time; ``WAIT`` waits until
    nothing of the former run can be left, then runs the task elsewhere.
    """

    FINISH = enum.auto()
    COUNT = enum.auto()
    ELSEWHERE = enum.auto()
    AGAIN = enum.auto()
    WAIT = enum.auto()


NEXT_STEPS: Final[Mapping[RunEnd, NextStep]] = MappingProxyType(
    {
        RunEnd.DONE: NextStep.FINISH,
        RunEnd.FAILED: NextStep.COUNT,
        RunEnd.STOPPED: NextStep.ELSEWHERE,
        RunEnd.LAPSED: NextStep.ELSEWHERE,
        RunEnd.LOST: NextStep.ELSEWHERE,
        RunEnd.STALLED: NextStep.ELSEWHERE,
        RunEnd.REFUSED_ROOM: NextStep.AGAIN,
        RunEnd.REFUSED_CLOSED: NextStep.ELSEWHERE,
        RunEnd.REFUSED_PRESENT: NextStep.AGAIN,
        RunEnd.REFUSED_RUN: NextStep.AGAIN,
        RunEnd.REFUSED_TARGET: NextStep.ELSEWHERE,
        RunEnd.REFUSED_ORDER: NextStep.ELSEWHERE,
        RunEnd.UNREACHABLE: NextStep.WAIT,
    }
)

# The target did nothing, and the order that was refused can't start later.
NEVER_RAN: Final = frozenset(
    (
        RunEnd.REFUSED_ROOM,
        RunEnd.REFUSED_CLOSED,
        RunEnd.REFUSED_PRESENT,
        RunEnd.REFUSED_RUN,
        RunEnd.REFUSED_TARGET,
        RunEnd.REFUSED_ORDER,
    )
)


def next_step(end: RunEnd) -> NextStep:
    """Return what follows from an end.

    >>> next_step(RunEnd.FAILED)
    <NextStep.COUNT: 2>
    """
    return NEXT_STEPS[end]
