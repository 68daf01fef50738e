"""Runs requests that have an idempotency key, at the entry that owns the key."""

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

from endivetally_entry.execution import Execution
from endivetally_entry.execution import OwnershipMoved
from endivetally_entry.requests import CallerRequest
from endivetally_entry.requests import Response
from endivetally_entry.requests import error_response
from endivetally_entry.requests import success_response

if TYPE_CHECKING:
    from endivetally_policy.admission import AdmissionController
    from endivetally_policy.retries import RetryPolicy
    from endivetally_table.journal import Journal

    from endivetally_entry.acknowledgements import AcknowledgementBatcher
    from endivetally_entry.dispatcher import Dispatcher
    from endivetally_entry.idempotency import IdempotencyCache
    from endivetally_entry.idempotency import IdempotencyRecord
    from endivetally_entry.liveness import LivenessMonitor
    from endivetally_entry.ownership import ShardOwnership
    from endivetally_entry.recovery import RequestRecovery

_log = logging.getLogger(__name__)

# Time after the deadline in which the run may still end with its own error.
RESPONSE_SLACK_S = 0.25


class KeyedRequestRunner:
    """Runs each keyed request once and shares its response among submissions.

    A key may start a run only when this entry owns it and has read the journals of
    all its former owners.

    :param incarnation: incarnation of this entry.
    :param sequences: source of request numbers, unique within the incarnation.
    """

    def __init__(
        self,
        incarnation: str,
        ownership: 'ShardOwnership',
        idempotency_cache: 'IdempotencyCache',
        journal: 'Journal',
        recovery: 'RequestRecovery',
        admission: 'AdmissionController',
        dispatcher: 'Dispatcher',
        retries: 'RetryPolicy',
        acknowledgements: 'AcknowledgementBatcher',
        liveness: 'LivenessMonitor',
        sequences: Iterator[int],
    ) -> None:
        self._incarnation = incarnation
        self._ownership = ownership
        self._idempotency_cache = idempotency_cache
        self._journal = journal
        self._recovery = recovery
        self._admission = admission
        self._dispatcher = dispatcher
        self._retries = retries
        self._acknowledgements = acknowledgements
        self._liveness = liveness
        self._sequences = sequences
        self._running: set[asyncio.Task[None]] = set()

    async def run_or_join(self, request: CallerRequest) -> Response:
        """Run a request, or join the run that its key already has.

        A repeated submission gets the response of the first run, which continues
        when a caller disconnects.

        :raises RequestError: when the key was used with another body.
        """
        record = self._idempotency_cache.find(request.scoped_key, request.body_hash)
        if record is None:
            record = self._idempotency_cache.create_record(
                request.scoped_key, request.body_hash
            )
            running = asyncio.create_task(self._run_and_record(request, record))
            self._running.add(running)
            running.add_done_callback(self._running.discard)
        return await self._wait_for_response(record, request.deadline)

    def cancel_request(self, request: CallerRequest) -> Response:
        """Cancel the request with the same team, service and key.

        :raises RequestError: when the key is unknown.
        """
        record = self._idempotency_cache.get(request.scoped_key)
        if record is None:
            raise RequestError(ErrorKind.UNKNOWN_JOB)
        record.cancelled = True
        if record.execution is not None:
            record.execution.cancel()
        return Response(202, b'{}')

    async def _wait_for_response(
        self, record: 'IdempotencyRecord', deadline: float
    ) -> Response:
        # The run ends at its deadline with a more precise error; wait for that.
        left_s = max(deadline - asyncio.get_running_loop().time(), 0)
        timeout = left_s + RESPONSE_SLACK_S
        try:
            return await asyncio.wait_for(asyncio.shield(record.response), timeout)
        except TimeoutError:
            error = RequestError(ErrorKind.DEADLINE_EXCEEDED, 'it still runs')
            return error_response(error)

    async def _run_and_record(
        self, request: CallerRequest, record: 'IdempotencyRecord'
    ) -> None:
        try:
            response = success_response(request, await self._execute(request, record))
        except OwnershipMoved as error:
            self._idempotency_cache.abandon_record(record, error)
        except RequestError as error:
            keep = (
                record.journalled
                and error.execution_state is not ExecutionState.NOT_RUN
            )
            response = error_response(self._qualify_not_run(error))
            self._idempotency_cache.record_response(record, response, keep=keep)
        except Exception:
            _log.exception('keyed request failed with an unexpected error')
            internal = error_response(RequestError(ErrorKind.INTERNAL))
            self._idempotency_cache.record_response(record, internal, keep=True)
        else:
            self._idempotency_cache.record_response(record, response, keep=True)

    def _qualify_not_run(self, error: RequestError) -> RequestError:
        """Replace ``not_run`` by ``unknown`` if another entry may have run the key."""
        if (
            error.execution_state is not ExecutionState.NOT_RUN
            or self._liveness.liveness_confirmed
        ):
            return error
        return RequestError(
            error.kind,
            error.detail,
            execution_state=ExecutionState.UNKNOWN,
            retry_after_s=error.retry_after_s,
        )

    async def _execute(
        self,
        request: CallerRequest,
        record: 'IdempotencyRecord',
    ) -> list[bytes]:
        recovered = await self._recovery.recover_results(request)
        if len(recovered) == len(request.tasks):
            return [recovered[number] for number in range(len(recovered))]
        with _errors_report_ran(resumed=bool(recovered)):
            self._admit_request(request)
        sequence = next(self._sequences)
        with _errors_report_ran(resumed=bool(recovered)):
            await self._write_to_journal(request, sequence)
        record.journalled = True
        if record.cancelled:
            ran = ExecutionState.RAN if recovered else ExecutionState.NOT_RUN
            raise RequestError(ErrorKind.CANCELLED, execution_state=ran)
        execution = Execution(
            request,
            self._incarnation,
            sequence,
            self._dispatcher,
            self._retries,
            recovered,
        )
        record.execution = execution
        try:
            return await execution.run()
        finally:
            self._acknowledgements.add_request(execution.agents, execution.sequence)

    def _admit_request(self, request: CallerRequest) -> None:
        self._admission.admit(
            request.team,
            request.service.name,
            len(request.tasks),
            request.deadline,
            asyncio.get_running_loop().time(),
        )

    async def _write_to_journal(self, request: CallerRequest, sequence: int) -> None:
        journal_record = JournalRecord(
            sequence=sequence,
            team=request.team,
            service=request.service.name,
            key=request.key,
            body_hash=request.body_hash,
            task_count=len(request.tasks),
            written_at=time.time(),
        )
        # There must be no await between this check and the journal write, because
        # the release of a shard waits only for records that the journal has accepted.
        if not self._ownership.owns(request.scoped_key):
            raise OwnershipMoved(request.key)
        try:
            await self._journal.append_record(journal_record)
        except IncarnationFenced as error:
            # The new owner may already have run a repeated submission.
            raise OwnershipMoved(request.key) from error
        except EndivetallyError as error:
            if isinstance(error, RequestError):
                raise
            raise RequestError(ErrorKind.PLATFORM_UNAVAILABLE) from error


@contextmanager
def _errors_report_ran(*, resumed: bool) -> Iterator[None]:
    """Report ``ran`` in errors, because a former owner ran part of the request.

    :param resumed: whether a former owner did so; otherwise errors pass unchanged.
    """
    try:
        yield
    except RequestError as error:
        if not resumed:
            raise
        raise RequestError(
            error.kind,
            error.detail,
            execution_state=ExecutionState.RAN,
            retry_after_s=error.retry_after_s,
        ) from error
