"""Tests of which entries are reported to agents as fenced."""

import asyncio

from differential.checker import Checker
from differential.clock import run_virtually
from differential.cluster import SimulatedCluster


async def _fenced_entries_after_connection_loss():
    cluster = SimulatedCluster(Checker())
    for number in (1, 2, 3):
        cluster.start_entry(f'entry-{number}')
    await asyncio.sleep(20)
    assert any(node.daemon.shard_directory.shard_map.former for node in cluster.nodes)
    for connection in cluster.open_connections:
        connection.cut()
    await asyncio.sleep(0.01)
    fenced = [node.daemon.list_fenced_entries() for node in cluster.nodes]
    cluster.shut_down()
    return fenced


def test_a_live_entry_without_a_link_is_not_fenced():
    assert run_virtually(_fenced_entries_after_connection_loss()) == [[], [], []]
