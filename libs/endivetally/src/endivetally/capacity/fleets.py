"""Starts fleets for the measurements: entries, workers and hosted agents.

A hosted agent runs with many others in one process and has no running target.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Final

from endivetally.fleet import Fleet
from endivetally.fleet.deployment import LOVDATA
from endivetally.fleet.deployment import Deployment
from endivetally.fleet.deployment import place_entries
from endivetally.fleet.deployment import place_workers
from endivetally.fleet.process import FleetProcess

DATA_CENTRES: Final = ('dc-1',)
POOL: Final = 'search-front'
START_TIMEOUT_S: Final = 60
POLL_INTERVAL_S: Final = 0.1
# Wait after the targets are open, until the work of joining has ended.
SETTLE_S: Final = 3


def make_deployment(entries: int, workers: int) -> Deployment:
    """Return a deployment in one data centre without added latency.

    :param entries: number of entries.
    :param workers: number of workers, each with an agent and a target.
    """
    return replace(
        LOVDATA,
        name='capacity',
        data_centres=DATA_CENTRES,
        latency_ms=0,
        entries=place_entries(entries, DATA_CENTRES),
        workers=place_workers(((POOL, workers),), DATA_CENTRES),
    )


@asynccontextmanager
async def running_fleet(entries: int, workers: int = 0) -> AsyncIterator[Fleet]:
    """Start a fleet, wait until its targets are open, and stop it on exit.

    :param entries: number of entries.
    :param workers: number of workers, each with an agent and a target.
    :raises TimeoutError: when the targets are not open after `START_TIMEOUT_S`.
    """
    async with Fleet(make_deployment(entries, workers)) as fleet:
        await fleet.start_daemons()
        await fleet.start_targets()
        await wait_for_targets(fleet, workers)
        yield fleet


@asynccontextmanager
async def hosted_agents(fleet: Fleet, count: int) -> AsyncIterator[FleetProcess]:
    """Run agents in one separate process, each linked to every entry.

    :param count: number of agents.
    :returns: the process that runs them.
    :raises TimeoutError: when their targets are not open after `START_TIMEOUT_S`.
    """
    async with AsyncExitStack() as stack:
        ready_file = fleet.directory / f'host-{count}.ready'
        log_file = fleet.directory / f'host-{count}.log'
        host = FleetProcess(f'host-{count}', ready_file, log_file)
        module = 'endivetally.capacity.agent_host'
        await host.start(
            ['-m', module, str(count), str(fleet.table.address), str(ready_file)],
        )
        stack.push_async_callback(host.kill)
        await wait_for_targets(fleet, count)
        await asyncio.sleep(SETTLE_S)
        yield host


async def wait_for_targets(fleet: Fleet, count: int) -> None:
    """Wait until every entry lists at least this many open targets.

    :raises TimeoutError: after `START_TIMEOUT_S`.
    """
    async with asyncio.timeout(START_TIMEOUT_S):
        for entry in fleet.entries:
            while not await _has_open_targets(fleet, entry, count):
                await asyncio.sleep(POLL_INTERVAL_S)


async def _has_open_targets(fleet: Fleet, entry: FleetProcess, count: int) -> bool:
    status = await fleet.client.fetch_status(entry.url)
    return (
        status is not None and status.version > 0 and status.open_target_count >= count
    )
