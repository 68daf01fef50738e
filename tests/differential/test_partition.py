"""Tests of an entry that is cut off from the table and from all other entries."""

import asyncio

import pytest
from differential.checker import Checker
from differential.checker import Submission
from differential.clock import run_virtually
from differential.cluster import SimulatedCluster
from differential.cluster import config_with_deadline
from differential.reference import RequestSpec
from endivetally_core.identifiers import shard_of
from endivetally_table.shards import SHARD_COUNT

TASK = (
    b'{"team":"clerks","service":"fetches","key":"k","number":0,"ms":10,"fails":false}'
)
SHARD = shard_of('clerks', 'k', SHARD_COUNT)
START_S = 20


async def _start_cluster(checker):
    cluster = SimulatedCluster(checker)
    cluster.start_agent('agent-1')
    for number in (1, 2, 3):
        cluster.start_entry(f'entry-{number}')
    await asyncio.sleep(1)
    await cluster.entries['entry-1'].daemon.submit_config(
        config_with_deadline(10_000), 0, 'operator'
    )
    await asyncio.sleep(START_S)
    return cluster


def _find_owner(cluster, asked):
    owner = asked.daemon.shard_directory.owner_of(SHARD)
    return next(node for node in cluster.entries.values() if node.incarnation == owner)


async def _submit(node):
    submission = Submission(RequestSpec('clerks', 'fetches', 'k', (TASK,)))
    node.submit(submission)
    while not submission.has_response:
        await asyncio.sleep(0.01)
    return submission


async def _submit_at_both_sides(cut_off_s, linked_count):
    """Run a key at its new owner, then submit it at the owner that is cut off.

    :param linked_count: number of entries from which the owner is not cut off.
    """
    checker = Checker()
    cluster = await _start_cluster(checker)
    owner = _find_owner(cluster, cluster.entries['entry-1'])
    other, *rest = (node for node in cluster.entries.values() if node is not owner)
    cluster.cut_off_entry(owner, rest[:linked_count])
    await asyncio.sleep(cut_off_s)
    assert _find_owner(cluster, other) is not owner
    rerun, stale = await _submit(other), await _submit(owner)
    cluster.shut_down()
    return rerun, stale, checker


@pytest.mark.parametrize(
    ('cut_off_s', 'linked_count'), [(5, 0), (8, 0), (30, 0), (8, 1), (30, 1)]
)
def test_an_entry_that_is_cut_off_says_not_run_of_no_key_that_runs_elsewhere(
    cut_off_s, linked_count
):
    rerun, stale, checker = run_virtually(
        _submit_at_both_sides(cut_off_s, linked_count)
    )
    assert (rerun.ran, stale.ran) == ('ran', 'unknown')
    assert checker.faults == []
