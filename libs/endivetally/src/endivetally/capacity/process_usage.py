"""Readings of processes under measurement."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import psutil

from endivetally.capacity.counters import LinkCounters
from endivetally.capacity.counters import parse_counters
from endivetally.fleet import Fleet
from endivetally.fleet.process import FleetProcess

BYTES_PER_MB: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """State of one process at one time.

    :param private_mb: resident memory that no other process shares.
    """

    cpu_s: float
    resident_mb: float
    private_mb: float


@dataclass(frozen=True, slots=True)
class IntervalUsage:
    """What one process used in a time.

    :param counts: what it sent and received on links, in the whole time.
    """

    seconds: float
    cpu_s: float
    counts: LinkCounters

    @property
    def cpu_share(self) -> float:
        """Share of one core."""
        return self.cpu_s / self.seconds


def read_usage(pid: int) -> ProcessUsage:
    """Read processor time and memory of a process."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    memory = process.memory_full_info()
    return ProcessUsage(
        times.user + times.system,
        memory.rss / BYTES_PER_MB,
        memory.uss / BYTES_PER_MB,
    )


async def read_link_counters(fleet: Fleet, process: FleetProcess) -> LinkCounters:
    """Read the link counters of an entry or an agent."""
    response = await fleet.client.get(f'{process.url}/metrics')
    return parse_counters(response.body.decode())


async def measure_usage(
    fleet: Fleet, processes: Sequence[FleetProcess], seconds: float
) -> list[IntervalUsage]:
    """Let processes run and return what each used and sent."""
    counts_before = [await read_link_counters(fleet, process) for process in processes]
    cpu_before = [read_usage(process.pid).cpu_s for process in processes]
    await asyncio.sleep(seconds)
    cpu_after = [read_usage(process.pid).cpu_s for process in processes]
    counts_after = [await read_link_counters(fleet, process) for process in processes]
    return [
        IntervalUsage(
            seconds,
            cpu_after[index] - cpu_before[index],
            counts.increase_since(earlier),
        )
        for index, (counts, earlier) in enumerate(
            zip(counts_after, counts_before, strict=True),
        )
    ]
