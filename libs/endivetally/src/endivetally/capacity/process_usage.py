"""Readings of processes under measurement."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import psutil

from endivetally.capacity.counters import LinkTotals
from endivetally.capacity.counters import parse_totals
from endivetally.fleet import Fleet
from endivetally.fleet.process import FleetProcess

BYTES_PER_MB: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Reading:
    """State of one process at one time.

    :param private_mb: resident memory that no other process shares.
    """

    cpu_s: float
    resident_mb: float
    private_mb: float


@dataclass(frozen=True, slots=True)
class Rates:
    """What one process used in a time.

    :param counts: what it sent and received on links, in the whole time.
    """

    seconds: float
    cpu_s: float
    counts: LinkTotals

    @property
    def cpu_share(self) -> float:
        """Share of one core."""
        return self.cpu_s / self.seconds


def read_process(pid: int) -> Reading:
    """Read processor time and memory of a process."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    memory = process.memory_full_info()
    return Reading(
        times.user + times.system,
        memory.rss / BYTES_PER_MB,
        memory.uss / BYTES_PER_MB,
    )


async def read_totals(fleet: Fleet, process: FleetProcess) -> LinkTotals:
    """Read the link counters of an entry or an agent."""
    response = await fleet.client.get(f'{process.url}/metrics')
    return parse_totals(response.body.decode())


async def watch(
    fleet: Fleet, processes: Sequence[FleetProcess], seconds: float
) -> list[Rates]:
    """Let processes run and return what each used and sent."""
    counts_before = [await read_totals(fleet, process) for process in processes]
    cpu_before = [read_process(process.pid).cpu_s for process in processes]
    await asyncio.sleep(seconds)
    cpu_after = [read_process(process.pid).cpu_s for process in processes]
    counts_after = [await read_totals(fleet, process) for process in processes]
    return [
        Rates(seconds, cpu_after[index] - cpu_before[index], counts.since(earlier))
        for index, (counts, earlier) in enumerate(
            zip(counts_after, counts_before, strict=True),
        )
    ]
