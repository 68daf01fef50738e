"""Requests that may run at most once, at the entry that owns their key."""

import asyncio
import logging
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

from endivetally_core.errors import EndivetallyError
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import IncarnationFenced
from endivetally_core.errors import RequestError
from endivetally_table.batches import JournalRecord

from endivetally_entry.executions import Execution
from endivetally_entry.executions import OwnershipMoved
from endivetally_entry.requests import Answer
from endivetally_entry.requests import CallerRequest
from endivetally_entry.requests import error_answer
from endivetally_entry.requests import whole_answer

if TYPE_CHECKING:
    from endivetally_policy.admission import AdmissionController
    from endivetally_policy.retries import RetryPolicy
    from endivetally_table.journal import Journal

    from endivetally_entry.acknowledgements import Acknowledgements
    from endivetally_entry.dispatching import Dispatcher
    from endivetally_entry.ledger import KeyLedger
    from endivetally_entry.ledger import KeyRecord
    from endivetally_entry.ownership import Ownership
    from endivetally_entry.pulse import Pulse
    from endivetally_entry.recovery import Recovery

_log = logging.getLogger(__name__)

ANSWER_SLACK_S = 0.25


class KeyedRequests:
    """Runs keyed requests of which this entry holds the whole history.

    :param incarnation: incarnation of this entry.
    """

    def __init__(
        self,
        incarnation: str,
        ownership: 'Ownership',
        ledger: 'KeyLedger',
        journal: 'Journal',
        recovery: 'Recovery',
        admission: 'AdmissionController',
        dispatcher: 'Dispatcher',
        retries: 'RetryPolicy',
        acknowledgements: 'Acknowledgements',
        pulse: 'Pulse',
        sequences: Iterator[int],
    ) -> None:
        self._incarnation = incarnation
        self._ownership = ownership
        self._ledger = ledger
        self._journal = journal
        self._recovery = recovery
        self._admission = admission
        self._dispatcher = dispatcher
        self._retries = retries
        self._acknowledgements = acknowledgements
        self._pulse = pulse
        self._sequences = sequences
        self._running: set[asyncio.Task[None]] = set()

    async def answer(self, request: CallerRequest) -> Answer:
        """Return the answer of the key's one run.

        A caller that comes again is attached to the run in progress; the run
        goes on when a caller goes away.

        :raises RequestError: when the key came with another body before.
        """
        record = self._ledger.find(request.name, request.body_hash)
        if record is None:
            record = self._ledger.open(request.name, request.body_hash)
            running = asyncio.create_task(self._run(request, record))
            self._running.add(running)
            running.add_done_callback(self._running.discard)
        return await self._wait_for(record, request.deadline)

    def cancel(self, request: CallerRequest) -> Answer:
        """Stop a request that its own team names by key.

        :raises RequestError: when the key is not known.
        """
        record = self._ledger.get(request.name)
        if record is None:
            raise RequestError(ErrorKind.UNKNOWN_JOB)
        record.cancelled = True
        if record.execution is not None:
            record.execution.cancel()
        return Answer(202, b'{}')

    async def _wait_for(self, record: 'KeyRecord', deadline: float) -> Answer:
        # The run itself ends at the deadline, with a more precise answer.
        left_s = max(deadline - asyncio.get_running_loop().time(), 0)
        timeout = left_s + ANSWER_SLACK_S
        try:
            return await asyncio.wait_for(asyncio.shield(record.answer), timeout)
        except TimeoutError:
            error = RequestError(ErrorKind.DEADLINE_EXCEEDED, 'it still runs')
            return error_answer(error)

    async def _run(self, request: CallerRequest, record: 'KeyRecord') -> None:
        try:
            answer = whole_answer(request, await self._execute(request, record))
        except OwnershipMoved as error:
            self._ledger.abandon(record, error)
        except RequestError as error:
            remember = record.journalled and error.ran is not ExecutionState.NOT_RUN
            answer = error_answer(self._vouched(error))
            self._ledger.finish(record, answer, remember=remember)
        except Exception:
            _log.exception('request ended by an unexpected error')
            internal = error_answer(RequestError(ErrorKind.INTERNAL))
            self._ledger.finish(record, internal, remember=True)
        else:
            self._ledger.finish(record, answer, remember=True)

    def _vouched(self, error: RequestError) -> RequestError:
        """Take ``not_run`` back when another entry may have run the key."""
        if error.ran is not ExecutionState.NOT_RUN or self._pulse.steady:
            return error
        return RequestError(
            error.kind,
            error.detail,
            ran=ExecutionState.UNKNOWN,
            retry_after_s=error.retry_after_s,
        )

    async def _execute(
        self,
        request: CallerRequest,
        record: 'KeyRecord',
    ) -> list[bytes]:
        known = await self._recovery.results_of_former_owners(request)
        if len(known) == len(request.tasks):
            return [known[number] for number in range(len(known))]
        with _known_to_have_run(resumed=bool(known)):
            self._admit(request)
        sequence = next(self._sequences)
        with _known_to_have_run(resumed=bool(known)):
            await self._make_durable(request, sequence)
        record.journalled = True
        if record.cancelled:
            ran = ExecutionState.RAN if known else ExecutionState.NOT_RUN
            raise RequestError(ErrorKind.CANCELLED, ran=ran)
        execution = Execution(
            request,
            self._incarnation,
            sequence,
            self._dispatcher,
            self._retries,
            known,
        )
        record.execution = execution
        try:
            return await execution.run()
        finally:
            self._acknowledgements.add(execution.agents, execution.sequence)

    def _admit(self, request: CallerRequest) -> None:
        self._admission.admit(
            request.team,
            request.service.name,
            len(request.tasks),
            request.deadline,
            asyncio.get_running_loop().time(),
        )

    async def _make_durable(self, request: CallerRequest, sequence: int) -> None:
        entry = JournalRecord(
            sequence=sequence,
            team=request.team,
            service=request.service.name,
            key=request.key,
            body_hash=request.body_hash,
            task_count=len(request.tasks),
            written_at=time.time(),
        )
        # No await between this check and the journal: a release waits for
        # what the journal has taken in.
        if not self._ownership.owns(request.name):
            raise OwnershipMoved(request.key)
        try:
            await self._journal.append_record(entry)
        except IncarnationFenced as error:
            # The new owner may have run the key for a resubmission.
            raise OwnershipMoved(request.key) from error
        except EndivetallyError as error:
            if isinstance(error, RequestError):
                raise
            raise RequestError(ErrorKind.PLATFORM_UNAVAILABLE) from error


@contextmanager
def _known_to_have_run(*, resumed: bool) -> Iterator[None]:
    """Answer that the work ran, when a former owner has run a part of it."""
    try:
        yield
    except RequestError as error:
        if not resumed:
            raise
        raise RequestError(
            error.kind,
            error.detail,
            ran=ExecutionState.RAN,
            retry_after_s=error.retry_after_s,
        ) from error
