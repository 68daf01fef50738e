"""Encodes, reads, and deletes the batches of a journal; one row holds one batch."""

from collections.abc import AsyncIterator
from typing import Final

import msgspec
from endivetally_core.messages import Identifier
from endivetally_core.messages import SequenceNumber

from endivetally_table.table import Put
from endivetally_table.table import Row
from endivetally_table.table import Table
from endivetally_table.table import Transaction

JOURNAL_PREFIX: Final = 'journal/'
# Maximum number of rows that one transaction deletes.
MAX_DELETIONS: Final = 128
# Maximum number of rows that one scan reads.
PAGE_ROWS: Final = 512


class JournalRecord(msgspec.Struct, frozen=True, array_like=True):
    """A request whose tasks may start once the record is durable.

    :param sequence: number of the request, unique within the incarnation.
    :param key: idempotency key of the caller.
    :param body_hash: hash of the request body, to detect a different request with the
        same key.
    :param task_count: number of tasks of the request.
    :param written_at: wall time in seconds since the epoch.
    """

    sequence: SequenceNumber
    team: Identifier
    service: Identifier
    key: str
    body_hash: bytes
    task_count: int
    written_at: float


class JournalBatch(msgspec.Struct, frozen=True, array_like=True):
    """Content of one journal row; removals of agents apply before additions.

    :param agents_admitted: agent incarnations that non-idempotent tasks may be sent
        to from this batch on.
    :param agents_removed: agent incarnations that they may no longer be sent to.
    :param write_id: unique identifier of the write.
    """

    records: tuple[JournalRecord, ...]
    agents_admitted: tuple[str, ...]
    agents_removed: tuple[str, ...]
    write_id: str


_decoder = msgspec.msgpack.Decoder(JournalBatch)


def journal_prefix(incarnation: str) -> str:
    """Return the prefix of the keys of an entry's batches."""
    return f'{JOURNAL_PREFIX}{incarnation}/'


def batch_key(incarnation: str, number: int) -> str:
    """Return the key of a batch; keys sort in the order of the numbers.

    >>> batch_key('entry-1.00ff', 7)
    'journal/entry-1.00ff/0000000007'
    """
    return f'{journal_prefix(incarnation)}{number:010d}'


def encode_batch(batch: JournalBatch) -> bytes:
    """Encode a batch as MessagePack."""
    return msgspec.msgpack.encode(batch)


def decode_batch(row: Row) -> JournalBatch:
    """Decode the content of a journal row.

    :raises msgspec.DecodeError: when the content is not a batch.
    """
    return _decoder.decode(row.content)


async def iterate_journal(
    table: Table, incarnation: str
) -> AsyncIterator[JournalBatch]:
    """Yield the batches of an entry in the order of their numbers.

    Reads the rows in pages of `PAGE_ROWS`.

    :raises TableUnavailable: when the service does not respond.
    """
    prefix = journal_prefix(incarnation)
    after = ''
    while True:
        rows = await table.scan(prefix, after=after, limit=PAGE_ROWS)
        for row in rows:
            yield decode_batch(row)
        if len(rows) < PAGE_ROWS:
            return
        after = rows[-1].key


async def read_journal(table: Table, incarnation: str) -> list[JournalBatch]:
    """Return the batches of an entry in the order of their numbers.

    :raises TableUnavailable: when the service does not respond.
    """
    return [batch async for batch in iterate_journal(table, incarnation)]


async def delete_journal(table: Table, incarnation: str) -> int:
    """Delete all batches of an entry.

    The entry must have ended longer ago than the retention; this is not checked.

    :return: number of rows deleted.
    :raises TableUnavailable: when the service does not respond; call again.
    """
    prefix = journal_prefix(incarnation)
    deleted = 0
    while rows := await table.scan(prefix, limit=MAX_DELETIONS):
        deletions = tuple(Put(row.key, None) for row in rows)
        await table.commit(Transaction((), deletions))
        deleted += len(rows)
    return deleted
