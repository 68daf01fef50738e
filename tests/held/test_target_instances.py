"""Which instance of its target an agent works with, and when one counts as ended."""

import asyncio

import pytest
from differential.clock import run_virtually
from endivetally_held.jobs import JobResult
from endivetally_policy.held import RunEnd
from endivetally_standins.held_target import CALL_LATENCY_S
from held.cluster import Cluster
from held.cluster import job

RUN_S = 0.6
REPORT_INTERVAL_S = 0.5


def run_scenario(scenario, agents=2, run_s=RUN_S):
    """Run a scenario, and check that no task ran twice at once."""

    async def run():
        cluster = Cluster(entries=1, agents=agents, run_s=run_s)
        await cluster.start()
        try:
            await scenario(cluster)
            assert cluster.run_history.violations == []
        finally:
            cluster.resume_all()

    run_virtually(run())


async def submit_and_wait_for_runs(cluster, count=8):
    """Submit a job; return its future response once runs are active."""
    submission = asyncio.ensure_future(
        cluster.submit('entry-0', job('a', count, timeout_s=8, estimate_s=RUN_S))
    )
    while not cluster.agents['agent-0'].running_count:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    return submission


async def replace_target(cluster, *, silent):
    """Replace the target of an agent; return the last report of the former one.

    :param silent: the former one gets its polls, but never answers, as if the machine
        of its address could not be reached; otherwise another one answers there.
    """
    former = cluster.targets['agent-0']
    delayed_report = former.create_next_report()
    if silent:
        former.faults.unresponsive = True
    else:
        former.crash()
    await cluster.create_target('agent-0')
    return delayed_report


async def restart_agent(cluster):
    cluster.nodes['agent-0'].kill()
    await asyncio.sleep(1)
    cluster.start_agent('agent-0')


@pytest.mark.parametrize('silent', [False, True])
def test_delayed_report_of_a_former_instance_ends_no_run(silent):
    async def scenario(cluster):
        delayed_report = await replace_target(cluster, silent=silent)
        await restart_agent(cluster)
        await asyncio.sleep(2)
        submission = await submit_and_wait_for_runs(cluster)
        running = cluster.agents['agent-0'].running_count
        cluster.agents['agent-0'].apply_report(delayed_report)
        await asyncio.sleep(0.3)
        assert cluster.run_history.violations == []
        assert cluster.agents['agent-0'].running_count == running
        response = await submission
        assert response.result is JobResult.COMPLETED
        assert len(cluster.run_history.runs) == 8

    run_scenario(scenario)


@pytest.mark.parametrize('silent', [False, True])
def test_delayed_report_of_a_former_instance_does_not_bar_the_present_one(silent):
    async def scenario(cluster):
        delayed_report = await replace_target(cluster, silent=silent)
        await restart_agent(cluster)
        await asyncio.sleep(2)
        cluster.agents['agent-0'].apply_report(delayed_report)
        await asyncio.sleep(2 * REPORT_INTERVAL_S + 0.2)
        response = await cluster.submit('entry-0', job('a'))
        assert response.result is JobResult.COMPLETED

    run_scenario(scenario, agents=1)


@pytest.mark.parametrize('silent', [False, True])
def test_first_report_after_a_restart_may_be_of_a_former_instance(silent):
    async def scenario(cluster):
        delayed_report = await replace_target(cluster, silent=silent)
        present = cluster.targets['agent-0']
        cluster.nodes['agent-0'].kill()
        await asyncio.sleep(1)
        cluster.targets['agent-0'] = cluster.client_factory.targets[
            delayed_report.target_id
        ]
        cluster.start_agent('agent-0')
        await asyncio.sleep(0.1)
        cluster.targets['agent-0'] = present
        await asyncio.sleep(2 * REPORT_INTERVAL_S + 0.2)
        response = await cluster.submit('entry-0', job('a'))
        assert response.result is JobResult.COMPLETED

    run_scenario(scenario, agents=1)


def test_new_instance_replaces_a_silent_one_with_its_first_report():
    async def scenario(cluster):
        await replace_target(cluster, silent=True)
        await asyncio.sleep(REPORT_INTERVAL_S + 0.1)
        response = await cluster.submit('entry-0', job('a'))
        assert response.result is JobResult.COMPLETED

    run_scenario(scenario, agents=1)


@pytest.mark.parametrize('end_delay_s', [0, 0.3, 4])
def test_runs_of_a_leaving_instance_go_on_until_it_has_ended(end_delay_s):
    async def scenario(cluster):
        submission = await submit_and_wait_for_runs(cluster)
        leaving = cluster.targets['agent-0']
        cluster.agents['agent-0'].handle_target_left(leaving.report.target_id)
        await asyncio.sleep(end_delay_s)
        leaving.crash()
        await cluster.create_target('agent-0')
        response = await submission
        assert cluster.run_history.violations == []
        assert response.result is JobResult.COMPLETED

    run_scenario(scenario, run_s=2)


def test_late_start_of_a_former_agent_process_is_not_renewed_after_a_repeated_report():
    async def scenario(cluster):
        target = cluster.targets['agent-0']
        repeated = target.create_next_report()
        target.create_next_report = lambda: repeated
        await restart_agent(cluster)
        await asyncio.sleep(1)
        target.faults.start_delay_s = 0.7
        target.faults.stop_delay_s = 1.9
        submission = asyncio.ensure_future(
            cluster.submit('entry-0', job('a', 8, timeout_s=16, estimate_s=3))
        )
        while not cluster.agents['agent-0'].running_count:
            await asyncio.sleep(0.01)
        cluster.nodes['agent-0'].kill()
        cluster.start_agent('agent-0')
        await asyncio.sleep(0.1)
        target.faults.start_delay_s = 0
        del target.create_next_report
        response = await submission
        assert cluster.run_history.violations == []
        assert response.result is JobResult.COMPLETED
        late = [
            run
            for run in cluster.run_history.runs
            if run.run_number == 1 and run.target == target.report.target_id
        ]
        assert {run.end for run in late} <= {RunEnd.LEASE_EXPIRED}

    run_scenario(scenario, run_s=3)


@pytest.mark.parametrize('steps', range(8))
def test_answer_of_a_former_instance_does_not_end_the_session_with_the_next(steps):
    async def scenario(cluster):
        submission = await submit_and_wait_for_runs(cluster)
        former = cluster.targets['agent-0']
        await cluster.create_target('agent-0')
        present = cluster.targets['agent-0']
        cluster.agents['agent-0'].apply_report(present.create_next_report())
        await asyncio.sleep(CALL_LATENCY_S)
        for _ in range(steps):
            await asyncio.sleep(0)
        former.crash()
        await submission
        await asyncio.sleep(2 * REPORT_INTERVAL_S)
        response = await cluster.submit('entry-0', job('b'))
        assert response.result is JobResult.COMPLETED

    run_scenario(scenario, agents=1)
