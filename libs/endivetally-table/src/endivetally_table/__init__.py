"""Client of the platform's table service, entry registry, shard map and journal.

The package exports only what every process needs. The shard map and the journal
are imported from their modules, so that an agent does not load them.
"""

from endivetally_table.entries import EntryRegistry
from endivetally_table.entries import EntryRow
from endivetally_table.http import HttpTable
from endivetally_table.table import Condition
from endivetally_table.table import Put
from endivetally_table.table import Row
from endivetally_table.table import Table
from endivetally_table.table import Transaction

__all__ = (
    'Condition',
    'EntryRegistry',
    'EntryRow',
    'HttpTable',
    'Put',
    'Row',
    'Table',
    'Transaction',
)
