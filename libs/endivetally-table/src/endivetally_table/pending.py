"""What waits for the next write of a journal."""

import asyncio
from collections.abc import Callable
from itertools import islice
from typing import Final

from endivetally_table.batches import JournalBatch
from endivetally_table.batches import JournalRecord

MAX_ENTRIES_PER_BATCH: Final = 256

Waiter = asyncio.Future[None]


class PendingBatch:
    """Entries and agents that wait, with the callers to tell."""

    def __init__(self) -> None:
        self._entries: dict[Waiter, JournalRecord] = {}
        self._agent_waiters: list[Waiter] = []
        self._added: frozenset[str] = frozenset()
        self._removed: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        """Whether a caller waits."""
        return bool(self._entries or self._agent_waiters)

    @property
    def size(self) -> int:
        """Number of entries that wait."""
        return len(self._entries)

    @property
    def agents_removed(self) -> frozenset[str]:
        """Agents whose removal waits for the next write."""
        return self._removed

    def add_entry(self, entry: JournalRecord) -> Waiter:
        """Queue an entry; the future ends when it is durable."""
        waiter = _new_waiter()
        self._entries[waiter] = entry
        return waiter

    def add_agents(self, incarnations: frozenset[str]) -> Waiter:
        """Queue agents to admit; the future ends when that is durable."""
        waiter = _new_waiter()
        self._agent_waiters.append(waiter)
        self._added |= incarnations
        return waiter

    def remove_agents(self, incarnations: frozenset[str]) -> None:
        """Queue agents to remove; one that waits to be admitted is not."""
        self._added -= incarnations
        self._removed |= incarnations

    def take(self) -> 'PendingBatch':
        """Split off what fits into one write, oldest entries first."""
        taken = PendingBatch()
        for waiter in list(islice(self._entries, MAX_ENTRIES_PER_BATCH)):
            taken._entries[waiter] = self._entries.pop(waiter)
        taken._take_agents(self._agent_waiters, self._added, self._removed)
        self._take_agents([], frozenset(), frozenset())
        return taken

    def batch(self, write_id: str) -> JournalBatch:
        """Return the record of what waits."""
        return JournalBatch(
            entries=tuple(self._entries.values()),
            agents_added=tuple(sorted(self._added)),
            agents_removed=tuple(sorted(self._removed)),
            write_id=write_id,
        )

    def succeed(self) -> None:
        """Tell every caller that its record is durable."""
        for waiter in self._waiters():
            waiter.set_result(None)

    def fail(self, new_error: Callable[[], Exception]) -> None:
        """Tell every caller, by an error of its own, that it may not start."""
        for waiter in self._waiters():
            waiter.set_exception(new_error())

    def _take_agents(
        self, waiters: list[Waiter], added: frozenset[str], removed: frozenset[str]
    ) -> None:
        self._agent_waiters = waiters
        self._added = added
        self._removed = removed

    def _waiters(self) -> list[Waiter]:
        waiters = [*self._entries, *self._agent_waiters]
        return [waiter for waiter in waiters if not waiter.done()]


def _new_waiter() -> Waiter:
    return asyncio.get_running_loop().create_future()
