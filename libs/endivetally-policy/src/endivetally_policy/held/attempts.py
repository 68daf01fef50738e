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


class NextAction(enum.Enum):
    """What the entry does next with a task.

    ``COUNT_FAILURE`` counts against the attempts of the service and runs the task
    elsewhere while some are left; ``RETRY_ELSEWHERE`` avoids the same target;
    ``RETRY_SOON`` may use the same target after a short time; ``RETRY_AFTER_WAIT``
    waits until nothing of the former run can be left, then runs the task elsewhere.
    """

    FINISH = enum.auto()
    COUNT_FAILURE = enum.auto()
    RETRY_ELSEWHERE = enum.auto()
    RETRY_SOON = enum.auto()
    RETRY_AFTER_WAIT = enum.auto()


NEXT_ACTIONS: Final[Mapping[RunEnd, NextAction]] = MappingProxyType(
    {
        RunEnd.DONE: NextAction.FINISH,
        RunEnd.FAILED: NextAction.COUNT_FAILURE,
        RunEnd.STOPPED: NextAction.RETRY_ELSEWHERE,
        RunEnd.LAPSED: NextAction.RETRY_ELSEWHERE,
        RunEnd.LOST: NextAction.RETRY_ELSEWHERE,
        RunEnd.STALLED: NextAction.RETRY_ELSEWHERE,
        RunEnd.REFUSED_ROOM: NextAction.RETRY_SOON,
        RunEnd.REFUSED_CLOSED: NextAction.RETRY_ELSEWHERE,
        RunEnd.REFUSED_PRESENT: NextAction.RETRY_SOON,
        RunEnd.REFUSED_RUN: NextAction.RETRY_SOON,
        RunEnd.REFUSED_TARGET: NextAction.RETRY_ELSEWHERE,
        RunEnd.REFUSED_ORDER: NextAction.RETRY_ELSEWHERE,
        RunEnd.UNREACHABLE: NextAction.RETRY_AFTER_WAIT,
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


def next_action(end: RunEnd) -> NextAction:
    """Return what follows from an end.

    >>> next_action(RunEnd.FAILED)
    <NextAction.COUNT_FAILURE: 2>
    """
    return NEXT_ACTIONS[end]
