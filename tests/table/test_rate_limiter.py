"""Tests of the limit on the rate of journal writes."""

import asyncio

import pytest
from endivetally_core.joining import Address
from endivetally_core.joining import EntryIdentity
from endivetally_table.batches import JournalRecord
from endivetally_table.entries import EntryRegistry
from endivetally_table.journal import Journal
from endivetally_table.memory import MemoryTable
from endivetally_table.rate_limiter import BURST_WRITES
from endivetally_table.rate_limiter import WriteRateLimiter

IDENTITY = EntryIdentity('entry-1', 'entry-1.1', 'dc-1', Address('127.0.0.1', 1))


def create_record(sequence):
    return JournalRecord(sequence, 'team', 'service', f'k{sequence}', b'', 1, 0)


class TestWriteRateLimiter:
    def test_writes_below_the_rate_are_not_delayed(self):
        limiter = WriteRateLimiter(10, 0)
        assert not any(limiter.reserve(number * 0.1) for number in range(100))

    def test_a_new_rate_sets_the_delay_of_the_next_write(self):
        limiter = WriteRateLimiter(10, 0)
        for _ in range(BURST_WRITES):
            limiter.reserve(0)
        limiter.set_rate(2, 0)
        assert limiter.reserve(0) == pytest.approx(0.5)


class TestJournal:
    async def test_records_that_wait_for_the_rate_share_one_write(self):
        table = MemoryTable()
        await EntryRegistry(table).register(IDENTITY)
        journal = Journal(table, IDENTITY, writes_per_s=5)
        for sequence in range(BURST_WRITES):
            await journal.append_record(create_record(sequence))
        later_sequences = range(BURST_WRITES, BURST_WRITES + 30)
        first = asyncio.create_task(journal.append_record(create_record(1000)))
        await asyncio.sleep(0)
        await asyncio.gather(
            first,
            *(
                journal.append_record(create_record(number))
                for number in later_sequences
            ),
        )
        assert journal.counters.writes == BURST_WRITES + 1
        assert journal.counters.records == BURST_WRITES + 31
        journal.close()
