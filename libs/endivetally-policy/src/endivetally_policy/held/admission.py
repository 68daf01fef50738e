"""Admission control of held jobs: refuses jobs that cannot finish in time."""

import enum
import math
from dataclasses import dataclass
from typing import Final

# Share of a job's slack that it may spend queued. The rest covers run time
# estimates that are too low and tasks that must be run again.
MAX_WAIT_SHARE: Final = 0.8
# Seconds over which the retries of refused callers are spread.
RETRY_SPREAD_S: Final = 2.0
# Seconds until a job whose tasks fit into no target may be retried. Larger targets
# appear only with a new deployment, not within seconds.
TOO_LARGE_RETRY_S: Final = 60
# Share of an entry's cores that overtaking work may take at most.
MAX_OVERTAKING_SHARE: Final = 0.9


class AdmissionVerdict(enum.StrEnum):
    """Whether a job is admitted, or why it is refused."""

    ADMITTED = 'admitted'
    NO_TARGET = 'no_target'
    TOO_LARGE = 'too_large'
    OVERLOADED = 'overloaded'


@dataclass(frozen=True, slots=True)
class Load:
    """Load at an entry when a job arrives.

    :param work_ahead: queued work of this entry that is served before the job.
    :param job_work: the work of the job itself.
    :param capacity_cores: cores of all targets that accept tasks.
    :param free_cores: cores of these targets that are free.
    :param entry_count: entries that share the targets.
    :param running_cores: cores that running tasks of this entry hold.
    :param fits_a_target: whether each task fits into some target.
    :param joining_targets: targets whose agents are connected but have not
        reported yet.
    :param overtaking_cores: cores of this entry for work that will arrive after the
        job and go before it.
    """

    work_ahead: 'Work'
    job_work: 'Work'
    capacity_cores: float
    free_cores: float
    entry_count: int
    fits_a_target: bool = True
    running_cores: float = 0
    joining_targets: int = 0
    overtaking_cores: float = 0


@dataclass(frozen=True, slots=True)
class Work:
    """Amount of work in a set of queued tasks.

    :param cores: cores that the tasks occupy if all of them run at once.
    :param core_s: core-seconds that the tasks need in total.
    """

    cores: float
    core_s: float

    def minus(self, other: 'Work') -> 'Work':
        """Return this work without a part of it."""
        return Work(self.cores - other.cores, self.core_s - other.core_s)


@dataclass(frozen=True, slots=True)
class ReturnWindow:
    """When refused callers may return, in seconds after the excess of their wait.

    :param after_s: when the first of them may return.
    :param spread_s: time over which their returns are spread.
    """

    after_s: float = 0
    spread_s: float = RETRY_SPREAD_S

    def retry_after_s(self, excess_s: float, jitter: float) -> int:
        """Return the whole seconds after which a caller may retry, at least 1."""
        retry_s = excess_s + self.after_s + jitter * self.spread_s
        return max(math.ceil(retry_s), 1)


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Verdict on a job, and the expected wait that led to it.

    :param wait_s: expected seconds until the last task of the job starts.
    :param retry_after_s: seconds after which a refused caller may retry.
    """

    verdict: AdmissionVerdict
    wait_s: float
    retry_after_s: int = 0


DEFAULT_RETURNS: Final = ReturnWindow()


class HeldAdmissionPolicy:
    """Refuses jobs whose expected wait exceeds their slack.

    Work that does not fit into the free cores is expected to be served by this
    entry's equal share of the capacity, or by the cores that its running tasks
    hold if there are more of them: a core freed by one of its tasks goes to its
    next task. Right after a restart no target has reported yet; jobs are then
    admitted as long as agents are joining.
    """

    def expected_wait_s(self, load: Load) -> float:
        """Return the expected seconds until the last task of a job starts.

        >>> load = Load(Work(16, 8), Work(4, 2), 100, 10, 2)
        >>> HeldAdmissionPolicy().expected_wait_s(load)
        0.1
        """
        cores = load.work_ahead.cores + load.job_work.cores
        queued_share = max(1 - load.free_cores / max(cores, 0.001), 0)
        own_cores = max(
            load.capacity_cores / max(load.entry_count, 1), load.running_cores
        )
        overtaken = min(load.overtaking_cores, own_cores * MAX_OVERTAKING_SHARE)
        return (
            (load.work_ahead.core_s + load.job_work.core_s)
            * queued_share
            / max(own_cores - overtaken, 0.001)
        )

    def decide(
        self,
        load: Load,
        slack_s: float,
        *,
        jitter: float,
        returns: ReturnWindow = DEFAULT_RETURNS,
    ) -> AdmissionDecision:
        """Admit a job, or refuse it with the time after which to retry.

        :param slack_s: seconds that the job may be queued and still be in time.
        :param jitter: random number from 0 to 1 that spreads the retries of callers.
        :param returns: when callers that are refused as overloaded may return.
        """
        if load.capacity_cores <= 0:
            if load.joining_targets:
                return AdmissionDecision(AdmissionVerdict.ADMITTED, 0)
            return AdmissionDecision(AdmissionVerdict.NO_TARGET, 0, 1)
        if not load.fits_a_target:
            return AdmissionDecision(AdmissionVerdict.TOO_LARGE, 0, TOO_LARGE_RETRY_S)
        wait_s = self.expected_wait_s(load)
        if wait_s <= slack_s * MAX_WAIT_SHARE:
            return AdmissionDecision(AdmissionVerdict.ADMITTED, wait_s)
        retry_after_s = returns.retry_after_s(wait_s - slack_s, jitter)
        return AdmissionDecision(AdmissionVerdict.OVERLOADED, wait_s, retry_after_s)
