"""What the stand-ins of targets recorded as started."""

from collections import Counter
from dataclasses import dataclass

import msgspec

from endivetally.fleet import Fleet


class RecordedStart(msgspec.Struct, frozen=True):
    """One line of a target's record file.

    :param id: id of the task, which is its caller's key and its number.
    :param time_s: wall time of the start.
    """

    id: str
    time_s: float


@dataclass(frozen=True, slots=True)
class TaskStart:
    """A start, with the target that recorded it."""

    task_id: str
    started_at_s: float
    target: str


class StartRecords:
    """Reads the record files of a fleet.

    :param fleet: the running fleet.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def read_all(self) -> list[TaskStart]:
        """Return every start, in the order of time."""
        starts: list[TaskStart] = []
        for worker in self._fleet.deployment.workers:
            starts.extend(self._read_target(worker.target))
        return sorted(starts, key=lambda start: start.started_at_s)

    def count_by_task(self) -> Counter[str]:
        """Return how often each task was started."""
        return Counter(start.task_id for start in self.read_all())

    def _read_target(self, target: str) -> list[TaskStart]:
        record_file = self._fleet.record_file(target)
        if not record_file.exists():
            return []
        # A line that is being written has no end yet.
        whole_lines = record_file.read_bytes().rpartition(b'\n')[0].splitlines()
        records = (
            msgspec.json.decode(line, type=RecordedStart) for line in whole_lines
        )
        return [TaskStart(record.id, record.time_s, target) for record in records]
