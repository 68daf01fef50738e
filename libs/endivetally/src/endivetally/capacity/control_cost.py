"""Cost of control while nothing runs: per agent, per entry."""

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
SAMPLING_S: Final = 10
MS_PER_S: Final = 1000
SIZE_AGENTS: Final = 'linked agents'
SIZE_ENTRIES: Final = 'linked entries'


@dataclass(frozen=True, slots=True)
class Sample:
    """One process under measurement among peers."""

    size: int
    rates: IntervalUsage
    memory: ProcessUsage

    @property
    def frames_sent_per_s(self) -> float:
        """Frames that it sent."""
        return self.rates.counts.frames / self.rates.seconds

    @property
    def frames_per_s(self) -> float:
        """Frames in both directions."""
        counts = self.rates.counts
        return (counts.frames + counts.received_frames) / self.rates.seconds

    @property
    def bytes_per_s(self) -> float:
        """Bytes of frames in both directions, without headers of TCP and IP."""
        counts = self.rates.counts
        return (counts.bytes + counts.received_bytes) / self.rates.seconds

    @property
    def cpu_ms_per_s(self) -> float:
        """Milliseconds of one core in a second."""
        return self.rates.cpu_share * MS_PER_S


async def sample_entry_control(agents: int) -> Sample:
    """Measure one entry with idle agents."""
    async with running_fleet(entries=1) as fleet, hosted_agents(fleet, agents):
        rates = await measure_usage(fleet, fleet.entries, SAMPLING_S)
        return Sample(agents, rates[0], read_usage(fleet.entries[0].pid))


async def sample_agent_control(entries: int) -> tuple[Sample, Sample]:
    """Measure one idle agent with entries, and one of these entries."""
    async with running_fleet(entries, workers=1) as fleet:
        await asyncio.sleep(SETTLE_S)
        processes = [*fleet.agents, fleet.entries[0]]
        agent_rates, entry_rates = await measure_usage(fleet, processes, SAMPLING_S)
        agent, entry = (read_usage(process.pid) for process in processes)
        return (
            Sample(entries, agent_rates, agent),
            Sample(entries - 1, entry_rates, entry),
        )


def fit_control_slopes(
    role: str, per: str, run: str, samples: Sequence[Sample]
) -> list[Slope]:
    """Fit every quantity of control for one role.

    :param role: prefix of the slopes' names.
    """
    columns = (
        ('sent', 'frames/s', [each.frames_sent_per_s for each in samples]),
        ('frames', 'frames/s', [each.frames_per_s for each in samples]),
        ('bytes', 'bytes/s', [each.bytes_per_s for each in samples]),
        ('cpu', 'ms/s', [each.cpu_ms_per_s for each in samples]),
        ('resident', 'MB', [each.memory.resident_mb for each in samples]),
        ('private', 'MB', [each.memory.private_mb for each in samples]),
    )
    sizes = [each.size for each in samples]
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
    """Measure an entry with 1 to 100 idle agents."""
    samples = [await sample_entry_control(count) for count in AGENT_COUNTS]
    return fit_control_slopes('entry.control', SIZE_AGENTS, 'control', samples)


async def measure_agent_control() -> list[Slope]:
    """Measure an agent with 1 to 16 entries, and an entry among them."""
    pairs = [await sample_agent_control(count) for count in ENTRY_COUNTS]
    agents = [agent for agent, _ in pairs]
    entries = [entry for _, entry in pairs]
    return [
        *fit_control_slopes('agent.control', SIZE_ENTRIES, 'control', agents),
        *fit_control_slopes('entry.peers', SIZE_ENTRIES, 'control', entries),
    ]
