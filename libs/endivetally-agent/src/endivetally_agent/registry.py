"""The links to entries that are up."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

from endivetally_core.links import Link
from endivetally_core.messages import AnyMessage

FLUSH_TIMEOUT_S: Final = 2


class LinkRegistry:
    """Links by incarnation of the entry.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._links: dict[str, Link] = {}
        self._last_received_at: dict[str, float] = {}

    @property
    def entries(self) -> list[str]:
        """Incarnations of the linked entries."""
        return list(self._links)

    def __contains__(self, entry: str) -> bool:
        """Whether an entry is linked."""
        return entry in self._links

    def add(self, entry: str, link: Link) -> None:
        """Register a link that is up."""
        self._links[entry] = link
        self.record_received(entry)

    def remove(self, entry: str) -> None:
        """Forget a link."""
        self._links.pop(entry, None)
        self._last_received_at.pop(entry, None)

    def record_received(self, entry: str) -> None:
        """Note that a frame of an entry arrived."""
        self._last_received_at[entry] = self._clock()

    def last_received_at(self, entry: str) -> float:
        """Return the monotonic time of an entry's last frame, 0 without a link."""
        return self._last_received_at.get(entry, 0)

    def close(self, entry: str) -> None:
        """End the link to an entry."""
        link = self._links.get(entry)
        if link is not None:
            link.close()

    def send(self, entry: str, message: AnyMessage) -> bool:
        """Send to one entry; false when it has no link."""
        link = self._links.get(entry)
        if link is None or link.closed:
            return False
        link.post(message)
        return True

    def broadcast(self, message: AnyMessage) -> None:
        """Send to all entries."""
        for link in self._links.values():
            link.post(message)

    def close_all(self) -> None:
        """End all links, so that their entries are joined anew."""
        for link in list(self._links.values()):
            link.close()

    async def flush(self) -> None:
        """Wait until all queued messages have left, for a bounded time."""
        flushes = [asyncio.ensure_future(link.flush()) for link in self._links.values()]
        if flushes:
            await asyncio.wait(flushes, timeout=FLUSH_TIMEOUT_S)
