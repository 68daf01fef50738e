"""Journal of an entry: what it may start, and where, durable before it does.

One write is in flight at a time and carries all that waited for it. Every
write is conditional on the writer's own row being live, so that nothing of a
fenced writer lands. A write that is given up may still land later: its callers
were told that nothing ran, and its sequences are never started.
"""

import asyncio
import contextlib
import secrets
from dataclasses import dataclass
from typing import Final

from endivetally_core.errors import ErrorKind
from endivetally_core.errors import Fenced
from endivetally_core.errors import RequestError
from endivetally_core.errors import RunState
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable
from endivetally_core.joining import EntryIdentity

from endivetally_table.batches import JournalBatch
from endivetally_table.batches import JournalEntry
from endivetally_table.batches import batch_key
from endivetally_table.batches import decode_batch
from endivetally_table.batches import encode_batch
from endivetally_table.entries import while_live
from endivetally_table.pending import PendingBatch
from endivetally_table.segments import SegmentLog
from endivetally_table.table import Condition
from endivetally_table.table import Put
from endivetally_table.table import Table
from endivetally_table.table import Transaction

SETTLE_ATTEMPTS: Final = 3
SETTLE_TIMEOUT_S: Final = 2.0
PROBE_INTERVAL_S: Final = 0.5
_WRITE_ID_BYTES: Final = 8


@dataclass(slots=True)
class JournalCounters:
    """Counts of one journal.

    :param writes: batches that are durable.
    :param rows: journal entries that are durable.
    :param read_backs: reads that settled a write with a lost answer.
    :param refused: entries refused because the table was unavailable.
    """

    writes: int = 0
    rows: int = 0
    read_backs: int = 0
    refused: int = 0


class Journal:
    """Group commit of one entry's records.

    :param table: the platform's table service.
    :param identity: the entry, registered in the table.
    :param probe_interval_s: seconds between probes during an outage.
    :param settle_timeout_s: seconds until a write is given up.
    """

    def __init__(
        self,
        table: Table,
        identity: EntryIdentity,
        *,
        probe_interval_s: float = PROBE_INTERVAL_S,
        settle_timeout_s: float = SETTLE_TIMEOUT_S,
    ) -> None:
        self.counters = JournalCounters()
        self._table = table
        self._incarnation = identity.incarnation
        self._probe_interval_s = probe_interval_s
        self._settle_timeout_s = settle_timeout_s
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
        self._stack.callback(writer.cancel)

    @property
    def available(self) -> bool:
        """Whether the table takes writes, as far as is known."""
        return self._available and not self._fenced

    @property
    def fenced(self) -> bool:
        """Whether this incarnation has ended."""
        return self._fenced

    @property
    def admitted(self) -> frozenset[str]:
        """Agent incarnations that non-idempotent tasks may be bound to."""
        return self._admitted

    async def record(self, entry: JournalEntry) -> None:
        """Make an entry durable; a caller that gives up never starts it.

        :raises RequestError: the table is unavailable; never start the sequence.
        :raises Fenced: another entry has taken over.
        """
        self._check_open()
        waiter = self._pending.add_entry(entry)
        self._ready.set()
        await waiter

    async def admit_agents(self, incarnations: frozenset[str]) -> None:
        """Admit agents; they are in `admitted` once that is durable.

        :raises RequestError: the table is unavailable.
        :raises Fenced: another entry has taken over.
        """
        new = incarnations - self._admitted
        if not new:
            return
        self._check_open()
        waiter = self._pending.add_agents(new)
        self._ready.set()
        await waiter

    def release_agents(self, incarnations: frozenset[str]) -> None:
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
        :raises Fenced: another entry has taken over.
        :raises TableUnavailable: when the service does not answer; call again.
        """
        pruning = self._segments.plan(older_than)
        if pruning is None:
            return 0
        conditions = (while_live(self._incarnation),)
        await self._table.commit(Transaction(conditions, pruning.puts))
        self._segments.prune(pruning)
        return pruning.deleted

    def close(self) -> None:
        """End the writer; entries that wait are refused."""
        self._stack.close()
        self._available = False
        self._ready.clear()
        self._idle.set()
        self._in_flight.fail(_unavailable())
        self._pending.fail(_unavailable())

    def _check_open(self) -> None:
        if self._fenced:
            raise Fenced(self._incarnation)
        if not self._available:
            self.counters.refused += 1
            raise _unavailable()

    async def _write_batches(self) -> None:
        while not self._fenced:
            await self._ready.wait()
            self._idle.clear()
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
            await asyncio.wait_for(self._commit(number, batch), self._settle_timeout_s)
        except (TableUnavailable, TimeoutError):
            self._refuse(taken)
        except Fenced as error:
            self._end(taken, error)
        else:
            self._written(number, batch, taken)

    async def _commit(self, number: int, batch: JournalBatch) -> None:
        key = batch_key(self._incarnation, number)
        transaction = Transaction(
            (while_live(self._incarnation), Condition(key, 0)),
            (Put(key, encode_batch(batch)),),
        )
        attempts = SETTLE_ATTEMPTS
        while not await self._settled(key, transaction, batch.write_id):
            attempts -= 1
            if not attempts:
                raise TableUnavailable(key)

    async def _settled(self, key: str, transaction: Transaction, write_id: str) -> bool:
        conflict = False
        try:
            await self._table.commit(transaction)
        except TableConflict:
            conflict = True
        except TableUnavailable:
            conflict = False
        else:
            return True
        if await self._has_landed(key, write_id):
            return True
        if conflict:
            raise Fenced(self._incarnation)
        return False

    async def _has_landed(self, key: str, write_id: str) -> bool:
        self.counters.read_backs += 1
        row = await self._table.read(key)
        return row is not None and decode_batch(row).write_id == write_id

    def _written(self, number: int, batch: JournalBatch, taken: PendingBatch) -> None:
        self.counters.writes += 1
        self.counters.rows += len(batch.entries)
        self._segments.append(number, batch)
        added = frozenset(batch.agents_added)
        self._admitted |= added - self._pending.agents_removed
        taken.succeed()

    def _refuse(self, taken: PendingBatch) -> None:
        self._available = False
        refused = self._pending
        self._pending = PendingBatch()
        self._ready.clear()
        for pending in (taken, refused):
            self.counters.refused += pending.size
            pending.fail(_unavailable())
            self._pending.remove_agents(pending.agents_removed)

    def _end(self, taken: PendingBatch, error: Fenced) -> None:
        self._fenced = True
        self._ready.clear()
        taken.fail(error)
        self._pending.fail(error)
        self._admitted = frozenset()

    async def _probe(self) -> None:
        """Commit nothing, under the writer's condition, until it works."""
        transaction = Transaction((while_live(self._incarnation),), ())
        while not self._available:
            await asyncio.sleep(self._probe_interval_s)
            with contextlib.suppress(TableUnavailable):
                await self._probe_once(transaction)

    async def _probe_once(self, transaction: Transaction) -> None:
        try:
            await self._table.commit(transaction)
        except TableConflict:
            self._end(PendingBatch(), Fenced(self._incarnation))
        self._available = True


def _unavailable() -> RequestError:
    return RequestError(
        ErrorKind.PLATFORM_UNAVAILABLE,
        'the journal can not be written',
        ran=RunState.NOT_RUN,
    )
