"""Tasks that crash each target that starts them, and the work beside them."""

import asyncio
import random
from collections import Counter

import msgspec
import pytest
from endivetally_held.jobs import JobResult
from endivetally_policy.held import Resources
from held import cluster as clusters
from held.cluster import CRASH_DOWN_S
from held.cluster import SERVICE
from held.cluster import job
from held.test_no_concurrent_runs import inject_fault
from held.test_no_concurrent_runs import run_random_faults

# BUDGET: a task must not be started three times more after three targets have crashed
# under it.
MAX_STARTS = 5
RESEND_S = 1.3
OTHER = msgspec.structs.replace(SERVICE, name='other')
CRASHING_JOB = job('bad', 1, timeout_s=40)


def crashes_target(task):
    return task.job.startswith('bad') and task.number == 0


def run_scenario(scenario, **options):
    """Run a scenario with targets that crash, and check that none ran a task twice."""

    async def run_and_check(cluster):
        cluster.run_history.crashes_target = crashes_target
        await scenario(cluster)
        assert cluster.run_history.violations == []

    clusters.run_scenario(run_and_check, **{'agents': 8, **options})


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


def test_job_that_entries_know_to_crash_targets_fails_without_another_start():
    async def scenario(cluster):
        await cluster.submit('entry-0', CRASHING_JOB)
        starts = count_starts(cluster)
        for entry in cluster.entry_names:
            assert (await cluster.submit(entry, CRASHING_JOB)).result is (
                JobResult.FAILED
            )
        # An entry that has started since learns of the crashes from the agents.
        cluster.nodes['entry-1'].kill()
        await asyncio.sleep(1)
        cluster.start_entry('entry-1')
        await asyncio.sleep(1)
        response = await cluster.submit('entry-1', CRASHING_JOB)
        assert response.result is JobResult.FAILED
        assert count_starts(cluster) == starts

    run_scenario(scenario)


@pytest.mark.parametrize('silent_s', [1.5, 3])
def test_task_of_targets_that_fall_silent_is_not_given_up(silent_s):
    # Guards against a limit on lapses, which gives up sound work for a partition.
    async def scenario(cluster):
        submitted = asyncio.ensure_future(
            cluster.submit('entry-0', job('a', 1, timeout_s=60, estimate_s=4))
        )
        for _ in range(MAX_STARTS):
            await asyncio.sleep(0.3)
            target_id = cluster.run_history.runs[-1].target
            faults = cluster.client_factory.targets[target_id].faults
            faults.unresponsive = True
            await asyncio.sleep(silent_s)
            faults.unresponsive = False
        assert (await submitted).result is JobResult.COMPLETED
        assert len(cluster.run_history.runs) > MAX_STARTS

    run_scenario(scenario, run_s=4)


@pytest.mark.parametrize('sends_born', [False, True])
def test_job_whose_start_was_never_carried_out_has_not_crashed_the_target(sends_born):
    # Guards against a sound job that is failed after one crash, as in soak seed 7014.
    async def scenario(cluster):
        for target in cluster.targets.values():
            target.faults.start_delay_s = 2
        sent = job('a', 1, timeout_s=20, estimate_s=1)
        call = asyncio.ensure_future(cluster.submit('entry-0', sent))
        await asyncio.sleep(0.05)
        # The target that has been sent the start is not known to the test.
        for name in cluster.agent_names:
            cluster.crash_target(cluster.targets[name])
        await asyncio.sleep(CRASH_DOWN_S + 0.1)
        for target in cluster.targets.values():
            target.faults.start_delay_s = 0
        while not cluster.run_history.runs:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.04)
        for name in cluster.agent_names:
            cluster.crash_target(cluster.targets[name])
        assert (await call).result is JobResult.COMPLETED

    run_scenario(scenario, agents=2, run_s=1, sends_born=sends_born)


async def submit_periodically(cluster, prefix, count, period_s, **options):
    """Submit jobs at random entries; return their responses in order."""
    submitted = []
    for number in range(count):
        entry = cluster.random.choice(cluster.entry_names)
        submitted.append(
            asyncio.ensure_future(
                cluster.submit(entry, job(f'{prefix}-{number}', **options))
            )
        )
        await asyncio.sleep(period_s)
    return await asyncio.gather(*submitted)


@pytest.mark.parametrize('seed', range(4))
def test_jobs_beside_crashing_tasks_are_not_given_up(seed):
    async def scenario(cluster):
        crashing = asyncio.ensure_future(
            submit_periodically(cluster, 'bad', 3, 2, timeout_s=12)
        )
        responses = await submit_periodically(cluster, 'a', 60, 0.1, timeout_s=8)
        assert all(each.result is not JobResult.FAILED for each in responses)
        assert sum(each.result is JobResult.COMPLETED for each in responses) >= 54
        await crashing

    run_scenario(scenario, seed=seed)


@pytest.mark.parametrize('seed', range(4))
def test_service_that_crashes_targets_keeps_to_a_quarter_of_them(seed):
    # Guards against a kind of request that takes down target after target, until other
    # kinds have none.
    async def scenario(cluster):
        began_at = cluster.loop.time()
        crashing = asyncio.ensure_future(
            submit_periodically(cluster, 'bad', 20, 0.5, timeout_s=6)
        )
        # The first suspects run again once the lease of their first runs is over.
        await asyncio.sleep(2.5)
        responses = await submit_periodically(
            cluster, 'a', 70, 0.1, timeout_s=4, service='other'
        )
        assert all(each.result is JobResult.COMPLETED for each in responses)
        await crashing
        later = {name for at, name in cluster.crashes if at > began_at + 2.5}
        assert len(later) <= 2

    run_scenario(scenario, seed=seed, services=(SERVICE, OTHER))


@pytest.mark.parametrize('bystanders', [1, 5, 10])
def test_starts_that_end_before_the_crash_are_bounded_after_three_crashes(
    bystanders, monkeypatch
):
    # Guards against a count of crashes alone, which starts that the caller's deadline
    # ends do not add to.
    monkeypatch.setattr('endivetally_standins.held_target.CRASH_DELAY_S', 1.0)

    async def start(cluster, timeout_s):
        sent = job('bad', 1, timeout_s=timeout_s, estimate_s=0.5)
        call = asyncio.ensure_future(cluster.submit('entry-0', sent))
        await asyncio.sleep(0.85)
        others = job(f'a-{cluster.loop.time()}', bystanders, timeout_s=1, estimate_s=1)
        other_call = asyncio.ensure_future(cluster.submit('entry-1', others))
        await asyncio.gather(call, other_call)
        await asyncio.sleep(CRASH_DOWN_S + 1)

    async def scenario(cluster):
        for _ in range(3):
            await start(cluster, 1.5)
        assert len(cluster.crashes) == 3
        for _ in range(4):
            await start(cluster, 0.9)
        assert count_starts(cluster) <= MAX_STARTS

    capacity = Resources(160_000, 32_768)
    run_scenario(scenario, agents=1, run_s=2, capacity=capacity)


def crashes_target_rarely(task):
    return int(task.job[1:]) % 30 == 0 and task.number == 0


@pytest.mark.parametrize('seed', range(6))
def test_random_faults_do_not_make_a_task_start_again_and_again(seed):
    # Guards against crashes that are not counted, or counted twice, when entries and
    # agents are killed, frozen and cut off from each other.
    async def scenario(cluster):
        cluster.run_history.crashes_target = crashes_target_rarely
        await run_random_faults(cluster, random.Random(seed), inject_fault)
        starts = Counter(
            run.task
            for run in cluster.run_history.runs
            if crashes_target_rarely(run.task)
        )
        assert starts
        assert max(starts.values()) <= MAX_STARTS

    run_scenario(scenario, seed=seed, entries=3, agents=6, run_s=0.4)
