"""Delays between retries."""

import asyncio
import random


class Backoff:
    """Exponential backoff with jitter.

    Each delay is drawn between half its limit and the limit.

    :param min_s: limit of the first delay, in seconds.
    """

    def __init__(self, min_s: float) -> None:
        self._min_s = min_s
        self._limit_s = min_s

    def reset(self) -> None:
        """Return to the limit of the first delay."""
        self._limit_s = self._min_s

    async def wait(self, max_s: float) -> None:
        """Sleep for one delay, then double the limit of the next one.

        :param max_s: maximum of the doubled limit, in seconds.
        """
        await asyncio.sleep(random.uniform(self._limit_s / 2, self._limit_s))
        self._limit_s = min(self._limit_s * 2, max_s)
