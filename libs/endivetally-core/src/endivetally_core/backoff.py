"""Delays between retries."""

import asyncio
import random


class Backoff:
    """Exponential backoff with jitter.

    Each delay is drawn uniformly between half of the current limit and the limit.

    :param min_s: initial limit of the delay, in seconds.
    """

    def __init__(self, min_s: float) -> None:
        self._min_s = min_s
        self._limit_s = min_s

    def reset(self) -> None:
        """Set the limit back to that of the first delay."""
        self._limit_s = self._min_s

    async def wait(self, max_s: float) -> None:
        """Sleep for one delay, then double the limit of the next one.

        :param max_s: maximum of the limit after doubling, in seconds.
        """
        await asyncio.sleep(random.uniform(self._limit_s / 2, self._limit_s))
        self._limit_s = min(self._limit_s * 2, max_s)
