"""The steady clock of decisions that another process relies on."""

import time
from collections.abc import Callable
from typing import Final

# Longest time between two looks at the clock that is not taken for a pause.
# A loaded event loop on half a core was seen to lag by 0.1 s.
PAUSE_THRESHOLD_S: Final = 0.4


def monotonic_now() -> float:
    """Return seconds of a clock that also counts suspended time.

    ``time.monotonic`` stands still while a machine is suspended, so that a
    deadline which has passed for everybody else would not have passed here.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Notices that the process stood still for longer than a limit.

    :param threshold_s: longest accepted time between two looks, in seconds.
    :param clock: steady seconds.

    >>> moments = iter([0.0, 0.1, 3.0])
    >>> watch = PauseDetector(0.4, lambda: next(moments))
    >>> watch.measure_pause(), watch.measure_pause()
    (0, 2.9)
    """

    def __init__(
        self,
        threshold_s: float = PAUSE_THRESHOLD_S,
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._threshold_s = threshold_s
        self._clock = clock
        self._checked_at = clock()

    def measure_pause(self) -> float:
        """Return the length of a pause that has just ended, or 0."""
        now = self._clock()
        elapsed_s = now - self._checked_at
        self._checked_at = now
        return elapsed_s if elapsed_s > self._threshold_s else 0
