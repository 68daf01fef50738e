"""In-memory table with a change feed."""

import asyncio

from endivetally_core.errors import TableUnavailable

from endivetally_table.feed import Changes
from endivetally_table.feed import FeedTable
from endivetally_table.feed import HistoryLost
from endivetally_table.feed import RowChange
from endivetally_table.feed import Snapshot
from endivetally_table.memory import MemoryTable
from endivetally_table.table import Transaction


class MemoryFeedTable(MemoryTable, FeedTable):
    """Keeps the history of all changes until `discard_history` is called."""

    def __init__(self) -> None:
        super().__init__()
        self._newest_version = 0
        self._oldest_version = 0
        self._history: list[tuple[int, RowChange]] = []
        self._changed = asyncio.Event()

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction and append its changes to the history."""
        await super().commit(transaction)
        self._newest_version += 1
        for put in transaction.puts:
            change = RowChange(put.key, self._rows.get(put.key))
            self._history.append((self._newest_version, change))
        self._changed.set()

    async def read_snapshot(self, prefix: str) -> Snapshot:
        """Return all rows whose key starts with the prefix, at one version."""
        return Snapshot(tuple(await self.scan(prefix)), self._newest_version)

    async def wait_for_changes(self, after: int, wait_s: float) -> Changes:
        """Return the changes after a version; wait if there are none yet."""
        if self.faults.down:
            raise TableUnavailable('table service is down')
        if after < self._oldest_version:
            raise HistoryLost('the change history was discarded')
        if after >= self._newest_version:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                return Changes((), self._newest_version)
            if after < self._oldest_version:
                raise HistoryLost('the change history was discarded')
        return self._collect_changes(after)

    def discard_history(self) -> None:
        """Discard all changes; clients must read a new snapshot."""
        self._history.clear()
        self._oldest_version = self._newest_version + 1
        self._newest_version += 1
        self._changed.set()

    def _collect_changes(self, after: int) -> Changes:
        changes = (change for version, change in self._history if version > after)
        return Changes(tuple(changes), self._newest_version)
