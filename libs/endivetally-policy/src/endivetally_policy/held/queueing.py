"""Which waiting job goes first, and which is given up."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job of which tasks wait.

    :param has_started: whether a task of it was sent.
    :param latest_start_at: steady time of the latest start that is in time.
    """

    has_started: bool
    latest_start_at: float


def queue_key(job: WaitingJob, now: float) -> tuple[bool, bool, float]:
    """Return the place of a job in the queue; lower goes first.

    Jobs that have begun go first: what was done for them is lost otherwise. Jobs
    that can't be in time any more go last.

    >>> queue_key(WaitingJob(True, 9), 5) < queue_key(WaitingJob(False, 6), 5)
    True
    >>> queue_key(WaitingJob(False, 6), 5) < queue_key(WaitingJob(False, 4), 5)
    True
    """
    return (not job.has_started, now > job.latest_start_at, job.latest_start_at)


def should_abandon(job: WaitingJob, now: float) -> bool:
    """Return whether to give a job up: it has not begun and can't be in time.

    After a crowd or a restart each late job would make the next one late too.
    """
    return not job.has_started and now >= job.latest_start_at
