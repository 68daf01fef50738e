"""Keeps an entry within its share of the writes that the table takes."""

from typing import Final

BURST_WRITES: Final = 20


class WritePacer:
    """Token bucket over writes.

    Below its rate a write never waits; above it the writes come at the rate, and
    each carries what has gathered meanwhile.

    :param rate: writes a second.
    :param now: monotonic seconds.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = float(BURST_WRITES)
        self._updated_at = now

    @property
    def rate(self) -> float:
        """Writes a second."""
        return self._rate

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from now on."""
        self._refill(now)
        self._rate = rate

    def take(self, now: float) -> float:
        """Take the next write; return the seconds to wait before it.

        >>> pacer = WritePacer(10, 0)
        >>> [pacer.take(0) for _ in range(21)][-2:]
        [0.0, 0.1]
        """
        self._refill(now)
        self._tokens -= 1
        return max(float(0), -self._tokens / self._rate)

    def _refill(self, now: float) -> None:
        gained = max(0, now - self._updated_at) * self._rate
        self._tokens = min(float(BURST_WRITES), self._tokens + gained)
        self._updated_at = max(now, self._updated_at)
