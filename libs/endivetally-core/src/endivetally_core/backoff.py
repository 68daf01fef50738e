"""Delays of repeated calls."""

import asyncio
import random


class Backoff:
    """Exponential backoff with jitter.

    :param min_s: upper limit of the first wait.
    """

    def __init__(self, min_s: float) -> None:
        self._min_s = min_s
        self._limit_s = min_s

    def reset(self) -> None:
        """Start again with the shortest wait."""
        self._limit_s = self._min_s

    async def wait(self, max_s: float) -> None:
        """Sleep, and double the limit of the next sleep.

        :param max_s: bound of that limit.
        """
        await asyncio.sleep(random.uniform(self._limit_s / 2, self._limit_s))
        self._limit_s = min(self._limit_s * 2, max_s)
