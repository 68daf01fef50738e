"""Ends of runs of held tasks, and how the entry proceeds after each of them."""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final


class RunEnd(enum.StrEnum):
    """How a run of a task ended, or why it did not start.

    ``DONE``: the task succeeded. ``FAILED``: the target ran the task and it failed.
    ``STOPPED``: the target stopped the run, on a command or by itself.
    ``LEASE_EXPIRED``: the target stopped the run because its lease ran out. ``LOST``:
    the target no longer knows the run, or was lost itself. ``STALLED``: the
    agent stopped a run that made no progress or was too slow.
    ``REFUSED_NO_CAPACITY``: the agent or the target has no free capacity for the task.
    ``REFUSED_NOT_ACCEPTING``: the agent accepts no tasks. ``REFUSED_DUPLICATE``: an
    earlier run of the task has not ended at this agent. ``REFUSED_STALE_RUN``: the
    target has seen a later run of the task. ``REFUSED_TARGET``: the target did
    not accept the command and can no longer carry it out. ``REFUSED_COMMAND``: the
    command was malformed, cancelled or too late. ``UNREACHABLE``: the link to
    the agent was lost, so the task may still be running.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    LOST = 'lost'
    STALLED = 'stalled'
    REFUSED_NO_CAPACITY = 'refused_room'
    REFUSED_NOT_ACCEPTING = 'refused_closed'
    REFUSED_DUPLICATE = 'refused_present'
    REFUSED_STALE_RUN = 'refused_run'
    REFUSED_TARGET = 'refused_target'
    REFUSED_COMMAND = 'refused_order'
    UNREACHABLE = 'unreachable'


class NextAction(enum.Enum):
    """How the entry proceeds with a task after a run has ended.

    ``COUNT_FAILURE`` counts against the service's limit of failed runs and
    retries the task on another target below that limit. ``RETRY_ELSEWHERE``
    avoids the same target. ``RETRY_SOON`` may use the same target after a short
    delay. ``RETRY_THERE`` uses only the same target, which refuses the task until an
    earlier run of it has ended there. ``RETRY_AFTER_WAIT`` waits until the former run
    must have ended, then retries on another target.
    """

    FINISH = enum.auto()
    COUNT_FAILURE = enum.auto()
    RETRY_ELSEWHERE = enum.auto()
    RETRY_SOON = enum.auto()
    RETRY_THERE = enum.auto()
    RETRY_AFTER_WAIT = enum.auto()


NEXT_ACTIONS: Final[Mapping[RunEnd, NextAction]] = MappingProxyType(
    {
        RunEnd.DONE: NextAction.FINISH,
        RunEnd.FAILED: NextAction.COUNT_FAILURE,
        RunEnd.STOPPED: NextAction.RETRY_ELSEWHERE,
        RunEnd.LEASE_EXPIRED: NextAction.RETRY_ELSEWHERE,
        RunEnd.LOST: NextAction.RETRY_ELSEWHERE,
        RunEnd.STALLED: NextAction.RETRY_ELSEWHERE,
        RunEnd.REFUSED_NO_CAPACITY: NextAction.RETRY_SOON,
        RunEnd.REFUSED_NOT_ACCEPTING: NextAction.RETRY_ELSEWHERE,
        RunEnd.REFUSED_DUPLICATE: NextAction.RETRY_THERE,
        RunEnd.REFUSED_STALE_RUN: NextAction.RETRY_SOON,
        RunEnd.REFUSED_TARGET: NextAction.RETRY_ELSEWHERE,
        RunEnd.REFUSED_COMMAND: NextAction.RETRY_ELSEWHERE,
        RunEnd.UNREACHABLE: NextAction.RETRY_AFTER_WAIT,
    }
)

# Ends after which the task has not run, and the refused command cannot start it later.
NEVER_RAN: Final = frozenset(
    (
        RunEnd.REFUSED_NO_CAPACITY,
        RunEnd.REFUSED_NOT_ACCEPTING,
        RunEnd.REFUSED_DUPLICATE,
        RunEnd.REFUSED_STALE_RUN,
        RunEnd.REFUSED_TARGET,
        RunEnd.REFUSED_COMMAND,
    )
)


def next_action(end: RunEnd) -> NextAction:
    """Return what to do with a task whose run ended in the given way.

    >>> next_action(RunEnd.FAILED)
    <NextAction.COUNT_FAILURE: 2>
    """
    return NEXT_ACTIONS[end]
