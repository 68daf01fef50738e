"""Admission of dispatches: the only place that decides which attempts start."""

import enum
import time
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from endivetally_core.joining import Announcement
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Dispatch
from endivetally_core.messages import Outcome

from endivetally_agent.records import StartRecords
from endivetally_agent.records import TaskRecord

# The target counts as closed when it sends no announcement for this long.
ANNOUNCEMENT_LEASE_S: Final = 3


class AdmissionState(enum.StrEnum):
    """Whether the target accepts new work."""

    OPEN = 'open'
    LEAVING = 'leaving'
    CLOSED = 'closed'


class RefusalReason(enum.StrEnum):
    """Why an attempt was refused; a refused attempt never starts."""

    FULL = 'full'
    LEAVING = 'leaving'
    CLOSED = 'closed'
    FENCED = 'fenced'
    MEMORY = 'memory'
    WRONG_SERVICE = 'wrong_service'
    DUPLICATE = 'duplicate'
    CANCELLED = 'cancelled'
    DEADLINE = 'deadline'


class Verdict(enum.Enum):
    """Kind of a decision on a dispatch."""

    STARTED = 'started'
    REFUSED = 'refused'
    DUPLICATE = 'duplicate'
    EXPIRED = 'expired'


@dataclass(frozen=True, slots=True)
class Decision:
    """Decision on one dispatch.

    :param reason: set when the attempt is refused.
    :param outcome: how the attempt ended, when the dispatch is a duplicate and the
        attempt has ended already.
    """

    verdict: Verdict
    reason: RefusalReason | None = None
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class RunningTask:
    """An attempt that has started and not ended.

    :param memory_mb: memory that the task is expected to use.
    :param started_at: monotonic time of its start.
    """

    memory_mb: float
    started_at: float


class DispatchAdmission:
    """Decides on the dispatches to one target and records each decision.

    :param records: the attempts that were started or refused here.
    :param clock: monotonic seconds.
    """

    def __init__(
        self, records: StartRecords, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._records = records
        self._clock = clock
        self._fenced: set[str] = set()
        self._announcement: Announcement | None = None
        self._lease_expires_at: float = 0
        self._draining = False
        self._announced_at: float = 0
        self._running: dict[AttemptId, RunningTask] = {}

    @property
    def state(self) -> AdmissionState:
        """Current state; ``CLOSED`` once the last announcement has expired."""
        if self._draining:
            return AdmissionState.LEAVING
        if self._announcement is None or self._clock() > self._lease_expires_at:
            return AdmissionState.CLOSED
        if self._announcement.leaving:
            return AdmissionState.LEAVING
        return AdmissionState.OPEN

    @property
    def announcement(self) -> Announcement | None:
        """The target's last announcement."""
        return self._announcement

    @property
    def slots(self) -> int:
        """Number of tasks that may run concurrently; 0 unless the state is open."""
        if self._announcement is None or self.state is not AdmissionState.OPEN:
            return 0
        return min(self._announcement.slots, self._announcement.connections)

    @property
    def running(self) -> int:
        """Number of attempts that have started and not ended."""
        return len(self._running)

    def apply_announcement(self, announcement: Announcement) -> None:
        """Replace the target's announcement and renew its lease."""
        self._announcement = announcement
        self._announced_at = self._clock()
        self._lease_expires_at = self._announced_at + ANNOUNCEMENT_LEASE_S

    def close(self) -> None:
        """Refuse new work until the next announcement of the target."""
        self._lease_expires_at = self._clock() - 1

    def drain(self) -> None:
        """Refuse new work permanently."""
        self._draining = True

    def lacks_slot(self, dispatch: Dispatch, memory_mb: float = 0) -> bool:
        """Whether a dispatch would be refused only because all slots are busy.

        :param memory_mb: memory that the task is expected to use.
        """
        attempt_id = dispatch.attempt_id
        if self._records.is_expired(
            attempt_id.owner, attempt_id.sequence
        ) or self._check_earlier_attempts(attempt_id):
            return False
        return self._find_refusal_reason(dispatch, memory_mb) is RefusalReason.FULL

    def try_start(self, dispatch: Dispatch, memory_mb: float = 0) -> Decision:
        """Decide on a dispatch and record the decision.

        :param memory_mb: memory that the task is expected to use.
        """
        attempt_id = dispatch.attempt_id
        if self._records.is_expired(attempt_id.owner, attempt_id.sequence):
            return Decision(Verdict.EXPIRED)
        earlier_decision = self._check_earlier_attempts(attempt_id)
        if earlier_decision is not None:
            return earlier_decision
        reason = self._find_refusal_reason(dispatch, memory_mb)
        task = self._records.touch_task(
            attempt_id.owner, attempt_id.sequence, attempt_id.number
        )
        task.highest_attempt = attempt_id.attempt
        if reason is not None:
            task.refusal_reason = reason.value
            return Decision(Verdict.REFUSED, reason)
        task.started_attempt = attempt_id.attempt
        self._running[attempt_id] = RunningTask(memory_mb, self._clock())
        return Decision(Verdict.STARTED)

    def record_outcome(self, outcome: Outcome, *, settled: bool = False) -> None:
        """Record the end of a started attempt.

        :param outcome: has the status ``refused`` only if nothing was sent to the
            target; the attempt then stays refused.
        :param settled: the owner needs no further copy of the outcome.
        """
        self._running.pop(outcome.attempt_id, None)
        self._records.store_outcome(outcome, settled=settled)

    def cancel_task(self, owner: str, sequence: int, number: int) -> AttemptId | None:
        """Refuse all further attempts at a task.

        :return: the attempt that is running and has to be stopped, if any.
        """
        if self._records.is_expired(owner, sequence):
            return None
        task = self._records.touch_task(owner, sequence, number)
        task.cancelled = True
        if task.started_attempt is None or not task.running:
            return None
        return AttemptId(owner, sequence, number, task.started_attempt)

    def fence_owner(self, owner: str) -> None:
        """Refuse all further dispatches of an entry's incarnation."""
        self._fenced.add(owner)

    def is_fenced(self, owner: str) -> bool:
        """Whether dispatches of the incarnation are refused."""
        return owner in self._fenced

    def recall_request(self, owner: str, sequence: int, recaller: str) -> list[Outcome]:
        """Fence an owner and report every attempt started for one of its requests.

        :param recaller: incarnation of the entry that recalls the request.
        :return: an outcome for each started attempt; a single ``unknown`` with the
            reason ``expired`` when the request's records were discarded.
        """
        self.fence_owner(owner)
        if self._records.is_expired(owner, sequence):
            attempt_id = AttemptId(owner, sequence, 0, 0)
            return [Outcome(attempt_id, 'unknown', 'expired')]
        request = self._records.find_request(owner, sequence)
        if request is None:
            return []
        request.recaller = recaller
        return [
            task.outcome or Outcome(request.attempt_id(number), 'running')
            for number, task in request.tasks.items()
            if task.started_attempt is not None and not task.refused_by_target
        ]

    def find_recaller(self, attempt_id: AttemptId) -> str:
        """Return the incarnation that recalled the request of an attempt, or ''."""
        request = self._records.find_request(attempt_id.owner, attempt_id.sequence)
        return request.recaller if request else ''

    def acknowledge_requests(self, owner: str, sequences: Iterable[int]) -> None:
        """Record that the owner has delivered or stored these responses."""
        for sequence in sequences:
            request = self._records.find_request(owner, sequence)
            if request is not None:
                request.acknowledged = True

    def list_unsettled(self, entry: str) -> list[Outcome]:
        """Return the outcomes that an entry may have missed.

        They belong to requests that the entry owns or has recalled.
        """
        return [
            task.outcome
            for request in self._records.iter_unsettled()
            if entry in {request.owner, request.recaller}
            for task in request.tasks.values()
            if task.outcome is not None and not task.settled
        ]

    def has_unsettled(self) -> bool:
        """Whether any outcome is still to be acknowledged."""
        return next(self._records.iter_unsettled(), None) is not None

    def _find_task(self, attempt_id: AttemptId) -> TaskRecord | None:
        request = self._records.find_request(attempt_id.owner, attempt_id.sequence)
        return request.tasks.get(attempt_id.number) if request else None

    def _check_earlier_attempts(self, attempt_id: AttemptId) -> Decision | None:
        task = self._find_task(attempt_id)
        if task is None:
            return None
        if task.started_attempt == attempt_id.attempt:
            return self._decide_duplicate(task)
        if task.started_attempt is not None:
            task.highest_attempt = max(task.highest_attempt, attempt_id.attempt)
            return Decision(Verdict.REFUSED, RefusalReason.DUPLICATE)
        if attempt_id.attempt == task.highest_attempt and task.refusal_reason:
            return Decision(Verdict.REFUSED, RefusalReason(task.refusal_reason))
        if attempt_id.attempt <= task.highest_attempt:
            return Decision(Verdict.REFUSED, RefusalReason.DUPLICATE)
        return None

    def _decide_duplicate(self, task: TaskRecord) -> Decision:
        if task.outcome is not None and task.refused_by_target:
            return Decision(Verdict.REFUSED, RefusalReason(task.outcome.reason))
        return Decision(Verdict.DUPLICATE, outcome=task.outcome)

    def _find_refusal_reason(
        self, dispatch: Dispatch, memory_mb: float
    ) -> RefusalReason | None:
        attempt_id = dispatch.attempt_id
        task = self._find_task(attempt_id)
        if attempt_id.owner in self._fenced:
            return RefusalReason.FENCED
        if task is not None and task.cancelled:
            return RefusalReason.CANCELLED
        if self.state is not AdmissionState.OPEN or self._announcement is None:
            return RefusalReason(self.state.value)
        if dispatch.target_pool != self._announcement.service:
            return RefusalReason.WRONG_SERVICE
        if dispatch.deadline_ms == 0:
            return RefusalReason.DEADLINE
        return self._check_capacity(self._announcement, memory_mb)

    def _check_capacity(
        self, announcement: Announcement, memory_mb: float
    ) -> RefusalReason | None:
        if self.running >= self.slots:
            return RefusalReason.FULL
        expected_mb = announcement.used_memory_mb + self._unreported_mb() + memory_mb
        if expected_mb > announcement.memory_mb:
            return RefusalReason.MEMORY
        return None

    def _unreported_mb(self) -> float:
        return sum(
            task.memory_mb
            for task in self._running.values()
            if task.started_at >= self._announced_at
        )
