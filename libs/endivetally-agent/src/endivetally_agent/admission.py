"""The start admission: the one place that decides whether a binding starts here."""

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

ANNOUNCEMENT_LEASE_S: Final = 3


class AdmissionState(enum.StrEnum):
    """Whether the target takes new work."""

    OPEN = 'open'
    LEAVING = 'leaving'
    CLOSED = 'closed'


class RefusalReason(enum.StrEnum):
    """Why a binding does not start and never will."""

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
    """What the admission decided on a dispatch."""

    STARTED = 'started'
    REFUSED = 'refused'
    DUPLICATE = 'duplicate'
    EXPIRED = 'expired'


@dataclass(frozen=True, slots=True)
class Decision:
    """Answer of the admission.

    :param reason: set when the binding is refused.
    :param outcome: how the binding ended, when a duplicate's first copy ended.
    """

    verdict: Verdict
    reason: RefusalReason | None = None
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A binding that started and has not ended.

    :param memory_mb: memory that it is expected to take.
    :param started_s: monotonic time of its start.
    """

    memory_mb: float
    started_s: float


class DispatchAdmission:
    """Start records and admission of one target.

    :param records: what was started and refused here.
    :param clock: monotonic seconds.
    """

    def __init__(
        self, records: StartRecords, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._records = records
        self._clock = clock
        self._fenced: set[str] = set()
        self._announcement: Announcement | None = None
        self._lease_until_s: float = 0
        self._draining = False
        self._announced_s: float = 0
        self._running: dict[AttemptId, RunningTask] = {}

    @property
    def state(self) -> AdmissionState:
        """State for new work; an announcement that lapsed closes the admission."""
        if self._draining:
            return AdmissionState.LEAVING
        if self._announcement is None or self._clock() > self._lease_until_s:
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
        """Tasks that may run at once; 0 unless the admission is open."""
        if self._announcement is None or self.state is not AdmissionState.OPEN:
            return 0
        return min(self._announcement.slots, self._announcement.connections)

    @property
    def running(self) -> int:
        """Bindings that started and have not ended."""
        return len(self._running)

    def apply_announcement(self, announcement: Announcement) -> None:
        """Take over an announcement of the target and extend its lease."""
        self._announcement = announcement
        self._announced_s = self._clock()
        self._lease_until_s = self._announced_s + ANNOUNCEMENT_LEASE_S

    def close(self) -> None:
        """Refuse new work until the target announces itself again."""
        self._lease_until_s = self._clock() - 1

    def drain(self) -> None:
        """Refuse new work for good."""
        self._draining = True

    def lacks_slot(self, dispatch: Dispatch, memory_mb: float = 0) -> bool:
        """Whether a dispatch is refused now only because all slots are busy."""
        name = dispatch.attempt_id
        if self._records.is_expired(name.owner, name.sequence) or self._check_repeated(
            name
        ):
            return False
        return self._find_refusal_reason(dispatch, memory_mb) is RefusalReason.FULL

    def try_start(self, dispatch: Dispatch, memory_mb: float = 0) -> Decision:
        """Decide on a dispatch and record the decision.

        :param memory_mb: memory that the task is expected to take.
        """
        name = dispatch.attempt_id
        if self._records.is_expired(name.owner, name.sequence):
            return Decision(Verdict.EXPIRED)
        seen = self._check_repeated(name)
        if seen is not None:
            return seen
        reason = self._find_refusal_reason(dispatch, memory_mb)
        task = self._records.touch_task(name.owner, name.sequence, name.number)
        task.attempt = name.attempt
        if reason is not None:
            task.reason = reason.value
            return Decision(Verdict.REFUSED, reason)
        task.started = name.attempt
        self._running[name] = RunningTask(memory_mb, self._clock())
        return Decision(Verdict.STARTED)

    def finish(self, outcome: Outcome, *, settled: bool = False) -> None:
        """Record the end of a started binding.

        :param outcome: with status ``refused`` only if nothing was sent to the
            target; the name stays refused.
        :param settled: the owner needs no further copy of the outcome.
        """
        self._running.pop(outcome.attempt_id, None)
        self._records.store_outcome(outcome, settled=settled)

    def cancel(self, owner: str, sequence: int, number: int) -> AttemptId | None:
        """Let no further attempt of a task start.

        :return: the binding that runs and wants to be stopped.
        """
        if self._records.is_expired(owner, sequence):
            return None
        task = self._records.touch_task(owner, sequence, number)
        task.cancelled = True
        if task.started is None or not task.running:
            return None
        return AttemptId(owner, sequence, number, task.started)

    def fence(self, owner: str) -> None:
        """Refuse every later dispatch of an entry's incarnation."""
        self._fenced.add(owner)

    def is_fenced(self, owner: str) -> bool:
        """Whether the incarnation is refused."""
        return owner in self._fenced

    def recall(self, owner: str, sequence: int, recaller: str) -> list[Outcome]:
        """Fence an owner and report all that started for a request of it.

        :param recaller: incarnation of the entry that asks.
        :return: a started binding each; ``unknown`` with ``expired`` when the
            records of the request are no longer held.
        """
        self.fence(owner)
        if self._records.is_expired(owner, sequence):
            name = AttemptId(owner, sequence, 0, 0)
            return [Outcome(name, 'unknown', 'expired')]
        request = self._records.find(owner, sequence)
        if request is None:
            return []
        request.recaller = recaller
        return [
            task.outcome or Outcome(request.attempt_id(number), 'running')
            for number, task in request.tasks.items()
            if task.started is not None and not task.refused
        ]

    def find_recaller(self, name: AttemptId) -> str:
        """Return the entry that recalled the request of a binding, or ''."""
        request = self._records.find(name.owner, name.sequence)
        return request.recaller if request else ''

    def acknowledge(self, owner: str, sequences: Iterable[int]) -> None:
        """Note that the answers of these requests are safe with their owner."""
        for sequence in sequences:
            request = self._records.find(owner, sequence)
            if request is not None:
                request.acknowledged = True

    def list_unsettled(self, entry: str) -> list[Outcome]:
        """Return the ended bindings that an entry owns or recalled and may miss."""
        return [
            task.outcome
            for request in self._records.iter_unsettled()
            if entry in {request.owner, request.recaller}
            for task in request.tasks.values()
            if task.outcome is not None and not task.settled
        ]

    def has_unsettled(self) -> bool:
        """Whether an outcome waits for an acknowledgement."""
        return next(self._records.iter_unsettled(), None) is not None

    def _task(self, name: AttemptId) -> TaskRecord | None:
        request = self._records.find(name.owner, name.sequence)
        return request.tasks.get(name.number) if request else None

    def _check_repeated(self, name: AttemptId) -> Decision | None:
        task = self._task(name)
        if task is None:
            return None
        if task.started == name.attempt:
            return self._decide_repeated(task)
        if task.started is not None:
            task.attempt = max(task.attempt, name.attempt)
            return Decision(Verdict.REFUSED, RefusalReason.DUPLICATE)
        if name.attempt == task.attempt and task.reason:
            return Decision(Verdict.REFUSED, RefusalReason(task.reason))
        if name.attempt <= task.attempt:
            return Decision(Verdict.REFUSED, RefusalReason.DUPLICATE)
        return None

    def _decide_repeated(self, task: TaskRecord) -> Decision:
        if task.outcome is not None and task.refused:
            return Decision(Verdict.REFUSED, RefusalReason(task.outcome.reason))
        return Decision(Verdict.DUPLICATE, outcome=task.outcome)

    def _find_refusal_reason(
        self, dispatch: Dispatch, memory_mb: float
    ) -> RefusalReason | None:
        name = dispatch.attempt_id
        task = self._task(name)
        if name.owner in self._fenced:
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
            if task.started_s >= self._announced_s
        )
