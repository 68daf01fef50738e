"""Tests of the agent against a fake entry and a stand-in target."""

import asyncio
import sys
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager

import msgspec
import pytest
from endivetally_agent.agent import Agent
from endivetally_config.settings import AgentSettings
from endivetally_core.joining import Address
from endivetally_core.messages import Acknowledge
from endivetally_core.messages import AgentState
from endivetally_core.messages import Cancel
from endivetally_core.messages import Fence
from endivetally_core.messages import Fenced
from endivetally_core.messages import Grant
from endivetally_core.messages import Outcome
from endivetally_core.messages import Recall
from endivetally_core.messages import Recalled
from endivetally_core.messages import TextRequest
from endivetally_core.messages import TextUpdate
from endivetally_standins.target import Faults
from endivetally_standins.target import TargetOptions
from endivetally_standins.target import TargetStandIn

from .fake_entry import FakeEntry


def _settings(*seeds, **fields):
    return AgentSettings(
        name='agent-1',
        data_centre='dc-1',
        rack='rack-1',
        listen=Address('127.0.0.1', 0),
        table=Address('127.0.0.1', 1),
        seeds=seeds,
        **fields,
    )


@asynccontextmanager
async def _deployment(**fields):
    """Yield a linked entry, agent and target that accept work."""
    async with FakeEntry() as entry, Agent(_settings(entry.address, **fields)) as agent:
        options = TargetOptions(f'127.0.0.1:{agent.port}', 'lookups')
        async with TargetStandIn(options) as target:
            await entry.wait_until_linked()
            await entry.wait_for(Grant)
            yield entry, agent, target


def _has_attempt_id(attempt_id):
    return lambda outcome: outcome.attempt_id == attempt_id


class TestRunning:
    async def test_a_dispatched_task_runs_and_its_outcome_is_sent(self):
        async with _deployment() as (entry, _agent, target):
            attempt_id = entry.dispatch(1, {'run_ms': 5, 'echo': 'ruling'})
            outcome = await entry.wait_for(Outcome)
        assert outcome.attempt_id == attempt_id
        assert outcome.status == 'done'
        assert outcome.credits == 1
        assert msgspec.json.decode(outcome.body)['echo'] == 'ruling'
        assert target.stats.starts == 1

    async def test_all_slots_are_granted_to_a_single_entry(self):
        async with FakeEntry() as entry, Agent(_settings(entry.address)) as agent:
            options = TargetOptions(f'127.0.0.1:{agent.port}', 'lookups')
            async with TargetStandIn(options):
                assert await entry.wait_for(Grant) == Grant(8)

    @pytest.mark.parametrize(
        ('payload', 'fields', 'status', 'reason'),
        [
            ({'fail': True}, {}, 'failed', 'status_500'),
            ({'run_ms': 60_000}, {'deadline_ms': 50}, 'unknown', 'deadline'),
            ({}, {'deadline_ms': 0}, 'refused', 'deadline'),
            ({}, {'service': 'sweeps'}, 'refused', 'wrong_service'),
        ],
    )
    async def test_failures_and_refusals_are_reported_with_their_reason(
        self, payload, fields, status, reason
    ):
        async with _deployment() as (entry, _agent, _target):
            attempt_id = entry.dispatch(1, payload, **fields)
            outcome = await entry.wait_for(Outcome, _has_attempt_id(attempt_id))
        assert (outcome.status, outcome.reason) == (status, reason)

    async def test_a_duplicated_dispatch_starts_once(self):
        async with _deployment() as (entry, _agent, target):
            for _copy in range(3):
                entry.dispatch(1, {'run_ms': 20})
            await entry.wait_for(Outcome)
            last = entry.dispatch(2, {})
            await entry.wait_for(Outcome, _has_attempt_id(last))
        assert target.stats.starts == 2

    async def test_a_cancelled_task_is_stopped(self):
        async with _deployment() as (entry, _agent, target):
            attempt_id = entry.dispatch(1, {'run_ms': 60_000}, deadline_ms=60_000)
            while not target.stats.running:
                await asyncio.sleep(0.01)
            entry.link.post(Cancel(attempt_id.owner, 1, [0]))
            outcome = await entry.wait_for(Outcome)
        assert outcome.status == 'cancelled'
        assert target.stats.cancelled == 1

    async def test_a_dispatch_without_a_free_slot_is_refused(self):
        async with _deployment() as (entry, _agent, target):
            for sequence in range(9):
                entry.dispatch(sequence, {'run_ms': 100})
            outcomes = [await entry.wait_for(Outcome) for _number in range(9)]
        reasons = [outcome.reason for outcome in outcomes]
        assert reasons.count('full') == 1
        assert target.stats.max_concurrent == 8


@asynccontextmanager
async def _busy_deployment(sequences=8, run_ms=60_000):
    """Yield a deployment that runs ``sequences`` tasks; 8 occupy all slots."""
    async with _deployment() as (entry, agent, target):
        for sequence in range(sequences):
            entry.dispatch(sequence, {'run_ms': run_ms}, deadline_ms=60_000)
        while target.stats.running < sequences:
            await asyncio.sleep(0.01)
        yield entry, agent, target


async def _wait_for_status(entry, attempt_id):
    outcome = await entry.wait_for(Outcome, _has_attempt_id(attempt_id))
    return outcome.status, outcome.reason


class TestQueue:
    async def test_a_borrowed_dispatch_starts_when_a_slot_is_free(self):
        async with _busy_deployment(run_ms=200) as (entry, _agent, target):
            low = entry.dispatch(20, {}, borrowed=True, priority=1)
            first = entry.dispatch(21, {}, borrowed=True)
            ended = [await entry.wait_for(Outcome) for _number in range(10)]
        assert [outcome.status for outcome in ended] == ['done'] * 10
        assert {low, first} <= {outcome.attempt_id for outcome in ended}
        assert target.stats.max_concurrent == 8

    async def test_only_two_borrowed_dispatches_are_queued(self):
        async with _busy_deployment() as (entry, _agent, target):
            for sequence in (20, 21):
                entry.dispatch(sequence, {}, borrowed=True)
            refused = entry.dispatch(22, {}, borrowed=True)
            assert await _wait_for_status(entry, refused) == ('refused', 'full')
            assert target.stats.starts == 8

    @pytest.mark.parametrize('copies', [1, 3])
    async def test_a_cancelled_queued_dispatch_never_starts(self, copies):
        async with _busy_deployment() as (entry, _agent, target):
            for _copy in range(copies):
                attempt_id = entry.dispatch(20, {}, borrowed=True)
            entry.link.post(Cancel(attempt_id.owner, 20, [0]))
            assert await _wait_for_status(entry, attempt_id) == ('refused', 'cancelled')
            entry.dispatch(20, {}, borrowed=True)
            assert await _wait_for_status(entry, attempt_id) == ('refused', 'cancelled')
            assert target.stats.starts == 8

    async def test_a_fence_refuses_queued_dispatches(self):
        async with _busy_deployment() as (entry, _agent, target):
            attempt_id = entry.dispatch(20, {}, borrowed=True)
            entry.link.post(Fence(attempt_id.owner))
            assert await _wait_for_status(entry, attempt_id) == ('refused', 'fenced')
            assert target.stats.starts == 8

    async def test_a_recall_refuses_queued_dispatches_and_reports_only_started_ones(
        self,
    ):
        async with _busy_deployment() as (entry, _agent, _target):
            attempt_id = entry.dispatch(20, {}, borrowed=True)
            entry.link.post(Recall(1, attempt_id.owner, 20))
            recalled = await entry.wait_for(Recalled)
            assert recalled.outcomes == []
            assert await _wait_for_status(entry, attempt_id) == ('refused', 'fenced')

    async def test_a_leaving_agent_refuses_queued_dispatches_at_once(self):
        async with _busy_deployment() as (entry, agent, _target):
            attempt_id = entry.dispatch(20, {}, borrowed=True)
            while attempt_id not in agent._tasks._queue:
                await asyncio.sleep(0.01)
            agent._admission.drain()
            agent._tasks.refresh_state()
            assert await _wait_for_status(entry, attempt_id) == ('refused', 'leaving')

    async def test_a_queued_dispatch_is_refused_when_its_deadline_passes(self):
        async with _busy_deployment() as (entry, _agent, target):
            attempt_id = entry.dispatch(20, {}, borrowed=True, deadline_ms=20)
            assert await _wait_for_status(entry, attempt_id) == ('refused', 'deadline')
            assert target.stats.starts == 8


class TestMemory:
    async def test_a_refusal_for_lack_of_memory_grants_no_credit(self):
        async with _deployment() as (entry, agent, _target):
            agent._tasks.usage.observe_memory(512, 0)
            agent._tasks.usage.observe_memory(40_000, 1)
            entry.dispatch(1, {})
            outcome = await entry.wait_for(Outcome)
        assert (outcome.reason, outcome.credits) == ('memory', 0)


class TestState:
    async def test_an_agent_is_closed_while_its_target_sends_no_announcements(self):
        async with _deployment() as (entry, _agent, target):
            target.set_faults(Faults(hang=True))
            await entry.wait_for(AgentState, lambda state: state.state == 'closed')
            entry.dispatch(1, {})
            outcome = await entry.wait_for(Outcome)
            assert outcome.reason == 'closed'
            entry.messages.clear()
            target.set_faults(Faults())
            await entry.wait_for(AgentState, lambda state: state.state == 'open')
            assert await entry.wait_for(Grant) == Grant(8)

    async def test_a_leaving_target_finishes_its_tasks_and_starts_no_new_ones(self):
        async with _deployment() as (entry, _agent, target):
            running = entry.dispatch(1, {'run_ms': 200})
            while not target.stats.running:
                await asyncio.sleep(0.01)
            leave = asyncio.ensure_future(target.drain())
            await entry.wait_for(AgentState, lambda state: state.state == 'leaving')
            late = entry.dispatch(2, {})
            refused = await entry.wait_for(Outcome, _has_attempt_id(late))
            finished = await entry.wait_for(Outcome, _has_attempt_id(running))
            await leave
        assert refused.reason == 'leaving'
        assert finished.status == 'done'

    async def test_a_dispatch_to_a_dead_target_is_refused(self):
        async with _deployment() as (entry, _agent, target):
            await target.__aexit__()
            entry.dispatch(1, {})
            outcome = await entry.wait_for(Outcome)
        assert (outcome.status, outcome.reason) == ('refused', 'closed')


class TestFencingAndRecall:
    async def test_dispatches_of_a_fenced_owner_are_refused(self):
        async with _deployment() as (entry, _agent, target):
            entry.link.post(Fence(entry.identity.incarnation))
            await entry.wait_for(Fenced)
            entry.dispatch(1, {})
            outcome = await entry.wait_for(Outcome)
        assert outcome.reason == 'fenced'
        assert target.stats.starts == 0

    async def test_a_recall_reports_running_tasks_and_later_their_outcomes(self):
        async with _deployment() as (entry, _agent, target):
            attempt_id = entry.dispatch(1, {'run_ms': 300}, kind='job')
            while not target.stats.running:
                await asyncio.sleep(0.01)
            entry.link.post(Recall(5, attempt_id.owner, 1))
            recalled = await entry.wait_for(Recalled)
            outcome = await entry.wait_for(Outcome)
        assert [started.status for started in recalled.outcomes] == ['running']
        assert outcome.status == 'done'

    async def test_an_outcome_is_sent_when_the_link_is_reopened(self):
        async with _deployment() as (entry, _agent, target):
            attempt_id = entry.dispatch(1, {'run_ms': 100, 'echo': 1}, kind='job')
            while not target.stats.running:
                await asyncio.sleep(0.01)
            entry.link.close()
            outcome = await entry.wait_for(Outcome, _has_attempt_id(attempt_id))
        assert outcome.status == 'done'
        assert len(entry.joined_agents) == 2


class TestConfiguration:
    async def test_a_newer_version_is_requested_and_passed_on(self):
        async with _deployment() as (entry, _agent, _target):
            entry.version = 4
            entry.link.post(Acknowledge(entry.identity.incarnation, [1]))
            await entry.wait_for(TextRequest)
            entry.link.post(TextUpdate(4, b'{}'))
            entry.link.post(TextUpdate(3, b'old'))
            entry.link.post(TextRequest())
            update = await entry.wait_for(TextUpdate)
        assert update == TextUpdate(4, b'{}')


class TestDrain:
    async def test_draining_finishes_running_tasks_and_refuses_new_ones(self):
        async with _deployment(drain_timeout_s=1) as (entry, agent, target):
            running = entry.dispatch(1, {'run_ms': 200}, kind='job')
            while not target.stats.running:
                await asyncio.sleep(0.01)
            drain = asyncio.ensure_future(agent.drain())
            await entry.wait_for(AgentState, lambda state: state.state == 'leaving')
            late = entry.dispatch(2, {})
            refused = await entry.wait_for(Outcome, _has_attempt_id(late))
            finished = await entry.wait_for(Outcome, _has_attempt_id(running))
            assert not drain.done()
            entry.link.post(Acknowledge(running.owner, [1]))
            await drain
        assert refused.reason == 'leaving'
        assert finished.status == 'done'


class TestManyTargets:
    async def test_one_process_runs_a_stand_in_target_for_each_agent(self, tmp_path):
        async with AsyncExitStack() as stack:
            agents = [
                await stack.enter_async_context(Agent(_settings()))
                for _number in range(2)
            ]
            ready = tmp_path / 'ready'
            arguments = [f'--agent=127.0.0.1:{agent.port}' for agent in agents]
            arguments += ['--service=lookups', f'--ready-file={ready}']
            process = await asyncio.create_subprocess_exec(
                sys.executable, '-m', 'endivetally_standins.target', *arguments
            )
            for agent in agents:
                while agent.unready_reason() != 'no_entry':
                    await asyncio.sleep(0.02)
            assert len(ready.read_text().split()) == 2
            process.terminate()
            assert await process.wait() == 0
            assert [agent.unready_reason() for agent in agents] == [
                'leaving',
                'leaving',
            ]


class TestBriefClosure:
    async def test_a_brief_closure_is_reported_and_credits_are_granted_again(self):
        async with _deployment() as (entry, agent, target):
            target.set_faults(Faults(hang=True))
            agent._admission.close()
            entry.messages.clear()
            await target.announce()
            closed = await entry.wait_for(AgentState)
            opened = await entry.wait_for(AgentState)
            grant = await entry.wait_for(Grant)
        assert (closed.state, opened.state) == ('closed', 'open')
        assert grant == Grant(8)
