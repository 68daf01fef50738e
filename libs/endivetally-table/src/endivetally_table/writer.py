"""Commits journal batches and settles those whose answer was lost."""

from typing import Final

from endivetally_core.errors import IncarnationFenced
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable

from endivetally_table.batches import JournalBatch
from endivetally_table.batches import batch_key
from endivetally_table.batches import decode_batch
from endivetally_table.batches import encode_batch
from endivetally_table.entries import while_live
from endivetally_table.table import Condition
from endivetally_table.table import Put
from endivetally_table.table import Table
from endivetally_table.table import Transaction

SETTLE_ATTEMPTS: Final = 3


class BatchWriter:
    """Writes of one entry, each conditional on the entry being live.

    :param table: the platform's table service.
    :param incarnation: the entry.
    """

    def __init__(self, table: Table, incarnation: str) -> None:
        self.read_backs = 0
        self._table = table
        self._incarnation = incarnation
        self._live = while_live(incarnation)

    async def write(self, number: int, batch: JournalBatch) -> None:
        """Commit a batch; a lost answer is read back and the commit repeated.

        :raises IncarnationFenced: the entry has ended; the batch is not in the journal.
        :raises TableUnavailable: given up; the batch may still take effect.
        """
        key = batch_key(self._incarnation, number)
        transaction = Transaction(
            (self._live, Condition(key, 0)),
            (Put(key, encode_batch(batch)),),
        )
        attempts = SETTLE_ATTEMPTS
        while not await self._settled(key, transaction, batch.write_id):
            attempts -= 1
            if not attempts:
                raise TableUnavailable(key)

    async def commit_live(self, *puts: Put) -> None:
        """Commit rows, or nothing as a probe, while the entry is live.

        :raises IncarnationFenced: the entry has ended.
        :raises TableUnavailable: it may have taken effect.
        """
        try:
            await self._table.commit(Transaction((self._live,), puts))
        except TableConflict as error:
            raise IncarnationFenced(self._incarnation) from error

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
            raise IncarnationFenced(self._incarnation)
        return False

    async def _has_landed(self, key: str, write_id: str) -> bool:
        self.read_backs += 1
        row = await self._table.read(key)
        return row is not None and decode_batch(row).write_id == write_id
