"""Rows of the entries: who is live, who is fenced, who has retired.

A row is written twice at most: when its process registers and when its
incarnation ends. A live row therefore has the version `LIVE_VERSION` for as
long as it is live, and every write of its process is conditional on that.
"""

from typing import Final
from typing import Literal

import msgspec
from endivetally_core.errors import IncarnationFenced
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable
from endivetally_core.joining import EntryIdentity

from endivetally_table.table import Condition
from endivetally_table.table import Put
from endivetally_table.table import Row
from endivetally_table.table import Table
from endivetally_table.table import Transaction

ENTRY_PREFIX: Final = 'entry/'
LIVE_VERSION: Final = 1
COMMIT_ATTEMPTS: Final = 3

EntryRowState = Literal['live', 'fenced', 'retired']


class EntryRow(msgspec.Struct, frozen=True):
    """What the table knows of one incarnation of an entry.

    :param fenced_by: incarnation that took over, when the state is ``fenced``.
    """

    identity: EntryIdentity
    state: EntryRowState = 'live'
    fenced_by: str = ''


_decoder = msgspec.msgpack.Decoder(EntryRow)


def entry_key(incarnation: str) -> str:
    """Return the key of an entry's row.

    >>> entry_key('entry-1.00ff')
    'entry/entry-1.00ff'
    """
    return f'{ENTRY_PREFIX}{incarnation}'


def entry_put(row: EntryRow) -> Put:
    """Return the write of an entry's row."""
    return Put(entry_key(row.identity.incarnation), msgspec.msgpack.encode(row))


def while_live(incarnation: str) -> Condition:
    """Return the condition that an entry is live."""
    return Condition(entry_key(incarnation), LIVE_VERSION)


def decode_entry(row: Row) -> EntryRow:
    """Decode an entry's row."""
    return _decoder.decode(row.content)


async def scan_entries(table: Table) -> list[EntryRow]:
    """Read the rows of all entries.

    :raises TableUnavailable: when the service does not answer.
    """
    return [decode_entry(row) for row in await table.scan(ENTRY_PREFIX)]


class EntryRegistry:
    """Registers and lists entries.

    :param table: the platform's table service.
    """

    def __init__(self, table: Table) -> None:
        self._table = table

    async def register(self, identity: EntryIdentity) -> None:
        """Create the row of a new incarnation; a lost answer is read back.

        :raises IncarnationFenced: when the incarnation has ended already.
        :raises TableUnavailable: when the service does not answer.
        """
        absent = Condition(entry_key(identity.incarnation), 0)
        await self._write(EntryRow(identity), absent)

    async def retire(self, identity: EntryIdentity) -> None:
        """End an incarnation on a planned stop; its journal is closed.

        :raises IncarnationFenced: when another entry has taken over.
        :raises TableUnavailable: when the service does not answer.
        """
        row = EntryRow(identity, 'retired')
        await self._write(row, while_live(identity.incarnation))

    async def list_live_entries(self) -> list[EntryIdentity]:
        """Return the entries that are live."""
        return [row.identity for row in await self.list_rows() if row.state == 'live']

    async def list_fenced_entries(self) -> list[EntryIdentity]:
        """Return the entries that were taken over."""
        return [row.identity for row in await self.list_rows() if row.state == 'fenced']

    async def list_rows(self) -> list[EntryRow]:
        """Return the rows of all entries.

        :raises TableUnavailable: when the service does not answer.
        """
        return await scan_entries(self._table)

    async def _write(self, row: EntryRow, condition: Condition) -> None:
        transaction = Transaction((condition,), (entry_put(row),))
        attempts = COMMIT_ATTEMPTS
        while not await self._settled(row, transaction):
            attempts -= 1
            if not attempts:
                raise TableUnavailable(condition.key)

    async def _settled(self, row: EntryRow, transaction: Transaction) -> bool:
        try:
            await self._table.commit(transaction)
        except (TableConflict, TableUnavailable):
            return await self._read_back(row)
        return True

    async def _read_back(self, row: EntryRow) -> bool:
        key = entry_key(row.identity.incarnation)
        stored = await self._table.read(key)
        if stored is None:
            return False
        found = decode_entry(stored)
        if found == row:
            return True
        if found.state == 'live':
            return False
        raise IncarnationFenced(key)
