"""Jobs submitted again while runs of an earlier copy may still be active."""

import asyncio

import pytest
from differential.clock import run_virtually
from endivetally_core.joining import Address
from endivetally_held.entry import RERUN_WAIT_S
from endivetally_held.jobs import JobResult
from held.cluster import Cluster
from held.cluster import job

# A stop that is held for this time is not answered, while polls renew the lease.
HELD_STOP_S = 0.9


def run_scenario(scenario, **options):
    """Run a scenario and check that no task ran twice at once."""

    async def run():
        cluster = Cluster(run_s=1, **options)
        await cluster.start()
        for target in cluster.targets.values():
            target.faults.stop_delay_s = HELD_STOP_S
        try:
            await scenario(cluster)
            assert cluster.run_history.violations == []
        finally:
            cluster.resume_all()

    run_virtually(run())


def long_job(count=8):
    return job('a', count=count, timeout_s=8, estimate_s=4)


async def submit_and_abandon(cluster, after_s, count=8):
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(after_s):
            await cluster.submit('entry-0', long_job(count))


@pytest.mark.parametrize('resent_after_s', [0.01, 0.3, 0.7])
def test_job_resent_to_its_entry_waits_for_runs_that_are_still_being_stopped(
    resent_after_s,
):
    async def scenario(cluster):
        await submit_and_abandon(cluster, 0.3)
        await asyncio.sleep(resent_after_s)
        response = await cluster.submit('entry-0', long_job())
        assert response.result is JobResult.COMPLETED

    run_scenario(scenario)


def test_job_resent_to_its_entry_runs_once_all_ends_are_reported():
    async def scenario(cluster):
        await submit_and_abandon(cluster, 0.3)
        resent_at = cluster.loop.time()
        response = await cluster.submit('entry-0', long_job())
        assert response.result is JobResult.COMPLETED
        # The runs end 0.05 s after the stop, and are listed by the next poll.
        assert cluster.loop.time() - resent_at < HELD_STOP_S + 1.1 + 0.3

    run_scenario(scenario)


@pytest.mark.parametrize('abandoned_after_s', [0.3, 0.85])
def test_job_resent_to_its_entry_waits_for_runs_at_a_lost_agent(abandoned_after_s):
    """The job is abandoned before or after the entry notices the loss."""

    async def scenario(cluster):
        running = asyncio.ensure_future(
            submit_and_abandon(cluster, 0.1 + abandoned_after_s)
        )
        await asyncio.sleep(0.1)
        for pair in (('entry-0', 'agent-0'), ('agent-0', 'entry-0')):
            cluster.network.partition(*pair)
        await running
        response = await cluster.submit('entry-0', long_job())
        assert response.result is JobResult.COMPLETED

    run_scenario(scenario)


def test_refused_duplicate_does_not_run_beside_the_run_that_was_present():
    """Another agent becomes available while the former run is being stopped."""

    async def scenario(cluster):
        await submit_and_abandon(cluster, 0.3, count=1)
        resent = asyncio.ensure_future(cluster.submit('entry-1', long_job(count=1)))
        await asyncio.sleep(0.1)
        await cluster.create_target('agent-1')
        cluster.start_agent('agent-1')
        cluster.entries['entry-1'].connections.set_agents(
            {Address('agent-0', 1), Address('agent-1', 1)}
        )
        assert (await resent).result is JobResult.COMPLETED

    run_scenario(scenario, agents=1)


@pytest.mark.parametrize('lost_after_s', [0.09, 0.1, 0.11, 0.12])
def test_refused_duplicate_runs_elsewhere_only_long_after_its_agent_is_lost(
    lost_after_s,
):
    async def scenario(cluster):
        await submit_and_abandon(cluster, 0.3, count=1)
        resent = asyncio.ensure_future(cluster.submit('entry-1', long_job(count=1)))
        await asyncio.sleep(lost_after_s)
        cluster.nodes['agent-0'].kill()
        lost_at = cluster.loop.time()
        await cluster.create_target('agent-1')
        cluster.start_agent('agent-1')
        cluster.entries['entry-1'].connections.set_agents({Address('agent-1', 1)})
        assert (await resent).result is JobResult.COMPLETED
        newest = cluster.run_history.runs[-1]
        assert RERUN_WAIT_S < newest.started_at - lost_at < RERUN_WAIT_S + 0.1

    run_scenario(scenario, agents=1)
