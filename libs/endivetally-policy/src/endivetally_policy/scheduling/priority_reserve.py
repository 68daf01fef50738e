"""Credits that tasks of lower priorities must leave unused."""

from typing import Final

# Share of an entry's credits that is reserved for the highest priority in use.
RESERVED_SHARE: Final = 0.1
# Seconds without a submitted task after which a priority is no longer in use.
UNUSED_AFTER_S: Final = 60.0


class PriorityReserve:
    """Reserves a share of an entry's credits for the highest priority in use.

    Otherwise a job of many tasks could use every credit, and the next request of
    the highest priority would wait until a task ends.
    """

    def __init__(self) -> None:
        self._highest = 0
        self._submitted_at = float('-inf')

    def record_submission(self, priority: int, now: float) -> None:
        """Record that a task of a priority was submitted."""
        if priority <= self._highest or now > self._submitted_at + UNUSED_AFTER_S:
            self._highest = priority
            self._submitted_at = now

    def reserved_credits(self, priority: int, total: int, now: float) -> int:
        """Return how many credits a task of a priority must leave unused.

        :param total: credits of the entry, unused or in use.

        >>> reserve = PriorityReserve()
        >>> reserve.record_submission(0, now=0)
        >>> reserve.reserved_credits(1, total=30, now=1)
        3
        >>> reserve.reserved_credits(0, total=30, now=1)
        0
        """
        if self.is_highest(priority, now):
            return 0
        return int(total * RESERVED_SHARE)

    def is_highest(self, priority: int, now: float) -> bool:
        """Return whether no higher priority is in use."""
        return priority <= self._highest or now > self._submitted_at + UNUSED_AFTER_S
