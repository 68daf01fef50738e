"""Write-ahead journal of an entry, with group commit.

The journal records which requests may start and which agents may be used, before
either happens. One write is in flight at a time; records that arrive meanwhile share
the next write. Every write requires that the entry's own row is live, so no write of
a fenced entry is applied. A write that is abandoned after a timeout or lost
responses may still be applied later: its callers were told that nothing ran, and
its requests are never started.
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
from endivetally_table.rate_limiter import WriteRateLimiter
from endivetally_table.segments import Pruning
from endivetally_table.segments import SegmentLog
from endivetally_table.table import Table
from endivetally_table.writer import BatchWriter

# Time limit in seconds for a write, including its retries.
WRITE_TIMEOUT_S: Final = 2.0
# Seconds between checks of the table during an outage.
PROBE_INTERVAL_S: Final = 0.5
# Default write rate of one entry, in writes per second.
WRITES_PER_S: Final = 250
_WRITE_ID_BYTES: Final = 8

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class JournalCounters:
    """Counters of one journal.

    :param writes: batches that became durable.
    :param records: records that became durable.
    :param refused_records: records refused because the table was unavailable.
    """

    writes: int = 0
    records: int = 0
    refused_records: int = 0


class Journal:
    """Makes records of one entry durable, several in each write.

    :param table: the platform's table service.
    :param identity: the entry, which must be registered in the table.
    :param probe_interval_s: seconds between probes during an outage.
    :param write_timeout_s: seconds after which a write, with its retries, has failed.
    :param writes_per_s: this entry's share of the write rate of the table.
    """

    def __init__(
        self,
        table: Table,
        identity: EntryIdentity,
        *,
        probe_interval_s: float = PROBE_INTERVAL_S,
        write_timeout_s: float = WRITE_TIMEOUT_S,
        writes_per_s: float = WRITES_PER_S,
    ) -> None:
        self.counters = JournalCounters()
        self._batch_writer = BatchWriter(table, identity.incarnation)
        self._incarnation = identity.incarnation
        self._probe_interval_s = probe_interval_s
        self._write_timeout_s = write_timeout_s
        self._rate_limiter = WriteRateLimiter(writes_per_s, _now())
        self._next_number = 0
        self._admitted: frozenset[str] = frozenset()
        self._pending = PendingBatch()
        self._in_flight = PendingBatch()
        self._segment_log = SegmentLog(identity.incarnation)
        self._has_pending = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._available = True
        self._fenced = False
        self._exit_stack = contextlib.ExitStack()
        writer = asyncio.get_running_loop().create_task(self._write_batches())
        writer.add_done_callback(self._on_writer_ended)
        self._exit_stack.callback(writer.cancel)

    @property
    def available(self) -> bool:
        """Whether the journal accepts records, as far as is known.

        ``False`` during an outage of the table, and once fenced or closed.
        """
        return self._available and not self._fenced

    @property
    def read_backs(self) -> int:
        """Number of reads that checked whether a write had been applied."""
        return self._batch_writer.read_backs

    @property
    def writes_per_s(self) -> float:
        """Maximum rate of this entry's writes, in writes per second."""
        return self._rate_limiter.rate

    @property
    def fenced(self) -> bool:
        """Whether the table refused a write because this incarnation has ended."""
        return self._fenced

    @property
    def admitted_agents(self) -> frozenset[str]:
        """Agent incarnations that non-idempotent tasks may be sent to."""
        return frozenset() if self._fenced else self._admitted

    def set_write_rate(self, writes_per_s: float) -> None:
        """Set this entry's share of the write rate of the table."""
        self._rate_limiter.set_rate(writes_per_s, _now())

    async def append_record(self, record: JournalRecord) -> None:
        """Make a record durable; its request may start only after this returns.

        A caller that is cancelled while it waits must never start the request, as
        the record may still become durable.

        :raises RequestError: the table is unavailable; the request must never start
            under this sequence number.
        :raises IncarnationFenced: another entry has taken over.
        """
        self._check_available()
        waiter = self._pending.add_record(record)
        self._has_pending.set()
        await waiter

    async def admit_agents(self, incarnations: frozenset[str]) -> None:
        """Admit agents; `admitted_agents` contains them once that is durable.

        :raises RequestError: the table is unavailable.
        :raises IncarnationFenced: another entry has taken over.
        """
        new = incarnations - self._admitted
        if not new:
            return
        self._check_available()
        waiter = self._pending.admit_agents(new)
        self._has_pending.set()
        await waiter

    def remove_agents(self, incarnations: frozenset[str]) -> None:
        """Remove agents at once; the next batch records the removal."""
        self._admitted -= incarnations
        self._pending.remove_agents(incarnations)

    async def flush(self) -> None:
        """Wait until no record or admission is pending or in flight."""
        await self._idle.wait()
        while self._has_pending.is_set():
            await asyncio.sleep(0)
            await self._idle.wait()

    async def prune(self, older_than: float) -> int:
        """Delete this entry's batches whose records are all older than a wall time.

        :param older_than: seconds since the epoch.
        :return: number of rows deleted.
        :raises IncarnationFenced: another entry has taken over.
        :raises TableUnavailable: when the service does not respond; call again.
        """
        deleted = 0
        while pruning := self._segment_log.plan_pruning(older_than):
            await self._commit_pruning(pruning)
            deleted += pruning.deleted_row_count
        return deleted

    def close(self) -> None:
        """Stop the writer and refuse the pending records."""
        self._exit_stack.close()
        self._refuse_all()

    def _refuse_all(self) -> None:
        self._available = False
        self._has_pending.clear()
        self._idle.set()
        self._in_flight.fail(_create_unavailable_error)
        self._pending.fail(_create_unavailable_error)

    def _on_writer_ended(self, writer: asyncio.Task[None]) -> None:
        if not writer.cancelled() and writer.exception() is not None:
            _logger.error('journal writer failed', exc_info=writer.exception())
            self._refuse_all()

    async def _commit_pruning(self, pruning: Pruning) -> None:
        try:
            await self._batch_writer.commit_if_live(*pruning.puts)
        except IncarnationFenced:
            self._handle_fenced()
            raise
        self._segment_log.remove_pruned(pruning)

    def _check_available(self) -> None:
        if self._fenced:
            raise IncarnationFenced(self._incarnation)
        if not self._available:
            self.counters.refused_records += 1
            raise _create_unavailable_error()

    async def _write_batches(self) -> None:
        while not self._fenced:
            await self._has_pending.wait()
            self._idle.clear()
            await asyncio.sleep(self._rate_limiter.reserve(_now()))
            await self._write_next()
            self._idle.set()
            if not self._available:
                await self._probe()

    async def _write_next(self) -> None:
        in_flight = self._pending.split_batch()
        self._in_flight = in_flight
        if not self._pending:
            self._has_pending.clear()
        batch = in_flight.to_batch(secrets.token_hex(_WRITE_ID_BYTES))
        number = self._next_number
        self._next_number += 1
        try:
            await asyncio.wait_for(
                self._batch_writer.write_batch(number, batch), self._write_timeout_s
            )
        except (TableUnavailable, TimeoutError):
            self._handle_outage(in_flight)
        except IncarnationFenced:
            self._handle_fenced()
        else:
            self._handle_written(number, batch, in_flight)

    def _handle_written(
        self, number: int, batch: JournalBatch, in_flight: PendingBatch
    ) -> None:
        self.counters.writes += 1
        self.counters.records += len(batch.records)
        self._segment_log.append_batch(number, batch)
        admitted = frozenset(batch.agents_admitted)
        self._admitted |= admitted - self._pending.agents_removed
        in_flight.succeed()

    def _handle_outage(self, in_flight: PendingBatch) -> None:
        self._available = False
        _logger.warning(
            'table is unavailable; journal refuses records',
            extra={'entry': self._incarnation},
        )
        waiting = self._pending
        self._pending = PendingBatch()
        self._has_pending.clear()
        for pending in (in_flight, waiting):
            self.counters.refused_records += pending.record_count
            pending.fail(_create_unavailable_error)
            self._pending.remove_agents(pending.agents_removed)

    def _handle_fenced(self) -> None:
        self._fenced = True
        self._has_pending.clear()
        self._in_flight.fail(self._create_fenced_error)
        self._pending.fail(self._create_fenced_error)
        _logger.warning(
            'entry is fenced; journal accepts no more records',
            extra={'entry': self._incarnation},
        )

    def _create_fenced_error(self) -> IncarnationFenced:
        return IncarnationFenced(self._incarnation)

    async def _probe(self) -> None:
        while not self._available:
            await asyncio.sleep(self._probe_interval_s)
            with contextlib.suppress(TableUnavailable):
                await self._probe_once()

    async def _probe_once(self) -> None:
        try:
            await self._batch_writer.commit_if_live()
        except IncarnationFenced:
            self._handle_fenced()
        else:
            _logger.info(
                'table is available again; journal accepts records',
                extra={'entry': self._incarnation},
            )
        self._available = True


def _create_unavailable_error() -> RequestError:
    return RequestError(
        ErrorKind.PLATFORM_UNAVAILABLE,
        'the journal can not be written',
        execution_state=ExecutionState.NOT_RUN,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
