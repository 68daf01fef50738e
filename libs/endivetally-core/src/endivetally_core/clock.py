"""The steady clock of decisions that another process relies on."""

import time
from collections.abc import Callable
from typing import Final

# Longest time between two looks at the clock that is not taken for a pause.
# A loaded event loop on half a core was seen to lag by 0.1 s.
PAUSE_LIMIT_S: Final = 0.4


def steady_now() -> float:
    """Return seconds of a clock that also counts suspended time.

    ``time.monotonic`` stands still while a machine is suspended, so that a
    deadline which has passed for everybody else would not have passed here.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseWatch:
    """Notices that the process stood still for longer than a limit.

    :param limit_s: longest accepted time between two looks, in seconds.
    :param clock: steady seconds.

    >>> moments = iter([0.0, 0.1, 3.0])
    >>> watch = PauseWatch(0.4, lambda: next(moments))
    >>> watch.look(), watch.look()
    (0, 2.9)
    """

    def __init__(
        self,
        limit_s: float = PAUSE_LIMIT_S,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self._limit_s = limit_s
        self._clock = clock
        self._looked_at = clock()

    def look(self) -> float:
        """Return the length of a pause that has just ended, or 0."""
        now = self._clock()
        elapsed_s = now - self._looked_at
        self._looked_at = now
        return elapsed_s if elapsed_s > self._limit_s else 0
