"""Tests of the dispatcher and of executions."""

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
from entry.parts import AGENT
from entry.parts import Dispatching
from entry.parts import request


async def _turns(count):
    for _turn in range(count):
        await asyncio.sleep(0)


class TestCancellation:
    @pytest.mark.parametrize('turns', range(5))
    async def test_a_cancelled_dispatcher_ends_while_it_wakes_up(self, turns):
        parts = Dispatching()
        await _turns(5)
        parts.dispatcher.wake()
        await _turns(turns)
        parts.running.cancel()
        await _turns(10)
        assert parts.running.done()

    async def test_a_wave_costs_one_message_for_each_request(self):
        parts = Dispatching()
        executions = [
            Execution(
                request(*[b'1'] * 5), 'e.1', number, parts.dispatcher, RetryPolicy()
            )
            for number in range(40)
        ]
        runs = [asyncio.create_task(each.run()) for each in executions]
        await _turns(3)
        parts.dispatcher.credits_granted(AGENT.incarnation, 200)
        await _turns(5)
        assert len(parts.dispatches) == 200
        for execution in executions:
            execution.cancel()
        await asyncio.gather(*runs, return_exceptions=True)
        cancels = [each for each in parts.link.posted if isinstance(each, Cancel)]
        assert [len(each.numbers) for each in cancels] == [5] * 40
        for dispatch in parts.dispatches:
            outcome = Outcome(dispatch.attempt_id, 'cancelled', credits=1)
            parts.dispatcher.outcome_received(AGENT.incarnation, outcome)
        assert parts.dispatcher.in_progress == 0
        assert parts.scheduler.count_outstanding('sweeps') == 0


class TestNotRun:
    async def test_nothing_starts_after_a_cancelled_request_was_not_run(self):
        parts = Dispatching()
        execution = Execution(request(), 'e.1', 1, parts.dispatcher, RetryPolicy())
        run = asyncio.create_task(execution.run())
        await _turns(5)
        parts.dispatcher.credits_granted(AGENT.incarnation, 1)
        execution.cancel()
        with pytest.raises(RequestError) as caught:
            await run
        await _turns(5)
        assert caught.value.ran is ExecutionState.NOT_RUN
        assert parts.dispatches == []


class TestRetry:
    async def test_a_task_that_failed_everywhere_fails_at_once(self):
        parts = Dispatching()
        execution = Execution(
            request(kind='idempotent'), 'e.1', 1, parts.dispatcher, RetryPolicy()
        )
        run = asyncio.create_task(execution.run())
        for outcome in (('failed', 'status_500'), ('refused', 'duplicate')):
            parts.dispatcher.credits_granted(AGENT.incarnation, 1)
            await _turns(10)
            name = parts.dispatches[-1].attempt_id
            parts.dispatcher.outcome_received(
                AGENT.incarnation, Outcome(name, *outcome)
            )
        await _turns(10)
        assert run.done()
        assert run.exception().kind is ErrorKind.TASK_FAILED


class TestFenced:
    @pytest.mark.parametrize(
        ('kind', 'expected'),
        [('job', OwnershipMoved), ('idempotent', RequestError)],
    )
    async def test_a_refusal_as_fenced_ends_the_request(self, kind, expected):
        parts = Dispatching()
        parts.dispatcher.credits_granted(AGENT.incarnation, 1)
        submitted = request(kind=kind)
        execution = Execution(submitted, 'e.1', 1, parts.dispatcher, RetryPolicy())
        run = asyncio.create_task(execution.run())
        async with asyncio.timeout(20):
            while not parts.dispatches:
                await asyncio.sleep(0.01)
        name = parts.dispatches[0].attempt_id
        fenced = Outcome(name, 'refused', 'fenced')
        parts.dispatcher.outcome_received(AGENT.incarnation, fenced)
        with pytest.raises(expected):
            await run
