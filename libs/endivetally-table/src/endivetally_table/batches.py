"""Records of the journal and how they are read."""

from collections.abc import Sequence as Ordered
from typing import Final

import msgspec
from endivetally_core.messages import Identifier
from endivetally_core.messages import Sequence

from endivetally_table.table import Put
from endivetally_table.table import Row
from endivetally_table.table import Table
from endivetally_table.table import Transaction

JOURNAL_PREFIX: Final = 'journal/'
MAX_DELETIONS: Final = 128


class JournalEntry(msgspec.Struct, frozen=True, array_like=True):
    """A request that may start.

    :param sequence: number of the request at its owner.
    :param tasks: number of its tasks.
    :param written_at: wall time in seconds since the epoch.
    """

    sequence: Sequence
    team: Identifier
    service: Identifier
    key: str
    body_hash: bytes
    tasks: int
    written_at: float


class JournalBatch(msgspec.Struct, frozen=True, array_like=True):
    """What one write carries; removals apply before additions.

    :param agents_added: agent incarnations that may be used from here on.
    :param agents_removed: agent incarnations that may not.
    :param write_id: tells this write from any other.
    """

    entries: tuple[JournalEntry, ...]
    agents_added: tuple[str, ...]
    agents_removed: tuple[str, ...]
    write_id: str


_decoder = msgspec.msgpack.Decoder(JournalBatch)


def journal_prefix(incarnation: str) -> str:
    """Return the prefix of the keys of an entry's batches."""
    return f'{JOURNAL_PREFIX}{incarnation}/'


def batch_key(incarnation: str, number: int) -> str:
    """Return the key of a batch; keys sort by number.

    >>> batch_key('entry-1.00ff', 7)
    'journal/entry-1.00ff/0000000007'
    """
    return f'{journal_prefix(incarnation)}{number:010d}'


def encode_batch(batch: JournalBatch) -> bytes:
    """Encode a batch as MessagePack."""
    return msgspec.msgpack.encode(batch)


def decode_batch(row: Row) -> JournalBatch:
    """Decode the content of a journal row."""
    return _decoder.decode(row.content)


async def read_journal(table: Table, incarnation: str) -> list[JournalBatch]:
    """Return the batches of an entry in the order of their numbers.

    :raises TableUnavailable: when the service does not answer.
    """
    return [decode_batch(row) for row in await table.scan(journal_prefix(incarnation))]


async def delete_journal(table: Table, incarnation: str) -> int:
    """Delete all batches of an entry that has ended, past the retention.

    :return: number of rows deleted.
    :raises TableUnavailable: when the service does not answer; call again.
    """
    rows = await table.scan(journal_prefix(incarnation))
    for start in range(0, len(rows), MAX_DELETIONS):
        deletions = tuple(
            Put(row.key, None) for row in rows[start : start + MAX_DELETIONS]
        )
        await table.commit(Transaction((), deletions))
    return len(rows)


def agents_in_use(batches: Ordered[JournalBatch], sequence: int) -> frozenset[str]:
    """Return the agents that may have been given tasks of a request.

    These are the agents admitted at its batch and all that were added later.
    Agents removed by its own batch count too. A sequence that is not in the
    journal has none.
    """
    admitted: set[str] = set()
    found = False
    for batch in batches:
        found = found or any(entry.sequence == sequence for entry in batch.entries)
        if not found:
            admitted.difference_update(batch.agents_removed)
        admitted.update(batch.agents_added)
    return frozenset(admitted) if found else frozenset()
