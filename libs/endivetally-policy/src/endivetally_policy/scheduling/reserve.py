"""Credits that tasks of lower priority leave unused."""

from typing import Final

RESERVED_SHARE: Final = 0.1
REMEMBERED_S: Final = 60.0


class PriorityReserve:
    """Keeps a share of an entry's credits for the first priority in use.

    Without it a job of many tasks takes every credit, and the next request of
    the first priority waits for a task to end.
    """

    def __init__(self) -> None:
        self._first = 0
        self._seen_at = float('-inf')

    def submitted(self, priority: int, now: float) -> None:
        """Note that a task of some priority came."""
        if priority <= self._first or now > self._seen_at + REMEMBERED_S:
            self._first = priority
            self._seen_at = now

    def size(self, priority: int, held: int, now: float) -> int:
        """Return how many credits a task of some priority must leave.

        :param held: credits of the entry, unused or in use.

        >>> reserve = PriorityReserve()
        >>> reserve.submitted(0, now=0)
        >>> reserve.size(1, held=30, now=1)
        3
        >>> reserve.size(0, held=30, now=1)
        0
        """
        if self.is_first(priority, now):
            return 0
        return int(held * RESERVED_SHARE)

    def is_first(self, priority: int, now: float) -> bool:
        """Whether no task of a higher priority came lately."""
        return priority <= self._first or now > self._seen_at + REMEMBERED_S
