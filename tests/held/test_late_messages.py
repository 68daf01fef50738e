"""Messages that an agent receives long after the entry has sent them."""

import asyncio

import pytest
from differential.clock import run_virtually
from endivetally_held.channel import MESSAGE_AGE_LIMIT_S
from endivetally_held.jobs import JobResult
from held import cluster as cluster_module
from held.cluster import Cluster
from held.cluster import job
from held.test_no_concurrent_runs import RESEND_S

# Heartbeats that are sent every 0.2 s arrive every 0.44 s, within the peer timeout.
SLOWDOWN = 2.2
# After this time, what an entry sends arrives 3 s later.
SLOWED_FOR_S = 2.5


def run_scenario(scenario):
    """Run a scenario on a slowed link and check that no task ran twice at once."""

    async def run():
        cluster = Cluster(entries=2, agents=2, run_s=2)
        await cluster.start()
        try:
            cluster.network.slow_down('entry-0', 'agent-0', SLOWDOWN)
            await asyncio.sleep(SLOWED_FOR_S)
            await scenario(cluster)
            await asyncio.sleep(5)
            assert cluster.run_history.violations == []
        finally:
            cluster.resume_all()

    run_virtually(run())


def long_job():
    return job('a', count=8, timeout_s=12, estimate_s=4)


def test_start_that_arrives_after_the_rerun_wait_is_not_handled():
    async def scenario(cluster):
        running = asyncio.ensure_future(cluster.submit('entry-0', long_job()))
        await asyncio.sleep(0.05)
        cluster.network.partition('agent-0', 'entry-0')
        assert (await running).result is JobResult.COMPLETED

    run_scenario(scenario)


def test_start_that_arrives_after_its_job_was_resent_elsewhere_is_not_handled():
    async def scenario(cluster):
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await cluster.submit('entry-0', long_job())
        await asyncio.sleep(RESEND_S)
        response = await cluster.submit('entry-1', long_job())
        assert response.result is JobResult.COMPLETED

    run_scenario(scenario)


def test_stop_that_arrives_late_does_not_keep_runs_beside_those_of_another_entry():
    """The runs start before the link is slow, and the job is abandoned after."""

    async def run():
        cluster = Cluster(entries=2, agents=2, run_s=8)
        await cluster.start()
        try:
            submitted = asyncio.ensure_future(
                cluster.submit('entry-0', job('a', timeout_s=20, estimate_s=8))
            )
            await asyncio.sleep(0.2)
            cluster.network.slow_down('entry-0', 'agent-0', SLOWDOWN)
            await asyncio.sleep(SLOWED_FOR_S)
            submitted.cancel()
            await asyncio.sleep(RESEND_S)
            await cluster.submit('entry-1', job('a', timeout_s=20, estimate_s=8))
            assert cluster.run_history.violations == []
        finally:
            cluster.resume_all()

    run_virtually(run())


def test_agent_disconnects_an_entry_whose_messages_arrive_too_late():
    async def run():
        cluster = Cluster(entries=1, agents=1)
        await cluster.start()
        try:
            cluster.network.slow_down('entry-0', 'agent-0', SLOWDOWN)
            # The lag reaches the age limit after half of this time.
            async with asyncio.timeout(2 * MESSAGE_AGE_LIMIT_S / (SLOWDOWN - 1)):
                while cluster.agents['agent-0'].entry_server:
                    await asyncio.sleep(0.01)
        finally:
            cluster.resume_all()

    run_virtually(run())


def test_constant_delay_below_the_margin_disconnects_nobody(monkeypatch):
    monkeypatch.setattr(cluster_module, 'LATENCY_S', 0.15)

    async def run():
        cluster = Cluster(entries=2, agents=2)
        await cluster.start()
        try:
            peers = {
                peer
                for entry in cluster.entries.values()
                for peer in entry.connections.peers.values()
            }
            assert len(peers) == 4
            await asyncio.sleep(60)
            assert not any(peer.channel.closed for peer in peers)
        finally:
            cluster.resume_all()

    run_virtually(run())
