"""A target's capacity shrinks and grows while it runs."""

import asyncio
from dataclasses import replace

import msgspec
import pytest
from endivetally_held.jobs import JobResult
from endivetally_policy.held import Resources
from held import cluster as clusters
from held.cluster import CAPACITY
from held.cluster import SERVICE
from held.cluster import job

CONTACT_S = 3
REPORT_INTERVAL_S = 1.5
SMALL = Resources(3200, 32_768)
LARGE = Resources(32_000, 32_768)
NOTHING = Resources(0, 0)
# Admits jobs that wait for several times their run time.
PATIENT = msgspec.structs.replace(SERVICE, stretch=50.0)
# Longest time from a change to the next report of the stand-in, and its delivery.
REPORTED_S = 0.6


def run_scenario(scenario, **options):
    settings = {'entries': 2, 'agents': 1, 'run_s': 1, 'services': (PATIENT,)}
    clusters.run_scenario(scenario, **{**settings, **options})


def change_capacity(cluster, capacity, name='agent-0'):
    target = cluster.targets[name]
    target.report = replace(target.report, capacity=capacity)


async def submit(cluster, identifier, count, entry='entry-0', **options):
    submitted = job(identifier, count, **{'timeout_s': 6, 'estimate_s': 3, **options})
    return await cluster.submit(entry, submitted)


def count_active(cluster, job_id):
    return sum(
        run.ended_at is None and run.task.job == job_id
        for run in cluster.run_history.runs
    )


@pytest.mark.parametrize(
    ('capacity', 'expected'), [(SMALL, 2), (LARGE, 20), (NOTHING, 0), (CAPACITY, 10)]
)
def test_runs_fill_the_capacity_that_the_newest_report_tells(capacity, expected):
    async def scenario(cluster):
        change_capacity(cluster, capacity)
        await asyncio.sleep(REPORTED_S)
        waiting = asyncio.ensure_future(submit(cluster, 'a', 20))
        await asyncio.sleep(0.5)
        assert count_active(cluster, 'a') == expected
        waiting.cancel()

    run_scenario(scenario)


def test_nothing_starts_after_a_shrink_until_enough_runs_have_ended():
    async def scenario(cluster):
        first = asyncio.ensure_future(submit(cluster, 'a', 10))
        await asyncio.sleep(0.1)
        change_capacity(cluster, SMALL)
        await asyncio.sleep(REPORTED_S)
        second = asyncio.ensure_future(submit(cluster, 'b', 2, entry='entry-1'))
        while count_active(cluster, 'a'):
            active = count_active(cluster, 'a') + count_active(cluster, 'b')
            assert not count_active(cluster, 'b') or active <= 2
            await asyncio.sleep(0.01)
        assert (await first).result is JobResult.COMPLETED
        assert (await second).result is JobResult.COMPLETED

    run_scenario(scenario)


def test_runs_that_are_being_stopped_count_after_a_shrink():
    async def scenario(cluster):
        target = cluster.targets['agent-0']
        target.faults.stop_delay_s = 0.9
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await submit(cluster, 'a', 10)
        change_capacity(cluster, SMALL)
        await asyncio.sleep(REPORTED_S)
        waiting = asyncio.ensure_future(submit(cluster, 'b', 2, entry='entry-1'))
        for _ in range(100):
            active = count_active(cluster, 'a') + count_active(cluster, 'b')
            assert not count_active(cluster, 'b') or active <= 2
            await asyncio.sleep(0.02)
        waiting.cancel()

    run_scenario(scenario)


def test_task_that_waits_at_a_target_it_no_longer_fits_runs_elsewhere():
    async def scenario(cluster):
        first = asyncio.ensure_future(submit(cluster, 'a', 20, entry='entry-0'))
        await asyncio.sleep(0.1)
        waiting = asyncio.ensure_future(submit(cluster, 'b', 1, estimate_s=1))
        change_capacity(cluster, Resources(800, 32_768), 'agent-1')
        change_capacity(cluster, Resources(800, 32_768), 'agent-0')
        await asyncio.sleep(REPORTED_S)
        change_capacity(cluster, LARGE, 'agent-0')
        assert (await waiting).result is JobResult.COMPLETED
        assert (await first).result is JobResult.COMPLETED
        late_runs = [
            run
            for run in cluster.run_history.runs
            if run.task.job == 'b' and run.target == 'target-2'
        ]
        assert not late_runs

    run_scenario(scenario, agents=2)


def test_delayed_report_of_the_former_capacity_is_ignored():
    async def scenario(cluster):
        agent = cluster.agents['agent-0']
        delayed = cluster.targets['agent-0'].create_next_report()
        change_capacity(cluster, SMALL)
        await asyncio.sleep(REPORTED_S)
        assert not agent.apply_report(delayed)
        waiting = asyncio.ensure_future(submit(cluster, 'a', 20))
        await asyncio.sleep(0.2)
        assert count_active(cluster, 'a') == 2
        waiting.cancel()

    run_scenario(scenario)


async def apply_delayed_report(cluster):
    """Pause the agent; then it reads the last report before the shrink."""
    delayed = cluster.targets['agent-0'].create_next_report()
    change_capacity(cluster, NOTHING)
    await asyncio.sleep(0.1)
    cluster.nodes['agent-0'].freeze()
    await asyncio.sleep(CONTACT_S + REPORT_INTERVAL_S)
    cluster.nodes['agent-0'].resume()
    await asyncio.sleep(0.3)
    cluster.agents['agent-0'].apply_report(delayed)


async def lose_reports(cluster):
    """Let no report arrive after the shrink."""
    change_capacity(cluster, NOTHING)
    await asyncio.sleep(CONTACT_S + REPORT_INTERVAL_S)


@pytest.mark.parametrize('shrink', [apply_delayed_report, lose_reports])
def test_capacity_that_was_reported_too_long_ago_is_not_filled(shrink):
    # Guards against a paused agent that fills a target that has shrunk meanwhile.
    async def scenario(cluster):
        cluster.unreported.add('agent-0')
        await shrink(cluster)
        waiting = asyncio.ensure_future(submit(cluster, 'a', 4))
        await asyncio.sleep(1)
        assert count_active(cluster, 'a') == 0
        waiting.cancel()
        change_capacity(cluster, CAPACITY)
        cluster.unreported.clear()
        await asyncio.sleep(REPORTED_S)
        response = await submit(cluster, 'b', 4)
        assert response.result is JobResult.COMPLETED
        # Lines are written by a thread, which ends here.
        cluster.events.close()
        assert b'report_overdue' in b''.join(cluster.lines)

    run_scenario(scenario)


def test_target_is_used_while_single_reports_are_missing():
    async def scenario(cluster):
        for number in range(4):
            cluster.unreported.add('agent-0')
            await asyncio.sleep(REPORT_INTERVAL_S * 2 - 0.5)
            response = await submit(cluster, f'{number}', 4, estimate_s=1)
            assert response.result is JobResult.COMPLETED
            cluster.unreported.clear()
            await asyncio.sleep(0.5)

    run_scenario(scenario, run_s=0.2)
