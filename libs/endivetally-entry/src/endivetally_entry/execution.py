"""Execution of one request: attempts at its tasks, retries and results."""

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from endivetally_core.errors import EndivetallyError
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import RequestError
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Outcome
from endivetally_policy.retries import EndedAttempt
from endivetally_policy.scheduling import PendingTask

from endivetally_entry.dispatcher import AttemptListener
from endivetally_entry.requests import CallerRequest

if TYPE_CHECKING:
    from endivetally_policy.retries import RetryPolicy

    from endivetally_entry.dispatcher import Dispatcher

FENCED_REASON = 'fenced'
ALREADY_STARTED_REASON = 'duplicate'


class OwnershipMoved(EndivetallyError):
    """Another entry owns the key now, and only that entry knows the outcome."""


@dataclass(slots=True)
class _AttemptHistory:
    """Counts how the earlier attempts at one task ended.

    :param refusals: attempts that an agent refused, so that they never started.
    :param starts: attempts that started or may have started.
    """

    refusals: int = 0
    starts: int = 0

    def add(self, status: str) -> None:
        if status == 'refused':
            self.refusals += 1
        else:
            self.starts += 1


class Execution(AttemptListener):
    """Runs the tasks of one request and collects their results.

    :param owner: incarnation of this entry.
    :param sequence: number of the request, unique within the incarnation.
    :param recovered_results: results that tasks had under a former owner, by task
        number; these tasks are not run again.
    """

    def __init__(
        self,
        request: CallerRequest,
        owner: str,
        sequence: int,
        dispatcher: 'Dispatcher',
        retries: 'RetryPolicy',
        recovered_results: dict[int, bytes] | None = None,
    ) -> None:
        self.agents: set[str] = set()
        self._request = request
        self._owner = owner
        self._sequence = sequence
        self._dispatcher = dispatcher
        self._retries = retries
        self._results = dict(recovered_results or {})
        self._open_attempts: dict[int, AttemptId] = {}
        self._some_ran = bool(recovered_results)
        self._may_have_run = False
        self._histories: dict[int, _AttemptHistory] = {}
        self._finished: asyncio.Future[None] | None = None

    @property
    def sequence(self) -> int:
        """Number of the request, unique within this incarnation."""
        return self._sequence

    async def run(self) -> list[bytes]:
        """Run all tasks and return their results in task order.

        On failure or cancellation every open attempt is cancelled.

        :raises RequestError: when a task fails or has no result in time; the
            results of the other tasks are discarded.
        """
        loop = asyncio.get_running_loop()
        self._finished = loop.create_future()
        timer = loop.call_at(self._request.deadline, self._handle_deadline)
        try:
            await self._run_missing_tasks(self._finished)
        finally:
            timer.cancel()
            self._cancel_open_attempts()
        return [self._results[number] for number in range(len(self._request.tasks))]

    def cancel(self) -> None:
        """Fail the request because the caller cancelled it."""
        self._give_up(ErrorKind.CANCELLED)

    def attempt_ended(self, task: PendingTask, agent: str, outcome: Outcome) -> None:
        """Store the result, retry the task, or fail the request.

        The outcome is ignored when the request has ended already.
        """
        self.agents.add(agent)
        number = task.attempt_id.number
        self._open_attempts.pop(number, None)
        if self._finished is None or self._finished.done():
            return
        if outcome.status == 'done' and not outcome.reason:
            self._results[number] = outcome.body
            self._finish_if_complete()
            return
        self._handle_failure(task, agent, outcome)

    def attempt_expired(self, task: PendingTask) -> None:
        """Fail the request because a task can't start before the deadline."""
        self._open_attempts.pop(task.attempt_id.number, None)
        self._give_up(
            ErrorKind.OVERLOADED,
            'no slot became free before the deadline',
        )

    def _handle_failure(
        self,
        task: PendingTask,
        agent: str,
        outcome: Outcome,
    ) -> None:
        if outcome.status in {'failed', 'done'}:
            self._some_ran = True
        if outcome.status in {'unknown', 'cancelled'}:
            self._may_have_run = True
        if outcome.reason == FENCED_REASON:
            self._handle_fencing()
            return
        if outcome.status == 'done':
            self._fail(RequestError(ErrorKind.RESULT_LOST, outcome.reason))
            return
        self._retry_or_fail(task, agent, outcome)

    def _handle_fencing(self) -> None:
        if self._request.exclusive:
            # Another entry owns the request now and may have run it.
            self._fail(OwnershipMoved(self._request.key))
        else:
            self._give_up(ErrorKind.DRAINING, 'this entry was taken over')

    def _retry_or_fail(
        self,
        task: PendingTask,
        agent: str,
        outcome: Outcome,
    ) -> None:
        loop = asyncio.get_running_loop()
        number = task.attempt_id.number
        history = self._histories.setdefault(number, _AttemptHistory())
        if history.starts and outcome.reason == ALREADY_STARTED_REASON:
            # The scheduler picks an agent to avoid only when there is no other.
            kind = (
                ErrorKind.TASK_FAILED if self._some_ran else ErrorKind.OUTCOME_UNKNOWN
            )
            self._give_up(kind, 'it was tried at every target')
            return
        history.add(outcome.status)
        ended = EndedAttempt(
            status=outcome.status,
            service=task.service,
            kind=task.kind,
            refusal_count=history.refusals,
            start_count=history.starts,
            deadline=task.deadline,
        )
        decision = self._retries.decide_retry(ended, loop.time())
        if decision.error is None:
            avoid = task.avoided_agents | {agent}
            attempt = task.attempt_id.attempt + 1
            loop.call_later(
                decision.delay_s, self._submit_attempt, number, attempt, avoid
            )
            return
        self._give_up(decision.error, outcome.reason or outcome.status)

    async def _run_missing_tasks(self, finished: 'asyncio.Future[None]') -> None:
        self._retries.earn_retries(self._request.service.name, len(self._request.tasks))
        for number, _payload in enumerate(self._request.tasks):
            if number not in self._results:
                self._submit_attempt(number, 0, frozenset())
        self._finish_if_complete()
        await finished

    def _submit_attempt(self, number: int, attempt: int, avoid: frozenset[str]) -> None:
        if self._finished is None or self._finished.done():
            return
        request = self._request
        attempt_id = AttemptId(self._owner, self._sequence, number, attempt)
        self._open_attempts[number] = attempt_id
        task = PendingTask(
            attempt_id=attempt_id,
            team=request.team,
            service=request.service.name,
            kind=request.service.kind,
            priority=request.service.priority,
            weight=request.weight,
            deadline=request.deadline,
            enqueued_at=asyncio.get_running_loop().time(),
            exclusive=request.exclusive,
            avoided_agents=avoid,
            pool=request.service.target_pool,
        )
        self._dispatcher.submit_attempt(task, request.tasks[number], self)

    def _handle_deadline(self) -> None:
        self._withdraw()
        kind = (
            ErrorKind.DEADLINE_EXCEEDED if self._open_attempts else ErrorKind.OVERLOADED
        )
        self._give_up(kind, 'the deadline passed before every task had ended')

    def _execution_state(self) -> ExecutionState:
        if self._some_ran or self._results:
            return ExecutionState.RAN
        if self._may_have_run or self._dispatcher.has_sent_attempt(
            self._open_attempts.values()
        ):
            return ExecutionState.UNKNOWN
        return ExecutionState.NOT_RUN

    def _finish_if_complete(self) -> None:
        complete = len(self._results) == len(self._request.tasks)
        if complete and self._finished is not None and not self._finished.done():
            self._finished.set_result(None)

    def _give_up(self, kind: ErrorKind, detail: str = '') -> None:
        """Fail the request; none of its queued attempts is sent any more."""
        self._withdraw()
        self._fail(RequestError(kind, detail, execution_state=self._execution_state()))

    def _fail(self, error: EndivetallyError) -> None:
        if self._finished is not None and not self._finished.done():
            self._finished.set_exception(error)

    def _withdraw(self) -> None:
        for number in self._dispatcher.withdraw_request(self._owner, self._sequence):
            self._open_attempts.pop(number, None)

    def _cancel_open_attempts(self) -> None:
        self._withdraw()
        if self._open_attempts:
            self._dispatcher.cancel_attempts(list(self._open_attempts.values()))
