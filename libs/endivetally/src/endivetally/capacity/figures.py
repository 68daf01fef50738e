"""Figures for the design load that several sections of the capacity page use."""

import math
from collections import Counter
from dataclasses import dataclass
from typing import Final

from endivetally_core.identifiers import WATCHERS_PER_AGENT
from endivetally_table.shards import SHARD_COUNT
from endivetally_table.shards import assign_shards

from endivetally.capacity import design_load
from endivetally.capacity.recording import Recording

# Converts milliseconds to seconds, and kilobytes to megabytes.
KILO: Final = 1000
# IP and TCP headers of one segment, and the length that nng writes before a frame.
FRAME_HEADER_BYTES: Final = 60
# A TCP acknowledgement without payload.
ACKNOWLEDGEMENT_BYTES: Final = 52


@dataclass(frozen=True, slots=True)
class DerivedFigures:
    """Computes figures for the design load from the recorded slopes.

    :param recording: the measured slopes.
    """

    recording: Recording

    def slope(self, name: str) -> float:
        """Return the fitted growth per unit of size.

        :raises KeyError: when no slope of that name was recorded.
        """
        return self.recording.slope(name).fit.slope

    def intercept(self, name: str) -> float:
        """Return the fitted value at size 0.

        :raises KeyError: when no slope of that name was recorded.
        """
        return self.recording.slope(name).fit.intercept

    def largest_size_value(self, name: str) -> float:
        """Return the value that was measured at the largest size.

        :raises KeyError: when no slope of that name was recorded.
        """
        return self.recording.slope(name).points[-1].value

    @property
    def job_cpu_ms(self) -> float:
        """Processor time of an entry for a job without its tasks, in milliseconds.

        The first point is that of jobs with a single task.
        """
        return self.recording.slope('entry.job.cpu').points[0].value - self.task_cpu_ms

    @property
    def task_cpu_ms(self) -> float:
        """Processor time of an entry for each task of a job, in milliseconds."""
        return self.slope('entry.job.cpu')

    @property
    def jobs_per_s(self) -> float:
        """Jobs per second at the peak."""
        return design_load.TASK_STARTS_PER_S / design_load.MEAN_JOB_TASKS

    @property
    def busy_core_count(self) -> float:
        """Number of cores that dispatch uses at the peak, over all entries."""
        tasks = design_load.TASK_STARTS_PER_S * self.task_cpu_ms
        jobs = self.jobs_per_s * self.job_cpu_ms
        return (tasks + jobs) / KILO

    @property
    def entry_count(self) -> int:
        """Number of entries needed, the same number in each data centre."""
        needed = (
            self.busy_core_count
            / design_load.PEAK_UTILISATION
            / design_load.DATA_CENTRES
        )
        return math.ceil(needed) * design_load.DATA_CENTRES

    @property
    def watched_agents(self) -> float:
        """Average number of agents that send their heartbeats to one entry."""
        return design_load.WORKERS * WATCHERS_PER_AGENT / self.entry_count

    @property
    def peer_count(self) -> int:
        """Number of entries that one entry is linked to: all others."""
        return self.entry_count - 1

    @property
    def task_starts_per_agent(self) -> float:
        """Task starts per second at one agent."""
        return design_load.TASK_STARTS_PER_S / design_load.WORKERS

    @property
    def shard_imbalance(self) -> float:
        """Shards of the entry that owns the most, divided by the average."""
        names = [f'entry-{number}.{number:016x}' for number in range(self.entry_count)]
        owned = Counter(
            {
                move.to: len(move.shards)
                for move in assign_shards(range(SHARD_COUNT), names)
            },
        )
        return max(owned.values()) * self.entry_count / SHARD_COUNT


def wire_bytes(frame_bytes: float, frames: float) -> float:
    """Return bytes on the wire, with the headers and acknowledgements of all frames.

    This is an upper bound: it assumes one segment and one acknowledgement per frame.

    :param frame_bytes: size of all frames without headers.
    :param frames: number of frames.
    """
    return frame_bytes + frames * (FRAME_HEADER_BYTES + ACKNOWLEDGEMENT_BYTES)
