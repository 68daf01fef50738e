"""Reads processor time, memory and link counters of processes."""

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
    """Resource usage of one process at one point in time.

    :param cpu_s: user and system time since the start of the process, in seconds.
    :param resident_mb: resident memory, including shared pages.
    :param private_mb: resident memory that is not shared with other processes.
    """

    cpu_s: float
    resident_mb: float
    private_mb: float


@dataclass(frozen=True, slots=True)
class IntervalUsage:
    """Resource usage of one process within an interval.

    :param seconds: duration of the interval.
    :param cpu_s: processor time used within the interval, in seconds.
    :param counts: increase of the link counters over the whole interval.
    """

    seconds: float
    cpu_s: float
    counts: LinkCounters

    @property
    def cpu_share(self) -> float:
        """Processor time as a share of one core."""
        return self.cpu_s / self.seconds


def read_usage(pid: int) -> ProcessUsage:
    """Read the processor time and memory of a process."""
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
    """Wait for an interval and return what each process used within it.

    :param seconds: length of the interval.
    :returns: the usage of the processes, in their order.
    """
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
