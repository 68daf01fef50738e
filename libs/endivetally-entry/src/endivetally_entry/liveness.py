"""Detects pauses of this process that may have led to a takeover of its keys."""

from collections.abc import Callable
from typing import Final

PAUSE_THRESHOLD_S: Final = 1.5


class LivenessMonitor:
    """Tells whether it is certain that no other entry has taken over this one.

    Other entries take over only after a silence longer than the pause threshold.
    After a longer pause the ownership of this entry's keys is uncertain until a
    later read of the table shows its row as live.

    :param clock: returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last_tick = clock()
        self._paused_at: float | None = None

    @property
    def liveness_confirmed(self) -> bool:
        """Whether no pause has happened since the last confirmation."""
        return self._paused_at is None and not self._is_paused()

    def record_tick(self) -> None:
        """Record that the event loop runs; call it several times a second."""
        if self._is_paused():
            self._paused_at = self._clock()
        self._last_tick = self._clock()

    def confirm_liveness(self, queried_at: float) -> None:
        """Record that the table shows this entry as live.

        A query sent before the end of the last pause confirms nothing.

        :param queried_at: time at which the table was queried.
        """
        if self._paused_at is not None and queried_at >= self._paused_at:
            self._paused_at = None

    def _is_paused(self) -> bool:
        return self._clock() - self._last_tick > PAUSE_THRESHOLD_S
