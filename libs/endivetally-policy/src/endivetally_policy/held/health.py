"""Passive health check of a target, based on the outcomes of its runs."""

import enum
from collections.abc import Hashable
from typing import Final

# A target counts as failing after tasks of this many jobs failed on it without a
# success in between. A job whose tasks fail everywhere counts only once; if 5% of the
# jobs are like that, three of them follow each other about once in 8,000 times.
MAX_FAILED_JOBS: Final = 3
# Seconds until a failing target is probed with one task. The delay doubles with
# each failed probe, up to the maximum.
MIN_PROBE_DELAY_S: Final = 0.5
MAX_PROBE_DELAY_S: Final = 4.0
# Weight of the newest run time in the moving average, which thus depends mostly on
# about the last ten runs.
SLOWDOWN_WEIGHT: Final = 0.1
# Run time ratios beyond these bounds are clamped: they point to a wrong declared
# time rather than to the target.
SLOWDOWN_BOUNDS: Final = (0.2, 20.0)


class HealthState(enum.StrEnum):
    """Whether a target receives tasks without restriction, or only probes."""

    HEALTHY = 'sound'
    FAILING = 'failing'


class TargetHealth:
    """Failures and slowdown of one target.

    A failing target gets one task at a time as a probe, each after a delay,
    until one succeeds.

    :ivar slowdown: moving average of run times relative to the expected ones.
    """

    def __init__(self) -> None:
        self.state = HealthState.HEALTHY
        self.slowdown = 1.0
        self._failed_jobs: set[Hashable] = set()
        self._probe_delay_s = MIN_PROBE_DELAY_S
        self._probe_at: float = 0

    def record_success(self, run_s: float, expected_s: float) -> bool:
        """Record a run that succeeded; return whether the state changed.

        :param expected_s: expected run time on a healthy target.
        """
        low, high = SLOWDOWN_BOUNDS
        ratio = min(max(run_s / max(expected_s, 0.001), low), high)
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)
        self._failed_jobs.clear()
        self._probe_delay_s = MIN_PROBE_DELAY_S
        changed = self.state is not HealthState.HEALTHY
        self.state = HealthState.HEALTHY
        return changed

    def record_failure(self, job: Hashable, now: float) -> bool:
        """Record a run that failed; return whether the state changed.

        :param job: identifies the job, so that each one counts only once.
        """
        self._failed_jobs.add(job)
        if self.state is HealthState.FAILING:
            self._probe_delay_s = min(self._probe_delay_s * 2, MAX_PROBE_DELAY_S)
            self._probe_at = now + self._probe_delay_s
            return False
        if len(self._failed_jobs) < MAX_FAILED_JOBS:
            return False
        self.state = HealthState.FAILING
        self._probe_at = now + self._probe_delay_s
        return True

    def may_start(self, running: int, now: float) -> bool:
        """Return whether another task may start.

        :param running: number of tasks that run on the target or are being started.
        """
        if self.state is HealthState.HEALTHY:
            return True
        return running == 0 and now >= self._probe_at
