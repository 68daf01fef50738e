"""Rows of the entries in the table."""

from typing import Final
from typing import Literal

import msgspec
from endivetally_core.joining import EntryIdentity
from endivetally_table.table import Row
from endivetally_table.table import Table

ENTRY_PREFIX: Final = 'entry/'


class EntryRow(msgspec.Struct, frozen=True):
    """What the table knows of one incarnation of an entry."""

    identity: EntryIdentity
    state: Literal['live', 'fenced', 'retired'] = 'live'


_decoder = msgspec.msgpack.Decoder(EntryRow)


async def scan_entries(table: Table) -> list[EntryRow]:
    """Read the rows of all entries.

    :raises TableUnavailable: when the service does not answer.
    """
    return [_decode(row) for row in await table.scan(ENTRY_PREFIX)]


def _decode(row: Row) -> EntryRow:
    return _decoder.decode(row.content)
