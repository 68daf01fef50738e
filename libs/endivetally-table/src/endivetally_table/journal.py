"""Journal of an entry: what it may start, and where, durable before it does.

One write is in flight at a time and carries all that waited for it. Every
write is conditional on the writer's own row being live, so that nothing of a
fenced writer lands. A write that is given up may still land later: its callers
were told that nothing ran, and its sequences are never started.
"""

import asyncio
import contextlib
import logging
import secrets
from dataclasses import dataclass
from typing import Final

from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import IncarnationFenced
from endivetally_core.errors import RequestError
from endivetally_core.errors import TableUnavailable
from endivetally_core.joining import EntryIdentity

from endivetally_table.batches import JournalBatch
from endivetally_table.batches import JournalRecord
from endivetally_table.pending import PendingBatch
from endivetally_table.rate_limiter import WritePacer
from endivetally_table.segments import Pruning
from endivetally_table.segments import SegmentLog
from endivetally_table.table import Table
from endivetally_table.writer import BatchWriter

SETTLE_TIMEOUT_S: Final = 2.0
PROBE_INTERVAL_S: Final = 0.5
WRITES_PER_S: Final = 250
_WRITE_ID_BYTES: Final = 8

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class JournalCounters:
    """Counts of one journal.

    :param writes: batches that are durable.
    :param rows: journal entries that are durable.
    :param refused: entries refused because the table was unavailable.
    """

    writes: int = 0
    rows: int = 0
    refused: int = 0


class Journal:
    """Group commit of one entry's records.

    :param table: the platform's table service.
    :param identity: the entry, registered in the table.
    :param probe_interval_s: seconds between probes during an outage.
    :param settle_timeout_s: seconds until a write is given up.
    :param writes_per_s: this entry's share of the writes that the table takes.
    """

    def __init__(
        self,
        table: Table,
        identity: EntryIdentity,
        *,
        probe_interval_s: float = PROBE_INTERVAL_S,
        settle_timeout_s: float = SETTLE_TIMEOUT_S,
        writes_per_s: float = WRITES_PER_S,
    ) -> None:
        self.counters = JournalCounters()
        self._batches = BatchWriter(table, identity.incarnation)
        self._incarnation = identity.incarnation
        self._probe_interval_s = probe_interval_s
        self._settle_timeout_s = settle_timeout_s
        self._pacer = WritePacer(writes_per_s, _now())
        self._number = 0
        self._admitted: frozenset[str] = frozenset()
        self._pending = PendingBatch()
        self._in_flight = PendingBatch()
        self._segments = SegmentLog(identity.incarnation)
        self._ready = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._available = True
        self._fenced = False
        self._stack = contextlib.ExitStack()
        writer = asyncio.get_running_loop().create_task(self._write_batches())
        writer.add_done_callback(self._writer_ended)
        self._stack.callback(writer.cancel)

    @property
    def available(self) -> bool:
        """Whether the table takes writes, as far as is known."""
        return self._available and not self._fenced

    @property
    def read_backs(self) -> int:
        """Reads that settled a write with a lost answer."""
        return self._batches.read_backs

    @property
    def writes_per_s(self) -> float:
        """Rate that the writes of this entry keep within."""
        return self._pacer.rate

    @property
    def fenced(self) -> bool:
        """Whether this incarnation has ended."""
        return self._fenced

    @property
    def admitted(self) -> frozenset[str]:
        """Agent incarnations that non-idempotent tasks may be bound to."""
        return frozenset() if self._fenced else self._admitted

    def set_write_rate(self, writes_per_s: float) -> None:
        """Set this entry's share of the writes that the table takes."""
        self._pacer.set_rate(writes_per_s, _now())

    async def append_record(self, entry: JournalRecord) -> None:
        """Make an entry durable; a caller that gives up never starts it.

        :raises RequestError: the table is unavailable; never start the sequence.
        :raises IncarnationFenced: another entry has taken over.
        """
        self._check_open()
        waiter = self._pending.add_entry(entry)
        self._ready.set()
        await waiter

    async def admit_agents(self, incarnations: frozenset[str]) -> None:
        """Admit agents; they are in `admitted` once that is durable.

        :raises RequestError: the table is unavailable.
        :raises IncarnationFenced: another entry has taken over.
        """
        new = incarnations - self._admitted
        if not new:
            return
        self._check_open()
        waiter = self._pending.add_agents(new)
        self._ready.set()
        await waiter

    def remove_agents(self, incarnations: frozenset[str]) -> None:
        """Withdraw agents at once; the record follows with the next batch."""
        self._admitted -= incarnations
        self._pending.remove_agents(incarnations)

    async def flush(self) -> None:
        """Wait until nothing waits and no write is in flight."""
        await self._idle.wait()
        while self._ready.is_set():
            await asyncio.sleep(0)
            await self._idle.wait()

    async def prune(self, older_than: float) -> int:
        """Delete own batches whose entries are all older than a wall time.

        :param older_than: seconds since the epoch.
        :return: number of rows deleted.
        :raises IncarnationFenced: another entry has taken over.
        :raises TableUnavailable: when the service does not answer; call again.
        """
        deleted = 0
        while pruning := self._segments.plan(older_than):
            await self._commit_pruning(pruning)
            deleted += pruning.deleted
        return deleted

    def close(self) -> None:
        """End the writer; entries that wait are refused."""
        self._stack.close()
        self._refuse_all()

    def _refuse_all(self) -> None:
        self._available = False
        self._ready.clear()
        self._idle.set()
        self._in_flight.fail(_unavailable)
        self._pending.fail(_unavailable)

    def _writer_ended(self, writer: asyncio.Task[None]) -> None:
        if not writer.cancelled() and writer.exception() is not None:
            _logger.error('journal has failed', exc_info=writer.exception())
            self._refuse_all()

    async def _commit_pruning(self, pruning: Pruning) -> None:
        try:
            await self._batches.commit_live(*pruning.puts)
        except IncarnationFenced:
            self._end()
            raise
        self._segments.prune(pruning)

    def _check_open(self) -> None:
        if self._fenced:
            raise IncarnationFenced(self._incarnation)
        if not self._available:
            self.counters.refused += 1
            raise _unavailable()

    async def _write_batches(self) -> None:
        while not self._fenced:
            await self._ready.wait()
            self._idle.clear()
            await asyncio.sleep(self._pacer.take(_now()))
            await self._write_next()
            self._idle.set()
            if not self._available:
                await self._probe()

    async def _write_next(self) -> None:
        taken = self._pending.take()
        self._in_flight = taken
        if not self._pending:
            self._ready.clear()
        batch = taken.batch(secrets.token_hex(_WRITE_ID_BYTES))
        number = self._number
        self._number += 1
        try:
            await asyncio.wait_for(
                self._batches.write(number, batch), self._settle_timeout_s
            )
        except (TableUnavailable, TimeoutError):
            self._refuse(taken)
        except IncarnationFenced:
            self._end()
        else:
            self._written(number, batch, taken)

    def _written(self, number: int, batch: JournalBatch, taken: PendingBatch) -> None:
        self.counters.writes += 1
        self.counters.rows += len(batch.entries)
        self._segments.append(number, batch)
        added = frozenset(batch.agents_added)
        self._admitted |= added - self._pending.agents_removed
        taken.succeed()

    def _refuse(self, taken: PendingBatch) -> None:
        self._available = False
        _logger.warning('journal is unavailable', extra={'entry': self._incarnation})
        refused = self._pending
        self._pending = PendingBatch()
        self._ready.clear()
        for pending in (taken, refused):
            self.counters.refused += pending.size
            pending.fail(_unavailable)
            self._pending.remove_agents(pending.agents_removed)

    def _end(self) -> None:
        self._fenced = True
        self._ready.clear()
        self._in_flight.fail(self._new_fenced)
        self._pending.fail(self._new_fenced)
        _logger.warning('journal is fenced', extra={'entry': self._incarnation})

    def _new_fenced(self) -> IncarnationFenced:
        return IncarnationFenced(self._incarnation)

    async def _probe(self) -> None:
        while not self._available:
            await asyncio.sleep(self._probe_interval_s)
            with contextlib.suppress(TableUnavailable):
                await self._probe_once()

    async def _probe_once(self) -> None:
        try:
            await self._batches.commit_live()
        except IncarnationFenced:
            self._end()
        else:
            _logger.info('journal is available', extra={'entry': self._incarnation})
        self._available = True


def _unavailable() -> RequestError:
    return RequestError(
        ErrorKind.PLATFORM_UNAVAILABLE,
        'the journal can not be written',
        ran=ExecutionState.NOT_RUN,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
