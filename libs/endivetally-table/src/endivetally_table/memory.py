"""A table service in memory with the faults of the platform's one."""

import asyncio
import time
from bisect import bisect_left
from bisect import bisect_right
from bisect import insort
from typing import Final

import msgspec
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable

from endivetally_table.table import Row
from endivetally_table.table import Table
from endivetally_table.table import Transaction

_MS_PER_S: Final = 1000
_LAST_CHARACTER: Final = '\U0010ffff'


class TableFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that a test switches on.

    :param down: every call fails at once, without effect.
    :param slow_ms: milliseconds added to every call.
    :param lose_answers: the next commits take effect but report a lost answer.
    :param late_commits: the next commits report a lost answer and take effect
        only at `MemoryTable.deliver_late_commits`.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    late_commits: int = 0


class TableStats(msgspec.Struct):
    """Counts of calls that reached the service.

    :param writes: transactions that were applied; ``rows`` are their rows.
    """

    writes: int = 0
    rows: int = 0
    reads: int = 0
    conflicts: int = 0


class _Pacer:
    """Spaces out calls to a number per second."""

    def __init__(self, calls_per_s: int) -> None:
        self._interval_s = 1 / calls_per_s if calls_per_s else 0
        self._free_at = time.monotonic()

    def reserve(self) -> float:
        """Return the seconds to wait for the next free place."""
        now = time.monotonic()
        start = max(now, self._free_at)
        self._free_at = start + self._interval_s
        return start - now


class MemoryTable(Table):
    """Keeps rows in a dict; each transaction is applied in one step.

    :param write_ms: milliseconds that a commit takes.
    :param read_ms: milliseconds that a read or scan takes.
    :param writes_per_s: commits beyond it queue; 0 sets no bound.
    """

    def __init__(
        self, *, write_ms: int = 0, read_ms: int = 0, writes_per_s: int = 0
    ) -> None:
        self.faults = TableFaults()
        self.stats = TableStats()
        self._write_ms = write_ms
        self._read_ms = read_ms
        self._pacer = _Pacer(writes_per_s)
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._late: list[Transaction] = []

    async def read(self, key: str) -> Row | None:
        """Return the row, if it exists."""
        await self._delay(self._read_ms)
        self.stats.reads += 1
        return self._rows.get(key)

    async def scan(
        self, prefix: str, *, after: str = '', limit: int | None = None
    ) -> list[Row]:
        """Return the rows whose key starts with the prefix, in key order."""
        await self._delay(self._read_ms)
        self.stats.reads += 1
        first = max(bisect_left(self._keys, prefix), bisect_right(self._keys, after))
        last = bisect_left(self._keys, prefix + _LAST_CHARACTER, first)
        if limit is not None:
            last = min(last, first + limit)
        return [self._rows[key] for key in self._keys[first:last]]

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction, then report as the faults say."""
        await asyncio.sleep(self._pacer.reserve())
        await self._delay(self._write_ms)
        if self.faults.late_commits:
            self.faults.late_commits -= 1
            self._late.append(transaction)
            raise TableUnavailable('answer lost')
        self._apply(transaction)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise TableUnavailable('answer lost')

    def deliver_late_commits(self) -> int:
        """Apply the commits that were held back; return how many took effect."""
        late = self._late
        self._late = []
        return sum(self._lands(transaction) for transaction in late)

    def close(self) -> None:
        """Do nothing; there are no connections."""

    async def _delay(self, call_ms: int) -> None:
        delay_ms = call_ms + self.faults.slow_ms
        await asyncio.sleep(delay_ms / _MS_PER_S)
        if self.faults.down:
            raise TableUnavailable('table service is down')

    def _lands(self, transaction: Transaction) -> bool:
        try:
            self._apply(transaction)
        except TableConflict:
            return False
        return True

    def _apply(self, transaction: Transaction) -> None:
        for condition in transaction.conditions:
            if self._version(condition.key) != condition.version:
                self.stats.conflicts += 1
                raise TableConflict(condition.key)
        for put in transaction.puts:
            self._put(put.key, put.content)
        self.stats.writes += 1
        self.stats.rows += len(transaction.puts)

    def _put(self, key: str, content: bytes | None) -> None:
        if content is None:
            self._delete(key)
            return
        if key not in self._rows:
            insort(self._keys, key)
        self._rows[key] = Row(key, content, self._version(key) + 1)

    def _delete(self, key: str) -> None:
        if self._rows.pop(key, None):
            del self._keys[bisect_left(self._keys, key)]

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else 0
