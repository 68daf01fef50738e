"""Registry of the open links to entries."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

from endivetally_core.links import Link
from endivetally_core.messages import AnyMessage

FLUSH_TIMEOUT_S: Final = 2


class LinkRegistry:
    """Open links by incarnation of the entry.

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
        """Register an open link."""
        self._links[entry] = link
        self.record_received(entry)

    def remove(self, entry: str) -> None:
        """Remove a closed link."""
        self._links.pop(entry, None)
        self._last_received_at.pop(entry, None)

    def record_received(self, entry: str) -> None:
        """Record that a frame of an entry has just arrived."""
        self._last_received_at[entry] = self._clock()

    def last_received_at(self, entry: str) -> float:
        """Return the monotonic time of an entry's last frame; 0 without a link."""
        return self._last_received_at.get(entry, 0)

    def close(self, entry: str) -> None:
        """Close the link to an entry, if it has one."""
        link = self._links.get(entry)
        if link is not None:
            link.close()

    def send(self, entry: str, message: AnyMessage) -> bool:
        """Queue a message for one entry; return whether it has an open link."""
        link = self._links.get(entry)
        if link is None or link.closed:
            return False
        link.post(message)
        return True

    def broadcast(self, message: AnyMessage) -> None:
        """Queue a message for all linked entries."""
        for link in self._links.values():
            link.post(message)

    def close_all(self) -> None:
        """Close all links, so that the agent joins their entries again."""
        for link in list(self._links.values()):
            link.close()

    async def flush(self) -> None:
        """Wait until all queued messages are sent, at most ``FLUSH_TIMEOUT_S``."""
        flushes = [asyncio.ensure_future(link.flush()) for link in self._links.values()]
        if flushes:
            await asyncio.wait(flushes, timeout=FLUSH_TIMEOUT_S)
