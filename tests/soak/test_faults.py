"""Whether the faults of a soak test end, also when they overlap."""

import asyncio
import random
import types

import pytest
from differential.clock import run_virtually
from endivetally.soak import faults
from endivetally_held.jobs import TaskKey
from endivetally_held.target_client import FencedLease
from endivetally_platform.standins.store import StoreFaults
from endivetally_policy.held import Resources
from endivetally_standins.held_target import HeldTargetStandIn
from endivetally_standins.held_target import RunHistory
from endivetally_standins.held_target import TargetFaults

# Longer than any fault lasts.
ALL_OVER_S = 10
NAMED_FAULTS = {fault.name: fault for fault in faults.FAULTS}


def create_deployment():
    """Return a stand-in of a deployment, with the faults of its store and targets."""
    instance = types.SimpleNamespace(faults=TargetFaults())
    machine = types.SimpleNamespace(worker=types.SimpleNamespace(instance=instance))
    return types.SimpleNamespace(
        store=types.SimpleNamespace(faults=StoreFaults()), agents=[machine]
    )


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        ('store_silent', 'store_silent'),
        ('store_lost', 'store_late'),
        ('target_late_orders', 'target_late_orders'),
        ('target_slow', 'target_hangs'),
    ],
)
@pytest.mark.parametrize('seed', range(6))
def test_faults_that_overlap_end(first, second, seed):
    deployment = create_deployment()

    async def inject_both():
        rng = random.Random(seed)
        injections = []
        for name in (first, second):
            injection = NAMED_FAULTS[name].inject(deployment, rng)
            injections.append(asyncio.ensure_future(injection))
            await asyncio.sleep(0.1)
        await asyncio.gather(*injections)

    run_virtually(inject_both())
    assert deployment.store.faults == StoreFaults()
    assert deployment.agents[0].worker.instance.faults == TargetFaults()


def test_held_starts_are_overtaken_and_may_come_in_time():
    task_count = 100
    lease_s = 0.8
    capacity = Resources(task_count, task_count)
    run_history = RunHistory(lambda task: ALL_OVER_S, lambda task: Resources(1, 1))

    async def send_starts():
        target = HeldTargetStandIn('target', capacity, run_history)
        deployment = create_deployment()
        deployment.agents[0].worker.instance = target
        fault = faults.HELD_COMMANDS.inject(deployment, random.Random(0))
        injection = asyncio.ensure_future(fault)
        await asyncio.sleep(0)
        lease = FencedLease(1, target.clock_ms + int(lease_s * 1000))
        starts = [
            asyncio.ensure_future(
                target.start_run(TaskKey('job', 0, number), 1, '', lease)
            )
            for number in range(task_count)
        ]
        await asyncio.sleep(0.1)
        seen = await target.poll(lease, 0, 0, 1)
        await asyncio.gather(injection, *starts)
        return len(seen.running)

    seen_by_poll = run_virtually(send_starts())
    delays_s = [run.started_at for run in run_history.runs]
    late_delays_s = [delay_s for delay_s in delays_s if delay_s > 0.1]
    assert 35 < seen_by_poll < 65
    assert len(late_delays_s) > 5
    assert min(late_delays_s) > 0.3
    assert max(late_delays_s) < lease_s + 0.01
