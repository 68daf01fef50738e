"""Which waiting job goes first, and which is given up."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job of which tasks wait.

    :param begun: whether a task of it was sent.
    :param start_by: steady time of the latest start that is in time.
    """

    begun: bool
    start_by: float


def urgency(job: WaitingJob, now: float) -> tuple[bool, bool, float]:
    """Return the place of a job in the queue; lower goes first.

    Jobs that have begun go first: what was done for them is lost otherwise. Jobs
    that can't be in time any more go last.

    >>> urgency(WaitingJob(True, 9), 5) < urgency(WaitingJob(False, 6), 5)
    True
    >>> urgency(WaitingJob(False, 6), 5) < urgency(WaitingJob(False, 4), 5)
    True
    """
    return (not job.begun, now > job.start_by, job.start_by)


def is_hopeless(job: WaitingJob, now: float) -> bool:
    """Return whether to give a job up: it has not begun and can't be in time.

    After a crowd or a restart each late job would make the next one late too.
    """
    return not job.begun and now >= job.start_by
