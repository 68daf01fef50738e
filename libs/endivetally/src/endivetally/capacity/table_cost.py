"""Measures the load on the table service, and the duration of a takeover."""

import asyncio
import time
from contextlib import closing
from typing import Final

import msgspec
from endivetally_table.memory import TableStats

from endivetally.capacity.caller import CapacityCaller
from endivetally.capacity.fits import Point
from endivetally.capacity.fleets import running_fleet
from endivetally.capacity.recording import Slope
from endivetally.capacity.recording import make_slope
from endivetally.fleet import Fleet

WORKERS: Final = 2
JOB_RATES_PER_S: Final = (10, 25, 50, 100, 150)
LOAD_DURATION_S: Final = 6
ENTRY_COUNTS: Final = (1, 2, 4, 8, 16)
IDLE_S: Final = 20
JOURNALLED_JOB_COUNTS: Final = (0, 500, 1000, 2000)
JOB_CONCURRENCY: Final = 16
POLL_INTERVAL_S: Final = 0.02
TAKEOVER_TIMEOUT_S: Final = 60


async def read_stats(fleet: Fleet) -> TableStats:
    """Read the call counters of the stand-in for the table service."""
    response = await fleet.client.get(f'{fleet.table.url}/stats')
    return msgspec.json.decode(response.body, type=TableStats)


async def measure_journal_load() -> list[Slope]:
    """Measure writes and rows per second against jobs per second at one entry."""
    writes: list[Point] = []
    rows: list[Point] = []
    async with running_fleet(entries=1, workers=WORKERS) as fleet:
        with closing(CapacityCaller(fleet)) as caller:
            for rate in JOB_RATES_PER_S:
                before = await read_stats(fleet)
                await _submit_at_rate(caller, rate)
                after = await read_stats(fleet)
                writes.append(
                    Point(rate, (after.writes - before.writes) / LOAD_DURATION_S)
                )
                rows.append(Point(rate, (after.rows - before.rows) / LOAD_DURATION_S))
    per = 'jobs/s at one entry'
    return [
        make_slope('table.journal.writes', 'writes/s', per, 'journal', writes),
        make_slope('table.journal.rows', 'rows/s', per, 'journal', rows),
    ]


async def measure_idle_load() -> list[Slope]:
    """Measure reads and writes per second against the number of idle entries."""
    reads: list[Point] = []
    writes: list[Point] = []
    for entries in ENTRY_COUNTS:
        async with running_fleet(entries) as fleet:
            before = await read_stats(fleet)
            await asyncio.sleep(IDLE_S)
            after = await read_stats(fleet)
            reads.append(Point(entries, (after.reads - before.reads) / IDLE_S))
            writes.append(Point(entries, (after.writes - before.writes) / IDLE_S))
    per = 'idle entries'
    return [
        make_slope('table.idle.reads', 'reads/s', per, 'idle', reads),
        make_slope('table.idle.writes', 'writes/s', per, 'idle', writes),
    ]


async def measure_takeover() -> list[Slope]:
    """Measure the duration of a takeover against the journal of the killed entry.

    The takeover ends when the other entry owns more shards than before.
    """
    seconds: list[Point] = []
    for jobs in JOURNALLED_JOB_COUNTS:
        async with running_fleet(entries=2, workers=WORKERS) as fleet:
            with closing(CapacityCaller(fleet)) as caller:
                await caller.submit_jobs(jobs, 1, JOB_CONCURRENCY)
            seconds.append(Point(jobs, await _time_takeover(fleet)))
    return [make_slope('takeover.seconds', 's', 'journalled jobs', 'takeover', seconds)]


async def _time_takeover(fleet: Fleet) -> float:
    killed, survivor = fleet.entries
    status = await fleet.client.fetch_status(survivor.url)
    shards_before = status.shards if status else 0
    started = time.monotonic()
    await killed.kill()
    async with asyncio.timeout(TAKEOVER_TIMEOUT_S):
        while True:
            status = await fleet.client.fetch_status(survivor.url)
            if status is not None and status.shards > shards_before:
                return time.monotonic() - started
            await asyncio.sleep(POLL_INTERVAL_S)


async def _submit_at_rate(caller: CapacityCaller, rate: int) -> None:
    async with asyncio.TaskGroup() as group:
        for _ in range(round(rate * LOAD_DURATION_S)):
            group.create_task(caller.submit_job(1))
            await asyncio.sleep(1 / rate)
