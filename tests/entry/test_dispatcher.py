"""Tests of the dispatcher and of the execution of requests."""

import asyncio

import pytest
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import RequestError
from endivetally_core.messages import Cancel
from endivetally_core.messages import Outcome
from endivetally_entry.execution import Execution
from endivetally_entry.execution import OwnershipMoved
from endivetally_policy.retries import RetryPolicy
from entry.builders import AGENT
from entry.builders import DispatcherSetup
from entry.builders import request


async def _run_loop_turns(count):
    for _turn in range(count):
        await asyncio.sleep(0)


class TestCancellation:
    @pytest.mark.parametrize('turns', range(5))
    async def test_a_dispatcher_cancelled_during_a_wakeup_ends(self, turns):
        setup = DispatcherSetup()
        await _run_loop_turns(5)
        setup.dispatcher.wake()
        await _run_loop_turns(turns)
        setup.run_task.cancel()
        await _run_loop_turns(10)
        assert setup.run_task.done()

    async def test_cancelling_requests_sends_one_message_per_request_and_agent(self):
        setup = DispatcherSetup()
        executions = [
            Execution(
                request(*[b'1'] * 5), 'e.1', number, setup.dispatcher, RetryPolicy()
            )
            for number in range(40)
        ]
        runs = [asyncio.create_task(each.run()) for each in executions]
        await _run_loop_turns(3)
        setup.dispatcher.add_credits(AGENT.incarnation, 200)
        await _run_loop_turns(5)
        assert len(setup.dispatches) == 200
        for execution in executions:
            execution.cancel()
        await asyncio.gather(*runs, return_exceptions=True)
        cancels = [
            message for message in setup.link.posted if isinstance(message, Cancel)
        ]
        assert [len(cancel.numbers) for cancel in cancels] == [5] * 40
        for dispatch in setup.dispatches:
            outcome = Outcome(dispatch.attempt_id, 'cancelled', credits=1)
            setup.dispatcher.handle_outcome(AGENT.incarnation, outcome)
        assert setup.dispatcher.in_progress_count == 0
        assert setup.scheduler.count_outstanding('sweeps') == 0


class TestCancelBeforeDispatch:
    async def test_no_task_is_sent_once_a_cancelled_request_reports_not_run(self):
        setup = DispatcherSetup()
        execution = Execution(request(), 'e.1', 1, setup.dispatcher, RetryPolicy())
        run = asyncio.create_task(execution.run())
        await _run_loop_turns(5)
        setup.dispatcher.add_credits(AGENT.incarnation, 1)
        execution.cancel()
        with pytest.raises(RequestError) as caught:
            await run
        await _run_loop_turns(5)
        assert caught.value.execution_state is ExecutionState.NOT_RUN
        assert setup.dispatches == []


class TestRetry:
    async def test_a_task_that_failed_at_every_target_fails_at_once(self):
        setup = DispatcherSetup()
        execution = Execution(
            request(kind='idempotent'), 'e.1', 1, setup.dispatcher, RetryPolicy()
        )
        run = asyncio.create_task(execution.run())
        for outcome in (('failed', 'status_500'), ('refused', 'duplicate')):
            setup.dispatcher.add_credits(AGENT.incarnation, 1)
            await _run_loop_turns(10)
            attempt_id = setup.dispatches[-1].attempt_id
            setup.dispatcher.handle_outcome(
                AGENT.incarnation, Outcome(attempt_id, *outcome)
            )
        await _run_loop_turns(10)
        assert run.done()
        assert run.exception().kind is ErrorKind.TASK_FAILED


class TestFenced:
    @pytest.mark.parametrize(
        ('kind', 'expected'),
        [('job', OwnershipMoved), ('idempotent', RequestError)],
    )
    async def test_a_refusal_with_the_reason_fenced_ends_the_request(
        self, kind, expected
    ):
        setup = DispatcherSetup()
        setup.dispatcher.add_credits(AGENT.incarnation, 1)
        submitted = request(kind=kind)
        execution = Execution(submitted, 'e.1', 1, setup.dispatcher, RetryPolicy())
        run = asyncio.create_task(execution.run())
        async with asyncio.timeout(20):
            while not setup.dispatches:
                await asyncio.sleep(0.01)
        attempt_id = setup.dispatches[0].attempt_id
        fenced = Outcome(attempt_id, 'refused', 'fenced')
        setup.dispatcher.handle_outcome(AGENT.incarnation, fenced)
        with pytest.raises(expected):
            await run
