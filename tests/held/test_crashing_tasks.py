"""Tasks that crash each target that starts them, and the work beside them."""

import asyncio

import pytest
from differential.clock import run_virtually
from endivetally_held.jobs import JobResult
from held.cluster import Cluster
from held.cluster import job

# BUDGET: a task must not be started three times more after three targets have crashed
# under it.
MAX_STARTS = 5
RESEND_S = 1.3
CRASHING_JOB = job('bad', 1, timeout_s=40)


def crashes_target(task):
    return task.job.startswith('bad') and task.number == 0


def run_scenario(scenario, **options):
    """Run a scenario with targets that crash, and check that none ran a task twice."""

    async def run():
        cluster = Cluster(**{'agents': 8, **options})
        cluster.run_history.crashes_target = crashes_target
        await cluster.start()
        try:
            await scenario(cluster)
            assert cluster.run_history.violations == []
        finally:
            cluster.resume_all()

    run_virtually(run())


def count_starts(cluster, job_id='bad'):
    return sum(
        run.task.job == job_id and run.task.number == 0
        for run in cluster.run_history.runs
    )


@pytest.mark.parametrize('sends_born', [False, True])
@pytest.mark.parametrize('agents', [1, 8])
def test_task_that_crashes_its_targets_is_given_up(agents, sends_born):
    async def scenario(cluster):
        response = await cluster.submit('entry-0', CRASHING_JOB)
        assert count_starts(cluster) <= MAX_STARTS
        assert response.result is JobResult.FAILED

    run_scenario(scenario, agents=agents, sends_born=sends_born)


async def resend_until_final(cluster, identifier, submit_job, entries):
    """Submit a job at each entry in turn, as a caller does that gets no answer."""
    for entry in entries:
        response = await cluster.submit(entry, submit_job)
        if response is not None and response.result is not JobResult.EXPIRED:
            return response
        await asyncio.sleep(RESEND_S)
    return response


async def kill_after_starts(cluster, starts):
    """Kill an entry each time the task was started there this often."""
    for number, entry in enumerate(cluster.entry_names * 3, start=1):
        while count_starts(cluster) < starts * number:
            await asyncio.sleep(0.02)
        cluster.nodes[entry].kill()
        await asyncio.sleep(1)
        cluster.start_entry(entry)


@pytest.mark.parametrize('starts', [1, 2])
def test_crashes_are_counted_on_when_entries_are_killed_in_turn(starts):
    async def scenario(cluster):
        killer = asyncio.ensure_future(kill_after_starts(cluster, starts))
        response = await resend_until_final(
            cluster, 'bad', CRASHING_JOB, cluster.entry_names * 3
        )
        killer.cancel()
        assert count_starts(cluster) <= MAX_STARTS
        assert response.result is JobResult.FAILED

    run_scenario(scenario)
