"""In-memory table with injectable faults, a stand-in for the table service."""

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
    """Faults that a test injects.

    :param down: every call fails without effect.
    :param slow_ms: milliseconds that are added to every call.
    :param lose_answers: number of upcoming commits that are applied but fail with a
        lost response.
    :param late_commits: number of upcoming commits that fail with a lost response and
        are applied only by `MemoryTable.deliver_late_commits`.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    late_commits: int = 0


class TableStats(msgspec.Struct):
    """Counts of calls that reached the service.

    :param writes: transactions that were applied.
    :param rows: rows that these transactions wrote or deleted.
    :param reads: reads and scans.
    :param conflicts: transactions refused because a condition did not hold.
    """

    writes: int = 0
    rows: int = 0
    reads: int = 0
    conflicts: int = 0


class _RateLimiter:
    """Spaces calls evenly to limit their rate.

    :param calls_per_s: maximum rate in calls per second; 0 for no limit.
    """

    def __init__(self, calls_per_s: int) -> None:
        self._interval_s = 1 / calls_per_s if calls_per_s else 0
        self._next_start = time.monotonic()

    def reserve(self) -> float:
        """Reserve the next call; return the seconds to wait before it."""
        now = time.monotonic()
        start = max(now, self._next_start)
        self._next_start = start + self._interval_s
        return start - now


class MemoryTable(Table):
    """Keeps rows in a dictionary and applies each transaction atomically.

    :param write_ms: milliseconds that a commit takes.
    :param read_ms: milliseconds that a read or scan takes.
    :param writes_per_s: commits beyond this rate are delayed; 0 sets no limit.
    """

    def __init__(
        self, *, write_ms: int = 0, read_ms: int = 0, writes_per_s: int = 0
    ) -> None:
        self.faults = TableFaults()
        self.stats = TableStats()
        self._write_ms = write_ms
        self._read_ms = read_ms
        self._rate_limiter = _RateLimiter(writes_per_s)
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._late_commits: list[Transaction] = []

    async def read(self, key: str) -> Row | None:
        """Return the row, or ``None`` when it does not exist."""
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
        """Apply a transaction, subject to the injected faults."""
        await asyncio.sleep(self._rate_limiter.reserve())
        await self._delay(self._write_ms)
        if self.faults.late_commits:
            self.faults.late_commits -= 1
            self._late_commits.append(transaction)
            raise TableUnavailable('response lost')
        self._apply(transaction)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise TableUnavailable('response lost')

    def deliver_late_commits(self) -> int:
        """Apply the commits held back by a fault; return how many succeeded."""
        late_commits = self._late_commits
        self._late_commits = []
        return sum(self._try_apply(transaction) for transaction in late_commits)

    def close(self) -> None:
        """Do nothing; there are no connections."""

    async def _delay(self, call_ms: int) -> None:
        delay_ms = call_ms + self.faults.slow_ms
        await asyncio.sleep(delay_ms / _MS_PER_S)
        if self.faults.down:
            raise TableUnavailable('table service is down')

    def _try_apply(self, transaction: Transaction) -> bool:
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
        self._rows[key] = Row(key, content, self._next_version(key))

    def _delete(self, key: str) -> None:
        if self._rows.pop(key, None):
            del self._keys[bisect_left(self._keys, key)]

    def _next_version(self, key: str) -> int:
        """Return the version of a row that is written now."""
        return self._version(key) + 1

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else 0
