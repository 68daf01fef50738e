"""Whether the faults of a soak test end, also when they overlap."""

import asyncio
import random
import types

import pytest
from differential.clock import run_virtually
from endivetally.soak import faults
from endivetally_platform.standins.store import StoreFaults
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
