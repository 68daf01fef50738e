"""The platform's table service: client, entries, shard map and journal."""

from endivetally_table.batches import JournalBatch
from endivetally_table.batches import JournalEntry
from endivetally_table.batches import delete_journal
from endivetally_table.batches import iterate_journal
from endivetally_table.batches import read_journal
from endivetally_table.directory import ShardDirectory
from endivetally_table.directory import TakeoverOutcome
from endivetally_table.entries import EntryRegistry
from endivetally_table.entries import EntryRow
from endivetally_table.history import JournalHistory
from endivetally_table.history import agents_in_use
from endivetally_table.http import HttpTable
from endivetally_table.journal import Journal
from endivetally_table.shards import SHARD_COUNT
from endivetally_table.shards import ShardMap
from endivetally_table.shards import ShardMove
from endivetally_table.table import Condition
from endivetally_table.table import Put
from endivetally_table.table import Row
from endivetally_table.table import Table
from endivetally_table.table import Transaction

__all__ = (
    'SHARD_COUNT',
    'Condition',
    'EntryRegistry',
    'EntryRow',
    'HttpTable',
    'Journal',
    'JournalBatch',
    'JournalEntry',
    'JournalHistory',
    'Put',
    'Row',
    'ShardDirectory',
    'ShardMap',
    'ShardMove',
    'Table',
    'TakeoverOutcome',
    'Transaction',
    'agents_in_use',
    'delete_journal',
    'iterate_journal',
    'read_journal',
)
