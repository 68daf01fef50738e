"""Limits the rate at which an entry writes to the table service."""

from typing import Final

# Bucket size: writes that start without a delay after an idle period.
BURST_WRITES: Final = 20


class WriteRateLimiter:
    """Token bucket that delays writes beyond a rate.

    Writes below the rate are not delayed. Above it they are spaced out at the
    rate; the journal then sends the records that arrive meanwhile in one write.

    :param rate: writes per second.
    :param now: monotonic time in seconds.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = float(BURST_WRITES)
        self._updated_at = now

    @property
    def rate(self) -> float:
        """Writes per second."""
        return self._rate

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate and keep the tokens earned so far.

        :param rate: writes per second.
        :param now: monotonic time in seconds.
        """
        self._refill(now)
        self._rate = rate

    def reserve(self, now: float) -> float:
        """Reserve the next write; return the seconds to wait before it.

        >>> limiter = WriteRateLimiter(10, 0)
        >>> [limiter.reserve(0) for _ in range(21)][-2:]
        [0.0, 0.1]
        """
        self._refill(now)
        self._tokens -= 1
        return max(float(0), -self._tokens / self._rate)

    def _refill(self, now: float) -> None:
        added = max(0, now - self._updated_at) * self._rate
        self._tokens = min(float(BURST_WRITES), self._tokens + added)
        self._updated_at = max(now, self._updated_at)
