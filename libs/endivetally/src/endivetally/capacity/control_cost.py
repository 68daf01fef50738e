"""Measures what heartbeats and links cost an idle entry or agent."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from endivetally.capacity.fits import Point
from endivetally.capacity.fleets import SETTLE_S
from endivetally.capacity.fleets import hosted_agents
from endivetally.capacity.fleets import running_fleet
from endivetally.capacity.process_usage import IntervalUsage
from endivetally.capacity.process_usage import ProcessUsage
from endivetally.capacity.process_usage import measure_usage
from endivetally.capacity.process_usage import read_usage
from endivetally.capacity.recording import Slope
from endivetally.capacity.recording import make_slope

AGENT_COUNTS: Final = (1, 10, 25, 50, 100)
ENTRY_COUNTS: Final = (1, 2, 4, 8, 16)
# Length of the interval in which the usage is sampled.
SAMPLING_S: Final = 10
MS_PER_S: Final = 1000
# What the size counts in the recorded slopes.
SIZE_AGENTS: Final = 'linked agents'
SIZE_ENTRIES: Final = 'linked entries'


@dataclass(frozen=True, slots=True)
class ControlSample:
    """Resource usage of one idle process that is linked to others.

    :param linked_count: number of linked processes.
    :param interval_usage: usage within the sampling interval.
    :param final_usage: usage at the end of the interval.
    """

    linked_count: int
    interval_usage: IntervalUsage
    final_usage: ProcessUsage

    @property
    def frames_sent_per_s(self) -> float:
        """Frames sent per second."""
        return self.interval_usage.counts.frames / self.interval_usage.seconds

    @property
    def frames_per_s(self) -> float:
        """Frames sent and received per second."""
        counts = self.interval_usage.counts
        return (counts.frames + counts.received_frames) / self.interval_usage.seconds

    @property
    def bytes_per_s(self) -> float:
        """Bytes of frames sent and received per second, without TCP and IP headers."""
        counts = self.interval_usage.counts
        return (counts.bytes + counts.received_bytes) / self.interval_usage.seconds

    @property
    def cpu_ms_per_s(self) -> float:
        """Milliseconds of processor time per second."""
        return self.interval_usage.cpu_share * MS_PER_S


async def sample_entry_control(agents: int) -> ControlSample:
    """Measure one entry that is linked to this number of idle agents."""
    async with running_fleet(entries=1) as fleet, hosted_agents(fleet, agents):
        usages = await measure_usage(fleet, fleet.entries, SAMPLING_S)
        return ControlSample(agents, usages[0], read_usage(fleet.entries[0].pid))


async def sample_agent_control(entries: int) -> tuple[ControlSample, ControlSample]:
    """Measure one idle agent that is linked to this number of entries.

    :returns: the sample of the agent, and that of the first entry, which is
        linked to the other entries.
    """
    async with running_fleet(entries, workers=1) as fleet:
        await asyncio.sleep(SETTLE_S)
        processes = [*fleet.agents, fleet.entries[0]]
        agent_usage, entry_usage = await measure_usage(fleet, processes, SAMPLING_S)
        agent_final, entry_final = (read_usage(process.pid) for process in processes)
        return (
            ControlSample(entries, agent_usage, agent_final),
            ControlSample(entries - 1, entry_usage, entry_final),
        )


def fit_control_slopes(
    role: str, per: str, run: str, samples: Sequence[ControlSample]
) -> list[Slope]:
    """Fit a slope to each measured quantity of one role.

    :param role: prefix of the names of the slopes.
    :param per: what the size counts.
    :param run: name of the measurement.
    :raises ValueError: when there are fewer than three samples.
    """
    columns = (
        ('sent', 'frames/s', [sample.frames_sent_per_s for sample in samples]),
        ('frames', 'frames/s', [sample.frames_per_s for sample in samples]),
        ('bytes', 'bytes/s', [sample.bytes_per_s for sample in samples]),
        ('cpu', 'ms/s', [sample.cpu_ms_per_s for sample in samples]),
        ('resident', 'MB', [sample.final_usage.resident_mb for sample in samples]),
        ('private', 'MB', [sample.final_usage.private_mb for sample in samples]),
    )
    sizes = [sample.linked_count for sample in samples]
    return [
        make_slope(
            f'{role}.{name}',
            unit,
            per,
            run,
            [Point(*pair) for pair in zip(sizes, column, strict=True)],
        )
        for name, unit, column in columns
    ]


async def measure_entry_control() -> list[Slope]:
    """Measure one entry with 1 to 100 idle agents."""
    samples = [await sample_entry_control(count) for count in AGENT_COUNTS]
    return fit_control_slopes('entry.control', SIZE_AGENTS, 'control', samples)


async def measure_agent_control() -> list[Slope]:
    """Measure one idle agent with 1 to 16 entries, and one of these entries."""
    pairs = [await sample_agent_control(count) for count in ENTRY_COUNTS]
    agents = [agent for agent, _ in pairs]
    entries = [entry for _, entry in pairs]
    return [
        *fit_control_slopes('agent.control', SIZE_ENTRIES, 'control', agents),
        *fit_control_slopes('entry.peers', SIZE_ENTRIES, 'control', entries),
    ]
