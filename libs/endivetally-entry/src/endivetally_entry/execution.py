"""Execution of one request: its bindings, retries, and the whole answer."""

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from endivetally_core.errors import EndivetallyError
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import RequestError
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Outcome
from endivetally_policy.retries import EndedBinding
from endivetally_policy.scheduling import PendingTask

from endivetally_entry.dispatcher import BindingListener
from endivetally_entry.requests import CallerRequest

if TYPE_CHECKING:
    from endivetally_policy.retries import RetryPolicy

    from endivetally_entry.dispatcher import Dispatcher

FENCED_REASON = 'fenced'
STARTED_BEFORE_REASON = 'duplicate'


class OwnershipMoved(EndivetallyError):
    """Another entry owns the key now; ask it what became of the request."""


@dataclass(slots=True)
class _BindingHistory:
    """How the earlier bindings of one task ended."""

    refusals: int = 0
    starts: int = 0

    def add(self, status: str) -> None:
        if status == 'refused':
            self.refusals += 1
        else:
            self.starts += 1


class Execution(BindingListener):
    """Runs the tasks of one request and collects their results.

    :param owner: incarnation of this entry.
    :param sequence: number of the request, unique for the incarnation.
    :param known_results: results of a former owner, by task number.
    """

    def __init__(
        self,
        request: CallerRequest,
        owner: str,
        sequence: int,
        dispatcher: 'Dispatcher',
        retries: 'RetryPolicy',
        known_results: dict[int, bytes] | None = None,
    ) -> None:
        self.agents: set[str] = set()
        self._request = request
        self._owner = owner
        self._sequence = sequence
        self._dispatcher = dispatcher
        self._retries = retries
        self._results = dict(known_results or {})
        self._sent: dict[int, AttemptId] = {}
        self._some_ran = bool(known_results)
        self._uncertain = False
        self._histories: dict[int, _BindingHistory] = {}
        self._finished: asyncio.Future[None] | None = None

    @property
    def sequence(self) -> int:
        """Number of the request."""
        return self._sequence

    async def run(self) -> list[bytes]:
        """Run all tasks and return their results in order.

        :raises RequestError: when one can't be had; nothing partial remains.
        """
        loop = asyncio.get_running_loop()
        self._finished = loop.create_future()
        timer = loop.call_at(self._request.deadline, self._deadline_reached)
        try:
            await self._run_missing_tasks(self._finished)
        finally:
            timer.cancel()
            self._stop()
        return [self._results[number] for number in range(len(self._request.tasks))]

    def cancel(self) -> None:
        """Give up at the caller's wish."""
        self._give_up(ErrorKind.CANCELLED)

    def binding_ended(self, task: PendingTask, agent: str, outcome: Outcome) -> None:
        """Store a result, bind the task again, or fail the request."""
        self.agents.add(agent)
        number = task.name.number
        self._sent.pop(number, None)
        if self._finished is None or self._finished.done():
            return
        if outcome.status == 'done' and not outcome.reason:
            self._results[number] = outcome.body
            self._finish_when_whole()
            return
        self._handle_failure(task, agent, outcome)

    def binding_expired(self, task: PendingTask) -> None:
        """Fail the request: a task could not start before the deadline."""
        self._sent.pop(task.name.number, None)
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
            self._uncertain = True
        if outcome.reason == FENCED_REASON:
            self._end_as_fenced()
            return
        if outcome.status == 'done':
            self._fail(RequestError(ErrorKind.RESULT_LOST, outcome.reason))
            return
        self._retry_or_fail(task, agent, outcome)

    def _end_as_fenced(self) -> None:
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
        number = task.name.number
        history = self._histories.setdefault(number, _BindingHistory())
        if history.starts and outcome.reason == STARTED_BEFORE_REASON:
            # The scheduler comes back to an agent only when none is left.
            kind = (
                ErrorKind.TASK_FAILED if self._some_ran else ErrorKind.OUTCOME_UNKNOWN
            )
            self._give_up(kind, 'it was tried at every target')
            return
        history.add(outcome.status)
        ended = EndedBinding(
            status=outcome.status,
            service=task.service,
            kind=task.kind,
            refusals=history.refusals,
            starts=history.starts,
            deadline=task.deadline,
        )
        decision = self._retries.decide(ended, loop.time())
        if decision.error is None:
            avoid = task.avoid | {agent}
            attempt = task.name.attempt + 1
            loop.call_later(decision.delay_s, self._bind, number, attempt, avoid)
            return
        self._give_up(decision.error, outcome.reason or outcome.status)

    async def _run_missing_tasks(self, finished: 'asyncio.Future[None]') -> None:
        self._retries.earn_retries(self._request.service.name, len(self._request.tasks))
        for number, _payload in enumerate(self._request.tasks):
            if number not in self._results:
                self._bind(number, 0, frozenset())
        self._finish_when_whole()
        await finished

    def _bind(self, number: int, attempt: int, avoid: frozenset[str]) -> None:
        if self._finished is None or self._finished.done():
            return
        request = self._request
        name = AttemptId(self._owner, self._sequence, number, attempt)
        self._sent[number] = name
        task = PendingTask(
            name=name,
            team=request.team,
            service=request.service.name,
            kind=request.service.kind,
            priority=request.service.priority,
            weight=request.weight,
            deadline=request.deadline,
            enqueued_at=asyncio.get_running_loop().time(),
            exclusive=request.exclusive,
            avoid=avoid,
            pool=request.service.target_pool,
        )
        self._dispatcher.submit(task, request.tasks[number], self)

    def _deadline_reached(self) -> None:
        self._withdraw()
        kind = ErrorKind.DEADLINE_EXCEEDED if self._sent else ErrorKind.OVERLOADED
        self._give_up(kind, 'the deadline passed before every task had ended')

    def _run_state(self) -> ExecutionState:
        if self._some_ran or self._results:
            return ExecutionState.RAN
        if self._uncertain or self._dispatcher.any_sent(self._sent.values()):
            return ExecutionState.UNKNOWN
        return ExecutionState.NOT_RUN

    def _finish_when_whole(self) -> None:
        whole = len(self._results) == len(self._request.tasks)
        if whole and self._finished is not None and not self._finished.done():
            self._finished.set_result(None)

    def _give_up(self, kind: ErrorKind, detail: str = '') -> None:
        """Fail the request; nothing that waits of it is sent from now on."""
        self._withdraw()
        self._fail(RequestError(kind, detail, ran=self._run_state()))

    def _fail(self, error: EndivetallyError) -> None:
        if self._finished is not None and not self._finished.done():
            self._finished.set_exception(error)

    def _withdraw(self) -> None:
        for number in self._dispatcher.withdraw(self._owner, self._sequence):
            self._sent.pop(number, None)

    def _stop(self) -> None:
        self._withdraw()
        if self._sent:
            self._dispatcher.cancel(list(self._sent.values()))
