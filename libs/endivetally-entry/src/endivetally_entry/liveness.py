"""Tells whether the keys of this process may have been taken over unnoticed."""

from collections.abc import Callable
from typing import Final

PAUSE_THRESHOLD_S: Final = 1.5


class LivenessMonitor:
    """Tells whether another entry may have taken over this one.

    Other entries take over only after a silence longer than the pause threshold.
    After a longer pause, while no other entry is heard, or when there is a newer shard
    map that can't be read, the ownership of this entry's keys is uncertain, until a
    later read of the table shows its row as live.

    :param clock: returns monotonic seconds.
    :param is_cut_off: returns whether this entry hears none of the other entries.
    """

    def __init__(
        self, clock: Callable[[], float], is_cut_off: Callable[[], bool]
    ) -> None:
        self._clock = clock
        self._is_cut_off = is_cut_off
        self._last_tick = clock()
        self._uncertain_at: float | None = None

    @property
    def liveness_confirmed(self) -> bool:
        """Whether ownership has not become uncertain since the last confirmation."""
        return self._uncertain_at is None and not self._is_uncertain()

    def record_tick(self) -> None:
        """Record that the event loop runs; call it several times a second."""
        if self._is_uncertain():
            self.mark_uncertain()
        self._last_tick = self._clock()

    def mark_uncertain(self) -> None:
        """Record that another entry may have taken over this one by now."""
        self._uncertain_at = self._clock()

    def confirm_liveness(self, queried_at: float) -> None:
        """Record that the table shows this entry as live.

        A query sent before ownership last became uncertain confirms nothing.

        :param queried_at: time at which the table was queried.
        """
        if self._uncertain_at is not None and queried_at >= self._uncertain_at:
            self._uncertain_at = None

    def _is_uncertain(self) -> bool:
        paused_s = self._clock() - self._last_tick
        return paused_s > PAUSE_THRESHOLD_S or self._is_cut_off()
