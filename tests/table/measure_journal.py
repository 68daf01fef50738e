"""Measures the journal against the table service's stand-in.

Run as ``python tests/table/measure_journal.py``; prints Markdown tables.
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
def stand_in(*options):
    with tempfile.TemporaryDirectory() as directory:
        ready = Path(directory) / 'ready'
        command = [sys.executable, '-m', MODULE, '--ready-file', str(ready), *options]
        environment = {**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)}
        process = subprocess.Popen(command, env=environment)
        try:
            while not (ready.exists() and ready.read_text()):
                time.sleep(0.01)
            host, _, port = ready.read_text().partition(':')
            yield Address(host, int(port))
        finally:
            process.terminate()
            process.wait()


def identity(number):
    return EntryIdentity(f'e{number}', f'e{number}.1', 'dc-1', Address('127.0.0.1', 1))


async def caller(journal, end, sequences, histogram):
    while time.monotonic() < end:
        row = JournalRecord(
            next(sequences), 'team-1', 'sweep', 'k' * 32, b'h' * 16, 100, time.time()
        )
        begin = time.monotonic_ns()
        await journal.append_record(row)
        histogram.record_value((time.monotonic_ns() - begin) // 1000)


async def throughput(address, journals, callers):
    histogram = HdrHistogram(1, 60_000_000, 3)
    with contextlib.ExitStack() as stack:
        table = stack.enter_context(contextlib.closing(HttpTable(address)))
        opened = []
        for number in range(journals):
            await EntryRegistry(table).register(identity(number))
            journal = Journal(table, identity(number))
            opened.append(stack.enter_context(contextlib.closing(journal)))
        end, processor = time.monotonic() + RUN_S, time.process_time()
        sequences = iter(range(10**9))
        await asyncio.gather(
            *(
                caller(journal, end, sequences, histogram)
                for journal in opened
                for _caller in range(callers)
            )
        )
        processor = time.process_time() - processor
    rows = sum(journal.counters.records for journal in opened)
    writes = sum(journal.counters.writes for journal in opened)
    p50, p99 = (histogram.get_value_at_percentile(at) / 1000 for at in (50, 99))
    print(
        f'| {journals} | {callers} | {rows / RUN_S:.0f} | {writes / RUN_S:.0f} '
        f'| {rows / writes:.1f} | {p50:.1f} | {p99:.1f} '
        f'| {processor / rows * 1e6:.0f} |',
        flush=True,
    )


async def recovery(address, batches, per_batch):
    with contextlib.closing(HttpTable(address)) as table:
        await EntryRegistry(table).register(identity(0))
        await EntryRegistry(table).register(identity(1))
        directory = ShardDirectory(table, retention_s=900)
        await directory.join(identity(0))
        journal = Journal(table, identity(0))
        for number in range(batches):
            rows = [
                JournalRecord(number, 't', 's', f'{number}-{row}', b'h' * 16, 100, 0)
                for row in range(per_batch)
            ]
            await asyncio.gather(*(journal.append_record(row) for row in rows))
        journal.close()
        begin = time.monotonic()
        await directory.take_over('e0.1', identity(1))
        taken = time.monotonic()
        found = await JournalIndex.build(iterate_journal(table, 'e0.1'))
        read = time.monotonic()
    print(
        f'| {batches} | {len(list(found.records))} '
        f'| {(taken - begin) * 1000:.0f} | {(read - taken) * 1000:.0f} |',
        flush=True,
    )


def main():
    for options in ((), ('--writes-per-s', '300')):
        print('\n4 ms writes', *options)
        print(
            '| journals | callers each | entries/s | writes/s | entries per write '
            '| p50 ms | p99 ms | CPU us per entry |'
        )
        print('| --- | --- | --- | --- | --- | --- | --- | --- |')
        for journals, callers in ((1, 1), (1, 16), (1, 256), (4, 16), (8, 64)):
            with stand_in(*options) as address:
                asyncio.run(throughput(address, journals, callers))
    print('\n| batches | entries | takeover ms | read ms |')
    print('| --- | --- | --- | --- |')
    for batches, per_batch in ((100, 10), (1000, 10), (4000, 1), (1000, 100)):
        with stand_in('--write-ms', '0') as address:
            asyncio.run(recovery(address, batches, per_batch))


if __name__ == '__main__':
    main()
