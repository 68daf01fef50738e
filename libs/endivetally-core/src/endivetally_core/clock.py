"""Monotonic clock that includes suspended time, and detection of process pauses."""

import time
from collections.abc import Callable
from typing import Final

# Longest gap between two checks that does not count as a pause. A loaded event
# loop that was limited to half a core lagged by 0.1 s.
PAUSE_THRESHOLD_S: Final = 0.4


def monotonic_now() -> float:
    """Return monotonic seconds, including the time that the machine was suspended.

    Decisions on which other processes rely must use this clock: ``time.monotonic``
    stops during a suspend, so a deadline that has passed in every other process
    would still appear to lie ahead in this one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Detects that the process was suspended or blocked, from periodic checks.

    :param threshold_s: longest gap between two checks that is not a pause, in
        seconds.
    :param clock: returns monotonic seconds.

    >>> readings = iter([0.0, 0.1, 3.0])
    >>> detector = PauseDetector(0.4, lambda: next(readings))
    >>> detector.measure_pause(), detector.measure_pause()
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
        """Return the seconds since the last check if they were a pause, else 0."""
        now = self._clock()
        elapsed_s = now - self._checked_at
        self._checked_at = now
        return elapsed_s if elapsed_s > self._threshold_s else 0
