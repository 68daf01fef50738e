"""Registry of the entries: one row per incarnation, with its state.

A row is written at most twice: when the process registers, and when its
incarnation retires or is fenced. A live entry's row therefore always has the
version `LIVE_VERSION`, and every write by the entry requires that version.
"""

import logging
from typing import Final
from typing import Literal

import msgspec
from endivetally_core.decoding import DECODE_ERRORS
from endivetally_core.errors import IncarnationFenced
from endivetally_core.errors import MalformedMessage
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
    """Registered state of one incarnation of an entry.

    :param state: ``retired`` after a planned stop, ``fenced`` after a takeover.
    :param fenced_by: incarnation that took over; empty unless it is ``fenced``.
    """

    identity: EntryIdentity
    state: EntryRowState = 'live'
    fenced_by: str = ''


_decoder = msgspec.msgpack.Decoder(EntryRow)
_log = logging.getLogger(__name__)


def entry_key(incarnation: str) -> str:
    """Return the key of an entry's row.

    >>> entry_key('entry-1.00ff')
    'entry/entry-1.00ff'
    """
    return f'{ENTRY_PREFIX}{incarnation}'


def entry_put(row: EntryRow) -> Put:
    """Return the put that writes an entry's row."""
    return Put(entry_key(row.identity.incarnation), msgspec.msgpack.encode(row))


def live_condition(incarnation: str) -> Condition:
    """Return a condition that holds only while an entry is live."""
    return Condition(entry_key(incarnation), LIVE_VERSION)


def decode_entry(row: Row) -> EntryRow:
    """Decode the content of an entry's row.

    :raises MalformedMessage: when the content is not the entry of the row's key.
    """
    try:
        entry = _decoder.decode(row.content)
    except DECODE_ERRORS as error:
        raise MalformedMessage(f'{row.key}: {error}') from error
    if row.key != entry_key(entry.identity.incarnation):
        raise MalformedMessage(f'{row.key}: names {entry.identity.incarnation}')
    return entry


async def scan_entries(table: Table) -> list[EntryRow]:
    """Return the rows of all entries, whatever their state.

    Malformed rows are left out, with one log line for all of them. An entry that is
    missing may therefore be live; see `EntryRegistry.has_ended`.

    :raises TableUnavailable: when the service does not respond.
    """
    entries = []
    errors = []
    for row in await table.scan(ENTRY_PREFIX):
        try:
            entries.append(decode_entry(row))
        except MalformedMessage as error:
            errors.append(error)
    if errors:
        _log.warning(
            'rows of entries ignored: %d, the first %s', len(errors), errors[0]
        )
    return entries


class EntryRegistry:
    """Registers, retires, and lists the entries in the table.

    :param table: the platform's table service.
    """

    def __init__(self, table: Table) -> None:
        self._table = table

    async def register(self, identity: EntryIdentity) -> None:
        """Create the row of a new incarnation.

        When the response is lost, reads the row to find out whether it was written.

        :raises IncarnationFenced: when the incarnation has already ended.
        :raises TableUnavailable: when the service does not respond.
        """
        absent = Condition(entry_key(identity.incarnation), 0)
        await self._write(EntryRow(identity), absent)

    async def retire(self, identity: EntryIdentity) -> None:
        """End an incarnation on a planned stop; its journal accepts no more writes.

        Does not move its shards; see `ShardDirectory.leave`.

        :raises IncarnationFenced: when another entry has taken over.
        :raises TableUnavailable: when the service does not respond.
        """
        row = EntryRow(identity, 'retired')
        await self._write(row, live_condition(identity.incarnation))

    async def list_live_entries(self) -> list[EntryIdentity]:
        """Return the identities of the live entries.

        :raises TableUnavailable: when the service does not respond.
        """
        return [row.identity for row in await self.list_rows() if row.state == 'live']

    async def list_fenced_entries(self) -> list[EntryIdentity]:
        """Return the identities of the entries that were taken over.

        :raises TableUnavailable: when the service does not respond.
        """
        return [row.identity for row in await self.list_rows() if row.state == 'fenced']

    async def list_rows(self) -> list[EntryRow]:
        """Return the rows of all entries, whatever their state.

        :raises TableUnavailable: when the service does not respond.
        """
        return await scan_entries(self._table)

    async def has_ended(self, incarnation: str) -> bool:
        """Return whether an entry is known to have ended.

        Rows are deleted some time after their entry has ended. A malformed row proves
        nothing.

        :raises TableUnavailable: when the service does not respond.
        """
        row = await self._table.read(entry_key(incarnation))
        if row is None:
            return True
        try:
            return decode_entry(row).state != 'live'
        except MalformedMessage:
            return False

    async def _write(self, row: EntryRow, condition: Condition) -> None:
        transaction = Transaction((condition,), (entry_put(row),))
        attempts_left = COMMIT_ATTEMPTS
        while not await self._try_commit(row, transaction):
            attempts_left -= 1
            if not attempts_left:
                raise TableUnavailable(condition.key)

    async def _try_commit(self, row: EntryRow, transaction: Transaction) -> bool:
        try:
            await self._table.commit(transaction)
        except (TableConflict, TableUnavailable):
            return await self._is_stored(row)
        return True

    async def _is_stored(self, row: EntryRow) -> bool:
        key = entry_key(row.identity.incarnation)
        stored_row = await self._table.read(key)
        if stored_row is None:
            return False
        try:
            stored_entry = decode_entry(stored_row)
        except MalformedMessage as error:
            # The condition of every further write requires the row that was replaced.
            raise IncarnationFenced(key) from error
        if stored_entry == row:
            return True
        if stored_entry.state == 'live':
            return False
        raise IncarnationFenced(key)
