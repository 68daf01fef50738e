"""The links to entries that are up."""

import asyncio
from typing import Final

from endivetally_core.links import Link
from endivetally_core.messages import AnyMessage

FLUSH_TIMEOUT_S: Final = 2


class LinkRegistry:
    """Links by incarnation of the entry."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}

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

    def remove(self, entry: str) -> None:
        """Forget a link."""
        self._links.pop(entry, None)

    def post(self, entry: str, message: AnyMessage) -> bool:
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
