"""Whether a target fails what it starts, judged beside it from what its runs show."""

import enum
from collections.abc import Hashable
from typing import Final

# Jobs that failed one after the other here, with no task done in between. A job
# whose tasks fail everywhere counts once; a share of 5% of such jobs makes three
# in a row about once in 8,000.
FAILED_JOBS_IN_A_ROW: Final = 3
# Seconds until one task is tried on a failing target; doubles up to the longest.
FIRST_PROBE_S: Final = 0.5
LONGEST_PROBE_S: Final = 4.0
# Weight of the newest run time; the last ten or so runs decide.
SLOWDOWN_WEIGHT: Final = 0.1
# A slowdown beyond these bounds says more about a declared time than about a target.
SLOWDOWN_BOUNDS: Final = (0.2, 20.0)


class HealthState(enum.StrEnum):
    """How far a target is trusted."""

    HEALTHY = 'sound'
    FAILING = 'failing'


class TargetHealth:
    """Failures and speed of one target.

    A failing target gets one task at a time after a delay, until one is done.
    """

    def __init__(self) -> None:
        self.state = HealthState.HEALTHY
        self.slowdown = 1.0
        self._failed_jobs: set[Hashable] = set()
        self._probe_s = FIRST_PROBE_S
        self._probe_at: float = 0

    def record_success(self, run_s: float, expected_s: float) -> bool:
        """Take in a run that was done; return whether the standing changed.

        :param expected_s: run time on a sound target.
        """
        low, high = SLOWDOWN_BOUNDS
        ratio = min(max(run_s / max(expected_s, 0.001), low), high)
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)
        self._failed_jobs.clear()
        self._probe_s = FIRST_PROBE_S
        changed = self.state is not HealthState.HEALTHY
        self.state = HealthState.HEALTHY
        return changed

    def record_failure(self, job: Hashable, now: float) -> bool:
        """Take in a run that failed; return whether the standing changed."""
        self._failed_jobs.add(job)
        if self.state is HealthState.FAILING:
            self._probe_s = min(self._probe_s * 2, LONGEST_PROBE_S)
            self._probe_at = now + self._probe_s
            return False
        if len(self._failed_jobs) < FAILED_JOBS_IN_A_ROW:
            return False
        self.state = HealthState.FAILING
        self._probe_at = now + self._probe_s
        return True

    def may_start(self, running: int, now: float) -> bool:
        """Return whether another task may start.

        :param running: tasks that run or are being started.
        """
        if self.state is HealthState.HEALTHY:
            return True
        return running == 0 and now >= self._probe_at
