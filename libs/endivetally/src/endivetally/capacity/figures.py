"""DerivedFigures at the size of the design that several sections of the page need."""

import math
from collections import Counter
from dataclasses import dataclass
from typing import Final

from endivetally_core.identifiers import WATCHERS_PER_AGENT
from endivetally_table.shards import SHARD_COUNT
from endivetally_table.shards import assign_shards

from endivetally.capacity import design_load
from endivetally.capacity.recording import Recording

KILO: Final = 1000
# One segment with IP and TCP headers, and the length that nng puts before a
# frame; the acknowledgement of a segment that carries nothing back.
FRAME_HEADER_BYTES: Final = 60
ACKNOWLEDGEMENT_BYTES: Final = 52


@dataclass(frozen=True, slots=True)
class DerivedFigures:
    """Derived figures.

    :param recording: the slopes that were measured.
    """

    recording: Recording

    def slope(self, name: str) -> float:
        """Return a slope's value."""
        return self.recording.slope(name).fit.slope

    def intercept(self, name: str) -> float:
        """Return the fitted value at size 0."""
        return self.recording.slope(name).fit.intercept

    def largest_size_value(self, name: str) -> float:
        """Return the value measured at the largest size."""
        return self.recording.slope(name).points[-1].value

    @property
    def job_cpu_ms(self) -> float:
        """Processor time of an entry for a job, beside that of its tasks."""
        return self.recording.slope('entry.job.cpu').points[0].value - self.task_cpu_ms

    @property
    def task_cpu_ms(self) -> float:
        """Processor time of an entry for a task of a job."""
        return self.slope('entry.job.cpu')

    @property
    def jobs_per_s(self) -> float:
        """Jobs a second at the peak."""
        return design_load.TASK_STARTS_PER_S / design_load.MEAN_JOB_TASKS

    @property
    def busy_core_count(self) -> float:
        """Cores that the entries keep busy at the peak."""
        tasks = design_load.TASK_STARTS_PER_S * self.task_cpu_ms
        jobs = self.jobs_per_s * self.job_cpu_ms
        return (tasks + jobs) / KILO

    @property
    def entry_count(self) -> int:
        """Entries needed: a multiple of the data centres."""
        needed = (
            self.busy_core_count
            / design_load.PEAK_UTILISATION
            / design_load.DATA_CENTRES
        )
        return math.ceil(needed) * design_load.DATA_CENTRES

    @property
    def watched_agents(self) -> float:
        """Agents that heartbeat one entry."""
        return design_load.WORKERS * WATCHERS_PER_AGENT / self.entry_count

    @property
    def peer_count(self) -> int:
        """Other entries."""
        return self.entry_count - 1

    @property
    def task_starts_per_agent(self) -> float:
        """Task starts a second at one agent."""
        return design_load.TASK_STARTS_PER_S / design_load.WORKERS

    @property
    def shard_imbalance(self) -> float:
        """Shards of the entry with the most, over the average."""
        names = [f'entry-{number}.{number:016x}' for number in range(self.entry_count)]
        owned = Counter(
            {
                move.to: len(move.shards)
                for move in assign_shards(range(SHARD_COUNT), names)
            },
        )
        return max(owned.values()) * self.entry_count / SHARD_COUNT


def wire_bytes(frame_bytes: float, frames: float) -> float:
    """Add the headers of frames, each with an acknowledgement of its own."""
    return frame_bytes + frames * (FRAME_HEADER_BYTES + ACKNOWLEDGEMENT_BYTES)
