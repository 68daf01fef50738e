"""The links to entries that are up."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from endivetally_core.links import Link
from endivetally_core.messages import AnyMessage

FLUSH_TIMEOUT_S: Final = 2


@dataclass(slots=True)
class LinkedEntry:
    """One link.

    :param heard_s: monotonic time of the last frame.
    :param beats: whether the entry sends heartbeats on this link.
    """

    link: Link
    heard_s: float
    beats: bool = False


class LinkRegistry:
    """Links by incarnation of the entry."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._entries: dict[str, LinkedEntry] = {}

    @property
    def entries(self) -> list[str]:
        """Incarnations of the linked entries."""
        return list(self._entries)

    def __contains__(self, entry: str) -> bool:
        """Whether an entry is linked."""
        return entry in self._entries

    def add(self, entry: str, link: Link) -> None:
        """Register a link that is up."""
        self._entries[entry] = LinkedEntry(link, self._clock())

    def remove(self, entry: str) -> None:
        """Forget a link."""
        self._entries.pop(entry, None)

    def heard(self, entry: str, *, heartbeat: bool = False) -> None:
        """Note that a frame of an entry arrived."""
        linked = self._entries.get(entry)
        if linked is not None:
            linked.heard_s = self._clock()
            linked.beats = linked.beats or heartbeat

    def silent(self, seconds: float) -> list[str]:
        """Return entries whose heartbeats have stopped for so long."""
        limit_s = self._clock() - seconds
        return [
            entry
            for entry, linked in self._entries.items()
            if linked.beats and linked.heard_s < limit_s
        ]

    def post(self, entry: str, message: AnyMessage) -> bool:
        """Send to one entry; false when it has no link."""
        linked = self._entries.get(entry)
        if linked is None or linked.link.closed:
            return False
        linked.link.post(message)
        return True

    def broadcast(self, message: AnyMessage) -> None:
        """Send to all entries."""
        for linked in self._entries.values():
            linked.link.post(message)

    def close_all(self) -> None:
        """End all links, so that their entries are joined anew."""
        for linked in list(self._entries.values()):
            linked.link.close()

    async def flush(self) -> None:
        """Wait until all queued messages have left, for a bounded time."""
        flushes = [
            asyncio.ensure_future(linked.link.flush())
            for linked in self._entries.values()
        ]
        if flushes:
            await asyncio.wait(flushes, timeout=FLUSH_TIMEOUT_S)
