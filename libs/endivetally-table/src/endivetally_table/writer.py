"""Writes journal batches and resolves commits whose response was lost."""

from typing import Final

from endivetally_core.errors import IncarnationFenced
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable

from endivetally_table.batches import JournalBatch
from endivetally_table.batches import batch_key
from endivetally_table.batches import decode_batch
from endivetally_table.batches import encode_batch
from endivetally_table.entries import live_condition
from endivetally_table.table import Condition
from endivetally_table.table import Put
from endivetally_table.table import Table
from endivetally_table.table import Transaction

COMMIT_ATTEMPTS: Final = 3


class BatchWriter:
    """Writes the journal of one entry, on condition that the entry is live.

    :param table: the platform's table service.
    :param incarnation: incarnation of the entry.
    """

    def __init__(self, table: Table, incarnation: str) -> None:
        self.read_backs = 0
        self._table = table
        self._incarnation = incarnation
        self._live_condition = live_condition(incarnation)

    async def write_batch(self, number: int, batch: JournalBatch) -> None:
        """Commit a batch.

        When a response is lost, reads the row to find out whether the batch was
        written, and repeats the commit if it was not.

        :param number: position of the batch in the journal.
        :raises IncarnationFenced: the entry has ended; the batch is not in the journal.
        :raises TableUnavailable: all attempts failed; the batch may still be applied
            later.
        """
        key = batch_key(self._incarnation, number)
        transaction = Transaction(
            (self._live_condition, Condition(key, 0)),
            (Put(key, encode_batch(batch)),),
        )
        attempts_left = COMMIT_ATTEMPTS
        while not await self._try_commit(key, transaction, batch.write_id):
            attempts_left -= 1
            if not attempts_left:
                raise TableUnavailable(key)

    async def commit_if_live(self, *puts: Put) -> None:
        """Commit puts on condition that the entry is live.

        Without puts this only checks that the service is available and the entry
        is live.

        :raises IncarnationFenced: the entry has ended.
        :raises TableUnavailable: the puts may have been applied.
        """
        try:
            await self._table.commit(Transaction((self._live_condition,), puts))
        except TableConflict as error:
            raise IncarnationFenced(self._incarnation) from error

    async def _try_commit(
        self, key: str, transaction: Transaction, write_id: str
    ) -> bool:
        has_conflict = False
        try:
            await self._table.commit(transaction)
        except TableConflict:
            has_conflict = True
        except TableUnavailable:
            has_conflict = False
        else:
            return True
        if await self._is_stored(key, write_id):
            return True
        if has_conflict:
            raise IncarnationFenced(self._incarnation)
        return False

    async def _is_stored(self, key: str, write_id: str) -> bool:
        self.read_backs += 1
        row = await self._table.read(key)
        return row is not None and decode_batch(row).write_id == write_id
