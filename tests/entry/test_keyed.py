"""Tests of keyed requests at the owner of their key."""

import asyncio
import itertools
import json
from types import SimpleNamespace

import pytest
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import RequestError
from endivetally_entry.acknowledgements import AcknowledgementBatcher
from endivetally_entry.idempotency import IdempotencyCache
from endivetally_entry.keyed import KeyedRequestRunner
from endivetally_policy.retries import RetryPolicy
from entry.builders import DispatcherSetup
from entry.builders import request


class ControlledJournal:
    """A journal whose writes wait for a test and then succeed or fail."""

    def __init__(self, error=None):
        self.ready = asyncio.Event()
        self._error = error

    async def append_record(self, _entry):
        await self.ready.wait()
        if self._error is not None:
            raise self._error


def _create_runner(setup, journal, recovered=None):
    async def results(_request):
        return recovered or {}

    return KeyedRequestRunner(
        'entry-1.1',
        SimpleNamespace(owns=lambda _scoped_key: True),
        IdempotencyCache(900, 1000),
        journal,
        SimpleNamespace(recover_results=results),
        SimpleNamespace(admit=lambda *_details: None),
        setup.dispatcher,
        RetryPolicy(),
        AcknowledgementBatcher('entry-1.1', setup.agent_registry),
        SimpleNamespace(liveness_confirmed=True),
        itertools.count(1),
    )


class TestRecoveredResults:
    @pytest.mark.parametrize(
        ('recovered', 'ran'), [({}, 'not_run'), ({0: b'1'}, 'ran')]
    )
    async def test_a_table_failure_reports_ran_if_a_former_owner_ran_a_task(
        self, recovered, ran
    ):
        journal = ControlledJournal(RequestError(ErrorKind.PLATFORM_UNAVAILABLE))
        journal.ready.set()
        runner = _create_runner(DispatcherSetup(), journal, recovered)
        response = await runner.run_or_join(request(b'1', b'2'))
        assert json.loads(response.body)['error']['ran'] == ran


class TestCancel:
    async def test_a_cancellation_during_the_journal_write_takes_effect(self):
        setup, journal = DispatcherSetup(), ControlledJournal()
        runner = _create_runner(setup, journal)
        running = asyncio.create_task(runner.run_or_join(request()))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert runner.cancel_request(request()).status == 202
        journal.ready.set()
        response = await running
        assert response.error_kind is ErrorKind.CANCELLED
        assert json.loads(response.body)['error']['ran'] == 'not_run'
        assert setup.dispatcher.in_progress_count == 0

    async def test_a_key_that_may_run_elsewhere_is_not_told_not_run(self):
        # No record here is no proof: a former owner may run it, or it is under way.
        runner = _create_runner(DispatcherSetup(), ControlledJournal())
        with pytest.raises(RequestError) as caught:
            runner.cancel_request(request())
        assert caught.value.kind is ErrorKind.UNKNOWN_JOB
        assert caught.value.execution_state is ExecutionState.UNKNOWN
