"""Measures journal throughput and recovery time on the stand-in table service.

Run ``python tests/table/measure_journal.py``; it prints Markdown tables.
"""

import asyncio
import contextlib
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from endivetally_core.joining import Address
from endivetally_core.joining import EntryIdentity
from endivetally_table import EntryRegistry
from endivetally_table import HttpTable
from endivetally_table.batches import JournalRecord
from endivetally_table.batches import iterate_journal
from endivetally_table.directory import ShardDirectory
from endivetally_table.journal import Journal
from endivetally_table.journal_index import JournalIndex
from hdrh.histogram import HdrHistogram

RUN_S = 4
MODULE = 'endivetally_standins.table_service'


@contextlib.contextmanager
def run_table_service(*options):
    with tempfile.TemporaryDirectory() as directory:
        ready_file = Path(directory) / 'ready'
        command = [
            sys.executable,
            '-m',
            MODULE,
            '--ready-file',
            str(ready_file),
            *options,
        ]
        environment = {**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)}
        process = subprocess.Popen(command, env=environment)
        try:
            while not (ready_file.exists() and ready_file.read_text()):
                time.sleep(0.01)
            host, _, port = ready_file.read_text().partition(':')
            yield Address(host, int(port))
        finally:
            process.terminate()
            process.wait()


def create_identity(number):
    return EntryIdentity(f'e{number}', f'e{number}.1', 'dc-1', Address('127.0.0.1', 1))


async def append_records(journal, end, sequences, histogram):
    while time.monotonic() < end:
        record = JournalRecord(
            next(sequences), 'team-1', 'sweep', 'k' * 32, b'h' * 16, 100, time.time()
        )
        started_ns = time.monotonic_ns()
        await journal.append_record(record)
        histogram.record_value((time.monotonic_ns() - started_ns) // 1000)


async def measure_throughput(address, journal_count, caller_count):
    histogram = HdrHistogram(1, 60_000_000, 3)
    with contextlib.ExitStack() as stack:
        table = stack.enter_context(contextlib.closing(HttpTable(address)))
        open_journals = []
        for number in range(journal_count):
            await EntryRegistry(table).register(create_identity(number))
            journal = Journal(table, create_identity(number))
            open_journals.append(stack.enter_context(contextlib.closing(journal)))
        end, cpu_s = time.monotonic() + RUN_S, time.process_time()
        sequences = iter(range(10**9))
        await asyncio.gather(
            *(
                append_records(journal, end, sequences, histogram)
                for journal in open_journals
                for _caller in range(caller_count)
            )
        )
        cpu_s = time.process_time() - cpu_s
    records = sum(journal.counters.records for journal in open_journals)
    writes = sum(journal.counters.writes for journal in open_journals)
    p50, p99 = (
        histogram.get_value_at_percentile(percentile) / 1000 for percentile in (50, 99)
    )
    print(
        f'| {journal_count} | {caller_count} | {records / RUN_S:.0f} '
        f'| {writes / RUN_S:.0f} | {records / writes:.1f} | {p50:.1f} | {p99:.1f} '
        f'| {cpu_s / records * 1e6:.0f} |',
        flush=True,
    )


async def measure_recovery(address, batch_count, records_per_batch):
    with contextlib.closing(HttpTable(address)) as table:
        await EntryRegistry(table).register(create_identity(0))
        await EntryRegistry(table).register(create_identity(1))
        directory = ShardDirectory(table, retention_s=900)
        await directory.join(create_identity(0))
        journal = Journal(table, create_identity(0))
        for number in range(batch_count):
            records = [
                JournalRecord(number, 't', 's', f'{number}-{index}', b'h' * 16, 100, 0)
                for index in range(records_per_batch)
            ]
            await asyncio.gather(*(journal.append_record(record) for record in records))
        journal.close()
        start_s = time.monotonic()
        await directory.take_over('e0.1', create_identity(1))
        fenced_s = time.monotonic()
        journal_index = await JournalIndex.build(iterate_journal(table, 'e0.1'))
        end_s = time.monotonic()
    print(
        f'| {batch_count} | {len(list(journal_index.records))} '
        f'| {(fenced_s - start_s) * 1000:.0f} | {(end_s - fenced_s) * 1000:.0f} |',
        flush=True,
    )


def main():
    for options in ((), ('--writes-per-s', '300')):
        print('\n4 ms writes', *options)
        print(
            '| journals | callers each | records/s | writes/s | records per write '
            '| p50 ms | p99 ms | CPU us per record |'
        )
        print('| --- | --- | --- | --- | --- | --- | --- | --- |')
        for journal_count, caller_count in (
            (1, 1),
            (1, 16),
            (1, 256),
            (4, 16),
            (8, 64),
        ):
            with run_table_service(*options) as address:
                asyncio.run(measure_throughput(address, journal_count, caller_count))
    print('\n| batches | records | takeover ms | read ms |')
    print('| --- | --- | --- | --- |')
    for batch_count, records_per_batch in (
        (100, 10),
        (1000, 10),
        (4000, 1),
        (1000, 100),
    ):
        with run_table_service('--write-ms', '0') as address:
            asyncio.run(measure_recovery(address, batch_count, records_per_batch))


if __name__ == '__main__':
    main()
