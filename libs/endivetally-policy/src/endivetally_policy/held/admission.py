"""Decides at arrival whether a held job can still be answered in time."""

import enum
import math
from dataclasses import dataclass
from typing import Final

# Share of a job's own slack that may be spent waiting. The rest covers estimates
# that are too low and tasks that must run again.
WAIT_SHARE: Final = 0.8
# Seconds over which refused callers are spread when they return.
RETURN_SPREAD_S: Final = 2.0
# Larger targets come with changes of the deployment, not within seconds.
LARGE_RETRY_S: Final = 60


class AdmissionVerdict(enum.StrEnum):
    """Outcome of admission."""

    ADMITTED = 'admitted'
    NO_TARGET = 'no_target'
    TOO_LARGE = 'too_large'
    OVERLOADED = 'overloaded'


@dataclass(frozen=True, slots=True)
class Load:
    """What an entry knows of the load when a job arrives.

    :param work_ahead: work that waits here and goes before the job.
    :param job_work: the work of the job itself.
    :param capacity_cores: cores of all targets that take work.
    :param free_cores: cores of these that are free.
    :param entry_count: entries that share them.
    :param running_cores: cores that the tasks of this entry hold.
    :param fits_a_target: whether some target is large enough for each task.
    :param joining_targets: targets whose agents are there and that are about to report.
    """

    work_ahead: 'Work'
    job_work: 'Work'
    capacity_cores: float
    free_cores: float
    entry_count: int
    fits_a_target: bool = True
    running_cores: float = 0
    joining_targets: int = 0


@dataclass(frozen=True, slots=True)
class Work:
    """Tasks that wait.

    :param cores: that they take when all of them run.
    :param core_s: that they use until their ends.
    """

    cores: float
    core_s: float


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """A verdict and the wait behind it, in seconds."""

    verdict: AdmissionVerdict
    wait_s: float
    retry_after_s: int = 0


class HeldAdmissionController:
    """Refuses at once what would wait longer than it can.

    What does not fit into the free cores leaves at this entry's share of the
    capacity, or at what its tasks hold already if that is more: their room goes to
    its next ones. After a start the first jobs wait for targets that are about to join.
    """

    def expected_wait_s(self, load: Load) -> float:
        """Return the seconds until the last task of a job starts.

        >>> load = Load(Work(16, 8), Work(4, 2), 100, 10, 2)
        >>> HeldAdmissionController().expected_wait_s(load)
        0.1
        """
        cores = load.work_ahead.cores + load.job_work.cores
        excess = max(1 - load.free_cores / max(cores, 0.001), 0)
        share = max(load.capacity_cores / max(load.entry_count, 1), load.running_cores)
        return (
            (load.work_ahead.core_s + load.job_work.core_s) * excess / max(share, 0.001)
        )

    def decide(self, load: Load, slack_s: float, *, jitter: float) -> AdmissionDecision:
        """Admit a job or refuse it with the time after which to return.

        :param slack_s: seconds that the job may wait and still be in time.
        :param jitter: from 0 to 1, spreads the return of callers.
        """
        if load.capacity_cores <= 0:
            if load.joining_targets:
                return AdmissionDecision(AdmissionVerdict.ADMITTED, 0)
            return AdmissionDecision(AdmissionVerdict.NO_TARGET, 0, 1)
        if not load.fits_a_target:
            return AdmissionDecision(AdmissionVerdict.TOO_LARGE, 0, LARGE_RETRY_S)
        wait_s = self.expected_wait_s(load)
        if wait_s <= slack_s * WAIT_SHARE:
            return AdmissionDecision(AdmissionVerdict.ADMITTED, wait_s)
        return_s = wait_s - slack_s + jitter * RETURN_SPREAD_S
        return AdmissionDecision(
            AdmissionVerdict.OVERLOADED, wait_s, max(math.ceil(return_s), 1)
        )
