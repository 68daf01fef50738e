"""Records of started and refused attempts, and outcomes that may be requested again.

Records are kept per request. Bodies of outcomes are discarded first, whole records
later. Discarded requests are remembered per owner as expired, so that an old attempt
never starts again and is never reported as not run.
"""

import sys
import time
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import Final

import msgspec
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Outcome

MAX_TASK_RECORDS: Final = 24_000
MAX_EXPIRED_PER_OWNER: Final = 20_000
BYTES_PER_MB: Final = 1024 * 1024
BODY_DISCARDED: Final = 'answer_lost'
DONE: Final = 'done'


@dataclass(slots=True)
class TaskRecord:
    """Record of one task of a request.

    :param highest_attempt: highest attempt number received.
    :param started_attempt: number of the attempt that started, if one did.
    :param refusal_reason: why ``highest_attempt`` was refused.
    :param cancelled: no further attempt may start.
    :param outcome: how the started attempt ended.
    :param settled: the owner needs no further copy of the outcome.
    """

    highest_attempt: int = -1
    started_attempt: int | None = None
    refusal_reason: str = ''
    cancelled: bool = False
    outcome: Outcome | None = None
    settled: bool = False

    @property
    def running(self) -> bool:
        """Whether an attempt has started and not ended."""
        return self.started_attempt is not None and self.outcome is None

    @property
    def refused_by_target(self) -> bool:
        """Whether the started attempt was refused by the target itself."""
        return self.outcome is not None and self.outcome.status == 'refused'


@dataclass(slots=True)
class RequestRecord:
    """Records of the tasks of one request.

    :param changed_at: monotonic time of the last change.
    :param acknowledged: the owner has delivered or stored the whole response.
    :param recaller: incarnation of the entry that recalled the request.
    :param tasks: by index of the task in the request.
    """

    owner: str
    sequence: int
    changed_at: float = 0
    acknowledged: bool = False
    recaller: str = ''
    tasks: dict[int, TaskRecord] = field(default_factory=dict)

    @property
    def running(self) -> bool:
        """Whether any task of the request is running."""
        return any(task.running for task in self.tasks.values())

    def attempt_id(self, number: int) -> AttemptId:
        """Return the identifier of the started attempt at a task."""
        return AttemptId(
            self.owner, self.sequence, number, self.tasks[number].started_attempt or 0
        )


class ExpiredRequests:
    """Sequence numbers of one owner's requests whose records were discarded.

    The highest numbers are stored individually; all numbers below a limit count as
    expired, including those of requests that never had a record.
    """

    def __init__(self) -> None:
        self._limit = 0
        self._sequences: set[int] = set()
        self._changed_at: float = 0

    def __contains__(self, sequence: int) -> bool:
        """Whether the record of this request may have been discarded."""
        return sequence < self._limit or sequence in self._sequences

    def add(self, sequence: int, now: float) -> None:
        """Add the sequence number of a discarded record.

        :param now: current monotonic time.
        """
        self._changed_at = now
        self._sequences.add(sequence)
        if len(self._sequences) > MAX_EXPIRED_PER_OWNER:
            self._raise_limit()

    def compact(self, oldest_at: float) -> None:
        """Replace the stored numbers by a limit if none was added recently.

        :param oldest_at: monotonic time before which an addition is not recent.
        """
        if self._sequences and self._changed_at < oldest_at:
            self._limit = max(self._sequences) + 1
            self._sequences.clear()

    def _raise_limit(self) -> None:
        ordered = sorted(self._sequences)
        self._limit = ordered[len(ordered) // 4]
        self._sequences = {number for number in ordered if number >= self._limit}


class StartRecords:
    """All records of one agent, bounded in age, number and memory.

    :param retention_s: seconds after the last change until a record expires.
    :param memory_mb: limit for the total size of the stored bodies.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        retention_s: float,
        memory_mb: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._retention_s = retention_s
        self._max_body_bytes = memory_mb * BYTES_PER_MB
        self._clock = clock
        self._requests: dict[tuple[str, int], RequestRecord] = {}
        self._expired: dict[str, ExpiredRequests] = {}
        self._task_count = 0
        self._body_bytes = 0

    @property
    def task_count(self) -> int:
        """Number of tasks with a record."""
        return self._task_count

    @property
    def body_bytes(self) -> int:
        """Total size of the stored bodies, in bytes."""
        return self._body_bytes

    def is_expired(self, owner: str, sequence: int) -> bool:
        """Whether the request may have had a record that was discarded."""
        if (owner, sequence) in self._requests or owner not in self._expired:
            return False
        return sequence in self._expired[owner]

    def find_request(self, owner: str, sequence: int) -> RequestRecord | None:
        """Return the record of a request, if there is one."""
        return self._requests.get((owner, sequence))

    def touch_task(self, owner: str, sequence: int, number: int) -> TaskRecord:
        """Return a task's record, created if missing; mark its request as changed."""
        request = self._requests.pop((owner, sequence), None)
        if request is None:
            request = RequestRecord(sys.intern(owner), sequence)
        self._requests[request.owner, sequence] = request
        request.changed_at = self._clock()
        if number not in request.tasks:
            request.tasks[number] = TaskRecord()
            self._task_count += 1
        return request.tasks[number]

    def store_outcome(self, outcome: Outcome, *, settled: bool = False) -> None:
        """Store the outcome of a started attempt.

        :param settled: the owner needs no further copy of the outcome; if the
            status is ``done``, only the sequence number of the request is kept.
        """
        attempt_id = outcome.attempt_id
        task = self.touch_task(attempt_id.owner, attempt_id.sequence, attempt_id.number)
        task.outcome = outcome
        task.settled = settled
        self._body_bytes += len(outcome.body)
        if settled and outcome.status == DONE:
            self._discard(self._requests[attempt_id.owner, attempt_id.sequence])
        self.trim()

    def iter_unsettled(self) -> Iterator[RequestRecord]:
        """Yield the requests with an outcome that their owner may still need."""
        for request in self._requests.values():
            if not request.acknowledged and _has_unsettled(request):
                yield request

    def trim(self) -> None:
        """Discard what is too old or above the limits, acknowledged requests first.

        Above a limit, records or bodies are discarded down to three quarters of it.
        """
        self._discard_old()
        if self._body_bytes > self._max_body_bytes:
            self._discard_bodies(acknowledged_only=True)
        if self._body_bytes > self._max_body_bytes:
            self._discard_bodies(acknowledged_only=False)
        if self._task_count > MAX_TASK_RECORDS:
            self._discard_surplus(acknowledged_only=True)
        if self._task_count > MAX_TASK_RECORDS:
            self._discard_surplus(acknowledged_only=False)

    def _discard_old(self) -> None:
        oldest_at = self._clock() - self._retention_s
        old: list[RequestRecord] = []
        for request in self._requests.values():
            if request.changed_at > oldest_at:
                break
            old.append(request)
        for request in old:
            self._discard(request)
        for expired in self._expired.values():
            expired.compact(oldest_at)

    def _discard_surplus(self, *, acknowledged_only: bool) -> None:
        for request in list(self._requests.values()):
            if self._task_count <= MAX_TASK_RECORDS * 3 // 4:
                return
            if request.acknowledged or not acknowledged_only:
                self._discard(request)

    def _discard(self, request: RequestRecord) -> None:
        if request.running:
            return
        self._requests.pop((request.owner, request.sequence))
        self._task_count -= len(request.tasks)
        for task in request.tasks.values():
            self._body_bytes -= len(task.outcome.body) if task.outcome else 0
        expired = self._expired.setdefault(request.owner, ExpiredRequests())
        expired.add(request.sequence, self._clock())

    def _discard_bodies(self, *, acknowledged_only: bool) -> None:
        for request in self._requests.values():
            if self._body_bytes <= self._max_body_bytes * 3 // 4:
                return
            if request.acknowledged or not acknowledged_only:
                for task in request.tasks.values():
                    self._discard_body(task)

    def _discard_body(self, task: TaskRecord) -> None:
        outcome = task.outcome
        if outcome is None or not outcome.body:
            return
        self._body_bytes -= len(outcome.body)
        reason = BODY_DISCARDED if outcome.status == DONE else outcome.reason
        task.outcome = msgspec.structs.replace(outcome, body=b'', reason=reason)


def _has_unsettled(request: RequestRecord) -> bool:
    return any(
        task.outcome is not None and not task.settled for task in request.tasks.values()
    )
