"""Reads the task starts that target stand-ins recorded."""

from collections import Counter
from dataclasses import dataclass

import msgspec

from endivetally.fleet import Fleet


class RecordedStart(msgspec.Struct, frozen=True):
    """One line of a target's record file.

    :param id: id of the task: the idempotency key of its request and its number.
    :param time_s: wall time of the start, in seconds.
    """

    id: str
    time_s: float


@dataclass(frozen=True, slots=True)
class TaskStart:
    """The start of a task and the target that recorded it."""

    task_id: str
    started_at_s: float
    target: str


class StartRecords:
    """Reads the record files of all targets of a fleet.

    :param fleet: fleet whose targets write the files.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def read_all(self) -> list[TaskStart]:
        """Return all starts, ordered by time."""
        starts: list[TaskStart] = []
        for worker in self._fleet.deployment.workers:
            starts.extend(self._read_target(worker.target))
        return sorted(starts, key=lambda start: start.started_at_s)

    def count_by_task(self) -> Counter[str]:
        """Return the number of starts of each task."""
        return Counter(start.task_id for start in self.read_all())

    def _read_target(self, target: str) -> list[TaskStart]:
        record_file = self._fleet.get_record_file(target)
        if not record_file.exists():
            return []
        # A line that is still being written has no newline yet.
        complete_lines = record_file.read_bytes().rpartition(b'\n')[0].splitlines()
        records = (
            msgspec.json.decode(line, type=RecordedStart) for line in complete_lines
        )
        return [TaskStart(record.id, record.time_s, target) for record in records]
