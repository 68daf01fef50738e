"""Notices that this process may have been paused, and so taken over."""

from collections.abc import Callable
from typing import Final

STEADY_S: Final = 1.5


class Pulse:
    """Tells whether this entry can vouch that nobody has taken its keys over.

    Other entries take over only after a longer silence. After a pause this
    entry vouches for nothing until it has read its own row as live again.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last_beat = clock()
        self._doubted_at: float | None = None

    @property
    def steady(self) -> bool:
        """Whether there was no pause since this entry was last seen live."""
        return self._doubted_at is None and not self._paused()

    def beat(self) -> None:
        """Note that the event loop runs; call it several times a second."""
        if self._paused():
            self._doubted_at = self._clock()
        self._last_beat = self._clock()

    def confirm(self, asked_at: float) -> None:
        """Take in that the table had this entry as live.

        :param asked_at: when the table was asked.
        """
        if self._doubted_at is not None and asked_at >= self._doubted_at:
            self._doubted_at = None

    def _paused(self) -> bool:
        return self._clock() - self._last_beat > STEADY_S
