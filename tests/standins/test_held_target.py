"""The stand-in of a target checks starts against the capacity that counts."""

import asyncio

import pytest
from differential.clock import run_virtually
from endivetally_held.jobs import TaskKey
from endivetally_held.target_client import FencedLease
from endivetally_policy.held import Resources
from endivetally_standins.held_target import CAPACITY_GRACE_S
from endivetally_standins.held_target import HeldTargetStandIn
from endivetally_standins.held_target import RunHistory

CAPACITY = Resources(16_000, 32_768)
NOTHING = Resources(0, 0)
LEASE = FencedLease(0, 10**9)


async def start_after_shrink(delay_s, restarts_after_s):
    """Start a run some time after a shrink; return the violations.

    :param restarts_after_s: when the target restarts; ``None`` if it does not.
    """
    history = RunHistory(lambda task: 1, lambda task: Resources(1600, 64))
    target = HeldTargetStandIn('i-1', CAPACITY, history, born_ms=1)
    target.change_capacity(NOTHING)
    if restarts_after_s is not None:
        await asyncio.sleep(restarts_after_s)
        target.crash(restarts=True)
        target.create_next_instance(born_ms=2)
        delay_s -= restarts_after_s
    await asyncio.sleep(delay_s)
    await target.start_run(TaskKey('job', 0, 0), 1, '', LEASE)
    return history.violations


@pytest.mark.parametrize('restarts_after_s', [None, 0.1, 4])
@pytest.mark.parametrize(
    ('delay_s', 'is_violation'),
    [(CAPACITY_GRACE_S - 0.1, False), (CAPACITY_GRACE_S + 0.1, True)],
)
def test_shrunk_capacity_counts_after_the_same_time_beside_a_restart(
    delay_s, is_violation, restarts_after_s
):
    # A start that was held from before the shrink was reported as a violation if it
    # reached the next instance.
    violations = run_virtually(start_after_shrink(delay_s, restarts_after_s))
    assert bool(violations) is is_violation
