"""Estimates of the memory and run time of the target's tasks."""

from typing import Final

# Weight of a new sample in a moving average.
SMOOTHING: Final = 0.1


class UsageEstimate:
    """Exponential moving averages over announcements and ended tasks.

    The target reports the total memory that it uses, after a delay. The memory of one
    task is estimated as the excess over the idle target, divided by the number of
    running tasks.
    """

    def __init__(self) -> None:
        self._idle_mb: float = 0
        self._memory_mb: float = 0
        self._run_ms: float = 0
        self.ended_count = 0

    @property
    def memory_mb(self) -> float:
        """Estimated memory of one task in megabytes; 0 until there is a sample."""
        return self._memory_mb

    @property
    def run_ms(self) -> float:
        """Average run time of a task in milliseconds; 0 until there is a sample."""
        return self._run_ms

    def observe_memory(self, used_mb: float, running: int) -> None:
        """Add a sample of the target's used memory.

        :param running: number of tasks that ran; with none, the sample sets the
            memory of the idle target.
        """
        if running == 0:
            self._idle_mb = used_mb
            return
        task_mb = max(used_mb - self._idle_mb, 0) / running
        self._memory_mb = _smooth(self._memory_mb, task_mb)

    def observe_run(self, run_ms: float) -> None:
        """Add the run time of an ended task."""
        self.ended_count += 1
        self._run_ms = _smooth(self._run_ms, run_ms)


def _smooth(average: float, sample: float) -> float:
    if average == 0:
        return sample
    return average + SMOOTHING * (sample - average)
