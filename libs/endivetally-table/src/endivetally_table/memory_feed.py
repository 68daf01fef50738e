"""In-memory table with a change feed."""

import asyncio
from dataclasses import dataclass

from endivetally_core.errors import TableUnavailable

from endivetally_table.feed import Changes
from endivetally_table.feed import FeedTable
from endivetally_table.feed import HistoryLost
from endivetally_table.feed import RowChange
from endivetally_table.feed import Snapshot
from endivetally_table.memory import MemoryTable
from endivetally_table.table import Transaction


@dataclass(slots=True)
class VersionCounter:
    """Newest version of a service; it counts the transactions of all tables."""

    newest: int = 0


class MemoryFeedTable(MemoryTable, FeedTable):
    """Keeps the history of all changes until `discard_history` is called.

    A row has the version of the transaction that wrote it.

    :param versions: shared by the tables of one service.
    """

    def __init__(self, versions: VersionCounter | None = None) -> None:
        super().__init__()
        self._versions = versions or VersionCounter()
        self._oldest_version = 0
        self._history: list[tuple[int, RowChange]] = []
        self._changed = asyncio.Event()

    async def read_snapshot(self, prefix: str) -> Snapshot:
        """Return all rows whose key starts with the prefix, at one version."""
        return Snapshot(tuple(await self.scan(prefix)), self._versions.newest)

    async def wait_for_changes(self, after: int, wait_s: float) -> Changes:
        """Return the changes after a version; wait if there are none yet."""
        if self.faults.down:
            raise TableUnavailable('table service is down')
        if not self._has_changed(after):
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                return Changes((), self._versions.newest)
        if after < self._oldest_version:
            raise HistoryLost('the change history was discarded')
        changes = (change for version, change in self._history if version > after)
        return Changes(tuple(changes), self._versions.newest)

    def discard_history(self) -> None:
        """Discard all changes; clients must read a new snapshot."""
        self._history.clear()
        self._versions.newest += 1
        self._oldest_version = self._versions.newest
        self._changed.set()

    def _has_changed(self, after: int) -> bool:
        newest = self._history[-1][0] if self._history else self._oldest_version
        return after < newest

    def _apply(self, transaction: Transaction) -> None:
        super()._apply(transaction)
        self._versions.newest += 1
        for put in transaction.puts:
            change = RowChange(put.key, self._rows.get(put.key))
            self._history.append((self._versions.newest, change))
        self._changed.set()

    def _next_version(self, key: str) -> int:
        return self._versions.newest + 1
