"""Order of the queued jobs, and when a queued job is given up."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job with queued tasks.

    :param has_started: whether a task of it may have run.
    :param latest_start_at: monotonic seconds; a job that starts later misses its
        objective.
    :param rank: of `overload.rank_job`, from priority and work; 0 where the services of
        the pool do not compete.
    """

    has_started: bool
    latest_start_at: float
    rank: float = 0


def queue_key(job: WaitingJob, now: float) -> tuple[bool, bool, float, float]:
    """Return the sort key of a job in the queue; lower keys go first.

    Jobs that have started go first, since the work done for them would be lost
    otherwise. Jobs that can no longer be in time go last. Where services compete, lower
    ranks go first; else the order is by the latest start.

    >>> queue_key(WaitingJob(True, 9), 5) < queue_key(WaitingJob(False, 6), 5)
    True
    >>> queue_key(WaitingJob(False, 6), 5) < queue_key(WaitingJob(False, 4), 5)
    True
    """
    is_late = now > job.latest_start_at
    return (not job.has_started, is_late, job.rank, job.latest_start_at)


def should_give_up(job: WaitingJob, now: float) -> bool:
    """Return whether a job has not started and can no longer be in time.

    Otherwise, after a load spike or a restart, each late job would delay the next
    one until that is late as well.
    """
    return not job.has_started and now >= job.latest_start_at
