"""Learned memory and run time of the target's tasks."""

from typing import Final

SMOOTHING: Final = 0.1


class UsageEstimate:
    """Averages learned from announcements and ended tasks.

    The target reports one sum for all its tasks, with a lag; the memory of one
    task is what the sum exceeds the idle target by, divided by the tasks.
    """

    def __init__(self) -> None:
        self._idle_mb: float = 0
        self._memory_mb: float = 0
        self._run_ms: float = 0
        self.ended = 0

    @property
    def memory_mb(self) -> float:
        """Expected memory of one task; 0 until it is learned."""
        return self._memory_mb

    @property
    def run_ms(self) -> float:
        """Average run time of a task."""
        return self._run_ms

    def observe_memory(self, used_mb: float, running: int) -> None:
        """Learn from a report of the target's used memory."""
        if running == 0:
            self._idle_mb = used_mb
            return
        share_mb = max(used_mb - self._idle_mb, 0) / running
        self._memory_mb = _smooth(self._memory_mb, share_mb)

    def observe_run(self, run_ms: float) -> None:
        """Learn from a task that ended."""
        self.ended += 1
        self._run_ms = _smooth(self._run_ms, run_ms)


def _smooth(average: float, sample: float) -> float:
    if average == 0:
        return sample
    return average + SMOOTHING * (sample - average)
